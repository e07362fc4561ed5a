"""A small key-value service in memory, with faults on demand."""

from collections.abc import Callable

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot

DOWN = 'down'
LOST_BEFORE = 'lost before the write'
LOST_AFTER = 'lost after the write'
FINE = 'fine'


class FakeStore:
    """Holds records; ``faults`` gives the fate of the next writes.

    ``others`` are writes of another operator, made while the answer of
    a write with a fault is awaited.
    """

    def __init__(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.faults: list[str] = []
        self.is_down = False
        self.others: list[Callable[[], object]] = []

    def read(self, prefix: str) -> Snapshot:
        if self.is_down:
            raise StoreUnavailableError('the store is down')
        records = [
            self.records[key]
            for key in sorted(self.records)
            if key.startswith(prefix)
        ]
        return Snapshot(Revision(self.revision), tuple(records))

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
        lease: str | None = None,
    ) -> Revision:
        fault = FINE
        if key.startswith(('config/', 'plans/')) and self.faults:
            fault = self.faults.pop(0)
        if self.is_down or fault == DOWN:
            raise StoreUnavailableError('the store is down')
        if fault == LOST_BEFORE:
            self.let_others_write()
            raise StoreOutcomeUnknownError('no answer')
        revision = self.put(key, value, expected, write_id)
        if fault == LOST_AFTER:
            self.let_others_write()
            raise StoreOutcomeUnknownError('no answer')
        return revision

    def put(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: str,
    ) -> Revision:
        """Write at once, without faults."""
        held = self.records.get(key)
        found = held.revision if held else 0
        if expected is not None and found != expected:
            raise ConflictError(f'{key}: revision {found}, not {expected}')
        self.revision += 1
        revision = Revision(self.revision)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = Record(key, value, revision, WriteId(write_id))
        return revision

    def let_others_write(self) -> None:
        """Make the writes that another operator makes meanwhile."""
        while self.others:
            self.others.pop(0)()

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Snapshot:
        raise StoreError('no test needs this call')

    def grant_lease(self, ttl_s: float) -> str:
        raise StoreError('no test needs this call')

    def keep_alive(self, lease: str) -> None:
        raise StoreError('no test needs this call')

    def close(self) -> None:
        """Nothing is open."""
