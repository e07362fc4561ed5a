"""Tasks and their runs in the memory of the fleet's owner."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.crash import Crash
from primroseledge.jobs.crash import ISOLATION_CRASHES
from primroseledge.jobs.crash import MIN_CULPRIT_CRASHES
from primroseledge.jobs.crash import PROVEN_RUN_S
from primroseledge.jobs.progress import RunRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.spec import StepSpec

FULL_SPEED_PERCENT: Final = 100
"""Speed in percent of a run that is not throttled, as of every new run."""

SERVING_PERCENT: Final = 100
"""Progress in percent from which on a long-running task serves requests."""


MIN_STORED_BINDING_S: Final = 2.0
"""Time in s that a run lasts before it is stored that its worker lists it."""


class TaskKey(NamedTuple):
    """The key of one task within one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int

    @property
    def name(self) -> str:
        """Return the key as text, for logs."""
        return '.'.join(str(part) for part in self)


class RunPhase(Enum):
    """The phase of a run, as far as the owner knows.

    ``PLANNED``: its start has not been sent, as the run must be stored
    first. ``SENT``: the start was sent and is not answered yet.
    ``RUNNING``: the worker acknowledged the start or listed the run.
    ``UNRESOLVED``: the run may or may not be running.
    """

    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    UNRESOLVED = 'unresolved'


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    ``sent_at`` is when the start was last sent. ``begun_at`` is when the
    run began; it is None if that is not known exactly, and for a run that
    resumed from a checkpoint.
    ``confirmed_at`` is when the worker acknowledged the start or the stop,
    or first listed the run; after a takeover it is the time when the run
    was restored. The answer to a poll sent later must list the run or its
    end. ``unresolved_at`` is when the last send of the start was given up
    without an answer. ``listed_at`` is when a poll last listed the run, and
    ``progressed_at`` when its progress last changed. ``reported_load`` is
    the load in the last poll answer: the tail latency in ms for a task with
    an objective, else the processors in use. A long-running task serves
    when its ``progress_percent`` is 100. ``speed_percent`` is the share of
    its processor time that a best-effort task may use; it was last ordered at
    ``throttled_at``, and ``is_speed_confirmed`` once the worker acknowledged
    that. ``crash`` is the crash of its worker, if that has crashed soon after
    it had started the run. ``is_known_bound`` is set once the run is known to
    be bound to its boot under a lease that its owner gave; a record stores it.
    Until ``lease_unknown_until`` the run may hold a longer lease than that,
    whatever polls show; ``is_in_recorded_boot`` says that a previous owner had
    ordered it in the boot that its worker was in at the takeover.
    """

    number: int
    worker: WorkerId
    boot: Boot
    phase: RunPhase = RunPhase.PLANNED
    sent_at: float | None = None
    begun_at: float | None = None
    confirmed_at: float | None = None
    listed_at: float | None = None
    send_count: int = 0
    unresolved_at: float | None = None
    is_stop_requested: bool = False
    stop_sent_at: float | None = None
    stop_answered_at: float | None = None
    progress_percent: int = 0
    progressed_at: float | None = None
    reported_load: int = 0
    speed_percent: int = FULL_SPEED_PERCENT
    is_speed_confirmed: bool = True
    throttled_at: float = 0.0
    crash: Crash | None = None
    is_known_bound: bool = False
    lease_unknown_until: float = 0.0
    is_in_recorded_boot: bool = False

    @property
    def running_since(self) -> float | None:
        """Return since when the run has been running for certain, if known.

        It may have begun earlier if the answer to its start was lost, or
        before this owner took over.
        """
        return self.confirmed_at if self.begun_at is None else self.begun_at

    @property
    def is_proven(self) -> bool:
        """Return whether its worker has outlasted the begin of the run.

        It must have listed the run ``PROVEN_RUN_S`` after that.
        """
        since = self.running_since
        return (
            since is not None
            and self.listed_at is not None
            and self.listed_at >= since + PROVEN_RUN_S
        )

    @property
    def is_bound_to_boot(self) -> bool:
        """Return whether no other boot of the worker can have the run.

        That is so if its start was never sent, or was sent once and a poll
        of its boot has listed the run. A start that was sent again may still
        be delivered.
        """
        if self.phase is RunPhase.PLANNED:
            return True
        return self.is_listed_once_sent

    @property
    def is_listed_once_sent(self) -> bool:
        """Return whether a poll has listed the run after a single send.

        No later copy of its start can then reach the next boot.
        """
        is_listed = self.listed_at is not None or self.is_known_bound
        return is_listed and self.send_count <= 1

    def is_binding_new(self, now: float) -> bool:
        """Return whether ``is_known_bound`` is to be set, and to be stored.

        A new owner can then start the task again sooner if the worker is
        lost. Short runs have ended before that matters.
        """
        since = self.running_since
        return (
            not self.is_known_bound
            and self.is_listed_once_sent
            and now >= self.lease_unknown_until
            and since is not None
            and self.listed_at is not None
            and self.listed_at >= since + MIN_STORED_BINDING_S
        )

    @property
    def may_still_start(self) -> bool:
        """Return whether a start of the run may still be delivered.

        It may not once the run is listed or a stop of it is acknowledged: the
        worker refuses the run's number then if it has ended.
        """
        is_open = self.phase is RunPhase.SENT or (
            self.phase is RunPhase.UNRESOLVED
        )
        return is_open and self.stop_answered_at is None

    def expect_in_boot(self, boot: Boot, now: float) -> None:
        """Expect the run in the next boot of its worker, if it runs at all.

        If not all sends of its start were answered, one may still be
        delivered: the run is then resolved as one without an answer.
        """
        self.boot = boot
        self.is_in_recorded_boot = False
        self.begun_at = None
        self.speed_percent = FULL_SPEED_PERCENT
        self.is_speed_confirmed = False
        self.stop_sent_at = None
        self.stop_answered_at = None
        if self.phase is RunPhase.RUNNING:
            self.phase = RunPhase.UNRESOLVED
        if self.phase is RunPhase.SENT:
            return
        if self.send_count > 1 or self.unresolved_at is not None:
            self.confirmed_at = None
            self.unresolved_at = now


@dataclass(slots=True, eq=False)
class Task:
    """A task of a job, or a copy of one.

    ``run`` is the planned run or the one that may be running, None if there
    is none. ``failed_workers`` are the workers on which the task failed or
    stalled, ``crashes`` the crashes of workers under it that are held against
    it. ``open_losses`` counts the ends of its runs that may yet turn out to be
    crashes.

    A copy is a second run of the task on another worker. It is a ``Task`` with
    the same key, which ``copy`` of the original holds for as long as both have
    a run; ``copy_of`` is the original. Of a copy only ``run``, ``checkpoint``,
    and ``failed_workers`` and ``crashes``, which both share, are used.
    """

    key: TaskKey
    spec: StepSpec
    run: Run | None = None
    last_run_number: int = 0
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ''
    failed_workers: set[WorkerId] = field(default_factory=set)
    crashes: list[Crash] = field(default_factory=list)
    open_losses: int = 0
    copy: 'Task | None' = None
    copy_of: 'Task | None' = field(default=None, repr=False)

    @property
    def is_waiting(self) -> bool:
        """Return whether the task has no run, is not done, and may start.

        It may not while open losses would be crashes enough to give it up.
        """
        if self.run is not None or self.is_done:
            return False
        if not self.open_losses:
            return True
        return self.possible_crashes < MIN_CULPRIT_CRASHES

    @property
    def possible_crashes(self) -> int:
        """Return how many workers have crashed, or may have, under it."""
        return len(self.crashes) + self.open_losses

    @property
    def needs_isolation(self) -> bool:
        """Return whether the task may only run on a worker of its own."""
        return self.possible_crashes >= ISOLATION_CRASHES

    @property
    def crashed_workers(self) -> set[WorkerId]:
        """Return the workers that crashed under the task."""
        return {crash.worker for crash in self.crashes}

    @property
    def original(self) -> 'Task':
        """Return the task that this is a copy of, or the task itself."""
        return self.copy_of or self

    def tasks_with_runs(self) -> Iterator['Task']:
        """Iterate over the task and its copy, as far as they have a run."""
        if self.run is not None:
            yield self
        if self.copy is not None and self.copy.run is not None:
            yield self.copy

    def add_copy(self, run: Run) -> 'Task':
        """Add a copy of the task with a run, and return it."""
        self.copy = Task(
            self.key,
            self.spec,
            run,
            checkpoint=self.checkpoint,
            failed_workers=self.failed_workers,
            crashes=self.crashes,
            copy_of=self,
        )
        return self.copy

    @property
    def is_serving(self) -> bool:
        """Return whether a long-running task reports that it serves."""
        run = self.run
        return run is not None and run.progress_percent >= SERVING_PERCENT

    def to_record(self) -> TaskRecord:
        """Return the record of the task that is to be stored."""
        runs = [task.run for task in self.tasks_with_runs() if task.run]
        run = runs[-1] if runs else None
        is_told_by_fields = len(runs) <= 1 and (
            run is None or run.number == self.last_run_number
        )
        return TaskRecord(
            self.key.occurrence,
            self.key.step,
            self.key.number,
            self.last_run_number,
            self.is_done,
            run is not None,
            run.worker if run else WorkerId(''),
            run.boot if run else Boot(0),
            self.failures,
            self.checkpoint,
            () if is_told_by_fields else tuple(map(to_run_record, runs)),
            tuple(self.crashes),
            run is not None and run.is_known_bound,
        )


def restore_task(key: TaskKey, step: StepSpec, record: TaskRecord) -> Task:
    """Return a task from the record that a previous owner stored.

    A run that the record says may be running becomes ``UNRESOLVED``. A second
    one becomes that of the task's copy.
    """
    task = Task(
        key,
        step,
        last_run_number=record.last_run_number,
        is_done=record.is_done,
        failures=record.failures,
        checkpoint=record.checkpoint,
        crashes=list(record.crashes),
    )
    runs = record.runs
    if record.may_run and not runs:
        number = record.last_run_number
        runs = (
            RunRecord(number, record.worker, record.boot, record.is_bound),
        )
    if runs:
        task.run = restore_run(runs[0])
    for run_record in runs[1:]:
        task.add_copy(restore_run(run_record))
    return task


def to_run_record(run: Run) -> RunRecord:
    """Return the record of a run that is to be stored."""
    return RunRecord(run.number, run.worker, run.boot, run.is_known_bound)


def restore_run(record: RunRecord) -> Run:
    """Return a run from its record, as one that may be running."""
    return Run(
        record.number,
        record.worker,
        record.boot,
        RunPhase.UNRESOLVED,
        # The previous owner may have throttled it.
        is_speed_confirmed=False,
        is_known_bound=record.is_bound,
    )
