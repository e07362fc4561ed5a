"""Give up the ownership in good order: on leaving, or to a stronger instance.

An owner record on which no process acts any more is removed as well.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from primroseledge.cluster.claim_order import is_weak
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.owner.batch import FIRST_LANE
from primroseledge.owner.engine import Engine

RELEASE_RETRY_S: Final = 0.5

MIN_OWNERSHIP_S: Final = 10.0
"""Shortest time for which a weak instance stays the owner, in seconds.

Then it hands the ownership to a stronger one; ``claim_order`` defines weak.
"""

MAX_HANDOVER_WAIT_S: Final = 1.0
"""Longest time for which an owner delays its handover, in seconds.

It waits for the answers to its calls that take instances out of service. If
none is in flight, its successor needs no pause before such calls.
"""


@dataclass(slots=True)
class Departure:
    """What an instance has done to give up the ownership or to leave.

    ``is_leaving`` is set once its process is to stop.
    """

    view: FleetView
    ownership: FleetOwnership
    is_leaving: bool = False
    has_sent_leave: bool = False
    release_sent_at: float = 0.0

    def advance(
        self, engine: Engine | None, now: float
    ) -> Iterator[LeaveMembers | ReleaseOwner]:
        """Yield the commands that are due now, and change the ownership.

        An orphaned owner record is removed. The ownership is released if this
        instance is leaving or a stronger one should be the owner. ``engine``
        is this instance's if it is the owner.
        """
        if self.ownership.has_orphaned_record(self.view.entry):
            yield from self.release_orphaned_record(now)
        if self.is_leaving:
            yield from self.leave(engine, now)
        elif self.needs_handover(now):
            yield from self.release(engine, now)

    def needs_handover(self, now: float) -> bool:
        """Return whether to hand the ownership to a stronger instance.

        A weak instance may have become the owner while the stronger ones
        were down.
        """
        if self.ownership.state is not FleetOwnershipState.OWNING:
            return False
        if now < self.ownership.owned_since + MIN_OWNERSHIP_S:
            return False
        return is_weak(self.view.members, self.view.entry)

    def release_orphaned_record(self, now: float) -> Iterator[ReleaseOwner]:
        """Remove this instance's owner record, on which no process acts.

        The removal is requested at most once per ``RELEASE_RETRY_S``. Calls
        may be in flight only if this process was the owner in that epoch: an
        earlier process ended before this one started.
        """
        owner = self.ownership.owner
        if owner is None or now < self.release_sent_at + RELEASE_RETRY_S:
            return
        self.release_sent_at = now
        has_no_calls = owner.epoch != self.ownership.epoch
        yield ReleaseOwner(owner.epoch, None, has_no_calls)

    def leave(
        self, engine: Engine | None, now: float
    ) -> Iterator[LeaveMembers | ReleaseOwner]:
        """Remove the member record, and release the ownership if held.

        Once it is not the owner, this instance retires: it never claims
        again.
        """
        if not self.has_sent_leave:
            self.has_sent_leave = True
            yield LeaveMembers()
        yield from self.release(engine, now)
        if self.ownership.state in (
            FleetOwnershipState.FOLLOWING,
            FleetOwnershipState.CLAIMING,
        ):
            self.ownership.advance('retire')

    def release(
        self, engine: Engine | None, now: float
    ) -> Iterator[ReleaseOwner]:
        """Release the ownership as soon as it is safe.

        It is delayed while batches are in flight. Calls in flight that take
        instances out of service delay it by up to ``MAX_HANDOVER_WAIT_S``.
        """
        ownership = self.ownership
        if ownership.state is not FleetOwnershipState.OWNING or engine is None:
            return
        if engine.handover_started_at is None:
            engine.handover_started_at = now
        has_no_calls = not engine.instance_list.calls_in_flight
        is_overdue = now >= engine.handover_started_at + MAX_HANDOVER_WAIT_S
        if not engine.outbox.in_flight and (has_no_calls or is_overdue):
            ownership.advance('release')
            yield ReleaseOwner(
                ownership.epoch,
                ownership.ledger_revisions.get(FIRST_LANE),
                has_no_calls,
            )
