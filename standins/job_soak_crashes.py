"""Judges tasks that crash their workers, and capacity that shrinks.

``CONDITIONS`` are all conditions, those of this module included.
"""

import collections
from math import inf
from typing import Final

from standins.job_soak_history import History
from standins.job_soak_order import CONDITIONS
from standins.job_soak_records import Job
from standins.job_soak_records import Life
from standins.job_soak_records import Run
from standins.job_soak_room import find_need
from standins.job_soak_verdicts import condition
from standins.job_soak_verdicts import describe_run
from standins.job_soak_verdicts import Verdict

__all__ = ('CONDITIONS',)

MAX_CRASHES: Final = 3
MAX_STARTS_AFTER: Final = 2
"""Starts of a task after ``MAX_CRASHES`` workers have crashed under it."""

SHRUNK_S: Final = 4.5
"""In seconds; a capacity that has shrunk counts a contact and a beat later."""


@condition('BUDGET: a task that crashes its workers is given up')
def check_crashes(history: History, verdict: Verdict) -> None:
    """A deadly task is started twice at most after three crashes."""
    for job in history.jobs.values():
        for number, step in enumerate(job.evidence.steps):
            if step.deadly_task < 0:
                continue
            fallen = job.find_crashes(number, inf)
            verdict.counts['crash under a task'] += len(fallen)
            late = find_late_starts(job, number, fallen)
            verdict.check(
                len(late) <= MAX_STARTS_AFTER,
                f'{job.evidence.id} step {number}: {len(fallen)} crashes, '
                + ', '.join(
                    describe_run(history, run, run.began_at) for run in late
                ),
            )


def find_late_starts(job: Job, number: int, fallen: list[Run]) -> list[Run]:
    """Return the starts of a step's deadly task after too many crashes."""
    if len(fallen) < MAX_CRASHES:
        return []
    third_at = sorted(run.ended_at for run in fallen)[MAX_CRASHES - 1]
    runs = job.runs[job.deadly_task_of(number)]
    return [run for run in runs if run.began_at > third_at]


@condition('LIMIT: no start over the capacity of an unguarded worker')
def check_capacity(history: History, verdict: Verdict) -> None:
    """What is being stopped counts until it has ended."""
    by_life = collections.defaultdict[tuple[str, int], list[Run]](list)
    for run in history.runs:
        by_life[run.worker, run.boot].append(run)
    for key, runs in by_life.items():
        life = history.lives.get(key)
        if life is None or life.checks_room:
            continue
        for run in runs:
            used = sum(
                find_need(history, other.task)
                for other in runs
                if other.began_at <= run.began_at < other.ended_at
            )
            allowed = largest_capacity(life, run.began_at)
            verdict.check(
                used <= allowed,
                f'{run.task}: {used} of {allowed}: '
                f'{describe_run(history, run, run.began_at)}',
            )


def largest_capacity(life: Life, at: float) -> int:
    """Return the largest capacity of a life that counts at a time."""
    largest = 0
    for number, (since, cpu_millis) in enumerate(life.capacities):
        later = life.capacities[number + 1 :]
        until = later[0][0] if later else at
        if since <= at and until >= at - SHRUNK_S:
            largest = max(largest, cpu_millis)
    return largest
