"""Report jobs of which nothing runs although a step waits for its start.

One line a service tells how long the oldest of them has waited, and which of
the service's workers may not start tasks, and why. It shows whether such a
job waits for capacity or for its workspace's share, or is held up by what the
owner believes of workers.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.jobs.job import Job
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fair_shares import describe_share
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.probing import has_runs

REPORT_INTERVAL_S: Final = 1.0
MIN_REPORTED_WAIT_S: Final = 1.5
"""Shorter waits are usual while a pool grows."""


@dataclass(slots=True)
class WaitReport:
    """Since when jobs have had nothing running, by their ids.

    ``reported_at`` is when the jobs were last looked through.
    """

    idle_since: dict[JobId, float] = field(default_factory=dict)
    reported_at: float = 0.0

    def report(self, state: FleetState, now: float) -> None:
        """Log the waits of each service, once each ``REPORT_INTERVAL_S``."""
        if now < self.reported_at + REPORT_INTERVAL_S:
            return
        self.reported_at = now
        idle = {
            service: [job for job in jobs.values() if is_idle(job)]
            for service, jobs in state.waiting_jobs.items()
        }
        self.idle_since = {
            job.accepted.id: self.idle_since.get(job.accepted.id, now)
            for jobs in idle.values()
            for job in jobs
        }
        for service, jobs in idle.items():
            self.report_service(state, service, jobs, now)

    def report_service(
        self,
        state: FleetState,
        service: ServiceId,
        jobs: list[Job],
        now: float,
    ) -> None:
        """Log the waits of one service, if the longest is worth a line."""
        if not jobs:
            return
        oldest = min(jobs, key=lambda job: self.idle_since[job.accepted.id])
        waited_s = now - self.idle_since[oldest.accepted.id]
        if waited_s < MIN_REPORTED_WAIT_S:
            return
        workers = [
            worker
            for worker in state.workers.values()
            if worker.entry.service == service
        ]
        obstacles = Counter(
            obstacle.value
            for worker in workers
            if (obstacle := worker.start_obstacle(now)) is not None
        )
        log(
            Event.JOBS_WAIT,
            service=service,
            jobs=len(jobs),
            job=oldest.accepted.id,
            seconds=round(waited_s, 3),
            workers=len(workers),
            obstacles=', '.join(
                f'{count} {obstacle}' for obstacle, count in obstacles.items()
            ),
            free_cpu=max(
                (worker.free_capacity.cpu_millis for worker in workers),
                default=0,
            ),
            share=describe_share(state, service, oldest.accepted.workspace),
        )


def is_idle(job: Job) -> bool:
    """Return whether a job has a task to start and none that may run."""
    return any(True for _ in job.waiting_steps()) and not has_runs(job)
