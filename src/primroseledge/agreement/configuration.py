"""The documents in force on one entry instance, by revision.

The view is complete up to ``revision``: it is the state that the
store had then. So a change whose revision is not larger is already
part of it, and no table of deletions is needed to keep an old delta
from bringing a document back.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final
from typing import TypeVar

from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.documents import decode_document
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot

HISTORY_LENGTH: Final = 1024
MEMBERS_KEY: Final = document_key('members', 'all')

KeyT = TypeVar('KeyT')
DocumentT = TypeVar('DocumentT', bound=Document)


@dataclass(frozen=True, slots=True)
class Applied:
    """What became of a delta.

    ``needs_pull`` asks for the changes between our revision and the
    delta's start. ``changed`` and ``rejected`` are keys.
    """

    is_applied: bool
    needs_pull: bool = False
    changed: tuple[str, ...] = ()
    rejected: tuple[str, ...] = ()


IGNORED: Final = Applied(is_applied=False)


class Configuration:
    """The documents in force; a refused one leaves the last good one.

    ``good`` and ``refused`` hold the texts by key: what is in force,
    and the newest version where that was refused. ``lacking`` are keys
    whose newest version was refused and of which no good one is known;
    a whole delta of a peer may bring it.
    """

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.documents: dict[str, Document] = {}
        self.teams: dict[TeamId, Team] = {}
        self.services: dict[ServiceId, Service] = {}
        self.pools: dict[PoolId, Pool] = {}
        self.instances: dict[InstanceId, Instance] = {}
        self.members: tuple[EntryId, ...] = ()
        self.rejected: dict[str, str] = {}
        self.good: dict[str, ConfigChange] = {}
        self.refused: dict[str, ConfigChange] = {}
        self.history: list[ConfigChange] = []
        self.history_start = Revision(0)

    @property
    def lacking(self) -> tuple[str, ...]:
        """Return the keys with a refused version and no good one."""
        return tuple(key for key in self.refused if key not in self.good)

    def apply(self, delta: ConfigDelta) -> Applied:
        """Apply a delta if it starts at or before our revision.

        An old delta is ignored, but a whole one fills ``lacking``.
        """
        if delta.upto <= self.revision:
            return self.fill(delta) if delta.is_whole else IGNORED
        if delta.after > self.revision and not delta.is_whole:
            return Applied(is_applied=False, needs_pull=True)
        before = self.revision
        changes = [c for c in delta.changes if before < c.revision]
        if delta.is_whole:
            changes += self.deletions(delta)
        changes.sort(key=lambda change: change.revision)
        changed, rejected = self.take(changes)
        self.revision = delta.upto
        if delta.is_whole:
            self.history.clear()
            self.history_start = delta.upto
            changed += self.fill(delta).changed
        else:
            self.remember(changes)
        return Applied(True, False, changed, rejected)

    def delta_after(self, revision: Revision) -> ConfigDelta:
        """Return all changes after a revision; whole when too old."""
        if revision >= self.revision:
            return ConfigDelta(self.revision, self.revision, ())
        if revision < self.history_start:
            return self.whole()
        newest = {c.key: c for c in self.history if c.revision > revision}
        changes: list[ConfigChange] = []
        for key, change in newest.items():
            versions = [
                held[key]
                for held in (self.good, self.refused)
                if key in held and held[key].revision > revision
            ]
            changes += versions or [change]
        return ConfigDelta(revision, self.revision, tuple(changes))

    def whole(self) -> ConfigDelta:
        """Return a full copy, refused versions included."""
        changes = (*self.good.values(), *self.refused.values())
        return ConfigDelta(Revision(0), self.revision, changes, is_whole=True)

    def deletions(self, delta: ConfigDelta) -> list[ConfigChange]:
        """Return a deletion for each of our keys that a copy lacks."""
        present = {change.key for change in delta.changes}
        return [
            ConfigChange(key, None, delta.upto)
            for key in {*self.good, *self.refused} - present
        ]

    def fill(self, delta: ConfigDelta) -> Applied:
        """Take good versions of ``lacking`` keys out of a copy."""
        lacking = set(self.lacking)
        changes = [
            change
            for change in delta.changes
            if change.key in lacking
            and change.revision < self.refused[change.key].revision
        ]
        if not changes:
            return IGNORED
        refused = {key: self.refused[key] for key in lacking}
        errors = {key: self.rejected[key] for key in lacking}
        changed, _ = self.take(changes)
        self.refused.update(refused)
        self.rejected.update(errors)
        return Applied(bool(changed), False, changed)

    def take(
        self, changes: Iterable[ConfigChange]
    ) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Put changes in force in order; return changed and refused."""
        changed: dict[str, None] = {}
        refused: dict[str, None] = {}
        for change in changes:
            if self.put(change):
                changed[change.key] = None
                refused.pop(change.key, None)
            else:
                refused[change.key] = None
        self.rebuild(changed)
        return tuple(changed), tuple(refused)

    def put(self, change: ConfigChange) -> bool:
        """Put one change in force; return False when it is refused."""
        if change.value is None:
            self.forget(change.key)
            return True
        try:
            document = decode_document(change.key, change.value)
        except DocumentError as error:
            self.refused[change.key] = change
            self.rejected[change.key] = str(error)
            return False
        self.forget(change.key)
        self.good[change.key] = change
        self.documents[change.key] = document
        return True

    def forget(self, key: str) -> None:
        """Drop every version of a key."""
        for versions in (self.good, self.refused):
            versions.pop(key, None)
        self.rejected.pop(key, None)
        self.documents.pop(key, None)

    def remember(self, changes: Iterable[ConfigChange]) -> None:
        """Add changes to the history and keep it within its bound."""
        self.history.extend(changes)
        excess = len(self.history) - HISTORY_LENGTH
        if excess > 0:
            self.history_start = self.history[excess - 1].revision
            del self.history[:excess]

    def rebuild(self, changed: Iterable[str]) -> None:
        """Bring the typed views up to date for changed keys."""
        has_placement = False
        for key in changed:
            kind_name, _, name = key.removeprefix(CONFIG_PREFIX).partition('/')
            document = self.documents.get(key)
            if kind_name == 'team':
                replace(self.teams, TeamId(name), document, Team)
            elif kind_name == 'service':
                replace(self.services, ServiceId(name), document, Service)
            elif kind_name == 'pool':
                replace(self.pools, PoolId(name), document, Pool)
            has_placement |= kind_name == 'placement'
        members = self.documents.get(MEMBERS_KEY)
        if isinstance(members, Members):
            self.members = members.entry_ids
        if has_placement:
            self.instances = self.placed_instances()

    def placed_instances(self) -> dict[InstanceId, Instance]:
        """Return each instance once, from the first shard that has it.

        Shards are taken in order of their keys, so that all nodes put
        an instance that stands in two by mistake in the same pool.
        """
        instances: dict[InstanceId, Instance] = {}
        for key in sorted(self.documents):
            document = self.documents[key]
            if not isinstance(document, Placement):
                continue
            for instance in document.instances.values():
                instances.setdefault(instance.instance_id, instance)
        return instances


def replace(
    view: dict[KeyT, DocumentT],
    name: KeyT,
    document: Document | None,
    wanted: type[DocumentT],
) -> None:
    """Set or remove one document in a typed view."""
    if isinstance(document, wanted):
        view[name] = document
    else:
        view.pop(name, None)


def snapshot_delta(
    snapshot: Snapshot, after: Revision | None = None
) -> ConfigDelta:
    """Return the delta of a store call's result.

    Without ``after`` the snapshot is a read, thus a full copy. With
    it, it is the result of a watch for changes after that revision;
    its end is the last change, since the store's counter also counts
    writes to other keys, and every node would pull to follow them.
    """
    changes = tuple(
        record_change(record)
        for record in snapshot.records
        if record.key.startswith(CONFIG_PREFIX)
    )
    if after is None:
        return ConfigDelta(
            Revision(0), snapshot.revision, changes, is_whole=True
        )
    upto = max((change.revision for change in changes), default=after)
    return ConfigDelta(after, Revision(max(after, upto)), changes)


def record_change(record: Record) -> ConfigChange:
    """Return a store's record as a change."""
    return ConfigChange(record.key, record.value, record.revision)


def create_configuration() -> Configuration:
    """Create an empty view, older than any revision of the store."""
    return Configuration()
