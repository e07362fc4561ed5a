"""Measure the rate at which work was submitted during the last seconds.

At the beginning of a burst the rate has to be estimated from a few jobs, and
the jobs from before the burst must not lower it. So the rate is the highest
one that the newest arrivals show, however many of them are taken. A single
job gives no rate, however large it is.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import fmean
from typing import Final

RATE_WINDOW_S: Final = 3.0
"""Time in s for which an arrival counts in the rate."""

RECENT_WINDOW_S: Final = 1.0
"""Time in s for which an arrival counts in ``recent_initial_cores``."""

MIN_RATE_SPAN_S: Final = 0.5
"""Least time in s by which the work is divided to get the rate.

Jobs that were submitted together would otherwise give a far too high rate.
"""

MIN_BURST_ARRIVALS: Final = 3
"""Fewest of the newest arrivals from which a rate is taken.

With fewer, jobs that arrive together by chance would look like a burst.
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
        recent_initial_cores = sum(
            arrival.initial_cores
            for arrival in self.arrivals
            if arrival.arrived_at > now - RECENT_WINDOW_S
        )
        return Rate(self.highest_cores(now), recent_initial_cores)

    def highest_cores(self, now: float) -> float:
        """Return the highest rate that the newest arrivals show, in cores.

        For each number of arrivals, their work is divided by the time since
        the arrival before them. All jobs count with the mean work, as one
        large job would otherwise look like a burst.
        """
        newest_first = list(reversed(self.arrivals))
        mean_core_s = fmean(arrival.core_s for arrival in newest_first)
        last = len(newest_first) - 1
        jobs_per_s = 0.0
        for count in {last, *range(MIN_BURST_ARRIVALS, last)}:
            span_s = now - newest_first[count].arrived_at
            jobs_per_s = max(jobs_per_s, count / max(MIN_RATE_SPAN_S, span_s))
        return jobs_per_s * mean_core_s
