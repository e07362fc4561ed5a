"""A fleet in virtual time that drives the decisions of the policy.

One-second ticks carry demand as a fluid; bursts, reboots and failures
happen at seeded times. The controllers, the store's records and the
platform are the real code with the stand-ins.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Final

from msgspec import json

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.policy.plan import ENDED
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import MoveRequest
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.plan import StepReport
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.pool_controller import PoolController
from primroseledge.storage.documents import Budget
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Service
from primroseledge.storage.records import Records
from standins.platform import Machine
from standins.platform import PlatformCore
from tests.policy_fake import FakeStore

SHARD: Final = 's0'
DRAIN_S: Final = 3.0
SYNC_S: Final = 5.0
WINDOW_S: Final = 40_000.0
TEAM_DEMANDS: Final = (6.0, 4.0, 1.0, 1.0, 1.0, 1.0)
TEAM_SHARES: Final = (3.0, 2.0, 1.0, 1.0, 1.0, 1.0)


@dataclass(frozen=True, slots=True)
class FleetShape:
    """The sizes of a fleet; the last pool is the spare one."""

    name: str
    zones: int
    pools: int
    workers: int
    slots: int = 8
    budget: Budget = Budget(2, 1, 600.0)


@dataclass(slots=True)
class Queue:
    """A pool's queue: its rate and backlog, in slot-seconds."""

    pool: PoolId
    mean_slots: float
    backlog: list[float]
    arrivals: list[float]
    running: list[float]


@dataclass(slots=True)
class Totals:
    """What a run adds up, second by second."""

    seconds: float = 0.0
    idle_in_pools: float = 0.0
    idle_in_spare: float = 0.0
    moves: int = 0
    due: float = 0.0
    short: float = 0.0
    violations: list[str] = field(default_factory=list)


def fair_parts(
    capacity: float, demands: Sequence[float], shares: Sequence[float]
) -> list[float]:
    """Divide a capacity max-min fairly by shares."""
    parts = [0.0] * len(demands)
    order = sorted(
        range(len(demands)), key=lambda team: demands[team] / shares[team]
    )
    weight = sum(shares)
    for team in order:
        part = min(demands[team], capacity * shares[team] / weight)
        parts[team] = part
        capacity -= part
        weight -= shares[team]
    return parts


