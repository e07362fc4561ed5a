"""Our own keys of the store, and the values under them."""

from typing import Final
from typing import TypeVar

from msgspec import DecodeError
from msgspec import msgpack
from msgspec import Struct

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.messages import OwnerView
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch

OWNER_KEY: Final = 'owner/record'
MEMBER_PREFIX: Final = 'owner/members/'
LEDGER_KEY: Final = 'ledger'
RECORD_PREFIX: Final = 'records/'
JOB_PREFIX: Final = 'records/jobs/'
PROGRESS_PREFIX: Final = 'records/progress/'
WAVE_PREFIX: Final = 'records/waves/'


class LedgerRecord(Struct, frozen=True, array_like=True):
    """Who wrote last, and the number of the write within its epoch.

    ``has_no_calls_in_flight`` says that an owner has left without a call
    under way that takes an instance away.
    """

    epoch: Epoch
    number: int
    has_no_calls_in_flight: bool = False


class MemberRecord(Struct, frozen=True, array_like=True):
    """Where peers reach an entry instance, and what it is fit for.

    ``started_ms`` is the time of day when its process began.
    """

    entry: EntryId
    address: str
    started_ms: int = 0
    processor_millis: int = 0


RecordT = TypeVar('RecordT', bound=Struct)


def encode_value(value: Struct) -> bytes:
    """Return a value as it is stored."""
    return msgpack.encode(value)


def decode_owner(item: Item) -> OwnerView:
    """Return the owner's record; raises DocumentError."""
    return _decode(item, OwnerView)


def decode_ledger(item: Item) -> LedgerRecord:
    """Return the ledger; raises DocumentError."""
    return _decode(item, LedgerRecord)


def decode_member(item: Item) -> MemberRecord:
    """Return a member's record; raises DocumentError."""
    return _decode(item, MemberRecord)


def _decode(item: Item, kind: type[RecordT]) -> RecordT:
    try:
        return msgpack.decode(item.value or b'', type=kind)
    except DecodeError as error:
        raise DocumentError(f'{item.key}: {error}') from error
