"""What the callers of a played load got."""

from dataclasses import dataclass
from dataclasses import field
from statistics import fmean
from typing import Final

from bench.job_load import Flood
from bench.job_load import Submission
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkspaceId

LATE_FACTOR: Final = 3
"""A job is late, and not lost, up to this many times its objective."""

WINDOW_S: Final = 2.0
"""Length of the windows of which the worst are reported."""

WORST_SHARE: Final = 0.1
"""Share of the windows and workspaces that count as the worst ones."""


@dataclass
class Outcome:
    """What the callers of one load got, and what it cost.

    ``job_ratios`` are the times that jobs took as a multiple of their
    objective. ``refused`` are the jobs whose callers gave up after a refusal,
    ``held_s`` how long each refusal took to be sent. ``pool_s`` are the
    seconds of instances in pools, ``engine_s`` the processor time of the
    engine. ``copies`` counts the copies of tasks that were started.
    """

    submissions: list[Submission] = field(default_factory=list)
    job_ratios: dict[JobId, float] = field(default_factory=dict)
    refused: set[JobId] = field(default_factory=set)
    held_s: list[float] = field(default_factory=list)
    started_after: list[float] = field(default_factory=list)
    pool_s: float = 0.0
    moves: int = 0
    copies: int = 0
    engine_s: float = 0.0
    longest_reconcile_s: float = 0.0

    def is_in_time(self, submission: Submission) -> bool:
        return self.job_ratios.get(submission.job.id, LATE_FACTOR) <= 1

    def share_in_time(self, submissions: list[Submission]) -> float:
        """Return the share of jobs that met their objective."""
        if not submissions:
            return 1.0
        return fmean(self.is_in_time(s) for s in submissions)

    def worst_windows(self) -> float:
        """Return the share in time in the worst windows of the load."""
        windows = dict[int, list[Submission]]()
        for submission in self.submissions:
            number = int(submission.at / WINDOW_S)
            windows.setdefault(number, []).append(submission)
        return self.worst_of(list(windows.values()))

    def worst_workspaces(self) -> float:
        """Return the share in time of the worst-served workspaces."""
        groups = dict[WorkspaceId, list[Submission]]()
        for submission in self.submissions:
            groups.setdefault(submission.job.workspace, []).append(submission)
        return self.worst_of(list(groups.values()))

    def worst_of(self, groups: list[list[Submission]]) -> float:
        shares = sorted(self.share_in_time(group) for group in groups)
        count = max(1, int(len(shares) * WORST_SHARE))
        return fmean(shares[:count])

    def largest_jobs(self) -> float:
        """Return the share in time of the largest tenth of the jobs."""
        by_size = sorted(self.submissions, key=size_of)
        count = max(1, len(by_size) // 10)
        return self.share_in_time(by_size[-count:])

    def served(self) -> set[JobId]:
        """Return the jobs that completed within the late bound."""
        return {
            job
            for job, ratio in self.job_ratios.items()
            if ratio <= LATE_FACTOR
        }

    def neighbours(self, flood: Flood | None) -> set[JobId]:
        """Return the jobs of all workspaces but one that floods."""
        return {
            submission.job.id
            for submission in self.submissions
            if flood is None or submission.job.workspace != flood.workspace
        }

    def served_neighbours(self, flood: Flood | None) -> float:
        """Return the served share of jobs whose workspace doesn't flood."""
        neighbours = self.neighbours(flood)
        if not neighbours:
            return 1.0
        return len(neighbours & self.served()) / len(neighbours)

    def served_by_size(self) -> dict[QueueId, list[bool]]:
        """Return whether each job was served, by queue, the largest first."""
        served = self.served()
        found = dict[QueueId, list[bool]]()
        for submission in sorted(self.submissions, key=size_of, reverse=True):
            is_served = submission.job.id in served
            found.setdefault(submission.job.queue, []).append(is_served)
        return found

    def copied_jobs(self) -> list[Submission]:
        """Return the jobs that allow copies."""
        return [s for s in self.submissions if allows_copies(s)]

    def failed_share(
        self, submissions: list[Submission] | None = None
    ) -> float:
        """Return the share of jobs without an end within the late bound.

        It is that of all jobs if none are given.
        """
        if submissions is None:
            submissions = self.submissions
        if not submissions:
            return 0.0
        return fmean(
            self.job_ratios.get(s.job.id, LATE_FACTOR + 1) > LATE_FACTOR
            for s in submissions
        )

    def figures(self) -> dict[str, float]:
        """Return the measures of this outcome by name."""
        copied = self.copied_jobs()
        waits = sorted(self.started_after) or [0.0]
        return {
            'jobs': len(self.submissions),
            'in_time': round(self.share_in_time(self.submissions), 3),
            'worst_windows': round(self.worst_windows(), 3),
            'worst_workspaces': round(self.worst_workspaces(), 3),
            'largest_tenth': round(self.largest_jobs(), 3),
            'failed': round(self.failed_share(), 3),
            'copied_in_time': round(self.share_in_time(copied), 3),
            'copied_failed': round(self.failed_share(copied), 3),
            'first_start_p95_s': round(waits[int(len(waits) * 0.95)], 3),
            'pool_s': round(self.pool_s, 1),
            'moves': self.moves,
            'copies': self.copies,
            'engine_s': round(self.engine_s, 2),
            'longest_reconcile_s': round(self.longest_reconcile_s, 3),
        }


def allows_copies(submission: Submission) -> bool:
    """Return whether all steps of a job allow copies."""
    return all(step.allows_copies for step in submission.job.spec.steps)


def size_of(submission: Submission) -> int:
    """Return a job's size, the processors of all its tasks together."""
    return sum(
        step.count * step.resources.cpu_millis
        for step in submission.job.spec.steps
    )
