"""Scheduling of the calls that read the platform's list of instances."""

from typing import Final

from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.wave import WaveState
from primroseledge.scheduling.fleet_state import FleetState

BUSY_LIST_INTERVAL_S: Final = 0.25
IDLE_LIST_INTERVAL_S: Final = 2.0


def refresh_list(
    state: FleetState, instances: InstanceList, now: float
) -> None:
    """Request the list of instances if it is needed and due.

    It is read every ``BUSY_LIST_INTERVAL_S`` while an operation is in
    progress, no instance is known, a new owner needs a list from after the
    time at which it may act, or a wave needs one that shows whether instances
    are gone. Otherwise it is read every ``IDLE_LIST_INTERVAL_S``.
    """
    if instances.is_list_in_flight or not needs_list(state, instances):
        return
    is_outdated = (
        instances.listed_at < instances.may_change_instances_from <= now
        or instances.listed_at <= instances.newer_list_needed_since
    )
    is_busy = bool(instances.operations) or not instances.rows or is_outdated
    interval_s = BUSY_LIST_INTERVAL_S if is_busy else IDLE_LIST_INTERVAL_S
    if now < instances.list_requested_at + interval_s:
        return
    instances.is_list_in_flight = True
    instances.list_requested_at = now
    state.actions.append(ListInstances())


def needs_list(state: FleetState, instances: InstanceList) -> bool:
    """Return whether the list of instances is needed at all.

    It is while an operation is in progress, a standby pool is configured or
    a wave is not completed.
    """
    services = state.configuration.services.values()
    if instances.operations or any(s.is_standby for s in services):
        return True
    for number in instances.waves:
        record = instances.wave_records.get(number)
        if record is None or record.state is not WaveState.COMPLETED:
            return True
    return False
