"""Start copies of tasks that run much longer than tasks of their kind do.

A copy is a second run of a task on another worker, in case the first one is
slow because of its worker. The first of the two that ends as done counts.
Copies use capacity that no waiting step could use, and only for steps that
allow them.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Final
from typing import NamedTuple

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.advice import step_key
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.placement import is_allowed
from primroseledge.scheduling.placement import rank_batch
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.probing import could_any_take
from primroseledge.scheduling.runtimes import corrected_ms
from primroseledge.scheduling.runtimes import Runtimes
from primroseledge.scheduling.start_checks import find_ready_workers
from primroseledge.scheduling.step_planning import is_within_limit
from primroseledge.workers.worker import Worker

MIN_MEDIANS: Final = 1.5
"""A task is not copied before it ran for this many times the median.

The runtimes of some kinds hardly differ, and a tenth of their tasks would get
a copy just before they end.
"""

MAX_COPIED_SHARE: Final = 0.1
"""Largest share of a service's running tasks that are copied at a time."""

MIN_ATTEMPTS_LEFT: Final = 2
"""Attempts that a task must have left, as both of its runs may fail."""

RECHECK_S: Final = 0.2
"""Time in s after which a task is checked again that could not be copied."""


UNKNOWN_RECHECK_S: Final = 0.5
"""Time in s after which a task is checked again of which too little is known.

It may not have begun, or too few tasks of its kind have ended.
"""


class DueCopy(NamedTuple):
    """A task that is to be copied, and since when."""

    due_at: float
    ran_s: float
    task: Task


def plan_copies(
    state: FleetState,
    unplaced: dict[ServiceId, list[StepSpec]],
    now: float,
) -> None:
    """Plan copies for the services that were just planned.

    ``unplaced`` are these services with the steps that found no capacity.
    """
    for service, steps in unplaced.items():
        checks = state.copy_checks.get(service)
        due_tasks = checks.pop_due(now) if checks else []
        if checks is None or not due_tasks:
            continue
        due_copies = list[DueCopy]()
        for task in due_tasks:
            due = find_due(state, task, now)
            if due is None:
                checks.add(task, now + UNKNOWN_RECHECK_S)
            elif now < due.due_at:
                checks.add(task, due.due_at)
            else:
                due_copies.append(due)
        due_copies.sort(key=due_time)
        if due_copies:
            plan_due_copies(state, service, steps, due_copies, now)
        for due in due_copies:
            if due.task.copy is None:
                checks.add(due.task, now + RECHECK_S)


def due_time(copy: DueCopy) -> float:
    """Return since when a task has been due to be copied."""
    return copy.due_at


def find_due(state: FleetState, task: Task, now: float) -> DueCopy | None:
    """Return when a task is to be copied; None if that is not known yet."""
    run = task.run
    if run is None or run.phase is not RunPhase.RUNNING:
        return None
    since = run.running_since
    job = state.jobs[task.key.job].accepted
    delay_ms = copy_delay_ms(state.runtimes, task.spec, job, now)
    if since is None or delay_ms is None:
        return None
    return DueCopy(since + delay_ms / 1000, now - since, task)


def copy_delay_ms(
    runtimes: Runtimes, step: StepSpec, job: AcceptedJob, now: float
) -> float | None:
    """Return after how long a task is to be copied, in ms.

    None is returned while too few runs of its kind are known: the caller's
    estimate alone says too little.
    """
    known = runtimes.find(step, job, now)
    if known is None:
        return None
    return max(
        corrected_ms(step, known.high_quantile),
        corrected_ms(step, known.median) * MIN_MEDIANS,
    )


