"""Evacuation of availability zones: what the owner does about their work.

While a zone is evacuated nothing starts there. Planned starts are withdrawn,
long-running tasks move elsewhere within the budgets of their steps, and short
ones end by themselves.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import ZoneId
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.start_checks import withdraw_start

ZONE_CHECK_INTERVAL_S: Final = 0.25
"""Time between two looks at how far evacuations have come, in seconds."""

UNKNOWN_ZONE_WAIT_S: Final = 5.0
"""Time for which a zone may be unknown without a warning, in seconds.

A new owner reads its first lists of workers and instances meanwhile.
"""


@dataclass(slots=True)
class EvacuationProgress:
    """How far the evacuations have come, as this owner logged it.

    ``begun_at`` is when this owner put each evacuation in force. The log has
    told that nothing runs any more in ``empty_zones`` and that the
    ``unknown_zones`` are named by no worker or instance, and whether all
    zones are evacuated.
    """

    begun_at: dict[ZoneId, float] = field(default_factory=dict)
    empty_zones: set[ZoneId] = field(default_factory=set)
    unknown_zones: set[ZoneId] = field(default_factory=set)
    are_all_evacuated: bool = False
    checked_at: float = 0.0


def apply_evacuated_zones(
    state: FleetState,
    progress: EvacuationProgress,
    zones: frozenset[ZoneId],
    now: float,
) -> None:
    """Put a new set of evacuated zones in force.

    Starts that are planned in them and not yet stored are withdrawn. Workers
    of returned zones are used again at once.
    """
    begun = zones - state.evacuated_zones
    returned = state.evacuated_zones - zones
    if not begun and not returned:
        return
    state.evacuated_zones = zones
    for worker in state.workers.values():
        state.update_zone_flag(worker)
    withdraw_planned_starts(state, now)
    state.request_planning_of_all()
    progress.checked_at = 0.0
    running = count_runs_by_zone(state)
    for zone in sorted(begun):
        progress.begun_at[zone] = now
        log(
            Event.ZONE_EVACUATED,
            zone=zone,
            workers=sum(
                worker.entry.zone == zone for worker in state.workers.values()
            ),
            runs=running[zone],
        )
    if returned:
        progress.are_all_evacuated = False
    for zone in sorted(returned):
        seconds = now - progress.begun_at.pop(zone, now)
        progress.empty_zones.discard(zone)
        progress.unknown_zones.discard(zone)
        log(Event.ZONE_RETURNED, zone=zone, seconds=round(seconds, 3))


def withdraw_planned_starts(state: FleetState, now: float) -> None:
    """Withdraw the starts in evacuated zones that are in no batch yet.

    Those in a batch are withdrawn by ``send_start`` once it is stored.
    """
    for task in list(state.planned_tasks):
        run = task.run
        worker = state.workers.get(run.worker) if run else None
        if worker is not None and worker.is_zone_evacuated:
            withdraw_start(state, task, 'its zone is evacuated', now)


def check_evacuations(
    state: FleetState,
    instances: InstanceList,
    progress: EvacuationProgress,
    now: float,
) -> None:
    """Log evacuations that are complete, unknown zones, and that all are out.

    Each is logged once by an owner while the evacuation lasts.
    """
    if (
        not state.evacuated_zones
        or now < progress.checked_at + ZONE_CHECK_INTERVAL_S
    ):
        return
    progress.checked_at = now
    log_empty_zones(state, progress, now)
    known = known_zones(state, instances)
    for zone in sorted(state.evacuated_zones - known - progress.unknown_zones):
        if now >= progress.begun_at[zone] + UNKNOWN_ZONE_WAIT_S:
            progress.unknown_zones.add(zone)
            log(Event.ZONE_UNKNOWN, zone=zone)
    are_all_evacuated = bool(known) and known <= state.evacuated_zones
    if are_all_evacuated and not progress.are_all_evacuated:
        log(Event.ALL_ZONES_EVACUATED, zones=', '.join(sorted(known)))
    progress.are_all_evacuated = are_all_evacuated


def log_empty_zones(
    state: FleetState, progress: EvacuationProgress, now: float
) -> None:
    """Log the evacuated zones in which nothing runs any more.

    While runs are left on a worker whose zone is unknown, as it was never
    listed, no zone counts as empty.
    """
    running = count_runs_by_zone(state)
    if running[UNKNOWN_ZONE]:
        return
    for zone in sorted(state.evacuated_zones - progress.empty_zones):
        if not running[zone]:
            progress.empty_zones.add(zone)
            seconds = round(now - progress.begun_at[zone], 3)
            log(Event.ZONE_EMPTY, zone=zone, seconds=seconds)


UNKNOWN_ZONE: Final = ZoneId('')
"""Key under which the runs on workers of an unknown zone are counted."""


def count_runs_by_zone(state: FleetState) -> collections.Counter[ZoneId]:
    """Count the runs that are planned or may be running, by zone.

    A worker that is listed without a zone belongs to none and is left out.
    """
    counts = collections.Counter[ZoneId]()
    for worker in state.workers.values():
        if worker.entry.zone or not worker.is_listed:
            counts[worker.entry.zone] += len(worker.tasks)
    return counts


def known_zones(state: FleetState, instances: InstanceList) -> set[ZoneId]:
    """Return the zones that a listed worker or an instance names."""
    return nonempty(
        worker.entry.zone
        for worker in state.workers.values()
        if worker.is_listed
    ) | nonempty(row.zone for row in instances.rows.values())


def nonempty(zones: Iterable[ZoneId]) -> set[ZoneId]:
    """Return the zones that have a name."""
    return {zone for zone in zones if zone}
