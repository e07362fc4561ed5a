"""Tasks and their runs, as the owner holds them."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.spec import StepSpec

SERVING_PERCENT: Final = 100


class TaskKey(NamedTuple):
    """Names one task of one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int
    number: int

    @property
    def name(self) -> str:
        """Return the key as text, for logs."""
        return '.'.join(str(part) for part in self)


class RunPhase(Enum):
    """How far a run has come.

    A ``PLANNED`` one is not stored yet, a ``SENT`` one was ordered and
    not answered, an ``UNRESOLVED`` one may or may not be running.
    """

    PLANNED = 'planned'
    SENT = 'sent'
    RUNNING = 'running'
    UNRESOLVED = 'unresolved'


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    ``confirmed_at`` is when the worker answered the start; a look that
    was sent later must show the run or its end. ``reported_load`` is what the
    worker last said of it: the tail of its response times in ms for a
    task with an objective, else the processors in use. A long-running
    task is at work when its ``progress_percent`` is 100.
    """

    number: int
    worker: WorkerId
    boot: Boot
    phase: RunPhase = RunPhase.PLANNED
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
    speed_percent: int = 100
    throttled_at: float = 0.0


@dataclass(slots=True, eq=False)
class Task:
    """A task; it has at most one run that may be running."""

    key: TaskKey
    spec: StepSpec
    run: Run | None = None
    last_run_number: int = 0
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ''
    failed_on: set[WorkerId] = field(default_factory=set)

    @property
    def is_waiting(self) -> bool:
        """Tell whether it is to be started."""
        return self.run is None and not self.is_done

    @property
    def is_serving(self) -> bool:
        """Tell whether a long-running task serves."""
        run = self.run
        return run is not None and run.progress_percent >= SERVING_PERCENT

    def to_record(self) -> TaskRecord:
        """Return what is to be stored of it."""
        run = self.run
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
        )


def restore_task(key: TaskKey, step: StepSpec, record: TaskRecord) -> Task:
    """Return a task as a predecessor stored it."""
    task = Task(
        key,
        step,
        last_run_number=record.last_run_number,
        is_done=record.is_done,
        failures=record.failures,
        checkpoint=record.checkpoint,
    )
    if record.may_run:
        task.run = Run(
            record.last_run_number,
            record.worker,
            record.boot,
            RunPhase.UNRESOLVED,
        )
    return task
