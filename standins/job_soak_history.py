"""Lives, runs and jobs of a soak, put together from its evidence."""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import inf
from pathlib import Path
from typing import Final
from typing import NamedTuple

from standins.job_evidence import CallEvidence
from standins.job_evidence import CallKind
from standins.job_evidence import EvidenceKind
from standins.job_evidence import FaultEvidence
from standins.job_evidence import JobEvidence
from standins.job_evidence import Line
from standins.job_evidence import NOT_SENT
from standins.job_evidence import Outcome
from standins.job_evidence import read_evidence
from standins.job_evidence import StepEvidence
from standins.job_evidence import WorkerEvidence

DONE: Final = 'done'
FAILED: Final = 'failed'
EXPIRED: Final = 'lapsed'
FINAL_STATES: Final = ('completed', 'failed', 'cancelled')

Span = tuple[float, float]


class TaskName(NamedTuple):
    """The parts of a task's name."""

    job: str
    occurrence: int
    step: int
    number: int


def parse_task(text: str) -> TaskName | None:
    """Return the parts of a task's name, None if it isn't one."""
    parts = text.split('.')
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return TaskName(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))


@dataclass(slots=True)
class Life:
    """The time from a worker's boot to its end."""

    worker: str
    boot: int
    pool: str
    cpu_millis: int
    labels: tuple[str, ...]
    began_at: float
    ended_at: float = inf
    how: str = ''
    expired_at: list[float] = field(default_factory=list)


@dataclass(slots=True)
class Run:
    """One run of a task; it is over at the latest with its life."""

    task: str
    number: int
    worker: str
    boot: int
    epoch: int
    began_at: float
    ended_at: float = inf
    how: str = ''
    stopped_at: float | None = None
    acked_at: float | None = None

    def is_counted(self, how: str) -> bool:
        """Tell whether it ended so, and the end was acknowledged."""
        return self.how == how and self.acked_at is not None


