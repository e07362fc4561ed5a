"""One entry instance: its cores, put together.

The node gets events and the time, and returns actions for the rim. It
is the only place where the cores meet.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from msgspec import Struct

from primroseledge.agreement.configuration import Configuration
from primroseledge.agreement.freshness import create_freshness
from primroseledge.agreement.freshness import Freshness
from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.membership import Membership
from primroseledge.agreement.membership import Timing
from primroseledge.agreement.ownership import create_ownership
from primroseledge.agreement.ownership import Ownership
from primroseledge.agreement.ownership_actions import OwnershipAction
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.agreement.ownership_settings import OwnershipSettings
from primroseledge.constants import RUN_MARGIN_S
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.policy.policy_state import Listing
from primroseledge.policy.policy_state import PolicyState
from primroseledge.requests.actions import Action
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.attempt_history import AttemptHistory
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.keyring import Keyring
from primroseledge.requests.messages import AnyMessage
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Handover
from primroseledge.requests.messages import Message
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.request_check import check_request
from primroseledge.requests.request_check import RequestHead
from primroseledge.requests.retry_budget import RetryBudget
from primroseledge.storage.store import Record

WATCHERS_PER_ZONE: Final = 2


@dataclass(frozen=True, slots=True)
class IdMemory:
    """How ids of requests are remembered, in seconds.

    ``clock_skew_s`` is how far a caller's clock may be ahead.
    """

    window_s: float = 600.0
    clock_skew_s: float = 2.0


DEFAULT_ID_MEMORY: Final = IdMemory()


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
    """The cores of one entry instance.

    ``wall_offset_s`` is what to add to boot time to get wall-clock
    time; the rim keeps it up to date.
    """

    entry_id: EntryId
    incarnation: Incarnation
    configuration: Configuration
    keyring: Keyring
    entry: EntryCore
    membership: Membership
    freshness: Freshness
    zone: ZoneId
    peer_zones: dict[EntryId, ZoneId]
    ownership_settings: OwnershipSettings
    id_memory: IdMemory = DEFAULT_ID_MEMORY
    ownerships: dict[CellId, Ownership] = field(default_factory=dict)
    dispatchers: dict[CellId, Dispatcher] = field(default_factory=dict)
    handovers: dict[CellId, Handover] = field(default_factory=dict)
    wall_offset_s: float = 0.0
    cells_revision: Revision = Revision(-1)
    heartbeat_due: float = 0.0
    is_leaving: bool = False
    policy: PolicyState = field(default_factory=PolicyState)

    def request(self, head: RequestHead, now: float) -> list[Action]:
        """Check a request and take it, or refuse it."""
        if not self.is_fresh(now):
            return [RefuseCall(head.handle, Reason.NOT_FRESH)]
        checked = check_request(head, self.configuration, self.keyring, now)
        if isinstance(checked, Reason):
            return [RefuseCall(head.handle, checked)]
        return self.settle(self.entry.arrive(checked, now), now)

    def may_use_key(self, ask_id: str) -> bool:
        """Tell whether the key of a waiting call was not withdrawn."""
        call = self.entry.calls.get(ask_id)
        if call is None or not call.arrival.key_id:
            return True
        arrival = call.arrival
        return self.keyring.is_in_force(arrival.team, arrival.key_id)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the configuration here is new enough to act on."""
        return self.freshness.is_fresh(self.configuration.members, now)

    def attempt_ended(
        self, handle: int, end: AttemptEnd, now: float
    ) -> list[Action]:
        """Take the end of an attempt that the carrier reports."""
        return self.settle(self.entry.attempt_ended(handle, end, now), now)

    def config_read(
        self,
        delta: ConfigDelta,
        store_revision: Revision,
        begun_at: float,
        now: float,
    ) -> list[Action]:
        """Take the result of a read or watch that began at a time.

        ``store_revision`` is the store's own counter. When it is below
        our revision, the store lags or was restored and proves nothing.
        """
        applied = self.configuration.apply(delta)
        self.freshness.note_read(
            begun_at, store_revision, self.configuration.revision
        )
        if not applied.is_applied:
            return []
        pushed = [] if delta.is_whole else self.to_peers(delta)
        return pushed + self.dispatch_all(now)

    def list_read(self, listing: Listing, now: float) -> list[Action]:
        """Take the platform's list; what leaves gets no new work."""
        self.policy.listing = listing
        leaving = listing.leaving()
        if leaving == self.policy.leaving:
            return []
        self.policy.leaving = leaving
        for dispatcher in self.dispatchers.values():
            dispatcher.work.slots.leaving = leaving
        return self.dispatch_all(now)

    def dispatch_all(self, now: float) -> list[Action]:
        """Let each dispatcher that may act do what is due."""
        actions: list[Action] = []
        for cell in self.dispatchers:
            dispatcher = self.acting_dispatcher(cell, now)
            if dispatcher is not None:
                actions += self.settle(dispatcher.tick(now), now)
        return actions

    def acting_dispatcher(self, cell: CellId, now: float) -> Dispatcher | None:
        """Return a cell's dispatcher if this node may act as its owner."""
        ownership = self.ownerships.get(cell)
        if ownership is None or not ownership.may_act(now):
            return None
        return self.dispatchers.get(cell) if self.is_fresh(now) else None

    def received(self, envelope: Envelope, now: float) -> list[Action]:
        """Take a message of another entry instance."""
        known = self.membership.incarnation_of(envelope.sender)
        if envelope.incarnation < known:
            return []
        return self.settle(self.handle(envelope, now), now)

    def handle(self, envelope: Envelope, now: float) -> list[Action]:
        """Give a message to the core that it is for."""
        handler = MESSAGE_HANDLERS.get(type(envelope.body))
        return [] if handler is None else handler(self, envelope, now)

    def settle(self, actions: Iterable[Action], now: float) -> list[Action]:
        """Carry out the actions that concern this instance itself."""
        queue = list(actions)
        outward: list[Action] = []
        while queue:
            action = queue.pop(0)
            if isinstance(action, SendToOwner):
                owner = self.owner_of(action.cell)
                if not owner:
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

    def owner_of(self, cell: CellId) -> EntryId:
        """Return whom this node takes for a cell's owner, or an empty id."""
        ownership = self.ownerships.get(cell)
        return EntryId('') if ownership is None else ownership.owner

    def tick(self, now: float) -> list[Action]:
        """Do what the time asks for."""
        self.membership.tick(now)
        actions = self.tick_ownerships(now)
        if now >= self.heartbeat_due:
            actions += self.heartbeat(now)
        actions += self.settle(self.entry.tick(now), now)
        return actions + self.dispatch_all(now)

    def tick_ownerships(self, now: float) -> list[Action]:
        """Let the core of each cell do what is due."""
        if self.cells_revision != self.configuration.revision:
            self.follow_cells()
        actions: list[Action] = []
        for ownership in self.ownerships.values():
            steps = ownership.tick(now, self.configuration.members)
            actions += self.follow(steps, now)
        return actions

    def follow_cells(self) -> None:
        """Keep an ownership core for each cell of the configuration."""
        self.cells_revision = self.configuration.revision
        longest_run_s: dict[CellId, float] = {}
        for service in self.configuration.services.values():
            cell = CellId(service.cell)
            known_s = longest_run_s.get(cell, 0.0)
            longest_run_s[cell] = max(known_s, service.run_limit_s)
        for cell, run_s in longest_run_s.items():
            if cell not in self.ownerships:
                self.ownerships[cell] = create_ownership(
                    cell, self.membership, self.ownership_settings
                )
            self.ownerships[cell].longest_run_s = run_s + RUN_MARGIN_S

    def follow(
        self, steps: Iterable[OwnershipAction], now: float
    ) -> list[Action]:
        """Carry out what the ownership cores ask for."""
        actions: list[Action] = []
        for step in steps:
            handler = OWNERSHIP_HANDLERS.get(type(step))
            if handler is not None:
                actions += self.settle(handler(self, step, now), now)
        return actions

    def record_read(
        self,
        cell: CellId,
        record: Record | None,
        began_at: float,
        now: float,
    ) -> list[Action]:
        """Take a cell's record as the store thread read it."""
        steps = self.ownerships[cell].on_read(record, began_at, now)
        return self.follow(steps, now)

    def record_read_failed(self, cell: CellId) -> None:
        """Take a failed read of a cell's record."""
        self.ownerships[cell].on_read_failed()

    def record_written(
        self,
        write: WriteRecord,
        result: WriteResult,
        revision: Revision,
        now: float,
    ) -> list[Action]:
        """Take the result of a write of a cell's record."""
        steps = self.ownerships[write.cell].on_write(
            write.write_id, result, revision, now
        )
        return self.follow(steps, now)

    def leave(self, now: float) -> list[Action]:
        """Begin a graceful shutdown: take nothing new, hand cells on."""
        self.is_leaving = self.membership.is_leaving = True
        self.entry.is_stopping = True
        actions: list[Action] = []
        for ownership in self.ownerships.values():
            actions += self.follow(ownership.leave(now), now)
        return actions + self.heartbeat(now)

    def heartbeat(self, now: float) -> list[Action]:
        """Return a heartbeat to every peer."""
        self.heartbeat_due = now + self.membership.timing.heartbeat_s
        epochs: dict[CellId, Epoch] = {}
        vacant: tuple[CellId, ...] = ()
        for ownership in self.ownerships.values():
            epochs |= ownership.stated_epochs
            vacant += ownership.stated_vacant(now)
        for cell, dispatcher in self.dispatchers.items():
            dispatcher.heard(self.entry_id, now, now)
            self.entry.note_owner(cell, dispatcher.epoch, now)
        # Each echoes its receiver alone, so its size stays the same.
        return [
            SendToEntry(
                peer,
                self.membership.heartbeat(
                    now,
                    self.configuration.revision,
                    self.freshness.store_read_age_s(now),
                    epochs,
                    self.freshness.is_witness,
                    vacant,
                    peer,
                ),
            )
            for peer in self.membership.peers
        ]

    def has_work(self, now: float) -> bool:
        """Tell whether a graceful shutdown has something to wait for.

        That is a call in hand, or a cell that nobody else owns yet: the
        next owner needs this instance's report.
        """
        return bool(self.entry.calls) or any(
            ownership.access.pending is not None
            or self.is_handing_over(ownership, now)
            for ownership in self.ownerships.values()
        )

    def is_handing_over(self, ownership: Ownership, now: float) -> bool:
        """Tell whether a released cell still waits for its next owner."""
        if ownership.cell not in self.handovers:
            return False
        others = self.membership.alive(now)
        return bool(others) and ownership.owner in ('', self.entry_id)

    def to_peers(self, message: AnyMessage) -> list[Action]:
        """Return the sending of a message to every peer."""
        return [SendToEntry(peer, message) for peer in self.membership.peers]

    def is_watcher(self, now: float) -> bool:
        """Tell whether this node is to watch the store for its zone.

        The first two live entry instances of an availability zone do;
        so does a node that is alone or has no configuration yet.
        """
        if not self.configuration.revision:
            return True
        neighbours = [
            entry
            for entry in self.membership.alive(now)
            if entry == self.entry_id
            or self.peer_zones.get(entry) == self.zone
        ]
        return self.entry_id in neighbours[:WATCHERS_PER_ZONE]

    def status(self, now: float) -> Status:
        """Return what the status page shows."""
        return Status(
            entry=self.entry_id,
            revision=self.configuration.revision,
            members=list(self.membership.alive(now)),
            fresh=self.is_fresh(now),
            owners={
                cell: ownership.owner
                for cell, ownership in self.ownerships.items()
            },
            open_calls=len(self.entry.calls),
        )


