"""Quarantine workers on which tasks fail or stall.

A worker on which every task fails immediately has free capacity again at
once, so more and more tasks would start on it and fail. Tasks that stall on a
worker count as failures too. Only failures of different jobs without a
success in between lead to a quarantine: a job with a fault fails on every
worker and must not put any of them into quarantine. A quarantine ends after a
time. If another task then fails on the worker before one succeeds, a new
quarantine starts after this one failure and lasts twice as long, up to
``MAX_QUARANTINE_S``.

Where no other worker has room for a job, its tasks probe one that is in
quarantine, one of them each ``PROBE_INTERVAL_S``. A worker that fails
everything uses up their attempts slowly then. A success ends the quarantine,
so that a sound worker leaves no job waiting.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import JobId

MIN_FAILED_JOBS: Final = 2
"""Number of different failed jobs that lead to a first quarantine."""

FIRST_QUARANTINE_S: Final = 3.0
"""Duration in s of a first quarantine."""

MAX_QUARANTINE_S: Final = 12.0
"""Longest duration in s of a quarantine."""

PROBE_INTERVAL_S: Final = 1.0
"""Time in s without tasks before each probe of a worker in quarantine."""

STALL_TIMEOUT_S: Final = 1.8
"""Time in s without progress after which a task counts as stalled."""


@dataclass(slots=True)
class Quarantine:
    """The failures on one worker and its current quarantine.

    ``failed_jobs`` are the jobs with a failure since the last success or
    start of the last quarantine. ``duration_s`` is the duration of the last
    quarantine, or 0 if a task has succeeded since. ``probe_at`` is when the
    worker may be probed next.
    """

    failed_jobs: set[JobId] = field(default_factory=set)
    duration_s: float = 0.0
    ends_at: float = 0.0
    probe_at: float = 0.0

    def record_success(self) -> None:
        """Record that a task succeeded on the worker; end a quarantine."""
        self.failed_jobs.clear()
        self.duration_s = 0.0
        self.ends_at = 0.0

    def record_failure(self, job: JobId, now: float) -> None:
        """Record that a task failed or stalled on the worker.

        A quarantine starts when enough different jobs have failed.
        """
        self.failed_jobs.add(job)
        min_failed_jobs = 1 if self.duration_s else MIN_FAILED_JOBS
        if len(self.failed_jobs) < min_failed_jobs:
            return
        doubled_s = min(MAX_QUARANTINE_S, 2 * self.duration_s)
        self.duration_s = max(FIRST_QUARANTINE_S, doubled_s)
        self.ends_at = now + self.duration_s
        self.probe_at = now + PROBE_INTERVAL_S
        self.failed_jobs.clear()

    def record_probe(self, now: float) -> None:
        """Record that a task starts on the worker in its quarantine.

        The next may start an interval after this one was due: services are
        planned again only from time to time.
        """
        due_at = self.probe_at + PROBE_INTERVAL_S
        self.probe_at = max(due_at, now + PROBE_INTERVAL_S / 2)

    def is_suspect(self, job: JobId) -> bool:
        """Return whether nothing has succeeded since a job failed there.

        This also holds after a quarantine of the worker.
        """
        return bool(self.duration_s) or job in self.failed_jobs

    def is_active(self, now: float) -> bool:
        """Return whether the worker gets no new tasks at the moment."""
        return now < self.ends_at
