"""Carries jobs out on the task service, from records any holder reads.

Each change of a job is a compare-and-swap of its record and comes
before the act. A task id is started at most once and, once stopped,
never; so a late call of an older holder starts nothing twice.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from msgspec import json
from msgspec.structs import replace

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import Revision
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.job import ACTIVE
from primroseledge.policy.job import cancel_job
from primroseledge.policy.job import ENDED
from primroseledge.policy.job import Evidence
from primroseledge.policy.job import is_hopeless
from primroseledge.policy.job import Job
from primroseledge.policy.job import job_key
from primroseledge.policy.job import JOBS_PREFIX
from primroseledge.policy.job import JobState
from primroseledge.policy.job import MAX_ATTEMPTS
from primroseledge.policy.job import move_job
from primroseledge.policy.job_admission import admit
from primroseledge.policy.job_admission import JobInput
from primroseledge.policy.job_admission import Situation
from primroseledge.policy.memory_watch import MemoryWatch
from primroseledge.policy.placing import Relief
from primroseledge.storage.records import Records
from primroseledge.storage.records import Versioned
from primroseledge.storage.task_service import PlatformError
from primroseledge.storage.task_service import TaskService
from primroseledge.storage.task_service import TaskSpec
from primroseledge.storage.task_service import TaskState
from primroseledge.storage.task_service import TaskStatus

MAX_CANCELS_PER_STEP: Final = 20
BACKOFF_S: Final = 2.0
MAX_BACKOFF_S: Final = 60.0
LEASE_S: Final = 30.0
THROTTLED_SPEED: Final = 0.2
EVIDENCE_S: Final = 1800.0
KEEP_ENDED_S: Final = 3600.0


@dataclass(slots=True)
class JobReport:
    """Why jobs wait, or will never run."""

    held: list[Explanation] = field(default_factory=list)
    suspects: set[InstanceId] = field(default_factory=set)


class JobController:
    """Moves all jobs on; ``step`` is called about once a second."""

    def __init__(self, records: Records, tasks: TaskService) -> None:
        self.records = records
        self.tasks = tasks
        self.watch = MemoryWatch()
        self.jobs: dict[str, Versioned[Job]] = {}
        self.statuses: dict[str, TaskStatus] = {}
        self.retry_at: dict[str, float] = {}
        self.first_seen: dict[tuple[str, str], float] = {}
        self.report = JobReport()
        self.now = 0.0

    def step(self, now: float, given: JobInput) -> JobReport:
        """Do what can be done at ``now``; never raises a StoreError.

        Without the store, running tasks are kept alive and nothing
        new begins.
        """
        self.now, self.report = now, JobReport()
        try:
            self._read_tasks()
            self._load()
            self._keep_alive()
            suspects = self._evidence().suspects(len(given.fleet))
            self.report.suspects = suspects
            self._settle(suspects, given)
            self._relieve(given)
            self._start(suspects, given)
            self._purge()
        except PlatformError:
            return self.report
        except StoreError:
            self.report.held.append(Explanation('jobs', Rule.STORE_OUTAGE))
            self._keep_alive_quietly()
        return self.report

    def submit(self, job: Job) -> None:
        """Record a new job; the same id again changes nothing."""
        try:
            self.records.swap(job_key(job.job_id), job, Revision(0))
        except ConflictError:
            return

    def cancel(self, job_id: JobId) -> Job:
        """Cancel a job; raises OperatorError when it has ended."""
        while True:
            held = self.records.load(job_key(job_id), Job(job_id, ''))
            cancelled = cancel_job(held.value)
            try:
                self.records.swap(job_key(job_id), cancelled, held.revision)
            except ConflictError:
                continue
            return cancelled

    # What is known.

    def _load(self) -> None:
        snapshot = self.records.store.read(JOBS_PREFIX)
        self.jobs = {
            job.id: Versioned(job, record.revision)
            for record in snapshot.records
            if record.value is not None
            for job in (json.decode(record.value, type=Job),)
        }

    def _read_tasks(self) -> None:
        self.statuses = {task.task_id: task for task in self.tasks.tasks()}

    def _active(self) -> list[Job]:
        jobs = [held.value for held in self.jobs.values()]
        return [job for job in jobs if job.state in ACTIVE]

    def _keep_alive(self) -> None:
        """Renew leases, but not of tasks that are to stop."""
        kept = (JobState.STARTING, JobState.RUNNING)
        alive = [
            task_id
            for job in self._active()
            if job.state in kept
            for task_id in job.task_ids
        ]
        if alive:
            self.tasks.keep_alive(alive)

    def _keep_alive_quietly(self) -> None:
        try:
            self._keep_alive()
        except PlatformError:
            return

    def _evidence(self) -> Evidence:
        """Gather failures and successes from the records."""
        evidence = Evidence()
        for held in self.jobs.values():
            job = held.value
            for worker in job.failed_on:
                seen = self.first_seen.setdefault((job.id, worker), self.now)
                if self.now - seen < EVIDENCE_S:
                    evidence.add_failure(job.job_id, InstanceId(worker))
            if job.state is JobState.SUCCEEDED:
                for worker in job.workers:
                    evidence.add_success(job.job_id, InstanceId(worker))
        return evidence

    def _record(self, job: Job) -> bool:
        """Swap a job's record; False when another has changed it."""
        held = self.jobs[job.id]
        try:
            swapped = self.records.swap(
                job_key(job.job_id), job, held.revision
            )
        except ConflictError:
            return False
        self.jobs[job.id] = swapped
        return True

    # Active jobs.

    def _settle(self, suspects: set[InstanceId], given: JobInput) -> None:
        cancels = 0
        for job in self._active():
            if job.state is JobState.CANCELLING:
                cancels += 1
                if cancels > MAX_CANCELS_PER_STEP:
                    continue
            try:
                self._settle_one(job, suspects, given)
            except PlatformError:
                continue

    def _settle_one(
        self, job: Job, suspects: set[InstanceId], given: JobInput
    ) -> None:
        if job.state is JobState.STARTING:
            self._submit_missing(job, given)
            return
        found = [self.statuses.get(task_id) for task_id in job.task_ids]
        if job.state is JobState.RUNNING:
            self._settle_running(job, found, suspects)
            return
        stopped = [status for status in found if status is not None]
        is_ended = len(stopped) == len(found) and not any(
            status.state is TaskState.RUNNING for status in stopped
        )
        if is_ended:
            self._resolve(job, stopped, suspects)
        else:
            self._stop_tasks(job)

    def _submit_missing(self, job: Job, given: JobInput) -> None:
        """Start the tasks that the service doesn't know yet.

        A lost answer is read back by this: what the list has is there.
        """
        ready = {worker.id for worker in given.workers}
        pairs = list(zip(job.task_ids, job.workers, strict=True))
        missing = [pair for pair in pairs if pair[0] not in self.statuses]
        if not missing:
            self._record(move_job(job, 'started'))
            return
        if any(worker not in ready for _, worker in missing):
            self._record(move_job(job, 'stop', 'a worker went away'))
            return
        for task_id, worker in missing:
            self.tasks.submit(
                TaskSpec(
                    task_id,
                    job.job_id,
                    InstanceId(worker),
                    job.cores,
                    self.watch.estimator.memory_mb(job),
                    job.accelerators,
                    LEASE_S,
                    job.checkpoint,
                )
            )

    def _settle_running(
        self,
        job: Job,
        found: Sequence[TaskStatus | None],
        suspects: set[InstanceId],
    ) -> None:
        statuses = [status for status in found if status is not None]
        running = [s for s in statuses if s.state is TaskState.RUNNING]
        is_well = all(
            status.state in (TaskState.RUNNING, TaskState.SUCCEEDED)
            for status in statuses
        )
        if len(statuses) < len(found) or (running and not is_well):
            self._record(move_job(job, 'stop', 'a member ended'))
        elif not running:
            self._resolve(job, statuses, suspects)

    def _stop_tasks(self, job: Job) -> None:
        checkpoint = job.checkpoint
        for task_id in job.task_ids:
            status = self.statuses.get(task_id)
            is_running = status and status.state is TaskState.RUNNING
            if is_running and job.state is JobState.STOPPING:
                checkpoint = self.tasks.checkpoint(task_id)
            self.tasks.stop(task_id)
        if checkpoint != job.checkpoint and job.members == 1:
            self._record(replace(job, checkpoint=checkpoint))

    def _resolve(
        self,
        job: Job,
        statuses: Sequence[TaskStatus],
        suspects: set[InstanceId],
    ) -> None:
        """Decide what becomes of a job none of whose tasks runs."""
        states = {status.state for status in statuses}
        if states == {TaskState.SUCCEEDED}:
            self.watch.learn(job)
            done = move_job(job, 'succeed')
            self._record(replace(done, result=statuses[0].result))
            return
        if job.state is JobState.CANCELLING:
            self._record(move_job(job, 'cancelled'))
            return
        has_started = any(status.has_started for status in statuses)
        if not job.is_idempotent and has_started:
            is_failed = states <= {TaskState.FAILED, TaskState.SUCCEEDED}
            trigger = 'fail' if is_failed else 'lose'
            reason = Rule.JOB_OUTCOME_UNKNOWN.value
            self._record(move_job(job, trigger, reason))
            return
        self._retry(job, statuses, suspects)

    def _retry(
        self,
        job: Job,
        statuses: Sequence[TaskStatus],
        suspects: set[InstanceId],
    ) -> None:
        failed = {
            status.worker
            for status in statuses
            if status.state is TaskState.FAILED
        }
        losses = sum(status.state is TaskState.LOST for status in statuses)
        tried = replace(
            job,
            failed_on=job.failed_on + tuple(sorted(failed)),
            losses=job.losses + min(losses, 1),
            checkpoint=statuses[0].checkpoint or job.checkpoint,
        )
        count = len(tried.failed_on) + tried.losses
        if is_hopeless(tried, suspects) or count >= MAX_ATTEMPTS:
            reason = (
                f'{Rule.JOB_FAILS_EVERYWHERE.value}: failed on'
                f' {sorted(set(tried.failed_on))}, lost {tried.losses} times'
            )
            self._record(move_job(tried, 'give_up', reason))
            return
        if failed or losses:
            delay_s = min(BACKOFF_S * 2.0 ** (count - 1), MAX_BACKOFF_S)
            self.retry_at[job.id] = self.now + delay_s
        self._record(move_job(tried, 'retry'))

    def _relieve(self, given: JobInput) -> None:
        """Throttle or move tasks before a worker is out of memory."""
        orders = self.watch.observe(
            self.now, self._active(), self.statuses, given.fleet
        )
        for order in orders:
            if order.relief is Relief.MOVE:
                self.watch.learn(order.job)
                self._record(move_job(order.job, 'stop', 'memory'))
            elif order.relief is Relief.THROTTLE:
                self.tasks.throttle(order.task_id, THROTTLED_SPEED)
                self.watch.throttled[order.task_id] = self.now
            else:
                self.tasks.throttle(order.task_id, 1.0)
                self.watch.throttled.pop(order.task_id, None)

    def _start(self, suspects: set[InstanceId], given: JobInput) -> None:
        admission = admit(
            Situation(
                self.now,
                [held.value for held in self.jobs.values()],
                given,
                self.watch.estimator,
                self.watch.peaks,
                suspects,
                self.retry_at,
            )
        )
        self.report.held += admission.held
        for job, why in admission.impossible:
            self.report.held.append(why)
            reason = f'{why.rule.value}: {dict(why.numbers)}'
            self._record(move_job(job, 'give_up', reason))
        for placed in admission.starts:
            if self._record(placed):
                self._submit_quietly(placed, given)
        if admission.moved is not None:
            reason = 'room for urgent work'
            self._record(move_job(admission.moved, 'stop', reason))

    def _submit_quietly(self, job: Job, given: JobInput) -> None:
        """Start tasks; what fails is started or given up next time."""
        try:
            self._submit_missing(job, given)
        except PlatformError:
            return

    def _purge(self) -> None:
        """Forget ended jobs after a while."""
        for held in list(self.jobs.values()):
            job = held.value
            if job.state not in ENDED:
                continue
            seen = self.first_seen.setdefault((job.id, ''), self.now)
            if self.now - seen >= KEEP_ENDED_S:
                self.records.remove(job_key(job.job_id), held.revision)
