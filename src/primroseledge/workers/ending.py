"""Why a worker has ended, by what its owner knows of it.

Only a crash says something about the tasks that were on the worker. A worker
that leaves reports that it drains first, so the list of workers tells the two
apart, unless it was older than ``MAX_LIST_AGE_S`` when the worker fell silent.
"""

from enum import Enum
from typing import Final

from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerState

MAX_LIST_AGE_S: Final = 2.0
"""Greatest age in s of a list of workers that shows who is draining.

A worker drains for 2 s or longer before it ends.
"""

CUT_OFF_S: Final = 1.0
"""Time in s of silence without a closed connection that shows a cut.

The address of a crashed worker refuses connections, or a proxy there breaks
them off, until the next one listens; a link that is cut answers nothing.
"""


REMOVAL_S: Final = 15.0
"""Time in s after the last call that ends a worker in which it may do so.

The platform may carry an unanswered call out seconds later.
"""


class EndCause(Enum):
    """Why a worker has ended.

    ``REMOVED``: its owner took it out of service. ``CUT_OFF``: it could not
    be reached for a while before. ``UNKNOWN``: the list of workers was too
    old to show whether it was draining, or never had it.
    """

    CRASHED = 'crashed'
    LEFT = 'left'
    REMOVED = 'removed by the owner'
    CUT_OFF = 'cut off'
    UNKNOWN = 'unknown'


def find_end_cause(worker: Worker, listed_at: float, now: float) -> EndCause:
    """Return why a worker that is known to have ended did so.

    ``listed_at`` is when the read of the newest list of workers began.
    """
    if now < worker.removal_sent_at + REMOVAL_S:
        return EndCause.REMOVED
    if worker.entry.state is WorkerState.DRAINING:
        return EndCause.LEFT
    if worker.entry.state is WorkerState.GONE:
        return EndCause.UNKNOWN
    silent_since = now if worker.silent_since is None else worker.silent_since
    if listed_at < silent_since - MAX_LIST_AGE_S:
        return EndCause.UNKNOWN
    if not worker.has_closed_connection and now > silent_since + CUT_OFF_S:
        return EndCause.CUT_OFF
    return EndCause.CRASHED
