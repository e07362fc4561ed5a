"""Slow tasks that fill idle processors while they disturb others.

It answers a load that changes within seconds: when the response times
of a task with an objective come near it, the fillers beside it are
slowed in large steps; when they are well below, given back slowly.
"""

from typing import Final

from primroseledge.jobs.actions import SendThrottle
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

THROTTLE_ABOVE_RATIO: Final = 0.85
"""Share of the objective above which fillers are slowed."""

RESTORE_BELOW_RATIO: Final = 0.6
"""Share of the objective below which they get time back."""

THROTTLE_FACTOR: Final = 0.5
PAUSE_BELOW_PERCENT: Final = 15
RESTORE_STEP_PERCENT: Final = 20
MIN_THROTTLE_INTERVAL_S: Final = 0.6
"""A worker's figures cover the last half second."""


def throttle_workers(state: FleetState, now: float) -> None:
    """Change the pace of fillers where response times ask for it."""
    for worker in state.workers.values():
        if worker.tasks and not worker.poll_failures:
            throttle_worker(state, worker, now)


def throttle_worker(state: FleetState, worker: Worker, now: float) -> None:
    """Change the pace of one worker's fillers."""
    fillers = list[Task]()
    strain = 0.0
    for task in worker.tasks.values():
        run = task.run
        if run is None or run.phase is not RunPhase.RUNNING:
            continue
        if task.spec.is_best_effort:
            fillers.append(task)
        elif task.spec.target_ms:
            strain = max(strain, run.reported_load / task.spec.target_ms)
    if not fillers:
        return
    for task in fillers:
        throttle_task(state, worker, task, strain, now)


def throttle_task(
    state: FleetState,
    worker: Worker,
    task: Task,
    objective_ratio: float,
    now: float,
) -> None:
    """Change the pace of one task, if it is time to."""
    run = task.run
    if (
        run is None
        or worker.polled_at < run.throttled_at + MIN_THROTTLE_INTERVAL_S
    ):
        # The figures are from before the last change took effect.
        return
    percent = next_speed_percent(run.speed_percent, objective_ratio)
    if percent == run.speed_percent:
        return
    run.throttled_at = now
    run.speed_percent = percent
    log(
        Event.PACE_SET,
        task=task.key.name,
        worker=worker.id,
        percent=percent,
        strain=round(objective_ratio, 2),
    )
    state.actions.append(
        SendThrottle(target_of(worker), task.key, run.number, percent)
    )


def next_speed_percent(speed_percent: int, objective_ratio: float) -> int:
    """Return the pace that follows a share of the objective in use."""
    if objective_ratio > THROTTLE_ABOVE_RATIO:
        slowed = int(speed_percent * THROTTLE_FACTOR)
        return slowed if slowed >= PAUSE_BELOW_PERCENT else 0
    if objective_ratio < RESTORE_BELOW_RATIO:
        return min(100, speed_percent + RESTORE_STEP_PERCENT)
    return speed_percent
