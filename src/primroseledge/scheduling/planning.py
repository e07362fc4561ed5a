"""Plan the starts of a service's waiting tasks.

Tasks start in the order of module ``start_priority``, and of ``fair_shares``
where capacity is short, within the resource limits of their workspace and the
free capacity of workers. When a long-running task fits on no worker, the
emptiest worker that could take it gets no batch tasks for the rest of the
pass. As this repeats in each pass, that worker becomes empty enough for the
long-running task.
"""

from collections import Counter
from enum import Enum
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Task
from primroseledge.scheduling.advice import step_key
from primroseledge.scheduling.capacity_shortage import CapacityShortage
from primroseledge.scheduling.fair_shares import order_by_shares
from primroseledge.scheduling.fair_shares import Row
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.gang_placement import place_gang
from primroseledge.scheduling.gang_placement import spread_gang
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.probing import find_probe_tasks
from primroseledge.scheduling.probing import may_probe
from primroseledge.scheduling.start_priority import start_priority_of
from primroseledge.scheduling.start_priority import StartPriority
from primroseledge.scheduling.worker_choice import WorkerChooser
from primroseledge.workers.worker import Worker

MAX_PLANNED_STARTS: Final = 64
"""Number of planned starts at which a planning pass ends.

A planned start of any service counts until its job's record is in a batch for
the store. The number is checked before each step, so a pass may exceed it by
the tasks of one step. The service is planned again in the next pass.
"""


def plan_services(
    state: FleetState, now: float
) -> dict[ServiceId, list[StepSpec]]:
    """Plan the starts for all services marked in ``services_to_plan``.

    Returns these services with the steps that found no capacity. A service is
    missing in it if its pass ended early.

    Those with the fewest planned starts come first: a service with many tasks
    to start would otherwise reach ``MAX_PLANNED_STARTS`` in each pass.
    """
    planned = Counter(
        state.service_of(state.jobs[task.key.job])
        for task in state.planned_tasks
    )
    services = state.services_to_plan
    state.services_to_plan = set()
    unplaced = dict[ServiceId, list[StepSpec]]()
    for service in sorted(services, key=lambda id: (planned[id], id)):
        steps = plan_service(state, service, now)
        if steps is not None:
            unplaced[service] = steps
    return unplaced


def plan_service(
    state: FleetState, service: ServiceId, now: float
) -> list[StepSpec] | None:
    """Plan the starts of one service's waiting tasks.

    Returns the steps that found no capacity, or None if the pass ended early.
    The pass ends at ``MAX_PLANNED_STARTS``. A step is left out where
    ``CapacityShortage`` says so.
    """
    waiting = waiting_steps(state, service, now)
    if not waiting:
        return []
    unplaced = list[StepSpec]()
    pool = [w for w in state.workers.values() if w.entry.service == service]
    workers = [worker for worker in pool if worker.may_start_tasks(now)]
    quarantined = [worker for worker in pool if may_probe(worker, now)]
    batch_workers = workers
    shortage = CapacityShortage(workers)
    for _, job, step in order_by_shares(waiting, state, workers, now):
        if len(state.planned_tasks) >= MAX_PLANNED_STARTS:
            state.services_to_plan.add(service)
            return None
        if shortage.affects(step):
            unplaced.append(step.spec)
            plan_probe(state, job, step, workers, quarantined, now)
            continue
        is_batch = not step.spec.is_long_running
        allowed = batch_workers if is_batch else workers
        outcome = plan_step(state, job, step, allowed, now)
        if outcome in (StepPlan.NO_CAPACITY, StepPlan.AVOIDING):
            unplaced.append(step.spec)
            plan_probe(state, job, step, workers, quarantined, now)
        if outcome is StepPlan.AVOIDING:
            shortage.count(step)
        if outcome is not StepPlan.NO_CAPACITY:
            continue
        shortage.record(step)
        if is_batch or shortage.excluded >= shortage.max_excluded:
            continue
        kept_free = find_worker_to_keep_free(state, step, batch_workers)
        if kept_free is not None:
            shortage.excluded += 1
            batch_workers = [w for w in batch_workers if w is not kept_free]
    shortage.end_pass(step for _, _, step in waiting)
    return unplaced


def plan_probe(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    quarantined: list[Worker],
    now: float,
) -> None:
    """Plan a start of a step on a worker in quarantine, as no other has room.

    ``quarantined`` are the workers that may be probed; those that get a task
    are removed from it.
    """
    probed = find_probe_tasks(job, step, workers, quarantined)
    if not probed:
        return
    plan_step(state, job, step, quarantined, now, probed)
    for task in probed:
        worker = state.workers.get(task.run.worker) if task.run else None
        if worker in quarantined:
            worker.quarantine.record_probe(now)
            quarantined.remove(worker)


class StepPlan(Enum):
    """The outcome of planning a step's starts.

    ``PLACED``: nothing is left to place; a gang with a task that runs or is
    done counts too.
    ``NO_CAPACITY``: no worker could take one of them. ``AVOIDING``: only
    workers on which one of them failed could take it. ``NOT_ALLOWED``: it
    waits for its workspace's limit or for the advisory service.
    """

    PLACED = 'placed'
    NO_CAPACITY = 'no capacity'
    AVOIDING = 'avoiding'
    NOT_ALLOWED = 'not allowed'


