"""A small in-memory store with faults, for tests of the policy."""

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot


class FakeStore:
    """Holds records; can be down, lose answers, or stop a writer.

    ``writes_left`` ends a writer after so many writes, as a crash
    would: the write after that raises CrashError, not carried out.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.records: dict[str, Record] = {}
        self.is_down = False
        self.lost_after: int = 0
        self.lost_before: int = 0
        self.writes_left: int | None = None
        self.calls = 0

    def read(self, prefix: str) -> Snapshot:
        self._check()
        found = tuple(
            record
            for key, record in self.records.items()
            if key.startswith(prefix)
        )
        return Snapshot(Revision(self.revision), found)

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
        lease: str | None = None,
    ) -> Revision:
        self._check()
        if self.writes_left is not None:
            if self.writes_left <= 0:
                raise CrashError('the controller crashed')
            self.writes_left -= 1
        if self.lost_before > 0:
            self.lost_before -= 1
            raise StoreOutcomeUnknownError('lost before')
        record = self.records.get(key)
        found = record.revision if record else Revision(0)
        if expected is not None and found != expected:
            raise ConflictError(f'{key}: {found} is not {expected}')
        self.revision += 1
        revision = Revision(self.revision)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = Record(key, value, revision, write_id)
        if self.lost_after > 0:
            self.lost_after -= 1
            raise StoreOutcomeUnknownError('lost after')
        return revision

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Snapshot:
        return self.read(prefix)

    def grant_lease(self, ttl_s: float) -> str:
        self._check()
        return 'lease'

    def keep_alive(self, lease: str) -> None:
        self._check()

    def _check(self) -> None:
        self.calls += 1
        if self.is_down:
            raise StoreUnavailableError('down')


class CrashError(Exception):
    """The process ended at this point; no StoreError on purpose."""


assert not issubclass(CrashError, StoreError)
