"""Which entry instances are alive, as one of them sees it.

A peer is alive while it sends heartbeats that echo one of ours not
older than ``suspect_s``. The age of that echo grows alike when a peer
crashed, is paused or slow, or when either direction of the link fails.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from primroseledge.agreement.freshness import NEVER
from primroseledge.chart import load_chart
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.requests.messages import Echo
from primroseledge.requests.messages import Heartbeat

HEARTBEAT_S: Final = 0.5
SUSPECT_S: Final = 1.5
DEAD_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of membership, in seconds."""

    heartbeat_s: float = HEARTBEAT_S
    suspect_s: float = SUSPECT_S
    dead_s: float = DEAD_S


class PeerState(Enum):
    """What a peer is to us."""

    JOINING = 'joining'
    ALIVE = 'alive'
    SUSPECT = 'suspect'
    DEAD = 'dead'
    LEAVING = 'leaving'


class ChangeKind(Enum):
    """What happened to a peer."""

    ALIVE = 'alive'
    SUSPECTED = 'suspected'
    DEAD = 'dead'
    LEAVING = 'leaving'
    NEW_INCARNATION = 'new_incarnation'


KINDS: Final = {
    PeerState.ALIVE: ChangeKind.ALIVE,
    PeerState.SUSPECT: ChangeKind.SUSPECTED,
    PeerState.DEAD: ChangeKind.DEAD,
    PeerState.LEAVING: ChangeKind.LEAVING,
}


@dataclass(frozen=True, slots=True)
class PeerChange:
    """One change of a peer's state, in the run that it is about."""

    kind: ChangeKind
    peer: EntryId
    incarnation: Incarnation


@dataclass(slots=True)
class Peer:
    """A peer's run as known here; times are of our own clock."""

    id: EntryId
    known_at: float
    incarnation: Incarnation = Incarnation(0)
    state: PeerState = PeerState.JOINING
    last_heard: float = NEVER
    echoed_at: float = NEVER
    sent_at: float = NEVER
    started_at: float = NEVER
    is_leaving: bool = False


