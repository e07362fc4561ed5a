"""Names that the platform writes as text."""

from typing import Final

from primroseledge.ids import JobId
from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.task import TaskKey

TASK_NAME_PARTS: Final = 4

END_KINDS: Final = {
    'done': EndKind.DONE,
    # Through the task's own fault or the worker's.
    'failed': EndKind.FAILED,
    'stopped': EndKind.STOPPED,
    'lapsed': EndKind.LEASE_EXPIRED,
    # Another member of the gang ended.
    'broken': EndKind.GANG_BROKEN,
    # The other members did not come.
    'alone': EndKind.GANG_INCOMPLETE,
}


def format_task_name(key: TaskKey) -> str:
    """Return a task's name as ID.K.STEP.INDEX."""
    return f'{key.job}.{key.occurrence}.{key.step}.{key.number}'


def parse_task_name(name: str) -> TaskKey | None:
    """Return the task that a name stands for, or nothing."""
    parts = name.split('.')
    if len(parts) != TASK_NAME_PARTS or not all(
        p.isdigit() for p in parts[1:]
    ):
        return None
    job, occurrence, step, index = parts
    return TaskKey(JobId(job), int(occurrence), int(step), int(index))
