"""The record of how far a job has come."""

from enum import Enum
from typing import Final

from msgspec import Struct

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId


class JobState(Enum):
    """What a caller is told about a job."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES: Final = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class TaskRecord(Struct, frozen=True, array_like=True):
    """What is kept of a task that was ever to be started.

    ``may_run`` says that run ``last_run_number`` may be running on the
    worker. A task that is done has ``is_done`` set and never starts again.
    """

    occurrence: int
    step: int
    number: int
    last_run_number: int
    is_done: bool
    may_run: bool
    worker: WorkerId
    boot: Boot
    failures: int
    checkpoint: str


class ProgressRecord(Struct, frozen=True, array_like=True):
    """A job's state and its tasks; rewritten when one of them changes.

    A final record keeps the tasks that may still be running.
    """

    id: JobId
    state: JobState
    tasks: tuple[TaskRecord, ...] = ()
    updated_ms: int = 0
