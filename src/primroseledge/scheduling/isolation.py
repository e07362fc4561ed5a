"""Start tasks under which workers crashed on workers of their own.

Other runs on such a worker could be the cause of its next crash as well, and
would fall with it. So a task that needs it starts only beside runs of its own
job and runs that the worker has outlasted already, and nothing starts there
after it. Where no worker is clear, one is kept free of other starts until the
runs on it have ended or are proven, which takes ``PROVEN_RUN_S`` at most.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final

from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.crash import PROVEN_RUN_S
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fair_shares import Row
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.placement import is_allowed
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.step_planning import plan_step
from primroseledge.scheduling.step_planning import StepPlan
from primroseledge.workers.worker import Worker

MAX_ISOLATED_SHARE: Final = 0.5
"""Largest share of a service's workers that run or wait for such tasks.

One worker may, also if that is more, and as many as a gang needs: it would
wait for ever otherwise.
"""


@dataclass(slots=True)
class IsolationPlan:
    """What is left after the starts of a service's isolated tasks.

    ``rows`` are the waiting steps of which tasks may start beside others, and
    ``workers`` those on which they may; ``unplaced`` are the steps whose tasks
    wait for a worker of their own. ``taken`` workers are given to isolated
    tasks or kept free for them, of at most ``max_taken``.
    """

    rows: list[Row]
    workers: list[Worker]
    taken: int = 0
    max_taken: int = 0
    unplaced: list[StepSpec] = field(default_factory=list)

    def has_share_left(self, step: StepSpec) -> bool:
        """Return whether one more worker may be taken for a step."""
        return step.is_gang or self.taken < self.max_taken

    def take(self, workers: Iterable[Worker]) -> None:
        """Let no other task start on some workers."""
        ids = {worker.id for worker in workers}
        self.taken += len(ids)
        self.workers = [w for w in self.workers if w.id not in ids]


def plan_isolated_starts(
    state: FleetState,
    waiting: list[Row],
    pool: Sequence[Worker],
    workers: list[Worker],
    now: float,
) -> IsolationPlan:
    """Plan the starts of a service's tasks that may only run alone.

    ``pool`` are all workers of the service, ``workers`` those on which tasks
    may start.
    """
    rows = [
        (job, step, tasks)
        for _, job, step in waiting
        if job.accepted.id in state.jobs_to_isolate
        and (tasks := find_isolated_tasks(step))
    ]
    if not rows:
        return IsolationPlan(waiting, workers)
    gangs = [step for _, step, _ in rows if step.spec.is_gang]
    plan = IsolationPlan(
        [row for row in waiting if row[2] not in gangs], workers
    )
    plan.max_taken = max(1, int(len(pool) * MAX_ISOLATED_SHARE))
    plan.taken = sum(bool(worker.isolated_tasks) for worker in pool)
    for job, step, tasks in rows:
        isolate_tasks(state, plan, job, step, tasks, now)
    return plan


def find_isolated_tasks(step: StepOccurrence) -> list[Task]:
    """Return the waiting tasks of a step that may only run alone.

    A gang starts as a whole, so one such member is enough.
    """
    waiting = [task for task in step.tasks if task.is_waiting]
    isolated = [task for task in waiting if task.needs_isolation]
    return waiting if step.spec.is_gang and isolated else isolated


def isolate_tasks(
    state: FleetState,
    plan: IsolationPlan,
    job: Job,
    step: StepOccurrence,
    tasks: list[Task],
    now: float,
) -> None:
    """Plan the starts of a step's isolated tasks, or keep a worker free.

    Workers that did not crash under one of them come first, and of these
    those without any runs.
    """
    job_id = job.accepted.id
    outcome = StepPlan.NO_CAPACITY
    for clear in group_clear_workers(plan.workers, job_id, tasks):
        if not any(task.is_waiting for task in tasks):
            break
        if not plan.has_share_left(step.spec):
            break
        outcome = plan_step(state, job, step, clear, now, tasks)
        plan.take(log_isolated_starts(tasks, clear))
    missing = [task for task in tasks if task.is_waiting]
    if not missing or outcome in (StepPlan.NOT_ALLOWED, StepPlan.NOT_ADVISED):
        return
    plan.unplaced.append(step.spec)
    count = len(missing) if step.spec.is_gang else 1
    for _ in range(count):
        kept_free = find_worker_to_clear(plan, step.spec, job_id, now)
        if kept_free is None:
            return
        plan.take([kept_free])


def group_clear_workers(
    workers: Iterable[Worker], job: JobId, tasks: Iterable[Task]
) -> list[list[Worker]]:
    """Return the workers that are clear for a job's tasks, the best first."""
    crashed = set[WorkerId]().union(*(task.crashed_workers for task in tasks))
    by_rank = collections.defaultdict[tuple[bool, ...], list[Worker]](list)
    for worker in workers:
        if is_clear(worker, job):
            rank = (worker.id in crashed, bool(worker.tasks))
            by_rank[rank].append(worker)
    return [by_rank[rank] for rank in sorted(by_rank)]


def log_isolated_starts(
    tasks: Iterable[Task], workers: Iterable[Worker]
) -> list[Worker]:
    """Log the starts that were just planned; return their workers."""
    by_id = {worker.id: worker for worker in workers}
    chosen = list[Worker]()
    for task in tasks:
        worker = by_id.get(task.run.worker) if task.run else None
        if task.run is None or worker is None:
            continue
        chosen.append(worker)
        log(
            Event.TASK_ISOLATED,
            task=task.key.name,
            run=task.run.number,
            worker=worker.id,
            crashes=task.possible_crashes,
        )
    return chosen


def is_clear(worker: Worker, job: JobId) -> bool:
    """Return whether all runs of other jobs on a worker are proven."""
    return all(
        task.key.job == job or (task.run is not None and task.run.is_proven)
        for task in worker.tasks.values()
    )


def time_to_clear(worker: Worker, job: JobId, now: float) -> float:
    """Return in how many seconds a worker is clear for a job, at the latest.

    It is 0 if it is clear already. A run that has not begun yet counts as one
    that begins now.
    """
    remaining_s = 0.0
    for task in worker.tasks.values():
        run = task.run
        if task.key.job == job or (run is not None and run.is_proven):
            continue
        since = run.running_since if run is not None else None
        ran_s = 0.0 if since is None else min(now - since, PROVEN_RUN_S)
        # A run that is old enough still has to be listed.
        remaining_s = max(remaining_s, PROVEN_RUN_S - ran_s, 1e-3)
    return remaining_s


def find_worker_to_clear(
    plan: IsolationPlan, step: StepSpec, job: JobId, now: float
) -> Worker | None:
    """Return the worker that is clear soonest and then has room for a task.

    None is returned if no worker may be kept free.
    """
    if not plan.has_share_left(step):
        return None
    nowhere = StepPlacement()
    soonest: Worker | None = None
    soonest_s = inf
    for worker in plan.workers:
        if not is_allowed(step, worker, nowhere):
            continue
        if not has_room_beside_proven(worker, step):
            continue
        clear_s = time_to_clear(worker, job, now)
        if clear_s < soonest_s:
            soonest, soonest_s = worker, clear_s
    return soonest


def has_room_beside_proven(worker: Worker, step: StepSpec) -> bool:
    """Return whether a task fits beside the runs that may stay there long."""
    needed = step.counted_resources
    for task in worker.tasks.values():
        if task.spec.is_long_running or (task.run and task.run.is_proven):
            needed = needed.plus(task.spec.counted_resources)
    return needed.fits_in(worker.entry.capacity)
