"""What was handed in lately, and at which rate.

It answers the begin of a turn of demand, when a few arrivals must tell
how many will follow. The time from the oldest arrival of the window until
now is what the later ones are divided by, so that one arrival alone, how
large it may be, tells no rate.
"""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final

RATE_WINDOW_S: Final = 3.0
RECENT_WINDOW_S: Final = 1.0
MIN_RATE_SPAN_S: Final = 0.5
"""Arrivals closer than this came together and tell no rate."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job that was handed in.

    ``work`` is in processor-seconds, ``initial_cores`` are the processors that
    its first steps take at once.
    """

    arrived_at: float
    work: float
    initial_cores: float


@dataclass(frozen=True, slots=True)
class Rate:
    """Processor-seconds that come a second, and the recent width."""

    work: float = 0.0
    recent_initial_cores: float = 0.0


@dataclass(slots=True)
class ArrivalRate:
    """The jobs handed in lately."""

    arrivals: deque[Arrival] = field(default_factory=deque)

    def add(self, arrival: Arrival) -> None:
        """Count a job."""
        self.arrivals.append(arrival)

    def measure(self, now: float) -> Rate:
        """Return the rate of the last arrivals."""
        while (
            self.arrivals and self.arrivals[0].arrived_at < now - RATE_WINDOW_S
        ):
            self.arrivals.popleft()
        if len(self.arrivals) < 2:
            return Rate()
        first = self.arrivals[0]
        span_s = max(MIN_RATE_SPAN_S, now - first.arrived_at)
        work = sum(arrival.work for arrival in self.arrivals) - first.work
        recent = sum(
            arrival.initial_cores
            for arrival in self.arrivals
            if arrival.arrived_at > now - RECENT_WINDOW_S
        )
        return Rate(work / span_s, recent)
