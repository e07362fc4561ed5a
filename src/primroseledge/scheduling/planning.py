"""Plan the starts of a service's waiting tasks.

Tasks start in the order of module ``start_priority``, and of ``fair_shares``
where capacity is short, within the resource limits of their workspace and the
free capacity of workers. When a long-running task fits on no worker, the
emptiest worker that could take it gets no batch tasks for the rest of the
pass. As this repeats in each pass, that worker becomes empty enough for the
long-running task.
"""

from collections.abc import Callable
from collections.abc import Iterable
from math import inf
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.attempts import find_exhausted_task
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Task
from primroseledge.scheduling.advice_requests import allowable_workers
from primroseledge.scheduling.capacity_shortage import CapacityShortage
from primroseledge.scheduling.fair_shares import order_by_shares
from primroseledge.scheduling.fair_shares import Row
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.isolation import plan_isolated_starts
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.probing import find_probe_tasks
from primroseledge.scheduling.probing import find_probed_workers
from primroseledge.scheduling.probing import has_runs
from primroseledge.scheduling.rack_spread import without_rack_rule
from primroseledge.scheduling.start_checks import find_ready_workers
from primroseledge.scheduling.start_priority import start_priority_of
from primroseledge.scheduling.start_priority import StartPriority
from primroseledge.scheduling.step_planning import plan_step
from primroseledge.scheduling.step_planning import StepPlan
from primroseledge.workers.worker import Worker

MIN_PLANNED_STARTS: Final = 64
"""Least number of planned starts at which a planning pass ends."""

MAX_PLANNED_STARTS: Final = 200
"""Largest number of planned starts at which a planning pass ends.

Nothing else is done meanwhile: polls and answers wait for the end of a pass.
"""

PLANNED_STARTS_PER_S: Final = 3_200
"""Starts that a pass may plan for each second since the pass before it.

Passes wait for the store: the slower it is, the more starts each has to plan.
"""

WITHOUT_CAPACITY: Final = (StepPlan.NO_CAPACITY, StepPlan.AVOIDING)
"""Outcomes after which a step waits for capacity."""

WITHOUT_WORKER: Final = (*WITHOUT_CAPACITY, StepPlan.NOT_ADVISED)
"""Outcomes after which a step may probe a worker in quarantine."""


def find_planning_limit(elapsed_s: float) -> int:
    """Return the number of planned starts at which a planning pass ends.

    ``elapsed_s`` is the time since the last pass, in seconds. A planned start
    of any service counts until its job's record is in a batch for the store.
    The number is checked before each step, so a pass may exceed it by the
    tasks of one step. The service is planned again in the next pass.
    """
    starts = min(MAX_PLANNED_STARTS, elapsed_s * PLANNED_STARTS_PER_S)
    return max(MIN_PLANNED_STARTS, int(starts))


def plan_services(
    state: FleetState, now: float
) -> dict[ServiceId, list[StepSpec]]:
    """Plan the starts for all services marked in ``services_to_plan``.

    Returns these services with the steps that found no capacity. A service is
    missing in it if its pass ended early.

    Services take turns, as one with many tasks to start may reach
    ``planning_limit`` in each pass: that whose last start was planned before
    those of the others comes first.
    """
    state.planning_limit = find_planning_limit(now - state.planned_at)
    state.planned_at = now
    state.is_planning_cut = False
    services = state.services_to_plan
    state.services_to_plan = set()
    unplaced = dict[ServiceId, list[StepSpec]]()
    for service in sorted(services, key=turn_of(state)):
        planned_before = len(state.planned_tasks)
        steps = plan_service(state, service, now)
        if len(state.planned_tasks) > planned_before:
            state.last_start_planned_at[service] = now
        if steps is not None:
            unplaced[service] = steps
    return unplaced


def turn_of(
    state: FleetState,
) -> Callable[[ServiceId], tuple[float, ServiceId]]:
    """Return the sort key of services in the order of their turns."""
    planned_at = state.last_start_planned_at
    return lambda service: (planned_at.get(service, -inf), service)


