"""An in-memory key-value service for tests of the agreement's cores."""

from collections.abc import Iterable

from primroseledge.errors import ConflictError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot


class MemoryStore:
    """Records, their changes in order, and a count of calls."""

    def __init__(self) -> None:
        self.revision = Revision(0)
        self.records: dict[str, Record] = {}
        self.log: list[Record] = []
        self.calls = 0

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
    ) -> Revision:
        """Write by compare-and-swap; raise ConflictError."""
        self.calls += 1
        present = self.records.get(key)
        held = present.revision if present else Revision(0)
        if expected is not None and expected != held:
            raise ConflictError(f'{key} has revision {held}')
        self.revision = Revision(self.revision + 1)
        record = Record(key, value, self.revision, write_id)
        self.log.append(record)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = record
        return self.revision

    def read(self, prefix: str) -> Snapshot:
        """Return the records under a prefix."""
        self.calls += 1
        return Snapshot(self.revision, tuple(under(self.records, prefix)))

    def changes(self, prefix: str, after: Revision) -> Snapshot:
        """Return the changes under a prefix after a revision."""
        later = []
        for record in reversed(self.log):
            if record.revision <= after:
                break
            if record.key.startswith(prefix):
                later.append(record)
        return Snapshot(self.revision, tuple(reversed(later)))

    def state_at(self, prefix: str, revision: Revision) -> dict[str, str]:
        """Return the values under a prefix as they were at a revision."""
        state: dict[str, str] = {}
        for record in self.log:
            if record.revision > revision:
                break
            if not record.key.startswith(prefix):
                continue
            if record.value is None:
                state.pop(record.key, None)
            else:
                state[record.key] = record.value
        return state


def under(records: dict[str, Record], prefix: str) -> Iterable[Record]:
    """Return the records under a prefix."""
    return [
        record for key, record in records.items() if key.startswith(prefix)
    ]
