"""Since when the fleet has had no owner, as one entry instance knows it.

A new owner must not call instances while calls of its predecessor may be in
flight. The predecessor stopped before the fleet was found without an owner,
which is earlier than the claim and the restore of the jobs that follow.
"""

from dataclasses import dataclass

from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.ids import Epoch


@dataclass(slots=True)
class Vacancy:
    """The time since which there is no owner, and the last owner's epoch.

    ``since`` is on the boot clock, in seconds; it is None while there is an
    owner. ``last_epoch`` is the newest epoch that was known of then.
    """

    since: float | None = None
    last_epoch: Epoch = Epoch(0)

    def update(self, ownership: FleetOwnership, now: float) -> None:
        """Record whether there is an owner now, by what the store reported."""
        if not ownership.is_vacant:
            self.since = None
        elif self.since is None or self.last_epoch != ownership.newest_epoch:
            self.since = now
            self.last_epoch = ownership.newest_epoch

    def predecessor_end(self, epoch: Epoch, now: float) -> float:
        """Return when the owner before ``epoch`` had stopped acting.

        It stopped before the fleet was found without an owner, unless that was
        another owner than the last one noticed; then now is returned.
        """
        if self.since is None or epoch != self.last_epoch + 1:
            return now
        return self.since
