"""Rolling maintenance of instances, in the waves that operators request.

Instances are drained before they go down. Those with the fewest tasks come
first, and those of pools with a backlog only when time runs short. There
are never more in maintenance than the wave allows.
"""

from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.drained_workers import find_drained_worker
from primroseledge.maintenance.drained_workers import record_call
from primroseledge.maintenance.drained_workers import release_worker
from primroseledge.maintenance.evacuation import evacuate
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.maintenance.wave import WaveState
from primroseledge.maintenance.wave_choice import choose_instances
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState

MAINTENANCE_ROUND_S: Final = 5.0
"""Expected time of one instance's drain, maintenance and return."""

WAVE_TIME_MARGIN_S: Final = 5.0
"""Least time that should be left when a wave's last instance returns.

A wave that is expected to have less left over is short of time.
"""
MAINTENANCE_RETRY_INTERVAL_S: Final = 0.7
DRAIN_TIMEOUT_S: Final = 8.0
"""Time after which a drain is cancelled if tasks still run.

Otherwise one long task would hold up the wave's other instances. The drain
may be started again later.
"""

MAINTENANCE_START_TIMEOUT_S: Final = 12.0
"""Time after the start of the drain within which the call must succeed.

Otherwise the maintenance is cancelled, so that an instance which can't be
taken down doesn't keep the wave from taking another one.
"""


def advance_waves(
    state: FleetState, instances: InstanceList, now: float
) -> None:
    """Start requested waves, and continue the ones that are running.

    A running wave waits until a list of instances has been read, which may be
    empty.
    """
    for number, wave in instances.waves.items():
        record = instances.wave_records.get(number)
        if record is None:
            record = WaveRecord(
                number, WaveState.RUNNING, started_ms=state.wall_ms(now)
            )
            record_wave(instances, record)
        if record.state is WaveState.COMPLETED or not instances.listed_at:
            continue
        advance_wave(state, instances, wave, record, now)


def record_wave(instances: InstanceList, record: WaveRecord) -> None:
    """Replace a wave's record, and mark it to be stored."""
    instances.wave_records[record.number] = record
    instances.dirty_waves[record.number] = None


def advance_wave(
    state: FleetState,
    instances: InstanceList,
    wave: Wave,
    record: WaveRecord,
    now: float,
) -> None:
    """Continue a wave's maintenance and start more, or complete the wave.

    It is complete when each instance of it has started maintenance or is
    certainly gone, which takes a list that was requested since.
    """
    operations = [
        operation
        for operation in instances.operations.values()
        if operation.wave_number == wave.number
    ]
    for operation in operations:
        advance_maintenance(state, instances, operation, now)
    done = set(record.started_instances)
    missing = [i for i in wave.instances if i not in done]
    remaining = [i for i in missing if i in instances.rows]
    if not remaining:
        if not instances.confirm_gone(wave, frozenset(missing), now):
            return
        completed = WaveRecord(
            wave.number,
            WaveState.COMPLETED,
            record.started_instances,
            record.started_ms,
        )
        record_wave(instances, completed)
        log(
            Event.WAVE_CHANGED,
            wave=wave.number,
            state='completed',
            reason=f'{len(done)} instances, {len(missing)} gone',
        )
        return
    instances.wave_absences.pop(wave.number, None)
    limit = wave.max_in_maintenance - instances.count_in_maintenance(wave)
    if limit > 0 and instances.may_change_instances(now):
        is_urgent = is_time_short(
            wave, record, len(remaining), state.wall_ms(now)
        )
        for instance in choose_instances(
            state, instances, remaining, limit, is_urgent
        ):
            start_drain(state, instances, wave, instance, now)


