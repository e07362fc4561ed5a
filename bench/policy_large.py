"""The sizing decisions at 31,000 instances, by counts of instances.

Pools are counts, moves take a fixed time and are bounded by the
budgets, and a roll-out is computed from rounds; controllers and store
are not run here.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from heapq import heappop
from heapq import heappush
from random import Random
from typing import Final

from bench.policy_fleet import fair_parts
from primroseledge.ids import PoolId
from primroseledge.policy.sizing import decide_size
from primroseledge.policy.sizing import DemandSamples
from primroseledge.policy.sizing import find_shortage
from primroseledge.policy.sizing import Hold
from primroseledge.policy.sizing import lend
from primroseledge.policy.sizing import PoolLoad
from primroseledge.policy.sizing import rounds
from primroseledge.policy.sizing import SizingSettings
from primroseledge.policy.sizing import SizingWeights

INSTANCES: Final = 31_000
POOLS: Final = 118
TEAMS: Final = 290
SLOTS: Final = 8
GROUP: Final = 5
MOVE_S: Final = 20.0
ROUND_S: Final = 90.0
ZONES: Final = 4


@dataclass(slots=True)
class LargePool:
    """A pool as a count, with its teams' backlogs."""

    load: PoolLoad
    start: int
    shares: Sequence[float]
    backlog: list[float]
    hold: Hold = Hold()
    leaving: int = 0


