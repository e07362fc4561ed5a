"""The order in which a service's tasks start when capacity is scarce.

Bursts of jobs may need several times the capacity of a pool. Long-running
tasks start first, then jobs that can still meet their objective, by
priority and earliest deadline, then jobs that will miss it.
"""

from collections.abc import Sequence
from typing import NamedTuple

from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence


class StartPriority(NamedTuple):
    """The sort key of a step; the step with the smallest starts first.

    ``is_batch`` means that the step is not long-running. ``is_late`` means
    that the job can't meet its objective any more, by the estimated duration
    of its remaining steps. ``deadline_ms`` is in ms since 1970.
    """

    is_batch: bool
    is_late: bool
    priority: int
    deadline_ms: float
    job: str
    step: int


def start_priority_of(
    job: Job,
    step: StepOccurrence,
    queue: Queue,
    wall_ms: int,
    estimates_ms: Sequence[int],
) -> StartPriority:
    """Return the start priority of a step.

    The deadline is the job's objective after the step became due, or after
    the acceptance of the job if the job has no repetitions. ``estimates_ms``
    are the expected runtimes of the tasks of each of the job's steps.
    """
    start_ms = step.due_at_ms or job.accepted.accepted_ms
    deadline_ms = start_ms + objective_ms(job, queue, estimates_ms)
    remaining_ms = remaining_critical_path_ms(job, step, estimates_ms)
    return StartPriority(
        not step.spec.is_long_running,
        wall_ms + remaining_ms > deadline_ms,
        queue.priority,
        deadline_ms,
        job.accepted.id,
        step.number,
    )


def objective_ms(job: Job, queue: Queue, estimates_ms: Sequence[int]) -> float:
    """Return the time within which a job should complete, in ms.

    It is the job's critical path times ``Queue.chain_factor``, plus
    ``Queue.objective_s``.
    """
    critical_path_ms = job.critical_path_ms(estimates_ms)
    return queue.chain_factor * critical_path_ms + queue.objective_s * 1000


def remaining_critical_path_ms(
    job: Job, step: StepOccurrence, estimates_ms: Sequence[int]
) -> int:
    """Return the critical path of a job from a step on, in estimated ms.

    It is the longest chain of steps that starts with this step. A step
    without an estimate counts as 0 ms.
    """
    ends = dict[int, int]()
    for number, spec in enumerate(job.accepted.spec.steps):
        if number == step.number:
            ends[number] = estimates_ms[number]
            continue
        previous_ends = [ends[i] for i in spec.after if i in ends]
        if previous_ends:
            ends[number] = max(previous_ends) + estimates_ms[number]
    return max(ends.values(), default=0)
