"""Measure the policy against three baselines; print JSON.

Run as ``python -m bench.policy [--quick]``. The four measures: buffer
(idle instances that only one pool can use, as a part of the fleet),
roll-out time, moves an hour, and nearness to share (what teams were
due by max-min shares of the fleet and did not get, as a part).
"""

from collections.abc import Mapping
from dataclasses import asdict
from dataclasses import dataclass
from json import dumps
from math import log
from sys import argv
from time import perf_counter
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import Final

from bench.policy_fleet import fair_parts
from bench.policy_fleet import Fleet
from bench.policy_fleet import FleetShape
from bench.policy_fleet import TEAM_SHARES
from bench.policy_large import measure_large
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.operators.operators import start_pool_wave
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import MoveRequest
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import Situation
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.plan import WaveState
from primroseledge.policy.sizing import choose_instance
from primroseledge.policy.sizing import decide_size
from primroseledge.policy.sizing import DemandSamples
from primroseledge.policy.sizing import find_shortage
from primroseledge.policy.sizing import Hold
from primroseledge.policy.sizing import lend
from primroseledge.policy.sizing import PoolLoad
from primroseledge.policy.sizing import PROFILES
from primroseledge.policy.sizing import SizingSettings
from primroseledge.policy.sizing import SizingWeights
from primroseledge.policy.wave import decide
from primroseledge.storage.documents import Instance

SHAPES: Final = {
    'chatarra-norte': FleetShape('chatarra-norte', 4, 5, 8),
    'blue-mountain': FleetShape('blue-mountain', 3, 5, 6),
}
RUN_S: Final = 3600
WAVE_AT_S: Final = 1200
FAILURES_AT_S: Final = (1300, 1900, 2700)
BROKEN_S: Final = 120
SEEDS: Final = (1, 2, 3)
MEASURES: Final = ('buffer', 'roll_out_s', 'moves_per_hour', 'nearness')


@dataclass(frozen=True, slots=True)
class Variant:
    """How a fleet is run."""

    name: str
    is_sizing: bool = False
    is_lending: bool = False
    is_threshold: bool = False
    is_by_zone: bool = False


OURS: Final = Variant('ours', is_sizing=True, is_lending=True)
BASELINES: Final = (
    Variant('static'),
    Variant('threshold', is_threshold=True),
    Variant('zone-at-a-time', is_by_zone=True),
)
ABLATIONS: Final = (
    Variant('lending-only', is_lending=True),
    Variant('sizing-only', is_sizing=True),
)


@dataclass(slots=True)
class Measures:
    """The four measures of a run, and any broken budget."""

    buffer: float
    roll_out_s: float
    moves_per_hour: float
    nearness: float
    idle_spare: float
    violations: int


