"""Whether tasks may start again after attempts that failed.

The members of a gang share the attempts. Long-running tasks are started again
any number of times.
"""

from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.task import Task


def count_failed_attempts(step: StepOccurrence, task: Task) -> int:
    """Return how many attempts of a task of a step have failed."""
    if task.spec.is_gang:
        return sum(member.failures for member in step.tasks)
    return task.failures


def has_attempts_left(
    step: StepOccurrence, task: Task, max_attempts: int
) -> bool:
    """Return whether a task of a step may be started once more."""
    if task.spec.is_long_running:
        return True
    return count_failed_attempts(step, task) < max_attempts


def find_exhausted_task(
    step: StepOccurrence, max_attempts: int
) -> Task | None:
    """Return a task that waits for a start and has no attempt left."""
    for task in step.tasks:
        if not task.failures or not task.is_waiting:
            continue
        if not has_attempts_left(step, task, max_attempts):
            return task
    return None
