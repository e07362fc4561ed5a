"""Who may take over a cell, and whether its owner is lost."""

from hashlib import blake2b

from primroseledge.agreement.freshness import majority
from primroseledge.agreement.membership import Membership
from primroseledge.agreement.membership import PeerState
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.ownership_settings import OwnershipSettings
from primroseledge.agreement.takeover import INFINITY
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.requests.messages import Heartbeat


class Succession:
    """What the live entry instances say of a cell's owner.

    ``vacancies`` are the peers whose newest heartbeat says that they do
    not hear the owner. One broken link must not depose an owner that
    the others hear, or two nodes would depose each other for ever.
    """

    def __init__(
        self,
        cell: CellId,
        membership: Membership,
        settings: OwnershipSettings,
    ) -> None:
        self.cell = cell
        self.membership = membership
        self.settings = settings
        self.lost_since = INFINITY
        self.stands_since = INFINITY
        self.vacancies: set[EntryId] = set()

    def hear(self, peer: EntryId, heartbeat: Heartbeat) -> None:
        """Take what a peer says of the owner."""
        if self.cell in heartbeat.vacant:
            self.vacancies.add(peer)
        else:
            self.vacancies.discard(peer)

    def reset(self) -> None:
        """Forget what was said of an earlier owner."""
        self.vacancies.clear()
        self.lost_since = INFINITY

    def is_due(
        self, record: OwnerRecord, members: tuple[EntryId, ...], now: float
    ) -> bool:
        """Return whether it is our turn to replace a lost owner."""
        if not self.is_lost(record, members, now):
            self.lost_since = INFINITY
            return False
        self.lost_since = min(self.lost_since, now)
        delay_s = self.rank(now) * self.settings.stagger_s
        if not (record.is_released or self.is_leaving(record)):
            delay_s += self.settings.takeover_delay_s
        self.stands_since = now
        return now >= self.lost_since + delay_s

    def awaits_release(self, record: OwnerRecord, now: float) -> bool:
        """Return whether a leaving owner may yet release the record."""
        if record.is_released or not self.is_leaving(record):
            return False
        return now < self.stands_since + self.settings.release_wait_s

    def is_unheard(self, record: OwnerRecord, now: float) -> bool:
        """Return whether we do not hear the run that a record names."""
        if not record.owner or record.is_released:
            return True
        if record.owner == self.membership.me:
            return record.incarnation != self.membership.incarnation
        known = self.membership.incarnation_of(record.owner)
        return (
            record.owner not in self.membership.alive(now)
            or known > record.incarnation
        )

    def is_lost(
        self, record: OwnerRecord, members: tuple[EntryId, ...], now: float
    ) -> bool:
        """Return whether the owner is gone, and not for us alone.

        That it was released or leaves is known at first hand; that it
        is silent, a majority must find.
        """
        if not self.is_unheard(record, now):
            return False
        is_vacant = not record.owner or record.is_released
        if is_vacant or self.is_leaving(record):
            return self.has_majority(members, now)
        alive = set(self.membership.alive(now))
        deaf = (self.vacancies & alive) | {self.membership.me}
        count = sum(member in deaf for member in members)
        return count >= majority(len(members))

    def is_leaving(self, record: OwnerRecord) -> bool:
        """Return whether the owner says that it leaves."""
        peer = self.membership.peers.get(record.owner)
        return peer is not None and peer.state is PeerState.LEAVING

    def has_majority(self, members: tuple[EntryId, ...], now: float) -> bool:
        """Return whether a majority of the members answers us."""
        alive = set(self.membership.alive(now))
        count = sum(member in alive for member in members)
        return count >= majority(len(members))

    def rank(self, now: float) -> int:
        """Return our place in the order of succession, from 0.

        Rendezvous hashing gives each cell another order of the live
        entry instances, and a join or leave changes it least.
        """
        me = self.membership.me
        mine = rendezvous_score(self.cell, me)
        return sum(
            rendezvous_score(self.cell, entry) > mine
            for entry in self.membership.alive(now)
            if entry != me
        )


def rendezvous_score(cell: CellId, entry: EntryId) -> bytes:
    """Return the weight of an entry instance for a cell."""
    return blake2b(f'{cell}/{entry}'.encode(), digest_size=8).digest()
