"""Whether one entry instance's view is new enough to act on.

All times are of this node's own boot clock, in seconds. What a
peer said is dated by the echo in the same heartbeat: it was said after
our own heartbeat with that stamp was sent, however long the message
lay in a buffer. So a date here is never later than the truth.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.requests.messages import Heartbeat

NEVER: Final = float('-inf')
UNKNOWN_AGE_S: Final = -1.0
CLOCK_RATE_MARGIN: Final = 0.01
"""The most by which two clocks' rates differ, as a fraction."""


class Evidence(Enum):
    """What a view's freshness rests on."""

    STORE = 'store'
    MAJORITY = 'majority'
    NONE = 'none'


@dataclass(slots=True)
class PeerView:
    """What one peer said, each with the earliest time it can be of.

    ``agreed_at`` is when it was a witness and had no newer revision
    than our present one; ``newest_at`` is when it had
    ``newest_revision``, which covers a read begun at ``read_at``.
    """

    incarnation: Incarnation
    is_witness: bool = False
    agreed_at: float = NEVER
    newest_revision: Revision = Revision(0)
    newest_at: float = NEVER
    read_at: float = NEVER


@dataclass(frozen=True, slots=True)
class View:
    """All that freshness depends on.

    ``agreed`` holds, for each witness among our peers, when it had no
    newer revision than ours. ``read_at`` is when the newest read of
    the store began that our revision covers.
    """

    me: EntryId
    is_witness: bool
    members: tuple[EntryId, ...]
    read_at: float
    agreed: dict[EntryId, float] = field(default_factory=dict)


def majority(member_count: int) -> int:
    """Return the least count of members of which no two are disjoint."""
    return member_count // 2 + 1


def majority_at(view: View, now: float) -> float:
    """Return the latest time at which a majority agreed with us.

    Only witnesses among the members count, and we count for ourselves
    when we are one, as of now.
    """
    times = [
        view.agreed.get(member, NEVER)
        for member in view.members
        if member != view.me
    ]
    if view.me in view.members and view.is_witness:
        times.append(now)
    return nth_latest(times, majority(len(view.members)))


def nth_latest(times: Iterable[float], count: int) -> float:
    """Return the count-th largest of some times, or NEVER."""
    ordered = sorted(times, reverse=True)
    return ordered[count - 1] if 0 < count <= len(ordered) else NEVER


def fresh_at(view: View, now: float) -> float:
    """Return the latest time as of which the view is known complete."""
    return max(view.read_at, majority_at(view, now))


def evidence(view: View, now: float, freshness_s: float) -> Evidence:
    """Return which evidence, if any, is not older than freshness_s."""
    if now - view.read_at <= freshness_s:
        return Evidence.STORE
    if now - majority_at(view, now) <= freshness_s:
        return Evidence.MAJORITY
    return Evidence.NONE


def is_fresh(view: View, now: float, freshness_s: float) -> bool:
    """Return whether the view may be acted on now."""
    return evidence(view, now, freshness_s) is not Evidence.NONE


class Freshness:
    """Gathers what a View is made of, for one run of one node."""

    def __init__(
        self, me: EntryId, started_at: float, freshness_s: float
    ) -> None:
        self.me = me
        self.started_at = started_at
        self.freshness_s = freshness_s
        self.revision = Revision(0)
        self.read_at = NEVER
        self.is_witness = False
        self.peers: dict[EntryId, PeerView] = {}

    def note_read(
        self, began_at: float, store_revision: Revision, revision: Revision
    ) -> None:
        """Take a read or watch of the store that we made ourselves.

        ``revision`` is our configuration's after its result was
        applied. A store that answers with an older revision than ours
        was restored or lags, and proves nothing.
        """
        self.note_revision(revision)
        if store_revision >= revision:
            self.note_covered(began_at)
            self.is_witness = True

    def note_heartbeat(
        self,
        peer: EntryId,
        incarnation: Incarnation,
        heartbeat: Heartbeat,
        echoed_at: float,
    ) -> None:
        """Take a heartbeat that echoes what we sent at ``echoed_at``.

        Without an echo of this run, pass NEVER; it then proves nothing.
        """
        view = self.peers.get(peer)
        if view is None or view.incarnation < incarnation:
            view = self.peers[peer] = PeerView(incarnation)
        if incarnation < view.incarnation or echoed_at < view.newest_at:
            return
        view.is_witness = heartbeat.is_witness
        view.newest_revision = heartbeat.revision
        view.newest_at = echoed_at
        if heartbeat.store_read_age_s >= 0:
            view.read_at = echoed_at - heartbeat.store_read_age_s
        self.settle(view)

    def note_revision(self, revision: Revision) -> None:
        """Take our configuration's revision after it was raised."""
        if revision <= self.revision:
            return
        self.revision = revision
        for view in self.peers.values():
            self.settle(view)

    def settle(self, view: PeerView) -> None:
        """Use what a peer said as far as our revision reaches."""
        if view.newest_revision > self.revision:
            return
        if view.is_witness:
            view.agreed_at = max(view.agreed_at, view.newest_at)
        self.note_covered(view.read_at)

    def note_covered(self, began_at: float) -> None:
        """Take the begin of a read that our revision covers."""
        self.read_at = max(self.read_at, began_at)
        # A read from before this run may miss what an earlier run of
        # this node had acknowledged, so it makes no witness.
        self.is_witness |= began_at > self.started_at

    def store_read_age_s(self, now: float) -> float:
        """Return what a heartbeat sent now says of store reads."""
        if self.read_at == NEVER:
            return UNKNOWN_AGE_S
        return max(0.0, now - self.read_at)

    def view(self, members: tuple[EntryId, ...]) -> View:
        """Return the present view, given the last agreed members."""
        agreed = {
            peer: view.agreed_at
            for peer, view in self.peers.items()
            if view.agreed_at != NEVER
        }
        return View(self.me, self.is_witness, members, self.read_at, agreed)

    def is_fresh(self, members: tuple[EntryId, ...], now: float) -> bool:
        """Return whether our view may be acted on now."""
        return is_fresh(self.view(members), now, self.freshness_s)

    def evidence(self, members: tuple[EntryId, ...], now: float) -> Evidence:
        """Return what our view's freshness rests on now."""
        return evidence(self.view(members), now, self.freshness_s)

    def fresh_until(self, members: tuple[EntryId, ...]) -> float:
        """Return until when our view may be acted on, as known now.

        It changes only when a note is taken, so it may be kept between
        notes. It is infinite for a witness that is the only member.
        """
        latest = fresh_at(self.view(members), float('inf'))
        return latest + self.freshness_s

    def witnesses_at(self, revision: Revision) -> frozenset[EntryId]:
        """Return the witnesses, us included, known to have a revision."""
        known = {
            peer
            for peer, view in self.peers.items()
            if view.is_witness and view.newest_revision >= revision
        }
        if self.is_witness and self.revision >= revision:
            known.add(self.me)
        return frozenset(known)

    def is_accepted(
        self, revision: Revision, members: tuple[EntryId, ...]
    ) -> bool:
        """Return whether a majority of the members has a revision.

        Only then may a change be reported as accepted: a majority
        without it could go on without the store for ever.
        """
        holders = self.witnesses_at(revision)
        count = sum(member in holders for member in members)
        return count >= majority(len(members))


def create_freshness(
    me: EntryId, started_at: float, freshness_s: float
) -> Freshness:
    """Create the record of one run of a node that knows nothing yet."""
    return Freshness(me, started_at, freshness_s)