MessageHandler = Callable[[Node, Envelope, float], list[Action]]
StepHandler = Callable[[Node, Any, float], list[Action]]
OWNERSHIP_HANDLERS: dict[type[OwnershipAction], StepHandler] = {}
MESSAGE_HANDLERS: dict[type[Message], MessageHandler] = {}


def create_node(
    entry_id: EntryId,
    incarnation: Incarnation,
    zone: ZoneId,
    peer_zones: Mapping[EntryId, ZoneId],
    timing: Timing,
    freshness_s: float,
    retry_ratio: float,
    now: float,
    id_memory: IdMemory = DEFAULT_ID_MEMORY,
) -> Node:
    """Create the cores of one entry instance."""
    configuration = Configuration()
    return Node(
        entry_id=entry_id,
        incarnation=incarnation,
        configuration=configuration,
        keyring=Keyring(configuration),
        entry=EntryCore(
            entry_id,
            incarnation,
            zone,
            RetryBudget(retry_ratio),
            history=AttemptHistory(id_memory.window_s),
        ),
        membership=create_membership(
            entry_id, incarnation, peer_zones, now, timing
        ),
        zone=zone,
        peer_zones=dict(peer_zones),
        ownership_settings=OwnershipSettings(freshness_s=freshness_s),
        id_memory=id_memory,
        freshness=create_freshness(entry_id, now, freshness_s),
    )
