"""Lease-bound ownership of the whole fleet by one entry instance.

The owner's record in the store is bound to a lease. The lease is counted
from when its renewal was sent, so that an owner stops before the store
lets another instance take over, even if its process was suspended.

An epoch is the time for which one instance is the owner without a break.
Epochs are numbered: each successful claim adds one to the number.

``agreement/ownership.py`` is about the ownership of one cell in the
product's own protocol; that is another concept.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from primroseledge.chart import load_chart
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.owner.batch import LANE_COUNT
from primroseledge.scheduling.timing import POLL_GRACE_S

CHART: Final = load_chart('tenure')

USABLE_LEASE_SHARE: Final = 0.95
"""Share of a lease during which the owner acts.

The rest allows for clocks that run at different speeds.
"""

CLAIM_RETRY_S: Final = 0.15


class FleetOwnershipState(Enum):
    """Whether this instance is the owner, becomes it or ceases to be it.

    The states and their transitions are those of ``charts/tenure.json``.
    """

    FOLLOWING = 'following'
    CLAIMING = 'claiming'
    RESTORING = 'restoring'
    OWNING = 'owning'
    RELEASING = 'releasing'
    RETIRED = 'retired'


@dataclass(slots=True)
class FleetOwnership:
    """This instance's ownership state, and the owner that it knows of.

    ``epoch`` is the last epoch in which this instance was the owner.
    ``owner`` is the newest known owner record, from the store or a peer;
    ``ledger_revisions`` are those of the lanes' ledgers. ``is_vacant`` is set
    when the store reported that there is none. ``newest_epoch`` is the newest
    epoch of any owner that it knew of. Times are those of the boot clock, in
    seconds.
    """

    state: FleetOwnershipState = FleetOwnershipState.FOLLOWING
    epoch: Epoch = Epoch(0)
    ledger_revisions: dict[LaneId, Revision] = field(default_factory=dict)
    owner: OwnerView | None = None
    owner_revision: Revision = Revision(0)
    is_vacant: bool = False
    newest_epoch: Epoch = Epoch(0)
    lease_expires_at: float = 0.0
    claimed_at: float = 0.0
    owned_since: float = 0.0

    def advance(self, trigger: str) -> None:
        """Change the state along the chart's transition for a trigger."""
        self.state = FleetOwnershipState(
            CHART.advance(self.state.value, trigger)
        )

    def handle_lease_renewed(self, sent_at: float, ttl_s: float) -> None:
        """Extend the usable lease after a successful renewal.

        ``sent_at`` is when the renewal was sent, ``ttl_s`` the new time to
        live.
        """
        expires_at = sent_at + ttl_s * USABLE_LEASE_SHARE
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def handle_lease_lost(self) -> None:
        """Stop acting as the owner, as the store has ended the lease."""
        self.lease_expires_at = 0.0
        self.lose_ownership()

    def lose_ownership(self) -> None:
        """Return to the state FOLLOWING if claiming, restoring or owning."""
        if self.state in REVOCABLE_STATES:
            self.advance('lost')

    def apply_owner(self, owner: OwnerView | None, revision: Revision) -> None:
        """Apply the owner record as read from the store; None if absent.

        ``revision`` is that of the record or, without one, of the store.
        Anything older than what was applied before is ignored.
        """
        if revision < self.owner_revision:
            return
        self.owner_revision = revision
        if owner is None:
            self.is_vacant = True
            if self.state in (
                FleetOwnershipState.RESTORING,
                FleetOwnershipState.OWNING,
            ):
                self.lose_ownership()
            self.owner = None
            return
        self.is_vacant = False
        self.owner = owner
        self.newest_epoch = max(self.newest_epoch, owner.epoch)
        if owner.epoch > self.epoch:
            self.lose_ownership()

    def may_claim(self, now: float) -> bool:
        """Return whether this instance may try to become the owner now."""
        return (
            self.state is FleetOwnershipState.FOLLOWING
            and self.is_vacant
            and now < self.lease_expires_at
            and now >= self.claimed_at + CLAIM_RETRY_S
        )

    def handle_claim_won(
        self, owner: OwnerView, ledger_revision: Revision, now: float
    ) -> None:
        """Begin the new epoch, as this instance's owner record is stored.

        Nothing happens if this instance is no longer claiming.
        """
        if self.state is not FleetOwnershipState.CLAIMING:
            return
        self.advance('won')
        self.epoch = owner.epoch
        self.newest_epoch = max(self.newest_epoch, owner.epoch)
        self.owner = owner
        self.is_vacant = False
        self.ledger_revisions = {
            LaneId(lane): ledger_revision for lane in range(LANE_COUNT)
        }
        self.owner_revision = ledger_revision
        self.owned_since = now

    def apply_owner_from_peer(self, owner: OwnerView) -> None:
        """Apply the owner that a peer knows of if its epoch is newer."""
        if self.owner is None or owner.epoch > self.owner.epoch:
            self.owner = owner
            self.newest_epoch = max(self.newest_epoch, owner.epoch)
            if owner.epoch > self.epoch:
                self.lose_ownership()

    def has_orphaned_record(self, entry: EntryId) -> bool:
        """Return whether this instance has an orphaned owner record.

        The record names ``entry``, but this process is not the owner: the
        answer to its claim came too late, or an earlier process of the
        same instance wrote the record.
        """
        return (
            self.state is FleetOwnershipState.FOLLOWING
            and self.owner is not None
            and self.owner.entry == entry
        )

    def may_send_orders(self, now: float) -> bool:
        """Return whether this instance may send orders as the owner now."""
        return (
            self.state is FleetOwnershipState.OWNING
            and now < self.lease_expires_at
        )

    def may_poll(self, now: float) -> bool:
        """Return whether this instance may poll workers as the owner now.

        That is also allowed for ``POLL_GRACE_S`` after its lease expired.
        """
        return (
            self.state is FleetOwnershipState.OWNING
            and now < self.lease_expires_at + POLL_GRACE_S
        )


REVOCABLE_STATES: Final = frozenset(
    (
        FleetOwnershipState.CLAIMING,
        FleetOwnershipState.RESTORING,
        FleetOwnershipState.OWNING,
    )
)

ABANDONABLE_STATES: Final = frozenset(
    (FleetOwnershipState.RESTORING, FleetOwnershipState.OWNING)
)
"""States in which an owner record is stored that must be removed."""

ENGINE_STATES: Final = frozenset(
    (FleetOwnershipState.OWNING, FleetOwnershipState.RELEASING)
)
"""States in which an instance may have an engine."""
