"""Callers of a soak on the job path, with connections that stay open."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from pathlib import Path
from random import Random
from threading import Event
from threading import Thread
from time import sleep
from typing import Final
from typing import Protocol

from msgspec import DecodeError
from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpAnswer
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.job_evidence import CallEvidence
from standins.job_evidence import CallKind
from standins.job_evidence import EvidenceFile
from standins.job_evidence import NOT_SENT
from standins.job_evidence import Outcome
from standins.job_soak_plan import JobQueue
from standins.job_soak_plan import plan_job
from standins.job_soak_plan import PlannedJob

WAIT_S: Final = 3.0
"""In seconds; so long a caller waits for an answer."""

GIVE_UP_S: Final = 1.0
"""In seconds after its deadline; then a caller closes the connection."""

SUBMIT_ATTEMPTS: Final = 8
RETRY_S: Final = (0.1, 0.5)
POLL_S: Final = (0.7, 2.0)
STEP_S: Final = 0.05
FINISH_S: Final = 14.0
"""In seconds after the last submission; all jobs have ended by then."""

DEADLY_S: Final = 10.0
"""In seconds from the begin; then no more tasks that crash workers come.

Jobs that stand still are only judged while all is calm.
"""

BURST_S: Final = 4.0
BURST_FACTORS: Final = (0.6, 0.6, 2.2, 0.6)
METHODS: Final = {
    CallKind.SUBMIT: 'POST',
    CallKind.STATE: 'GET',
    CallKind.CANCEL: 'DELETE',
}
OUTCOMES: Final = {
    200: Outcome.DONE,
    400: Outcome.REFUSED,
    401: Outcome.REFUSED,
    404: Outcome.MISSING,
    410: Outcome.MISSING,
    429: Outcome.REFUSED,
    503: Outcome.REFUSED,
}
FINAL_STATES: Final = ('completed', 'failed', 'cancelled')


@dataclass(eq=False)
class OwnJob:
    """A job of a caller, and what it was told."""

    planned: PlannedJob
    attempts: int = 0
    is_accepted: bool = False
    state: str = ''
    is_cancelled: bool = False

    @property
    def is_over(self) -> bool:
        """Tell whether it is known to have ended."""
        return self.state in FINAL_STATES


class Client(Protocol):
    """Makes calls to one entry instance."""

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str],
    ) -> HttpAnswer:
        """Make one call; raises NotSentError and NoAnswerError."""


class Caller:
    """One caller: a thread that does what is due, one call at a time."""

    def __init__(
        self,
        load: 'JobLoad',
        number: int,
        clients: Mapping[str, Client],
    ) -> None:
        self.load = load
        self.number = number
        self.clients = clients
        self.plan = Random(f'{load.seed} {number} jobs')
        self.random = Random(f'{load.seed} {number} calls')
        self.entries = sorted(clients)
        self.entry = self.entries[number % len(self.entries)]
        self.jobs: list[OwnJob] = []
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count()

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        at = boot_time() + seconds
        heappush(self.due, (at, next(self.numbers), action))

    def run(self) -> None:
        """Submit jobs until the load is over, and see them end."""
        self.after(self.draw_wait(), self.submit_next)
        while not self.load.is_over.is_set():
            self.do_due()
            wait_s = self.due[0][0] - boot_time()
            self.load.is_over.wait(min(STEP_S, max(0.0, wait_s)))
        self.finish()

    def do_due(self) -> None:
        """Do what is due."""
        while self.due and self.due[0][0] <= boot_time():
            heappop(self.due)[2]()

    def draw_wait(self) -> float:
        """Return the time until the next job; it comes in bursts."""
        passed_s = boot_time() - self.load.began_at
        turn = int(passed_s / BURST_S + self.number) % len(BURST_FACTORS)
        per_s = self.load.jobs_per_s / self.load.caller_count
        return self.plan.expovariate(per_s * BURST_FACTORS[turn])

    def submit_next(self) -> None:
        """Submit a new job, and plan the next."""
        if self.load.is_over.is_set():
            return
        self.after(self.draw_wait(), self.submit_next)
        id = f'{self.load.seed % 65536:04x}{self.number:04x}'
        id += f'{len(self.jobs):08x}'
        queue = self.plan.choice(self.load.queues)
        may_be_deadly = boot_time() < self.load.began_at + DEADLY_S
        job = OwnJob(plan_job(self.plan, id, queue, may_be_deadly))
        self.jobs.append(job)
        self.load.job_file.append(job.planned.evidence)
        self.submit(job)

    def submit(self, job: OwnJob) -> None:
        """Submit a job; later again elsewhere, if it wasn't accepted."""
        job.attempts += 1
        call = self.call(CallKind.SUBMIT, job)
        if call.outcome is not Outcome.DONE:
            self.choose_another()
            is_over = self.load.is_over.is_set()
            if job.attempts < SUBMIT_ATTEMPTS and not is_over:
                wait_s = self.random.uniform(*RETRY_S)
                self.after(wait_s, lambda: self.submit(job))
            return
        if job.is_accepted:
            return
        job.is_accepted = True
        planned = job.planned
        if planned.cancel_after_s is not None:
            self.after(planned.cancel_after_s, lambda: self.cancel(job))
        if planned.again_after_s is not None:
            self.after(planned.again_after_s, lambda: self.submit_again(job))
        self.after(self.random.uniform(*POLL_S), lambda: self.ask(job))

    def submit_again(self, job: OwnJob) -> None:
        """Let a duplicate of an accepted submission arrive late."""
        if not job.is_cancelled and not self.load.is_over.is_set():
            self.call(CallKind.SUBMIT, job)

    def cancel(self, job: OwnJob) -> None:
        """Cancel a job; again while there is no answer."""
        job.is_cancelled = True
        call = self.call(CallKind.CANCEL, job)
        if call.outcome not in (Outcome.DONE, Outcome.MISSING):
            self.choose_another()
            wait_s = self.random.uniform(*RETRY_S)
            self.after(wait_s, lambda: self.cancel(job))

    def ask(self, job: OwnJob) -> None:
        """Ask for a job's state, from time to time until it has ended."""
        call = self.call(CallKind.STATE, job)
        if call.outcome is not Outcome.DONE:
            self.choose_another()
        job.state = call.state or job.state
        if not job.is_over:
            self.after(self.random.uniform(*POLL_S), lambda: self.ask(job))

    def has_answer(self, job: OwnJob) -> bool:
        """Ask for a job's state; tell whether that was answered.

        An instance that was just started may know nothing yet.
        """
        call = self.call(CallKind.STATE, job)
        job.state = call.state or job.state
        if call.outcome in (Outcome.DONE, Outcome.MISSING):
            return True
        self.choose_another()
        return False

    def choose_another(self) -> None:
        """Go on with another entry instance."""
        others = [name for name in self.entries if name != self.entry]
        if others:
            self.entry = self.random.choice(others)

    def call(self, kind: CallKind, job: OwnJob) -> CallEvidence:
        """Make one call and note it."""
        queue, id = job.planned.queue, job.planned.evidence.id
        sent_at = boot_time()
        outcome, state = Outcome.UNKNOWN, ''
        try:
            answer = self.clients[self.entry].call(
                METHODS[kind],
                f'{queue.prefix}{id}',
                job.planned.body if kind is CallKind.SUBMIT else None,
                WAIT_S + GIVE_UP_S,
                {
                    'Host': queue.host,
                    'X-Api-Key': queue.key,
                    'Remaining-Time': str(int(WAIT_S * 1000)),
                },
            )
        except NotSentError:
            cause = NOT_SENT
        except NoAnswerError as error:
            cause = type(error.__cause__).__name__
        else:
            cause = str(answer.status)
            outcome = OUTCOMES.get(answer.status, Outcome.UNKNOWN)
            if kind is CallKind.STATE and outcome is Outcome.DONE:
                state = read_state(answer.body)
        evidence = CallEvidence(
            sent_at,
            boot_time(),
            self.entry,
            id,
            kind,
            outcome,
            state,
            sent_at + WAIT_S,
            cause,
        )
        self.load.call_file.append(evidence)
        return evidence

    def finish(self) -> None:
        """Ask until all jobs have ended, and cancel what never ends."""
        until = boot_time() + FINISH_S
        accepted = [job for job in self.jobs if job.is_accepted]
        unanswered = accepted
        while unanswered and boot_time() < until:
            unanswered = [j for j in unanswered if not self.has_answer(j)]
            sleep(STEP_S)
        while boot_time() < until and any(map(is_waited_for, accepted)):
            self.do_due()
            sleep(STEP_S)
        for job in accepted:
            if not job.is_over:
                self.call(CallKind.STATE, job)
                self.cancel(job)
                self.ask(job)


