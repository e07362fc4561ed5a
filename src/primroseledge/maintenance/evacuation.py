"""Empty a worker before its instance is taken away.

Short tasks end by themselves. Long-running ones are stopped and start
elsewhere, as far as the budget of their step allows.
"""

from primroseledge.jobs.fleetstate import FleetState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker


def evacuate(state: FleetState, worker: Worker) -> None:
    """Stop the long-running tasks that may be unavailable now."""
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or run.is_stop_wanted:
            continue
        if not task.step.is_long_running:
            continue
        if run.phase is not RunPhase.RUNNING:
            continue
        if may_be_unavailable(state, task):
            state.stop_run(task)


def may_be_unavailable(state: FleetState, task: Task) -> bool:
    """Tell whether the budget of a task's step lets it be stopped.

    Every other task that is not at work counts against the budget,
    whatever the cause.
    """
    budget = task.step.max_unavailable
    if not budget or not task.is_at_work:
        return True
    job = state.jobs[task.key.job]
    step = job.steps[task.key.occurrence, task.key.step]
    away = sum(
        1
        for other in step.tasks
        if other is not task and not is_available(other)
    )
    return away < budget


def is_available(task: Task) -> bool:
    """Tell whether a task is at work and is to stay so."""
    run = task.run
    return run is not None and task.is_at_work and not run.is_stop_wanted