def is_time_short(
    wave: Wave, record: WaveRecord, remaining: int, wall_ms: int
) -> bool:
    """Return whether a wave's remaining instances may not be done in time.

    The estimate assumes rounds of ``max_in_maintenance`` instances each.
    """
    rounds = -(-remaining // max(1, wave.max_in_maintenance))
    end_ms = record.started_ms + wave.duration_s * 1000
    return (
        wall_ms + (rounds * MAINTENANCE_ROUND_S + WAVE_TIME_MARGIN_S) * 1000
        > end_ms
    )


def start_drain(
    state: FleetState,
    instances: InstanceList,
    wave: Wave,
    instance: InstanceId,
    now: float,
) -> None:
    """Start an instance's maintenance in a wave, which begins with a drain."""
    row = instances.rows[instance]
    operation = Operation(instance, row.worker, wave.number, started_at=now)
    instances.operations[instance] = operation
    advance_maintenance(state, instances, operation, now)


def advance_maintenance(
    state: FleetState,
    instances: InstanceList,
    operation: Operation,
    now: float,
) -> None:
    """Continue a maintenance: drain the worker, then send the call.

    A call that has not succeeded is sent again every
    ``MAINTENANCE_RETRY_INTERVAL_S``. The maintenance is cancelled if the
    instance is not listed any more, or if the drain or the start takes too
    long; ``advance_wave`` may start it again later.
    """
    if (
        operation.state is OperationState.AWAITING_RETURN
        or operation.is_call_in_flight
        or operation.wave_number is None
    ):
        return
    if operation.instance not in instances.rows:
        cancel_maintenance(state, instances, operation)
        return
    switch_to_new_worker(instances, operation, now)
    worker = find_drained_worker(state, operation)
    if operation.state is OperationState.DRAINING and worker is not None:
        worker.is_drained_by_owner = True
        if not worker.is_removable:
            evacuate(state, worker, now)
            if now > operation.started_at + DRAIN_TIMEOUT_S:
                cancel_maintenance(state, instances, operation)
            return
    if operation.started_at + MAINTENANCE_START_TIMEOUT_S < now:
        cancel_maintenance(state, instances, operation)
        return
    if (
        now < operation.call_sent_at + MAINTENANCE_RETRY_INTERVAL_S
        or not instances.may_change_instances(now)
        or not instances.was_list_recent(operation)
    ):
        return
    record_call(state, operation, now)
    state.actions.append(
        StartMaintenance(operation.instance, operation.wave_number)
    )


def switch_to_new_worker(
    instances: InstanceList, operation: Operation, now: float
) -> None:
    """Restart the drain if the instance has restarted with a new worker.

    The operation then drains the new worker.
    """
    row = instances.rows.get(operation.instance)
    if row is None or row.worker is None or row.worker == operation.worker:
        return
    operation.worker = row.worker
    operation.state = OperationState.DRAINING
    operation.started_at = now


def cancel_maintenance(
    state: FleetState, instances: InstanceList, operation: Operation
) -> None:
    """Cancel a maintenance, and make the worker available for tasks again."""
    del instances.operations[operation.instance]
    release_worker(state, operation)


def handle_wave_answer(
    state: FleetState,
    instances: InstanceList,
    answer: InstanceAnswered,
    now: float,
) -> None:
    """Act on the result of a call that starts maintenance.

    On success the instance is recorded in the wave, also if its maintenance
    was cancelled meanwhile. If the platform does not know the instance, or
    not in this wave, the maintenance is cancelled and the instance left out
    until it is listed again. After any other failure the call is retried.
    """
    call = answer.call
    if not isinstance(call, StartMaintenance):
        return
    result = answer.result
    log(
        Event.INSTANCE_CALLED,
        what=f'maintenance in wave {call.wave}',
        instance=call.instance,
        result=result.value,
    )
    if result is InstanceResult.DONE:
        record_started(instances, call)
    operation = instances.operations.get(call.instance)
    if operation is None or operation.wave_number != call.wave:
        # The maintenance was cancelled, and the instance may be moved now.
        return
    operation.is_call_in_flight = False
    if result is InstanceResult.DONE:
        operation.state = OperationState.AWAITING_RETURN
        operation.answered_at = answer.received_at
    elif result in (
        InstanceResult.NO_SUCH_INSTANCE,
        InstanceResult.NOT_IN_WAVE,
    ):
        instances.rows.pop(call.instance, None)
        cancel_maintenance(state, instances, operation)


def record_started(instances: InstanceList, call: StartMaintenance) -> None:
    """Record in its wave that an instance's maintenance has started."""
    record = instances.wave_records.get(call.wave)
    if record is None or call.instance in record.started_instances:
        return
    started = (*record.started_instances, call.instance)
    record_wave(
        instances,
        WaveRecord(record.number, record.state, started, record.started_ms),
    )
