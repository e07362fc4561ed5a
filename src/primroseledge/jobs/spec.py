"""Jobs as callers submit them: steps, each with a number of tasks."""

from typing import Final

from msgspec import Struct

from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.resources import Resources

MAX_TASKS_PER_JOB: Final = 10_000
"""Most tasks of a job, those of all occurrences together.

The progress of all of them is one value of the store, which holds a megabyte.
"""


class StepSpec(Struct, frozen=True, array_like=True, kw_only=True):
    """A step of a job: ``count`` tasks with equal requirements.

    ``resources`` are those of one task and ``estimate_ms`` is its estimated
    duration. ``after`` are the numbers of earlier steps that must be done
    first. The tasks of a gang (``is_gang``) start together or not at all.
    ``required_label`` is a label that the worker must have, ``data_rack`` the
    rack near the step's data. ``max_per_worker`` limits the tasks on one
    worker; 0 means no limit. ``is_long_running`` tasks run until the job is
    cancelled. ``target_ms`` is the response-time objective of the tasks; 0
    means none. ``is_best_effort`` tasks use the processor time that other
    tasks leave idle, so their processors are not counted. ``max_unavailable``
    is how many tasks of the step may be unavailable at once when a task is
    stopped to empty its worker; 0 means no limit. Tasks of one ``image`` are
    expected to take about as long as their estimates, or to differ from them
    by the same factor; of steps without one that is expected only if they are
    ``is_speculative``. For the copies that such a step allows, see
    ``allows_copies``.
    """

    count: int
    resources: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves_checkpoints: bool = False
    is_gang: bool = False
    needs_single_rack: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ''
    target_ms: int = 0
    is_best_effort: bool = False
    max_unavailable: int = 0

    @property
    def allows_copies(self) -> bool:
        """Return whether two runs of a task may be running at a time.

        The tasks of gangs, long-running and best-effort ones get no copies.
        """
        return self.is_speculative and not (
            self.is_gang or self.is_long_running or self.is_best_effort
        )

    @property
    def counted_resources(self) -> Resources:
        """Return the part of a worker's capacity that one task uses.

        A best-effort task counts with its memory and accelerators only.
        """
        if not self.is_best_effort:
            return self.resources
        return Resources(
            0, self.resources.memory_mb, self.resources.accelerators
        )


class JobSpec(Struct, frozen=True, array_like=True, kw_only=True):
    """A job as submitted by a caller.

    An occurrence is one execution of all steps. Without ``repetitions`` there
    is one, which may start immediately. Otherwise there are ``repetitions``
    occurrences, and occurrence k (from 0) is due at ``first_run_ms`` + k x
    ``interval_ms``. ``first_run_ms`` is in ms since 1970.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return the number of occurrences, each of which runs all steps."""
        return max(1, self.repetitions)

    def due_at_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due, in ms since 1970.

        0 means that it may start immediately.
        """
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


class AcceptedJob(Struct, frozen=True, array_like=True, kw_only=True):
    """The stored record of an accepted job; it never changes.

    ``accepted_ms`` is in ms since 1970.
    """

    id: JobId
    queue: QueueId
    workspace: WorkspaceId
    accepted_ms: int
    spec: JobSpec


def find_spec_problem(spec: JobSpec) -> str:
    """Return why a job cannot be accepted, or an empty text if it can.

    The text is sent to the caller in the answer.
    """
    if not spec.steps:
        return 'a job needs a step'
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f'step {number} has no task'
        if any(not 0 <= earlier < number for earlier in step.after):
            return f'step {number} comes after a step that is not earlier'
        if not Resources().fits_in(step.resources):
            return f'step {number} needs less than nothing'
    tasks = spec.occurrences * sum(step.count for step in spec.steps)
    if tasks > MAX_TASKS_PER_JOB:
        return f'a job has at most {MAX_TASKS_PER_JOB} tasks, not {tasks}'
    return ''
