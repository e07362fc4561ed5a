"""One entry instance: its cores, put together.

The node gets events and the time, and returns actions for the rim. It
is the only place where the cores meet.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import TypeVar

from msgspec import Struct

from primroseledge.actions import Action
from primroseledge.actions import RefuseCall
from primroseledge.actions import SendToEntry
from primroseledge.actions import SendToOwner
from primroseledge.attemptend import AttemptEnd
from primroseledge.configuration import Configuration
from primroseledge.dispatcher import create_dispatcher
from primroseledge.dispatcher import Dispatcher
from primroseledge.documents import DEFAULT_CELL
from primroseledge.documents import Service
from primroseledge.entry import Arrival
from primroseledge.entry import EntryCore
from primroseledge.freshness import create_freshness
from primroseledge.freshness import Freshness
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.keyring import Keyring
from primroseledge.membership import create_membership
from primroseledge.membership import Membership
from primroseledge.membership import Timing
from primroseledge.messages import AnyMessage
from primroseledge.messages import Ask
from primroseledge.messages import Cancel
from primroseledge.messages import ConfigDelta
from primroseledge.messages import ConfigPull
from primroseledge.messages import Done
from primroseledge.messages import DoneAck
from primroseledge.messages import Envelope
from primroseledge.messages import Grant
from primroseledge.messages import Heartbeat
from primroseledge.messages import Message
from primroseledge.messages import PROTOCOL_VERSION
from primroseledge.messages import Refuse
from primroseledge.messages import Report
from primroseledge.messages import ReportRequest
from primroseledge.outcomes import Reason
from primroseledge.retrybudget import RetryBudget


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the loop sees of a request: everything but headers and body.

    ``key`` is the text of the caller's key, None without one;
    ``timeout_s`` is how long the caller waits, in seconds.
    """

    handle: int
    service: ServiceId
    key: str | None
    request_id: RequestId
    is_idempotent: bool
    is_urgent: bool
    timeout_s: float
    issued_at: float = 0.0


class Status(Struct, frozen=True):
    """What an entry instance shows of itself."""

    entry: EntryId
    revision: Revision
    members: list[EntryId]
    fresh: bool
    owners: dict[CellId, EntryId]
    open_calls: int


