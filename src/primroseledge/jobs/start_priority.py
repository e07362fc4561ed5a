"""The order in which a service's tasks get room when it is short.

It answers bursts of several times what a pool holds: long-running tasks
come first, then jobs that can still meet their objective by priority and
the nearest deadline, then jobs that are late already.
"""

from typing import NamedTuple

from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence


class StartPriority(NamedTuple):
    """Sorts steps; the smallest is served first."""

    is_batch: bool
    is_late: bool
    priority: int
    deadline_ms: float
    job: str
    step: int


def start_priority_of(
    job: Job, step: StepOccurrence, queue: Queue, wall_ms: int
) -> StartPriority:
    """Return a step's place in the order."""
    begin_ms = step.due_at_ms or job.accepted.accepted_ms
    deadline_ms = begin_ms + objective_ms(job, queue)
    remaining_ms = remaining_critical_path_ms(job, step)
    return StartPriority(
        not step.spec.is_long_running,
        wall_ms + remaining_ms > deadline_ms,
        queue.priority,
        deadline_ms,
        job.accepted.id,
        step.number,
    )


def objective_ms(job: Job, queue: Queue) -> float:
    """Return how soon a job is to be completed, in ms."""
    return (
        queue.chain_factor * job.critical_path_ms() + queue.objective_s * 1000
    )


def remaining_critical_path_ms(job: Job, step: StepOccurrence) -> int:
    """Return the estimated time of the longest chain from a step on."""
    ends = dict[int, int]()
    for number, spec in enumerate(job.accepted.spec.steps):
        if number == step.number:
            ends[number] = spec.estimate_ms
            continue
        before = [ends[i] for i in spec.after if i in ends]
        if before:
            ends[number] = max(before) + spec.estimate_ms
    return max(ends.values(), default=0)
