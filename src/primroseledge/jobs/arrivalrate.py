"""The rate at which work is handed in."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import Final

RATE_WINDOW_S: Final = 1.5


@dataclass(slots=True)
class ArrivalRate:
    """The work handed in lately, in processor-seconds."""

    arrivals: deque[tuple[float, float]] = field(default_factory=deque)

    def add(self, work: float, now: float) -> None:
        """Count a job's work."""
        self.arrivals.append((now, work))

    def cores(self, now: float) -> float:
        """Return the processors that this rate keeps busy."""
        while self.arrivals and self.arrivals[0][0] < now - RATE_WINDOW_S:
            self.arrivals.popleft()
        return sum(work for _, work in self.arrivals) / RATE_WINDOW_S
