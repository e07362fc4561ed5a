"""When the owner reads the platform's list of workers again."""

from dataclasses import dataclass
from typing import Final

WORKER_LIST_MAX_AGE_S: Final = 1.0
"""Greatest age of the owner's list of workers, in seconds."""

WORKER_LIST_RETRY_S: Final = 0.2

WORKER_LIST_BUSY_MAX_AGE_S: Final = 0.3
"""Greatest age of the owner's list of workers, in seconds.

It applies while instances are being moved or are in maintenance.
"""


@dataclass(slots=True)
class WorkerListTiming:
    """When the list of workers was last read, and whether a read is running.

    The newest read began at ``begun_at``. Times are those of the boot clock,
    in seconds.
    """

    listed_at: float = 0.0
    retry_at: float = 0.0
    begun_at: float = 0.0
    is_in_flight: bool = False

    def record_listed(self, now: float) -> None:
        """Record that the list was read."""
        self.is_in_flight = False
        self.listed_at = now

    def record_failure(self, now: float) -> None:
        """Record a failed read; the next is due ``WORKER_LIST_RETRY_S`` on."""
        self.is_in_flight = False
        self.retry_at = now + WORKER_LIST_RETRY_S

    def begin_if_due(self, has_operations: bool, now: float) -> bool:
        """Return whether a read is due now; it then counts as in flight.

        ``has_operations`` says whether instances are being moved or are in
        maintenance.
        """
        max_age_s = (
            WORKER_LIST_BUSY_MAX_AGE_S
            if has_operations
            else WORKER_LIST_MAX_AGE_S
        )
        if self.is_in_flight or now < max(
            self.retry_at, self.listed_at + max_age_s
        ):
            return False
        self.is_in_flight = True
        self.begun_at = now
        return True