def plan_due_copies(
    state: FleetState,
    service: ServiceId,
    unplaced: list[StepSpec],
    due_copies: list[DueCopy],
    now: float,
) -> None:
    """Plan copies of tasks as far as capacity and limits allow.

    ``due_copies`` are in the order in which they are tried, ``unplaced`` the
    steps that wait for capacity. A step that no worker could ever take keeps
    no copy from starting.
    """
    pool = [w for w in state.workers.values() if w.entry.service == service]
    workers = find_ready_workers(state, service, pool, now)
    if any(could_any_take(step, pool) for step in unplaced):
        return
    copies = count_copies(state, service)
    running = sum(len(worker.tasks) for worker in pool) - copies
    max_copies = max(1, int(running * MAX_COPIED_SHARE))
    for due in due_copies:
        if copies >= max_copies:
            return
        if len(state.planned_tasks) >= state.planning_limit:
            return
        worker = find_copy_worker(state, due.task, workers, now)
        if worker is None:
            continue
        copies += 1
        start_copy(state, due, worker, copies, max_copies, now)


def count_copies(state: FleetState, service: ServiceId) -> int:
    """Return how many copies of a service's tasks may be running."""
    return sum(
        state.service_of(state.jobs[key.job]) == service
        for key in state.copies
    )


def find_copy_worker(
    state: FleetState, task: Task, workers: Sequence[Worker], now: float
) -> Worker | None:
    """Return the worker on which a task's copy is to run, or None.

    It is none on which the task failed or has its run and, if possible, in
    another rack than that. None is returned too if the copy would exceed the
    limit of its workspace, if too few attempts are left or if a worker has
    crashed under the task, or may have.
    """
    job = state.jobs[task.key.job]
    queue = state.queue_of(job)
    run = task.run
    if run is None or queue is None or task.possible_crashes:
        return None
    if queue.max_attempts - task.failures < MIN_ATTEMPTS_LEFT:
        return None
    if not is_within_limit(state, job, task.spec.resources):
        return None
    step = job.steps[task.key.occurrence, task.key.step]
    placement = count_placement(step, state.workers)
    needed = task.spec.counted_resources
    fitting = [
        worker
        for worker in workers
        if worker.entry.service == queue.service
        and worker.id != run.worker
        and worker.id not in task.failed_workers
        and worker.has_capacity_for(needed)
        and is_allowed(task.spec, worker, placement)
    ]
    if queue.advice is not None:
        key = step_key(job.accepted.id, step)
        fitting = [
            worker
            for worker in fitting
            if state.advice.ticket_for(key, worker, now) is not None
        ]
    return min(
        fitting, key=rank_copy(state, run, step.spec, placement), default=None
    )


def rank_copy(
    state: FleetState, run: Run, step: StepSpec, placement: StepPlacement
) -> Callable[[Worker], tuple[float, ...]]:
    """Return the function that ranks workers for the copy of a run's task.

    Other racks than the run's come first, then the workers with the fewest
    copies of other runs on its worker: if that has crashed under one of them,
    the others are not to fall with it again. Then the ranks are those of any
    batch task.
    """
    worker = state.workers.get(run.worker)
    rack = worker.rack if worker else ''
    rank = rank_batch(step, placement)

    def rank_in_other_rack(worker: Worker) -> tuple[float, ...]:
        return (
            bool(rack) and worker.rack == rack,
            count_copies_from(worker, run.worker),
            *rank(worker),
        )

    return rank_in_other_rack


def count_copies_from(worker: Worker, source: WorkerId) -> int:
    """Return how many copies on a worker are of runs on another one."""
    originals = (t.copy_of for t in worker.tasks.values() if t.copy_of)
    return sum(
        original.run is not None and original.run.worker == source
        for original in originals
    )


def start_copy(
    state: FleetState,
    due: DueCopy,
    worker: Worker,
    copies: int,
    max_copies: int,
    now: float,
) -> None:
    """Plan the copy of a task on a worker, and log the decision."""
    task = due.task
    run = task.run
    copy = state.plan_copy(task, worker, now)
    log(
        Event.COPY_PLANNED,
        task=task.key.name,
        run=copy.run.number if copy.run else 0,
        worker=worker.id,
        other_run=run.number if run else 0,
        other_worker=run.worker if run else '',
        seconds=round(due.ran_s, 3),
        due=round(due.ran_s - (now - due.due_at), 3),
        copies=copies,
        limit=max_copies,
    )
