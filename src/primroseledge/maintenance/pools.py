"""Sizing of pools by moving instances from and to the standby pool.

Instances of the standby pool are off and free of charge; those of other
pools are paid for by the second. A pool is sized by the demand of its jobs:
it grows as soon as work arrives faster than it can run, and shrinks only
when the demand has been lower for a while. This hysteresis keeps instances
from moving back and forth.
"""

from math import ceil
from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.jobs.arrival_rate import Rate
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.demand import Demand
from primroseledge.jobs.demand import measure_demand
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.worker import Worker
from primroseledge.jobs.worker import WorkerState
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.maintenance.instance_list import remove_ended_worker
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

MIN_POOL_WORKERS: Final = 3
"""Least size of a pool, in workers.

With fewer workers, the loss of one would take too much of its capacity.
"""

BELOW_MIN_WAIT_S: Final = 2.5
"""Delay before a pool that meets its demand grows to ``MIN_POOL_WORKERS``.

In this time workers of its own may start or come back, so that no instance
need be moved. A pool that does not meet its demand grows at once.
"""

SPARE_CORES_SHARE: Final = 0.15
"""Share of cores above the demand, because tasks don't fill workers evenly."""

SHRINK_WINDOW_S: Final = 1.2
"""A pool shrinks only after its desired size was lower for this long.

Otherwise instances would move back and forth when the demand varies.
"""

SHORT_SHRINK_WINDOW_S: Final = 0.3
"""Replaces ``SHRINK_WINDOW_S`` while any pool lacks instances.

This makes other pools release instances to it sooner.
"""

MOVE_RETRY_INTERVAL_S: Final = 0.7
MOVE_TIMEOUT_S: Final = 4.0
SIZING_INTERVAL_S: Final = 0.1


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
    demands = measure_demand(state)
    instances.shortfalls = {
        service: count
        for service, count in instances.shortfalls.items()
        if service in state.configuration.services
    }
    for service in state.configuration.services.values():
        if service.is_standby:
            continue
        instances.shortfalls.pop(service.id, None)
        demand = demands[service.id]
        desired = find_desired_size(state, instances, service, demand, now)
        size_pool(state, instances, service.id, standby, desired, now)


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
        arrivals.measure(now) if arrivals else Rate()
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


def size_pool(
    state: FleetState,
    instances: InstanceList,
    service: ServiceId,
    standby: ServiceId,
    desired: int,
    now: float,
) -> None:
    """Grow or shrink a pool towards ``desired`` workers.

    The target is at least ``MIN_POOL_WORKERS``. A pool that has as many as
    desired grows to that minimum only after ``BELOW_MIN_WAIT_S``. No pool
    shrinks until pools have been observed for a whole shrink window.
    """
    members = pool_workers(state, service, now)
    size = len(members) + count_incoming(state, instances, service)
    target = max(MIN_POOL_WORKERS, desired)
    if size >= target:
        instances.below_min_since.pop(service, None)
    elif size >= desired:
        since = instances.below_min_since.setdefault(service, now)
        if now < since + BELOW_MIN_WAIT_S:
            return
    if size < target:
        grow(state, instances, service, standby, target - size, now)
    elif (
        size > target
        and len(members) > target
        and now
        >= instances.pools_observed_since + current_shrink_window_s(instances)
    ):
        shrink(state, instances, members, standby, size - target, now)


def pool_workers(
    state: FleetState, service: ServiceId, now: float
) -> list[Worker]:
    """Return a pool's workers that can be given tasks.

    Draining, unresponsive, quarantined and unlisted ones are left out.
    """
    return [
        worker
        for worker in state.workers.values()
        if worker.entry.service == service
        and worker.is_listed
        and worker.entry.state is WorkerState.READY
        and not worker.is_drained_by_owner
        and not worker.poll_failures
        and not worker.quarantine.is_active(now)
    ]


