"""How many log lines a second may be written, and of what.

It answers floods: a caller that asks too often or a store that is gone
must not make a process write thousands of lines a second. Each event has
a part of its own, so that one event cannot crowd out the others; ends of
jobs and refusals have a larger one, since callers ask about those.
"""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from logging import WARNING
from typing import Final

from primroseledge.observability.events import Event

WINDOW_S: Final = 1.0
LINES_PER_EVENT: Final = 400
"""Lines of one event in a window."""

LINES_PER_KEPT_EVENT: Final = 600
"""The same for events that callers ask about."""

LINES_BELOW_WARNING: Final = 1_200
LINES_FROM_WARNING: Final = 400
"""Lines of all events of these levels in a window."""

KEPT_EVENTS: Final = frozenset(
    event.value.number
    for event in (
        Event.REQUEST_REFUSED,
        Event.JOB_ENDED,
        Event.JOB_REFUSED,
        Event.CALL_UNSERVED,
    )
)


@dataclass(slots=True)
class LogBudget:
    """The lines of the window under way; times are in seconds."""

    window_from: float = 0.0
    by_event: Counter[int] = field(default_factory=Counter)
    below_warning: int = 0
    from_warning: int = 0
    dropped: Counter[int] = field(default_factory=Counter)

    def is_over(self, now: float) -> bool:
        """Tell whether the window has ended."""
        return now >= self.window_from + WINDOW_S

    def begin_window(self, now: float) -> dict[int, int]:
        """Begin a window; return the lines dropped before, by event."""
        dropped = dict(self.dropped)
        self.window_from = now
        self.by_event.clear()
        self.below_warning = 0
        self.from_warning = 0
        self.dropped.clear()
        return dropped

    def admits(self, number: int, level: int) -> bool:
        """Count a line; tell whether it may be written."""
        is_kept = number in KEPT_EVENTS
        limit = LINES_PER_KEPT_EVENT if is_kept else LINES_PER_EVENT
        if self.by_event[number] >= limit or not self.has_room(level):
            self.drop(number)
            return False
        self.by_event[number] += 1
        if level >= WARNING:
            self.from_warning += 1
        else:
            self.below_warning += 1
        return True

    def has_room(self, level: int) -> bool:
        """Tell whether a level may have another line."""
        if level >= WARNING:
            return self.from_warning < LINES_FROM_WARNING
        return self.below_warning < LINES_BELOW_WARNING

    def drop(self, number: int) -> None:
        """Count a line that is not written."""
        self.dropped[number] += 1
