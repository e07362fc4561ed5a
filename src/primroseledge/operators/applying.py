"""Write a change to the store and say truthfully what became of it."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.operators.changes import Change
from primroseledge.operators.history import chain
from primroseledge.operators.history import encode_entry
from primroseledge.operators.history import history_key
from primroseledge.operators.history import history_prefix
from primroseledge.operators.history import HistoryEntry
from primroseledge.operators.history import read_entries
from primroseledge.operators.history import stale_entries
from primroseledge.storage.documents import encode_document
from primroseledge.storage.store import Record
from primroseledge.storage.store import Store

MAX_SENDS: Final = 3
"""How often one write is sent while its answer is lost."""


class Result(Enum):
    """What became of a change."""

    ACCEPTED = 'accepted'
    UNCHANGED = 'unchanged'
    REFUSED = 'refused'
    CONFLICT = 'conflict'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class Applied:
    """A result, with the record that a lost race or reading found."""

    result: Result
    write_id: WriteId
    revision: Revision = Revision(0)
    detail: str = ''
    current: Record | None = None


@dataclass(frozen=True, slots=True)
class Author:
    """Who makes a change and when, by their own wall clock."""

    name: str
    at: float


Pause = Callable[[], None]


def apply_change(
    store: Store,
    change: Change,
    write_id: WriteId,
    author: Author,
    pause: Pause,
) -> Applied:
    """Write a change by compare-and-swap.

    A write whose answer was lost is sent again, after a pause, under
    its write id; as it expects the same revision, it takes effect once
    at most. What became of it is then read from the record and its
    history.
    """
    if change.before == change.after:
        return Applied(Result.UNCHANGED, write_id, change.expected)
    try:
        current = read_record(store, change.key)
        if revision_of(current) != change.expected:
            return conflict(write_id, current)
        replaces = current.write_id if current else WriteId('')
        entry = create_entry(change, write_id, replaces, author)
        note_change(store, change.key, entry, pause)
    except StoreError as error:
        return Applied(Result.REFUSED, write_id, detail=str(error))
    applied = send(store, change, entry, pause)
    if applied.result is Result.ACCEPTED:
        prune_history(store, change.key, write_id)
    return applied


def create_entry(
    change: Change, write_id: WriteId, replaces: WriteId, author: Author
) -> HistoryEntry:
    """Return the history entry of a change."""
    return HistoryEntry(
        write_id=write_id,
        replaces=replaces,
        at=author.at,
        by=author.name,
        value=encode_document(change.after) if change.after else None,
    )


def note_change(
    store: Store, key: str, entry: HistoryEntry, pause: Pause
) -> None:
    """Write the history entry; sent again when the answer is lost."""
    entry_key = history_key(key, entry.write_id)
    for left in reversed(range(MAX_SENDS)):
        try:
            store.write(entry_key, encode_entry(entry), None, entry.write_id)
            return
        except StoreOutcomeUnknownError:
            if not left:
                raise
            pause()


def send(
    store: Store, change: Change, entry: HistoryEntry, pause: Pause
) -> Applied:
    """Send the write until its outcome is known, a few times."""
    is_doubtful = False
    detail = ''
    for _ in range(MAX_SENDS):
        try:
            revision = store.write(
                change.key, entry.value, change.expected, entry.write_id
            )
            return Applied(Result.ACCEPTED, entry.write_id, revision)
        except ConflictError:
            return settle_conflict(store, change, entry, is_doubtful)
        except StoreOutcomeUnknownError as error:
            is_doubtful, detail = True, str(error)
        except StoreError as error:
            detail = str(error)
            if not is_doubtful:
                return Applied(Result.REFUSED, entry.write_id, detail=detail)
        pause()
    return read_back(store, change.key, entry.write_id, detail)


def read_back(
    store: Store, key: str, write_id: WriteId, detail: str
) -> Applied:
    """Read whether a doubtful write is in force by now.

    When it is not, it may still be on its way.
    """
    try:
        current = read_record(store, key)
    except StoreError:
        return Applied(Result.UNKNOWN, write_id, detail=detail)
    if current and current.write_id == write_id:
        return Applied(Result.ACCEPTED, write_id, current.revision)
    return Applied(Result.UNKNOWN, write_id, detail=detail, current=current)


def settle_conflict(
    store: Store, change: Change, entry: HistoryEntry, is_doubtful: bool
) -> Applied:
    """Tell a lost race from an own write that took effect before."""
    try:
        current = read_record(store, change.key)
        if current and current.write_id == entry.write_id:
            return Applied(Result.ACCEPTED, entry.write_id, current.revision)
        if not is_doubtful:
            return conflict(entry.write_id, current)
        return settle_by_history(store, change, entry, current)
    except StoreError as error:
        result = Result.UNKNOWN if is_doubtful else Result.CONFLICT
        return Applied(result, entry.write_id, detail=str(error))


def settle_by_history(
    store: Store, change: Change, entry: HistoryEntry, current: Record | None
) -> Applied:
    """Look for a doubtful write among those that took effect.

    The chain from the record in force back to the one that the write
    replaces names each write between them. A deletion breaks it.
    """
    write_id = entry.write_id
    if current is None:
        if change.after is None:
            return Applied(Result.ACCEPTED, write_id)
        detail = 'the document was deleted meanwhile'
        return Applied(Result.UNKNOWN, write_id, detail=detail)
    snapshot = store.read(history_prefix(change.key))
    for applied in chain(read_entries(snapshot.records), current.write_id):
        if applied.write_id == write_id:
            return Applied(
                Result.ACCEPTED,
                write_id,
                current.revision,
                'another change has replaced it since',
                current,
            )
        if applied.replaces and applied.replaces == entry.replaces:
            return conflict(write_id, current)
    detail = 'another change was made, and the history does not show yours'
    return Applied(Result.UNKNOWN, write_id, detail=detail, current=current)


def conflict(write_id: WriteId, current: Record | None) -> Applied:
    """Return the result of a lost race, with the other's record."""
    return Applied(
        Result.CONFLICT,
        write_id,
        revision_of(current),
        'another change came first; nothing was written',
        current,
    )


def prune_history(store: Store, key: str, newest: WriteId) -> None:
    """Delete old entries; a failure leaves them for the next time."""
    try:
        snapshot = store.read(history_prefix(key))
        entries = read_entries(snapshot.records)
        for write_id in stale_entries(entries, newest):
            store.write(history_key(key, write_id), None, None, newest)
    except StoreError:
        return


def read_record(store: Store, key: str) -> Record | None:
    """Return the record of a key, or None when it does not exist."""
    for record in store.read(key).records:
        if record.key == key and record.value is not None:
            return record
    return None


def revision_of(record: Record | None) -> Revision:
    """Return a record's revision, 0 when there is none."""
    return record.revision if record else Revision(0)
