"""Choose the tasks that probe workers in quarantine.

A quarantine must not leave a job waiting beside room for it. So where no other
worker has room, a task of the job starts on one in quarantine now and then.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from primroseledge.ids import ServiceId
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Task
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.start_checks import is_capacity_known
from primroseledge.workers.worker import Worker


def may_probe(worker: Worker, now: float) -> bool:
    """Return whether only a quarantine keeps tasks from a worker.

    The worker must not have been probed recently.
    """
    quarantine = worker.quarantine
    return (
        quarantine.is_active(now)
        and now >= max(quarantine.probe_at, worker.cooldown_until)
        and worker.may_start_tasks(quarantine.ends_at)
    )


def find_probed_workers(
    state: FleetState, service: ServiceId, pool: Iterable[Worker], now: float
) -> list[Worker]:
    """Return the workers of a pool that may be probed now."""
    if not is_capacity_known(state, service, now):
        return []
    return [worker for worker in pool if may_probe(worker, now)]


def find_probe_tasks(
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
    quarantined: Sequence[Worker],
) -> list[Task]:
    """Return the tasks of a step that may probe a quarantined worker.

    These are one task or a whole gang, or none. If one of the ``workers``,
    which have no room now, could take the step later, a batch step whose job
    has runs waits for that, as does a task that has failed on each quarantined
    worker with room.
    """
    needed = step.spec.counted_resources
    with_room = {w.id for w in quarantined if w.has_capacity_for(needed)}
    if not with_room:
        return []
    waiting = [
        task
        for task in step.tasks
        if task.is_waiting and not task.needs_isolation
    ]
    if could_any_take(step.spec, workers):
        if not step.spec.is_long_running and has_runs(job):
            return []
        waiting = [t for t in waiting if with_room - t.failed_workers]
    if step.spec.is_gang:
        return waiting if len(waiting) == len(step.tasks) else []
    return waiting[:1]


def could_any_take(step: StepSpec, workers: Sequence[Worker]) -> bool:
    """Return whether a worker could take a task without its batch tasks."""
    nowhere = StepPlacement()
    return any(could_take(step, worker, nowhere) for worker in workers)


def has_runs(job: Job) -> bool:
    """Return whether a task of a job may be running."""
    return any(task.run is not None for task in job.tasks())
