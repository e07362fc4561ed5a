"""The size below which pools do not shrink between bursts of demand.

It answers a load whose bursts need several times the mean within less time
than an instance takes to join a pool. Jobs that arrive meanwhile can only
start in time on instances that are in the pool already. An idle instance
costs little beside the jobs of a burst, but not nothing: a pool whose demand
was low for long gives its reserve back.
"""

from dataclasses import dataclass
from typing import Final

from primroseledge.ids import ServiceId

MIN_POOL_WORKERS: Final = 3
"""Least size of a pool, in workers.

With fewer workers, the loss of one would take too much of its capacity.
"""

RESERVE_SHARE: Final = 0.45
"""Share of an equal part of all instances that a pool keeps as its reserve.

The rest serves the pools whose demand is at its peak.
"""

PEAK_MEMORY_S: Final = 120.0
"""Least time for which a peak of demand counts in the reserve.

It counts until the end of the next period of this length.

Until a pool was observed for this long, any peak may still come.
"""


@dataclass(slots=True)
class DemandPeak:
    """The largest size that a pool wanted recently, in workers.

    The time is divided into periods of ``PEAK_MEMORY_S``; ``current`` is the
    peak of the present one, which began at ``began_at``, and ``previous``
    that of the one before, or None if there was none.
    """

    began_at: float
    current: int = 0
    previous: int | None = None

    def record(self, desired: int, now: float) -> None:
        """Record the size that the pool wants now."""
        if now >= self.began_at + PEAK_MEMORY_S:
            self.previous = self.current
            self.current = 0
            self.began_at = now
        self.current = max(self.current, desired)

    def recent(self) -> int | None:
        """Return the recent peak, or None before it is known."""
        if self.previous is None:
            return None
        return max(self.previous, self.current)


def reserve_size(
    instance_count: int, pool_count: int, recent_peak: int | None
) -> int:
    """Return the size below which a pool does not shrink, in workers.

    ``instance_count`` counts the instances of the whole fleet, and
    ``pool_count`` the pools that share them.
    """
    equal_part = instance_count / max(1, pool_count)
    reserve = int(equal_part * RESERVE_SHARE)
    if recent_peak is not None:
        reserve = min(reserve, recent_peak)
    return max(MIN_POOL_WORKERS, reserve)


def divide_instances(
    free: int, wanted: dict[ServiceId, int]
) -> dict[ServiceId, int]:
    """Divide free instances among pools by what each of them lacks.

    Where there are too few, each pool gets the same share of what it lacks,
    so that none waits until all others have enough. Returns the number for
    each pool.
    """
    total = sum(wanted.values())
    if total <= free:
        return dict(wanted)
    parts = {pool: free * count // total for pool, count in wanted.items()}
    left = free - sum(parts.values())
    neediest_first = sorted(
        wanted, key=lambda pool: parts[pool] - free * wanted[pool] / total
    )
    for pool in neediest_first[:left]:
        parts[pool] += 1
    return parts
