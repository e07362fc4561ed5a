"""The thread that carries out the controllers' steps.

It makes calls of the store and the platform that may take seconds, so
the loop can't make them. It holds no state that matters: plans, claims
and jobs stand in the store, and each step is written there, by
compare-and-swap, before it is carried out.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from queue import SimpleQueue
from threading import Thread
from typing import Final

from primroseledge.gateway.loop import Loop
from primroseledge.gateway.node import Node
from primroseledge.ids import CellId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.policy.control_input import ControlRequest
from primroseledge.policy.control_input import Epochs
from primroseledge.policy.control_input import job_input
from primroseledge.policy.control_input import pool_input
from primroseledge.policy.control_input import take_request
from primroseledge.policy.control_input import TasksByWorker
from primroseledge.policy.job_controller import JobController
from primroseledge.policy.job_controller import JobReport
from primroseledge.policy.plan import StepReport
from primroseledge.policy.policy_state import ControlNews
from primroseledge.policy.pool_rounds import PoolRounds
from primroseledge.requests.actions import Action
from primroseledge.storage.task_service import PlatformError
from primroseledge.storage.task_service import TaskState

STEP_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class ControlDone:
    """The end of a round."""

    news: ControlNews

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give it to the node."""
        node.policy.news = self.news
        node.policy.is_stepping = False
        return []


class ControlThread:
    """Steps the controllers of the cells that this node owns.

    ``owned`` is replaced by the loop at each tick. A step begins only
    while the epochs that it rests on stand there; it may end later,
    which the plan's revision and the ids of the platform's calls fence.
    """

    def __init__(
        self, loop: Loop, pools: PoolRounds, jobs: JobController | None
    ) -> None:
        self.loop = loop
        self.pools = pools
        self.jobs = jobs
        self.job_epochs: Epochs = ()
        self.owned: Mapping[CellId, Epoch] = {}
        self.queue: SimpleQueue[ControlRequest | None] = SimpleQueue()
        self.thread = Thread(target=self.run, name='control', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to begin no further step."""
        self.owned = {}
        self.queue.put(None)

    # On the loop's thread.

    def offer(self, node: Node, now: float) -> None:
        """Note what the node owns, and begin a round when one is due."""
        acting = {
            cell: dispatcher
            for cell in node.dispatchers
            if (dispatcher := node.acting_dispatcher(cell, now)) is not None
            and dispatcher.is_open
            and not node.is_leaving
        }
        self.owned = {cell: item.epoch for cell, item in acting.items()}
        policy = node.policy
        if not acting or policy.is_stepping or now < policy.step_due:
            return
        policy.is_stepping = True
        policy.step_due = now + STEP_S
        self.queue.put(
            take_request(node.configuration, policy.listing, acting, now)
        )

    # On this thread.

    def run(self) -> None:
        """Carry out rounds until stopped."""
        while (request := self.queue.get()) is not None:
            request.group()
            self.loop.post(ControlDone(self.round(request)))

    def round(self, request: ControlRequest) -> ControlNews:
        """Step the jobs, then every pool that needs it."""
        jobs = self.step_jobs(request)
        reports: dict[PoolId, StepReport] = {}
        tasks = self.tasks_by_worker()
        for pool in self.pools.due(request):
            epochs = request.epochs_of(pool)
            if epochs is None or not self.is_owned(epochs):
                continue
            given = pool_input(request, pool, tasks)
            try:
                reports[pool] = self.pools.step(pool, epochs, request, given)
            except Exception as error:
                # A record that can't be read must not stop other pools.
                report_failure(f'pool {pool}', error)
        self.pools.count_buffers(request)
        known = self.jobs.jobs if self.jobs is not None else {}
        values = {name: held.value for name, held in known.items()}
        return ControlNews(reports, jobs, values)

    def is_owned(self, epochs: Epochs) -> bool:
        """Tell whether epochs still stand, as the loop last saw it."""
        owned = self.owned
        return all(owned.get(cell) == epoch for cell, epoch in epochs)

    def step_jobs(self, request: ControlRequest) -> JobReport:
        """Step the jobs when the first cell is owned here."""
        work = request.cells.get(request.home)
        if self.jobs is None or work is None:
            return JobReport()
        epochs = ((request.home, work.epoch),)
        if epochs != self.job_epochs:
            self.jobs = JobController(self.jobs.records, self.jobs.tasks)
            self.job_epochs = epochs
        if not self.is_owned(epochs):
            return JobReport()
        try:
            return self.jobs.step(request.now, job_input(request))
        except Exception as error:
            # A record that can't be read must not stop the pools.
            report_failure('jobs', error)
            return JobReport()

    def tasks_by_worker(self) -> TasksByWorker | None:
        """Return the running tasks, None when they can't be told."""
        if self.jobs is None:
            return {}
        try:
            tasks = self.jobs.tasks.tasks()
        except PlatformError:
            return None
        found: dict[InstanceId, tuple[str, ...]] = {}
        for task in tasks:
            if task.state is TaskState.RUNNING:
                before = found.get(task.worker, ())
                found[task.worker] = (*before, task.task_id)
        return found


def report_failure(subject: str, error: Exception) -> None:
    """Log a step that ended with a defect."""
    problem = f'{type(error).__name__}: {error}'
    log(Event.CONTROL_FAILED, subject=subject, problem=problem)
