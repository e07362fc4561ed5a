"""Moves of instances between pools and the standby pool.

A pool that grows takes free instances of the standby pool and those that
other pools release; one that shrinks drains its workers first.
"""

from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.drained_workers import record_call
from primroseledge.maintenance.drained_workers import release_worker
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.maintenance.pool_release import find_required_labels
from primroseledge.maintenance.pool_release import is_last_with_label
from primroseledge.maintenance.pool_release import release_rank
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker

MOVE_RETRY_INTERVAL_S: Final = 0.7
MOVE_TIMEOUT_S: Final = 4.0


def count_incoming(
    state: FleetState, instances: InstanceList, service: ServiceId
) -> int:
    """Return how many instances are about to add a worker to a pool.

    These are the instances that this owner's operations will add, and other
    ones listed in the pool that are moving, in maintenance or up without a
    known worker. An earlier owner may have moved those. Instances of
    evacuated zones don't count.
    """
    without_operation = sum(
        1
        for row in instances.rows.values()
        if row.pool == service
        and is_incoming(state, row)
        and row.id not in instances.operations
    )
    return without_operation + count_incoming_operations(
        state, instances, service
    )


def is_incoming(state: FleetState, row: InstanceRow) -> bool:
    """Return whether an instance is about to have a worker in its pool."""
    if row.zone in state.evacuated_zones:
        return False
    if row.state is InstanceState.UP:
        return row.worker is None or row.worker not in state.workers
    return row.state in (InstanceState.MOVING, InstanceState.IN_MAINTENANCE)


def count_incoming_operations(
    state: FleetState, instances: InstanceList, service: ServiceId
) -> int:
    """Return how many operations will add an instance to a pool.

    These are moves to the pool, and maintenance of its own instances that
    are already down.
    """
    return sum(
        1
        for operation in instances.operations.values()
        if not is_in_evacuated_zone(state, instances, operation)
        and (
            operation.target_pool == service
            or (
                operation.wave_number is not None
                and operation.state is OperationState.AWAITING_RETURN
                and pool_of(instances, operation) == service
            )
        )
    )


def is_in_evacuated_zone(
    state: FleetState, instances: InstanceList, operation: Operation
) -> bool:
    """Return whether an operation's instance is in an evacuated zone."""
    row = instances.rows.get(operation.instance)
    return row is not None and row.zone in state.evacuated_zones


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
    max_free: int,
    now: float,
) -> None:
    """Add up to ``count`` instances to a pool.

    First the pool keeps its own instances that drain to go to the standby
    pool, then up to ``max_free`` free ones are moved from the standby pool,
    then instances that other pools release are redirected. What is still
    missing is recorded as the pool's shortfall; pools that shrink later
    release instances to it. Instances of evacuated zones are left out.
    """
    for operation in list(instances.operations.values()):
        if count <= 0:
            return
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        if is_in_evacuated_zone(state, instances, operation):
            continue
        if is_leaving and pool_of(instances, operation) == service:
            cancel_move(state, instances, operation)
            count -= 1
    free = standby_instances(state, instances, service, standby)
    free = free[: min(count, max_free)]
    count -= len(free)
    count -= redirect_moves(state, instances, service, standby, count)
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
    state: FleetState,
    instances: InstanceList,
    service: ServiceId,
    standby: ServiceId,
    count: int,
) -> int:
    """Redirect up to ``count`` moves to a pool; return how many were.

    These are moves from other pools to the standby pool whose instances still
    drain, but for those in evacuated zones.
    """
    redirected = 0
    for operation in instances.operations.values():
        if redirected >= count:
            break
        is_leaving = operation.target_pool == standby and (
            operation.state is OperationState.DRAINING
        )
        move = (operation.instance, service)
        if is_in_evacuated_zone(state, instances, operation):
            continue
        if is_leaving and move not in instances.refused_moves:
            operation.target_pool = service
            redirected += 1
    return redirected


