"""Simulated workers whose links lose, delay and reorder, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from typing import Final

from primroseledge.ids import WorkerId
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
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

ORDER_TIMEOUT_S: Final = 0.6
POLL_TIMEOUT_S: Final = 1.0
MAX_DELIVERY_S: Final = 2.0
"""Longest time after which a lost order may still be carried out."""

STOP_S: Final = 0.1
BOOT_S: Final = 0.3
FOREVER_S: Final = 1e9
CALM_DELAYS_S: Final = (0.001, 0.003, 0.01, 0.03)
LOSSY_DELAYS_S: Final = (0.001, 0.01, 0.05, 0.3)


class Timeline:
    """Virtual time, its events, and links that may lose messages.

    ``loss`` is the probability that a message is lost; 0 when all is calm.
    """

    def __init__(self, seed: int, now: float, loss: float) -> None:
        self.random = Random(seed)
        self.now = now
        self.loss = loss
        self.numbers = count()
        self.events: list[tuple[float, int, Callable[[], object]]] = []

    def at(self, when: float, action: Callable[[], object]) -> None:
        heappush(self.events, (when, next(self.numbers), action))

    def after(self, delay_s: float, action: Callable[[], object]) -> None:
        self.at(self.now + delay_s, action)

    def send(self, action: Callable[[], object]) -> None:
        """Do what a message does that arrives after a random delay."""
        delays = LOSSY_DELAYS_S if self.loss else CALM_DELAYS_S
        self.after(self.random.choice(delays), action)

    def is_lost(self) -> bool:
        return self.random.random() < self.loss

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heappop(self.events)
            action()
        self.now = until


@dataclass(eq=False)
class SimRun:
    """A run on a simulated worker."""

    number: int
    started_at: float
    spec: StepSpec


@dataclass(eq=False)
class SimWorker:
    """One life of a worker, with all that it knows."""

    entry: WorkerEntry
    born_at: float
    is_up: bool = True
    deadline_ms: int = 0
    runs: dict[TaskKey, SimRun] = field(default_factory=dict)
    last_over: dict[TaskKey, int] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    answer_poll: Callable[[], object] | None = None

    def clock_ms(self, now: float) -> int:
        return int((now - self.born_at) * 1000)

    def used(self) -> Resources:
        used = NO_RESOURCES
        for run in self.runs.values():
            used = used.plus(run.spec.counted_resources)
        return used

    def listed_runs(self, now: float) -> tuple[ListedRun, ...]:
        return tuple(
            ListedRun(key, run.number, '', progress_of(run, now), 0)
            for key, run in self.runs.items()
        )


def progress_of(run: SimRun, now: float) -> int:
    ran_s = now - run.started_at
    if run.spec.is_long_running:
        return 100 if ran_s > BOOT_S else 0
    return min(99, int(ran_s * 97))


class SimWorkers:
    """The workers that are up, and one thread of orders to each id.

    ``fail_share`` is the share of the runs that fail. ``post`` passes an
    event to the engine, ``spec_of`` finds the step of a task. Workers refuse
    orders and polls that are meant for another boot. ``double_runs`` are the
    tasks that were started while another worker ran them, with the time.
    """

    def __init__(
        self,
        time: Timeline,
        fail_share: float,
        post: Callable[[object], None],
        spec_of: Callable[[TaskKey], StepSpec],
    ) -> None:
        self.time = time
        self.fail_share = fail_share
        self.post = post
        self.spec_of = spec_of
        self.by_id: dict[WorkerId, SimWorker] = {}
        self.orders: dict[WorkerId, list[SendStart | SendStop]] = {}
        self.busy: set[WorkerId] = set()
        self.double_runs: list[tuple[float, TaskKey]] = []

    def boot(self, entry: WorkerEntry) -> SimWorker:
        worker = SimWorker(entry, self.time.now)
        self.by_id[entry.id] = worker
        return worker

    def end_life(self, worker: SimWorker) -> None:
        worker.is_up = False
        if self.by_id.get(worker.entry.id) is worker:
            del self.by_id[worker.entry.id]

    def expire_leases(self) -> None:
        for worker in list(self.by_id.values()):
            if worker.clock_ms(self.time.now) > worker.deadline_ms:
                for key, run in list(worker.runs.items()):
                    self.end_run(worker, key, run, EndKind.LEASE_EXPIRED)

    # Orders

    def order(self, order: SendStart | SendStop) -> None:
        worker = order.target.worker
        self.orders.setdefault(worker, []).append(order)
        if worker not in self.busy:
            self.send_next(worker)

    def send_next(self, id: WorkerId) -> None:
        """Send the next order to a worker, after the last was answered."""
        self.busy.discard(id)
        if not self.orders[id]:
            return
        self.busy.add(id)
        order = self.orders[id].pop(0)
        sent_at = self.time.now
        is_over = False

        def finish(result: OrderResult, clock_ms: int | None = None) -> None:
            nonlocal is_over
            if is_over:
                return
            is_over = True
            now = self.time.now
            self.post(OrderEnded(order, result, clock_ms, sent_at, now))
            self.send_next(id)

        self.time.after(
            ORDER_TIMEOUT_S, lambda: finish(OrderResult.UNANSWERED)
        )
        if self.time.is_lost():
            late_s = self.time.random.uniform(0.0, 2 * MAX_DELIVERY_S)
            if late_s < MAX_DELIVERY_S:
                self.time.after(late_s, lambda: self.execute(order))
            return
        is_answer_lost = self.time.is_lost()

        def arrive() -> None:
            result = self.execute(order)
            worker = self.by_id.get(id)
            if result is None or worker is None or is_answer_lost:
                return
            clock_ms = worker.clock_ms(self.time.now)
            self.time.send(lambda: finish(result, clock_ms))

        self.time.send(arrive)

    def execute(self, order: SendStart | SendStop) -> OrderResult | None:
        """Carry an order out, and return the worker's answer, if any."""
        worker = self.by_id.get(order.target.worker)
        if worker is None:
            return None
        if worker.entry.boot != order.target.boot:
            return OrderResult.OTHER_BOOT
        if isinstance(order, SendStop):
            return self.stop(worker, order)
        return self.start(worker, order)

    def stop(self, worker: SimWorker, order: SendStop) -> OrderResult:
        run = worker.runs.get(order.task)
        if run is not None and run.number == order.run_number:
            self.time.after(
                STOP_S,
                lambda: self.end_run(worker, order.task, run, EndKind.STOPPED),
            )
        else:
            record_over(worker, order.task, order.run_number)
        return OrderResult.DONE

    def start(self, worker: SimWorker, order: SendStart) -> OrderResult:
        if order.deadline_ms <= worker.clock_ms(self.time.now):
            return OrderResult.TOO_LATE
        worker.deadline_ms = max(worker.deadline_ms, order.deadline_ms)
        known = worker.runs.get(order.task)
        if known is not None and known.number == order.run_number:
            return OrderResult.DONE
        last_over = worker.last_over.get(order.task, 0)
        if known is not None or order.run_number <= last_over:
            return OrderResult.OLD_RUN
        spec = self.spec_of(order.task)
        needed = worker.used().plus(spec.counted_resources)
        if not needed.fits_in(worker.entry.capacity):
            return OrderResult.NO_CAPACITY
        if any(order.task in other.runs for other in self.by_id.values()):
            self.double_runs.append((self.time.now, order.task))
        run = SimRun(order.run_number, self.time.now, spec)
        worker.runs[order.task] = run
        lasts_s, kind = spec.estimate_ms / 1000, EndKind.DONE
        if spec.is_long_running:
            lasts_s = FOREVER_S
        if self.time.random.random() < self.fail_share:
            lasts_s = self.time.random.uniform(0.02, min(lasts_s, 3.0))
            kind = EndKind.FAILED
        self.time.after(
            lasts_s, lambda: self.end_run(worker, order.task, run, kind)
        )
        return OrderResult.DONE

    def end_run(
        self, worker: SimWorker, key: TaskKey, run: SimRun, kind: EndKind
    ) -> None:
        if not worker.is_up or worker.runs.get(key) is not run:
            return
        del worker.runs[key]
        record_over(worker, key, run.number)
        worker.end_count += 1
        worker.ends.append(RunEnd(worker.end_count, key, run.number, kind, ''))
        if worker.answer_poll is not None:
            worker.answer_poll()

    # Polls

    def poll(self, poll: SendPoll) -> None:
        id = poll.target.worker
        sent_at = self.time.now
        is_over = False

        def finish(event: PollAnswered | PollFailed) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self.post(event)

        def fail(result: OrderResult) -> None:
            finish(PollFailed(id, poll.target.boot, result))

        self.time.after(
            poll.wait_s + POLL_TIMEOUT_S, lambda: fail(OrderResult.UNANSWERED)
        )
        if self.time.is_lost():
            return
        is_answer_lost = self.time.is_lost()

        def arrive() -> None:
            worker = self.by_id.get(id)
            if worker is None:
                fail(OrderResult.NOT_SENT)
            elif worker.entry.boot != poll.target.boot:
                self.time.send(lambda: fail(OrderResult.OTHER_BOOT))
            else:
                self.begin_poll(worker, poll, answer)

        def answer(worker: SimWorker) -> None:
            event = PollAnswered(
                id,
                worker.entry.boot,
                worker.clock_ms(self.time.now),
                worker.listed_runs(self.time.now),
                tuple(worker.ends),
                poll.acked_end_number,
                sent_at,
                0.0,
            )
            if not is_answer_lost:
                self.time.send(
                    lambda: finish(replace(event, received_at=self.time.now))
                )

        self.time.send(arrive)

    def begin_poll(
        self,
        worker: SimWorker,
        poll: SendPoll,
        answer: Callable[[SimWorker], None],
    ) -> None:
        """Answer a poll at once, or when a run has ended or time is up."""
        if poll.deadline_ms is not None:
            worker.deadline_ms = max(worker.deadline_ms, poll.deadline_ms)
        worker.ends = [
            end for end in worker.ends if end.number > poll.acked_end_number
        ]

        def answer_once() -> None:
            if worker.answer_poll is answer_once and worker.is_up:
                worker.answer_poll = None
                answer(worker)

        worker.answer_poll = answer_once
        if worker.ends or not poll.wait_s:
            answer_once()
        else:
            self.time.after(poll.wait_s, answer_once)


def record_over(worker: SimWorker, key: TaskKey, number: int) -> None:
    """Record that no run of a task up to a number may start any more."""
    worker.last_over[key] = max(worker.last_over.get(key, 0), number)
