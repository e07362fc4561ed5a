"""The intervals of ownership."""

from dataclasses import dataclass

from primroseledge.agreement.freshness import CLOCK_RATE_MARGIN


@dataclass(frozen=True, slots=True)
class OwnershipSettings:
    """Intervals of ownership, in seconds.

    ``takeover_delay_s`` is how long an owner must seem lost before the
    first in rank takes over, ``stagger_s`` what each later rank adds,
    ``release_wait_s`` how long a leaving owner gets to release.
    """

    freshness_s: float = 3.0
    takeover_delay_s: float = 0.5
    stagger_s: float = 0.5
    release_wait_s: float = 1.0
    read_interval_s: float = 1.0
    report_interval_s: float = 0.25
    report_wait_s: float = 2.0

    @property
    def lapse_s(self) -> float:
        """Return how long a taker waits out another's evidence."""
        return self.freshness_s * (1 + 2 * CLOCK_RATE_MARGIN)