def count_incoming(
    state: FleetState, instances: InstanceList, service: ServiceId
) -> int:
    """Return how many instances are about to add a worker to a pool.

    These are the instances that this owner's operations will add, and other
    ones listed in the pool that are moving, in maintenance or up without a
    known worker. An earlier owner may have moved those.
    """
    without_operation = sum(
        1
        for row in instances.rows.values()
        if row.pool == service
        and is_incoming(state, row)
        and row.id not in instances.operations
    )
    return without_operation + count_incoming_operations(instances, service)


def is_incoming(state: FleetState, row: InstanceRow) -> bool:
    """Return whether an instance is about to have a worker in its pool."""
    if row.state is InstanceState.UP:
        return row.worker is None or row.worker not in state.workers
    return row.state in (InstanceState.MOVING, InstanceState.IN_MAINTENANCE)


def count_incoming_operations(
    instances: InstanceList, service: ServiceId
) -> int:
    """Return how many operations will add an instance to a pool.

    These are moves to the pool, and maintenance of its own instances that
    are already down.
    """
    return sum(
        1
        for operation in instances.operations.values()
        if operation.target_pool == service
        or (
            operation.wave_number is not None
            and operation.state is OperationState.AWAITING_RETURN
            and pool_of(instances, operation) == service
        )
    )


def pool_of(instances: InstanceList, operation: Operation) -> ServiceId | None:
    """Return the pool that an operation's instance is in, if it is listed."""
    row = instances.rows.get(operation.instance)
    return row.pool if row else None


def grow(
    state: FleetState,
    instances: InstanceList,
    service: ServiceId,
    standby: ServiceId,
    count: int,
    now: float,
) -> None:
    """Add up to ``count`` instances to a pool.

    First the pool keeps its own instances that drain to go to the standby
    pool, then free ones are moved from the standby pool, then instances that
    other pools release are redirected. What is still missing is recorded as
    the pool's shortfall; pools that shrink later release instances to it.
    """
    for operation in list(instances.operations.values()):
        if count <= 0:
            return
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        if is_leaving and pool_of(instances, operation) == service:
            cancel_move(state, instances, operation)
            count -= 1
    free = standby_instances(instances, service, standby)[:count]
    count -= len(free)
    count -= redirect_moves(instances, service, standby, count)
    if count > 0:
        instances.shortfalls[service] = count
    for instance in free:
        row = instances.rows[instance]
        operation = Operation(
            instance, row.worker, None, started_at=now, target_pool=service
        )
        instances.operations[instance] = operation
        advance_move(state, instances, operation, now)


def redirect_moves(
    instances: InstanceList, service: ServiceId, standby: ServiceId, count: int
) -> int:
    """Redirect up to ``count`` moves to a pool; return how many were.

    These are moves from other pools to the standby pool whose instances still
    drain.
    """
    redirected = 0
    for operation in instances.operations.values():
        if redirected >= count:
            break
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        move = (operation.instance, service)
        if is_leaving and move not in instances.refused_moves:
            operation.target_pool = service
            redirected += 1
    return redirected


def pop_target_pool(instances: InstanceList, standby: ServiceId) -> ServiceId:
    """Return the pool for an instance that another pool releases.

    It is a pool with a shortfall, whose shortfall is reduced by one, or else
    the standby pool.
    """
    for service, count in instances.shortfalls.items():
        if count > 1:
            instances.shortfalls[service] = count - 1
        else:
            del instances.shortfalls[service]
        return service
    return standby


def standby_instances(
    instances: InstanceList, service: ServiceId, standby: ServiceId
) -> list[InstanceId]:
    """Return the standby instances that may be moved to a pool.

    Those in racks where the pool has the fewest instances come first.
    """
    per_rack = dict[str, int]()
    for row in instances.rows.values():
        if row.pool == service:
            per_rack[row.rack] = per_rack.get(row.rack, 0) + 1
    free = [
        row
        for row in instances.rows.values()
        if row.pool == standby
        and row.state is InstanceState.UP
        and row.id not in instances.operations
        and (row.id, service) not in instances.refused_moves
    ]
    free.sort(key=lambda row: (per_rack.get(row.rack, 0), row.id))
    return [row.id for row in free]


