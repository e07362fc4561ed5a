"""Durations by which the owner deals with workers."""

from dataclasses import dataclass
from typing import Final

from primroseledge.workers.worker import MAX_CLOCK_DRIFT

UNKNOWN_LEASE_SLACK_S: Final = 0.9
"""Allowance for calls that a worker carries out after they were sent, in s."""


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that the owner applies, in seconds.

    ``lease_s`` is how long after a start or a poll the runs of a worker may
    continue without another poll. ``poll_wait_s`` is how long a worker may
    delay the answer to a poll until a run ends. Failed polls and unconfirmed
    stops are sent again after ``poll_retry_s`` and ``stop_retry_s``.
    ``longest_lease_s`` is the longest lease that a worker grants.
    """

    lease_s: float = 5.2
    poll_wait_s: float = 1.0
    poll_retry_s: float = 0.4
    stop_retry_s: float = 0.8
    longest_lease_s: float = 6.0

    @property
    def unknown_lease_s(self) -> float:
        """Return when a lease with an unknown deadline has certainly ended.

        The owner does not know the deadlines that its predecessor sent, nor
        how far one meant for the last boot of a worker extends a lease in the
        next: up to the longest lease, by a clock that may be slow.
        """
        longest_s = self.longest_lease_s / (1 - MAX_CLOCK_DRIFT)
        return longest_s + UNKNOWN_LEASE_SLACK_S
