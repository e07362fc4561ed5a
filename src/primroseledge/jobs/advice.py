"""Ask the advisory service which workers may run a step.

The service answers one call at a time and needs time for each worker
that is named, so few are asked, those with room first, and its answers
are kept: which workers are allowed does not change, only their tickets
expire.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.actions import Action
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.worker import Worker

MAX_WORKERS_PER_REQUEST: Final = 12
"""Workers named in one call."""

EXTRA_WORKERS_PER_REQUEST: Final = 2
"""Workers named beyond those that are needed, as some are not allowed."""

ADVICE_RETRY_S: Final = 0.5
TICKET_MARGIN_S: Final = 0.3
"""A ticket is not used in the last moments of its validity."""


class StepKey(NamedTuple):
    """Names a step of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class RequestAdvice(Action):
    """Ask which of these workers may run a step."""

    step: StepKey
    workers: tuple[WorkerId, ...]


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """The workers that may run a step, with their tickets."""

    request: RequestAdvice
    tickets: dict[WorkerId, str]
    validity_s: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """The advisory service gave no answer that can be used."""

    request: RequestAdvice
    problem: str


@dataclass(frozen=True, slots=True)
class Ticket:
    """Lets tasks of a step start in one life of a worker."""

    text: str
    boot: Boot
    expires_at: float


@dataclass(slots=True)
class StepAdvice:
    """What the service has said of one step."""

    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    disallowed_workers: set[tuple[WorkerId, Boot]] = field(default_factory=set)
    retry_at: float = 0.0


@dataclass(slots=True)
class AdviceCache:
    """All advice, and the one call under way."""

    steps: dict[StepKey, StepAdvice] = field(default_factory=dict)
    request_in_flight: RequestAdvice | None = None

    def ticket_for(
        self, step: StepKey, worker: Worker, now: float
    ) -> str | None:
        """Return a ticket that is valid, if there is one."""
        advice = self.steps.get(step)
        ticket = advice.tickets.get(worker.id) if advice else None
        if ticket is None or ticket.boot != worker.entry.boot:
            return None
        if now >= ticket.expires_at - TICKET_MARGIN_S:
            return None
        return ticket.text

    def begin_request(
        self,
        step: StepOccurrence,
        key: StepKey,
        workers: Sequence[Worker],
        now: float,
    ) -> RequestAdvice | None:
        """Return the call to make for a step's waiting tasks, if any."""
        if self.request_in_flight is not None:
            return None
        advice = self.steps.setdefault(key, StepAdvice())
        if now < advice.retry_at:
            return None
        waiting = sum(1 for task in step.tasks if task.is_waiting)
        candidates = [
            worker
            for worker in workers
            if (worker.id, worker.entry.boot) not in advice.disallowed_workers
            and self.ticket_for(key, worker, now) is None
            and step.spec.counted_resources.fits_in(worker.free_capacity)
        ]
        candidates.sort(key=lambda worker: -worker.free_capacity.cpu_millis)
        count = min(
            MAX_WORKERS_PER_REQUEST, waiting + EXTRA_WORKERS_PER_REQUEST
        )
        if not candidates:
            return None
        named = tuple(worker.id for worker in candidates[:count])
        self.request_in_flight = RequestAdvice(key, named)
        return self.request_in_flight

    def handle_answer(
        self,
        answer: AdviceAnswered | AdviceFailed,
        workers: dict[WorkerId, Worker],
        now: float,
    ) -> None:
        """Take in the end of the call under way."""
        self.request_in_flight = None
        advice = self.steps.setdefault(answer.request.step, StepAdvice())
        if isinstance(answer, AdviceFailed):
            advice.retry_at = now + ADVICE_RETRY_S
            return
        valid_until = answer.sent_at + answer.validity_s
        for worker_id in answer.request.workers:
            worker = workers.get(worker_id)
            if worker is None:
                continue
            boot = worker.entry.boot
            text = answer.tickets.get(worker_id)
            if text is None:
                advice.disallowed_workers.add((worker_id, boot))
            else:
                advice.tickets[worker_id] = Ticket(text, boot, valid_until)

    def drop_ticket(self, step: StepKey, worker: WorkerId) -> None:
        """Forget a ticket that a worker did not accept."""
        advice = self.steps.get(step)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def drop_job(self, job: JobId) -> None:
        """Forget what was said of a job's steps."""
        for key in [key for key in self.steps if key.job == job]:
            del self.steps[key]


def step_key(job: JobId, step: StepOccurrence) -> StepKey:
    """Return the key of a step."""
    return StepKey(job, step.occurrence, step.number)
