"""Whether starts may be planned for a worker, and sent to it later."""

from collections.abc import Iterable
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.task import Task
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker

MAX_CAPACITY_AGE_S: Final = 2.5
"""Greatest age in s of a capacity by which workers are filled.

It applies to workers that start whatever they are told to. By the platform's
rules a capacity that has shrunk counts some 3 s and one heartbeat later.
"""


def find_ready_workers(
    state: FleetState, service: ServiceId, pool: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers of a pool on which tasks may start now.

    There are none if the capacities are too old for a service whose workers
    don't check theirs.
    """
    if not is_capacity_known(state, service, now):
        return []
    return [worker for worker in pool if worker.may_start_tasks(now)]


def is_capacity_known(
    state: FleetState, service: ServiceId, now: float
) -> bool:
    """Return whether the capacities of a service's workers are current.

    Those of workers that check their room themselves always count.
    """
    known = state.configuration.services.get(service)
    if known is None or known.checks_room:
        return True
    return now <= state.workers_listed_at + MAX_CAPACITY_AGE_S


def find_start_problem(
    state: FleetState, worker: Worker, task: Task, now: float
) -> str:
    """Return why a task's start may not be sent to a worker, or ''."""
    if worker.is_zone_evacuated:
        return 'its zone is evacuated'
    if not is_capacity_known(state, worker.entry.service, now):
        return 'the capacity of its worker is not known'
    if not worker.has_room_to_start(task):
        return 'the capacity of its worker has shrunk'
    return ''


def withdraw_start(
    state: FleetState, task: Task, reason: str, now: float
) -> None:
    """Withdraw a start that was never sent; log the reason."""
    if task in state.planned_tasks:
        state.planned_tasks.remove(task)
    state.give_up_run(task, reason, now)
    state.stop_other_members(task)
