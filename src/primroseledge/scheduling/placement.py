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
import heapq
from typing import Final

from primroseledge.ids import WorkerId
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.workers.worker import Worker

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

    def has_capacity_for(self, worker: Worker, resources: Resources) -> bool:
        """Return whether resources fit in a worker's free capacity.

        What ``uncounted_resources`` has for the worker counts as used.
        """
        uncounted = self.uncounted_resources.get(worker.id)
        if uncounted is not None:
            resources = resources.plus(uncounted)
        return worker.has_capacity_for(resources)

    def used_share(self, worker: Worker) -> float:
        """Return the share of a worker's capacity in use, as a fraction.

        It is that of the processors or of the memory, whichever is larger,
        and includes ``uncounted_resources``.
        """
        used = worker.occupied_capacity
        uncounted = self.uncounted_resources.get(worker.id)
        if uncounted is not None:
            used = used.plus(uncounted)
        capacity = worker.entry.capacity
        return max(
            used.cpu_millis / max(1, capacity.cpu_millis),
            used.memory_mb / max(1, capacity.memory_mb),
        )


def count_placement(
    step: StepOccurrence, workers: dict[WorkerId, Worker]
) -> StepPlacement:
    """Return how many of a step's tasks may run per worker and per rack.

    Copies count as tasks.
    A run on a worker that is no longer known has no rack and is counted
    per worker only.
    """
    placement = StepPlacement()
    runs = (
        running.run
        for task in step.tasks
        for running in task.tasks_with_runs()
        if running.run is not None
    )
    for run in runs:
        placement.per_worker[run.worker] += 1
        worker = workers.get(run.worker)
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
    needed = step.counted_resources
    fitting = [
        worker
        for worker in workers
        if placement.has_capacity_for(worker, needed)
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
    that all tasks run in the racks where the step runs, if it prefers a single
    one (see ``rack_spread``). Free capacity is not checked.
    """
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    max_tasks = step.max_per_worker
    if max_tasks and placement.per_worker[worker.id] >= max_tasks:
        return False
    if step.needs_single_rack and placement.per_rack:
        return worker.rack in placement.per_rack
    return True


def could_take(
    step: StepSpec, worker: Worker, placement: StepPlacement
) -> bool:
    """Return whether a worker could take a task without its batch tasks.

    ``placement`` counts the tasks of the task's step that are placed already.
    """
    if not is_allowed(step, worker, placement):
        return False
    needed = step.counted_resources.plus(
        placement.uncounted_resources.get(worker.id, NO_RESOURCES)
    )
    if worker.long_running_count:
        for task in worker.tasks.values():
            if task.spec.is_long_running:
                needed = needed.plus(task.spec.counted_resources)
    return needed.fits_in(worker.entry.capacity)


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
        return (
            is_outside_data_rack,
            not worker.long_running_count,
            -placement.used_share(worker),
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
        return (
            placement.per_worker[worker.id] >= max_tasks,
            count_interfering_tasks(step, worker),
            not worker.long_running_count,
            placement.per_worker[worker.id],
            placement.per_rack[worker.rack],
            placement.used_share(worker),
        )

    return rank


def count_interfering_tasks(step: StepSpec, worker: Worker) -> int:
    """Return how many tasks on a worker would interfere with a new one.

    Best-effort tasks slow down tasks with a response-time objective on the
    same worker. For a task of one of these kinds, the tasks of the other
    kind are counted.
    """
    if step.is_best_effort:
        return worker.objective_count
    if step.target_ms:
        return worker.best_effort_count
    return 0


def is_ranked_once(step: StepSpec) -> bool:
    """Return whether a worker's rank depends only on the worker itself.

    That of a long-running task depends on the other tasks in its rack; with a
    single rack for all tasks, the first one excludes all other racks.
    """
    return not step.is_long_running and not step.needs_single_rack


class BatchWorkerQueue:
    """The workers that can take a step's batch tasks, the best first.

    A worker's rank changes only with the tasks placed on it. So each worker
    is ranked once, and again after a task was placed on it, and not for
    every task of the step. The choices are those of ``choose_worker``, as
    long as nothing else is placed on the workers in between.
    """

    def __init__(
        self,
        step: StepSpec,
        workers: Sequence[Worker],
        placement: StepPlacement,
    ) -> None:
        self.step = step
        self.placement = placement
        self.needed = step.counted_resources
        self.rank = rank_batch(step, placement)
        self.heap = [
            (self.rank(worker), number, worker)
            for number, worker in enumerate(workers)
            if self.is_fitting(worker)
        ]
        heapq.heapify(self.heap)

    def is_fitting(self, worker: Worker) -> bool:
        """Return whether a worker has the capacity and the rules allow it."""
        return self.placement.has_capacity_for(
            worker, self.needed
        ) and is_allowed(self.step, worker, self.placement)

    def best_worker(self) -> Worker | None:
        """Return the best worker for the next task, or None."""
        return self.heap[0][2] if self.heap else None

    def rank_again(self) -> None:
        """Rank the best worker again, after a task was placed on it."""
        _, number, worker = self.heap[0]
        if self.is_fitting(worker):
            row = (self.rank(worker), number, worker)
            heapq.heapreplace(self.heap, row)
        else:
            heapq.heappop(self.heap)
