"""Simulated workers that run the tasks of a played load."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final
from typing import Protocol

from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.workers.worker import WorkerEntry

ONE_WAY_S: Final = 0.0005
STOP_S: Final = 0.1
POLL_TIMEOUT_S: Final = 0.5
BOOT_PERCENT_S: Final = 0.3
"""Time after which a long-running task serves."""


@dataclass(eq=False)
class SimRun:
    """A run on a simulated worker."""

    task: TaskKey
    number: int
    started_at: float
    lasts_s: float


@dataclass(eq=False)
class SimWorker:
    """A worker: its runs, its unacknowledged ends and a delayed poll."""

    entry: WorkerEntry
    runs: dict[TaskKey, SimRun] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    waiting_poll: SendPoll | None = None
    poll_sent_at: float = 0.0
    is_up: bool = True


class Surroundings(Protocol):
    """The clock of a simulation, and the engine that it plays on."""

    now: float

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Have an action done after a delay."""

    def post_event(
        self, event: OrderEnded | PollAnswered | PollFailed
    ) -> None:
        """Pass an event of a worker to the engine."""

    def run_s(self, task: TaskKey, run_number: int) -> float:
        """Return how long a run of a task takes, in seconds."""

    def record_start(self, job: JobId) -> None:
        """Record that a task of a job was started."""


class SimWorkers:
    """All workers that are up, by id."""

    def __init__(self, surroundings: Surroundings) -> None:
        self.surroundings = surroundings
        self.workers: dict[WorkerId, SimWorker] = {}

    @property
    def now(self) -> float:
        return self.surroundings.now

    def add(self, entry: WorkerEntry) -> SimWorker:
        worker = SimWorker(entry)
        self.workers[entry.id] = worker
        return worker

    def remove(self, worker: SimWorker) -> None:
        """End a worker, and with it all its runs."""
        worker.is_up = False
        del self.workers[worker.entry.id]

    def start(self, order: SendStart) -> None:
        worker = self.workers.get(order.target.worker)
        result = OrderResult.UNANSWERED
        if worker is not None:
            result = OrderResult.DONE
            run_s = self.surroundings.run_s(order.task, order.run_number)
            run = SimRun(order.task, order.run_number, self.now, run_s)
            worker.runs[order.task] = run
            if run_s != inf:
                self.surroundings.after(
                    run_s, lambda: self.end_run(worker, run)
                )
            self.surroundings.record_start(order.task.job)
        self.answer(order, result)

    def answer(self, order: SendStart | SendStop, result: OrderResult) -> None:
        clock_ms = None
        if result is OrderResult.DONE:
            clock_ms = int(self.now * 1000)
        sent_at = self.now - ONE_WAY_S
        event = OrderEnded(order, result, clock_ms, sent_at, self.now)
        self.surroundings.after(
            ONE_WAY_S,
            lambda: self.surroundings.post_event(event),
        )

    def stop(self, order: SendStop) -> None:
        worker = self.workers.get(order.target.worker)
        if worker is None:
            self.answer(order, OrderResult.UNANSWERED)
            return
        run = worker.runs.get(order.task)
        if run is not None and run.number == order.run_number:
            self.surroundings.after(
                STOP_S, lambda: self.end_run(worker, run, EndKind.STOPPED)
            )
        self.answer(order, OrderResult.DONE)

    def end_run(
        self, worker: SimWorker, run: SimRun, kind: EndKind = EndKind.DONE
    ) -> None:
        if worker.runs.get(run.task) is not run or not worker.is_up:
            return
        del worker.runs[run.task]
        worker.end_count += 1
        worker.ends.append(
            RunEnd(worker.end_count, run.task, run.number, kind, '')
        )
        if worker.waiting_poll is not None:
            self.answer_poll(worker, worker.waiting_poll)

    def poll(self, poll: SendPoll, sent_at: float) -> None:
        worker = self.workers.get(poll.target.worker)
        if worker is None:
            failure = PollFailed(
                poll.target.worker, poll.target.boot, OrderResult.UNANSWERED
            )
            self.surroundings.after(
                POLL_TIMEOUT_S,
                lambda: self.surroundings.post_event(failure),
            )
            return
        worker.ends = [
            e for e in worker.ends if e.number > poll.acked_end_number
        ]
        worker.poll_sent_at = sent_at
        if worker.ends or not poll.wait_s:
            self.answer_poll(worker, poll)
            return
        worker.waiting_poll = poll
        self.surroundings.after(
            poll.wait_s, lambda: self.answer_poll(worker, poll, True)
        )

    def answer_poll(
        self, worker: SimWorker, poll: SendPoll, is_timeout: bool = False
    ) -> None:
        if is_timeout and worker.waiting_poll is not poll:
            return
        worker.waiting_poll = None
        event = PollAnswered(
            worker.entry.id,
            worker.entry.boot,
            int(self.now * 1000),
            tuple(
                ListedRun(r.task, r.number, '', self.progress_of(r), 0)
                for r in worker.runs.values()
            ),
            tuple(worker.ends),
            poll.acked_end_number,
            worker.poll_sent_at,
            self.now + ONE_WAY_S,
        )
        self.surroundings.after(
            ONE_WAY_S,
            lambda: self.surroundings.post_event(event),
        )

    def progress_of(self, run: SimRun) -> int:
        """Return a run's progress, which always grows with its time."""
        ran_s = self.now - run.started_at
        if run.lasts_s == inf:
            return 100 if ran_s >= BOOT_PERCENT_S else 0
        return int(100 * ran_s / run.lasts_s)