@dataclass(slots=True)
class Node:
    """The cores of one entry instance."""

    entry_id: EntryId
    incarnation: Incarnation
    configuration: Configuration
    keyring: Keyring
    entry: EntryCore
    membership: Membership
    freshness: Freshness
    dispatchers: dict[CellId, Dispatcher] = field(default_factory=dict)
    owners: dict[CellId, EntryId] = field(default_factory=dict)
    heartbeat_due: float = 0.0
    is_leaving: bool = False

    def request(self, head: RequestHead, now: float) -> list[Action]:
        """Check a request and take it, or refuse it."""
        checked = self.check(head, now)
        if isinstance(checked, Reason):
            return [RefuseCall(head.handle, checked)]
        return self.settle(self.entry.arrive(checked, now), now)

    def check(self, head: RequestHead, now: float) -> Arrival | Reason:
        """Return the checked request, or the reason against it."""
        if not self.is_fresh(now):
            return Reason.NOT_FRESH
        service = self.configuration.services.get(head.service)
        if service is None:
            return Reason.NO_SERVICE
        team = self.team_of(head, service)
        if isinstance(team, Reason):
            return team
        return Arrival(
            handle=head.handle,
            request_id=head.request_id,
            team=team,
            service=head.service,
            cell=CellId(service.cell),
            is_idempotent=head.is_idempotent,
            is_urgent=head.is_urgent,
            deadline=now + head.timeout_s,
            issued_at=head.issued_at,
        )

    def team_of(self, head: RequestHead, service: Service) -> TeamId | Reason:
        """Return the team for which a request works.

        That is the team of its key. A request without a key works for
        the service's own team when the service is open.
        """
        if head.key is None:
            return TeamId(service.team) if service.open else Reason.NO_KEY
        return self.keyring.find_team(head.key) or Reason.BAD_KEY

    def is_fresh(self, now: float) -> bool:
        """Tell whether the configuration here is new enough to act on."""
        return self.freshness.is_fresh(self.configuration.members, now)

    def attempt_ended(
        self, handle: int, end: AttemptEnd, now: float
    ) -> list[Action]:
        """Take the end of an attempt that the carrier reports."""
        return self.settle(self.entry.attempt_ended(handle, end, now), now)

    def config_read(
        self, delta: ConfigDelta, begun_at: float, now: float
    ) -> list[Action]:
        """Take the result of a read or watch that began at a time."""
        applied = self.configuration.apply(delta)
        self.freshness.note_read(
            begun_at, delta.upto, self.configuration.revision
        )
        return self.dispatch_all(now) if applied.is_applied else []

    def dispatch_all(self, now: float) -> list[Action]:
        """Let each dispatcher act on what may have changed."""
        actions: list[Action] = []
        for dispatcher in self.dispatchers.values():
            actions += self.settle(dispatcher.tick(now), now)
        return actions

    def received(self, envelope: Envelope, now: float) -> list[Action]:
        """Take a message of another entry instance."""
        known = self.membership.incarnation_of(envelope.sender)
        if envelope.incarnation < known:
            return []
        return self.settle(self.handle(envelope, now), now)

    def handle(self, envelope: Envelope, now: float) -> list[Action]:
        """Give a message to the core that it is for."""
        handler = HANDLERS.get(type(envelope.body))
        return [] if handler is None else handler(self, envelope, now)

    def settle(self, actions: Iterable[Action], now: float) -> list[Action]:
        """Carry out the actions that concern this instance itself."""
        queue = list(actions)
        outward: list[Action] = []
        while queue:
            action = queue.pop(0)
            if isinstance(action, SendToOwner):
                owner = self.owners.get(action.cell)
                if owner is None:
                    continue
                action = SendToEntry(owner, action.message)
            if not isinstance(action, SendToEntry):
                outward.append(action)
            elif action.entry == self.entry_id:
                queue += self.handle(self.envelope(action.message), now)
            else:
                outward.append(action)
        return outward

    def envelope(self, message: AnyMessage) -> Envelope:
        """Return a message as one of this run of this instance."""
        return Envelope(
            PROTOCOL_VERSION, self.entry_id, self.incarnation, message
        )

    def tick(self, now: float) -> list[Action]:
        """Do what the time asks for."""
        self.membership.is_leaving = self.is_leaving
        self.membership.tick(now)
        actions = self.heartbeat(now)
        actions += self.choose_owner(now)
        actions += self.settle(self.entry.tick(now), now)
        return actions + self.dispatch_all(now)

    def heartbeat(self, now: float) -> list[Action]:
        """Return the heartbeats that are due."""
        if now < self.heartbeat_due:
            return []
        self.heartbeat_due = now + self.membership.timing.heartbeat_s
        heartbeat = self.membership.heartbeat(
            now,
            self.configuration.revision,
            self.freshness.store_read_age_s(now),
            {},
            self.freshness.is_witness,
        )
        for dispatcher in self.dispatchers.values():
            dispatcher.heard(self.entry_id, now)
        return [SendToEntry(peer, heartbeat) for peer in self.membership.peers]

    def status(self, now: float) -> Status:
        """Return what the status page shows."""
        return Status(
            entry=self.entry_id,
            revision=self.configuration.revision,
            members=list(self.membership.alive(now)),
            fresh=self.is_fresh(now),
            owners=dict(self.owners),
            open_calls=len(self.entry.calls),
        )

    def choose_owner(self, now: float) -> list[Action]:
        """Follow the lowest live entry instance as the owner."""
        owner = min(self.membership.alive(now), default=None)
        if owner is None or owner == self.owners.get(DEFAULT_CELL):
            return []
        self.owners[DEFAULT_CELL] = owner
        if owner == self.entry_id:
            return self.take_cell(DEFAULT_CELL, now)
        self.dispatchers.pop(DEFAULT_CELL, None)
        return self.settle(self.entry.owner_changed(DEFAULT_CELL, now), now)

    def take_cell(self, cell: CellId, now: float) -> list[Action]:
        """Begin to own a cell."""
        epoch = Epoch(self.incarnation)
        dispatcher = create_dispatcher(
            cell, epoch, self.configuration, is_open=True
        )
        dispatcher.heard(self.entry_id, now)
        for peer in self.membership.peers.values():
            dispatcher.heard(peer.id, peer.sent_at)
        dispatcher.adopt(self.entry_id, self.entry.carried(cell, now), now)
        self.dispatchers[cell] = dispatcher
        request = ReportRequest(cell, epoch)
        actions: list[Action] = [
            SendToEntry(peer, request) for peer in self.membership.peers
        ]
        actions += self.entry.owner_changed(cell, now)
        return self.settle(actions, now)


Handler = Callable[[Node, Envelope, float], list[Action]]
HANDLERS: dict[type[Message], Handler] = {}
MessageT = TypeVar('MessageT', bound=Message)
TypedHandler = Callable[[Node, Envelope, MessageT, float], list[Action]]