class Run:
    """One fleet under one variant."""

    def __init__(
        self,
        shape: FleetShape,
        variant: Variant,
        weights: SizingWeights,
        seed: int,
    ) -> None:
        self.fleet = Fleet(shape, seed)
        self.variant = variant
        self.weights = weights
        self.settings = SizingSettings()
        self.samples = DemandSamples()
        self.holds = dict.fromkeys(self.fleet.pools, Hold())
        self.pending: dict[InstanceId, tuple[PoolId, PoolId]] = {}
        self.rolled_at: float | None = None
        self.zone = 0

    def measure(self) -> Measures:
        """Run to the end and return the measures."""
        for second in range(RUN_S):
            self.fleet.advance()
            self._fail(second)
            self._serve()
            if second % 10 == 0:
                self._size()
            if self.variant.is_threshold:
                self._move_on_threshold()
            self._maintain(second)
        totals = self.fleet.totals
        count = len(self.fleet.placed)
        rolled = self.rolled_at if self.rolled_at is not None else RUN_S
        return Measures(
            totals.idle_in_pools / totals.seconds / count,
            rolled - WAVE_AT_S,
            totals.moves * 3600 / RUN_S,
            totals.short / totals.due,
            totals.idle_in_spare / totals.seconds / count,
            len(totals.violations),
        )

    def _fail(self, second: int) -> None:
        names = list(self.fleet.platform.machines)
        for number, at in enumerate(FAILURES_AT_S):
            name = names[(7 * number + 3) % len(names)]
            if second == at:
                self.fleet.platform.break_machine(name)
            if second == at + BROKEN_S:
                self.fleet.platform.replace_machine(name, 60.0)

    def _serve(self) -> None:
        fleet, slots = self.fleet, self.fleet.shape.slots
        usable = {pool: fleet.usable(pool) for pool in fleet.pools}
        demands = {q.pool: fleet.demand(q) for q in fleet.queues}
        self.samples.add(
            fleet.now, {p: sum(d) / slots for p, d in demands.items()}
        )
        loans = self._loans(usable, demands)
        asked = [value for demand in demands.values() for value in demand]
        shares = TEAM_SHARES * len(fleet.queues)
        due = fair_parts(sum(usable.values()) * slots, asked, shares)
        got = list[float]()
        for queue in fleet.queues:
            lent = loans.get(queue.pool, 0)
            fleet.serve(queue, usable[queue.pool] * slots + lent)
            got += queue.running
        self._total(usable, due, got)

    def _loans(
        self,
        usable: Mapping[PoolId, int],
        demands: Mapping[PoolId, list[float]],
    ) -> dict[PoolId, int]:
        if not self.variant.is_lending:
            return {}
        fleet, slots = self.fleet, self.fleet.shape.slots
        needs = {
            pool: sum(demand) - usable[pool] * slots
            for pool, demand in demands.items()
            if pool != fleet.spare and sum(demand) > usable[pool] * slots
        }
        spare = PoolLoad(
            fleet.spare,
            usable[fleet.spare],
            slots,
            sum(demands[fleet.spare]),
        )
        return lend(spare, needs)

    def _total(
        self, usable: Mapping[PoolId, int], due: list[float], got: list[float]
    ) -> None:
        fleet, totals = self.fleet, self.fleet.totals
        totals.seconds += 1
        totals.due += sum(due)
        totals.short += sum(
            max(part - ran, 0.0) for part, ran in zip(due, got, strict=True)
        )
        for queue in fleet.queues:
            busy = sum(queue.running) / fleet.shape.slots
            idle = max(usable[queue.pool] - busy, 0.0)
            if queue.pool == fleet.spare:
                totals.idle_in_spare += idle
            else:
                totals.idle_in_pools += idle

    def _load(self, pool: PoolId) -> PoolLoad:
        budget = self.fleet.shape.budget
        return PoolLoad(
            pool,
            self.fleet.members(pool),
            self.fleet.shape.slots,
            0.0,
            budget.unavailable,
            budget.unavailable + 1,
        )

    def _size(self) -> None:
        if not self.variant.is_sizing or self.pending:
            return
        fleet = self.fleet
        spare = self._load(fleet.spare)
        loads = [self._load(pool) for pool in fleet.pools[:-1]]
        shortage = find_shortage(self.samples, loads, spare)
        for load in loads:
            pool = load.pool
            decision = decide_size(
                load,
                spare,
                shortage,
                self.holds[pool],
                fleet.now,
                self.weights,
                self.settings,
            )
            self.holds[pool] = decision.hold
            for _ in range(abs(decision.change)):
                if decision.change > 0:
                    self._move(fleet.spare, pool)
                else:
                    self._move(pool, fleet.spare)
            if decision.change:
                return

    def _move_on_threshold(self) -> None:
        fleet, slots = self.fleet, self.fleet.shape.slots
        for queue in fleet.queues[:-1]:
            demand = sum(fleet.demand(queue))
            size = fleet.members(queue.pool)
            if demand > size * slots:
                self._move(fleet.spare, queue.pool)
            elif demand < (size - 1) * slots and size > fleet.shape.workers:
                self._move(queue.pool, fleet.spare)

    def _move(self, donor: PoolId, to: PoolId) -> None:
        controller = self.fleet.controllers[donor]
        view = {
            name: item
            for name, item in controller.input.view.items()
            if name not in self.pending
            and self.fleet.placed[name].pool == donor
        }
        chosen = choose_instance(view, controller.plan.value)
        if chosen is not None and len(view) > 1:
            self.pending[chosen] = (donor, to)

    def _maintain(self, second: int) -> None:
        fleet = self.fleet
        if second == WAVE_AT_S:
            self._start_waves()
        for name, (_, to) in list(self.pending.items()):
            if fleet.placed[name].pool == to:
                del self.pending[name]
                fleet.totals.moves += 1
        for pool in fleet.pools:
            moves = tuple(
                MoveRequest(name, to)
                for name, (donor, to) in self.pending.items()
                if donor == pool
            )
            if moves or fleet.is_open(pool) or second % 10 == 0:
                fleet.step(pool, moves, self._only_zone(second))
        if second > WAVE_AT_S and self.rolled_at is None:
            self._check_rolled(second)

    def _only_zone(self, second: int) -> str | None:
        is_zoned = self.variant.is_by_zone and second >= WAVE_AT_S
        is_rolling = is_zoned and self.rolled_at is None
        return f'z{self.zone}' if is_rolling else None

    def _start_waves(self) -> None:
        width = 1 if self.zone == 0 else 64
        for pool in self.fleet.pools:
            wave = Wave(f'w{self.zone}', 'new', 'old', width=width)
            start_pool_wave(self.fleet.records(), pool, wave)
            self.fleet.step(pool, (), self._only_zone(WAVE_AT_S))

    def _check_rolled(self, second: int) -> None:
        waves = [
            controller.plan.value.wave
            for controller in self.fleet.controllers.values()
        ]
        if not all(w and w.state is WaveState.DONE for w in waves):
            return
        if self.variant.is_by_zone and self.zone < self.fleet.shape.zones - 1:
            self.zone += 1
            self._start_waves()
            return
        self.rolled_at = second


