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
from primroseledge.cluster.callthread import CallThread
from primroseledge.cluster.fleetnode import FleetNode
from primroseledge.cluster.gateway import final_answer
from primroseledge.cluster.gateway import PendingCall
from primroseledge.cluster.link import Link
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.steps import AnswerCaller
from primroseledge.cluster.steps import BatchStored
from primroseledge.cluster.steps import ClaimLost
from primroseledge.cluster.steps import ClaimWon
from primroseledge.cluster.steps import Deposed
from primroseledge.cluster.steps import JobsRestored
from primroseledge.cluster.steps import KeysSeen
from primroseledge.cluster.steps import LeaseLost
from primroseledge.cluster.steps import LeaseRenewed
from primroseledge.cluster.steps import LeaveMembers
from primroseledge.cluster.steps import ListWorkers
from primroseledge.cluster.steps import MemberLeft
from primroseledge.cluster.steps import OwnerReleased
from primroseledge.cluster.steps import ReplyToPeer
from primroseledge.cluster.steps import SendToPeer
from primroseledge.cluster.steps import StoreSilent
from primroseledge.cluster.steps import WorkerReport
from primroseledge.cluster.steps import WorkersListed
from primroseledge.cluster.steps import WorkersUnread
from primroseledge.cluster.storethread import StoreThread
from primroseledge.cluster.tenure import TenureState
from primroseledge.cluster.workerlinks import WorkerLinks
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import SendLook
from primroseledge.jobs.actions import SendPace
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.advice import AdviceFailed
from primroseledge.jobs.advice import AdviceGiven
from primroseledge.jobs.advice import AskAdvice
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListFailed
from primroseledge.observability.events import Event
from primroseledge.observability.fleetfigures import FleetFigures
from primroseledge.observability.fleetmetrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.logs import LOGGER
from primroseledge.owner.figures import add_owned