def waiting_steps(
    state: FleetState, service: ServiceId, now: float
) -> list[Row]:
    """Return a service's steps with tasks to start, the most urgent first.

    Jobs without such a step are removed from ``waiting_jobs``;
    ``request_planning`` adds them again when they may have one.
    """
    wall_ms = state.wall_ms(now)
    found = list[Row]()
    waiting_jobs = state.waiting_jobs.get(service, {})
    for job in list(waiting_jobs.values()):
        queue = state.queue_of(job)
        steps = list(job.waiting_steps())
        if queue is None or queue.service != service or not steps:
            del waiting_jobs[job.accepted.id]
            continue
        estimates_ms = state.runtimes.estimates_ms(job.accepted, now)
        for step in steps:
            key = start_priority_of(job, step, queue, wall_ms, estimates_ms)
            found.append((key, job, step))
    found.sort(key=sort_key)
    return found


def sort_key(row: Row) -> StartPriority:
    """Return the sort key of a row of ``waiting_steps``, its priority."""
    return row[0]


def plan_step(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    now: float,
    tasks: list[Task] | None = None,
) -> StepPlan:
    """Plan the starts of a step's waiting tasks, or of some of them.

    If a task cannot be placed, the tasks before it stay planned; of a gang,
    no task is planned then. Tasks that avoid workers don't keep the others of
    their step from starting there.
    """
    queue = state.queue_of(job)
    no_worker = StepPlan.NO_CAPACITY
    if queue is not None and queue.advice is not None:
        count = step.spec.count if step.spec.is_gang else 1
        if not is_within_limit(state, job, step.spec.resources.times(count)):
            return StepPlan.NOT_ALLOWED
        workers = advised_workers(state, job, step, workers, now)
        no_worker = StepPlan.NOT_ALLOWED
    if step.spec.is_gang:
        return plan_gang(state, job, step, workers, no_worker, now)
    placement = count_placement(step, state.workers)
    chooser = WorkerChooser(step.spec, workers, placement)
    outcome = StepPlan.PLACED
    for task in step.tasks if tasks is None else tasks:
        if not task.is_waiting:
            continue
        if not is_within_limit(state, job, step.spec.resources):
            return StepPlan.NOT_ALLOWED
        worker = chooser.choose(task)
        if worker is None and task.failed_workers:
            outcome = StepPlan.AVOIDING
            continue
        if worker is None:
            return no_worker
        # plan_run() adds the run's resources to the worker, so only the
        # counts of the placement are updated here.
        state.plan_run(task, worker, now)
        placement.per_worker[worker.id] += 1
        placement.per_rack[worker.rack] += 1
        chooser.record_placement(worker)
    return outcome


def advised_workers(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    now: float,
) -> list[Worker]:
    """Return the workers for which a step holds a valid ticket.

    If fewer of them have capacity for a task than tasks are waiting, a
    request to the advisory service about other workers is added to the
    actions.
    """
    key = step_key(job.accepted.id, step)
    advice = state.advice
    allowed = [
        w for w in workers if advice.ticket_for(key, w, now) is not None
    ]
    waiting_count = sum(1 for task in step.tasks if task.is_waiting)
    free_count = sum(
        1 for w in allowed if w.has_capacity_for(step.spec.counted_resources)
    )
    if free_count < waiting_count:
        request = advice.begin_request(step, key, workers, now)
        if request is not None:
            state.actions.append(request)
    return allowed


def plan_gang(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    no_worker: StepPlan,
    now: float,
) -> StepPlan:
    """Plan the starts of all tasks of a gang, or of none.

    Returns ``no_worker`` if there is none for one of them. If one of the
    tasks has a run or is done, nothing is planned and the gang counts as
    placed.
    """
    if not all(task.is_waiting for task in step.tasks):
        return StepPlan.PLACED
    count = len(step.tasks)
    if not is_within_limit(state, job, step.spec.resources.times(count)):
        return StepPlan.NOT_ALLOWED
    chosen = place_gang(step.spec, workers)
    if chosen is None and step.spec.needs_single_rack:
        service = state.service_of(job)
        pool = [
            worker
            for worker in state.workers.values()
            if worker.entry.service == service
            and worker.is_listed
            and not worker.is_zone_evacuated
        ]
        chosen = spread_gang(step.spec, workers, pool)
    if chosen is None:
        return no_worker
    # All tasks of a gang get the same run number and start from the same
    # checkpoint.
    last_run = max(task.last_run_number for task in step.tasks)
    checkpoint = max(task.checkpoint for task in step.tasks)
    for task, worker in zip(step.tasks, chosen, strict=True):
        task.last_run_number = last_run
        task.checkpoint = checkpoint
        state.plan_run(task, worker, now)
    return StepPlan.PLACED


def is_within_limit(state: FleetState, job: Job, added: Resources) -> bool:
    """Return whether a job's workspace may use more resources.

    ``added`` are the resources to be added by the next start. A workspace that
    is not configured has no limit.
    """
    workspace_id = job.accepted.workspace
    workspace = state.configuration.workspaces.get(workspace_id)
    if workspace is None:
        return True
    usage = state.workspace_usage(workspace_id).plus(added)
    return usage.is_within(workspace.limit)


def find_worker_to_keep_free(
    state: FleetState, step: StepOccurrence, workers: list[Worker]
) -> Worker | None:
    """Return the worker on which a long-running step may start soonest.

    It is the emptiest of those that could take one of its tasks beside their
    long-running ones. None is returned if there is no such worker: then batch
    tasks don't keep the step from starting.
    """
    placement = count_placement(step, state.workers)
    for worker in sorted(workers, key=StepPlacement().used_share):
        if could_take(step.spec, worker, placement):
            return worker
    return None
