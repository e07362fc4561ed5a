"""Lend instances from the standby pool, and give them back.

Instances of a standby pool are off and free; those of other pools are
paid for by the second. A pool keeps what its jobs ask for: it grows as
soon as work comes in faster than it can run, and shrinks when it has
asked for less for a while, which is the hysteresis against moving back
and forth.
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
"""Fewer workers would lose too much with one of them."""

BELOW_MIN_WAIT_S: Final = 2.5
"""A pool that has enough is below its least size for this long first.

Its own workers may be about to start, or to come back.
"""

SPARE_CORES_SHARE: Final = 0.15
"""Room above what is asked for, for uneven tasks."""

SHRINK_WINDOW_S: Final = 1.2
"""A pool must have asked for less for this long."""

SHORT_SHRINK_WINDOW_S: Final = 0.3
"""The same while another pool finds no instance to take."""

MOVE_RETRY_INTERVAL_S: Final = 0.7
MOVE_TIMEOUT_S: Final = 4.0
SIZING_INTERVAL_S: Final = 0.1


def size_pools(state: FleetState, fleet: InstanceList, now: float) -> None:
    """Begin and continue the moves that pools need."""
    standby = find_standby_pool(state)
    if standby is None or not fleet.rows:
        return
    for operation in list(fleet.operations.values()):
        if operation.wave is None:
            advance_move(state, fleet, operation, now)
    if (
        not fleet.may_act(now)
        or now < fleet.pools_sized_at + SIZING_INTERVAL_S
    ):
        return
    if not fleet.pools_sized_at:
        fleet.pools_observed_since = now
    fleet.pools_sized_at = now
    demands = measure_demand(state)
    fleet.shortfalls = {
        service: count
        for service, count in fleet.shortfalls.items()
        if service in state.configuration.services
    }
    for service in state.configuration.services.values():
        if service.is_standby:
            continue
        fleet.shortfalls.pop(service.id, None)
        demand = demands[service.id]
        asked = find_desired_size(state, fleet, service, demand, now)
        size_pool(state, fleet, service.id, standby, asked, now)


def find_standby_pool(state: FleetState) -> ServiceId | None:
    """Return the pool whose instances are off, if there is one."""
    for service in state.configuration.services.values():
        if service.is_standby:
            return service.id
    return None


def find_desired_size(
    state: FleetState,
    fleet: InstanceList,
    service: Service,
    demand: Demand,
    now: float,
) -> int:
    """Return the most workers that a pool's jobs asked for lately."""
    arrivals = state.arrival_rates.get(service.id)
    asked = demand.desired_cores(arrivals.measure(now) if arrivals else Rate())
    per_worker = worker_cores(state, service.id)
    needed = ceil(asked * (1 + SPARE_CORES_SHARE) / per_worker)
    history = fleet.desired_size_history.setdefault(service.id, [])
    history.append((now, needed))
    while history[0][0] < now - SHRINK_WINDOW_S:
        history.pop(0)
    return max(
        size
        for at, size in history
        if at >= now - current_shrink_window_s(fleet)
    )


def current_shrink_window_s(fleet: InstanceList) -> float:
    """Return for how long a pool must have asked for less to shrink."""
    return SHORT_SHRINK_WINDOW_S if fleet.shortfalls else SHRINK_WINDOW_S


def worker_cores(state: FleetState, service: ServiceId) -> float:
    """Return the processors of one worker of a pool, at least one."""
    capacities = [
        worker.entry.capacity.cpu_millis / 1000
        for worker in state.workers.values()
        if worker.entry.service == service
    ]
    return max(1.0, min(capacities, default=1.0))


def size_pool(
    state: FleetState,
    fleet: InstanceList,
    service: ServiceId,
    standby: ServiceId,
    desired: int,
    now: float,
) -> None:
    """Let a pool grow or shrink towards a size."""
    members = pool_workers(state, service, now)
    size = len(members) + count_incoming(state, fleet, service)
    wanted = max(MIN_POOL_WORKERS, desired)
    if size >= wanted:
        fleet.below_min_since.pop(service, None)
    elif size >= desired:
        since = fleet.below_min_since.setdefault(service, now)
        if now < since + BELOW_MIN_WAIT_S:
            return
    if size < wanted:
        grow(state, fleet, service, standby, wanted - size, now)
    elif (
        size > wanted
        and len(members) > wanted
        and now >= fleet.pools_observed_since + current_shrink_window_s(fleet)
    ):
        shrink(state, fleet, members, standby, size - wanted, now)


def pool_workers(
    state: FleetState, service: ServiceId, now: float
) -> list[Worker]:
    """Return the workers of a pool that take tasks."""
    return [
        worker
        for worker in state.workers.values()
        if worker.entry.service == service
        and worker.is_listed
        and worker.entry.state is WorkerState.READY
        and not worker.is_draining
        and not worker.poll_failures
        and not worker.quarantine.is_active(now)
    ]


def count_incoming(
    state: FleetState, fleet: InstanceList, service: ServiceId
) -> int:
    """Return how many instances are on their way to a pool.

    One that is up and whose worker is not listed yet counts too, and
    one that a predecessor has moved.
    """
    unlisted = sum(
        1
        for row in fleet.rows.values()
        if row.pool == service
        and is_incoming(state, row)
        and row.id not in fleet.operations
    )
    return unlisted + count_operations(fleet, service)


def is_incoming(state: FleetState, row: InstanceRow) -> bool:
    """Tell whether an instance is about to show a worker in its pool."""
    if row.state is InstanceState.UP:
        return row.worker is None or row.worker not in state.workers
    return row.state in (InstanceState.MOVING, InstanceState.IN_MAINTENANCE)


