"""Decide when to read the platform's list of instances."""

from typing import Final

from primroseledge.jobs.fleet_state import FleetState
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.wave import WaveState

BUSY_LIST_INTERVAL_S: Final = 0.25
IDLE_LIST_INTERVAL_S: Final = 2.0


def refresh_list(state: FleetState, fleet: InstanceList, now: float) -> None:
    """Read the list when it is too old for what is being done."""
    if fleet.is_list_in_flight or not needs_list(state, fleet):
        return
    is_outdated = fleet.listed_at < fleet.may_act_from <= now
    is_busy = bool(fleet.operations) or not fleet.rows or is_outdated
    interval_s = BUSY_LIST_INTERVAL_S if is_busy else IDLE_LIST_INTERVAL_S
    if now < fleet.list_requested_at + interval_s:
        return
    fleet.is_list_in_flight = True
    fleet.list_requested_at = now
    state.actions.append(ListInstances())


def needs_list(state: FleetState, fleet: InstanceList) -> bool:
    """Tell whether instances are to be moved or have their upkeep."""
    services = state.configuration.services.values()
    if fleet.operations or any(s.is_standby for s in services):
        return True
    for number in fleet.waves:
        record = fleet.wave_records.get(number)
        if record is None or record.state is not WaveState.COMPLETED:
            return True
    return False
