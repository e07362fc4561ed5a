"""Plan the starts of a service's waiting tasks.

Starts follow an order (see ``start_priority``), stay within the limits of
workspaces and the room of workers. When a long-running task finds no
room, the emptiest worker takes no batch tasks until it fits.
"""

from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.advice import step_key
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.placement import choose_worker
from primroseledge.jobs.placement import count_placement
from primroseledge.jobs.placement import StepPlacement
from primroseledge.jobs.placement import used_share
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.start_priority import start_priority_of
from primroseledge.jobs.start_priority import StartPriority
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker

MAX_UNPLACED_STEPS: Final = 12
"""Steps without room after which a pass over a service ends."""

MAX_STARTS_PER_PASS: Final = 64


def plan_services(state: FleetState, now: float) -> None:
    """Plan all services in which something has changed."""
    services = state.services_to_plan
    state.services_to_plan = set()
    for service in services:
        plan_service(state, service, now)


def plan_service(state: FleetState, service: ServiceId, now: float) -> None:
    """Plan the starts of one service."""
    waiting = waiting_steps(state, service, now)
    if not waiting:
        return
    workers = [
        worker
        for worker in state.workers.values()
        if worker.entry.service == service and worker.may_start_tasks(now)
    ]
    misses = 0
    for _, job, step in waiting:
        if len(state.planned_tasks) >= MAX_STARTS_PER_PASS:
            state.services_to_plan.add(service)
            return
        if plan_step(state, job, step, workers, now):
            continue
        misses += 1
        if step.spec.is_long_running:
            workers = exclude_emptiest_worker(workers)
        if misses >= MAX_UNPLACED_STEPS:
            return


def waiting_steps(
    state: FleetState, service: ServiceId, now: float
) -> list[tuple[StartPriority, Job, StepOccurrence]]:
    """Return the service's steps with tasks to start, in order."""
    wall_ms = state.wall_ms(now)
    found = list[tuple[StartPriority, Job, StepOccurrence]]()
    for job in state.active_jobs.values():
        queue = state.queue_of(job)
        if queue is None or queue.service != service:
            continue
        for step in job.ready_steps():
            if any(task.is_waiting for task in step.tasks):
                key = start_priority_of(job, step, queue, wall_ms)
                found.append((key, job, step))
    found.sort(key=sort_key)
    return found


def sort_key(row: tuple[StartPriority, Job, StepOccurrence]) -> StartPriority:
    """Return the key of a row."""
    return row[0]


def plan_step(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    now: float,
) -> bool:
    """Plan a step's waiting tasks; tell whether all found room."""
    queue = state.queue_of(job)
    if queue is not None and queue.advice is not None:
        workers = advised_workers(state, job, step, workers, now)
    placement = count_placement(step, state.workers)
    if step.spec.is_gang:
        return plan_gang(state, job, step, workers, placement, now)
    for task in step.tasks:
        if not task.is_waiting:
            continue
        if not is_within_limit(state, job, step.spec.resources):
            return False
        worker = choose_worker(
            step.spec, exclude_failed_workers(task, workers), placement
        )
        if worker is None:
            return False
        # The worker counts the run itself; the placement only where.
        state.plan_run(task, worker, now)
        placement.per_worker[worker.id] += 1
        placement.per_rack[worker.rack] += 1
    return True


def exclude_failed_workers(task: Task, workers: list[Worker]) -> list[Worker]:
    """Leave out the workers on which a task failed, if others are left."""
    if not task.failed_on:
        return workers
    others = [w for w in workers if w.id not in task.failed_on]
    return others or workers


def advised_workers(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    now: float,
) -> list[Worker]:
    """Return the workers with a valid ticket; ask about others."""
    key = step_key(job.accepted.id, step)
    book = state.advice
    allowed = [w for w in workers if book.ticket_for(key, w, now) is not None]
    waiting = sum(1 for task in step.tasks if task.is_waiting)
    free = sum(
        1
        for w in allowed
        if step.spec.counted_resources.fits_in(w.free_capacity)
    )
    if free < waiting:
        ask = book.begin_request(step, key, workers, now)
        if ask is not None:
            state.actions.append(ask)
    return allowed


def plan_gang(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    placement: StepPlacement,
    now: float,
) -> bool:
    """Plan all tasks of a gang, or none."""
    if not all(task.is_waiting for task in step.tasks):
        return True
    count = len(step.tasks)
    if not is_within_limit(state, job, step.spec.resources.times(count)):
        return False
    pairs = list[tuple[Task, Worker]]()
    for task in step.tasks:
        worker = choose_worker(step.spec, workers, placement)
        if worker is None:
            return False
        placement.add_task(worker, step.spec)
        pairs.append((task, worker))
    # All members of a gang share the number of the run.
    last_run = max(task.last_run_number for task in step.tasks)
    checkpoint = max(task.checkpoint for task in step.tasks)
    for task, worker in pairs:
        task.last_run_number = last_run
        task.checkpoint = checkpoint
        state.plan_run(task, worker, now)
    return True


def is_within_limit(state: FleetState, job: Job, added: Resources) -> bool:
    """Tell whether a workspace may have this much more running."""
    workspace_id = job.accepted.workspace
    workspace = state.configuration.workspaces.get(workspace_id)
    if workspace is None:
        return True
    usage = state.workspace_usage(workspace_id).plus(added)
    return usage.is_within(workspace.limit)


def exclude_emptiest_worker(workers: list[Worker]) -> list[Worker]:
    """Leave out the worker that will first have room for a large task."""
    if not workers:
        return workers
    nothing = StepPlacement()
    emptiest = min(workers, key=lambda w: used_share(w, nothing))
    return [worker for worker in workers if worker is not emptiest]
