"""Sizes of pools: what the spare pool lends, and what moves.

A move takes longer than a burst, so bursts are met by loans: the spare
pool's idle slots run other pools' requests, and its instances stay in
their pool. Moves follow only what lasts: a pool is resized by one when
the weighted gain over ``horizon_s`` exceeds the cost of moving, for
``hold_s`` on end.
"""

from collections.abc import Callable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from math import ceil
from typing import Final

from primroseledge.explain import Explanation
from primroseledge.explain import Rule
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.plan import IN_FLIGHT
from primroseledge.plan import InstanceView
from primroseledge.plan import Plan
from primroseledge.plan import PoolView
from primroseledge.plan import Step

SECONDS_PER_HOUR: Final = 3600.0
MAX_BUCKETS: Final = 64


@dataclass(frozen=True, slots=True)
class SizingWeights:
    """How much each measure counts, and the amount that counts as 1.

    ``buffer_unit`` and ``nearness_unit`` are parts of the fleet and of
    the demand, ``moves_unit`` is moves an hour, ``roll_out_unit_s``
    seconds.
    """

    buffer: float = 1.0
    moves: float = 1.0
    roll_out: float = 1.0
    nearness: float = 1.0
    buffer_unit: float = 0.6
    moves_unit: float = 60.0
    roll_out_unit_s: float = 400.0
    nearness_unit: float = 0.1


PROFILES: Final[Mapping[str, SizingWeights]] = {
    'even': SizingWeights(),
    'chatarra-norte': SizingWeights(1.0, 1.0, 3.0, 3.0),
    'blue-mountain': SizingWeights(3.0, 3.0, 1.0, 1.0),
}


@dataclass(frozen=True, slots=True)
class SizingSettings:
    """Times in seconds; a history's half-life, and the hysteresis."""

    half_life_s: float = 1800.0
    learn_s: float = 120.0
    hold_s: float = 30.0
    reverse_s: float = 900.0
    horizon_s: float = 4 * SECONDS_PER_HOUR
    step_s: float = 90.0


@dataclass(slots=True)
class DemandHistory:
    """How much of the time a pool's demand was how high.

    ``seconds`` counts, with decay, the time at each demand, in
    buckets of ``unit`` instances.
    """

    unit: float = 1.0
    seconds: list[float] = field(default_factory=lambda: [0.0] * MAX_BUCKETS)
    observed_s: float = 0.0

    def observe(
        self, demand: float, elapsed_s: float, half_life_s: float
    ) -> None:
        """Add a demand, in instances, that lasted ``elapsed_s``."""
        while demand / self.unit >= MAX_BUCKETS - 1:
            self._widen()
        decay = 0.5 ** (elapsed_s / half_life_s)
        self.seconds = [value * decay for value in self.seconds]
        self.seconds[ceil(demand / self.unit)] += elapsed_s
        self.observed_s += elapsed_s

    def excess(self, size: float) -> float:
        """Return the mean demand above a size, in instances."""
        return self._mean(lambda demand: max(demand - size, 0.0))

    def idle(self, size: float) -> float:
        """Return the mean part of a size that is not asked for."""
        return self._mean(lambda demand: max(size - demand, 0.0))

    @property
    def mean(self) -> float:
        """Return the mean demand, in instances."""
        return self.excess(0.0)

    def _mean(self, value: Callable[[float], float]) -> float:
        total = sum(self.seconds)
        if total <= 0:
            return 0.0
        weighted = sum(
            seconds * value(bucket * self.unit)
            for bucket, seconds in enumerate(self.seconds)
            if seconds
        )
        return weighted / total

    def _widen(self) -> None:
        """Double the unit, joining buckets in pairs."""
        wider = [0.0] * MAX_BUCKETS
        for bucket, seconds in enumerate(self.seconds):
            wider[ceil(bucket / 2)] += seconds
        self.seconds = wider
        self.unit *= 2


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
    history: DemandHistory
    unavailable: int = 1
    floor: int = 2


@dataclass(frozen=True, slots=True)
class Hold:
    """Since when a pool has wanted a change, and its last move."""

    wanted: int = 0
    since: float = 0.0
    moved: int = 0
    moved_at: float = float('-inf')


@dataclass(frozen=True, slots=True)
class SizeDecision:
    """1 to take an instance from the spare pool, -1 to give one."""

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
    fleet_instances: int,
    hold: Hold,
    now: float,
    weights: SizingWeights,
    settings: SizingSettings,
) -> SizeDecision:
    """Return whether a pool takes or gives an instance, or neither."""
    if own.history.observed_s < settings.learn_s:
        return SizeDecision(0, hold)
    present = cost(own, spare, 0, fleet_instances, weights, settings)
    gains = {
        change: present
        - cost(own, spare, change, fleet_instances, weights, settings)
        for change in (1, -1)
        if _is_possible(own, spare, change)
    }
    wanted = max(gains, key=lambda change: gains[change], default=0)
    gain = gains.get(wanted, 0.0)
    price = move_cost(weights, settings)
    if gain <= price:
        refusal = _explain_worth(own, spare, gain, price)
        return SizeDecision(
            0, Hold(0, now, hold.moved, hold.moved_at), refusal
        )
    since = hold.since if hold.wanted == wanted else now
    held = Hold(wanted, since, hold.moved, hold.moved_at)
    remaining_s = _remaining_s(held, now, settings)
    if remaining_s > 0:
        numbers = {'remaining_s': remaining_s, 'gain': gain, 'cost': price}
        refusal = Explanation(own.pool, Rule.MOVE_HOLD, numbers)
        return SizeDecision(0, held, refusal)
    return SizeDecision(wanted, Hold(wanted, now, wanted, now))


def cost(
    own: PoolLoad,
    spare: PoolLoad,
    change: int,
    fleet_instances: int,
    weights: SizingWeights,
    settings: SizingSettings,
) -> float:
    """Return the weighted cost of a pool and the spare after a change."""
    size, left = own.instances + change, spare.instances - change
    lendable = max(left - spare.history.mean, 0.0)
    unmet = own.history.excess(size + lendable) + spare.history.excess(left)
    demand = max(own.history.mean + spare.history.mean, 1e-9)
    roll_out_s = settings.step_s * max(
        rounds(size, own.unavailable), rounds(left, spare.unavailable)
    )
    buffer = own.history.idle(size) / max(fleet_instances, 1)
    return (
        weights.buffer * buffer / weights.buffer_unit
        + weights.nearness * unmet / demand / weights.nearness_unit
        + weights.roll_out * roll_out_s / weights.roll_out_unit_s
    )


def move_cost(weights: SizingWeights, settings: SizingSettings) -> float:
    """Return the cost of one move, spread over the horizon."""
    hours = settings.horizon_s / SECONDS_PER_HOUR
    return weights.moves / weights.moves_unit / hours


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
    return donor.instances - 1 >= donor.floor


def _remaining_s(hold: Hold, now: float, settings: SizingSettings) -> float:
    remaining_s = hold.since + settings.hold_s - now
    if hold.moved == -hold.wanted:
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
