"""What became of each change of a document, by the writes' ids.

Before a change is written, an entry ``history/<kind>/<id>/<write>``
notes it and the write that it replaces. Only entries on the chain back
from the record in force took effect; the others were never written.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Final

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from msgspec import ValidationError

from primroseledge.ids import WriteId
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.store import Record

HISTORY_PREFIX: Final = 'history/'
MAX_ENTRIES: Final = 50


class HistoryEntry(Struct, frozen=True):
    """One change; ``at`` is the operator's wall clock in seconds.

    ``value`` is the document's text, None when it was deleted.
    ``replaces`` is the write that made the record before.
    """

    write_id: WriteId
    replaces: WriteId
    at: float
    by: str
    value: str | None


def history_prefix(key: str) -> str:
    """Return the prefix of the entries of a ``config/`` key."""
    return f'{HISTORY_PREFIX}{key.removeprefix(CONFIG_PREFIX)}/'


def history_key(key: str, write_id: WriteId) -> str:
    """Return the key of one entry."""
    return f'{history_prefix(key)}{write_id}'


def encode_entry(entry: HistoryEntry) -> str:
    """Return the JSON text of an entry."""
    return json.encode(entry).decode()


def read_entries(records: Iterable[Record]) -> dict[WriteId, HistoryEntry]:
    """Decode entries; one that cannot be decoded is left out."""
    entries = dict[WriteId, HistoryEntry]()
    for record in records:
        if record.value is None:
            continue
        try:
            entry = json.decode(record.value, type=HistoryEntry)
        except (ValidationError, DecodeError):
            continue
        entries[entry.write_id] = entry
    return entries


def chain(
    entries: dict[WriteId, HistoryEntry], newest: WriteId
) -> Iterator[HistoryEntry]:
    """Yield the entries that took effect, from the newest back."""
    seen = set[WriteId]()
    while newest in entries and newest not in seen:
        seen.add(newest)
        yield entries[newest]
        newest = entries[newest].replaces


def stale_entries(
    entries: dict[WriteId, HistoryEntry], newest: WriteId
) -> list[WriteId]:
    """Return the entries beyond the newest ones that are kept."""
    applied = list(chain(entries, newest))
    return [entry.write_id for entry in applied[MAX_ENTRIES:]]