OWNER_TICK_S: Final = 0.02
VACANT_TICK_S: Final = 0.05
CALLS_TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.25
TIDY_S: Final = 5.0
PUBLISH_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class CallBegun:
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
        self, node: FleetNode, link: Link, wake_fd: int, metrics: FleetMetrics
    ) -> None:
        self.node = node
        self.metrics = metrics
        self.link = link
        self.wake_fd = wake_fd
        self.store: StoreThread | None = None
        self.reader: StoreThread | None = None
        self.workers: WorkerLinks | None = None
        self.instances: CallThread | None = None
        self.advice: CallThread | None = None
        self.inbox: collections.deque[Any] = collections.deque()
        self.waiting: dict[int, SimpleQueue[Answer]] = {}
        self.numbers = count(1)
        self.is_running = True
        self.is_over = False
        self.is_leaving = False
        self.is_ready = False
        self.tidied_at = 0.0
        self.published_at = 0.0
        link.poller.register(wake_fd, PollEvent.POLLIN)

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
        self.post(CallBegun(next(self.numbers), request, deadline, answers))
        if self.is_over:
            self.end_begun(began_at)
        try:
            answer = answers.get(timeout=wait_s + 1.0)
        except Empty:
            answer = Answer(Verdict.UNKNOWN, reason='loop')
        kind = type(request).__name__
        took_s = boot_time() - began_at
        self.metrics.call_ended(kind, answer.verdict.value, took_s)
        return answer

    def may_order(self, epoch: Epoch) -> bool:
        """Tell whether an order of this epoch may still be sent."""
        tenure = self.node.tenure
        return tenure.epoch == epoch and tenure.is_acting(boot_time())

    def leave(self) -> None:
        """Begin a graceful shutdown; a signal handler may call it."""
        self.is_leaving = True
        eventfd_write(self.wake_fd, 1)

    def end(self) -> None:
        """End the loop; any thread may call it."""
        self.is_running = False
        eventfd_write(self.wake_fd, 1)

    # The loop's thread

    def run(self) -> None:
        """Run until ended."""
        while self.is_running:
            ready = dict(self.link.poller.poll(self.poll_timeout_ms()))
            if self.wake_fd in ready:
                eventfd_read(self.wake_fd)
            try:
                self.turn()
            except Exception as error:
                self.recover(error)
        self.finish()

    def finish(self) -> None:
        """Answer all that wait, as nobody will after the loop's end."""
        self.is_over = True
        now = boot_time()
        for call, answer in self.node.gateway.give_up_all():
            self.node.log_unserved(call, answer, now)
            self.carry_out(AnswerCaller(call.number, answer))
        self.end_begun(now)

    def end_begun(self, now: float) -> None:
        """Answer the calls that the loop never took; any thread may."""
        while self.inbox:
            try:
                item = self.inbox.popleft()
            except IndexError:
                # Another thread was faster.
                return
            if isinstance(item, CallBegun):
                call = PendingCall(
                    item.number, item.request, now, item.deadline
                )
                item.answers.put(final_answer(call))

    def turn(self) -> None:
        """Take what has come in, and carry out what follows from it."""
        now = boot_time()
        for sender, message in self.link.receive():
            self.node.take_message(sender, message, now)
        while self.inbox:
            item = self.inbox.popleft()
            HANDLERS[type(item)](self, item, now)
        self.settle()

    def recover(self, error: Exception) -> None:
        """Go on after a defect, without the state that it may have hurt.

        An owner gives the fleet up; whoever takes over reads the
        records in the store.
        """
        problem = f'{type(error).__name__}: {error}'
        log(Event.LOOP_FAILED, problem=problem)
        LOGGER.exception('defect')
        self.node.give_up_fleet()

    def poll_timeout_ms(self) -> int:
        """Return how long to wait for something to happen."""
        if self.node.tenure.state is TenureState.OWNING:
            return int(OWNER_TICK_S * 1000)
        if self.node.tenure.is_vacant:
            return int(VACANT_TICK_S * 1000)
        if self.node.gateway.calls:
            return int(CALLS_TICK_S * 1000)
        return int(IDLE_TICK_S * 1000)

    def settle(self) -> None:
        """Carry out what follows from what has come in."""
        now = boot_time()
        node = self.node
        node.wall_offset_s = time() - now
        if self.is_leaving and not node.is_leaving:
            log(Event.STOPPING, running=len(self.waiting), queued=0)
        node.is_leaving = self.is_leaving
        steps, orders = node.settle(now)
        self.is_ready = node.is_ready(now)
        if self.store is not None:
            is_owner = node.engine is not None
            self.store.current_epoch = (
                node.tenure.epoch if is_owner else Epoch(0)
            )
        for step in steps:
            self.carry_out(step)
        for order in orders:
            self.submit(order)
        if now >= self.published_at + PUBLISH_S:
            self.published_at = now
            self.metrics.publish(self.figures())
        if now >= self.tidied_at + TIDY_S:
            self.tidy(now)

    def submit(self, order: Action) -> None:
        """Give an order to the thread that carries it out."""
        epoch = self.node.tenure.epoch
        if isinstance(order, SendStart | SendStop | SendPace | SendLook):
            if self.workers is not None:
                self.workers.submit(order, epoch)
        elif isinstance(order, AskAdvice):
            if self.advice is not None:
                self.advice.submit(order)
        elif self.instances is not None:
            self.instances.submit((order, epoch))

    def figures(self) -> FleetFigures:
        """Return what this instance holds now."""
        node = self.node
        configuration = node.configuration
        owner = node.tenure.owner
        figures = FleetFigures(
            epoch=owner.epoch if owner else 0,
            is_ready=self.is_ready,
            configuration_version=(
                configuration.version if configuration else 0
            ),
            open_calls=len(self.waiting),
        )
        if node.engine is None:
            return figures
        return add_owned(figures, node.engine.state)

    def tidy(self, now: float) -> None:
        """Close the connections that are not used any more."""
        self.tidied_at = now
        if self.workers is not None:
            self.workers.close_idle(now)
        owner = self.node.tenure.owner
        if owner is not None and not self.node.view.is_store_silent:
            self.link.keep_only({owner.address})

    def carry_out(self, step: Any) -> None:
        """Carry out one step."""
        if isinstance(step, AnswerCaller):
            answers = self.waiting.pop(step.number, None)
            if answers is not None:
                answers.put(step.answer)
        elif isinstance(step, SendToPeer):
            self.link.send(step.address, step.message)
        elif isinstance(step, ReplyToPeer):
            self.link.reply(step.identity, step.message)
        elif isinstance(step, ListWorkers | LeaveMembers):
            if self.reader is not None:
                self.reader.submit(step)
        elif self.store is not None:
            self.store.submit(step)