@dataclass(slots=True)
class Job:
    """A submitted job and what its callers were told."""

    evidence: JobEvidence
    calls: list[CallEvidence] = field(default_factory=list)
    runs: dict[str, list[Run]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    accepted_at: float = inf
    cancel_sent_at: float = inf
    cancelled_at: float = inf
    over_at: float = inf

    def add_call(self, call: CallEvidence) -> None:
        """Add a call, in the order of the answers."""
        self.calls.append(call)
        is_done = call.outcome is Outcome.DONE
        if call.kind is CallKind.SUBMIT and is_done:
            self.accepted_at = min(self.accepted_at, call.ended_at)
        if call.kind is CallKind.CANCEL:
            self.cancel_sent_at = min(self.cancel_sent_at, call.sent_at)
            is_gone = (
                call.outcome is Outcome.MISSING
                and call.sent_at > self.accepted_at
            )
            if is_done or is_gone:
                self.cancelled_at = min(self.cancelled_at, call.ended_at)
        if call.state in FINAL_STATES:
            self.over_at = min(self.over_at, call.ended_at)

    @property
    def is_refused(self) -> bool:
        """Tell whether each attempt to submit it was refused.

        Calls that were not made are no attempts.
        """
        submits = [
            call
            for call in self.calls
            if call.kind is CallKind.SUBMIT and call.cause != NOT_SENT
        ]
        return bool(submits) and all(
            call.outcome is Outcome.REFUSED for call in submits
        )

    @property
    def is_long_running(self) -> bool:
        """Tell whether one of its steps runs until it is cancelled."""
        return any(step.is_long_running for step in self.evidence.steps)

    def tasks_of(self, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        return [
            f'{self.evidence.id}.0.{step}.{index}'
            for index in range(self.evidence.steps[step].count)
        ]

    def has_task(self, name: TaskName) -> bool:
        """Tell whether a task was submitted with the job."""
        steps = self.evidence.steps
        return (
            name.occurrence == 0
            and name.step < len(steps)
            and name.number < steps[name.step].count
        )

    def find_unfinished(self, at: float, has_ack: bool) -> list[int]:
        """Return the steps with tasks that haven't ended done by a time.

        With ``has_ack`` only ends count that were noted then or later. One
        such end of a gang stands for all its members.
        """
        return [
            number
            for number, step in enumerate(self.evidence.steps)
            if self.done_at(number, step, has_ack) > at
        ]

    def is_noted(self, run: Run) -> bool:
        """Tell whether a run's end was noted, acknowledged or not.

        It also was if the job was shown as completed and the task had no
        run after this one: its worker may have ended before the
        acknowledgement.
        """
        if run.acked_at is not None:
            return True
        is_last = self.runs[run.task][-1] is run
        return is_last and any(c.state == 'completed' for c in self.calls)

    def done_at(self, number: int, step: StepEvidence, has_ack: bool) -> float:
        """Return when a step was done, infinity if it never was."""
        ends = [
            min(
                (
                    run.ended_at
                    for run in self.runs.get(task, ())
                    if run.how == DONE and (not has_ack or self.is_noted(run))
                ),
                default=inf,
            )
            for task in self.tasks_of(number)
        ]
        return min(ends) if step.is_gang else max(ends, default=-inf)

    def is_at_work(self, since: float) -> bool:
        """Tell whether a run of it was there at some time since then."""
        return any(r.ended_at > since for rs in self.runs.values() for r in rs)

    def has_failed(self, at: float) -> bool:
        """Tell whether a task or gang had failed as often as it may."""
        failed = dict[str, set[int]]()
        for task, runs in self.runs.items():
            name = parse_task(task)
            if name is None or not self.has_task(name):
                continue
            is_gang = self.evidence.steps[name.step].is_gang
            numbers = failed.setdefault(
                f'step {name.step}' if is_gang else task, set()
            )
            numbers.update(
                run.number
                for run in runs
                if run.how == FAILED and run.ended_at <= at
            )
        return any(
            len(numbers) >= self.evidence.max_attempts
            for numbers in failed.values()
        )

    def hopeless_at(self) -> float:
        """Return when a task had failed as often as it may."""
        max_attempts = self.evidence.max_attempts
        times = [inf]
        for runs in self.runs.values():
            failed = [r.ended_at for r in runs if r.is_counted(FAILED)]
            if len(failed) >= max_attempts:
                times.append(sorted(failed)[max_attempts - 1])
        return min(times)


class History:
    """All that is known of a soak, with times as in the evidence."""

    def __init__(
        self,
        workers: Iterable[WorkerEvidence],
        calls: Iterable[CallEvidence],
        jobs: Iterable[JobEvidence],
        faults: Iterable[FaultEvidence],
    ) -> None:
        self.lines = sorted(workers, key=lambda line: line.at)
        self.calls = sorted(calls, key=lambda call: call.ended_at)
        self.faults = sorted(faults, key=lambda fault: fault.began_at)
        self.jobs = {job.id: Job(job) for job in jobs}
        self.lives: dict[tuple[str, int], Life] = {}
        self.newest: dict[str, Life] = {}
        self.runs: list[Run] = []
        self.found: dict[tuple[str, int, str, int], Run] = {}
        self.runs_of: dict[str, list[Run]] = collections.defaultdict(list)
        self.unknown_calls = 0
        self.began_at = min(
            [line.at for line in self.lines[:1]]
            + [call.sent_at for call in self.calls],
            default=0.0,
        )
        self.ended_at = max(
            [call.ended_at for call in self.calls[-1:]]
            or [line.at for line in self.lines[-1:]],
            default=0.0,
        )
        for line in self.lines:
            self.add_line(line)
        self.end_runs_with_lives()
        for call in self.calls:
            if call.job in self.jobs:
                self.jobs[call.job].add_call(call)

    def add_line(self, line: WorkerEvidence) -> None:
        """Add what a worker saw, in the order of the times."""
        if line.kind is EvidenceKind.LIFE_BEGAN:
            self.begin_life(line)
            return
        if line.kind is EvidenceKind.STARTED:
            self.begin_run(line)
            return
        life = self.lives.get((line.worker, line.boot))
        if line.kind is EvidenceKind.LIFE_ENDED and life is not None:
            life.ended_at = min(life.ended_at, line.at)
            life.how = life.how or line.how
        if line.kind is EvidenceKind.ENDED and line.how == EXPIRED and life:
            life.expired_at.append(line.at)
        run = self.found.get((line.worker, line.boot, line.task, line.run))
        if run is not None:
            self.add_to_run(run, line)

    def begin_life(self, line: WorkerEvidence) -> None:
        """Begin a life; the worker's one before it is over."""
        before = self.newest.get(line.worker)
        if before is not None:
            before.ended_at = min(before.ended_at, line.at)
        life = Life(
            line.worker,
            line.boot,
            line.pool,
            line.cpu_millis,
            line.labels,
            line.at,
        )
        self.newest[line.worker] = life
        self.lives[line.worker, line.boot] = life

    def begin_run(self, line: WorkerEvidence) -> None:
        """Begin a run."""
        run = Run(
            line.task,
            line.run,
            line.worker,
            line.boot,
            line.epoch,
            line.at,
        )
        self.runs.append(run)
        self.runs_of[line.task].append(run)
        self.found[line.worker, line.boot, line.task, line.run] = run
        name = parse_task(line.task)
        if name is not None and name.job in self.jobs:
            self.jobs[name.job].runs[line.task].append(run)

    def add_to_run(self, run: Run, line: WorkerEvidence) -> None:
        """Note the order to stop a run, its end, or the acknowledgement.

        An acknowledgement is void if the lease expired after the end.
        """
        if line.kind is EvidenceKind.STOP_ORDERED and run.stopped_at is None:
            run.stopped_at = line.at
        elif line.kind is EvidenceKind.ENDED and run.ended_at == inf:
            run.ended_at = line.at
            run.how = line.how
        elif line.kind is EvidenceKind.ACKED and run.acked_at is None:
            life = self.lives.get((run.worker, run.boot))
            expired = () if life is None else life.expired_at
            if not any(run.ended_at < at <= line.at for at in expired):
                run.acked_at = line.at

    def end_runs_with_lives(self) -> None:
        """End the runs that were still there when their life ended."""
        for run in self.runs:
            life = self.lives.get((run.worker, run.boot))
            if life is not None and life.ended_at < run.ended_at:
                run.ended_at = life.ended_at
                run.how = 'life ended'

    def at(self, time: float) -> str:
        """Return a time as seconds since the evidence begins."""
        return f'{time - self.began_at:.3f}'

    def is_struck(
        self, since: float, until: float, subjects: Sequence[str] | None
    ) -> bool:
        """Tell whether a fault lies in a span.

        With ``subjects`` only faults count whose subject is empty or
        contains one of them.
        """
        return any(
            fault.began_at <= until
            and fault.ended_at >= since
            and (
                subjects is None
                or not fault.subject
                or any(subject in fault.subject for subject in subjects)
            )
            for fault in self.faults
        )

    def calm_spans(self, rest_s: float) -> list[Span]:
        """Return the spans without a fault, ``rest_s`` after each."""
        spans = list[Span]()
        calm_since = self.began_at + rest_s
        for fault in self.faults:
            if fault.began_at > calm_since:
                spans.append((calm_since, fault.began_at))
            calm_since = max(calm_since, fault.ended_at + rest_s)
        if self.ended_at > calm_since:
            spans.append((calm_since, self.ended_at))
        return spans


def read_all(folder: Path, prefix: str, kind: type[Line]) -> list[Line]:
    """Return the lines of all files whose name begins so."""
    return [
        line
        for path in sorted(folder.glob(f'{prefix}*.jsonl'))
        for line in read_evidence(path, kind)
    ]


def read_history(folder: Path) -> History:
    """Return what the files of a folder tell, named by their kind.

    They are ``workers*.jsonl``, ``calls*.jsonl``, ``jobs*.jsonl`` and
    ``faults*.jsonl``.
    """
    return History(
        read_all(folder, 'workers', WorkerEvidence),
        read_all(folder, 'calls', CallEvidence),
        read_all(folder, 'jobs', JobEvidence),
        read_all(folder, 'faults', FaultEvidence),
    )