class LargeFleet:
    """118 pools in groups of five, each group with a spare pool.

    In each group one pool after another is in a burst, as today.
    """

    def __init__(
        self, is_ours: bool, is_threshold: bool, weights: SizingWeights
    ) -> None:
        self.is_ours = is_ours
        self.is_threshold = is_threshold
        self.weights = weights
        self.settings = SizingSettings()
        self.random = Random(1)
        self.pools = [self._pool(number) for number in range(POOLS)]
        self.groups = [
            self.pools[start : start + GROUP]
            for start in range(0, POOLS, GROUP)
        ]
        self.spares = {
            pool.load.pool: group[-1]
            for group in self.groups
            for pool in group
        }
        self.samples = DemandSamples()
        self.turn, self.turn_ends, self.now = 0, 0.0, 0.0
        self.arrivals: list[tuple[float, int, int]] = []
        self.moves = 0
        self.idle = self.due = self.short = 0.0

    def _pool(self, number: int) -> LargePool:
        size = INSTANCES // POOLS
        teams = TEAMS // POOLS + (number < TEAMS % POOLS)
        allowed = max(size // 20, 2)
        load = PoolLoad(
            PoolId(f'p{number:03}'),
            size,
            SLOTS,
            0.0,
            allowed,
            allowed + 1,
        )
        shares = [3.0] + [1.0] * (teams - 1)
        return LargePool(load, size, shares, [0.0] * teams)

    def run(self, seconds: int) -> dict[str, float]:
        """Run and return the four measures."""
        for second in range(seconds):
            self.now = float(second)
            self._land()
            demands = self._demands()
            self.samples.add(
                self.now,
                {
                    pool.load.pool: pool.load.demand_slots / SLOTS
                    for pool in self.pools
                },
            )
            self._serve(demands)
            if self.is_ours and second % 10 == 0:
                self._size()
            if self.is_threshold:
                self._threshold()
        longest = max(
            rounds(pool.load.instances, pool.load.unavailable)
            for pool in self.pools
        )
        return {
            'buffer': self.idle / seconds / INSTANCES,
            'roll_out_s': longest * ROUND_S,
            'moves_per_hour': self.moves * 3600 / seconds,
            'nearness': self.short / self.due,
        }

    def _demands(self) -> list[list[float]]:
        if self.now >= self.turn_ends:
            self.turn = (self.turn + 1) % GROUP
            self.turn_ends = self.now + self.random.uniform(6.0, 14.0)
        demands = list[list[float]]()
        for number, pool in enumerate(self.pools):
            factor = 5.0 if number % GROUP == self.turn else 0.05
            mean = pool.start * SLOTS / 4
            rate = mean * factor * self.random.uniform(0.9, 1.1)
            part = rate / len(pool.backlog)
            demands.append([waiting + part for waiting in pool.backlog])
            pool.load.demand_slots = sum(demands[-1])
        return demands

    def _serve(self, demands: list[list[float]]) -> None:
        loans = dict[PoolId, int]()
        if self.is_ours:
            for group in self.groups:
                needs = {
                    pool.load.pool: over
                    for pool in group[:-1]
                    if (over := self._over(pool)) > 0
                }
                loans |= lend(group[-1].load, needs)
        asked = [value for demand in demands for value in demand]
        shares = [share for pool in self.pools for share in pool.shares]
        due = fair_parts(INSTANCES * SLOTS, asked, shares)
        self.due += sum(due)
        position = 0
        for pool, demand in zip(self.pools, demands, strict=True):
            slots = self._slots(pool) + loans.get(pool.load.pool, 0)
            got = fair_parts(slots, demand, pool.shares)
            for team, ran in enumerate(got):
                pool.backlog[team] = max(demand[team] - ran, 0.0)
                self.short += max(due[position] - ran, 0.0)
                position += 1
            if pool is not self.spares[pool.load.pool]:
                busy = sum(got) / SLOTS
                ready = pool.load.instances - pool.leaving
                self.idle += max(ready - busy, 0.0)

    def _slots(self, pool: LargePool) -> float:
        return (pool.load.instances - pool.leaving) * SLOTS

    def _over(self, pool: LargePool) -> float:
        return pool.load.demand_slots - self._slots(pool)

    def _size(self) -> None:
        for group in self.groups:
            if any(pool.leaving for pool in group):
                continue
            spare = group[-1]
            loads = [pool.load for pool in group[:-1]]
            shortage = find_shortage(self.samples, loads, spare.load)
            for pool in group[:-1]:
                decision = decide_size(
                    pool.load,
                    spare.load,
                    shortage,
                    pool.hold,
                    self.now,
                    self.weights,
                    self.settings,
                )
                pool.hold = decision.hold
                for _ in range(abs(decision.change)):
                    self._move(pool, 1 if decision.change > 0 else -1)
                if decision.change:
                    break

    def _threshold(self) -> None:
        for pool in self.pools:
            if pool is self.spares[pool.load.pool]:
                continue
            if self._over(pool) > 0:
                self._move(pool, 1)
            elif pool.load.instances > pool.start and (
                self._over(pool) < -SLOTS
            ):
                self._move(pool, -1)

    def _move(self, pool: LargePool, change: int) -> None:
        donor = self.spares[pool.load.pool] if change > 0 else pool
        is_full = donor.leaving >= donor.load.unavailable
        if is_full or donor.load.instances - donor.leaving < 2:
            return
        donor.leaving += 1
        number = self.pools.index(pool)
        heappush(self.arrivals, (self.now + MOVE_S, number, change))

    def _land(self) -> None:
        while self.arrivals and self.arrivals[0][0] <= self.now:
            _, number, change = heappop(self.arrivals)
            pool = self.pools[number]
            spare = self.spares[pool.load.pool]
            donor, taker = (spare, pool) if change > 0 else (pool, spare)
            donor.leaving -= 1
            donor.load.instances -= 1
            taker.load.instances += 1
            self.moves += 1


def zone_roll_out_s() -> float:
    """Return a roll-out of one zone after the other, for static pools."""
    size = INSTANCES // POOLS
    allowed = max(size // 20, 2) // ZONES
    return ZONES * rounds(size // ZONES, allowed) * ROUND_S


def measure_large(
    weights: SizingWeights, seconds: int
) -> dict[str, dict[str, float]]:
    """Return the four measures for ours and the three baselines."""
    static = LargeFleet(False, False, weights).run(seconds)
    return {
        'ours': LargeFleet(True, False, weights).run(seconds),
        'static': static,
        'threshold': LargeFleet(False, True, weights).run(seconds),
        'zone-at-a-time': static | {'roll_out_s': zone_roll_out_s()},
    }