def mean_measures(
    shape: FleetShape,
    variant: Variant,
    weights: SizingWeights,
    seeds: tuple[int, ...],
) -> Measures:
    """Return the means over the seeds; violations are added up."""
    runs = [Run(shape, variant, weights, seed).measure() for seed in seeds]
    count = len(runs)
    return Measures(
        sum(run.buffer for run in runs) / count,
        sum(run.roll_out_s for run in runs) / count,
        sum(run.moves_per_hour for run in runs) / count,
        sum(run.nearness for run in runs) / count,
        sum(run.idle_spare for run in runs) / count,
        sum(run.violations for run in runs),
    )


def score(
    measures: Mapping[str, float],
    units: Mapping[str, float],
    weights: SizingWeights,
) -> float:
    """Return the weighted sum of the measures in these units."""
    factors = {
        'buffer': weights.buffer,
        'roll_out_s': weights.roll_out,
        'moves_per_hour': weights.moves,
        'nearness': weights.nearness,
    }
    return sum(
        factor * measures[name] / units[name]
        for name, factor in factors.items()
        if units[name] > 0
    )


def rate(
    found: Mapping[str, Mapping[str, float]], weights: SizingWeights
) -> dict[str, object]:
    """Compare weighted sums with the best baseline, in two units.

    First, a unit of a measure is the mean of the baselines. Second, it
    is that of static pools, and of the threshold for moves.
    """
    names = [baseline.name for baseline in BASELINES]
    means = {
        name: sum(found[n][name] for n in names) / len(names)
        for name in MEASURES
    }
    moves = found['threshold']['moves_per_hour']
    static = {name: found['static'][name] for name in MEASURES}
    static['moves_per_hour'] = moves
    report = dict[str, object]()
    for unit_name, units in {'mean': means, 'static': static}.items():
        sums = {n: score(m, units, weights) for n, m in found.items()}
        best = min(sums[name] for name in names)
        report[f'sums_in_{unit_name}_units'] = sums
        report[f'better_in_{unit_name}_units'] = 1 - sums['ours'] / best
    return report


