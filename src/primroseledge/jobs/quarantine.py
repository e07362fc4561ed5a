"""Suspect workers that fail or hold up what they start.

It answers workers that fail everything at once, and so are always the
emptiest, and tasks that stand still. The evidence is what a worker did
with different jobs in a row: a job that fails by its own fault fails
everywhere and condemns no worker. Suspicion ends by itself and comes
back sooner and for longer when the next tasks fail too.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import JobId

MIN_FAILED_JOBS: Final = 2
"""Different jobs that must have failed in a row."""

FIRST_QUARANTINE_S: Final = 3.0
MAX_QUARANTINE_S: Final = 12.0
STALL_TIMEOUT_S: Final = 1.8
"""A task without progress for this long stands still."""


@dataclass(slots=True)
class Quarantine:
    """What a worker did with the tasks that it was given."""

    failed_jobs: set[JobId] = field(default_factory=set)
    duration_s: float = 0.0
    ends_at: float = 0.0

    def record_success(self) -> None:
        """Count a task that was done."""
        self.failed_jobs.clear()
        self.duration_s = 0.0

    def record_failure(self, job: JobId, now: float) -> None:
        """Count a task that failed or stood still."""
        self.failed_jobs.add(job)
        needed = 1 if self.duration_s else MIN_FAILED_JOBS
        if len(self.failed_jobs) < needed:
            return
        longer_s = min(MAX_QUARANTINE_S, 2 * self.duration_s)
        self.duration_s = max(FIRST_QUARANTINE_S, longer_s)
        self.ends_at = now + self.duration_s
        self.failed_jobs.clear()

    def is_active(self, now: float) -> bool:
        """Tell whether no tasks should be placed there now."""
        return now < self.ends_at