def pop_target_pool(
    instances: InstanceList, instance: InstanceId, standby: ServiceId
) -> ServiceId:
    """Return the pool for an instance that another pool releases.

    It is the pool with the largest shortfall, which is reduced by one, or
    else the standby pool. A pool to which the platform does not let the
    instance move is left out.
    """
    lacking = [
        service
        for service in instances.shortfalls
        if (instance, service) not in instances.refused_moves
    ]
    if not lacking:
        return standby
    service = max(lacking, key=instances.shortfalls.__getitem__)
    instances.shortfalls[service] -= 1
    if not instances.shortfalls[service]:
        del instances.shortfalls[service]
    return service


def count_free_instances(
    state: FleetState, instances: InstanceList, standby: ServiceId
) -> int:
    """Return how many instances of the standby pool may be moved."""
    return sum(
        is_free(state, instances, row, standby)
        for row in instances.rows.values()
    )


def is_free(
    state: FleetState,
    instances: InstanceList,
    row: InstanceRow,
    standby: ServiceId,
) -> bool:
    """Return whether an instance is up and unused in the standby pool.

    None of an evacuated zone is.
    """
    return (
        row.zone not in state.evacuated_zones
        and row.pool == standby
        and row.state is InstanceState.UP
        and row.id not in instances.operations
    )


def standby_instances(
    state: FleetState,
    instances: InstanceList,
    service: ServiceId,
    standby: ServiceId,
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
        if is_free(state, instances, row, standby)
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
    stay, as does the last one with a label that a job requires. Each is
    drained and its instance moved to a pool with a shortfall or to the standby
    pool.
    """
    instance_of = {
        row.worker: row.id
        for row in instances.rows.values()
        if row.worker is not None and row.state is InstanceState.UP
    }
    labels = find_required_labels(state, members)
    for worker in sorted(members, key=release_rank)[:count]:
        instance = instance_of.get(worker.id)
        if instance is None or instance in instances.operations:
            continue
        if (instance, standby) in instances.refused_moves:
            continue
        if worker.long_running_count:
            continue
        if is_last_with_label(worker, members, labels):
            continue
        operation = Operation(
            instance,
            worker.id,
            None,
            started_at=now,
            target_pool=pop_target_pool(instances, instance, standby),
        )
        instances.operations[instance] = operation
        advance_move(state, instances, operation, now)


def advance_move(
    state: FleetState,
    instances: InstanceList,
    operation: Operation,
    now: float,
) -> None:
    """Continue a move: drain the worker, then send the call, and retry it.

    The move is cancelled if the instance's worker has changed, if its zone is
    evacuated, or if the call has not succeeded ``MOVE_TIMEOUT_S`` after it was
    first sent.
    """
    if (
        operation.state is OperationState.AWAITING_RETURN
        or operation.is_call_in_flight
        or operation.target_pool is None
    ):
        return
    row = instances.rows.get(operation.instance)
    if (
        row is None
        or row.worker != operation.worker
        or row.zone in state.evacuated_zones
    ):
        # The instance has restarted, moved, is gone or of no use. The next
        # sizing of the pools decides anew.
        cancel_move(state, instances, operation)
        return
    worker = state.workers.get(operation.worker) if operation.worker else None
    if worker is not None:
        worker.is_drained_by_owner = True
        if not worker.is_removable:
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
    record_call(state, operation, now)
    state.actions.append(
        MoveInstance(operation.instance, operation.target_pool)
    )


def cancel_move(
    state: FleetState, instances: InstanceList, operation: Operation
) -> None:
    """Cancel a move, and make its worker available for tasks again."""
    instances.operations.pop(operation.instance, None)
    release_worker(state, operation)


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
    operation.is_call_in_flight = False
    log(
        Event.INSTANCE_CALLED,
        what=f'move to {call.pool}',
        instance=call.instance,
        result=answer.result.value,
    )
    if answer.result is InstanceResult.DONE:
        operation.state = OperationState.AWAITING_RETURN
        operation.answered_at = answer.received_at
    elif answer.result is InstanceResult.NO_SUCH_INSTANCE:
        instances.refused_moves.add((call.instance, call.pool))
        cancel_move(state, instances, operation)