def is_waited_for(job: OwnJob) -> bool:
    """Tell whether an accepted job has not come to where it should."""
    if job.planned.is_kept and job.state == 'running':
        return False
    return not job.is_over


def read_state(body: bytes) -> str:
    """Return the state that an answer tells, empty if it tells none."""
    try:
        return str(json.decode(body, type=dict[str, object]).get('state', ''))
    except DecodeError:
        return ''


@dataclass
class JobLoad:
    """Callers that submit jobs until they are told that it is over.

    ``entries`` are the names of the entry instances and the addresses for
    their callers. Evidence goes to ``calls.jsonl`` and ``jobs.jsonl`` in
    ``folder``. Use it as a context manager: it closes the connections.
    """

    entries: Mapping[str, str]
    queues: Sequence[JobQueue]
    folder: Path
    seed: int
    jobs_per_s: float = 4.0
    caller_count: int = 12
    resources: ExitStack = field(default_factory=ExitStack)
    is_over: Event = field(default_factory=Event)
    callers: list[Caller] = field(default_factory=list)
    threads: list[Thread] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.call_file = EvidenceFile(self.folder / 'calls.jsonl')
        self.job_file = EvidenceFile(self.folder / 'jobs.jsonl')
        self.began_at = boot_time()

    def __enter__(self) -> 'JobLoad':
        return self

    def __exit__(self, *error: object) -> None:
        self.finish()
        self.resources.close()

    def start(self) -> None:
        """Start the callers."""
        self.began_at = boot_time()
        for number in range(self.caller_count):
            clients = dict[str, HttpClient]()
            for name, address in self.entries.items():
                clients[name] = HttpClient(address)
                self.resources.callback(clients[name].close)
            caller = Caller(self, number, clients)
            self.callers.append(caller)
            self.threads.append(Thread(target=caller.run))
        for thread in self.threads:
            thread.start()

    def finish(self) -> None:
        """End the submissions, and wait for the jobs to end."""
        self.is_over.set()
        for thread in self.threads:
            thread.join()
