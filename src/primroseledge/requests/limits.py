"""How much each team has running, against its upper limit.

What an earlier owner granted to entry instances that did not report is
held back from the limit, as if all of it still ran.
"""

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
    """The running attempts of each team in a cell."""

    configuration: Configuration
    running: dict[TeamId, int] = field(default_factory=dict)
    carried: dict[tuple[TeamId, EntryId], int] = field(default_factory=dict)
    hidden: dict[TeamId, int] = field(default_factory=dict)
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
        counted = self.running.get(team, 0) + self.hidden.get(team, 0)
        return counted < document.limit

    def has_entry_room(self, team: TeamId, entry: EntryId) -> bool:
        """Tell whether an entry instance may carry one more attempt."""
        return self.carried.get((team, entry), 0) < self.cap(team)

    def cap(self, team: TeamId) -> int:
        """Return how many attempts of a team one instance may carry."""
        limit = self.configuration.teams[team].limit
        return entry_cap(limit, len(self.configuration.members))

    def load(self, team: TeamId) -> float:
        """Return what a team has running, by its share."""
        share = self.configuration.teams[team].share
        return self.running.get(team, 0) / share

    def hold_back(self, unreported: int, until: float) -> None:
        """Count what unreported entry instances may carry.

        Call when all reports are counted, before the first grant.
        """
        members = len(self.configuration.members)
        self.hidden_until = until
        for team, document in self.configuration.teams.items():
            left = max(0, document.limit - self.running.get(team, 0))
            most = unreported * entry_cap(document.limit, members)
            self.hidden[team] = min(left, most)

    def tick(self, now: float) -> None:
        """Release what was held back once it must have ended."""
        if self.hidden and now >= self.hidden_until:
            self.hidden.clear()
