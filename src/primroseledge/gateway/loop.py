"""The loop: one thread that holds the node and all state.

Other threads post items to it and get commands back; it alone calls
the cores. Pages are published as whole values, so that server threads
may read them without a lock.
"""

from collections import deque
from itertools import count
from math import ceil
from os import eventfd_read
from os import eventfd_write
from time import time
from typing import Final
from typing import Protocol

from msgspec import json
from zmq import Poller
from zmq import POLLIN

from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.clock import boot_time
from primroseledge.gateway.http_server import AttemptReport
from primroseledge.gateway.http_server import ServerCall
from primroseledge.gateway.node import Node
from primroseledge.gateway.peer_link import PeerLink
from primroseledge.gateway.strict_http import rejections
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.metrics import Direction
from primroseledge.observability.metrics import Metrics
from primroseledge.requests.actions import Action
from primroseledge.requests.actions import Deliver
from primroseledge.requests.actions import Note
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.outcomes import VERDICTS

TICK_S: Final = 0.1
PUBLISH_S: Final = 0.5


class Result(Protocol):
    """What another thread found out, to be taken by the node."""

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give the result to the node."""


class RecordWorker(Protocol):
    """Carries out reads and writes of the store on its own thread."""

    def submit(self, step: ReadRecord | WriteRecord) -> None:
        """Queue a call; its result is posted to the loop."""


class Controls(Protocol):
    """Steps the controllers on their own thread."""

    def offer(self, node: Node, now: float) -> None:
        """Begin a round when one is due."""


Item = ServerCall | AttemptReport | Result


class Loop:
    """Runs the node: events in, actions out."""

    def __init__(
        self, node: Node, link: PeerLink, wake_fd: int, metrics: Metrics
    ) -> None:
        self.node = node
        self.link = link
        self.wake_fd = wake_fd
        self.metrics = metrics
        self.worker: RecordWorker | None = None
        self.controls: Controls | None = None
        self.inbox: deque[Item] = deque()
        self.calls: dict[int, ServerCall] = {}
        self.handles = count(1)
        self.is_running = True
        self.has_ended_well = True
        self.stop_requested_s: float | None = None
        self.stop_at: float | None = None
        self.stopping_since: float | None = None
        self.status = b'{}'
        self.is_ready = False
        self.is_watcher = True
        self.was_fresh = False
        self.stale_since = boot_time()
        self.publish_at = 0.0
        self.counted_bytes = (0, 0)

    def next_handle(self) -> int:
        """Return a number for a new call; any thread may call it."""
        return next(self.handles)

    def post(self, item: Item) -> None:
        """Hand an item to the loop; any thread may call it."""
        self.inbox.append(item)
        eventfd_write(self.wake_fd, 1)

    def request_stop(self, grace_s: float) -> None:
        """Ask for a graceful shutdown; a signal handler may call it."""
        self.stop_requested_s = grace_s
        eventfd_write(self.wake_fd, 1)

    def run(self) -> None:
        """Run until the shutdown is complete."""
        poller = Poller()
        poller.register(self.link.router, POLLIN)
        poller.register(self.wake_fd, POLLIN)
        next_tick = 0.0
        while self.is_running:
            wait_s = max(0.0, next_tick - boot_time())
            ready = dict(poller.poll(ceil(wait_s * 1000)))
            if self.wake_fd in ready:
                eventfd_read(self.wake_fd)
            self.take_messages()
            self.take_items()
            if boot_time() >= next_tick:
                self.tick()
                next_tick = boot_time() + TICK_S

    def abandon(self) -> None:
        """Refuse every call in hand, since the loop has ended.

        What was handed to an upstream may have run; the rest did not.
        """
        running = {
            call.arrival.handle
            for call in self.node.entry.calls.values()
            if call.grant is not None
        }
        for handle in list(self.calls):
            is_running = handle in running
            reason = Reason.ANSWER_LOST if is_running else Reason.STOPPING
            self.command(RefuseCall(handle, reason))

    def take_messages(self) -> None:
        """Take what peers have sent."""
        for envelope in self.link.receive():
            self.perform(self.node.received(envelope, boot_time()))

    def take_items(self) -> None:
        """Take what other threads have posted."""
        while self.inbox:
            item = self.inbox.popleft()
            now = boot_time()
            if isinstance(item, ServerCall):
                self.calls[item.head.handle] = item
                self.perform(self.node.request(item.head, now))
            elif isinstance(item, AttemptReport):
                self.perform(
                    self.node.attempt_ended(item.handle, item.end, now)
                )
            else:
                self.perform(item.deliver(self.node, now))

    def tick(self) -> None:
        """Let the node do what the time asks for, and publish its state."""
        now = boot_time()
        self.node.wall_offset_s = time() - now
        self.begin_stop(now)
        self.perform(self.node.tick(now))
        if self.controls is not None:
            self.controls.offer(self.node, now)
        if now >= self.publish_at:
            self.publish_at = now + PUBLISH_S
            self.publish(now)
        if self.stop_at is not None and (
            not self.node.has_work(now) or now >= self.stop_at
        ):
            self.is_running = False

    def begin_stop(self, now: float) -> None:
        """Begin a graceful shutdown when one was asked for."""
        if self.stop_requested_s is None or self.stop_at is not None:
            return
        self.stop_at = now + self.stop_requested_s
        self.stopping_since = now
        running, queued = self.node.entry.count_calls()
        log(Event.STOPPING, running=running, queued=queued)
        self.perform(self.node.leave(now))
        self.publish_at = now

    def publish(self, now: float) -> None:
        """Publish pages and metrics."""
        node = self.node
        is_fresh = node.is_fresh(now)
        self.note_freshness(is_fresh, now)
        self.is_ready = is_fresh and not node.is_leaving
        self.is_watcher = node.is_watcher(now)
        self.status = json.encode(node.status(now))
        self.metrics.view_changed(
            node.configuration.revision, is_fresh, len(self.calls)
        )
        sent, received = self.link.total_bytes()
        sent_before, received_before = self.counted_bytes
        self.metrics.peer_transferred(Direction.SENT, sent - sent_before)
        self.metrics.peer_transferred(
            Direction.RECEIVED, received - received_before
        )
        self.counted_bytes = (sent, received)
        self.metrics.input_rejected(rejections)
        for cell in node.dispatchers:
            dispatcher = node.acting_dispatcher(cell, now)
            if dispatcher is not None:
                distances = dispatcher.share_distances()
                self.metrics.shares_measured(distances)

    def note_freshness(self, is_fresh: bool, now: float) -> None:
        """Log when the view stops or begins to be fresh."""
        if is_fresh == self.was_fresh:
            return
        self.was_fresh = is_fresh
        if is_fresh:
            revision = self.node.configuration.revision
            log(Event.FRESH, revision=revision)
            return
        log(Event.STALE, seconds=round(now - self.stale_since, 1))

    def perform(self, actions: list[Action]) -> None:
        """Carry out the node's actions."""
        for action in actions:
            if isinstance(action, SendToEntry):
                self.link.send(
                    action.entry, self.node.envelope(action.message)
                )
            elif isinstance(action, ReadRecord | WriteRecord):
                if self.worker is not None:
                    self.worker.submit(action)
            elif isinstance(action, Note):
                log(action.event, **action.fields)
            elif not isinstance(action, SendToOwner):
                self.command(action)

    def command(self, action: StartAttempt | Deliver | RefuseCall) -> None:
        """Tell a server thread what to do next."""
        call = self.calls.get(action.handle)
        if call is None:
            return
        if isinstance(action, RefuseCall):
            self.metrics.request_refused(action.reason)
            outcome = VERDICTS[action.reason].outcome
            self.metrics.request_ended(call.head.service, outcome)
        elif isinstance(action, StartAttempt):
            self.metrics.queue_left(call.head.service, action.queued_s)
        elif isinstance(action, Deliver):
            self.metrics.request_ended(call.head.service, Outcome.RAN)
        if action.is_last:
            del self.calls[action.handle]
        call.commands.put(action)