def plan_service(
    state: FleetState, service: ServiceId, now: float
) -> list[StepSpec] | None:
    """Plan the starts of one service's waiting tasks.

    Returns the steps that found no capacity, or None if the pass ended early.
    The pass ends at ``planning_limit``. A step is left out where
    ``CapacityShortage`` says so.
    """
    waiting = waiting_steps(state, service, now)
    if not waiting:
        return []
    unplaced = list[StepSpec]()
    pool = [w for w in state.workers.values() if w.entry.service == service]
    ready = find_ready_workers(state, service, pool, now)
    isolation = plan_isolated_starts(state, waiting, pool, ready, now)
    workers = isolation.workers
    unplaced += isolation.unplaced
    quarantined = find_probed_workers(state, service, pool, now)
    to_probe = list[tuple[Job, StepOccurrence]]()
    batch_workers = workers
    shortage = CapacityShortage(workers)
    for _, job, step in order_by_shares(isolation.rows, state, workers, now):
        if len(state.planned_tasks) >= state.planning_limit:
            state.services_to_plan.add(service)
            state.is_planning_cut = True
            plan_probes(state, to_probe, workers, quarantined, now)
            return None
        if shortage.affects(step):
            unplaced.append(step.spec)
            to_probe.append((job, step))
            continue
        is_batch = not step.spec.is_long_running
        allowed = batch_workers if is_batch else workers
        outcome = plan_step(state, job, step, allowed, now)
        if outcome in WITHOUT_WORKER:
            to_probe.append((job, step))
        if outcome not in WITHOUT_CAPACITY:
            continue
        unplaced.append(step.spec)
        if outcome is StepPlan.AVOIDING:
            shortage.count(step)
            continue
        shortage.record(step)
        if is_batch or shortage.excluded >= shortage.max_excluded:
            continue
        kept_free = find_worker_to_keep_free(state, step, batch_workers)
        if kept_free is not None:
            shortage.excluded += 1
            batch_workers = [w for w in batch_workers if w is not kept_free]
    plan_probes(state, to_probe, workers, quarantined, now)
    shortage.end_pass(step for _, _, step in waiting)
    return unplaced


def plan_probes(
    state: FleetState,
    rows: list[tuple[Job, StepOccurrence]],
    workers: list[Worker],
    quarantined: list[Worker],
    now: float,
) -> None:
    """Plan probes for the steps that found no capacity, in their order.

    Jobs that have no run come first: those may wait for nothing else.
    """
    if not quarantined:
        return
    for job, step in sorted(rows, key=lambda row: has_runs(row[0])):
        plan_probe(state, job, step, workers, quarantined, now)


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
    probed = find_probe_tasks(
        job,
        step,
        allowable_workers(state, job, step, workers),
        allowable_workers(state, job, step, quarantined),
    )
    if not probed:
        return
    plan_step(state, job, step, quarantined, now, probed)
    for task in probed:
        worker = state.workers.get(task.run.worker) if task.run else None
        if worker in quarantined:
            worker.quarantine.record_probe(now)
            quarantined.remove(worker)


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
        exhausted = find_exhausted(steps, queue)
        if exhausted is not None:
            # It failed while its queue was away, or had more attempts.
            state.exhausted_tasks.append(exhausted)
            continue
        estimates_ms = state.runtimes.estimates_ms(job.accepted, now)
        for step in steps:
            key = start_priority_of(job, step, queue, wall_ms, estimates_ms)
            found.append((key, job, step))
    found.sort(key=sort_key)
    return found


def find_exhausted(
    steps: Iterable[StepOccurrence], queue: Queue
) -> Task | None:
    """Return a task of a job's waiting steps that may not start again."""
    found = (find_exhausted_task(step, queue.max_attempts) for step in steps)
    return next((task for task in found if task is not None), None)


def sort_key(row: Row) -> StartPriority:
    """Return the sort key of a row of ``waiting_steps``, its priority."""
    return row[0]


def find_worker_to_keep_free(
    state: FleetState, step: StepOccurrence, workers: list[Worker]
) -> Worker | None:
    """Return the worker on which a long-running step may start soonest.

    It is the emptiest of those that could take one of its tasks beside their
    long-running ones. None is returned if there is no such worker: then batch
    tasks don't keep the step from starting.
    """
    placement = count_placement(step, state.workers)
    emptiest_first = sorted(workers, key=StepPlacement().used_share)
    specs = [step.spec]
    if step.spec.needs_single_rack:
        specs.append(without_rack_rule(step.spec))
    for spec in specs:
        for worker in emptiest_first:
            if could_take(spec, worker, placement):
                return worker
    return None
