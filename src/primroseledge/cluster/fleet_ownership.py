"""Whether this instance is the owner, and until when it may act.

The owner's record is tied to a lease of the store. The lease is counted
from when its renewal was sent, so that we stop before the store lets
another one take over, also after being suspended.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Final

from primroseledge.chart import load_chart
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision

CHART: Final = load_chart('tenure')

USABLE_LEASE_SHARE: Final = 0.95
"""Share of the lease that is used, for clocks of unequal speed."""

CLAIM_RETRY_S: Final = 0.15


class FleetOwnershipState(Enum):
    """The states of charts/tenure.json."""

    FOLLOWING = 'following'
    CLAIMING = 'claiming'
    RESTORING = 'restoring'
    OWNING = 'owning'
    RELEASING = 'releasing'
    RETIRED = 'retired'


@dataclass(slots=True)
class FleetOwnership:
    """This instance's part in owning the fleet.

    ``owner`` is the owner's record as last seen, ``is_vacant`` that the
    store said there is none.
    """

    state: FleetOwnershipState = FleetOwnershipState.FOLLOWING
    epoch: Epoch = Epoch(0)
    ledger_revision: Revision = Revision(0)
    owner: OwnerView | None = None
    owner_revision: Revision = Revision(0)
    is_vacant: bool = False
    lease_expires_at: float = 0.0
    claimed_at: float = 0.0
    owned_since: float = 0.0

    def advance(self, trigger: str) -> None:
        """Change the state as the chart says."""
        self.state = FleetOwnershipState(
            CHART.advance(self.state.value, trigger)
        )

    def handle_lease_renewed(self, sent_at: float, ttl_s: float) -> None:
        """Note a renewal that was sent then."""
        until = sent_at + ttl_s * USABLE_LEASE_SHARE
        self.lease_expires_at = max(self.lease_expires_at, until)

    def handle_lease_lost(self) -> None:
        """Note that the store has ended the lease."""
        self.lease_expires_at = 0.0
        self.lose_ownership()

    def lose_ownership(self) -> None:
        """Stop owning, if we do."""
        if self.state in REVOCABLE_STATES:
            self.advance('lost')

    def apply_owner(self, owner: OwnerView | None, revision: Revision) -> None:
        """Take in the owner's record, or that there is none.

        ``revision`` is the record's, or the store's when it had none.
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
        if owner.epoch > self.epoch:
            self.lose_ownership()

    def may_claim(self, now: float) -> bool:
        """Tell whether to try to become the owner."""
        return (
            self.state is FleetOwnershipState.FOLLOWING
            and self.is_vacant
            and now < self.lease_expires_at
            and now >= self.claimed_at + CLAIM_RETRY_S
        )

    def handle_claim_won(
        self, owner: OwnerView, ledger_revision: Revision, now: float
    ) -> None:
        """Note that our record as owner is stored."""
        if self.state is not FleetOwnershipState.CLAIMING:
            return
        self.advance('won')
        self.epoch = owner.epoch
        self.owner = owner
        self.is_vacant = False
        self.ledger_revision = ledger_revision
        self.owner_revision = ledger_revision
        self.owned_since = now

    def apply_owner_from_peer(self, owner: OwnerView) -> None:
        """Take in a peer's word of the owner; it is used if newer."""
        if self.owner is None or owner.epoch > self.owner.epoch:
            self.owner = owner
            if owner.epoch > self.epoch:
                self.lose_ownership()

    def has_orphaned_record(self, entry: EntryId) -> bool:
        """Tell whether the owner's record is ours, but we don't act on it.

        Its answer came too late, or an earlier process of ours wrote it.
        """
        return (
            self.state is FleetOwnershipState.FOLLOWING
            and self.owner is not None
            and self.owner.entry == entry
        )

    def may_send_orders(self, now: float) -> bool:
        """Tell whether orders may be given."""
        return (
            self.state is FleetOwnershipState.OWNING
            and now < self.lease_expires_at
        )


REVOCABLE_STATES: Final = frozenset(
    (
        FleetOwnershipState.CLAIMING,
        FleetOwnershipState.RESTORING,
        FleetOwnershipState.OWNING,
    )
)
