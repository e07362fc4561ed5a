"""Crashes of workers under a task, and what they say of the task.

A task that crashes its workers does so soon after its start, and each time
after about the same time. Each run on a crashed worker that is not older than
that may be the cause, and the crash is held against its task. One under which
two workers have crashed therefore runs alone, so that the next crash shows
whether it was the cause.
"""

from collections.abc import Sequence
from typing import Final

from msgspec import Struct

from primroseledge.ids import WorkerId

PROVEN_RUN_S: Final = 2.0
"""Time in s after which a run no longer counts as a cause of a crash."""

ISOLATION_CRASHES: Final = 2
"""Number of crashes under a task from which on it runs alone."""

MIN_CULPRIT_CRASHES: Final = 3
"""Least number of crashes under a task that is given up."""

MAX_RUNTIME_SPREAD_MS: Final = 250
"""Greatest difference in ms between the runtimes of a task until its crashes.

Crashes for other reasons come at any time.
"""

MAX_CRASHES: Final = 4
"""Number of crashes at which a task is given up whatever else is known.

The platform's rules allow two more starts after three crashes.
"""


class Crash(Struct, frozen=True, array_like=True):
    """A crash of a worker soon after it had started a task.

    ``at_ms`` is when it was found, in ms since 1970, and ``ran_ms`` for how
    long the run had been there at most, in ms. ``others`` is the number of
    runs of other jobs that fell with it and may be the cause as well.
    """

    run_number: int
    worker: WorkerId
    at_ms: int
    ran_ms: int
    others: int


def is_culprit(crashes: Sequence[Crash]) -> bool:
    """Return whether a task is given up after these crashes under it.

    It is if no task of another job can be the cause of the last one and all
    came after about the same time, or if there were ``MAX_CRASHES``.
    """
    if len(crashes) >= MAX_CRASHES:
        return True
    if len(crashes) < MIN_CULPRIT_CRASHES or crashes[-1].others:
        return False
    runtimes_ms = [crash.ran_ms for crash in crashes]
    return max(runtimes_ms) - min(runtimes_ms) <= MAX_RUNTIME_SPREAD_MS


def describe_crashes(crashes: Sequence[Crash]) -> str:
    """Return the workers that crashed, and how soon, for logs and callers."""
    return ', '.join(
        f'{crash.worker} after {crash.ran_ms} ms beside {crash.others} others'
        for crash in crashes
    )
