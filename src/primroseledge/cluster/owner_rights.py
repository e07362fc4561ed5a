"""What this instance may send as the owner, asked by threads that send."""

from primroseledge.clock import boot_time
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.ids import Epoch


class OwnerRights:
    """The rights of an ownership, by the clock that counts suspension.

    Threads ask just before bytes go out. What they read is set by the loop:
    a right that has just ended may be seen a moment late, one that was
    never there is not seen.
    """

    def __init__(self, ownership: FleetOwnership) -> None:
        self.ownership = ownership

    def may_send_orders(self, epoch: Epoch) -> bool:
        """Return whether an order or write of this epoch may be sent."""
        may_send = self.ownership.may_send_orders(boot_time())
        return may_send and self.ownership.epoch == epoch

    def may_poll(self, epoch: Epoch) -> bool:
        """Return whether a poll of this epoch may be sent."""
        may_poll = self.ownership.may_poll(boot_time())
        return may_poll and self.ownership.epoch == epoch
