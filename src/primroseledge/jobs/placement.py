"""Choose the worker for a task.

Batch tasks spread over the emptiest workers, so that the loss of one
costs little. Long-running ones spread over racks, apart from tasks that
fill the processors beside them.
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
"""A step's long-running tasks are spread over so many workers."""


@dataclass(slots=True)
class StepPlacement:
    """Where the tasks of one step run, counted once for all of them."""

    per_worker: collections.Counter[WorkerId] = field(
        default_factory=collections.Counter
    )
    per_rack: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    planned_resources: dict[WorkerId, Resources] = field(default_factory=dict)

    def add_task(self, worker: Worker, step: StepSpec) -> None:
        """Count a task that is about to be placed."""
        self.per_worker[worker.id] += 1
        self.per_rack[worker.rack] += 1
        planned = self.planned_resources.get(worker.id, NO_RESOURCES)
        self.planned_resources[worker.id] = planned.plus(
            step.counted_resources
        )

    def free_capacity(self, worker: Worker) -> Resources:
        """Return what is left at a worker."""
        return worker.free_capacity.minus(
            self.planned_resources.get(worker.id, NO_RESOURCES)
        )


def count_placement(
    step: StepOccurrence, workers: dict[WorkerId, Worker]
) -> StepPlacement:
    """Count where a step's tasks may be running."""
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
    """Return the best worker with room for a task, if there is one."""
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
    """Tell whether a step's own rules let a task run on a worker."""
    if step.required_label and step.required_label not in worker.entry.labels:
        return False
    most = step.max_per_worker
    if most and placement.per_worker[worker.id] >= most:
        return False
    if step.needs_single_rack and placement.per_rack:
        return worker.rack in placement.per_rack
    return True


Rank = Callable[[Worker], tuple[float, ...]]


def rank_batch(step: StepSpec, placement: StepPlacement) -> Rank:
    """Prefer the rack near the data, then the fullest worker.

    The others get empty sooner and can be given back. Those with
    long-running tasks stay in any case.
    """

    def rank(worker: Worker) -> tuple[float, ...]:
        is_far = bool(step.data_rack) and worker.rack != step.data_rack
        hosts = any(t.spec.is_long_running for t in worker.tasks.values())
        return (is_far, not hosts, -used_share(worker, placement))

    return rank


def rank_long_running(step: StepSpec, placement: StepPlacement) -> Rank:
    """Prefer a few workers that keep such tasks, and racks in turn.

    The others of a pool can then be given back when demand is low.
    """

    most = max(1, -(-step.count // LONG_RUNNING_WORKERS))

    def rank(worker: Worker) -> tuple[float, ...]:
        hosts = any(t.spec.is_long_running for t in worker.tasks.values())
        return (
            placement.per_worker[worker.id] >= most,
            count_interfering_tasks(step, worker),
            not hosts,
            placement.per_worker[worker.id],
            placement.per_rack[worker.rack],
            used_share(worker, placement),
        )

    return rank


def count_interfering_tasks(step: StepSpec, worker: Worker) -> int:
    """Return how many tasks there disturb, or are disturbed by, a task."""
    if step.is_best_effort:
        return sum(1 for t in worker.tasks.values() if t.spec.target_ms)
    if step.target_ms:
        return sum(1 for t in worker.tasks.values() if t.spec.is_best_effort)
    return 0


def used_share(worker: Worker, placement: StepPlacement) -> float:
    """Return the larger share of processors or memory in use."""
    room = placement.free_capacity(worker)
    capacity = worker.entry.capacity
    cpu = 1 - room.cpu_millis / max(1, capacity.cpu_millis)
    memory = 1 - room.memory_mb / max(1, capacity.memory_mb)
    return max(cpu, memory)
