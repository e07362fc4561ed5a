"""Durations by which the owner deals with workers."""

from dataclasses import dataclass
from typing import Final

from primroseledge.workers.worker import LEASE_EXPIRY_MARGIN_S
from primroseledge.workers.worker import MAX_CLOCK_DRIFT

DELIVERY_ALLOWANCE_S: Final = 0.9
"""Time in s in which a call that was sent reaches a worker, if it does.

An order is given up after 0.6 s, a poll that need not wait after 0.7 s.
"""

POLL_GRACE_S: Final = 1.5
"""Time after its lease expired in which an owner polls workers, in seconds.

While the store does not answer, these polls renew the leases of runs. A
successor relies on this bound for workers that it cannot reach; a worker that
it has reached refuses polls of the older epoch.
"""


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that the owner applies, in seconds.

    ``lease_s`` is how long after a start or a poll the runs of a worker may
    continue without another poll. ``poll_wait_s`` is how long a worker may
    delay the answer to a poll until a run ends. Failed polls and unconfirmed
    stops are sent again after ``poll_retry_s`` and ``stop_retry_s``.
    ``longest_lease_s`` is the longest lease that workers grant, whatever
    deadline they are sent. A deployment sets it.
    """

    lease_s: float = 5.2
    poll_wait_s: float = 1.0
    poll_retry_s: float = 0.4
    stop_retry_s: float = 0.8
    longest_lease_s: float = 10.0

    @property
    def predecessor_lease_s(self) -> float:
        """Return the time after a takeover when the last owner's leases end.

        The last owner may have gone on to poll for ``POLL_GRACE_S``. A
        worker's clock may be slow, and its timer late.
        """
        lease_s = self.lease_s / (1 - MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
        return POLL_GRACE_S + lease_s

    @property
    def unknown_predecessor_lease_s(self) -> float:
        """Return the time after a takeover when an unknown lease has ended.

        It is ``unknown_lease_s``, counted from the last poll that the last
        owner may have sent.
        """
        return POLL_GRACE_S + self.unknown_lease_s

    @property
    def unknown_lease_s(self) -> float:
        """Return the time after a call when a lease it may have given ends.

        A call that was meant for the last boot of a worker may extend a lease
        in the next one, whose clock began anew, up to the longest lease.
        """
        longest_s = self.longest_lease_s / (1 - MAX_CLOCK_DRIFT)
        return longest_s + DELIVERY_ALLOWANCE_S
