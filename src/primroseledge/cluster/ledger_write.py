"""Writes of the ledger whose answer may be lost, and what became of them.

Each write of the ledger depends on its revision and changes it. So of several
copies of one, sent by several tries and carried out at any time, one at most
takes effect. A read of the ledger shows whether one did.
"""

from collections.abc import Callable
from typing import Final

from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import ledger_key
from primroseledge.errors import ConflictError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.owner.batch import FIRST_LANE

MAX_TRIES: Final = 4
"""Number of tries of a write that another instance can make instead."""

Commit = Callable[[Transaction], Revision]
IsOwnWrite = Callable[[Item], bool]


def try_ledger_write(
    store: FleetStore,
    transaction: Transaction,
    commit: Commit,
    is_own_write: IsOwnWrite,
    is_repeated: bool = True,
    lane: LaneId = FIRST_LANE,
) -> Revision | None:
    """Try once to make a transaction that writes the ledger of a lane.

    ``commit`` sends it; ``is_own_write`` tells from a changed ledger whether
    this or an earlier try changed it. Unless the try ``is_repeated``, a
    conflict shows that another instance did. Returns the ledger's new
    revision, or None if the answer was lost and the ledger is unchanged, so
    that the transaction may be sent again. Raises ConflictError if another
    instance has written what the transaction depends on, other errors of the
    store if it could not be reached or read, and DocumentError if a record is
    malformed.
    """
    has_conflict = False
    try:
        return commit(transaction)
    except ConflictError:
        if not is_repeated:
            raise
        has_conflict = True
    except StoreOutcomeUnknownError:
        pass
    key = ledger_key(lane)
    item = store.read(key)
    revision = item.revision if item else Revision(0)
    is_unchanged = revision == transaction.expected[key]
    if is_unchanged and not has_conflict:
        return None
    if is_unchanged or item is None or not is_own_write(item):
        raise ConflictError('another instance has written the store')
    return revision


def write_ledger(
    store: FleetStore, transaction: Transaction, is_own_write: IsOwnWrite
) -> Revision:
    """Make a transaction that writes the ledger; return its new revision.

    It is tried ``MAX_TRIES`` times while answers are lost; then
    StoreOutcomeUnknownError is raised. Other errors are those of
    ``try_ledger_write``.
    """
    for earlier_tries in range(MAX_TRIES):
        revision = try_ledger_write(
            store, transaction, store.commit, is_own_write, earlier_tries > 0
        )
        if revision is not None:
            return revision
    raise StoreOutcomeUnknownError('no answer, and nothing is stored yet')
