"""Plan the starts of one step's waiting tasks."""

from collections.abc import Sequence
from enum import Enum

from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import Task
from primroseledge.scheduling.advice_requests import divide_by_tickets
from primroseledge.scheduling.advice_requests import request_advice
from primroseledge.scheduling.advice_requests import step_pool
from primroseledge.scheduling.advice_requests import workers_for_gang
from primroseledge.scheduling.advice_requests import workers_for_tasks
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.gang_placement import place_gang
from primroseledge.scheduling.gang_placement import spread_gang
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.rack_spread import may_leave_rack
from primroseledge.scheduling.rack_spread import without_rack_rule
from primroseledge.scheduling.worker_choice import WorkerChooser
from primroseledge.workers.worker import Worker


class StepPlan(Enum):
    """The outcome of planning a step's starts.

    ``PLACED``: nothing is left to place; a gang with a task that runs or is
    done counts too.
    ``NO_CAPACITY``: no worker could take one of them. ``AVOIDING``: only
    workers on which one of them failed could take it. ``NOT_ALLOWED``: it
    waits for its workspace's limit or for the advisory service.
    ``NOT_ADVISED``: no worker that the service allows could take one of them,
    and there is none to ask about.
    """

    PLACED = 'placed'
    NO_CAPACITY = 'no capacity'
    AVOIDING = 'avoiding'
    NOT_ALLOWED = 'not allowed'
    NOT_ADVISED = 'not advised'


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
    their step from starting there. Without ``tasks``, those that may only run
    alone are left out. Where the advisory service decides, tasks start on
    workers with a ticket alone, and it is asked about others for the rest.
    """
    if tasks is None:
        tasks = [task for task in step.tasks if not task.needs_isolation]
    queue = state.queue_of(job)
    if queue is None or queue.advice is None:
        return place_step(state, job, step, tasks, workers, now)
    allowed, unasked = divide_by_tickets(state, job, step, workers, now)
    outcome = place_step(state, job, step, tasks, allowed, now, unasked)
    if outcome not in (StepPlan.NO_CAPACITY, StepPlan.AVOIDING):
        return outcome
    if step.spec.is_gang:
        named = workers_for_gang(state, job, step, workers, now)
    else:
        missing = [task for task in tasks if task.is_waiting]
        named = workers_for_tasks(state, job, step, workers, missing, now)
    request_advice(state, job, step, named, now)
    if outcome is StepPlan.AVOIDING:
        return outcome
    return StepPlan.NOT_ALLOWED if named else StepPlan.NOT_ADVISED


def place_step(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    tasks: list[Task],
    workers: list[Worker],
    now: float,
    unasked_workers: Sequence[Worker] = (),
) -> StepPlan:
    """Plan the starts of a step's waiting tasks on the given workers.

    ``unasked_workers`` may be allowed too; see ``WorkerChooser``.
    """
    if step.spec.is_gang:
        return plan_gang(state, job, step, workers, now)
    placement = count_placement(step, state.workers)
    chooser = WorkerChooser(step.spec, workers, placement, unasked_workers)
    outcome = StepPlan.PLACED
    for task in tasks:
        if not task.is_waiting:
            continue
        if not is_within_limit(state, job, step.spec.resources):
            return StepPlan.NOT_ALLOWED
        worker = chooser.choose(task)
        if worker is None and step.spec.needs_single_rack:
            pool = step_pool(state, job, step)
            worker = choose_beyond_rack(
                step, task, workers, pool, chooser, now
            )
        if worker is None and task.failed_workers:
            outcome = StepPlan.AVOIDING
            continue
        if worker is None:
            return StepPlan.NO_CAPACITY
        # plan_run() adds the run's resources to the worker, so only the
        # counts of the placement are updated here.
        state.plan_run(task, worker, now)
        placement.per_worker[worker.id] += 1
        placement.per_rack[worker.rack] += 1
        chooser.record_placement(worker)
    step.rack_wait_began_at = None
    return outcome


def choose_beyond_rack(
    step: StepOccurrence,
    task: Task,
    workers: list[Worker],
    pool: Sequence[Worker],
    chooser: WorkerChooser,
    now: float,
) -> Worker | None:
    """Return a worker outside of the step's rack, which has no room.

    None is returned if the task is to wait for the rack, or if no worker has
    room. ``chooser`` is that of the step.
    """
    placement = chooser.placement
    if not may_leave_rack(step, pool, placement, now):
        return None
    spec = without_rack_rule(step.spec)
    return WorkerChooser(spec, workers, placement).choose(task)


def plan_gang(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: list[Worker],
    now: float,
) -> StepPlan:
    """Plan the starts of all tasks of a gang, or of none.

    If one of the tasks has a run or is done, nothing is planned and the gang
    counts as placed.
    """
    if not all(task.is_waiting for task in step.tasks):
        return StepPlan.PLACED
    count = len(step.tasks)
    if not is_within_limit(state, job, step.spec.resources.times(count)):
        return StepPlan.NOT_ALLOWED
    chosen = place_gang(step.spec, workers)
    if chosen is None and step.spec.needs_single_rack:
        chosen = spread_gang(step, workers, step_pool(state, job, step), now)
    if chosen is None:
        return StepPlan.NO_CAPACITY
    step.rack_wait_began_at = None
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
