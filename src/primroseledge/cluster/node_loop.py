"""The loop of an entry instance: one thread that holds all state.

Other threads post what they found out; the loop gives it to the node
and carries out the steps that the node asks for.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count
from os import eventfd_read
from os import eventfd_write
from queue import Empty
from queue import SimpleQueue
from time import time
from typing import Any
from typing import Final

from zmq.constants import PollEvent

from primroseledge.clock import boot_time
from primroseledge.cluster.call_thread import CallThread
from primroseledge.cluster.commands import AnswerCaller
from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import KeysSeen
from primroseledge.cluster.commands import LeaseLost
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import MemberLeft
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.commands import StoreSilent
from primroseledge.cluster.commands import WorkerReport
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.commands import WorkersUnread
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.peer_transport import PeerTransport
from primroseledge.cluster.pending_calls import answer_without_owner
from primroseledge.cluster.pending_calls import PendingCall
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import SendPoll
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import SendThrottle
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.advice import AdviceAnswered
from primroseledge.jobs.advice import AdviceFailed
from primroseledge.jobs.advice import RequestAdvice
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListFailed
from primroseledge.observability.events import Event
from primroseledge.observability.fleetfigures import FleetFigures
from primroseledge.observability.fleetmetrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.logs import LOGGER
from primroseledge.owner.fleet_counts import add_owner_counts

OWNER_TICK_S: Final = 0.02
VACANT_TICK_S: Final = 0.05
CALLS_TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.25
CLOSE_IDLE_INTERVAL_S: Final = 5.0
METRICS_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class CallReceived:
    """A caller's request, posted by a server thread."""

    number: int
    request: CallerRequest
    deadline: float
    answers: 'SimpleQueue[Answer]'


@dataclass(frozen=True, slots=True)
class SettingsSeen:
    """The platform has written the settings anew."""


Handler = Callable[['NodeLoop', Any, float], None]
HANDLERS: Final[dict[type, Handler]] = {}


def handles(*kinds: type) -> Callable[[Handler], Handler]:
    """Register how the loop takes kinds of posted items."""

    def register(handler: Handler) -> Handler:
        for kind in kinds:
            HANDLERS[kind] = handler
        return handler

    return register


