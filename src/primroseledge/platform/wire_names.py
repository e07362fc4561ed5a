"""Task names and kinds of run ends as the platform spells them."""

from typing import Final

from primroseledge.ids import JobId
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import EndKind

TASK_NAME_PARTS: Final = 4

END_KINDS: Final = {
    'done': EndKind.DONE,
    # Caused by the task itself or by the worker.
    'failed': EndKind.FAILED,
    'stopped': EndKind.STOPPED,
    'lapsed': EndKind.LEASE_EXPIRED,
    # Another member of the gang ended.
    'broken': EndKind.GANG_BROKEN,
    # The other members of the gang were missing.
    'alone': EndKind.GANG_INCOMPLETE,
}


def format_task_name(key: TaskKey) -> str:
    """Return the wire name of a task: JOB.OCCURRENCE.STEP.NUMBER."""
    return f'{key.job}.{key.occurrence}.{key.step}.{key.number}'


def parse_task_name(name: str) -> TaskKey | None:
    """Return the task that a wire name denotes; None if it is malformed."""
    parts = name.split('.')
    if len(parts) != TASK_NAME_PARTS or not all(
        part.isdecimal() and part.isascii() for part in parts[1:]
    ):
        return None
    job, occurrence, step, number = parts
    return TaskKey(JobId(job), int(occurrence), int(step), int(number))
