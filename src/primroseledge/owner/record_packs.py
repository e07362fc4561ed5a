"""Packs of records, and which of them hold the newest records of jobs.

A transaction takes a small number of entries, and a slow store few
transactions a second. So the records of all jobs that have changed are
stored as one value, a pack. A job's newest record replaces the earlier ones,
wherever they are. Packs without newest records are removed. When the others
consist mostly of replaced records, the newest ones of the oldest pack are
stored again, so that it can be removed.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final
from typing import NamedTuple

from msgspec import msgpack
from msgspec import Raw
from msgspec import Struct

from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import PackKey
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob

PACK_PREFIX: Final = 'records/packs/'

MIN_PACK_COST_BYTES: Final = 2_000
"""Least cost of a stored pack, in bytes.

A new owner reads pages of 500 items or 1 MB, so that an item takes at least a
500th of a page.
"""

MAX_COST_RATIO: Final = 2
"""Cost of all packs from which on one is rewritten, per newest byte."""

SPARE_COST_BYTES: Final = 1_000_000
"""Cost that packs may have in any case, in bytes: a page that is read."""


class RecordKind(Enum):
    """Which of a job's two records is meant."""

    ACCEPTED = 'accepted'
    PROGRESS = 'progress'


class RecordId(NamedTuple):
    """Identifies one of the two records of a job."""

    kind: RecordKind
    job: JobId


class PackValue(Struct, frozen=True, array_like=True):
    """The value of a pack: its records, encoded one by one."""

    accepted: tuple[Raw, ...] = ()
    progress: tuple[Raw, ...] = ()


@dataclass(slots=True)
class PackBuilder:
    """Collects the records of one pack.

    ``sizes`` has the encoded size of each record, in bytes, and ``size``
    their sum.
    """

    accepted: list[Raw] = field(default_factory=list)
    progress: list[Raw] = field(default_factory=list)
    sizes: dict[RecordId, int] = field(default_factory=dict)
    size: int = 0

    def add_accepted(self, record: AcceptedJob) -> None:
        """Add the record of an accepted job."""
        encoded = msgpack.encode(record)
        self.accepted.append(Raw(encoded))
        self.count(RecordId(RecordKind.ACCEPTED, record.id), len(encoded))

    def add_progress(self, record: ProgressRecord) -> None:
        """Add the record of a job's progress."""
        encoded = msgpack.encode(record)
        self.progress.append(Raw(encoded))
        self.count(RecordId(RecordKind.PROGRESS, record.id), len(encoded))

    def count(self, record: RecordId, size: int) -> None:
        """Count the size of a record, in bytes."""
        self.sizes[record] = size
        self.size += size

    def encode(self) -> bytes:
        """Return the pack's value."""
        return msgpack.encode(
            PackValue(tuple(self.accepted), tuple(self.progress))
        )


def age_order(key: str) -> str:
    """Return the sort key of stored items, by which later ones are larger.

    Items of versions without packs are older than all packs.
    """
    return key if key.startswith(PACK_PREFIX) else ''


@dataclass(slots=True)
class Pack:
    """A stored item with records of jobs.

    ``size`` is that of all its records in bytes; ``newest`` has the sizes of
    those that no later pack replaces.
    """

    key: PackKey
    size: int
    newest: dict[RecordId, int]

    @property
    def cost(self) -> int:
        """Return what the pack costs to store and to read, in bytes."""
        return max(self.size, MIN_PACK_COST_BYTES)


@dataclass(slots=True)
class RecordPacks:
    """The stored packs of an owner, oldest first.

    ``epoch`` is the owner's. ``holders`` has the pack with each newest
    record; ``replaced`` are the keys of the packs without any, which are to
    be removed. ``cost`` is that of all packs that have some, ``newest_size``
    the size of all newest records, both in bytes.
    """

    epoch: Epoch = Epoch(0)
    packs: dict[PackKey, Pack] = field(default_factory=dict)
    holders: dict[RecordId, Pack] = field(default_factory=dict)
    replaced: dict[PackKey, None] = field(default_factory=dict)
    cost: int = 0
    newest_size: int = 0

    def key_of(self, batch_number: int) -> PackKey:
        """Return the key of the pack of a batch of this owner.

        Later packs have larger keys: who reads the store in pages meanwhile
        misses no record that is stored again.
        """
        return PackKey(f'{PACK_PREFIX}{self.epoch:010}.{batch_number:010}')

    def add(self, key: PackKey, sizes: Mapping[RecordId, int]) -> None:
        """Add a pack that is stored now; its records replace earlier ones.

        ``sizes`` are those of its records, in bytes. A pack with a larger key
        may have been stored before it.
        """
        pack = Pack(key, sum(sizes.values()), {})
        for record, size in sizes.items():
            holder = self.holders.get(record)
            if holder is not None and age_order(holder.key) > age_order(key):
                continue
            self.drop(record)
            self.holders[record] = pack
            pack.newest[record] = size
            self.newest_size += size
        if not pack.newest:
            self.replaced[key] = None
            return
        self.packs[key] = pack
        self.cost += pack.cost

    def drop(self, record: RecordId) -> None:
        """Count a record as replaced, and its pack if it was the last one."""
        pack = self.holders.pop(record, None)
        if pack is None:
            return
        self.newest_size -= pack.newest.pop(record)
        if not pack.newest:
            del self.packs[pack.key]
            self.cost -= pack.cost
            self.replaced[pack.key] = None

    def take_replaced(self, limit: int) -> tuple[PackKey, ...]:
        """Return the keys of packs to remove, and remove them from here."""
        taken = tuple(self.replaced)[:limit]
        for key in taken:
            del self.replaced[key]
        return taken

    def find_records_to_rewrite(self, max_bytes: int) -> list[RecordId]:
        """Return the newest records that are to be stored again.

        These are all of the oldest packs, as many as are to be removed, or
        none while the packs hold few replaced records. The last pack begins
        below ``max_bytes``.
        """
        excess = self.cost - MAX_COST_RATIO * self.newest_size
        excess -= SPARE_COST_BYTES
        records = list[RecordId]()
        for pack in self.packs.values():
            if excess <= 0 or max_bytes <= 0:
                break
            excess -= pack.cost
            max_bytes -= sum(pack.newest.values())
            records += pack.newest
        return records