def handles(
    message_type: type[MessageT],
) -> Callable[[TypedHandler[MessageT]], TypedHandler[MessageT]]:
    """Register what a node does with a type of message."""

    def register(handler: TypedHandler[MessageT]) -> TypedHandler[MessageT]:
        def handle(node: Node, envelope: Envelope, now: float) -> list[Action]:
            assert isinstance(envelope.body, message_type)
            return handler(node, envelope, envelope.body, now)

        HANDLERS[message_type] = handle
        return handler

    return register


@handles(Heartbeat)
def handle_heartbeat(
    node: Node, envelope: Envelope, message: Heartbeat, now: float
) -> list[Action]:
    """Note what a peer knows, and pull what it knows more."""
    peer = envelope.sender
    if not node.membership.hear(peer, envelope.incarnation, message, now):
        return []
    node.freshness.note_heartbeat(
        peer,
        envelope.incarnation,
        message,
        node.membership.echoed_at(peer),
    )
    for dispatcher in node.dispatchers.values():
        dispatcher.heard(peer, message.sent_at)
    if message.revision > node.configuration.revision:
        pull = ConfigPull(node.configuration.revision)
        return [SendToEntry(peer, pull)]
    return []


@handles(ConfigPull)
def handle_pull(
    node: Node, envelope: Envelope, message: ConfigPull, now: float
) -> list[Action]:
    """Send a peer the changes that it lacks."""
    delta = node.configuration.delta_after(message.after)
    return [SendToEntry(envelope.sender, delta)]


@handles(ConfigDelta)
def handle_delta(
    node: Node, envelope: Envelope, message: ConfigDelta, now: float
) -> list[Action]:
    """Apply a peer's changes."""
    applied = node.configuration.apply(message)
    node.freshness.note_revision(node.configuration.revision)
    if applied.needs_pull:
        pull = ConfigPull(node.configuration.revision)
        return [SendToEntry(envelope.sender, pull)]
    return node.dispatch_all(now) if applied.is_applied else []


@handles(Ask)
def handle_ask(
    node: Node, envelope: Envelope, message: Ask, now: float
) -> list[Action]:
    """Queue a request when this node owns its cell."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is None:
        return []
    return [*dispatcher.asked(envelope.sender, message, now)]


@handles(Done)
def handle_done(
    node: Node, envelope: Envelope, message: Done, now: float
) -> list[Action]:
    """Count an attempt's end when this node owns its cell."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is None:
        return []
    return [*dispatcher.done(envelope.sender, message, now)]


@handles(Cancel)
def handle_cancel(
    node: Node, envelope: Envelope, message: Cancel, now: float
) -> list[Action]:
    """Take a request out of the queue."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is not None:
        dispatcher.cancelled(message)
    return []


@handles(ReportRequest)
def handle_report_request(
    node: Node, envelope: Envelope, message: ReportRequest, now: float
) -> list[Action]:
    """Tell a new owner what is carried here, and ask it from now on."""
    node.owners[message.cell] = envelope.sender
    report = Report(
        message.cell, message.epoch, node.entry.carried(message.cell, now)
    )
    return [
        SendToEntry(envelope.sender, report),
        *node.entry.owner_changed(message.cell, now),
    ]


@handles(Report)
def handle_report(
    node: Node, envelope: Envelope, message: Report, now: float
) -> list[Action]:
    """Count what another instance carries."""
    dispatcher = node.dispatchers.get(message.cell)
    if dispatcher is not None and dispatcher.epoch == message.epoch:
        dispatcher.adopt(envelope.sender, message.carried, now)
    return []


@handles(Grant)
def handle_grant(
    node: Node, envelope: Envelope, message: Grant, now: float
) -> list[Action]:
    """Start the attempt that a grant allows."""
    return [*node.entry.granted(message, now)]


@handles(Refuse)
def handle_refuse(
    node: Node, envelope: Envelope, message: Refuse, now: float
) -> list[Action]:
    """Refuse a call as the owner says."""
    return [*node.entry.refused(message, now)]


@handles(DoneAck)
def handle_done_ack(
    node: Node, envelope: Envelope, message: DoneAck, now: float
) -> list[Action]:
    """Forget what the owner has."""
    node.entry.acknowledged(message)
    return []


def create_node(
    entry_id: EntryId,
    incarnation: Incarnation,
    zone: str,
    peers: Iterable[EntryId],
    timing: Timing,
    freshness_s: float,
    retry_ratio: float,
    now: float,
) -> Node:
    """Create the cores of one entry instance."""
    configuration = Configuration()
    return Node(
        entry_id=entry_id,
        incarnation=incarnation,
        configuration=configuration,
        keyring=Keyring(configuration),
        entry=EntryCore(entry_id, incarnation, zone, RetryBudget(retry_ratio)),
        membership=create_membership(
            entry_id, incarnation, peers, now, timing
        ),
        freshness=create_freshness(entry_id, now, freshness_s),
    )
