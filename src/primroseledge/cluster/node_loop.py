"""Event loop of an entry instance.

One thread holds all state. Other threads post their results to its inbox;
the loop passes them to the node and executes the commands that the node
returns.
"""

import collections
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
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.node_events import handle_event
from primroseledge.cluster.owner_rights import OwnerRights
from primroseledge.cluster.peer_transport import PeerTransport
from primroseledge.cluster.pending_calls import answer_without_owner
from primroseledge.cluster.pending_calls import log_unanswered_call
from primroseledge.cluster.pending_calls import PendingCall
from primroseledge.cluster.store_lanes import StoreLanes
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import Epoch
from primroseledge.observability.events import Event
from primroseledge.observability.fleet_figures import FleetFigures
from primroseledge.observability.fleet_metrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.logs import LOGGER
from primroseledge.owner.fleet_counts import add_owner_counts
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.advice import RequestAdvice

OWNER_TICK_S: Final = 0.02
VACANT_TICK_S: Final = 0.05
CALLS_TICK_S: Final = 0.1
IDLE_TICK_S: Final = 0.25
CLOSE_IDLE_INTERVAL_S: Final = 5.0
METRICS_INTERVAL_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class CallReceived:
    """A caller's request, posted by a server thread.

    The answer is put into ``answers``; ``deadline`` is on the boot clock.
    """

    number: int
    request: CallerRequest
    deadline: float
    answers: 'SimpleQueue[Answer]'


@dataclass(frozen=True, slots=True)
class SettingsChanged:
    """Event: the platform signalled that it has written new settings."""


class NodeLoop:
    """Feeds events to a node and executes the commands it returns.

    The threads are attributes that are set after creation; a command whose
    thread is missing is dropped.
    """

    def __init__(
        self,
        node: FleetNode,
        transport: PeerTransport,
        wake_fd: int,
        metrics: FleetMetrics,
    ) -> None:
        self.node = node
        self.rights = OwnerRights(node.ownership)
        self.metrics = metrics
        self.transport = transport
        self.wake_fd = wake_fd
        self.store_lanes: StoreLanes | None = None
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
        """Queue an item for the loop; safe to call from any thread."""
        self.inbox.append(item)
        if not self.has_ended:  # The descriptor may be closed already.
            eventfd_write(self.wake_fd, 1)

    def call(self, request: CallerRequest, wait_s: float) -> Answer:
        """Return the answer to a caller's request, blocking until it comes.

        The request expires after ``wait_s`` seconds. If the loop does not
        answer even then, the outcome is unknown.
        """
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
        duration_s = boot_time() - began_at
        self.metrics.call_ended(kind, answer.verdict.value, duration_s)
        return answer

    def leave(self) -> None:
        """Begin a graceful shutdown; safe to call in a signal handler."""
        self.is_leaving = True
        eventfd_write(self.wake_fd, 1)

    def stop(self) -> None:
        """End the loop; safe to call from any thread."""
        self.is_running = False
        eventfd_write(self.wake_fd, 1)

    # The loop's thread

    def run(self) -> None:
        """Process events until ``stop`` is called, then answer all calls."""
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
        """Answer all waiting calls at the end of the loop.

        Nothing else would answer them afterwards.
        """
        self.has_ended = True
        now = boot_time()
        owner = self.node.ownership.owner
        epoch = owner.epoch if owner else None
        for call, answer in self.node.pending_calls.end_all():
            log_unanswered_call(call, answer, epoch, now)
            self.execute(AnswerCaller(call.number, answer))
        self.answer_unprocessed_calls(now)

    def answer_unprocessed_calls(self, now: float) -> None:
        """Answer calls that are still in the inbox of an ended loop.

        Safe to call from any thread.
        """
        while self.inbox:
            try:
                item = self.inbox.popleft()
            except IndexError:
                # Another thread has removed the last item since the check.
                return
            if isinstance(item, CallReceived):
                call = PendingCall(
                    item.number, item.request, now, item.deadline
                )
                item.answers.put(answer_without_owner(call))

    def run_once(self) -> None:
        """Handle all received messages and posted items, then reconcile."""
        now = boot_time()
        for sender, message in self.transport.receive():
            self.node.handle_message(sender, message, now)
        while self.inbox:
            item = self.inbox.popleft()
            self.handle_item(item, now)
        self.reconcile()

    def handle_item(self, item: Any, now: float) -> None:
        """Handle one item that a thread has posted."""
        if isinstance(item, CallReceived):
            self.answer_queues[item.number] = item.answers
            self.node.handle_call(
                item.number, item.request, item.deadline, now
            )
        elif isinstance(item, SettingsChanged):
            log(Event.SETTINGS_SEEN)
        else:
            handle_event(self.node, item, now)

    def recover_from_error(self, error: Exception) -> None:
        """Log an unexpected error and give up the ownership.

        The error may have left the engine's state inconsistent. The next
        owner restores it from the records in the store.
        """
        problem = f'{type(error).__name__}: {error}'
        log(Event.LOOP_FAILED, problem=problem)
        LOGGER.exception('defect')
        self.node.abandon_ownership()

    def poll_timeout_ms(self) -> int:
        """Return how long to wait for events, in milliseconds."""
        if self.node.ownership.state is FleetOwnershipState.OWNING:
            return int(OWNER_TICK_S * 1000)
        if self.node.ownership.is_vacant:
            return int(VACANT_TICK_S * 1000)
        if self.node.pending_calls.calls:
            return int(CALLS_TICK_S * 1000)
        return int(IDLE_TICK_S * 1000)

    def reconcile(self) -> None:
        """Reconcile the node, and execute its commands and actions.

        Metrics are published and idle connections closed when due.
        """
        now = boot_time()
        node = self.node
        node.wall_offset_s = time() - now
        if self.is_leaving and not node.departure.is_leaving:
            log(Event.STOPPING, running=len(self.answer_queues), queued=0)
        node.departure.is_leaving = self.is_leaving
        commands, actions = node.reconcile(now)
        self.is_ready = node.is_ready(now)
        if self.store_lanes is not None:
            is_owner = node.engine is not None
            epoch = node.ownership.epoch if is_owner else Epoch(0)
            self.store_lanes.set_epoch(epoch)
        for command in commands:
            self.execute(command)
        for action in actions:
            self.submit_action(action)
        if now >= self.metrics_published_at + METRICS_INTERVAL_S:
            self.metrics_published_at = now
            self.metrics.publish(self.figures())
        if now >= self.idle_closed_at + CLOSE_IDLE_INTERVAL_S:
            self.close_idle_connections(now)

    def submit_action(self, action: Action) -> None:
        """Submit an action of the engine to the thread that executes it."""
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
        """Return the current values of this instance's metrics."""
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
        """Close connections to workers and peers that are no longer used.

        While the store does not answer, any peer may be queried, so the
        connections to peers stay open.
        """
        self.idle_closed_at = now
        if self.worker_links is not None:
            self.worker_links.close_idle(now)
        owner = self.node.ownership.owner
        if owner is not None and not self.node.view.is_store_unavailable:
            self.transport.close_all_except({owner.address})

    def execute(self, command: Any) -> None:
        """Execute one command, or submit it to its thread."""
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
        elif self.store_lanes is not None:
            self.store_lanes.submit(command)
