"""Slow tasks that fill idle processors while they disturb others.

It answers a load that changes within seconds: when the response times
of a task with an objective come near it, the fillers beside it are
slowed in large steps; when they are well below, given back slowly.
"""

from typing import Final

from primroseledge.jobs.actions import SendPace
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.fleetstate import FleetState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

SLOW_AT: Final = 0.85
"""Share of the objective above which fillers are slowed."""

RELEASE_AT: Final = 0.6
"""Share of the objective below which they get time back."""

SLOW_FACTOR: Final = 0.5
STOP_BELOW_PERCENT: Final = 15
RELEASE_STEP_PERCENT: Final = 20
MIN_INTERVAL_S: Final = 0.6
"""A worker's figures cover the last half second."""


def pace_workers(state: FleetState, now: float) -> None:
    """Change the pace of fillers where response times ask for it."""
    for worker in state.workers.values():
        if worker.tasks and not worker.look_failures:
            pace_worker(state, worker, now)


def pace_worker(state: FleetState, worker: Worker, now: float) -> None:
    """Change the pace of one worker's fillers."""
    fillers = list[Task]()
    strain = 0.0
    for task in worker.tasks.values():
        run = task.run
        if run is None or run.phase is not RunPhase.RUNNING:
            continue
        if task.step.is_filler:
            fillers.append(task)
        elif task.step.target_ms:
            strain = max(strain, run.load / task.step.target_ms)
    if not fillers:
        return
    for task in fillers:
        pace_task(state, worker, task, strain, now)


def pace_task(
    state: FleetState, worker: Worker, task: Task, strain: float, now: float
) -> None:
    """Change the pace of one task, if it is time to."""
    run = task.run
    if run is None or worker.looked_at < run.paced_at + MIN_INTERVAL_S:
        # The figures are from before the last change took effect.
        return
    percent = next_percent(run.pace_percent, strain)
    if percent == run.pace_percent:
        return
    run.paced_at = now
    run.pace_percent = percent
    log(
        Event.PACE_SET,
        task=task.key.name,
        worker=worker.id,
        percent=percent,
        strain=round(strain, 2),
    )
    state.actions.append(
        SendPace(target_of(worker), task.key, run.number, percent)
    )


def next_percent(percent: int, strain: float) -> int:
    """Return the pace that follows a share of the objective in use."""
    if strain > SLOW_AT:
        slowed = int(percent * SLOW_FACTOR)
        return slowed if slowed >= STOP_BELOW_PERCENT else 0
    if strain < RELEASE_AT:
        return min(100, percent + RELEASE_STEP_PERCENT)
    return percent
