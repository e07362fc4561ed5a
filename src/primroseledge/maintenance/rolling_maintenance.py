"""Carry out waves of upkeep.

Instances are drained before they go down, those with the least work
first, and those of pools with a backlog only when time runs short. At
no time are more down than the wave allows.
"""

from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.worker import Worker
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.evacuation import evacuate
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.maintenance.instance_list import remove_ended_worker
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.maintenance.wave import WaveState
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

MAINTENANCE_ROUND_S: Final = 5.0
"""Time that one instance's drain, upkeep and return take."""

WAVE_TIME_MARGIN_S: Final = 5.0
MAINTENANCE_RETRY_INTERVAL_S: Final = 0.7
DRAIN_TIMEOUT_S: Final = 8.0
"""An instance that doesn't get empty is given up for another one."""

MAINTENANCE_START_TIMEOUT_S: Final = 12.0
"""An instance that can't be taken down makes room for another one."""

MAX_UNAVAILABLE_SHARE: Final = 0.4
"""Of one pool, at most this share is away at once unless in haste."""


def advance_waves(state: FleetState, fleet: InstanceList, now: float) -> None:
    """Do what is due for each wave."""
    for number, wave in fleet.waves.items():
        record = fleet.wave_records.get(number)
        if record is None:
            record = WaveRecord(
                number, WaveState.RUNNING, started_ms=state.wall_ms(now)
            )
            record_wave(fleet, record)
        if record.state is WaveState.COMPLETED or not fleet.rows:
            continue
        advance_wave(state, fleet, wave, record, now)


def record_wave(fleet: InstanceList, record: WaveRecord) -> None:
    """Note a wave's new record, which is to be stored."""
    fleet.wave_records[record.number] = record
    fleet.dirty_waves[record.number] = None


def advance_wave(
    state: FleetState,
    fleet: InstanceList,
    wave: Wave,
    record: WaveRecord,
    now: float,
) -> None:
    """Begin and continue the upkeep of a wave's instances."""
    done = set(record.started_instances)
    left = [i for i in wave.instances if i not in done and i in fleet.rows]
    if not left:
        completed = WaveRecord(
            wave.number,
            WaveState.COMPLETED,
            record.started_instances,
            record.started_ms,
        )
        record_wave(fleet, completed)
        log(
            Event.WAVE_CHANGED,
            wave=wave.number,
            state='completed',
            reason=f'{len(done)} instances',
        )
        return
    under_way = [
        operation
        for operation in fleet.operations.values()
        if operation.wave == wave.number
    ]
    for operation in under_way:
        advance_maintenance(state, fleet, operation, now)
    room = wave.max_in_maintenance - fleet.count_in_maintenance(wave)
    if room > 0 and fleet.may_act(now):
        is_urgent = is_time_short(wave, record, len(left), state.wall_ms(now))
        for instance in choose_instances(state, fleet, left, room, is_urgent):
            start_drain(state, fleet, wave, instance, now)


