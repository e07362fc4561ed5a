"""Judge by the store's answers whether new jobs can be stored in time.

It answers the load that arrives while the store is down. Such a job can't be
accepted, so its caller is told at once that it has not run and when to come
back, and does not wait until its deadline has passed. A store that is only
slow still serves callers, and does not count as failing.
"""

from dataclasses import dataclass
from math import inf
from typing import Final

MAX_STORE_WAIT_S: Final = 1.0
"""Time after which a batch without an answer shows that the store fails."""

MIN_OUTAGE_S: Final = 0.3
"""Time for which the store must have refused connections to count as failing.

A single connection that was reset is opened again sooner.
"""

RETRY_AFTER_S: Final = 1.0
"""Time after which callers of refused jobs should retry.

Callers wait a few seconds at most, so that a longer time would take most of
their tries; they come back spread in time as they came.
"""


@dataclass(slots=True)
class StoreHealth:
    """What the owner knows about the store.

    ``unavailable_since`` is since when this instance's watch of the store has
    failed, or None. ``stored_batch_sent_at`` is when the last batch that was
    stored had been sent, and ``last_stored_at`` when the store answered one.
    Times are on the owner's monotonic clock.
    """

    unavailable_since: float | None = None
    stored_batch_sent_at: float = 0.0
    last_stored_at: float = -inf

    def is_failing(self, batch_built_at: float | None, now: float) -> bool:
        """Return whether a job that arrives now can't be stored in time.

        ``batch_built_at`` is the time of the oldest batch in flight, or None.
        The store answers if it stored another one recently. A batch that was
        sent since the watch failed, and stored, shows that only the watch is
        cut off.
        """
        if batch_built_at is not None:
            waits_since = max(batch_built_at, self.last_stored_at)
            if now >= waits_since + MAX_STORE_WAIT_S:
                return True
        since = self.unavailable_since
        if since is None or self.stored_batch_sent_at >= since:
            return False
        return now >= since + MIN_OUTAGE_S
