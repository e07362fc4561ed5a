"""Entry instances, workers, store and callers in simulated time.

The nodes and the steps of the store's thread are the real code; the
world only carries messages, with delays, losses and cuts, and lets
processes die, freeze and come back.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from heapq import heappop
from heapq import heappush
from itertools import count
from random import Random
from typing import Any

from primroseledge.cluster.fleetnode import FleetNode
from primroseledge.cluster.fleetstore import Item
from primroseledge.cluster.fleetstore import Put
from primroseledge.cluster.fleetstore import Transaction
from primroseledge.cluster.fleetview import Decoders
from primroseledge.cluster.fleetview import FleetView
from primroseledge.cluster.keys import encode_value
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.steps import AnswerCaller
from primroseledge.cluster.steps import BatchStored
from primroseledge.cluster.steps import ClaimLost
from primroseledge.cluster.steps import ClaimWon
from primroseledge.cluster.steps import Deposed
from primroseledge.cluster.steps import JobsRestored
from primroseledge.cluster.steps import KeysSeen
from primroseledge.cluster.steps import LeaseRenewed
from primroseledge.cluster.steps import OwnerReleased
from primroseledge.cluster.steps import ReplyToPeer
from primroseledge.cluster.steps import SendToPeer
from primroseledge.cluster.steps import StoreSilent
from primroseledge.cluster.steps import WorkerReport
from primroseledge.cluster.steps import WorkersListed
from primroseledge.cluster.steps import WorkersUnread
from primroseledge.cluster.storethread import HANDLERS
from primroseledge.errors import DocumentError
from primroseledge.errors import StoreError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import SendLook
from primroseledge.jobs.actions import SendPace
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.maintenance.wave import WaveRecord
from standins.storagecore import SimStorage
from standins.workercore import SimWorker
from tests.fleetledger import Ledger
from tests.fleetstorage import SimStorePort

WORKER_PREFIX = 'workers/'
TICK_S = 0.05
TTL_S = 2.0
ORDER_TIMEOUT_S = 0.6
STOP_S = 4.5
TRIES = 5


class RetryLater(Exception):
    """The store's thread would wait before it tries again."""


class SimKeys:
    """The platform's names of keys in this world."""

    worker_prefix = WORKER_PREFIX

    def wave_put(self, wave: WaveRecord) -> Put:
        return Put(f'wave/{wave.number}', b'')


@dataclass(eq=False)
class SimThread:
    """Stands for the store's thread; it never really waits."""

    store: SimStorePort
    entry: EntryId
    address: str
    keys: SimKeys = field(default_factory=SimKeys)
    current_epoch: Epoch = Epoch(0)

    def pause(self) -> bool:
        raise RetryLater


@dataclass(eq=False)
class SimNode:
    """A process: its node, its connections, and whether it runs."""

    node: FleetNode
    thread: SimThread
    life: int = 0
    started_at: float = 0.0
    is_alive: bool = True
    frozen_until: float = 0.0
    cut_workers: set[WorkerId] = field(default_factory=set)
    queue: list[Any] = field(default_factory=list)
    is_storing: bool = False
    lease: Any = None
    order_free_at: dict[WorkerId, float] = field(default_factory=dict)