def shrink(
    state: FleetState,
    instances: InstanceList,
    members: list[Worker],
    standby: ServiceId,
    count: int,
    now: float,
) -> None:
    """Begin to release up to ``count`` of a pool's workers.

    The ones with the fewest tasks come first; workers with long-running tasks
    stay. Each is drained and its instance moved to a pool with a shortfall or
    to the standby pool.
    """
    instance_of = {
        row.worker: row.id
        for row in instances.rows.values()
        if row.worker is not None and row.state is InstanceState.UP
    }
    for worker in sorted(members, key=release_rank)[:count]:
        instance = instance_of.get(worker.id)
        if instance is None or instance in instances.operations:
            continue
        if (instance, standby) in instances.refused_moves:
            continue
        if any(t.spec.is_long_running for t in worker.tasks.values()):
            continue
        operation = Operation(
            instance,
            worker.id,
            None,
            started_at=now,
            target_pool=pop_target_pool(instances, standby),
        )
        instances.operations[instance] = operation
        advance_move(state, instances, operation, now)


def release_rank(worker: Worker) -> tuple[bool, int]:
    """Return a worker's sort key; the lowest is released first.

    Workers without long-running tasks come first, then those with few tasks.
    """
    has_long_running = any(
        t.spec.is_long_running for t in worker.tasks.values()
    )
    return (has_long_running, len(worker.tasks))


def advance_move(
    state: FleetState,
    instances: InstanceList,
    operation: Operation,
    now: float,
) -> None:
    """Continue a move: drain the worker, then send the call, and retry it.

    The move is cancelled if the instance's worker has changed, or if the call
    has not succeeded ``MOVE_TIMEOUT_S`` after it was first sent.
    """
    if (
        operation.state is OperationState.AWAITING_RETURN
        or operation.target_pool is None
    ):
        return
    row = instances.rows.get(operation.instance)
    if row is None or row.worker != operation.worker:
        # The instance has restarted, moved or is gone. The next sizing of
        # the pools decides anew.
        cancel_move(state, instances, operation)
        return
    worker = state.workers.get(operation.worker) if operation.worker else None
    if worker is not None:
        worker.is_drained_by_owner = True
        if worker.tasks:
            return
    if (
        operation.state is OperationState.CALL_SENT
        and now > operation.started_at + MOVE_TIMEOUT_S
    ):
        cancel_move(state, instances, operation)
        return
    if (
        now < operation.call_sent_at + MOVE_RETRY_INTERVAL_S
        or not instances.may_change_instances(now)
    ):
        return
    if operation.state is OperationState.DRAINING:
        operation.started_at = now
    operation.state = OperationState.CALL_SENT
    operation.call_sent_at = now
    state.actions.append(
        MoveInstance(operation.instance, operation.target_pool)
    )


def cancel_move(
    state: FleetState, instances: InstanceList, operation: Operation
) -> None:
    """Cancel a move, and make its worker available for tasks again."""
    instances.operations.pop(operation.instance, None)
    worker = state.workers.get(operation.worker) if operation.worker else None
    if worker is not None:
        worker.is_drained_by_owner = False
        state.services_to_plan.add(worker.entry.service)


def handle_move_answer(
    state: FleetState, instances: InstanceList, answer: InstanceAnswered
) -> None:
    """Act on the result of a move call; ignore that of another operation.

    A move that the platform refuses with ``NO_SUCH_INSTANCE`` is cancelled
    and not tried again. After any other failure ``advance_move`` retries.
    """
    call = answer.call
    operation = instances.operations.get(call.instance)
    if not isinstance(call, MoveInstance) or operation is None:
        return
    if operation.target_pool != call.pool:
        return
    log(
        Event.INSTANCE_CALLED,
        what=f'move to {call.pool}',
        instance=call.instance,
        result=answer.result.value,
    )
    if answer.result is InstanceResult.DONE:
        operation.state = OperationState.AWAITING_RETURN
        operation.answered_at = answer.received_at
        remove_ended_worker(state, operation)
    elif answer.result is InstanceResult.NO_SUCH_INSTANCE:
        instances.refused_moves.add((call.instance, call.pool))
        cancel_move(state, instances, operation)
