"""A taker's wait until no earlier owner of the cell can act."""

from typing import Final

from primroseledge.freshness import majority
from primroseledge.ids import EntryId
from primroseledge.messages import Report

INFINITY: Final = float('inf')


class Takeover:
    """The reports that a taker gathers for its epoch.

    ``was_released`` says that the earlier owner, ``predecessor``,
    stopped before it was replaced, so nothing has to be waited out.
    """

    def __init__(
        self, written_at: float, was_released: bool, predecessor: EntryId
    ) -> None:
        self.written_at = written_at
        self.was_released = was_released
        self.predecessor = predecessor
        self.reports: dict[EntryId, Report] = {}
        self.reported_at: dict[EntryId, float] = {}

    def add(self, sender: EntryId, report: Report, now: float) -> None:
        """Take a report; the sender has obeyed the epoch since then."""
        self.reports[sender] = report
        self.reported_at.setdefault(sender, now)

    def voted_at(self, members: tuple[EntryId, ...]) -> float:
        """Return when a majority had reported, or infinity."""
        times = sorted(
            self.reported_at.get(member, INFINITY) for member in members
        )
        needed = majority(len(members))
        return times[needed - 1] if needed <= len(times) else INFINITY

    def is_reported(
        self,
        members: tuple[EntryId, ...],
        alive: tuple[EntryId, ...],
        now: float,
        wait_s: float,
    ) -> bool:
        """Return whether enough reports are here.

        That is a majority's, and those of all live entry instances
        unless one takes longer than ``wait_s``.
        """
        if self.voted_at(members) == INFINITY:
            return False
        missing = set(alive) - self.reports.keys()
        return not missing or now >= self.written_at + wait_s

    def stopped_at(
        self, members: tuple[EntryId, ...], lapse_s: float
    ) -> float:
        """Return the latest time at which an earlier owner can act.

        Evidence of an earlier epoch is dated before the write took
        effect or before a majority obeyed the new one, and lapses.
        """
        if self.was_released:
            return self.written_at
        return max(self.written_at, self.voted_at(members)) + lapse_s

    def unreported(
        self, entries: set[EntryId], young: set[EntryId]
    ) -> tuple[EntryId, ...]:
        """Return the entry instances of which more may be running.

        Those are all that sent no report, and the ``young``, whose
        earlier run may have left attempts behind. An owner that
        released the cell reports all that it granted, to whomever.
        """
        if self.was_released and self.predecessor in self.reports:
            return ()
        return tuple(sorted((entries - self.reports.keys()) | young))