class NodeLoop:
    """Runs a node: events in, steps out."""

    def __init__(
        self,
        node: FleetNode,
        transport: PeerTransport,
        wake_fd: int,
        metrics: FleetMetrics,
    ) -> None:
        self.node = node
        self.metrics = metrics
        self.transport = transport
        self.wake_fd = wake_fd
        self.store_thread: StoreThread | None = None
        self.read_thread: StoreThread | None = None
        self.worker_links: WorkerLinks | None = None
        self.instance_thread: CallThread | None = None
        self.advice_thread: CallThread | None = None
        self.inbox: collections.deque[Any] = collections.deque()
        self.answer_queues: dict[int, SimpleQueue[Answer]] = {}
        self.call_numbers = count(1)
        self.is_running = True
        self.has_ended = False
        self.is_leaving = False
        self.is_ready = False
        self.idle_closed_at = 0.0
        self.metrics_published_at = 0.0
        transport.poller.register(wake_fd, PollEvent.POLLIN)

    # Other threads

    def post(self, item: Any) -> None:
        """Hand an item to the loop; any thread may call it."""
        self.inbox.append(item)
        eventfd_write(self.wake_fd, 1)

    def call(self, request: CallerRequest, wait_s: float) -> Answer:
        """Return the answer to a caller's request; blocks the caller."""
        answers: SimpleQueue[Answer] = SimpleQueue()
        began_at = boot_time()
        deadline = began_at + wait_s
        self.post(
            CallReceived(next(self.call_numbers), request, deadline, answers)
        )
        if self.has_ended:
            self.answer_unprocessed_calls(began_at)
        try:
            answer = answers.get(timeout=wait_s + 1.0)
        except Empty:
            answer = Answer(Verdict.UNKNOWN, reason='loop')
        kind = type(request).__name__
        took_s = boot_time() - began_at
        self.metrics.call_ended(kind, answer.verdict.value, took_s)
        return answer

    def may_send_orders(self, epoch: Epoch) -> bool:
        """Tell whether an order of this epoch may still be sent."""
        tenure = self.node.ownership
        return tenure.epoch == epoch and tenure.may_send_orders(boot_time())

    def leave(self) -> None:
        """Begin a graceful shutdown; a signal handler may call it."""
        self.is_leaving = True
        eventfd_write(self.wake_fd, 1)

    def stop(self) -> None:
        """End the loop; any thread may call it."""
        self.is_running = False
        eventfd_write(self.wake_fd, 1)

    # The loop's thread

    def run(self) -> None:
        """Run until ended."""
        while self.is_running:
            ready = dict(self.transport.poller.poll(self.poll_timeout_ms()))
            if self.wake_fd in ready:
                eventfd_read(self.wake_fd)
            try:
                self.run_once()
            except Exception as error:
                self.recover_from_error(error)
        self.answer_all_pending()

    def answer_all_pending(self) -> None:
        """Answer all that wait, as nobody will after the loop's end."""
        self.has_ended = True
        now = boot_time()
        for call, answer in self.node.pending_calls.end_all():
            self.node.log_unanswered_call(call, answer, now)
            self.execute(AnswerCaller(call.number, answer))
        self.answer_unprocessed_calls(now)

    def answer_unprocessed_calls(self, now: float) -> None:
        """Answer the calls that the loop never took; any thread may."""
        while self.inbox:
            try:
                item = self.inbox.popleft()
            except IndexError:
                # Another thread was faster.
                return
            if isinstance(item, CallReceived):
                call = PendingCall(
                    item.number, item.request, now, item.deadline
                )
                item.answers.put(answer_without_owner(call))

    def run_once(self) -> None:
        """Take what has come in, and carry out what follows from it."""
        now = boot_time()
        for sender, message in self.transport.receive():
            self.node.handle_message(sender, message, now)
        while self.inbox:
            item = self.inbox.popleft()
            HANDLERS[type(item)](self, item, now)
        self.reconcile()

    def recover_from_error(self, error: Exception) -> None:
        """Go on after a defect, without the state that it may have hurt.

        An owner gives the fleet up; whoever takes over reads the
        records in the store.
        """
        problem = f'{type(error).__name__}: {error}'
        log(Event.LOOP_FAILED, problem=problem)
        LOGGER.exception('defect')
        self.node.abandon_ownership()

    def poll_timeout_ms(self) -> int:
        """Return how long to wait for something to happen."""
        if self.node.ownership.state is FleetOwnershipState.OWNING:
            return int(OWNER_TICK_S * 1000)
        if self.node.ownership.is_vacant:
            return int(VACANT_TICK_S * 1000)
        if self.node.pending_calls.calls:
            return int(CALLS_TICK_S * 1000)
        return int(IDLE_TICK_S * 1000)

    def reconcile(self) -> None:
        """Carry out what follows from what has come in."""
        now = boot_time()
        node = self.node
        node.wall_offset_s = time() - now
        if self.is_leaving and not node.is_leaving:
            log(Event.STOPPING, running=len(self.answer_queues), queued=0)
        node.is_leaving = self.is_leaving
        steps, orders = node.reconcile(now)
        self.is_ready = node.is_ready(now)
        if self.store_thread is not None:
            is_owner = node.engine is not None
            self.store_thread.current_epoch = (
                node.ownership.epoch if is_owner else Epoch(0)
            )
        for step in steps:
            self.execute(step)
        for order in orders:
            self.submit_action(order)
        if now >= self.metrics_published_at + METRICS_INTERVAL_S:
            self.metrics_published_at = now
            self.metrics.publish(self.figures())
        if now >= self.idle_closed_at + CLOSE_IDLE_INTERVAL_S:
            self.close_idle_connections(now)

    def submit_action(self, action: Action) -> None:
        """Give an order to the thread that carries it out."""
        epoch = self.node.ownership.epoch
        if isinstance(action, SendStart | SendStop | SendThrottle | SendPoll):
            if self.worker_links is not None:
                self.worker_links.submit(action, epoch)
        elif isinstance(action, RequestAdvice):
            if self.advice_thread is not None:
                self.advice_thread.submit(action)
        elif self.instance_thread is not None:
            self.instance_thread.submit((action, epoch))

    def figures(self) -> FleetFigures:
        """Return what this instance holds now."""
        node = self.node
        configuration = node.configuration
        owner = node.ownership.owner
        figures = FleetFigures(
            epoch=owner.epoch if owner else 0,
            is_ready=self.is_ready,
            configuration_version=(
                configuration.version if configuration else 0
            ),
            open_calls=len(self.answer_queues),
        )
        if node.engine is None:
            return figures
        return add_owner_counts(figures, node.engine.state)

    def close_idle_connections(self, now: float) -> None:
        """Close the connections that are not used any more."""
        self.idle_closed_at = now
        if self.worker_links is not None:
            self.worker_links.close_idle(now)
        owner = self.node.ownership.owner
        if owner is not None and not self.node.view.is_store_unavailable:
            self.transport.close_all_except({owner.address})

    def execute(self, command: Any) -> None:
        """Carry out one step."""
        if isinstance(command, AnswerCaller):
            answers = self.answer_queues.pop(command.number, None)
            if answers is not None:
                answers.put(command.answer)
        elif isinstance(command, SendToPeer):
            self.transport.send(command.address, command.message)
        elif isinstance(command, ReplyToPeer):
            self.transport.reply(command.identity, command.message)
        elif isinstance(command, ListWorkers | LeaveMembers):
            if self.read_thread is not None:
                self.read_thread.submit(command)
        elif self.store_thread is not None:
            self.store_thread.submit(command)