class World:
    """Runs everything in order of time."""

    def __init__(
        self,
        seed: int,
        configuration: Configuration,
        ledger: Ledger,
        workers: list[SimWorker],
        node_count: int = 3,
        has_members: bool = False,
    ) -> None:
        self.has_members = has_members
        self.random = Random(seed)
        self.now = 1000.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.storage = SimStorage(lambda: self.now)
        self.configuration = configuration
        self.ledger = ledger
        self.workers = {worker.id: worker for worker in workers}
        ledger.advance_workers = self.advance_workers
        self.numbers = count(1)
        self.answers: dict[int, Callable[[Answer], None]] = {}
        self.late_share = 0.0
        self.lost_share = 0.0
        self.trace: list[str] = []
        self.storage.revision += 1
        self.storage.put('op/config', b'1', 0)  # type: ignore[arg-type]
        self.nodes: dict[EntryId, SimNode] = {}
        for number in range(node_count):
            entry = EntryId(f'entry-{number}')
            self.nodes[entry] = self.boot(entry, 0)
        self.storage.listeners.append(self.watched)
        self.list_workers()

    def at(self, when: float, act: Callable[[], None]) -> None:
        heappush(self.events, (when, next(self.order), act))

    def later(self, delay_s: float, act: Callable[[], None]) -> None:
        self.at(self.now + delay_s, act)

    def run_until(self, end: float) -> None:
        while self.events and self.events[0][0] <= end:
            when, _, act = heappop(self.events)
            self.now = max(self.now, when)
            act()
        self.now = end

    # Processes

    def boot(self, entry: EntryId, life: int) -> SimNode:
        decoders = Decoders(
            'op/config',
            lambda _data: self.configuration,
            self.decode_worker,
            lambda _key: False,
            self.no_wave,
        )
        view = FleetView(
            entry, f'{entry}:{life}', decoders, random=self.random
        )
        node = FleetNode(view)
        port = SimStorePort(self.storage, self.random, self.later)
        thread = SimThread(port, entry, node.address)
        sim = SimNode(node, thread, life, self.now)
        self.nodes[entry] = sim
        self.later(self.random.uniform(0.0, 0.1), lambda: self.tick(sim))
        self.later(self.random.uniform(0.0, 0.1), lambda: self.renew(sim))
        self.later(0.02, lambda: self.read_keys(sim))
        return sim

    def no_wave(self, item: Item) -> Any:
        raise DocumentError(item.key)

    def decode_worker(
        self, item: Item, _configuration: Configuration
    ) -> WorkerEntry:
        worker = self.workers.get(WorkerId((item.value or b'').decode()))
        if worker is None:
            raise DocumentError(item.key)
        return worker.entry()

    def kill(self, entry: EntryId, restart_s: float) -> None:
        sim = self.nodes[entry]
        if not sim.is_alive:
            return
        self.note(f'kill {entry}')
        sim.is_alive = False
        life = sim.life + 1
        self.later(restart_s, lambda: self.restart(entry, life))

    def stop(self, entry: EntryId, restart_s: float) -> None:
        """Ask a process to stop, as SIGTERM does; it ends after a while."""
        sim = self.nodes[entry]
        if not sim.is_alive or sim.node.is_leaving:
            return
        self.note(f'stop {entry}')
        sim.node.is_leaving = True
        self.later(STOP_S, lambda: self.end(sim, restart_s))

    def end(self, sim: SimNode, restart_s: float) -> None:
        """End one life of a process, if it was not killed before."""
        if self.nodes[sim.node.entry] is sim:
            self.kill(sim.node.entry, restart_s)

    def restart(self, entry: EntryId, life: int) -> None:
        self.boot(entry, life)

    def freeze(self, entry: EntryId, seconds: float) -> None:
        self.note(f'freeze {entry} {seconds:.1f}')
        self.nodes[entry].frozen_until = self.now + seconds

    def note(self, text: str) -> None:
        self.trace.append(f'{self.now:.3f} {text}')

    def when_awake(self, sim: SimNode, act: Callable[[], None]) -> None:
        """Let a process act now, or once it is no longer frozen."""
        if not sim.is_alive:
            return
        if self.now < sim.frozen_until:
            self.at(sim.frozen_until, lambda: self.when_awake(sim, act))
            return
        act()
        self.settle(sim)

    def tick(self, sim: SimNode) -> None:
        if not sim.is_alive:
            return
        self.when_awake(sim, lambda: None)
        self.later(TICK_S, lambda: self.tick(sim))

    def settle(self, sim: SimNode) -> None:
        node = sim.node
        node.wall_offset_s = 0.0
        steps, orders = node.settle(self.now)
        sim.thread.current_epoch = (
            node.tenure.epoch if node.engine else Epoch(0)
        )
        for step in steps:
            self.carry_out(sim, step)
        for order in orders:
            if isinstance(order, SendLook):
                self.send_look(sim, order, node.tenure.epoch)
            elif isinstance(order, SendStart | SendStop | SendPace):
                self.send_order(sim, order, node.tenure.epoch)

    def carry_out(self, sim: SimNode, step: Any) -> None:
        if isinstance(step, AnswerCaller):
            act = self.answers.pop(step.number, None)
            if act is not None:
                act(step.answer)
        elif isinstance(step, SendToPeer):
            self.send_peer(sim, step.address, step.message)
        elif isinstance(step, ReplyToPeer):
            self.send_peer(sim, step.identity, step.message)
        else:
            sim.queue.append(step)
            self.next_store_step(sim)

    def send_peer(self, sim: SimNode, address: str, message: Any) -> None:
        for other in self.nodes.values():
            if other.node.address == address:
                delay_s = self.random.uniform(0.001, 0.01)
                sender = sim.node.address
                self.later(
                    delay_s,
                    partial(self.message_arrives, other, sender, message),
                )

    def message_arrives(self, sim: SimNode, sender: str, message: Any) -> None:
        self.when_awake(
            sim, lambda: sim.node.take_message(sender, message, self.now)
        )

    # The store

    def next_store_step(self, sim: SimNode) -> None:
        if sim.is_storing or not sim.queue or not sim.is_alive:
            return
        sim.is_storing = True
        step = sim.queue.pop(0)
        self.later(
            self.random.uniform(0.002, 0.01), lambda: self.store(sim, step)
        )

    def store(self, sim: SimNode, step: Any) -> None:
        if not sim.is_alive:
            return
        try:
            thread: Any = sim.thread
            result = HANDLERS[type(step)](thread, step)
        except RetryLater:
            if sim.thread.current_epoch != getattr(
                step, 'epoch', sim.thread.current_epoch
            ) and hasattr(step, 'batch'):
                result = Deposed(step.epoch)
            else:
                self.later(0.12, lambda: self.store(sim, step))
                return
        self.later(
            self.random.uniform(0.001, 0.01), lambda: self.stored(sim, result)
        )

    def stored(self, sim: SimNode, result: Any) -> None:
        sim.is_storing = False
        self.when_awake(sim, lambda: self.take_result(sim, result))
        self.next_store_step(sim)

    def take_result(self, sim: SimNode, result: Any) -> None:
        node = sim.node
        if isinstance(result, ClaimWon):
            self.note(f'{node.entry} owns epoch {result.owner.epoch}')
            node.claim_won(result, self.now)
        elif isinstance(result, ClaimLost):
            node.claim_lost(result)
        elif isinstance(result, JobsRestored):
            node.jobs_restored(result, self.now)
        elif isinstance(result, BatchStored):
            node.batch_stored(result, self.now)
        elif isinstance(result, Deposed):
            node.deposed(result)
        elif isinstance(result, OwnerReleased):
            node.owner_released(result)
        elif isinstance(result, WorkersListed):
            node.workers_listed(result, self.now)
        elif isinstance(result, WorkersUnread):
            node.workers_unread(result, self.now)

    def join(self, sim: SimNode) -> None:
        """Store a member's record under its lease."""
        entry = sim.node.entry
        started_ms = int(sim.started_at * 1000)
        member = MemberRecord(entry, sim.node.address, started_ms)
        key = f'{MEMBER_PREFIX}{entry}'
        put = Put(key, encode_value(member), sim.lease)
        sim.thread.store.commit(Transaction(puts=(put,)))

    def renew(self, sim: SimNode) -> None:
        if not sim.is_alive:
            return
        if self.now < sim.frozen_until:
            self.at(sim.frozen_until, lambda: self.renew(sim))
            return
        sent_at = self.now
        wait_s = 0.7
        try:
            if sim.lease is None:
                sim.lease = sim.thread.store.grant_lease(TTL_S).id
                if self.has_members:
                    self.join(sim)
            else:
                sim.thread.store.renew_lease(sim.lease)
            renewed = LeaseRenewed(sim.lease, sent_at, TTL_S)
            self.later(
                self.random.uniform(0.002, 0.02),
                lambda: self.when_awake(
                    sim, lambda: sim.node.lease_renewed(renewed)
                ),
            )
        except StoreError as error:
            wait_s = 0.1
            if 'ended' in str(error):
                sim.lease = None
                self.when_awake(sim, sim.node.lease_lost)
        self.later(wait_s, lambda: self.renew(sim))

    def read_keys(self, sim: SimNode) -> None:
        """Read all watched keys, again and again while that fails."""
        if not sim.is_alive:
            return
        try:
            listed = sim.thread.store.read_all('o')
        except StoreError as error:
            silent = StoreSilent(str(error))
            self.when_awake(
                sim, lambda: sim.node.view.store_silent(silent, self.now)
            )
            self.later(0.2, lambda: self.read_keys(sim))
            return
        seen = KeysSeen(listed.items, listed.revision, True)
        self.when_awake(sim, lambda: sim.node.take_keys(seen, self.now))

    def watched(self, item: Item) -> None:
        if not item.key.startswith('o'):
            return
        for sim in self.nodes.values():
            if not sim.is_alive:
                continue
            if sim.thread.store.is_cut:
                self.later(0.3, partial(self.read_keys, sim))
                continue
            seen = KeysSeen((item,), item.revision, False)
            self.later(
                self.random.uniform(0.002, 0.05),
                lambda s=sim, k=seen: self.when_awake(  # type: ignore[misc]
                    s, lambda: s.node.take_keys(k, self.now)
                ),
            )

    def cut_store(self, entry: EntryId, seconds: float) -> None:
        self.note(f'cut {entry} from the store for {seconds:.1f}')
        sim = self.nodes[entry]
        port = sim.thread.store
        port.is_cut = True

        def heal() -> None:
            port.is_cut = False
            self.read_keys(sim)

        self.later(seconds, heal)

    # Workers

    def list_workers(self) -> None:
        """Write the entries of the workers that live; drop the others."""
        self.storage.expire()
        if self.storage.is_down:
            if self.storage.does_lapse:
                self.unlist_workers()
            self.later(0.8, self.list_workers)
            return
        for worker in self.workers.values():
            key = f'{WORKER_PREFIX}{worker.id}'
            if self.random.random() < 0.3:
                continue
            if worker.is_alive and key not in self.storage.items:
                self.storage.revision += 1
                value = str(worker.id).encode()
                self.storage.items[key] = Item(
                    key, value, Revision(self.storage.revision)
                )
            elif not worker.is_alive:
                self.storage.items.pop(key, None)
        self.later(0.8, self.list_workers)

    def unlist_workers(self) -> None:
        """Drop all entries, as a store does whose leases lapse."""
        for worker_id in self.workers:
            self.storage.items.pop(f'{WORKER_PREFIX}{worker_id}', None)

    def advance_workers(self, now: float) -> None:
        """End the runs that are over, also on workers out of reach."""
        for worker in self.workers.values():
            if worker.is_alive:
                worker.advance(now)

    def is_reached(self, sim: SimNode, worker: SimWorker) -> bool:
        return worker.is_alive and worker.id not in sim.cut_workers

    def send_order(self, sim: SimNode, order: Any, epoch: Epoch) -> None:
        worker = self.workers[order.target.worker]
        free_at = max(self.now, sim.order_free_at.get(worker.id, 0.0))
        arrives = free_at + self.random.uniform(0.001, 0.004)
        sim.order_free_at[worker.id] = arrives + 0.002
        self.at(arrives, lambda: self.order_arrives(sim, worker, order, epoch))

    def order_arrives(
        self, sim: SimNode, worker: SimWorker, order: Any, epoch: Epoch
    ) -> None:
        sent_at = self.now
        if not self.is_reached(sim, worker):
            self.order_over(
                sim, order, OrderResult.UNANSWERED, None, sent_at, True, epoch
            )
            return
        if self.random.random() < self.late_share:
            self.later(
                self.random.uniform(2, 12),
                lambda: (
                    worker.is_alive and worker.obey(order, epoch, self.now)
                ),
            )
            self.order_over(
                sim, order, OrderResult.UNANSWERED, None, sent_at, True, epoch
            )
            return
        result = worker.obey(order, epoch, self.now)
        if self.random.random() < self.lost_share:
            self.order_over(
                sim, order, OrderResult.UNANSWERED, None, sent_at, True, epoch
            )
            return
        clock = worker.clock_ms(self.now)
        self.order_over(sim, order, result, clock, sent_at, False, epoch)

    def order_over(
        self,
        sim: SimNode,
        order: Any,
        result: OrderResult,
        clock_ms: int | None,
        sent_at: float,
        is_silent: bool,
        epoch: Epoch,
    ) -> None:
        delay_s = ORDER_TIMEOUT_S if is_silent else 0.003
        if is_silent:
            worker_id = order.target.worker
            sim.order_free_at[worker_id] = self.now + ORDER_TIMEOUT_S

        def deliver() -> None:
            answer = OrderAnswered(order, result, clock_ms, sent_at, self.now)
            event = WorkerReport(epoch, answer)
            self.when_awake(
                sim, lambda: sim.node.take_worker_report(event, self.now)
            )

        self.later(delay_s, deliver)

    def send_look(self, sim: SimNode, look: SendLook, epoch: Epoch) -> None:
        sent_at = self.now
        until = self.now + look.wait_s
        self.later(
            0.002, lambda: self.look_arrives(sim, look, epoch, sent_at, until)
        )

    def look_arrives(
        self,
        sim: SimNode,
        look: SendLook,
        epoch: Epoch,
        sent_at: float,
        until: float,
    ) -> None:
        worker = self.workers[look.target.worker]
        report: LookAnswered | LookFailed
        if not self.is_reached(sim, worker):
            report = LookFailed(
                worker.id, look.target.boot, OrderResult.UNANSWERED
            )
            self.later(0.7, lambda: self.look_over(sim, report, epoch))
            return
        report = worker.look(look, epoch, sent_at, self.now)
        is_waiting = isinstance(report, LookAnswered) and not report.ends
        if is_waiting and self.now < until:
            self.later(
                0.01,
                lambda: self.look_arrives(sim, look, epoch, sent_at, until),
            )
            return
        self.later(0.002, lambda: self.look_over(sim, report, epoch))

    def look_over(
        self, sim: SimNode, report: LookAnswered | LookFailed, epoch: Epoch
    ) -> None:
        event = WorkerReport(epoch, report)
        self.when_awake(
            sim, lambda: sim.node.take_worker_report(event, self.now)
        )

    # Callers

    def call(
        self,
        request: CallerRequest,
        then: Callable[[Answer], None],
        wait_s: float = 2.5,
    ) -> None:
        alive = [sim for sim in self.nodes.values() if sim.is_alive]
        if not alive:
            then(Answer(Verdict.UNKNOWN))
            return
        sim = self.random.choice(alive)
        number = next(self.numbers)
        done = list[Answer]()

        def finish(answer: Answer) -> None:
            if not done:
                done.append(answer)
                self.answers.pop(number, None)
                then(answer)

        self.answers[number] = finish
        deadline = self.now + wait_s
        self.when_awake(
            sim,
            lambda: sim.node.call(number, request, deadline, self.now),
        )
        self.later(wait_s + 0.2, lambda: finish(Answer(Verdict.UNKNOWN)))

    def submit(self, job: AcceptedJob, tries: int = TRIES) -> None:
        """Hand a job in as a caller does, again after no answer."""
        self.ledger.jobs[job.id] = job
        self.ledger.tried(job.id)

        def then(answer: Answer) -> None:
            self.note(f'{job.id} {answer.verdict.value} {answer.reason}')
            if answer.verdict is Verdict.DONE:
                self.ledger.accepted.setdefault(job.id, self.now)
            elif answer.verdict is Verdict.UNKNOWN and tries > 1:
                self.later(0.2, lambda: self.submit(job, tries - 1))
            is_refused = answer.verdict is Verdict.REFUSED
            self.ledger.answered(job.id, is_refused)

        self.call(SubmitRequest(job), then)

    def cancel(self, job: AcceptedJob, tries: int = TRIES) -> None:
        def then(answer: Answer) -> None:
            if answer.verdict in (Verdict.DONE, Verdict.NO_SUCH_JOB):
                self.ledger.cancelled.setdefault(job.id, self.now)
            elif tries > 1:
                self.later(0.3, lambda: self.cancel(job, tries - 1))

        self.call(CancelRequest(job.queue, job.id), then)

    def ask_state(self, job: AcceptedJob) -> None:
        accepted_at = self.ledger.accepted.get(job.id)

        def then(answer: Answer) -> None:
            if answer.verdict is Verdict.NO_SUCH_JOB and accepted_at:
                self.ledger.broken.append(f'LOST {job.id} unknown')
            is_completed = answer.state is JobState.COMPLETED
            if is_completed and not self.ledger.has_all_done(job.id):
                self.ledger.broken.append(f'MIXED {job.id} completed')
            is_failed = answer.state is JobState.FAILED
            if is_failed and not self.has_cause(job.id):
                self.ledger.broken.append(f'LOST {job.id} failed')

        self.call(StateRequest(job.queue, job.id), then)

    def has_cause(self, job_id: JobId) -> bool:
        most = self.ledger.max_attempts
        return any(
            len(story.failed) >= most
            for task, story in self.ledger.stories.items()
            if task.job == job_id
        )
