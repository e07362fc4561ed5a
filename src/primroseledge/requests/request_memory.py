"""What became of requests that must not run twice, for a window of time.

A pure value. Times are wall-clock seconds of the cell's owner, so that
they compare with the time in a version 7 UUID.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import RequestId
from primroseledge.requests.messages import Remembered
from primroseledge.requests.outcomes import Reason

MAX_REMEMBERED: Final = 20_000
"""Bounds the memory; a report of it stays below the message limit."""

OWN_ID_PREFIX: Final = '~'
"""Begins ids that an entry instance gave to a request without one.

Nobody can send such an id again, and its entry instance runs one
attempt of it at a time, so that no memory is needed.
"""

CERTAINTY: Final = {
    Reason.IN_PROGRESS: 0,
    Reason.MEMORY_LOST: 1,
    Reason.ALREADY_RAN: 2,
}
"""Of two reports on one id the more certain one stands."""


@dataclass(slots=True)
class Entry:
    """What is remembered of one id, and until when."""

    reason: Reason
    issued_at: float
    forget_at: float


@dataclass(slots=True)
class RequestMemory:
    """The ids of a cell; complete but for what its bounds name.

    An id issued before ``lost_before`` may have run without being
    remembered; so may an id without a time until
    ``untimed_lost_until``. Neither runs.
    """

    window_s: float
    clock_skew_s: float
    max_entries: int = MAX_REMEMBERED
    entries: collections.OrderedDict[RequestId, Entry] = field(
        default_factory=collections.OrderedDict
    )
    lost_before: float = 0.0
    untimed_lost_until: float = 0.0

    def check(
        self, request_id: RequestId, issued_at: float, wall: float
    ) -> Reason | None:
        """Return why an id must not run, or None when it may."""
        if request_id.startswith(OWN_ID_PREFIX):
            return None
        entry = self.entries.get(request_id)
        if entry is not None:
            return entry.reason
        if issued_at > wall + self.clock_skew_s:
            return Reason.ID_IN_FUTURE
        if issued_at == 0.0:
            is_lost = wall < self.untimed_lost_until
            return Reason.MEMORY_LOST if is_lost else None
        if issued_at < wall - self.window_s:
            return Reason.ID_TOO_OLD
        return Reason.MEMORY_LOST if issued_at < self.lost_before else None

    def note(
        self,
        request_id: RequestId,
        reason: Reason,
        issued_at: float,
        wall: float,
    ) -> None:
        """Remember what became of an id."""
        if request_id.startswith(OWN_ID_PREFIX):
            return
        forget_at = max(issued_at, wall) + self.window_s
        self.entries[request_id] = Entry(reason, issued_at, forget_at)
        self.entries.move_to_end(request_id)
        if len(self.entries) > self.max_entries:
            self.evict()

    def merge(
        self, remembered: Iterable[Remembered], lost_before: float, wall: float
    ) -> None:
        """Take over what an earlier owner or a report remembers."""
        for item in remembered:
            known = self.entries.get(item.request_id)
            is_better = known is None or (
                CERTAINTY[item.reason] > CERTAINTY[known.reason]
            )
            if is_better:
                self.note(item.request_id, item.reason, item.issued_at, wall)
        self.lost_before = max(self.lost_before, lost_before)

    def forget(self, request_id: RequestId) -> None:
        """Drop an id that is proved not run."""
        self.entries.pop(request_id, None)

    def evict(self) -> None:
        """Drop the oldest id and note that the memory has a gap."""
        _, entry = self.entries.popitem(last=False)
        if entry.issued_at:
            self.lost_before = max(
                self.lost_before, entry.issued_at + self.clock_skew_s
            )
        else:
            self.untimed_lost_until = max(
                self.untimed_lost_until, entry.forget_at
            )

    def lose(self, wall: float) -> None:
        """Note that ids which came before now may be missing."""
        self.lost_before = wall + self.clock_skew_s
        self.untimed_lost_until = wall + self.window_s

    def expire(self, wall: float) -> None:
        """Drop what the window no longer needs."""
        while self.entries:
            entry = next(iter(self.entries.values()))
            if entry.forget_at > wall:
                return
            self.entries.popitem(last=False)

    def export(self) -> tuple[Remembered, ...]:
        """Return all that is remembered, for the next owner."""
        return tuple(
            Remembered(request_id, entry.reason, entry.issued_at)
            for request_id, entry in self.entries.items()
        )
