"""Evacuation of the tasks of a worker that is to go down or out of use.

Short tasks end by themselves. Long-running ones are stopped and start
again elsewhere, as far as the availability budget of their step allows.
"""

from typing import Final

from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerState

MAX_LISTING_AGE_S: Final = 3.0
"""A task that no poll has listed for this long counts as unavailable.

Polls are answered within 2 s. With a shorter limit, tasks that are running
would count as unavailable between two answers.
"""


def evacuate(state: FleetState, worker: Worker, now: float) -> None:
    """Stop a worker's long-running tasks as far as their budgets allow.

    Only tasks that are running and whose stop has not been requested yet
    are stopped.
    """
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
            state.stop_other_members(task)


def evacuate_leaving_workers(state: FleetState, now: float) -> None:
    """Evacuate workers in evacuated zones, and those listed as draining.

    Workers that do not answer polls are left out.
    """
    for worker in state.workers.values():
        is_leaving = (
            worker.is_zone_evacuated
            or worker.entry.state is WorkerState.DRAINING
        )
        if is_leaving and worker.tasks and not worker.poll_failures:
            evacuate(state, worker, now)


def may_be_unavailable(state: FleetState, task: Task, now: float) -> bool:
    """Return whether a task may be stopped within its step's budget.

    A step without a budget always allows it. The members of a gang end
    together, so that all of them have to be within the budget. Every other
    unavailable task of the step counts against the budget, whatever the cause.
    The task itself counts as one too, even if it was unavailable when it was
    last listed: it may have become available since.
    """
    budget = task.spec.max_unavailable
    if not budget:
        return True
    if task.spec.is_gang:
        return task.spec.count <= budget
    job = state.jobs[task.key.job]
    step = job.steps[task.key.occurrence, task.key.step]
    unavailable = sum(
        1
        for other in step.tasks
        if other is not task and not is_available(state, other, now)
    )
    return unavailable < budget


def is_available(state: FleetState, task: Task, now: float) -> bool:
    """Return whether a task is known to be serving and is not to be stopped.

    A task is unavailable if it does not serve yet or is to be stopped. It
    counts as unavailable, because it may be gone, if its worker is not ready,
    does not answer polls or has not listed it within ``MAX_LISTING_AGE_S``. In
    an evacuated zone it is available, as only the owner takes it away.
    """
    run = task.run
    if run is None or run.is_stop_requested or not task.is_serving:
        return False
    worker = state.workers.get(run.worker)
    if worker is None or worker.poll_failures or run.listed_at is None:
        return False
    if worker.entry.state is not WorkerState.READY:
        return False
    return now < run.listed_at + MAX_LISTING_AGE_S
