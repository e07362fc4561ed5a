"""Choose the worker on which a task starts.

Batch tasks are packed onto the fullest worker that has capacity for
them, so that other workers become empty and can be released.
Long-running tasks are spread over a few workers in different racks and
kept apart from best-effort tasks, which would slow them down.
"""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import WorkerId
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.worker import Worker

LONG_RUNNING_WORKERS: Final = 3
"""Number of workers over which a step's long-running tasks are spread.

While others have capacity, no worker gets more than an equal share of the
tasks.
"""


@dataclass(slots=True)
class StepPlacement:
    """The workers and racks on which the tasks of one step may be running.

    It is counted once before the tasks of a step are placed, and updated
    with each task that is placed.
    ``uncounted_resources`` are the resources of tasks that are placed here
    but not yet counted in ``Worker.used_capacity``.
    """

    per_worker: collections.Counter[WorkerId] = field(
        default_factory=collections.Counter
    )
    per_rack: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    uncounted_resources: dict[WorkerId, Resources] = field(
        default_factory=dict
    )

    def add_task(self, worker: Worker, step: StepSpec) -> None:
        """Count a task that is placed on a worker but not yet planned.

        Its resources are subtracted from the worker's free capacity when
        the next task of the step is placed.
        """
        self.per_worker[worker.id] += 1
        self.per_rack[worker.rack] += 1
        planned = self.uncounted_resources.get(worker.id, NO_RESOURCES)
        self.uncounted_resources[worker.id] = planned.plus(
            step.counted_resources
        )

    def free_capacity(self, worker: Worker) -> Resources:
        """Return a worker's free capacity less ``uncounted_resources``.

        An amount is negative if more is in use than the worker has.
        """
        return worker.free_capacity.minus(
            self.uncounted_resources.get(worker.id, NO_RESOURCES)
        )


def count_placement(
    step: StepOccurrence, workers: dict[WorkerId, Worker]
) -> StepPlacement:
    """Return how many of a step's tasks may run per worker and per rack.

    A run on a worker that is no longer known has no rack and is counted
    per worker only.
    """
    placement = StepPlacement()
    for task in step.tasks:
        if task.run is None:
            continue
        placement.per_worker[task.run.worker] += 1
        worker = workers.get(task.run.worker)
        if worker is not None:
            placement.per_rack[worker.rack] += 1
    return placement


def choose_worker(
    step: StepSpec, workers: Sequence[Worker], placement: StepPlacement
) -> Worker | None:
    """Return the best worker for one more task of a step.

    ``placement`` counts the tasks of the step that are placed already.
    Returns None if no worker has the free capacity and meets the rules of
    the step.
    """
    fitting = [
        worker
        for worker in workers
        if step.counted_resources.fits_in(placement.free_capacity(worker))
        and is_allowed(step, worker, placement)
    ]
    if not fitting:
        return None
    rank = rank_long_running if step.is_long_running else rank_batch
    return min(fitting, key=rank(step, placement))


def is_allowed(
    step: StepSpec, worker: Worker, placement: StepPlacement
) -> bool:
    """Return whether the rules of a step allow a task on a worker.

    The rules are the required label, the limit of tasks per worker, and
    that all tasks run in a single rack. Free capacity is not checked.
    """
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    max_tasks = step.max_per_worker
    if max_tasks and placement.per_worker[worker.id] >= max_tasks:
        return False
    if step.needs_single_rack and placement.per_rack:
        return worker.rack in placement.per_rack
    return True


Rank = Callable[[Worker], tuple[float, ...]]
"""A sort key of workers; the worker with the smallest key is chosen."""


def rank_batch(step: StepSpec, placement: StepPlacement) -> Rank:
    """Return the function that ranks workers for a batch task.

    It prefers workers in the rack of the step's data, then workers with
    long-running tasks, which can't be released soon in any case, then the
    fullest worker. The other workers become empty sooner and can then be
    released.
    """

    def rank(worker: Worker) -> tuple[float, ...]:
        is_outside_data_rack = (
            bool(step.data_rack) and worker.rack != step.data_rack
        )
        has_long_running = any(
            t.spec.is_long_running for t in worker.tasks.values()
        )
        return (
            is_outside_data_rack,
            not has_long_running,
            -used_share(worker, placement),
        )

    return rank


def rank_long_running(step: StepSpec, placement: StepPlacement) -> Rank:
    """Return the function that ranks workers for a long-running task.

    It compares workers by these criteria, in this order: fewer tasks of the
    step than an equal share (see ``LONG_RUNNING_WORKERS``), fewest tasks
    that would interfere, other long-running tasks on the worker, fewest
    tasks of the step on the worker, fewest in its rack, and least capacity
    in use. This gathers long-running tasks on a few workers, so that the
    others of a pool can be released when demand is low.
    """

    max_tasks = max(1, -(-step.count // LONG_RUNNING_WORKERS))

    def rank(worker: Worker) -> tuple[float, ...]:
        has_long_running = any(
            t.spec.is_long_running for t in worker.tasks.values()
        )
        return (
            placement.per_worker[worker.id] >= max_tasks,
            count_interfering_tasks(step, worker),
            not has_long_running,
            placement.per_worker[worker.id],
            placement.per_rack[worker.rack],
            used_share(worker, placement),
        )

    return rank


def count_interfering_tasks(step: StepSpec, worker: Worker) -> int:
    """Return how many tasks on a worker would interfere with a new one.

    Best-effort tasks slow down tasks with a response-time objective on the
    same worker. For a task of one of these kinds, the tasks of the other
    kind are counted.
    """
    if step.is_best_effort:
        return sum(1 for t in worker.tasks.values() if t.spec.target_ms)
    if step.target_ms:
        return sum(1 for t in worker.tasks.values() if t.spec.is_best_effort)
    return 0


def used_share(worker: Worker, placement: StepPlacement) -> float:
    """Return the share of a worker's capacity in use, as a fraction.

    It is that of the processors or of the memory, whichever is larger,
    and includes the planned tasks of ``placement``.
    """
    free = placement.free_capacity(worker)
    capacity = worker.entry.capacity
    cpu = 1 - free.cpu_millis / max(1, capacity.cpu_millis)
    memory = 1 - free.memory_mb / max(1, capacity.memory_mb)
    return max(cpu, memory)