@handles(CallReceived)
def handle_call(loop: NodeLoop, item: CallReceived, now: float) -> None:
    """Begin a caller's request."""
    loop.answer_queues[item.number] = item.answers
    loop.node.handle_call(item.number, item.request, item.deadline, now)


@handles(SettingsSeen)
def handle_settings(loop: NodeLoop, item: SettingsSeen, now: float) -> None:
    """Note that the platform has written the settings anew."""
    log(Event.SETTINGS_SEEN)


@handles(KeysSeen)
def handle_keys(loop: NodeLoop, item: KeysSeen, now: float) -> None:
    """Take in watched keys."""
    loop.node.apply_keys(item, now)


@handles(StoreSilent)
def handle_store_unavailable(
    loop: NodeLoop, item: StoreSilent, now: float
) -> None:
    """Take in that the store did not answer."""
    loop.node.view.handle_store_unavailable(item, now)


@handles(LeaseRenewed)
def handle_lease_renewed(
    loop: NodeLoop, item: LeaseRenewed, now: float
) -> None:
    """Take in a renewed lease."""
    loop.node.handle_lease_renewed(item)


@handles(LeaseLost)
def handle_lease_lost(loop: NodeLoop, item: LeaseLost, now: float) -> None:
    """Take in that our lease has ended."""
    loop.node.handle_lease_lost()


@handles(ClaimWon)
def handle_claim_won(loop: NodeLoop, item: ClaimWon, now: float) -> None:
    """Take in that we are the owner."""
    loop.node.handle_claim_won(item, now)


@handles(ClaimLost)
def handle_claim_lost(loop: NodeLoop, item: ClaimLost, now: float) -> None:
    """Take in that we did not become the owner."""
    loop.node.handle_claim_lost(item)


@handles(JobsRestored)
def handle_jobs_restored(
    loop: NodeLoop, item: JobsRestored, now: float
) -> None:
    """Take in the stored jobs."""
    loop.node.handle_jobs_restored(item, now)


@handles(BatchStored)
def handle_batch_stored(loop: NodeLoop, item: BatchStored, now: float) -> None:
    """Take in that a batch is stored."""
    loop.node.handle_batch_stored(item, now)


@handles(OwnershipLost)
def handle_ownership_lost(
    loop: NodeLoop, item: OwnershipLost, now: float
) -> None:
    """Take in that another instance is the owner."""
    loop.node.handle_ownership_lost(item)


@handles(OwnerReleased)
def handle_owner_released(
    loop: NodeLoop, item: OwnerReleased, now: float
) -> None:
    """Take in that we are not the owner any more."""
    loop.node.handle_owner_released(item)


@handles(MemberLeft)
def handle_member_left(loop: NodeLoop, item: MemberLeft, now: float) -> None:
    """Take in that we are no member any more; nothing follows."""


@handles(WorkersListed)
def handle_workers_listed(
    loop: NodeLoop, item: WorkersListed, now: float
) -> None:
    """Take in the list of workers."""
    loop.node.handle_workers_listed(item, now)


@handles(WorkersUnread)
def handle_workers_unread(
    loop: NodeLoop, item: WorkersUnread, now: float
) -> None:
    """Take in that the list of workers was not read."""
    loop.node.handle_workers_unread(item, now)


@handles(WorkerReport)
def handle_worker_report(
    loop: NodeLoop, item: WorkerReport, now: float
) -> None:
    """Take in what a worker answered."""
    loop.node.handle_worker_report(item, now)


@handles(InstancesListed, ListFailed, InstanceAnswered)
def handle_instance_report(
    loop: NodeLoop, item: InstanceReport, now: float
) -> None:
    """Take in what the platform says of instances."""
    loop.node.handle_instance_report(item, now)


@handles(AdviceAnswered, AdviceFailed)
def handle_advice_answer(
    loop: NodeLoop, item: AdviceAnswered | AdviceFailed, now: float
) -> None:
    """Take in what the advisory service said."""
    loop.node.handle_advice_answer(item, now)