@handles(CallBegun)
def take_call(loop: NodeLoop, item: CallBegun, now: float) -> None:
    """Begin a caller's request."""
    loop.waiting[item.number] = item.answers
    loop.node.call(item.number, item.request, item.deadline, now)


@handles(SettingsSeen)
def take_settings(loop: NodeLoop, item: SettingsSeen, now: float) -> None:
    """Note that the platform has written the settings anew."""
    log(Event.SETTINGS_SEEN)


@handles(KeysSeen)
def take_keys(loop: NodeLoop, item: KeysSeen, now: float) -> None:
    """Take in watched keys."""
    loop.node.take_keys(item, now)


@handles(StoreSilent)
def take_silence(loop: NodeLoop, item: StoreSilent, now: float) -> None:
    """Take in that the store did not answer."""
    loop.node.view.store_silent(item, now)


@handles(LeaseRenewed)
def take_renewal(loop: NodeLoop, item: LeaseRenewed, now: float) -> None:
    """Take in a renewed lease."""
    loop.node.lease_renewed(item)


@handles(LeaseLost)
def take_lost_lease(loop: NodeLoop, item: LeaseLost, now: float) -> None:
    """Take in that our lease has ended."""
    loop.node.lease_lost()


@handles(ClaimWon)
def take_won_claim(loop: NodeLoop, item: ClaimWon, now: float) -> None:
    """Take in that we are the owner."""
    loop.node.claim_won(item, now)


@handles(ClaimLost)
def take_lost_claim(loop: NodeLoop, item: ClaimLost, now: float) -> None:
    """Take in that we did not become the owner."""
    loop.node.claim_lost(item)


@handles(JobsRestored)
def take_jobs(loop: NodeLoop, item: JobsRestored, now: float) -> None:
    """Take in the stored jobs."""
    loop.node.jobs_restored(item, now)


@handles(BatchStored)
def take_stored(loop: NodeLoop, item: BatchStored, now: float) -> None:
    """Take in that a batch is stored."""
    loop.node.batch_stored(item, now)


@handles(Deposed)
def take_deposed(loop: NodeLoop, item: Deposed, now: float) -> None:
    """Take in that another instance is the owner."""
    loop.node.deposed(item)


@handles(OwnerReleased)
def take_released(loop: NodeLoop, item: OwnerReleased, now: float) -> None:
    """Take in that we are not the owner any more."""
    loop.node.owner_released(item)


@handles(MemberLeft)
def take_left(loop: NodeLoop, item: MemberLeft, now: float) -> None:
    """Take in that we are no member any more; nothing follows."""


@handles(WorkersListed)
def take_workers(loop: NodeLoop, item: WorkersListed, now: float) -> None:
    """Take in the list of workers."""
    loop.node.workers_listed(item, now)


@handles(WorkersUnread)
def take_unread(loop: NodeLoop, item: WorkersUnread, now: float) -> None:
    """Take in that the list of workers was not read."""
    loop.node.workers_unread(item, now)


@handles(WorkerReport)
def take_report(loop: NodeLoop, item: WorkerReport, now: float) -> None:
    """Take in what a worker answered."""
    loop.node.take_worker_report(item, now)


@handles(InstancesListed, ListFailed, InstanceAnswered)
def take_instances(loop: NodeLoop, item: InstanceReport, now: float) -> None:
    """Take in what the platform says of instances."""
    loop.node.take_instances(item, now)


@handles(AdviceGiven, AdviceFailed)
def take_advice(
    loop: NodeLoop, item: AdviceGiven | AdviceFailed, now: float
) -> None:
    """Take in what the advisory service said."""
    loop.node.take_advice(item, now)
