"""Record of what simulated workers did, and its check against the rules.

The rules are those that the documentation promises to callers. They are
written independently of the engine, so that a fault in the engine is not
repeated here.
"""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random

from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import SendStart

CANCEL_GRACE_S = 3.0
"""Seconds after a confirmed cancellation in which tasks may still start."""
EVACUATION_S = 5.0
"""Seconds after an evacuation was stored in which a start may be sent."""
REJECTED_EVACUATION_S = 11.0
"""Replaces ``EVACUATION_S`` for an owner that the store rejects."""
LIMIT_TOLERANCE = 1.1
"""Factor of a workspace's limit that its running tasks may reach.

The size of the largest running task is allowed on top.
"""


@dataclass
class TaskHistory:
    """The runs of a task, by run number: running, ended, and acknowledged.

    ``starts`` holds for every start the run number, the time, and the runs
    that had succeeded and failed by then. In a step that allows copies, those
    that had succeeded count only if that was acknowledged by then: a copy's
    start may be on its way when the first run ends. ``copied`` counts the
    starts while another run was running.
    """

    running: dict[int, WorkerId] = field(default_factory=dict)
    done: set[int] = field(default_factory=set)
    failed: set[int] = field(default_factory=set)
    acked: set[int] = field(default_factory=set)
    copied: int = 0
    starts: list[tuple[int, float, set[int], set[int]]] = field(
        default_factory=list
    )