def compare(user: str, seeds: tuple[int, ...]) -> dict[str, object]:
    """Run all variants for one user's fleet and weights."""
    shape, weights = SHAPES[user], PROFILES[user]
    found: dict[str, dict[str, float]] = {
        variant.name: asdict(mean_measures(shape, variant, weights, seeds))
        for variant in (OURS, *BASELINES, *ABLATIONS)
    }
    return {'goal': 0.30, 'measures': found, **rate(found, weights)}


def compare_large(user: str, seconds: int) -> dict[str, object]:
    """Compare at 31,000 instances with one user's weights."""
    found = measure_large(PROFILES[user], seconds)
    return {'measures': found, **rate(found, PROFILES[user])}


def time_decision(instances: int, pools: int) -> dict[str, float]:
    """Time all decisions of the owner of 1/100 of the pools."""
    owned = max(pools // 100, 1)
    size = instances // pools
    plans = [_large_situation(size) for _ in range(owned)]
    loads = [PoolLoad(PoolId(f'p{n}'), size, 8, 0.0) for n in range(pools)]
    samples = DemandSamples()
    for second in range(600):
        samples.add(
            float(second),
            {load.pool: size * (second % 5) / 4 for load in loads},
        )
    weights, settings = PROFILES['even'], SizingSettings()
    times = list[float]()
    for _ in range(20):
        start = perf_counter()
        for situation in plans:
            decide(situation)
        shortage = find_shortage(samples, loads[:-1], loads[-1])
        for load in loads[:owned]:
            decide_size(
                load, loads[-1], shortage, Hold(), 1e6, weights, settings
            )
        times.append(perf_counter() - start)
    start_tracing()
    kept = [_large_situation(size) for _ in range(owned)]
    memory, _ = get_traced_memory()
    stop_tracing()
    times.sort()
    return {
        'instances': instances,
        'pools': pools,
        'owned': len(kept),
        'median_ms': times[10] * 1000,
        'worst_ms': times[-1] * 1000,
        'memory_kb': memory / 1000,
    }


def _large_situation(size: int) -> Situation:
    view = {
        InstanceId(f'i{n}'): InstanceView(
            Instance(f'i{n}', 'p', f'z{n % 4}', f'r{n // 4}', 'h:1'),
            f'b{n}',
            1e7 + n,
            True,
            'old',
            0,
            Revision(1),
        )
        for n in range(size)
    }
    wave = Wave('w', 'new', 'old', WaveState.WIDENING, width=8)
    return Situation(Plan(wave), view, {}, WaveSettings())


def slope(rows: list[dict[str, float]], x: str, y: str) -> float:
    """Return the exponent of growth between the first and last row."""
    first, last = rows[0], rows[-1]
    return log(last[y] / first[y]) / log(last[x] / first[x])


def main() -> None:
    """Print everything as JSON."""
    seeds = SEEDS[:1] if '--quick' in argv else SEEDS
    large_s = 900 if '--quick' in argv else RUN_S
    by_size = [time_decision(n, 118) for n in (3_100, 10_000, 31_000)]
    by_pools = [time_decision(31_000, n) for n in (12, 40, 118, 400)]
    report = {
        'users': {user: compare(user, seeds) for user in SHAPES},
        'large': {user: compare_large(user, large_s) for user in SHAPES},
        'by_size': by_size,
        'by_pools': by_pools,
        'slopes': {
            'time_by_size': slope(by_size, 'instances', 'median_ms'),
            'memory_by_size': slope(by_size, 'instances', 'memory_kb'),
            'time_by_pools': slope(by_pools, 'pools', 'median_ms'),
        },
    }
    print(dumps(report, indent=2))


if __name__ == '__main__':
    main()
