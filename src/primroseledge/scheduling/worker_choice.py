"""Choose the workers on which the waiting tasks of one step start."""

import collections
from collections.abc import Sequence
from operator import itemgetter

from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Task
from primroseledge.scheduling.placement import BatchWorkerQueue
from primroseledge.scheduling.placement import choose_worker
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import is_ranked_once
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.workers.worker import Worker


class WorkerChooser:
    """Chooses workers for the tasks of one step, one after the other.

    Where the rank of a worker depends only on itself, all workers are ranked
    once for the step; otherwise they are compared for each task.
    ``unasked_workers`` may be able to take a task too, but the advisory
    service has yet to say so.
    """

    def __init__(
        self,
        step: StepSpec,
        workers: list[Worker],
        placement: StepPlacement,
        unasked_workers: Sequence[Worker] = (),
    ) -> None:
        self.step = step
        self.workers = workers
        self.placement = placement
        self.unasked_workers = unasked_workers
        self.queue: BatchWorkerQueue | None = None
        self.unplaced_after: list[set[WorkerId]] = []

    def choose(self, task: Task) -> Worker | None:
        """Return the best worker for a task, or None if none has capacity."""
        if task.failed_workers:
            return self.choose_again(task)
        if task.possible_crashes:
            return self.choose_apart(task)
        if not is_ranked_once(self.step):
            return choose_worker(self.step, self.workers, self.placement)
        if self.queue is None:
            self.queue = BatchWorkerQueue(
                self.step, self.workers, self.placement
            )
        return self.queue.best_worker()

    def choose_apart(self, task: Task) -> Worker | None:
        """Return the best worker for a task under which a worker crashed.

        A worker that did not crash under it comes first, and the fewer such
        tasks of other jobs are on it, the better: the next crash then says
        more, and fewer fall again.
        """
        by_rank = collections.defaultdict[tuple[int, ...], list[Worker]](list)
        for worker in self.workers:
            has_crashed = worker.id in task.crashed_workers
            suspects = count_suspects(worker, task.key.job)
            by_rank[has_crashed, suspects].append(worker)
        for _, workers in sorted(by_rank.items(), key=itemgetter(0)):
            chosen = choose_worker(self.step, workers, self.placement)
            if chosen is not None:
                return chosen
        return None

    def choose_again(self, task: Task) -> Worker | None:
        """Return the best worker for a task that has failed, or None.

        A worker on which it failed is chosen only if no other has capacity,
        nor one that the advisory service has yet to be asked about. Besides, a
        task must have succeeded there since, unless the rules and the size of
        the step leave no other, or the task is long-running and may fail any
        number of times.
        """
        if task.failed_workers in self.unplaced_after:
            return None
        others = [w for w in self.workers if w.id not in task.failed_workers]
        failed = [w for w in self.workers if w.id in task.failed_workers]
        if not self.step.is_long_running and any(
            could_take(self.step, other, self.placement) for other in others
        ):
            job = task.key.job
            failed = [w for w in failed if not w.quarantine.is_suspect(job)]
        unasked = [
            worker
            for worker in self.unasked_workers
            if worker.id not in task.failed_workers
        ]
        if choose_worker(self.step, unasked, self.placement) is not None:
            failed = []
        for workers in (others, failed):
            worker = choose_worker(self.step, workers, self.placement)
            if worker is not None:
                return worker
        self.unplaced_after.append(task.failed_workers)
        return None

    def record_placement(self, worker: Worker) -> None:
        """Rank the workers again after a task was placed on one of them."""
        queue = self.queue
        if queue is not None and queue.best_worker() is worker:
            queue.rank_again()
        else:
            self.queue = None


def count_suspects(worker: Worker, job: JobId) -> int:
    """Return how many tasks of other jobs there may have crashed workers."""
    return sum(
        bool(task.original.possible_crashes) and task.key.job != job
        for task in worker.tasks.values()
    )
