"""The free slots of each pool, indexed so that a choice costs little."""

from collections.abc import Collection
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from typing import Final

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.storage.documents import Instance

ZONE_SLACK_SLOTS: Final = 2
"""How many more free slots another zone must have to be preferred."""

SLOTS_PER_RESERVED: Final = 40
MIN_SLOTS_WITH_RESERVE: Final = 8

Bucket = dict[str, dict[InstanceId, Instance]]


@dataclass(slots=True)
class PoolSlots:
    """The usable upstreams of one pool by how many slots are free."""

    buckets: list[Bucket] = field(default_factory=list)
    free: int = 0
    slots: int = 0
    size: int = 0

    def add(self, instance: Instance, free: int) -> None:
        """Index an upstream with some free slots."""
        while len(self.buckets) <= free:
            self.buckets.append({})
        zone = self.buckets[free].setdefault(instance.zone, {})
        zone[instance.instance_id] = instance
        self.free += free

    def remove(self, instance: Instance, free: int) -> None:
        """Take an upstream out of the index."""
        bucket = self.buckets[free]
        del bucket[instance.zone][instance.instance_id]
        if not bucket[instance.zone]:
            del bucket[instance.zone]
        self.free -= free

    def reserve(self) -> int:
        """Return how many slots are kept for urgent requests."""
        if self.slots < MIN_SLOTS_WITH_RESERVE:
            return 0
        return max(1, self.slots // SLOTS_PER_RESERVED)

    def candidates(self, zone: str) -> Iterator[Instance]:
        """Yield upstreams: near ones unless others are much freer."""
        ranked = sorted(
            (-free - (ZONE_SLACK_SLOTS if name == zone else 0), name, free)
            for free in range(1, len(self.buckets))
            for name in self.buckets[free]
        )
        for _, name, free in ranked:
            yield from self.buckets[free][name].values()


@dataclass(slots=True)
class Slots:
    """The slots of all pools, as the cell's owner counts them."""

    configuration: Configuration
    used: dict[InstanceId, int] = field(default_factory=dict)
    leaving: frozenset[InstanceId] = frozenset()
    blocked: dict[InstanceId, float] = field(default_factory=dict)
    unblocks: list[tuple[float, InstanceId]] = field(default_factory=list)
    pools: dict[PoolId, PoolSlots] = field(default_factory=dict)
    placed: dict[InstanceId, tuple[Instance, int]] = field(
        default_factory=dict
    )
    built_from: tuple[int, frozenset[InstanceId]] = (-1, frozenset())

    def refresh(self) -> bool:
        """Build the index anew after a change of the configuration."""
        revision = self.configuration.revision
        if self.built_from[0] == revision and (
            self.built_from[1] is self.leaving
        ):
            return False
        self.built_from = revision, self.leaving
        self.pools = {}
        self.placed = {}
        for instance in self.configuration.instances.values():
            pool = self.pools.setdefault(PoolId(instance.pool), PoolSlots())
            pool.slots += instance.slots
            pool.size += 1
            self.place(instance.instance_id)
        return True

    def place(self, upstream: InstanceId) -> None:
        """Put an upstream where its free slots belong."""
        placed = self.placed.pop(upstream, None)
        if placed is not None:
            pool = self.pools[PoolId(placed[0].pool)]
            pool.remove(*placed)
        instance = self.configuration.instances.get(upstream)
        if instance is None or not self.is_usable(instance):
            return
        free = instance.slots - self.used.get(upstream, 0)
        if free <= 0 or PoolId(instance.pool) not in self.pools:
            return
        self.pools[PoolId(instance.pool)].add(instance, free)
        self.placed[upstream] = instance, free

    def is_usable(self, instance: Instance) -> bool:
        """Tell whether an upstream may get new work."""
        return not (
            instance.is_draining
            or instance.instance_id in self.leaving
            or instance.instance_id in self.blocked
        )

    def take(self, upstream: InstanceId) -> None:
        """Count a slot as used."""
        self.used[upstream] = self.used.get(upstream, 0) + 1
        self.place(upstream)

    def give(self, upstream: InstanceId) -> None:
        """Count a slot as free again."""
        self.used[upstream] -= 1
        self.place(upstream)

    def block(self, upstream: InstanceId, until: float) -> None:
        """Give an upstream no new work until then."""
        until = max(until, self.blocked.get(upstream, 0.0))
        self.blocked[upstream] = until
        heappush(self.unblocks, (until, upstream))
        self.place(upstream)

    def tick(self, now: float) -> None:
        """Let upstreams have work again whose time is over."""
        while self.unblocks and self.unblocks[0][0] <= now:
            _, upstream = heappop(self.unblocks)
            if self.blocked.get(upstream, now) <= now:
                self.blocked.pop(upstream, None)
                self.place(upstream)

    def has_free(self, pool: PoolId, is_urgent: bool) -> bool:
        """Tell whether a request may take a slot of a pool."""
        slots = self.pools.get(pool)
        if slots is None:
            return False
        return slots.free > (0 if is_urgent else slots.reserve())

    def choose(
        self, pool: PoolId, zone: str, excluded: Collection[InstanceId]
    ) -> Instance | None:
        """Return an upstream with a free slot, None without one.

        One of the ``excluded`` is taken only when there is no other.
        """
        fallback: Instance | None = None
        for instance in self.pools[pool].candidates(zone):
            if instance.id not in excluded:
                return instance
            fallback = fallback or instance
        return fallback
