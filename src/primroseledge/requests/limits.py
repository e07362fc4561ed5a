"""How much each team has running, against its upper limit.

No entry instance carries more than its cap of a team, in all of its
runs and under all owners together. So what an earlier owner granted to
one that did not report is at most that, and is held back.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import EntryId
from primroseledge.ids import TeamId


def entry_cap(limit: int, members: int) -> int:
    """Return how many attempts of a team one entry instance may carry.

    Twice an even part, so that an uneven balancer does no harm while
    one dead entry instance hides only a small part of the limit.
    """
    return max(1, -(-2 * limit // max(1, members)))


@dataclass(slots=True)
class TeamLimits:
    """The running attempts of each team in a cell.

    ``hidden`` are the entry instances of which more may be running
    than is counted, until ``hidden_until``.
    """

    configuration: Configuration
    running: dict[TeamId, int] = field(default_factory=dict)
    carried: dict[tuple[TeamId, EntryId], int] = field(default_factory=dict)
    hidden: frozenset[EntryId] = frozenset()
    hidden_until: float = 0.0

    def start(self, team: TeamId, entry: EntryId) -> None:
        """Count an attempt."""
        self.running[team] = self.running.get(team, 0) + 1
        key = team, entry
        self.carried[key] = self.carried.get(key, 0) + 1

    def stop(self, team: TeamId, entry: EntryId) -> None:
        """Count an attempt as ended."""
        self.running[team] -= 1
        self.carried[team, entry] -= 1

    def has_room(self, team: TeamId) -> bool:
        """Tell whether one more attempt of a team stays in its limit."""
        document = self.configuration.teams.get(team)
        if document is None:
            return False
        return self.counted(team) < document.limit

    def counted(self, team: TeamId) -> int:
        """Return how much a team has running at most."""
        held_back = len(self.hidden) * self.cap(team)
        return self.running.get(team, 0) + held_back

    def has_entry_room(self, team: TeamId, entry: EntryId) -> bool:
        """Tell whether an entry instance may carry one more attempt.

        One of which more may be running is taken to be at its cap. Else
        it could carry twice that, and if this owner is lost too, the
        next one would hold back too little.
        """
        if entry in self.hidden:
            return False
        return self.carried.get((team, entry), 0) < self.cap(team)

    def cap(self, team: TeamId) -> int:
        """Return how many attempts of a team one instance may carry."""
        limit = self.configuration.teams[team].limit
        return entry_cap(limit, len(self.configuration.members))

    def load(self, team: TeamId) -> float:
        """Return what a team has running, by its share."""
        share = self.configuration.teams[team].share
        return self.running.get(team, 0) / share

    def hold_back(self, unreported: Iterable[EntryId], until: float) -> None:
        """Count what unreported entry instances may carry.

        Call before the first grant. Nothing is deducted for what others
        reported: an attempt may be reported that the earlier owner had
        counted as ended, and replaced by one that is hidden now.
        """
        self.hidden = frozenset(unreported)
        self.hidden_until = until

    def tick(self, now: float) -> None:
        """Release what was held back once it must have ended."""
        if now >= self.hidden_until:
            self.hidden = frozenset()
