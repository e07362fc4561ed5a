"""The store's record of who owns a cell, and its codec."""

from typing import Final

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct

from primroseledge.errors import DocumentError
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation

OWNER_PREFIX: Final = 'owner/'


class OwnerRecord(Struct, frozen=True):
    """The owner of a cell by its newest epoch.

    An owner that ``is_released`` has stopped for good in that epoch;
    it ``is_whole`` when it then knew of all that was running.
    """

    owner: EntryId
    incarnation: Incarnation
    epoch: Epoch
    is_released: bool = False
    is_whole: bool = False


NO_OWNER: Final = OwnerRecord(EntryId(''), Incarnation(0), Epoch(0))


def owner_key(cell: CellId) -> str:
    """Return the store key of a cell's record."""
    return f'{OWNER_PREFIX}{cell}'


def encode_owner(record: OwnerRecord) -> str:
    """Return the JSON text of a record."""
    return json.encode(record).decode()


def decode_owner(value: str) -> OwnerRecord:
    """Decode a record; raise DocumentError when it is malformed."""
    try:
        return json.decode(value, type=OwnerRecord)
    except DecodeError as error:
        raise DocumentError(f'owner record: {error}') from error