class FleetRuleChecker:
    """Checks starts, ends and answers; ``violations`` lists broken rules.

    Each violation begins with the tag of its rule:

    - ``UNASKED``: a task starts whose job or payload nobody submitted, or
      more than ``CANCEL_GRACE_S`` after its job was cancelled.
    - ``REFUSED``: a task of a job runs whose submission was refused.
    - ``TWICE``: a task runs twice at a time, or again after it succeeded. In
      a step that allows copies it may run twice on two workers.
    - ``ORDER``: a task runs before a required step is done or before it is
      due.
    - ``QUOTA``: the running tasks of a workspace exceed its limit.
    - ``BUDGET``: a task runs although it failed as often as is allowed.
    - ``ZONE``: a start is sent into an evacuated zone after the time in which
      every owner must know of the evacuation.
    """

    def __init__(
        self,
        random: Random,
        limits: dict[WorkspaceId, Resources],
        max_attempts: int,
    ) -> None:
        self.random = random
        self.limits = limits
        self.max_attempts = max_attempts
        self.jobs: dict[JobId, AcceptedJob] = {}
        self.always_failing: set[JobId] = set()
        self.accepted: dict[JobId, float] = {}
        self.open_submits: collections.Counter[JobId] = collections.Counter()
        self.possibly_accepted: set[JobId] = set()
        self.cancelled: dict[JobId, float] = {}
        self.histories: dict[TaskKey, TaskHistory] = collections.defaultdict(
            TaskHistory
        )
        self.evacuated: dict[ZoneId, float] = {}
        self.violations: list[str] = []
        self.advance_workers: Callable[[float], None] = lambda _now: None
        self.start_count = 0

    def record_submit(self, job_id: JobId) -> None:
        self.open_submits[job_id] += 1

    def record_answer(self, job_id: JobId, is_refused: bool) -> None:
        self.open_submits[job_id] -= 1
        if not is_refused:
            self.possibly_accepted.add(job_id)

    def step_of(self, task: TaskKey) -> StepSpec:
        return self.jobs[task.job].spec.steps[task.step]

    def resources_of(self, task: TaskKey) -> Resources:
        return self.step_of(task).resources

    def fate_of(self, task: TaskKey, run: int) -> tuple[float | None, EndKind]:
        """Return a run's duration in seconds, and how it ends, at random.

        The duration is None for a run that does not end by itself.
        """
        step = self.step_of(task)
        if step.is_long_running:
            if self.random.random() < 0.1:
                return self.random.uniform(0.5, 5), EndKind.FAILED
            return None, EndKind.DONE
        seconds = step.estimate_ms / 1000 * self.random.uniform(0.5, 1.5)
        if task.job in self.always_failing or self.random.random() < 0.02:
            return seconds, EndKind.FAILED
        return seconds, EndKind.DONE

    def started(self, order: SendStart, worker: WorkerId, now: float) -> None:
        self.start_count += 1
        self.advance_workers(now)
        task = order.task
        history = self.histories[task]
        job = self.jobs.get(task.job)
        if job is None or job.spec.payload != order.payload:
            self.violations.append(f'UNASKED {task}')
            return
        copies = self.step_of(task).allows_copies
        history.copied += bool(history.running)
        if len(history.running) > copies or worker in (
            history.running.values()
        ):
            self.violations.append(
                f'TWICE {task} run {order.run_number} on {worker} '
                f'at {now:.3f} beside {history.running}'
            )
        history.running[order.run_number] = worker
        done = history.done & history.acked if copies else set(history.done)
        history.starts.append(
            (order.run_number, now, done, set(history.failed))
        )
        self.check_order(task, now)
        self.check_limit(job, now)
        if (
            not self.open_submits[task.job]
            and task.job not in self.possibly_accepted
        ):
            self.violations.append(f'REFUSED {task} at {now:.3f}')
        cancelled_at = self.cancelled.get(task.job)
        if cancelled_at is not None and now > cancelled_at + CANCEL_GRACE_S:
            self.violations.append(f'UNASKED {task} after its cancel')

    def check_zone(
        self, order: SendStart, zone: ZoneId, is_rejected: bool, now: float
    ) -> None:
        allowed_s = REJECTED_EVACUATION_S if is_rejected else EVACUATION_S
        evacuated_at = self.evacuated.get(zone)
        if evacuated_at is not None and now > evacuated_at + allowed_s:
            self.violations.append(
                f'ZONE {order.task} sent into {zone} at {now:.3f}, '
                f'evacuated at {evacuated_at:.3f}'
            )

    def check_order(self, task: TaskKey, now: float) -> None:
        job = self.jobs[task.job]
        for required_step in job.spec.steps[task.step].after:
            for number in range(job.spec.steps[required_step].count):
                key = TaskKey(task.job, task.occurrence, required_step, number)
                if not self.histories[key].done:
                    self.violations.append(f'ORDER {task} before {key}')
        due_ms = job.spec.due_at_ms(task.occurrence)
        if due_ms and now * 1000 < due_ms - 250:
            self.violations.append(f'ORDER {task} before its time')

    def check_limit(self, job: AcceptedJob, now: float) -> None:
        limit = self.limits.get(job.workspace)
        if limit is None:
            return
        used = NO_RESOURCES
        largest = NO_RESOURCES
        for task, history in self.histories.items():
            if not history.running:
                continue
            if self.jobs[task.job].workspace != job.workspace:
                continue
            resources = self.resources_of(task)
            used = used.plus(resources)
            if resources.cpu_millis > largest.cpu_millis:
                largest = resources
        allowed = limit.cpu_millis * LIMIT_TOLERANCE + largest.cpu_millis
        if limit.cpu_millis and used.cpu_millis > allowed:
            self.violations.append(
                f'QUOTA {job.workspace} {used.cpu_millis} at {now:.3f}'
            )

    def ended(
        self,
        task: TaskKey,
        run: int,
        worker: WorkerId,
        how: EndKind,
        now: float,
    ) -> None:
        history = self.histories[task]
        history.running.pop(run, None)
        if how is EndKind.DONE:
            history.done.add(run)
        elif how is EndKind.FAILED:
            history.failed.add(run)

    def lost(
        self, task: TaskKey, run: int, worker: WorkerId, now: float
    ) -> None:
        self.histories[task].running.pop(run, None)

    def noted(self, task: TaskKey, run: int, now: float) -> None:
        self.histories[task].acked.add(run)

    def are_all_tasks_done(self, job_id: JobId) -> bool:
        job = self.jobs[job_id]
        return all(
            self.histories[TaskKey(job_id, k, s, i)].done
            for k in range(job.spec.occurrences)
            for s, step in enumerate(job.spec.steps)
            for i in range(step.count)
        )

    def find_violations(self) -> list[str]:
        """Return all violations, including those only visible at the end.

        A start after a task's success, or after its last allowed failure,
        breaks a rule only if the owner acknowledged that result, and the
        acknowledgement may come after the start.
        """
        for task, history in self.histories.items():
            step = self.step_of(task)
            if step.is_long_running:
                continue
            if len(history.failed & history.acked) > self.max_attempts:
                self.violations.append(f'BUDGET {task} {history.failed}')
            for run, at, done_before, failed_before in history.starts:
                if done_before & history.acked:
                    self.violations.append(
                        f'TWICE {task} run {run} at {at:.3f} after it was done'
                    )
                if len(failed_before & history.acked) >= self.max_attempts:
                    self.violations.append(f'BUDGET {task} run {run}')
        return self.violations
