"""Count what the owner holds, for its metrics."""

from collections import Counter
from dataclasses import replace

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.worker import Worker
from primroseledge.observability.fleetfigures import FleetFigures
from primroseledge.observability.fleetfigures import TaskCount
from primroseledge.observability.fleetfigures import WorkerCount

TaskCountKey = tuple[WorkspaceId, ServiceId, str]


def add_owner_counts(figures: FleetFigures, state: FleetState) -> FleetFigures:
    """Return figures with what only the owner holds."""
    return replace(
        figures,
        is_owner=True,
        active_jobs=len(state.active_jobs),
        unstored_jobs=len(state.dirty_jobs),
        tasks=count_tasks(state),
        workers=count_workers(state),
    )


def count_tasks(state: FleetState) -> tuple[TaskCount, ...]:
    """Count the tasks of active jobs that wait and that run."""
    counts = Counter[TaskCountKey]()
    for job in state.active_jobs.values():
        service = state.service_of(job)
        if service is None:
            continue
        workspace = job.accepted.workspace
        for step in job.ready_steps():
            for task in step.tasks:
                if task.is_waiting:
                    counts[workspace, service, 'waiting'] += 1
                elif task.run is not None:
                    counts[workspace, service, 'running'] += 1
    return tuple(TaskCount(*key, total) for key, total in counts.items())


def count_workers(state: FleetState) -> tuple[WorkerCount, ...]:
    """Count the workers of each service by what they can be used for."""
    counts = Counter[tuple[ServiceId, str]]()
    for worker in state.workers.values():
        counts[worker.entry.service, state_label(worker)] += 1
    return tuple(WorkerCount(*key, total) for key, total in counts.items())


def state_label(worker: Worker) -> str:
    """Return how a worker stands."""
    if not worker.is_listed:
        return 'unlisted'
    if worker.poll_failures:
        return 'silent'
    if worker.is_draining:
        return 'draining'
    return worker.entry.state.value
