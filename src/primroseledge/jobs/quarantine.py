"""Quarantine workers on which tasks fail or stall.

A worker on which every task fails immediately is always the emptiest, so
more and more tasks would start on it. Tasks that stall on a worker count
as failures too. Only failures of different jobs in a row lead to a
quarantine: a job that fails by its own fault fails on every worker and
must not put one into quarantine. A quarantine ends after a time. If the
next task on the worker fails too, it is imposed again after that one
failure and lasts longer.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import JobId

MIN_FAILED_JOBS: Final = 2
"""Different jobs with a failure in a row before a first quarantine."""

FIRST_QUARANTINE_S: Final = 3.0
MAX_QUARANTINE_S: Final = 12.0
STALL_TIMEOUT_S: Final = 1.8
"""A task that reports no progress for this long counts as stalled."""


@dataclass(slots=True)
class Quarantine:
    """The failures on one worker and its current quarantine.

    ``failed_jobs`` are the jobs with a failure since the last success or
    the last quarantine. ``duration_s`` is the length of the last quarantine,
    0 if a task succeeded since.
    """

    failed_jobs: set[JobId] = field(default_factory=set)
    duration_s: float = 0.0
    ends_at: float = 0.0

    def record_success(self) -> None:
        """Record that a task succeeded on the worker; clear the failures."""
        self.failed_jobs.clear()
        self.duration_s = 0.0

    def record_failure(self, job: JobId, now: float) -> None:
        """Record that a task failed or stalled on the worker.

        It starts a quarantine when enough different jobs have failed.
        """
        self.failed_jobs.add(job)
        min_failed_jobs = 1 if self.duration_s else MIN_FAILED_JOBS
        if len(self.failed_jobs) < min_failed_jobs:
            return
        doubled_s = min(MAX_QUARANTINE_S, 2 * self.duration_s)
        self.duration_s = max(FIRST_QUARANTINE_S, doubled_s)
        self.ends_at = now + self.duration_s
        self.failed_jobs.clear()

    def is_active(self, now: float) -> bool:
        """Return whether the worker gets no new tasks at the moment."""
        return now < self.ends_at