class Membership:
    """The peers of one entry instance and how they are."""

    def __init__(
        self,
        me: EntryId,
        incarnation: Incarnation,
        peers: Iterable[EntryId],
        timing: Timing,
        now: float,
    ) -> None:
        self.me = me
        self.incarnation = incarnation
        self.started_at = now
        self.timing = timing
        self.chart = load_chart('membership')
        self.is_leaving = False
        self.peers: dict[EntryId, Peer] = {}
        self.changes: list[PeerChange] = []
        self.last_tick = now
        self.blind_until = now
        self.set_peers(peers, now)

    def set_peers(self, peers: Iterable[EntryId], now: float) -> None:
        """Follow a new list of peers; keep what is known of the rest."""
        wanted = {peer for peer in peers if peer != self.me}
        for gone in self.peers.keys() - wanted:
            del self.peers[gone]
        for peer in sorted(wanted - self.peers.keys()):
            self.peers[peer] = Peer(peer, now)

    def hear(
        self,
        peer_id: EntryId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        now: float,
    ) -> bool:
        """Take a heartbeat; return False when it is to be dropped.

        It is dropped when it is of a stranger, of an earlier run, or
        overtaken by a later one. ``tick`` returns what changed.
        """
        peer = self.peers.get(peer_id)
        if peer is None or incarnation < peer.incarnation:
            return False
        if incarnation > peer.incarnation:
            self.start_run(peer, incarnation, now)
        if heartbeat.sent_at < peer.sent_at:
            return False
        peer.last_heard = now
        peer.sent_at = heartbeat.sent_at
        peer.is_leaving = heartbeat.is_leaving
        peer.started_at = now - heartbeat.uptime_s
        echo = heartbeat.echoes.get(self.me)
        # An echo from the future is of an earlier run's clock.
        if (
            echo is not None
            and echo.incarnation == self.incarnation
            and peer.echoed_at < echo.sent_at <= now
        ):
            peer.echoed_at = echo.sent_at
        self.judge(peer, now)
        return True

    def tick(self, now: float) -> list[PeerChange]:
        """Judge all peers and return the changes since the last tick."""
        if now - self.last_tick > self.timing.suspect_s:
            # We were paused, so the peers' silence may be our own.
            self.blind_until = now + self.timing.suspect_s
        self.last_tick = now
        for peer in self.peers.values():
            self.judge(peer, now)
        changes, self.changes = self.changes, []
        return changes

    def alive(self, now: float) -> tuple[EntryId, ...]:
        """Return the live entry instances, in order of id.

        This node is among them unless it is leaving, as are no peers
        that are.
        """
        alive = [
            peer.id
            for peer in self.peers.values()
            if peer.state is PeerState.ALIVE and self.is_in_touch(peer, now)
        ]
        if not self.is_leaving:
            alive.append(self.me)
        return tuple(sorted(alive))

    def is_alive(self, peer_id: EntryId) -> bool:
        """Return whether a peer, leaving or not, answers; we do."""
        if peer_id == self.me:
            return True
        peer = self.peers.get(peer_id)
        live_states = (PeerState.ALIVE, PeerState.LEAVING)
        return peer is not None and peer.state in live_states

    def last_heard(self, peer_id: EntryId) -> float:
        """Return when a peer was last heard, or NEVER."""
        peer = self.peers.get(peer_id)
        return NEVER if peer is None else peer.last_heard

    def echoed_at(self, peer_id: EntryId) -> float:
        """Return when we sent what a peer last proved to have heard."""
        peer = self.peers.get(peer_id)
        return NEVER if peer is None else peer.echoed_at

    def run_began_at(self, peer_id: EntryId) -> float:
        """Return the latest time at which a peer's run, or ours, began."""
        if peer_id == self.me:
            return self.started_at
        peer = self.peers.get(peer_id)
        return NEVER if peer is None else peer.started_at

    def incarnation_of(self, peer_id: EntryId) -> Incarnation:
        """Return the newest known run of a peer, 0 when unknown."""
        peer = self.peers.get(peer_id)
        return Incarnation(0) if peer is None else peer.incarnation

    def heartbeat(
        self,
        now: float,
        revision: Revision,
        store_read_age_s: float,
        epochs: dict[CellId, Epoch],
        is_witness: bool,
        vacant: tuple[CellId, ...] = (),
        to: EntryId | None = None,
    ) -> Heartbeat:
        """Return the heartbeat to send now, to one peer or to all.

        One for a single peer echoes that peer alone, so that its size
        does not grow with the fleet.
        """
        peers = self.peers.values() if to is None else [self.peers[to]]
        echoes = {
            peer.id: Echo(peer.incarnation, peer.sent_at)
            for peer in peers
            if now - peer.last_heard <= self.timing.dead_s
        }
        return Heartbeat(
            revision=revision,
            store_read_age_s=store_read_age_s,
            is_leaving=self.is_leaving,
            epochs=epochs,
            sent_at=now,
            echoes=echoes,
            is_witness=is_witness,
            vacant=vacant,
            uptime_s=int(now - self.started_at),
        )

    def start_run(
        self, peer: Peer, incarnation: Incarnation, now: float
    ) -> None:
        """Forget a peer's earlier run."""
        is_first = peer.incarnation == 0
        peer.known_at = now
        peer.incarnation = incarnation
        self.fire(peer, 'restarted')
        peer.last_heard = peer.echoed_at = peer.sent_at = NEVER
        if not is_first:
            self.note(ChangeKind.NEW_INCARNATION, peer)

    def judge(self, peer: Peer, now: float) -> None:
        """Move a peer to the state that its echoes call for."""
        if self.is_in_touch(peer, now):
            self.move(peer, 'parting' if peer.is_leaving else 'in_touch')
            return
        if now < self.blind_until:
            return
        silence_s = now - max(peer.echoed_at, peer.known_at)
        self.move(peer, 'gone' if silence_s > self.timing.dead_s else 'silent')

    def is_in_touch(self, peer: Peer, now: float) -> bool:
        """Return whether a peer proved lately that it hears us."""
        return now - peer.echoed_at <= self.timing.suspect_s

    def move(self, peer: Peer, trigger: str) -> None:
        """Move a peer along the chart and note the change, if any."""
        if self.fire(peer, trigger):
            self.note(KINDS[peer.state], peer)

    def fire(self, peer: Peer, trigger: str) -> bool:
        """Move a peer along the chart; return whether it moved."""
        before = peer.state.value
        after = self.chart.advance(before, trigger)
        if after == before:
            return False
        peer.state = PeerState(after)
        return True

    def note(self, kind: ChangeKind, peer: Peer) -> None:
        """Keep a change for the next tick."""
        self.changes.append(PeerChange(kind, peer.id, peer.incarnation))


def create_membership(
    me: EntryId,
    incarnation: Incarnation,
    peers: Iterable[EntryId],
    now: float,
    timing: Timing | None = None,
) -> Membership:
    """Create the membership of one run of an entry instance."""
    return Membership(me, incarnation, peers, timing or Timing(), now)
