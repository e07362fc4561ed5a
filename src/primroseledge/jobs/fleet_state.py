"""All that the owner holds: jobs, workers and what is to be stored."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import SendAnswer
from primroseledge.jobs.advice import AdviceCache
from primroseledge.jobs.arrival_rate import ArrivalRate
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals of the owner, in seconds."""

    lease_s: float = 5.2
    poll_wait_s: float = 1.0
    poll_retry_s: float = 0.4
    stop_retry_s: float = 0.8
    predecessor_runs_expiry_s: float = 7.0
    """How long a predecessor's runs may go on at a silent worker."""


@dataclass(slots=True)
class FleetState:
    """The owner's jobs and workers.

    ``ended_workers`` were ended by us and may still be listed;
    ``dirty_jobs`` are jobs whose records changed, ``planned_tasks`` the starts
    that wait to be stored, ``pending_answers`` the answers that do.
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
    actions: list[Action] = field(default_factory=list)
    dirty_since: float | None = None
    replanned_at: float = 0.0
    ended_workers: dict[WorkerId, Boot] = field(default_factory=dict)
    advice: AdviceCache = field(default_factory=AdviceCache)
    arrival_rates: dict[ServiceId, ArrivalRate] = field(default_factory=dict)

    def wall_ms(self, now: float) -> int:
        """Return the time of day in ms since 1970."""
        return int((now + self.wall_offset_s) * 1000)

    def queue_of(self, job: Job) -> Queue | None:
        """Return a job's queue, if it is still configured."""
        return self.configuration.queues.get(job.accepted.queue)

    def service_of(self, job: Job) -> ServiceId | None:
        """Return the service whose workers run a job."""
        queue = self.queue_of(job)
        return queue.service if queue else None

    def mark_dirty(self, job: Job, now: float) -> None:
        """Note that a job's record has to be written."""
        self.dirty_jobs[job.accepted.id] = None
        if self.dirty_since is None:
            self.dirty_since = now

    def request_planning(self, job: Job) -> None:
        """Note that a job may have tasks to start."""
        service = self.service_of(job)
        if service is not None:
            self.services_to_plan.add(service)

    def workspace_usage(self, workspace: WorkspaceId) -> Resources:
        """Return what a workspace may have running."""
        return self.usage.get(workspace, NO_RESOURCES)

    def plan_run(self, task: Task, worker: Worker, now: float) -> None:
        """Plan a run of a task on a worker."""
        task.last_run_number += 1
        task.run = Run(task.last_run_number, worker.id, worker.entry.boot)
        self.count_run(task, worker)
        self.planned_tasks.append(task)
        job = self.jobs[task.key.job]
        self.mark_dirty(job, now)

    def count_run(self, task: Task, worker: Worker) -> None:
        """Count a run's resources at its worker and workspace."""
        worker.add_task(task)
        workspace = self.jobs[task.key.job].accepted.workspace
        self.usage[workspace] = self.workspace_usage(workspace).plus(
            task.spec.resources
        )

    def finish_run(self, task: Task, now: float) -> None:
        """Stop counting a run that is over for certain."""
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
        self.mark_dirty(job, now)
        self.request_planning(job)

    def lose_run(self, task: Task, reason: str, now: float) -> None:
        """Give up a run that is over without a listed end."""
        run = task.run
        if run is not None:
            log(
                Event.RUN_LOST,
                task=task.key.name,
                run=run.number,
                worker=run.worker,
                reason=reason,
            )
        self.finish_run(task, now)

    def request_stop(self, task: Task) -> None:
        """Want a run stopped; a planned one is not sent at all."""
        if task.run is not None:
            task.run.is_stop_requested = True
