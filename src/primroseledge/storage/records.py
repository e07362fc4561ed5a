"""Typed records in the store, changed by compare-and-swap."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final
from typing import Generic
from typing import TypeVar

from msgspec import json

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store import Record
from primroseledge.storage.store import Store

MAX_READ_BACKS: Final = 3
MISSING: Final = Revision(0)

ValueT = TypeVar('ValueT')


@dataclass(frozen=True, slots=True)
class Versioned(Generic[ValueT]):
    """A value with the revision at which it was read or written."""

    value: ValueT
    revision: Revision


class Records:
    """Reads and swaps typed values; reads back lost answers."""

    def __init__(
        self, store: Store, next_write_id: Callable[[], WriteId]
    ) -> None:
        self.store = store
        self.next_write_id = next_write_id

    def load(self, key: str, empty: ValueT) -> Versioned[ValueT]:
        """Return the value under a key, ``empty`` when there is none."""
        record = self.find(key)
        if record is None or record.value is None:
            return Versioned(empty, MISSING)
        value = json.decode(record.value, type=type(empty))
        return Versioned(value, record.revision)

    def swap(
        self, key: str, value: ValueT, expected: Revision
    ) -> Versioned[ValueT]:
        """Write a value if the key still has the expected revision.

        When the answer is lost, the record is read: it holds the id
        of the write that made it. Raises ConflictError when another
        write came first, StoreUnavailableError when nothing was
        written, and StoreOutcomeUnknownError when that can't be told.
        """
        text = json.encode(value).decode()
        write_id = self.next_write_id()
        for _ in range(MAX_READ_BACKS):
            try:
                revision = self.store.write(key, text, expected, write_id)
                return Versioned(value, revision)
            except (StoreOutcomeUnknownError, ConflictError) as error:
                record = self._read_back(key)
                if record is not None and record.write_id == write_id:
                    return Versioned(value, record.revision)
                found = MISSING if record is None else record.revision
                if found != expected:
                    raise ConflictError(f'{key}: changed meanwhile') from error
        raise StoreOutcomeUnknownError(f'{key}: no answer to the write')

    def remove(self, key: str, expected: Revision) -> None:
        """Delete a key if it still has the expected revision."""
        self.store.write(key, None, expected, self.next_write_id())

    def _read_back(self, key: str) -> Record | None:
        try:
            return self.find(key)
        except StoreUnavailableError as error:
            raise StoreOutcomeUnknownError(f'{key}: {error}') from error

    def find(self, key: str) -> Record | None:
        """Return the record under exactly this key, or None."""
        for record in self.store.read(key).records:
            if record.key == key:
                return record
        return None
