"""Store keys of the cluster, and the records stored under them."""

from collections.abc import Iterable
from typing import Any
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
from primroseledge.ids import LaneId
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

OWNER_KEY: Final = 'owner/record'
MEMBER_PREFIX: Final = 'owner/members/'
LEDGER_KEY: Final = 'ledger'
RECORD_PREFIX: Final = 'records/'
JOB_PREFIX: Final = 'records/jobs/'
PROGRESS_PREFIX: Final = 'records/progress/'
WAVE_PREFIX: Final = 'records/waves/'


def ledger_key(lane: LaneId) -> str:
    """Return the key of a lane's ledger; that of the first is the main one."""
    return f'{LEDGER_KEY}/{lane}' if lane else LEDGER_KEY


class LedgerRecord(Struct, frozen=True, array_like=True, tag='packs'):
    """The epoch of the last write by an owner, and the write's number in it.

    Each lane has a ledger, the key that holds this record. Each write of an
    owner replaces that of its lane by compare-and-swap on its revision. A new
    owner replaces them all, so that one of an earlier epoch cannot write any
    more.
    ``has_no_calls_in_flight`` is set when an owner left with no call in
    flight that takes an instance out of service. The tag keeps versions that
    can't read packs from taking over: to them the ledger is malformed.
    """

    epoch: Epoch
    number: int
    has_no_calls_in_flight: bool = False


class EarlierLedgerRecord(Struct, frozen=True, array_like=True):
    """A ledger as versions without packs write it."""

    epoch: Epoch
    number: int
    has_no_calls_in_flight: bool = False


class MemberRecord(Struct, frozen=True, array_like=True):
    """The address of an entry instance, and the values that rank its claims.

    ``started_ms`` is the wall-clock time when its process started, in
    milliseconds. ``processor_millis`` is its processor capacity
    (cores times relative speed) in thousandths.
    """

    entry: EntryId
    address: str
    started_ms: int = 0
    processor_millis: int = 0


RecordT = TypeVar('RecordT', bound=Struct)


def encode_value(value: Struct) -> bytes:
    """Return a record encoded as it is stored."""
    return msgpack.encode(value)


def decode_owner(item: Item) -> OwnerView:
    """Return the decoded owner record; raises DocumentError if malformed."""
    return _decode(item, OwnerView)


def decode_ledger(item: Item) -> LedgerRecord:
    """Return the decoded ledger; raises DocumentError if malformed."""
    try:
        earlier = msgpack.decode(item.value or b'', type=EarlierLedgerRecord)
    except DecodeError:
        return _decode(item, LedgerRecord)
    return LedgerRecord(
        earlier.epoch, earlier.number, earlier.has_no_calls_in_flight
    )


def decode_member(item: Item) -> MemberRecord:
    """Return a decoded member record; raises DocumentError if malformed."""
    return _decode(item, MemberRecord)


def _decode(item: Item, kind: type[RecordT]) -> RecordT:
    try:
        return msgpack.decode(item.value or b'', type=kind)
    except DecodeError as error:
        raise DocumentError(f'{item.key}: {error}') from error


def decode_records(
    items: Iterable[Item], prefix: str, kind: type
) -> list[Any]:
    """Return the records under a prefix; log and skip malformed ones."""
    records = list[Any]()
    for item in items:
        if not item.key.startswith(prefix):
            continue
        try:
            records.append(msgpack.decode(item.value or b'', type=kind))
        except DecodeError as error:
            log(Event.INPUT_SKIPPED, subject=item.key, problem=str(error))
    return records
