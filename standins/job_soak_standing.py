"""Finds jobs of a soak that stood still though there was room."""

import collections
from dataclasses import dataclass
from math import inf
from typing import Final

from standins.job_soak_history import History
from standins.job_soak_records import DONE
from standins.job_soak_records import Job
from standins.job_soak_records import parse_task
from standins.job_soak_records import Span
from standins.job_soak_room import find_idle
from standins.job_soak_room import meet
from standins.job_soak_room import PoolRoom

STANDING_S: Final = 3.0
CALM_BEFORE_S: Final = 4.0
RESTART_S: Final = 6.0
"""In seconds after its last run; a long-running task is back by then."""

SHOWN_JOBS: Final = 4


@dataclass(frozen=True, slots=True)
class Standing:
    """A span in which a task could have run and did not."""

    job: str
    pool: str
    task: str
    span: Span
    idle_since: float
    is_half_full: bool
    others_standing: int = 0

    def describe(self, history: History) -> str:
        """Return what stood for how long, and what ran meanwhile."""
        since, until = self.span
        pools = {
            job.evidence.id: job.evidence.pool for job in history.jobs.values()
        }
        starts = collections.Counter[str]()
        for run in history.runs:
            name = parse_task(run.task)
            if name is None or not since <= run.began_at <= until:
                continue
            if pools.get(name.job) == self.pool and name.job != self.job:
                starts[name.job] += 1
        return (
            f'{self.task} of {self.pool} stood for {until - since:.3f} s, '
            f'from {history.at(since)} to {history.at(until)}, idle since '
            f'{history.at(self.idle_since)}; meanwhile in its pool '
            f'{sum(starts.values())} starts of {len(starts)} other jobs '
            f'{dict(starts.most_common(SHOWN_JOBS))}, '
            f'{self.others_standing} others stood; '
            f'{describe_runs(history, self.task, self.span)}'
        )


def describe_runs(history: History, task: str, span: Span) -> str:
    """Return how a task's last run before a span ended, and its next."""
    runs = history.runs_of.get(task, [])
    before = [run for run in runs if run.began_at <= span[0]]
    after = [run for run in runs if run.began_at > span[0]]
    text = 'it never ran before'
    if before:
        run = before[-1]
        text = (
            f'run {run.number} on {run.worker} boot {run.boot} began at '
            f'{history.at(run.began_at)}, ended {run.how} at '
            f'{history.at(run.ended_at)}, '
            + ('noted' if run.acked_at is not None else 'not noted')
        )
    if not after:
        return f'{text}; it never ran after'
    run = after[0]
    return (
        f'{text}; run {run.number} on {run.worker} boot {run.boot} began at '
        f'{history.at(run.began_at)}'
    )


def find_standing(history: History) -> list[Standing]:
    """Return each span of calm in which a job stood still with room.

    A job with a task that crashes its workers isn't missed.
    """
    calm = history.calm_spans(CALM_BEFORE_S)
    rooms: dict[str, PoolRoom] = {}
    found = list[Standing]()
    for job in history.jobs.values():
        if job.accepted_at == inf or job.is_deadly:
            continue
        pool = job.evidence.pool
        if pool not in rooms:
            rooms[pool] = PoolRoom(history, pool)
        for task, step, idle in find_waiting(history, job):
            found += find_cases(job, rooms[pool], calm, task, step, idle)
    return [
        Standing(
            case.job,
            case.pool,
            case.task,
            case.span,
            case.idle_since,
            case.is_half_full,
            sum(
                other.pool == case.pool
                and other.job != case.job
                and bool(meet([case.span], [other.span]))
                for other in found
            ),
        )
        for case in found
    ]


def find_cases(
    job: Job,
    room: PoolRoom,
    calm: list[Span],
    task: str,
    step: int,
    idle: Span,
) -> list[Standing]:
    """Return the cases among the time in which a task waited."""
    spans = room.find_spans(idle, job.evidence.steps[step])
    return [
        Standing(
            job.evidence.id,
            room.pool,
            task,
            span,
            idle[0],
            room.is_half_full(span),
        )
        for span in meet(spans, calm)
        if span[1] - span[0] >= STANDING_S
    ]


def find_waiting(history: History, job: Job) -> list[tuple[str, int, Span]]:
    """Return tasks whose turn had come, their step, and since when.

    For a job with nothing running it is one task of each step that is due,
    for a long-running step each task that isn't running.
    """
    over_at = min(
        job.over_at,
        job.cancel_sent_at,
        job.hopeless_at(),
        history.ended_at,
    )
    owed = (job.accepted_at, over_at)
    waiting = list[tuple[str, int, Span]]()
    busy = [
        (run.began_at, run.ended_at)
        for runs in job.runs.values()
        for run in runs
    ]
    for idle in find_idle(owed, busy):
        if idle[1] - idle[0] < STANDING_S:
            continue
        waiting += [
            (find_open_task(job, number, idle[0]), number, idle)
            for number in find_due(job, idle[0])
            if not job.evidence.steps[number].is_long_running
        ]
    for number, step in enumerate(job.evidence.steps):
        if step.is_long_running:
            waiting += find_waiting_long(job, number, owed)
    return waiting


def find_due(job: Job, at: float) -> list[int]:
    """Return the unfinished steps whose turn has come."""
    unfinished = set(job.find_unfinished(at, True))
    return [
        number
        for number in sorted(unfinished)
        if not unfinished & set(job.evidence.steps[number].after)
    ]


def has_room(history: History, job: Job, since: float) -> bool:
    """Tell whether there was room, or a run, for a due step since then."""
    if job.is_at_work(since):
        return True
    room = PoolRoom(history, job.evidence.pool)
    return any(
        room.find_spans((since, history.ended_at), job.evidence.steps[number])
        for number in find_due(job, since)
    )


def find_open_task(job: Job, number: int, at: float) -> str:
    """Return the first task of a step that isn't done."""
    for task in job.tasks_of(number):
        runs = job.runs.get(task, [])
        if not any(
            run.how == DONE and job.is_noted(run) and run.ended_at <= at
            for run in runs
        ):
            return task
    return job.tasks_of(number)[0]


def find_waiting_long(
    job: Job, number: int, owed: Span
) -> list[tuple[str, int, Span]]:
    """Return when the tasks of a long-running step didn't run.

    A task has ``RESTART_S`` after its turn or its last run.
    """
    steps = job.evidence.steps
    due_at = max(
        [owed[0]]
        + [job.done_at(n, steps[n], True) for n in steps[number].after]
    )
    return [
        (task, number, (idle[0] + RESTART_S, idle[1]))
        for task in job.tasks_of(number)
        for idle in find_idle(
            (due_at, owed[1]),
            [(run.began_at, run.ended_at) for run in job.runs.get(task, ())],
        )
        if idle[1] - idle[0] >= RESTART_S + STANDING_S
    ]