class Fleet:
    """Machines, placement, queues and controllers of one fleet."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.shape = shape
        self.random = Random(seed)
        self.now = 1_000_000.0
        self.store = FakeStore()
        self.platform = PlatformCore(now=self.now, boot_s=60.0)
        self.writes = 0
        self.pools = [PoolId(f'p{n}') for n in range(shape.pools)]
        self.spare = self.pools[-1]
        self.drained_at: dict[InstanceId, float] = {}
        self.placed = self._place()
        self.seen, self.seen_at = self.placed, self.now
        self.seen_revision = Revision(self.store.revision)
        self.controllers = {pool: self._control(pool) for pool in self.pools}
        self.services = {
            pool: Service(pool, 'team', pool, budget=shape.budget)
            for pool in self.pools
        }
        self.queues = [self._queue(pool) for pool in self.pools]
        self.turn, self.turn_ends = 0, self.now
        self.totals = Totals()
        self.platform.advance(self.now)

    def _place(self) -> dict[str, Instance]:
        instances = dict[str, Instance]()
        for pool in self.pools:
            for number in range(self.shape.workers):
                name = f'{pool}-w{number}'
                zone = f'z{number % self.shape.zones}'
                rack = f'{zone}-r{number // self.shape.zones // 4}'
                instances[name] = Instance(
                    name, pool, zone, rack, 'h:1', self.shape.slots
                )
                self.platform.machines[InstanceId(name)] = Machine('old')
        self.store.write(
            document_key('placement', SHARD),
            encode_document(Placement(SHARD, instances)),
            Revision(0),
            WriteId('setup'),
        )
        return instances

    def _control(self, pool: PoolId) -> PoolController:
        settings = WaveSettings(window_s=WINDOW_S)
        return PoolController(
            pool, self.records(), self.platform, self.platform, settings
        )

    def _queue(self, pool: PoolId) -> Queue:
        teams = len(TEAM_DEMANDS)
        mean = self.shape.workers * self.shape.slots / 4
        return Queue(pool, mean, [0.0] * teams, [0.0] * teams, [0.0] * teams)

    def records(self) -> Records:
        """Return access to the records, with write ids in order."""

        def next_write_id() -> WriteId:
            self.writes += 1
            return WriteId(str(self.writes))

        return Records(self.store, next_write_id)

    def advance(self) -> None:
        """Let one second pass."""
        self.now += 1.0
        self.platform.advance(self.now)
        record = self.store.records[document_key('placement', SHARD)]
        placement = json.decode(record.value or '', type=Placement)
        self.placed = placement.instances
        if self.now - self.seen_at >= SYNC_S:
            self.seen, self.seen_at = self.placed, self.now
            self.seen_revision = Revision(self.store.revision)
        for name, instance in self.seen.items():
            if not instance.is_draining:
                self.drained_at.pop(InstanceId(name), None)
            self.drained_at.setdefault(InstanceId(name), self.now)
        self._arrive()

    def _arrive(self) -> None:
        """Each queue in turn asks five times its mean."""
        if self.now >= self.turn_ends:
            self.turn = (self.turn + 1) % len(self.queues)
            self.turn_ends = self.now + self.random.uniform(6.0, 14.0)
        total = sum(TEAM_DEMANDS)
        for number, queue in enumerate(self.queues):
            factor = 5.0 if number == self.turn else 0.05
            rate = queue.mean_slots * factor * self.random.uniform(0.9, 1.1)
            queue.arrivals = [rate * part / total for part in TEAM_DEMANDS]

    def usable(self, pool: PoolId) -> int:
        """Return how many of a pool's instances take work."""
        return sum(
            placed.pool == pool
            and not placed.is_draining
            and self.platform.machines[InstanceId(name)].is_up
            for name, placed in self.seen.items()
        )

    def members(self, pool: PoolId) -> int:
        """Return how many instances a pool has."""
        return sum(placed.pool == pool for placed in self.placed.values())

    def demand(self, queue: Queue) -> list[float]:
        """Return each team's demand in slots."""
        return [
            waiting + arriving
            for waiting, arriving in zip(
                queue.backlog, queue.arrivals, strict=True
            )
        ]

    def serve(self, queue: Queue, slots: float) -> None:
        """Run what fits for a second; the rest waits."""
        demand = self.demand(queue)
        queue.running = fair_parts(slots, demand, TEAM_SHARES)
        queue.backlog = [
            max(asked - ran, 0.0)
            for asked, ran in zip(demand, queue.running, strict=True)
        ]

    def step(
        self,
        pool: PoolId,
        moves: Sequence[MoveRequest] = (),
        only_zone: str | None = None,
    ) -> StepReport:
        """Let a pool's controller take one step; check its budget."""
        view = dict[InstanceId, InstanceView]()
        busy = any(sum(q.running) > 1 for q in self.queues)
        for status in self.platform.instances():
            placed = self.placed[status.instance]
            if placed.pool != pool:
                continue
            # A wave skips what it takes for replaced a moment ago.
            is_skipped = only_zone not in (None, placed.zone)
            since = self.drained_at[status.instance]
            is_running = busy and self.now - since < DRAIN_S
            view[status.instance] = InstanceView(
                placed,
                status.boot_id,
                0.0 if is_skipped else status.boot_age_s,
                status.is_healthy,
                status.image,
                int(is_running or not placed.is_draining),
                self.seen_revision,
            )
        shards = {InstanceId(name): SHARD for name in self.placed}
        given = PoolInput((self.services[pool],), view, shards, moves)
        report = self.controllers[pool].step(self.now, given)
        self._check_budget(pool)
        return report

    def _check_budget(self, pool: PoolId) -> None:
        record = self.store.records[document_key('placement', SHARD)]
        placement = json.decode(record.value or '', type=Placement)
        zones = [
            placed.zone
            for placed in placement.instances.values()
            if placed.pool == pool and placed.is_draining
        ]
        budget = self.shape.budget
        worst = max((zones.count(zone) for zone in zones), default=0)
        if len(zones) > budget.unavailable:
            self.totals.violations.append(f'{pool}: {len(zones)} stopped')
        if worst > budget.unavailable_per_zone:
            self.totals.violations.append(f'{pool}: {worst} in a zone')

    def is_open(self, pool: PoolId) -> bool:
        """Tell whether a pool's plan has something under way."""
        plan = self.controllers[pool].plan.value
        is_waving = plan.wave is not None and plan.wave.state not in ENDED
        return is_waving or any(step.pool for step in plan.steps.values())
