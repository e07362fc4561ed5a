"""A simulated fleet with tasks that crash workers and capacity that shrinks.

The address of a crashed worker refuses connections until it is back. Workers
of one service start whatever they are told to.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from primroseledge.cluster.commands import WorkerReport
from primroseledge.ids import Boot
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from standins.worker_core import SimWorker
from tests.fleet_rule_checker import FleetRuleChecker
from tests.restart_world import RestartWorld
from tests.sim_node import SimNode

DEADLY_DELAYS_S = (0.005, 0.01, 0.05, 0.4)
"""Times in s after its start at which a task crashes its worker."""

DOWN_S = (4.0, 4.0, 12.0)
"""Longest times in s until a crashed worker is back, some after a lease."""

MIN_CULPRIT_CRASHES = 2
"""Crashes under a task after which it may be given up."""

MAX_CRASHES = 3
MAX_STARTS_AFTER_CRASHES = 2
"""Starts of a task that crashes its workers after ``MAX_CRASHES``."""

SHRUNK_CAPACITY_S = 4.0
"""Time in s after which a capacity that has shrunk counts."""

UNGUARDED_SERVICE = ServiceId('iron')


@dataclass
class CrashHistory:
    """The crashes under a task, and its starts after the third of them."""

    crashes: int = 0
    late_starts: int = 0


class CrashChecker(FleetRuleChecker):
    """A rule checker for deadly tasks and workers over their capacity.

    ``deadly`` are the tasks that crash their workers, and after how long;
    ``on_deadly_start`` is called when one starts. ``changes`` has the
    capacities that workers had before, with the time until which they did.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.deadly: dict[TaskKey, float] = {}
        self.crashes: dict[TaskKey, CrashHistory] = {}
        self.changes = collections.defaultdict[
            WorkerId, list[tuple[float, Resources]]
        ](list)
        self.workers: dict[WorkerId, SimWorker] = {}
        self.on_deadly_start: Callable[[SimWorker, TaskKey], None] = (
            lambda _worker, _task: None
        )

    def started(self, order: SendStart, worker: WorkerId, now: float) -> None:
        super().started(order, worker, now)
        history = self.crashes.get(order.task)
        if order.task in self.deadly and history is not None:
            history.late_starts += history.crashes >= MAX_CRASHES
            if history.late_starts > MAX_STARTS_AFTER_CRASHES:
                self.violations.append(
                    f'BUDGET {order.task} after {history.crashes} crashes'
                )
        self.check_capacity(order, self.workers[worker], now)
        if order.task in self.deadly:
            self.on_deadly_start(self.workers[worker], order.task)

    def lost(
        self, task: TaskKey, run: int, worker: WorkerId, now: float
    ) -> None:
        super().lost(task, run, worker, now)
        self.crashes.setdefault(task, CrashHistory()).crashes += 1

    def check_capacity(
        self, order: SendStart, worker: SimWorker, now: float
    ) -> None:
        """Check a start against the largest capacity of the last seconds."""
        largest = max(
            [worker.capacity.cpu_millis]
            + [
                capacity.cpu_millis
                for until, capacity in self.changes[worker.id]
                if until >= now - SHRUNK_CAPACITY_S
            ]
        )
        if worker.used().cpu_millis > largest:
            self.violations.append(
                f'LIMIT {order.task} on {worker.id} at {now:.3f}: '
                f'{worker.used().cpu_millis} of {largest}'
            )


class CrashWorld(RestartWorld):
    """A simulated fleet whose crashed workers refuse connections."""

    rule_checker: CrashChecker

    def has_failure_cause(self, job_id: JobId) -> bool:
        """Return whether a job failed, or has a task that crashes workers."""
        is_deadly = any(
            task.job == job_id and history.crashes >= MIN_CULPRIT_CRASHES
            for task, history in self.rule_checker.crashes.items()
            if task in self.rule_checker.deadly
        )
        return is_deadly or super().has_failure_cause(job_id)

    def is_refused(self, sim: SimNode, worker: SimWorker) -> bool:
        """Return whether nothing listens at a worker that can be reached."""
        is_cut = worker.id in sim.unreachable_workers
        return not worker.is_alive and not worker.is_gone and not is_cut

    def deliver_poll(
        self,
        sim: SimNode,
        poll: SendPoll,
        epoch: Epoch,
        sent_at: float,
        deadline: float,
        boot: Boot | None = None,
    ) -> None:
        """Refuse a poll of a worker that has crashed."""
        worker = self.workers[poll.target.worker]
        if not self.is_refused(sim, worker):
            super().deliver_poll(sim, poll, epoch, sent_at, deadline, boot)
            return
        report = PollFailed(
            worker.id,
            poll.target.boot,
            OrderResult.NOT_SENT,
            was_closed=True,
        )
        self.schedule_after(
            0.002, lambda: self.complete_poll(sim, report, epoch)
        )

    def deliver_order(
        self, sim: SimNode, worker: SimWorker, order: Any, epoch: Epoch
    ) -> None:
        """Refuse an order to a worker that has crashed."""
        if not self.is_refused(sim, worker):
            super().deliver_order(sim, worker, order, epoch)
            return
        answer = OrderEnded(
            order, OrderResult.NOT_SENT, None, self.now, self.now
        )
        self.schedule_after(
            0.002,
            lambda: self.run_when_unfrozen(
                sim,
                lambda: sim.node.handle_worker_report(
                    WorkerReport(epoch, answer), self.now
                ),
            ),
        )

    def crash_under(self, worker: SimWorker, task: TaskKey) -> None:
        """Crash a worker if it still runs a task; it is back later."""
        if worker.is_alive and task in worker.runs:
            longest_s = self.random.choice(DOWN_S)
            self.crash(worker, self.random.uniform(0.5, longest_s))

    def crash(self, worker: SimWorker, down_s: float) -> None:
        """Crash a worker for some seconds."""
        self.record_trace(f'crash {worker.id}')
        worker.crash(self.now)
        self.schedule_after(down_s, lambda: self.revive(worker))

    def revive(self, worker: SimWorker) -> None:
        """Start a crashed worker again."""
        if not worker.is_alive and not worker.is_gone:
            worker.reboot(self.now)
