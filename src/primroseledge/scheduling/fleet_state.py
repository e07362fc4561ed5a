"""The owner's state: jobs, workers, and the changes to be stored."""

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.silent_loss import SilentLoss
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import target_of
from primroseledge.scheduling.advice import AdviceCache
from primroseledge.scheduling.arrival_rate import ArrivalRate
from primroseledge.scheduling.copy_checks import CopyChecks
from primroseledge.scheduling.runtimes import Runtimes
from primroseledge.scheduling.share_state import FairShares
from primroseledge.scheduling.share_state import ShareUsage
from primroseledge.scheduling.timing import Timing
from primroseledge.workers.worker import Worker


class UnstoredEnd(NamedTuple):
    """The number of a handled run end, and the job whose record it changed."""

    number: int
    job: JobId


@dataclass(slots=True)
class FleetState:
    """All jobs and workers of the owner, and its pending changes and actions.

    ``jobs`` holds all jobs, ``active_jobs`` those without a final state, and
    ``usage`` the resources of each workspace's runs. ``dirty_jobs`` are the
    jobs whose records have to be stored, ``dirty_since`` is when the first
    of these changes was made. ``planned_tasks`` are the tasks whose start,
    and ``pending_answers`` the answers to callers, that wait for the next
    batch of records to be stored. ``services_to_plan`` are the services that
    may have tasks to start, and ``waiting_jobs`` their jobs that may have
    some. ``actions`` are the actions to be carried out next.
    ``unstored_ends`` are the handled run ends whose effect is in no batch yet,
    in the order of their numbers. ``workers_to_check`` may have become due for
    a poll or a stop; all workers were last checked for that at
    ``workers_checked_at``. ``workers_listed_at`` is when the read of the
    newest list of workers began.
    ``ended_boots`` contains, by worker, the boots that ended with a
    maintenance or a move; the platform may still list these boots.
    ``fair_shares`` has the usage, the shares and the credits of workspaces.
    ``took_over_at`` is when this instance became the owner, ``replanned_at``
    when all services were last planned. The last planning pass was at
    ``planned_at`` and was to end at ``planning_limit`` planned starts, which
    ``is_planning_cut`` says it did;
    ``last_start_planned_at`` is when a service last got a start.
    ``wall_offset_s`` is added to the owner's clock to get the wall-clock time.
    Nothing starts on workers of the ``evacuated_zones``. ``copies`` are the
    copies of tasks that are planned or may be running, ``held_tasks`` those
    that are done and whose other run may still start, see ``hold_ends``.
    ``jobs_to_isolate`` are the jobs with a task that may only run on a worker
    of its own. ``exhausted_tasks`` were found without an attempt left as their
    start was planned; their jobs have failed. ``silent_losses`` are those of
    silent workers, by the worker's address. ``best_effort_workers`` includes
    all with best-effort tasks.
    """

    configuration: Configuration
    took_over_at: float
    timing: Timing = Timing()
    wall_offset_s: float = 0.0
    jobs: dict[JobId, Job] = field(default_factory=dict)
    active_jobs: dict[JobId, Job] = field(default_factory=dict)
    workers: dict[WorkerId, Worker] = field(default_factory=dict)
    usage: dict[WorkspaceId, Resources] = field(default_factory=dict)
    dirty_jobs: dict[JobId, None] = field(default_factory=dict)
    planned_tasks: list[Task] = field(default_factory=list)
    pending_answers: dict[JobId, list[SendAnswer]] = field(
        default_factory=dict
    )
    services_to_plan: set[ServiceId] = field(default_factory=set)
    waiting_jobs: dict[ServiceId, dict[JobId, Job]] = field(
        default_factory=dict
    )
    unstored_ends: dict[WorkerId, deque[UnstoredEnd]] = field(
        default_factory=dict
    )
    workers_to_check: set[WorkerId] = field(default_factory=set)
    workers_checked_at: float = -inf
    workers_listed_at: float = -inf
    actions: list[Action] = field(default_factory=list)
    dirty_since: float | None = None
    replanned_at: float = 0.0
    planned_at: float = -inf
    planning_limit: int = 0
    is_planning_cut: bool = False
    last_start_planned_at: dict[ServiceId, float] = field(default_factory=dict)
    evacuated_zones: frozenset[ZoneId] = frozenset()
    ended_boots: dict[WorkerId, Boot] = field(default_factory=dict)
    advice: AdviceCache = field(default_factory=AdviceCache)
    arrival_rates: dict[ServiceId, ArrivalRate] = field(default_factory=dict)
    runtimes: Runtimes = field(default_factory=Runtimes)
    fair_shares: FairShares = field(default_factory=FairShares)
    copies: dict[TaskKey, Task] = field(default_factory=dict)
    copy_checks: dict[ServiceId, CopyChecks] = field(default_factory=dict)
    held_tasks: dict[JobId, list[Task]] = field(default_factory=dict)
    jobs_to_isolate: set[JobId] = field(default_factory=set)
    exhausted_tasks: list[Task] = field(default_factory=list)
    silent_losses: dict[str, SilentLoss] = field(default_factory=dict)
    best_effort_workers: dict[WorkerId, None] = field(default_factory=dict)

    def wall_ms(self, now: float) -> int:
        """Return the wall-clock time at ``now``, in ms since 1970."""
        return int((now + self.wall_offset_s) * 1000)

    def queue_of(self, job: Job) -> Queue | None:
        """Return a job's queue, or None if it is no longer configured."""
        return self.configuration.queues.get(job.accepted.queue)

    def service_of(self, job: Job) -> ServiceId | None:
        """Return the service whose workers run a job.

        None is returned if the job's queue is no longer configured.
        """
        queue = self.queue_of(job)
        return queue.service if queue else None

    def mark_dirty(self, job: Job, now: float) -> None:
        """Record that a job has changed and has to be stored."""
        self.dirty_jobs[job.accepted.id] = None
        if self.dirty_since is None:
            self.dirty_since = now

    def request_planning(self, job: Job) -> None:
        """Mark a job and its service, as it may have tasks to start."""
        service = self.service_of(job)
        if service is not None:
            self.services_to_plan.add(service)
            jobs = self.waiting_jobs.setdefault(service, {})
            jobs[job.accepted.id] = job

    def request_planning_of_all(self) -> None:
        """Mark all services and all active jobs for planning."""
        self.services_to_plan.update(self.configuration.services)
        self.waiting_jobs.clear()
        for job in self.active_jobs.values():
            self.request_planning(job)

    def open_due_occurrences(self, now: float) -> None:
        """Create the steps of repeated jobs whose next occurrence is due.

        An occurrence is one of the repetitions of such a job.
        """
        wall_ms = self.wall_ms(now)
        for job in self.active_jobs.values():
            if not job.accepted.spec.repetitions:
                continue
            before = len(job.steps)
            job.open_due_steps(wall_ms)
            if len(job.steps) > before:
                self.request_planning(job)

    def workspace_usage(self, workspace: WorkspaceId) -> Resources:
        """Return the resources of a workspace's planned and running tasks."""
        return self.usage.get(workspace, NO_RESOURCES)

    def record_end(self, worker: Worker, number: int, job: JobId) -> None:
        """Record that a run end was handled, whose effect is to be stored."""
        worker.handled_end_number = number
        ends = self.unstored_ends.setdefault(worker.id, deque())
        ends.append(UnstoredEnd(number, job))

    def plan_run(self, task: Task, worker: Worker, now: float) -> None:
        """Assign a task to a worker as a new run.

        Its resources count as used at once. Its start is sent only after the
        job's record is stored.
        """
        task.last_run_number += 1
        task.run = Run(task.last_run_number, worker.id, worker.entry.boot)
        self.add_planned_run(task, worker, now)
        self.expect_copy(task, now)

    def plan_copy(self, task: Task, worker: Worker, now: float) -> Task:
        """Plan a second run of a task on another worker; return the copy.

        As with ``plan_run``, its start is sent only after it is stored.
        """
        task.last_run_number += 1
        run = Run(task.last_run_number, worker.id, worker.entry.boot)
        copy = task.add_copy(run)
        self.add_planned_run(copy, worker, now)
        return copy

    def add_planned_run(self, task: Task, worker: Worker, now: float) -> None:
        """Count a planned run as used, and have its start stored and sent."""
        self.add_run_usage(task, worker)
        self.planned_tasks.append(task)
        self.mark_dirty(self.jobs[task.key.job], now)

    def expect_copy(self, task: Task, now: float) -> None:
        """Have it checked from now on whether a task is to get a copy."""
        service = self.service_of(self.jobs[task.key.job])
        if service is None or not task.spec.allows_copies:
            return
        checks = self.copy_checks.setdefault(service, CopyChecks())
        checks.add(task, now)

    def add_run_usage(self, task: Task, worker: Worker) -> None:
        """Add the resources of a task's run to its worker and workspace."""
        worker.add_task(task)
        if task.spec.is_best_effort:
            self.best_effort_workers[worker.id] = None
        if task.copy_of is not None:
            self.copies[task.key] = task
        self.workers_to_check.add(worker.id)
        job = self.jobs[task.key.job]
        workspace = job.accepted.workspace
        self.usage[workspace] = self.workspace_usage(workspace).plus(
            task.spec.resources
        )
        self.fair_shares.usage.add(
            self.service_of(job), workspace, task.spec.counted_resources
        )

    def recount_share_usage(self) -> None:
        """Count the runs by service again, as queues may have changed it."""
        self.fair_shares.usage = ShareUsage()
        for worker in self.workers.values():
            for task in worker.tasks.values():
                job = self.jobs[task.key.job]
                self.fair_shares.usage.add(
                    self.service_of(job),
                    job.accepted.workspace,
                    task.spec.counted_resources,
                )

    def finish_run(self, task: Task, now: float) -> None:
        """Remove a task's run, which can no longer be running.

        Its resources are released. The task may be planned again, or goes on
        with the run of its copy if it has one.
        """
        run = task.run
        if run is None:
            return
        task.run = None
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.remove_task(task)
            self.services_to_plan.add(worker.entry.service)
        job = self.jobs[task.key.job]
        workspace = job.accepted.workspace
        self.usage[workspace] = self.workspace_usage(workspace).minus(
            task.spec.resources
        )
        self.fair_shares.usage.remove(
            self.service_of(job), workspace, task.spec.counted_resources
        )
        self.mark_dirty(job, now)
        self.request_planning(job)
        if task.copy_of is not None:
            task.copy_of.copy = None
            del self.copies[task.key]
            self.expect_copy(task.copy_of, now)
        elif task.copy is not None:
            self.continue_with_copy(task, task.copy, now)

    def continue_with_copy(self, task: Task, copy: Task, now: float) -> None:
        """Make the run of a task's copy that of the task, which has none.

        A copy whose start was not sent yet is withdrawn instead.
        """
        run = copy.run
        if run is None or run.phase is RunPhase.PLANNED:
            self.finish_run(copy, now)
            return
        copy.run = None
        task.copy = None
        del self.copies[task.key]
        task.run = run
        task.checkpoint = task.checkpoint or copy.checkpoint
        worker = self.workers.get(run.worker)
        if worker is not None:
            worker.tasks[task.key] = task
        self.expect_copy(task, now)
        if not run.is_stop_requested:
            log(
                Event.COPY_CONTINUES,
                task=task.key.name,
                run=run.number,
                worker=run.worker,
            )

    def update_zone_flag(self, worker: Worker) -> None:
        """Set whether a worker's zone is evacuated.

        To be called when the worker's entry or the evacuated zones change.
        """
        worker.is_zone_evacuated = worker.entry.zone in self.evacuated_zones

    def stop_other_members(self, task: Task) -> None:
        """Request the stop of the rest of a gang of which a member stopped.

        The gang can start again only as a whole. Other tasks have no members.
        """
        if not task.spec.is_gang:
            return
        job = self.jobs[task.key.job]
        for member in job.steps[task.key.occurrence, task.key.step].tasks:
            if member is not task:
                self.request_stop(member)

    def give_up_run(self, task: Task, reason: str, now: float) -> None:
        """Remove and log a run whose worker never listed its end.

        The run can no longer be running. ``reason`` is written to the log.
        """
        run = task.run
        if run is not None:
            log(
                Event.RUN_LOST,
                task=task.key.name,
                run=run.number,
                worker=run.worker,
                boot=run.boot,
                reason=reason,
                phase=run.phase.value,
                sends=run.send_count,
                sent_age=age_s(run.sent_at, now),
                confirmed_age=age_s(run.confirmed_at, now),
                listed_age=age_s(run.listed_at, now),
            )
        self.finish_run(task, now)

    def order_stop(
        self, worker: Worker, task: TaskKey, run_number: int, reason: str
    ) -> None:
        """Order a worker to stop a run; ``reason`` is written to the log."""
        log(
            Event.STOP_ORDERED,
            task=task.name,
            run=run_number,
            worker=worker.id,
            boot=worker.entry.boot,
            reason=reason,
        )
        self.actions.append(SendStop(target_of(worker), task, run_number))

    def hold_ends(self, task: Task) -> None:
        """Have no ends of a job acknowledged while a done task may start.

        To be called when a task is done while it has another run, whose start
        may still be on its way.
        """
        self.held_tasks.setdefault(task.key.job, []).append(task)

    def are_ends_held(self, job: JobId) -> bool:
        """Return whether the ends of a job may not be acknowledged yet."""
        tasks = self.held_tasks.pop(job, ())
        held = [t for t in tasks if t.run and t.run.may_still_start]
        if held:
            self.held_tasks[job] = held
        return bool(held)

    def request_stop(self, task: Task) -> None:
        """Request the stop of a task's run and its copy's, if it has any.

        The stop is sent later; a run that is only planned is not started.
        """
        for running in task.tasks_with_runs():
            if running.run is not None:
                running.run.is_stop_requested = True
                self.workers_to_check.add(running.run.worker)


def age_s(since: float | None, now: float) -> float | None:
    """Return the seconds since a time, for logs; None if it is unknown."""
    return None if since is None else round(now - since, 3)
