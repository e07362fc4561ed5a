"""Watches tasks' memory by lagged reports, and learns their sizes."""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.policy.job import Job
from primroseledge.policy.job import JobState
from primroseledge.policy.placing import can_restore
from primroseledge.policy.placing import Estimator
from primroseledge.policy.placing import Relief
from primroseledge.policy.placing import relieve
from primroseledge.policy.placing import TaskUse
from primroseledge.storage.documents import Instance
from primroseledge.storage.task_service import TaskState
from primroseledge.storage.task_service import TaskStatus

REPORT_AHEAD_S: Final = 5.0
MIN_REPORT_GAP_S: Final = 0.5
MAX_THROTTLE_S: Final = 30.0


@dataclass(slots=True)
class Report:
    """A task's last report: when it was true, and the growth since."""

    at: float
    memory_mb: float
    growth_mb_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ReliefOrder:
    """A task to throttle or move, with its job."""

    job: Job
    task_id: str
    relief: Relief


@dataclass(slots=True)
class MemoryWatch:
    """Growth of each running task, and the estimator that it feeds."""

    estimator: Estimator = field(default_factory=Estimator)
    reports: dict[str, Report] = field(default_factory=dict)
    throttled: dict[str, float] = field(default_factory=dict)

    @property
    def peaks(self) -> dict[str, float]:
        """Return the memory last seen, by task id."""
        return {name: r.memory_mb for name, r in self.reports.items()}

    def learn(self, job: Job) -> None:
        """Learn from a job that has ended well; forget its tasks."""
        for task_id in job.task_ids:
            report = self.reports.pop(task_id, None)
            if report is not None and report.memory_mb > 0:
                self.estimator.learn(job, report.memory_mb)

    def observe(
        self,
        now: float,
        jobs: Sequence[Job],
        statuses: Mapping[str, TaskStatus],
        fleet: Sequence[Instance],
    ) -> list[ReliefOrder]:
        """Take the reports in; return what to do on workers that fill."""
        uses = dict[str, list[TaskUse]]()
        owners = dict[str, Job]()
        for job in jobs:
            if job.state is JobState.RUNNING:
                self._collect(now, job, statuses, uses, owners)
        gone = self.reports.keys() - owners.keys()
        for task_id in gone:
            if task_id not in statuses:
                del self.reports[task_id]
        self.throttled = {
            name: since
            for name, since in self.throttled.items()
            if name in owners
        }
        return [
            ReliefOrder(owners[task_id], task_id, relief)
            for worker in fleet
            for task_id, relief in self._choose(
                now, worker, uses.get(worker.id, [])
            ).items()
        ]

    def _choose(
        self, now: float, worker: Instance, uses: Sequence[TaskUse]
    ) -> dict[str, Relief]:
        """Return what changes: a task throttled for long is moved."""
        reliefs = dict(relieve(worker, uses, REPORT_AHEAD_S))
        is_roomy = can_restore(worker, uses, REPORT_AHEAD_S)
        for use in uses:
            name = use.task_id
            if name in self.throttled:
                is_late = now - self.throttled[name] > MAX_THROTTLE_S
                if is_roomy:
                    reliefs[name] = Relief.RESTORE
                elif is_late and use.is_movable:
                    reliefs[name] = Relief.MOVE
                elif reliefs.get(name) is Relief.THROTTLE:
                    del reliefs[name]
        return reliefs

    def _collect(
        self,
        now: float,
        job: Job,
        statuses: Mapping[str, TaskStatus],
        uses: dict[str, list[TaskUse]],
        owners: dict[str, Job],
    ) -> None:
        for task_id, worker in zip(job.task_ids, job.workers, strict=True):
            status = statuses.get(task_id)
            if status is None or status.state is not TaskState.RUNNING:
                continue
            owners[task_id] = job
            uses.setdefault(worker, []).append(
                TaskUse(
                    task_id,
                    status.memory_mb,
                    self._growth(now, status),
                    status.usage_age_s,
                    job.is_urgent,
                    job.is_idempotent and job.members == 1,
                )
            )

    def _growth(self, now: float, status: TaskStatus) -> float:
        at = now - status.usage_age_s
        last = self.reports.get(status.task_id)
        if last is None or last.memory_mb <= 0:
            self.reports[status.task_id] = Report(at, status.memory_mb)
            return 0.0
        gap_s = at - last.at
        if gap_s > MIN_REPORT_GAP_S:
            growth = (status.memory_mb - last.memory_mb) / gap_s
            last = Report(at, status.memory_mb, growth)
            self.reports[status.task_id] = last
        return last.growth_mb_s
