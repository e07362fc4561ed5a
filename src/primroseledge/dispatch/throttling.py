"""Throttle best-effort tasks that slow down other tasks on their worker.

The load of a task with a response-time objective changes within seconds.
When its tail latency comes close to the objective, the best-effort tasks
on the same worker are slowed in large steps. When it is well below, their
speed is restored in small steps.
"""

from typing import Final

from primroseledge.dispatch.ends import find_task
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.scheduling.actions import target_of
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker

THROTTLE_ABOVE_RATIO: Final = 0.85
"""Fraction of the objective above which best-effort tasks are slowed."""

RESTORE_BELOW_RATIO: Final = 0.6
"""Fraction of the objective below which best-effort tasks get faster again."""

THROTTLE_FACTOR: Final = 0.5
"""Factor by which the speed of a best-effort task is reduced at a time."""

PAUSE_BELOW_PERCENT: Final = 15
"""Speed in percent below which a best-effort task is paused instead."""

RESTORE_STEP_PERCENT: Final = 20
"""Percentage points of full speed that are restored at a time."""

MIN_THROTTLE_INTERVAL_S: Final = 0.6
"""Least time in s from a change of speed to the poll for the next change.

Workers report the latency of the last 0.5 s; an earlier report still
contains requests from before the change.
"""


def throttle_workers(state: FleetState, now: float) -> None:
    """Adjust the speed of best-effort tasks on all workers that have some.

    Workers that don't answer polls are left out.
    """
    for worker_id in list(state.best_effort_workers):
        worker = state.workers.get(worker_id)
        if worker is None or not worker.best_effort_count:
            del state.best_effort_workers[worker_id]
        elif not worker.poll_failures:
            throttle_worker(state, worker, now)


def throttle_worker(state: FleetState, worker: Worker, now: float) -> None:
    """Adjust the speed of the best-effort tasks on one worker.

    The speed depends on the task whose tail latency is the highest in
    relation to its objective. If no task there has an objective, the speed
    is restored.
    """
    best_effort_tasks = list[Task]()
    objective_ratio = 0.0
    for task in worker.tasks.values():
        run = task.run
        if run is None or run.phase is not RunPhase.RUNNING:
            continue
        if task.spec.is_best_effort:
            best_effort_tasks.append(task)
        elif task.spec.target_ms:
            objective_ratio = max(
                objective_ratio, run.reported_load / task.spec.target_ms
            )
    if not best_effort_tasks:
        return
    for task in best_effort_tasks:
        throttle_task(state, worker, task, objective_ratio, now)


def throttle_task(
    state: FleetState,
    worker: Worker,
    task: Task,
    objective_ratio: float,
    now: float,
) -> None:
    """Adjust the speed of one best-effort task.

    ``objective_ratio`` is the tail latency divided by the objective.
    Nothing is sent if the speed stays the same, as the worker confirmed it,
    or was changed less than ``MIN_THROTTLE_INTERVAL_S`` before the last poll.
    """
    run = task.run
    if (
        run is None
        or worker.last_poll_ended_at
        < run.throttled_at + MIN_THROTTLE_INTERVAL_S
    ):
        # The reported latency is from before the last change took effect.
        return
    percent = next_speed_percent(run.speed_percent, objective_ratio)
    if percent == run.speed_percent and run.is_speed_confirmed:
        return
    run.throttled_at = now
    run.speed_percent = percent
    run.is_speed_confirmed = False
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


def handle_throttle_answer(state: FleetState, answer: OrderEnded) -> None:
    """Note that a worker has confirmed a run's speed, if it has.

    Any other speed than the last one that was ordered is ignored, as is an
    order that was meant for an earlier boot.
    """
    order = answer.order
    task = find_task(state, order.task, order.run_number)
    run = task.run if task else None
    if run is None or not isinstance(order, SendThrottle):
        return
    if (run.number, run.boot) != (order.run_number, order.target.boot):
        return
    is_done = answer.result is OrderResult.DONE
    if is_done and order.speed_percent == run.speed_percent:
        run.is_speed_confirmed = True


def next_speed_percent(speed_percent: int, objective_ratio: float) -> int:
    """Return the next speed of a best-effort task, in percent.

    ``objective_ratio`` is the tail latency divided by the objective.
    """
    if objective_ratio > THROTTLE_ABOVE_RATIO:
        reduced = int(speed_percent * THROTTLE_FACTOR)
        return reduced if reduced >= PAUSE_BELOW_PERCENT else 0
    if objective_ratio < RESTORE_BELOW_RATIO:
        return min(100, speed_percent + RESTORE_STEP_PERCENT)
    return speed_percent
