"""Sizes of pools: what the spare pool lends, and what moves.

A move takes longer than a burst, so bursts are met by loans: the spare
pool's idle slots run other pools' requests, and its instances stay in
their pool. Moves follow only what lasts: a pool is resized by one when
the weighted gain over ``horizon_s`` exceeds the cost of moving, for
``hold_s`` on end.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.plan import IN_FLIGHT
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import PoolView
from primroseledge.policy.plan import Step

SECONDS_PER_HOUR: Final = 3600.0
MAX_SAMPLES: Final = 60
STEP_DIVISOR: Final = 20


@dataclass(frozen=True, slots=True)
class SizingWeights:
    """How much each measure counts, and the amount that counts as 1.

    ``buffer_unit`` and ``nearness_unit`` are parts of the fleet and of
    the demand, ``moves_unit`` is moves an hour for each instance. A
    roll-out counts as 1 when it takes as long as an even pool's.
    """

    buffer: float = 1.0
    moves: float = 1.0
    roll_out: float = 1.0
    nearness: float = 1.0
    buffer_unit: float = 0.6
    moves_unit: float = 1.5
    nearness_unit: float = 0.5


PROFILES: Final[Mapping[str, SizingWeights]] = {
    'even': SizingWeights(),
    'chatarra-norte': SizingWeights(1.0, 1.0, 3.0, 3.0),
    'blue-mountain': SizingWeights(3.0, 3.0, 1.0, 1.0),
}


@dataclass(frozen=True, slots=True)
class SizingSettings:
    """Times in seconds: samples of demand, and the hysteresis."""

    interval_s: float = 10.0
    learn_s: float = 120.0
    hold_s: float = 30.0
    reverse_s: float = 900.0
    horizon_s: float = 4 * SECONDS_PER_HOUR


@dataclass(slots=True)
class DemandSamples:
    """What all pools asked for at the same moments, in instances.

    Samples of all pools together tell which bursts coincide, and so
    how far the same spare instance serves one pool after another.
    """

    interval_s: float = 10.0
    rows: list[Mapping[PoolId, float]] = field(default_factory=list)
    sampled_at: float = float('-inf')

    def add(self, now: float, demands: Mapping[PoolId, float]) -> None:
        """Keep a sample, unless the last one is too recent."""
        if now - self.sampled_at >= self.interval_s:
            self.sampled_at = now
            self.rows.append(dict(demands))
            del self.rows[:-MAX_SAMPLES]

    @property
    def observed_s(self) -> float:
        """Return how long the samples span."""
        return len(self.rows) * self.interval_s


@dataclass(slots=True)
class PoolLoad:
    """A pool as sizing sees it; slots are per instance.

    ``demand_slots`` is what runs and waits now; ``floor`` is the least
    size: the document's buffer, the budget's stops and one more.
    """

    pool: PoolId
    instances: int
    slots: int
    demand_slots: float
    unavailable: int = 1
    floor: int = 2


@dataclass(frozen=True, slots=True)
class Shortage:
    """What all pools lacked in each sample, at their present sizes.

    ``needs`` is what pools ask above their sizes, ``spare`` what the
    spare pool itself asks, both in instances; ``mean_demand`` is the
    mean of all demand, ``even_size`` that of pools of one size.
    """

    samples: DemandSamples
    needs: Sequence[float]
    spare: Sequence[float]
    mean_demand: float
    fleet_instances: int
    even_size: int


def find_shortage(
    samples: DemandSamples, pools: Sequence[PoolLoad], spare: PoolLoad
) -> Shortage:
    """Sum up the samples, once for the decisions of all pools."""
    sizes = [(load.pool, load.instances) for load in pools]
    needs = list[float]()
    total = 0.0
    for row in samples.rows:
        need = 0.0
        total += row.get(spare.pool, 0.0)
        for pool, size in sizes:
            demand = row.get(pool, 0.0)
            total += demand
            if demand > size:
                need += demand - size
        needs.append(need)
    fleet = spare.instances + sum(load.instances for load in pools)
    return Shortage(
        samples,
        needs,
        [row.get(spare.pool, 0.0) for row in samples.rows],
        total / max(len(needs), 1),
        fleet,
        fleet // (len(pools) + 1),
    )


@dataclass(frozen=True, slots=True)
class Hold:
    """Since when a pool has wanted a change, and its last move."""

    wanted: int = 0
    since: float = 0.0
    moved: int = 0
    moved_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class SizeDecision:
    """How many to take from the spare pool; negative to give."""

    change: int
    hold: Hold
    refusal: Explanation | None = None


def lend(spare: PoolLoad, needs: Mapping[PoolId, float]) -> dict[PoolId, int]:
    """Divide the spare pool's free slots over pools that need slots.

    Each gets an equal part or what it needs, whichever is less, so
    none starves; the spare pool's own demand goes first. A slot comes
    back when its request ends, within the run limit.
    """
    free = int(spare.instances * spare.slots - spare.demand_slots)
    loans = dict[PoolId, int]()
    waiting = sorted(needs.items(), key=lambda item: (item[1], item[0]))
    for number, (pool, need) in enumerate(waiting):
        part = max(free, 0) // (len(waiting) - number)
        loans[pool] = max(min(ceil(need), part), 0)
        free -= loans[pool]
    return loans


def decide_size(
    own: PoolLoad,
    spare: PoolLoad,
    shortage: Shortage,
    hold: Hold,
    now: float,
    weights: SizingWeights,
    settings: SizingSettings,
) -> SizeDecision:
    """Return how many instances a pool takes or gives; 0 for neither.

    Several at a time are weighed too: a roll-out grows in whole
    rounds, so one instance may cost what two would.
    """
    if shortage.samples.observed_s < settings.learn_s:
        return SizeDecision(0, hold)
    present = cost(own, spare, 0, shortage, weights)
    each = move_cost(shortage.fleet_instances, weights, settings)
    gains = {
        change: present - cost(own, spare, change, shortage, weights)
        for change in _changes(own)
        if _is_possible(own, spare, change)
    }
    wanted = max(
        gains, key=lambda change: gains[change] - each * abs(change), default=1
    )
    gain, price = gains.get(wanted, 0.0), each * abs(wanted)
    if gain <= price:
        refusal = _explain_worth(own, spare, gain, price)
        idle = Hold(0, now, hold.moved, hold.moved_at)
        return SizeDecision(0, idle, refusal)
    sign = 1 if wanted > 0 else -1
    since = hold.since if hold.wanted == sign else now
    held = Hold(sign, since, hold.moved, hold.moved_at)
    remaining_s = _remaining_s(held, now, settings)
    if remaining_s > 0:
        numbers = {'remaining_s': remaining_s, 'gain': gain, 'cost': price}
        refusal = Explanation(own.pool, Rule.MOVE_HOLD, numbers)
        return SizeDecision(0, held, refusal)
    return SizeDecision(wanted, Hold(sign, now, sign, now))


def _changes(own: PoolLoad) -> list[int]:
    amount = max(own.instances // STEP_DIVISOR, 1)
    return [sign * factor * amount for factor in (1, 2, 3) for sign in (1, -1)]


def cost(
    own: PoolLoad,
    spare: PoolLoad,
    change: int,
    shortage: Shortage,
    weights: SizingWeights,
) -> float:
    """Return the fleet's weighted cost after a change of one pool."""
    size, left = own.instances + change, spare.instances - change
    unmet = idle = 0.0
    rows = shortage.samples.rows
    for row, need, spare_demand in zip(
        rows, shortage.needs, shortage.spare, strict=True
    ):
        demand = row.get(own.pool, 0.0)
        need += max(demand - size, 0.0) - max(demand - own.instances, 0.0)
        idle += max(size - demand, 0.0)
        unmet += max(need - max(left - spare_demand, 0.0), 0.0)
        unmet += max(spare_demand - left, 0.0)
    count = max(len(rows), 1)
    roll_out = max(
        rounds(size, own.unavailable), rounds(left, spare.unavailable)
    )
    even = max(rounds(shortage.even_size, own.unavailable), 1)
    buffer = idle / count / max(shortage.fleet_instances, 1)
    nearness = unmet / count / max(shortage.mean_demand, 1e-9)
    return (
        weights.buffer * buffer / weights.buffer_unit
        + weights.nearness * nearness / weights.nearness_unit
        + weights.roll_out * roll_out / even
    )


