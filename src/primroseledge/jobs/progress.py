"""Stored records of the progress of a job and its tasks."""

from enum import Enum
from typing import Final

from msgspec import Struct

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.crash import Crash


class JobState(Enum):
    """The state of a job, as stored and as reported to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETED = 'completed'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


FINAL_STATES: Final = frozenset(
    (JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
)


class RunRecord(Struct, frozen=True, array_like=True):
    """A run that may be running on a worker in one of its boots.

    ``is_bound`` means that no other boot can have it. Records of earlier
    versions lack that, which only lets a new owner wait longer.
    """

    number: int
    worker: WorkerId
    boot: Boot
    is_bound: bool = False


class TaskRecord(Struct, frozen=True, array_like=True):
    """The stored state of a task for which a run was planned.

    ``occurrence``, ``step`` and ``number`` identify it within its job.
    ``may_run`` means that run ``last_run_number`` may be running on
    ``worker`` in ``boot``; without it these two are empty. A task with
    ``is_done`` never starts again. ``failures`` counts its failed attempts.
    ``runs`` is empty where these fields tell all. Otherwise it has the runs
    that may be running: that of the task, and that of its copy if there is
    one. The fields before describe the newest of them then. ``crashes`` are
    those of its workers that are held against it. ``is_bound`` is that of the
    run which the fields describe, see ``RunRecord``.
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
    runs: tuple[RunRecord, ...] = ()
    crashes: tuple[Crash, ...] = ()
    is_bound: bool = False


class ProgressRecord(Struct, frozen=True, array_like=True):
    """The stored state of a job and of its tasks.

    It is stored again when the job or a task changes. Once ``state`` is final
    it holds only the tasks that may still be running. ``updated_ms`` is in ms
    since 1970. ``failure_reason`` says why a job failed. ``has_started`` means
    that a worker has begun one of its tasks.
    """

    id: JobId
    state: JobState
    tasks: tuple[TaskRecord, ...] = ()
    updated_ms: int = 0
    failure_reason: str = ''
    has_started: bool = False
