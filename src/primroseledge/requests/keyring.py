"""All teams' keys in force, found by key id."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import KeyId
from primroseledge.ids import Revision
from primroseledge.ids import TeamId
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.keys import is_key_valid
from primroseledge.storage.keys import parse_key


@dataclass(slots=True)
class Keyring:
    """An index over the keys of a configuration.

    It is rebuilt when the configuration's revision has changed, so a
    withdrawn key is gone with the revision that withdrew it.
    """

    configuration: Configuration
    revision: Revision = Revision(-1)
    records: dict[KeyId, tuple[TeamId, KeyRecord]] = field(
        default_factory=dict
    )

    def find_team(self, text: str) -> TeamId | None:
        """Return the team to which a key belongs, None for no team."""
        presented = parse_key(text)
        if presented is None:
            return None
        if self.revision != self.configuration.revision:
            self.rebuild()
        team, record = self.records.get(presented.id, (None, None))
        if team is None or record is None:
            return None
        return team if is_key_valid(record, presented.secret) else None

    def is_in_force(self, team: TeamId, key_id: KeyId) -> bool:
        """Tell whether a team's key, checked before, still stands."""
        if self.revision != self.configuration.revision:
            self.rebuild()
        found = self.records.get(key_id)
        return found is not None and found[0] == team

    def rebuild(self) -> None:
        """Index the keys of the configuration as it stands."""
        self.records = {
            KeyId(record.id): (team, record)
            for team, document in self.configuration.teams.items()
            for record in document.keys
        }
        self.revision = self.configuration.revision