def move_cost(
    fleet_instances: int, weights: SizingWeights, settings: SizingSettings
) -> float:
    """Return the cost of one move, spread over the horizon."""
    hours = settings.horizon_s / SECONDS_PER_HOUR
    unit = weights.moves_unit * max(fleet_instances, 1)
    return weights.moves / unit / hours


def rounds(instances: int, allowed: int) -> int:
    """Return in how many rounds a wave maintains a pool."""
    left, count, width = instances, 0, 1
    while left > 0:
        left -= min(width, max(allowed, 1))
        width, count = width * 2, count + 1
    return count


def choose_instance(view: PoolView, plan: Plan) -> InstanceId | None:
    """Return whom a pool gives: from its fullest zone, least busy."""
    ready = [
        item
        for name, item in view.items()
        if item.is_up
        and not item.instance.is_draining
        and plan.steps.get(name, Step()).state not in IN_FLIGHT
    ]
    if not ready:
        return None
    zones = [item.instance.zone for item in ready]

    def order(item: InstanceView) -> tuple[int, int, str]:
        count = zones.count(item.instance.zone)
        return (-count, item.running + len(item.tasks), item.instance.id)

    return min(ready, key=order).instance.instance_id


def _is_possible(own: PoolLoad, spare: PoolLoad, change: int) -> bool:
    donor = spare if change > 0 else own
    return donor.instances - abs(change) >= donor.floor


def _remaining_s(hold: Hold, now: float, settings: SizingSettings) -> float:
    remaining_s = hold.since + settings.hold_s - now
    if hold.moved == -hold.wanted and hold.wanted:
        reverse_s = hold.moved_at + settings.reverse_s - now
        return max(remaining_s, reverse_s)
    return remaining_s


def _explain_worth(
    own: PoolLoad, spare: PoolLoad, gain: float, price: float
) -> Explanation:
    needs = own.demand_slots > own.instances * own.slots
    if needs and not _is_possible(own, spare, 1):
        numbers = {'spare': spare.instances, 'floor': spare.floor}
        return Explanation(own.pool, Rule.MOVE_NO_DONOR, numbers)
    return Explanation(
        own.pool, Rule.MOVE_NOT_WORTH, {'gain': gain, 'cost': price}
    )
