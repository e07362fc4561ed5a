"""Ended attempts that a later owner of the cell may have to know."""

import collections
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from msgspec import structs

from primroseledge.ids import GrantId
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import EndState

HISTORY_S: Final = 600.0
MAX_HISTORY: Final = 5_000
"""Bounds the memory; a full report of it is below a megabyte."""


@dataclass(frozen=True, slots=True)
class Ended:
    """An ended attempt, and when a run of it has ended in any case."""

    carried: Carried
    run_ends_at: float
    forget_at: float


@dataclass(slots=True)
class AttemptHistory:
    """What one entry instance carried, for the window of the ids.

    Dropping an attempt early costs a later owner only certainty: it
    does not run ids from before its time. Attempts that may still run
    are never dropped early.
    """

    window_s: float = HISTORY_S
    max_entries: int = MAX_HISTORY
    entries: collections.OrderedDict[GrantId, Ended] = field(
        default_factory=collections.OrderedDict
    )

    def __contains__(self, grant_id: GrantId) -> bool:
        return grant_id in self.entries

    def add(self, carried: Carried, now: float, run_ends_at: float) -> None:
        """Keep an attempt that ran or may have run."""
        forget_at = max(run_ends_at, now + self.window_s)
        self.entries[carried.grant_id] = Ended(carried, run_ends_at, forget_at)
        if len(self.entries) > self.max_entries:
            self.drop_oldest(now)

    def drop_oldest(self, now: float) -> None:
        """Drop the oldest attempt that cannot be running."""
        for grant_id, ended in self.entries.items():
            is_over = ended.run_ends_at <= now
            if is_over or ended.carried.end is EndState.ENDED:
                del self.entries[grant_id]
                return

    def expire(self, now: float) -> None:
        """Drop the attempts whose window is over."""
        while self.entries:
            ended = next(iter(self.entries.values()))
            if ended.forget_at > now:
                return
            self.entries.popitem(last=False)

    def carried(self, now: float) -> tuple[Carried, ...]:
        """Return the attempts for a report."""
        return tuple(
            with_remaining(ended.carried, ended.run_ends_at - now)
            for ended in self.entries.values()
        )


def with_remaining(carried: Carried, remaining_s: float) -> Carried:
    """Return a report item with the time that its run may yet take."""
    return structs.replace(carried, remaining_s=remaining_s)
