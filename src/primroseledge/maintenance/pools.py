"""Sizing of pools by moving instances from and to the standby pool.

Instances of the standby pool are off and free of charge; those of other
pools are paid for by the second. A pool is sized by the demand of its jobs:
it grows as soon as work arrives faster than it can run, and shrinks only
when the demand has been lower for a while, and not below its reserve. This
hysteresis keeps instances from moving back and forth.
"""

from dataclasses import dataclass
from math import ceil
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.configuration import Service
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.pool_moves import advance_move
from primroseledge.maintenance.pool_moves import count_free_instances
from primroseledge.maintenance.pool_moves import count_incoming
from primroseledge.maintenance.pool_moves import grow
from primroseledge.maintenance.pool_moves import shrink
from primroseledge.maintenance.pool_reserve import DemandPeak
from primroseledge.maintenance.pool_reserve import divide_instances
from primroseledge.maintenance.pool_reserve import reserve_size
from primroseledge.scheduling.arrival_rate import Rate
from primroseledge.scheduling.demand import Demand
from primroseledge.scheduling.demand import measure_demand
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerState

BELOW_RESERVE_WAIT_S: Final = 2.5
"""Delay before a pool that meets its demand grows to its reserve.

In this time workers of its own may start or come back, so that no instance
need be moved. A pool that does not meet its demand grows at once.
"""

SPARE_CORES_SHARE: Final = 0.15
"""Share of cores above the demand, because tasks don't fill workers evenly."""

SHRINK_WINDOW_S: Final = 0.6
"""A pool shrinks only after its desired size was lower for this long.

Otherwise instances would move back and forth when the demand varies.
"""

SHORT_SHRINK_WINDOW_S: Final = 0.3
"""Replaces ``SHRINK_WINDOW_S`` while any pool lacks instances.

This makes other pools release instances to it sooner.
"""

SIZING_INTERVAL_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class PoolTarget:
    """The size that a pool should have, in workers.

    ``members`` are the workers that can be given tasks. ``size`` also counts
    instances that are about to join, and ``desired`` is the size that the
    present demand needs; ``target`` may be larger.
    """

    service: ServiceId
    members: list[Worker]
    size: int
    desired: int
    target: int


def size_pools(state: FleetState, instances: InstanceList, now: float) -> None:
    """Size all pools, and continue the moves that are in progress.

    Nothing happens without a standby pool or a list of instances. Pools are
    sized once per ``SIZING_INTERVAL_S``, and only while instances may be
    moved.
    """
    standby = find_standby_pool(state)
    if standby is None or not instances.rows:
        return
    for operation in list(instances.operations.values()):
        if operation.wave_number is None:
            advance_move(state, instances, operation, now)
    if (
        not instances.may_change_instances(now)
        or now < instances.pools_sized_at + SIZING_INTERVAL_S
    ):
        return
    if not instances.pools_sized_at:
        instances.pools_observed_since = now
    instances.pools_sized_at = now
    instances.shortfalls = {
        service: count
        for service, count in instances.shortfalls.items()
        if service in state.configuration.services
    }
    targets = find_targets(state, instances, now)
    grow_pools(state, instances, targets, standby, now)
    for pool in targets:
        shrink_pool(state, instances, pool, standby, now)


def find_targets(
    state: FleetState, instances: InstanceList, now: float
) -> list[PoolTarget]:
    """Return the sizes that all pools but the standby pool should have."""
    demands = measure_demand(state, now)
    targets = list[PoolTarget]()
    for service in state.configuration.services.values():
        if service.is_standby:
            continue
        instances.shortfalls.pop(service.id, None)
        demand = demands[service.id]
        desired = find_desired_size(state, instances, service, demand, now)
        members = pool_workers(state, service.id, now)
        size = len(members) + count_incoming(state, instances, service.id)
        reserve = find_reserve(state, instances, service.id, desired, now)
        targets.append(
            PoolTarget(
                service.id, members, size, desired, max(reserve, desired)
            )
        )
    return targets