def is_time_short(
    wave: Wave, record: WaveRecord, remaining: int, wall_ms: int
) -> bool:
    """Tell whether the time for the rest of a wave runs short."""
    rounds = -(-remaining // max(1, wave.max_in_maintenance))
    end_ms = record.started_ms + wave.duration_s * 1000
    return (
        wall_ms + (rounds * MAINTENANCE_ROUND_S + WAVE_TIME_MARGIN_S) * 1000
        > end_ms
    )


def choose_instances(
    state: FleetState,
    fleet: InstanceList,
    remaining: list[InstanceId],
    limit: int,
    is_urgent: bool,
) -> list[InstanceId]:
    """Return the instances to begin with, at most ``limit``."""
    backlog = services_with_backlog(state)
    chosen = list[InstanceId]()
    away = count_unavailable(fleet)
    for instance in sorted(remaining, key=lambda i: load_of(state, fleet, i)):
        row = fleet.rows[instance]
        if instance in fleet.operations or row.state is not InstanceState.UP:
            continue
        service = state.configuration.services.get(row.pool)
        is_off = service is not None and service.is_standby
        size = sum(1 for r in fleet.rows.values() if r.pool == row.pool)
        most = max(1, int(size * MAX_UNAVAILABLE_SHARE))
        is_crowded = away.get(row.pool, 0) >= most or row.pool in backlog
        if is_crowded and not (is_urgent or is_off):
            continue
        away[row.pool] = away.get(row.pool, 0) + 1
        chosen.append(instance)
        if len(chosen) >= limit:
            break
    return chosen


def services_with_backlog(state: FleetState) -> set[ServiceId]:
    """Return the services with tasks that wait for room."""
    found = set[ServiceId]()
    for job in state.active_jobs.values():
        service = state.service_of(job)
        if service is None or service in found:
            continue
        for step in job.ready_steps():
            if any(task.is_waiting for task in step.tasks):
                found.add(service)
                break
    return found


def count_unavailable(fleet: InstanceList) -> dict[ServiceId, int]:
    """Return how many of each pool's instances are away or drained."""
    away = dict[ServiceId, int]()
    for operation in fleet.operations.values():
        row = fleet.rows.get(operation.instance)
        if row is not None:
            away[row.pool] = away.get(row.pool, 0) + 1
    return away


def load_of(
    state: FleetState, fleet: InstanceList, instance: InstanceId
) -> tuple[int, int]:
    """Return long-running and other tasks on an instance."""
    worker = fleet.worker_of(state, instance)
    if worker is None:
        return (0, 0)
    tasks = worker.tasks.values()
    lasting = sum(1 for task in tasks if task.spec.is_long_running)
    return (lasting, len(tasks) - lasting)


def start_drain(
    state: FleetState,
    fleet: InstanceList,
    wave: Wave,
    instance: InstanceId,
    now: float,
) -> None:
    """Begin to drain an instance."""
    row = fleet.rows[instance]
    operation = Operation(instance, row.worker, wave.number, started_at=now)
    fleet.operations[instance] = operation
    advance_maintenance(state, fleet, operation, now)


def advance_maintenance(
    state: FleetState, fleet: InstanceList, operation: Operation, now: float
) -> None:
    """Take an instance's upkeep one step further."""
    if (
        operation.state is OperationState.AWAITING_RETURN
        or operation.wave is None
    ):
        return
    switch_to_new_worker(fleet, operation, now)
    worker = find_worker(state, operation)
    if operation.state is OperationState.DRAINING and worker is not None:
        worker.is_draining = True
        if worker.tasks:
            evacuate(state, worker, now)
            if now > operation.started_at + DRAIN_TIMEOUT_S:
                cancel_maintenance(state, fleet, operation)
            return
    if operation.started_at + MAINTENANCE_START_TIMEOUT_S < now:
        cancel_maintenance(state, fleet, operation)
        return
    if (
        now < operation.call_sent_at + MAINTENANCE_RETRY_INTERVAL_S
        or not fleet.may_act(now)
    ):
        return
    operation.state = OperationState.CALL_SENT
    operation.call_sent_at = now
    state.actions.append(StartMaintenance(operation.instance, operation.wave))


def find_worker(state: FleetState, operation: Operation) -> Worker | None:
    """Return the worker that is drained, if it is known."""
    if operation.worker is None:
        return None
    return state.workers.get(operation.worker)


def switch_to_new_worker(
    fleet: InstanceList, operation: Operation, now: float
) -> None:
    """Drain the new worker of an instance that started again meanwhile."""
    row = fleet.rows.get(operation.instance)
    if row is None or row.worker is None or row.worker == operation.worker:
        return
    operation.worker = row.worker
    operation.state = OperationState.DRAINING
    operation.started_at = now


def cancel_maintenance(
    state: FleetState, fleet: InstanceList, operation: Operation
) -> None:
    """Let a worker take tasks again."""
    del fleet.operations[operation.instance]
    worker = find_worker(state, operation)
    if worker is not None:
        worker.is_draining = False
        state.services_to_plan.add(worker.entry.service)


def handle_wave_answer(
    state: FleetState,
    fleet: InstanceList,
    answer: InstanceAnswered,
    now: float,
) -> None:
    """Take in how the call that begins an upkeep ended."""
    call = answer.call
    operation = fleet.operations.get(call.instance)
    if not isinstance(call, StartMaintenance) or operation is None:
        return
    result = answer.result
    log(
        Event.INSTANCE_CALLED,
        what=f'upkeep in wave {call.wave}',
        instance=call.instance,
        result=result.value,
    )
    record = fleet.wave_records.get(call.wave)
    if result is InstanceResult.DONE and record is not None:
        operation.state = OperationState.AWAITING_RETURN
        operation.answered_at = answer.received_at
        remove_ended_worker(state, operation)
        if call.instance not in record.started_instances:
            done = (*record.started_instances, call.instance)
            record_wave(
                fleet,
                WaveRecord(
                    record.number, record.state, done, record.started_ms
                ),
            )
    elif result in (
        InstanceResult.NO_SUCH_INSTANCE,
        InstanceResult.NOT_IN_WAVE,
    ):
        fleet.rows.pop(call.instance, None)
        cancel_maintenance(state, fleet, operation)
