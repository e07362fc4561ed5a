"""Lives, runs and jobs of a soak, as its evidence tells of them."""

import collections
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final
from typing import NamedTuple

from standins.job_evidence import CallEvidence
from standins.job_evidence import CallKind
from standins.job_evidence import JobEvidence
from standins.job_evidence import NOT_SENT
from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence

DONE: Final = 'done'
FAILED: Final = 'failed'
EXPIRED: Final = 'lapsed'
LIFE_ENDED: Final = 'life ended'
MIN_CRASHES: Final = 2
"""Crashes of workers under a task after which it may be given up."""
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
    """The time from a worker's boot to its end.

    ``capacities`` has each capacity in thousandths of a core, with the time
    from which on the worker stated it.
    """

    worker: str
    boot: int
    pool: str
    cpu_millis: int
    labels: tuple[str, ...]
    began_at: float
    checks_room: bool = True
    ended_at: float = inf
    how: str = ''
    expired_at: list[float] = field(default_factory=list)
    capacities: list[tuple[float, int]] = field(default_factory=list)


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

    @property
    def is_deadly(self) -> bool:
        """Tell whether a task of it crashes its workers."""
        return any(step.deadly_task >= 0 for step in self.evidence.steps)

    def has_crashed(self, at: float) -> bool:
        """Tell whether workers crashed under a task that may be given up."""
        return any(
            sum(r.how == LIFE_ENDED and r.ended_at <= at for r in runs)
            >= MIN_CRASHES
            for runs in self.runs.values()
        )

    def deadly_task_of(self, number: int) -> str:
        """Return the name of a step's deadly task."""
        deadly = self.evidence.steps[number].deadly_task
        return f'{self.evidence.id}.0.{number}.{deadly}'

    def find_crashes(self, number: int, at: float) -> list[Run]:
        """Return the runs of a step's deadly task that fell by a time."""
        runs = self.runs.get(self.deadly_task_of(number), ())
        return [r for r in runs if r.how == LIFE_ENDED and r.ended_at <= at]

    def hopeless_at(self) -> float:
        """Return when a task had failed as often as it may."""
        max_attempts = self.evidence.max_attempts
        times = [inf]
        for runs in self.runs.values():
            failed = [r.ended_at for r in runs if r.is_counted(FAILED)]
            if len(failed) >= max_attempts:
                times.append(sorted(failed)[max_attempts - 1])
        return min(times)
