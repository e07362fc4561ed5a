"""Tells upstreams that fail what they start from bad requests.

An upstream is ejected when the run of its failures would be very
unlikely at the failure rate that the rest of its pool shows meanwhile.
When the whole pool fails alike, nothing is ejected.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import RequestId

MIN_FAILURES: Final = 5
MIN_OTHER_SUCCESSES: Final = 5
MAX_LIKELIHOOD: Final = 0.001
EJECTION_S: Final = 5.0
MAX_EJECTION_S: Final = 60.0
MAX_EJECTED_PART: Final = 1 / 3


@dataclass(slots=True)
class Tally:
    """The ended attempts of a pool."""

    good: int = 0
    bad: int = 0


@dataclass(slots=True)
class Streak:
    """Successive failures of an upstream, on different requests.

    ``good`` and ``bad`` are the pool's tally when the streak began.
    """

    good: int
    bad: int
    requests: set[RequestId] = field(default_factory=set)
    length: int = 0
    ejections: int = 0


@dataclass(slots=True)
class Ejection:
    """Decides which upstreams of a cell are ejected, and until when."""

    tallies: dict[PoolId, Tally] = field(default_factory=dict)
    streaks: dict[InstanceId, Streak] = field(default_factory=dict)
    ejected: dict[InstanceId, float] = field(default_factory=dict)

    def succeeded(self, pool: PoolId, upstream: InstanceId) -> None:
        """Count an attempt that an upstream served."""
        self.tallies.setdefault(pool, Tally()).good += 1
        self.streaks.pop(upstream, None)

    def failed(
        self,
        pool: PoolId,
        upstream: InstanceId,
        request: RequestId,
        now: float,
    ) -> float | None:
        """Count a failure; return until when to eject, if at all."""
        tally = self.tallies.setdefault(pool, Tally())
        streak = self.streaks.get(upstream)
        if streak is None:
            streak = Streak(tally.good, tally.bad)
            self.streaks[upstream] = streak
        tally.bad += 1
        streak.length += 1
        if len(streak.requests) <= MIN_FAILURES:
            streak.requests.add(request)
        if upstream in self.ejected or not is_outlier(streak, tally):
            return None
        span_s = float(min(MAX_EJECTION_S, EJECTION_S * 2**streak.ejections))
        streak.ejections += 1
        return now + span_s

    def eject(self, upstream: InstanceId, until: float) -> None:
        """Take note that an upstream gets no work until then."""
        self.ejected[upstream] = until

    def tick(self, now: float) -> None:
        """Forget ejections that are over."""
        over = [i for i, until in self.ejected.items() if until <= now]
        for upstream in over:
            del self.ejected[upstream]


def is_outlier(streak: Streak, tally: Tally) -> bool:
    """Tell whether the pool's other upstreams fare much better."""
    if len(streak.requests) < MIN_FAILURES:
        return False
    good = tally.good - streak.good
    bad = tally.bad - streak.bad - streak.length
    if good < MIN_OTHER_SUCCESSES:
        return False
    rate = (bad + 1) / (good + bad + 2)
    return bool(rate**streak.length < MAX_LIKELIHOOD)


def may_eject(ejected: int, size: int) -> bool:
    """Tell whether one more upstream of a pool may be ejected."""
    return ejected + 1 <= int(size * MAX_EJECTED_PART)
