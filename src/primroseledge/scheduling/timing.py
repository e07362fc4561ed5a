"""Durations by which the owner deals with workers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Timing:
    """Durations that the owner applies, in seconds.

    ``lease_s`` is how long after a start or a poll the runs of a worker may
    continue without another poll. ``poll_wait_s`` is how long a worker may
    delay the answer to a poll until a run ends. Failed polls and unconfirmed
    stops are sent again after ``poll_retry_s`` and ``stop_retry_s``.
    """

    lease_s: float = 5.2
    poll_wait_s: float = 1.0
    poll_retry_s: float = 0.4
    stop_retry_s: float = 0.8
    unknown_lease_s: float = 7.0
    """Time after which a lease with an unknown deadline has certainly ended.

    The owner does not know the deadlines that its predecessor sent, nor how
    far one meant for the last boot of a worker extends a lease in the next.
    The time is longer than the longest lease that a worker grants, 6 s.
    """
