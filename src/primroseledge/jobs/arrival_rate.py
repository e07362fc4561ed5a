"""Measure the rate at which work was submitted during the last seconds.

At the beginning of a burst the rate has to be estimated from a few jobs. The
work of all arrivals in the window but the oldest is divided by the time since
that oldest one. A single job therefore gives no rate, however large it is.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final

RATE_WINDOW_S: Final = 3.0
"""Time in s for which an arrival counts in the rate."""

RECENT_WINDOW_S: Final = 1.0
"""Time in s for which an arrival counts in ``recent_initial_cores``."""

MIN_RATE_SPAN_S: Final = 0.5
"""Least time in s by which the work is divided to get the rate.

Jobs that were submitted together would otherwise give a far too high rate.
"""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that was submitted to a service.

    ``core_s`` is its estimated work in processor-seconds. ``initial_cores``
    is the number of processors that the steps without a preceding step use
    together.
    """

    arrived_at: float
    core_s: float
    initial_cores: float


@dataclass(frozen=True, slots=True)
class Rate:
    """The rate at which work arrives at a service.

    ``cores`` is in processor-seconds per second, which is the number of
    processors that this work keeps busy. ``recent_initial_cores`` is the sum
    of ``initial_cores`` over the arrivals of the last ``RECENT_WINDOW_S``.
    """

    cores: float = 0.0
    recent_initial_cores: float = 0.0


@dataclass(slots=True)
class ArrivalRate:
    """The recent arrivals at one service, oldest first."""

    arrivals: deque[Arrival] = field(default_factory=deque)

    def add(self, arrival: Arrival) -> None:
        """Record the arrival of a job."""
        self.arrivals.append(arrival)

    def measure(self, now: float) -> Rate:
        """Return the rate of the arrivals within the window before ``now``.

        Older arrivals are removed. With fewer than two left, the rate is
        zero.
        """
        while (
            self.arrivals and self.arrivals[0].arrived_at < now - RATE_WINDOW_S
        ):
            self.arrivals.popleft()
        if len(self.arrivals) < 2:
            return Rate()
        oldest = self.arrivals[0]
        span_s = max(MIN_RATE_SPAN_S, now - oldest.arrived_at)
        core_s = (
            sum(arrival.core_s for arrival in self.arrivals) - oldest.core_s
        )
        recent_initial_cores = sum(
            arrival.initial_cores
            for arrival in self.arrivals
            if arrival.arrived_at > now - RECENT_WINDOW_S
        )
        return Rate(core_s / span_s, recent_initial_cores)
