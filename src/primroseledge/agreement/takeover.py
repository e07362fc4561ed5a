"""A taker's wait until no earlier owner of the cell can act."""

from typing import Final

from primroseledge.agreement.freshness import majority
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.requests.messages import Report

INFINITY: Final = float('inf')


class Takeover:
    """The reports that a taker gathers for its epoch.

    ``predecessor`` is the record that was replaced; when it is
    released, its owner stopped before that and nothing has to be
    waited out.
    """

    def __init__(self, written_at: float, predecessor: OwnerRecord) -> None:
        self.written_at = written_at
        self.predecessor = predecessor
        self.is_complete = False
        self.reports: dict[EntryId, Report] = {}
        self.reported_at: dict[EntryId, float] = {}

    @property
    def was_released(self) -> bool:
        """Return whether the earlier owner stopped by itself."""
        return self.predecessor.is_released

    def add(
        self,
        sender: EntryId,
        incarnation: Incarnation,
        report: Report,
        now: float,
    ) -> None:
        """Take a report; the sender has obeyed the epoch since then.

        The run that released the cell reports all that it granted, to
        whomever; a later run of the same entry instance knows nothing,
        nor does a run that released while it waited itself.
        """
        past = self.predecessor
        is_past_owner = (sender, incarnation) == (past.owner, past.incarnation)
        self.is_complete |= past.is_whole and is_past_owner
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
        earlier run may have left attempts behind.
        """
        if self.is_complete:
            return ()
        return tuple(sorted((entries - self.reports.keys()) | young))
