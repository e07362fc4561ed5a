"""Counts of jobs, tasks and workers for the owner's metrics."""

from collections import Counter
from dataclasses import replace

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.observability.fleet_figures import EstimateError
from primroseledge.observability.fleet_figures import FleetFigures
from primroseledge.observability.fleet_figures import TaskCount
from primroseledge.observability.fleet_figures import WorkerCount
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker

TaskCountKey = tuple[WorkspaceId, ServiceId, str]


def add_owner_counts(figures: FleetFigures, state: FleetState) -> FleetFigures:
    """Return the figures completed by counts that only the owner knows."""
    return replace(
        figures,
        is_owner=True,
        evacuated_zones=len(state.evacuated_zones),
        active_jobs=len(state.active_jobs),
        unstored_jobs=len(state.dirty_jobs),
        tasks=count_tasks(state),
        workers=count_workers(state),
        estimate_errors=list_estimate_errors(state),
    )


def count_tasks(state: FleetState) -> tuple[TaskCount, ...]:
    """Count waiting and running tasks by workspace and service.

    A task is counted if its job is active and all steps that must precede
    its own are done. It counts as running as soon as its run is planned. Its
    copy is counted in addition.
    """
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
                if task.copy is not None:
                    counts[workspace, service, 'copy'] += 1
    return tuple(TaskCount(*key, total) for key, total in counts.items())


def count_workers(state: FleetState) -> tuple[WorkerCount, ...]:
    """Count the workers by service and state label."""
    counts = Counter[tuple[ServiceId, str]]()
    for worker in state.workers.values():
        counts[worker.entry.service, state_label(worker)] += 1
    return tuple(WorkerCount(*key, total) for key, total in counts.items())


def list_estimate_errors(state: FleetState) -> tuple[EstimateError, ...]:
    """Return the mean errors of callers' and of learned estimates."""
    return tuple(
        EstimateError(service, source, round(factor, 3))
        for service, errors in state.runtimes.errors.items()
        for source, factor in (
            ('caller', errors.caller),
            ('learned', errors.learned),
        )
    )


def state_label(worker: Worker) -> str:
    """Return the value of the metric label ``state`` for a worker.

    ``unlisted``: no longer in the list of workers. ``silent``: its
    last poll failed. ``evacuated``: its zone is evacuated. ``draining``: the
    owner drains it. Otherwise it is the state from the list of workers.
    """
    if not worker.is_listed:
        return 'unlisted'
    if worker.poll_failures:
        return 'silent'
    if worker.is_zone_evacuated:
        return 'evacuated'
    if worker.is_drained_by_owner:
        return 'draining'
    return worker.entry.state.value
