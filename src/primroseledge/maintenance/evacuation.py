"""Empty a worker before its instance is taken away.

Short tasks end by themselves. Long-running ones are stopped and start
elsewhere, as far as the budget of their step allows.
"""

from typing import Final

from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker
from primroseledge.jobs.worker import WorkerState

MAX_SEEN_AGE_S: Final = 3.0
"""Looks come back within 2 s."""


def evacuate(state: FleetState, worker: Worker, now: float) -> None:
    """Stop the long-running tasks that may be unavailable now."""
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or run.is_stop_requested:
            continue
        if not task.spec.is_long_running:
            continue
        if run.phase is not RunPhase.RUNNING:
            continue
        if may_be_unavailable(state, task, now):
            state.request_stop(task)


def evacuate_draining_workers(state: FleetState, now: float) -> None:
    """Move long-running tasks away from workers that will leave."""
    for worker in state.workers.values():
        is_leaving = worker.entry.state is WorkerState.DRAINING
        if is_leaving and worker.tasks and not worker.poll_failures:
            evacuate(state, worker, now)


def may_be_unavailable(state: FleetState, task: Task, now: float) -> bool:
    """Tell whether the budget of a task's step lets it be stopped.

    Every other task that is not at work counts against the budget,
    whatever the cause. So does a task's own stop, also when it was not
    at work when it was last seen: it may be by now.
    """
    budget = task.spec.max_unavailable
    if not budget:
        return True
    job = state.jobs[task.key.job]
    step = job.steps[task.key.occurrence, task.key.step]
    away = sum(
        1
        for other in step.tasks
        if other is not task and not is_available(state, other, now)
    )
    return away < budget


def is_available(state: FleetState, task: Task, now: float) -> bool:
    """Tell whether a task is surely at work and is to stay so.

    One on a worker that has not answered for a while may be gone.
    """
    run = task.run
    if run is None or run.is_stop_requested or not task.is_serving:
        return False
    worker = state.workers.get(run.worker)
    if worker is None or worker.poll_failures or run.listed_at is None:
        return False
    if worker.entry.state is not WorkerState.READY:
        return False
    return now < run.listed_at + MAX_SEEN_AGE_S