def count_operations(fleet: InstanceList, service: ServiceId) -> int:
    """Return how many moves and upkeeps will bring a pool an instance."""
    return sum(
        1
        for operation in fleet.operations.values()
        if operation.target_pool == service
        or (
            operation.wave is not None
            and operation.state is OperationState.AWAITING_RETURN
            and pool_of(fleet, operation) == service
        )
    )


def pool_of(fleet: InstanceList, operation: Operation) -> ServiceId | None:
    """Return the pool that an instance belongs to."""
    row = fleet.rows.get(operation.instance)
    return row.pool if row else None


def grow(
    state: FleetState,
    fleet: InstanceList,
    service: ServiceId,
    standby: ServiceId,
    count: int,
    now: float,
) -> None:
    """Keep what was to leave, then take instances from the standby pool."""
    for operation in list(fleet.operations.values()):
        if count <= 0:
            return
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        if is_leaving and pool_of(fleet, operation) == service:
            cancel_move(state, fleet, operation)
            count -= 1
    free = standby_instances(fleet, service, standby)[:count]
    count -= len(free)
    count -= redirect_moves(fleet, service, standby, count)
    if count > 0:
        fleet.shortfalls[service] = count
    for instance in free:
        row = fleet.rows[instance]
        operation = Operation(
            instance, row.worker, None, started_at=now, target_pool=service
        )
        fleet.operations[instance] = operation
        advance_move(state, fleet, operation, now)


def redirect_moves(
    fleet: InstanceList, service: ServiceId, standby: ServiceId, count: int
) -> int:
    """Let instances that leave other pools come here; return how many."""
    redirected = 0
    for operation in fleet.operations.values():
        if redirected >= count:
            break
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        move = (operation.instance, service)
        if is_leaving and move not in fleet.refused_moves:
            operation.target_pool = service
            redirected += 1
    return redirected


def pop_target_pool(fleet: InstanceList, standby: ServiceId) -> ServiceId:
    """Return the pool that an instance should go to."""
    for service, count in fleet.shortfalls.items():
        if count > 1:
            fleet.shortfalls[service] = count - 1
        else:
            del fleet.shortfalls[service]
        return service
    return standby


def standby_instances(
    fleet: InstanceList, service: ServiceId, standby: ServiceId
) -> list[InstanceId]:
    """Return the instances that can be taken, racks in turn."""
    per_rack = dict[str, int]()
    for row in fleet.rows.values():
        if row.pool == service:
            per_rack[row.rack] = per_rack.get(row.rack, 0) + 1
    free = [
        row
        for row in fleet.rows.values()
        if row.pool == standby
        and row.state is InstanceState.UP
        and row.id not in fleet.operations
        and (row.id, service) not in fleet.refused_moves
    ]
    free.sort(key=lambda row: (per_rack.get(row.rack, 0), row.id))
    return [row.id for row in free]


def shrink(
    state: FleetState,
    fleet: InstanceList,
    members: list[Worker],
    standby: ServiceId,
    count: int,
    now: float,
) -> None:
    """Drain the workers that are missed least."""
    instance_of = {
        row.worker: row.id
        for row in fleet.rows.values()
        if row.worker is not None and row.state is InstanceState.UP
    }
    for worker in sorted(members, key=release_rank)[:count]:
        instance = instance_of.get(worker.id)
        if instance is None or instance in fleet.operations:
            continue
        if (instance, standby) in fleet.refused_moves:
            continue
        if any(t.spec.is_long_running for t in worker.tasks.values()):
            continue
        operation = Operation(
            instance,
            worker.id,
            None,
            started_at=now,
            target_pool=pop_target_pool(fleet, standby),
        )
        fleet.operations[instance] = operation
        advance_move(state, fleet, operation, now)


def release_rank(worker: Worker) -> tuple[bool, int]:
    """Rank workers; those without long-running tasks go first."""
    lasts = any(t.spec.is_long_running for t in worker.tasks.values())
    return (lasts, len(worker.tasks))


def advance_move(
    state: FleetState, fleet: InstanceList, operation: Operation, now: float
) -> None:
    """Take a move one step further."""
    if (
        operation.state is OperationState.AWAITING_RETURN
        or operation.target_pool is None
    ):
        return
    row = fleet.rows.get(operation.instance)
    if row is None or row.worker != operation.worker:
        # It started again or moved; a later decision begins anew.
        cancel_move(state, fleet, operation)
        return
    worker = state.workers.get(operation.worker) if operation.worker else None
    if worker is not None:
        worker.is_draining = True
        if worker.tasks:
            return
    if (
        operation.state is OperationState.CALL_SENT
        and now > operation.started_at + MOVE_TIMEOUT_S
    ):
        cancel_move(state, fleet, operation)
        return
    if (
        now < operation.call_sent_at + MOVE_RETRY_INTERVAL_S
        or not fleet.may_act(now)
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
    state: FleetState, fleet: InstanceList, operation: Operation
) -> None:
    """Give a move up; its worker takes tasks again."""
    fleet.operations.pop(operation.instance, None)
    worker = state.workers.get(operation.worker) if operation.worker else None
    if worker is not None:
        worker.is_draining = False
        state.services_to_plan.add(worker.entry.service)


def handle_move_answer(
    state: FleetState, fleet: InstanceList, answer: InstanceAnswered
) -> None:
    """Take in how a move's call ended."""
    call = answer.call
    operation = fleet.operations.get(call.instance)
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
        fleet.refused_moves.add((call.instance, call.pool))
        cancel_move(state, fleet, operation)