def find_reserve(
    state: FleetState,
    instances: InstanceList,
    service: ServiceId,
    desired: int,
    now: float,
) -> int:
    """Record a pool's desired size, and return its reserve, in workers."""
    peak = instances.demand_peaks.setdefault(service, DemandPeak(now))
    peak.record(desired, now)
    pool_count = sum(
        not other.is_standby for other in state.configuration.services.values()
    )
    return reserve_size(len(instances.rows), pool_count, peak.recent())


def grow_pools(
    state: FleetState,
    instances: InstanceList,
    targets: list[PoolTarget],
    standby: ServiceId,
    now: float,
) -> None:
    """Add instances to the pools that are smaller than their targets."""
    lacking = {
        pool.service: pool.target - pool.size
        for pool in targets
        if is_growth_due(instances, pool, now)
    }
    free = count_free_instances(state, instances, standby)
    for service, part in divide_instances(free, lacking).items():
        grow(state, instances, service, standby, lacking[service], part, now)


def is_growth_due(
    instances: InstanceList, pool: PoolTarget, now: float
) -> bool:
    """Return whether a pool should grow now.

    One that meets its demand grows to its reserve only after
    ``BELOW_RESERVE_WAIT_S``.
    """
    if pool.size >= pool.target:
        instances.below_reserve_since.pop(pool.service, None)
        return False
    if pool.size < pool.desired:
        return True
    since = instances.below_reserve_since.setdefault(pool.service, now)
    return now >= since + BELOW_RESERVE_WAIT_S


def shrink_pool(
    state: FleetState,
    instances: InstanceList,
    pool: PoolTarget,
    standby: ServiceId,
    now: float,
) -> None:
    """Release workers of a pool that is larger than its target.

    No pool shrinks until pools have been observed for a whole shrink window.
    """
    if pool.size <= pool.target or len(pool.members) <= pool.target:
        return
    window_s = current_shrink_window_s(instances)
    if now >= instances.pools_observed_since + window_s:
        count = pool.size - pool.target
        shrink(state, instances, pool.members, standby, count, now)


def find_standby_pool(state: FleetState) -> ServiceId | None:
    """Return the standby pool, whose instances are off, if there is one."""
    for service in state.configuration.services.values():
        if service.is_standby:
            return service.id
    return None


def find_desired_size(
    state: FleetState,
    instances: InstanceList,
    service: Service,
    demand: Demand,
    now: float,
) -> int:
    """Record a pool's desired size, and return its recent maximum.

    Sizes are in workers. They follow from the cores that the pool's jobs need
    now; the maximum is taken over the current shrink window.
    """
    arrivals = state.arrival_rates.get(service.id)
    desired_cores = demand.desired_cores(
        arrivals.measure(now) if arrivals else Rate(), instances.move_s
    )
    per_worker = worker_cores(state, service.id)
    desired_size = ceil(desired_cores * (1 + SPARE_CORES_SHARE) / per_worker)
    history = instances.desired_size_history.setdefault(service.id, [])
    history.append((now, desired_size))
    while history[0][0] < now - SHRINK_WINDOW_S:
        history.pop(0)
    return max(
        size
        for at, size in history
        if at >= now - current_shrink_window_s(instances)
    )


def current_shrink_window_s(instances: InstanceList) -> float:
    """Return how long demand must have been lower before a pool shrinks.

    In seconds; shorter while any pool lacks instances.
    """
    return SHORT_SHRINK_WINDOW_S if instances.shortfalls else SHRINK_WINDOW_S


def worker_cores(state: FleetState, service: ServiceId) -> float:
    """Return the cores of a pool's smallest worker, at least one."""
    capacities = [
        worker.entry.capacity.cpu_millis / 1000
        for worker in state.workers.values()
        if worker.entry.service == service
    ]
    return max(1.0, min(capacities, default=1.0))


def pool_workers(
    state: FleetState, service: ServiceId, now: float
) -> list[Worker]:
    """Return a pool's workers that can be given tasks.

    Draining, unresponsive, quarantined and unlisted ones are left out, and
    those in evacuated zones.
    """
    return [
        worker
        for worker in state.workers.values()
        if worker.entry.service == service
        and worker.is_listed
        and worker.entry.state is WorkerState.READY
        and not worker.is_zone_evacuated
        and not worker.is_drained_by_owner
        and not worker.poll_failures
        and not worker.quarantine.is_active(now)
    ]
