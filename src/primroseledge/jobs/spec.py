"""What a caller hands in: a job of steps, each of equal tasks."""

from msgspec import Struct

from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.resources import Resources


class StepSpec(Struct, frozen=True, array_like=True, kw_only=True):
    """A step: ``count`` tasks that need the same.

    ``after`` are the numbers of earlier steps that must be done first.
    ``required_label`` is a label that the worker must have, ``data_rack`` the
    rack near its data. ``max_per_worker`` 0 means no such bound, as
    ``target_ms`` 0 means no objective of its own. ``is_best_effort`` tasks
    use the processor time that others leave, so their processors are
    not counted.
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
    def counted_resources(self) -> Resources:
        """Return what one task takes of a worker's capacity."""
        if not self.is_best_effort:
            return self.resources
        return Resources(
            0, self.resources.memory_mb, self.resources.accelerators
        )


class JobSpec(Struct, frozen=True, array_like=True, kw_only=True):
    """A job as handed in; times are ms since 1970.

    Without ``repetitions`` the steps run once, at once. Otherwise
    occurrence k is due at ``first_run_ms`` + k x ``interval_ms``.
    """

    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """Return how many times the steps run."""
        return max(1, self.repetitions)

    def due_at_ms(self, occurrence: int) -> int:
        """Return when an occurrence is due; 0 for at once."""
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


class AcceptedJob(Struct, frozen=True, array_like=True, kw_only=True):
    """The record of a job's acceptance; it never changes."""

    id: JobId
    queue: QueueId
    workspace: WorkspaceId
    accepted_ms: int
    spec: JobSpec


def find_spec_problem(spec: JobSpec) -> str:
    """Return what is wrong with a job, or an empty text."""
    if not spec.steps:
        return 'a job needs a step'
    for number, step in enumerate(spec.steps):
        if step.count < 1:
            return f'step {number} has no task'
        if any(not 0 <= earlier < number for earlier in step.after):
            return f'step {number} comes after a step that is not earlier'
        if not Resources().fits_in(step.resources):
            return f'step {number} needs less than nothing'
    return ''
