"""Encode and decode the records of jobs and waves in the store.

Records of jobs are in packs. Earlier versions stored each record under a key
of its own; such an item counts as a pack of one record. The latest pack with
a record of a job holds the one that is valid.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from msgspec import DecodeError
from msgspec import msgpack
from msgspec import Raw

from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.keys import decode_records
from primroseledge.cluster.keys import JOB_PREFIX
from primroseledge.cluster.keys import PROGRESS_PREFIX
from primroseledge.cluster.keys import RECORD_PREFIX
from primroseledge.cluster.keys import WAVE_PREFIX
from primroseledge.cluster.platform_keys import PlatformKeys
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import PackKey
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.batch import Batch
from primroseledge.owner.record_packs import age_order
from primroseledge.owner.record_packs import PACK_PREFIX
from primroseledge.owner.record_packs import PackValue
from primroseledge.owner.record_packs import RecordId
from primroseledge.owner.record_packs import RecordKind
from primroseledge.owner.record_packs import RecordPacks

NO_EPOCH: Final = Epoch(0)

RECORD_TYPES: Final[dict[RecordKind, type]] = {
    RecordKind.ACCEPTED: AcceptedJob,
    RecordKind.PROGRESS: ProgressRecord,
}


@dataclass(slots=True)
class StoredRecords:
    """The newest records that the store holds, and the packs with them."""

    packs: RecordPacks
    accepted: dict[JobId, AcceptedJob] = field(default_factory=dict)
    progress: dict[JobId, ProgressRecord] = field(default_factory=dict)
    waves: list[WaveRecord] = field(default_factory=list)

    def add_item(self, item: Item) -> None:
        """Add the records of an item, which is later than those before it.

        An item with a malformed record is never removed from the store: the
        packs don't include it.
        """
        sizes = dict[RecordId, int]()
        is_whole = True
        for kind, raw in split_item(item):
            try:
                record: Any = msgpack.decode(raw, type=RECORD_TYPES[kind])
            except DecodeError as error:
                is_whole = False
                log(Event.INPUT_SKIPPED, subject=item.key, problem=str(error))
                continue
            sizes[RecordId(kind, record.id)] = len(raw)
            self.newest_of(kind)[record.id] = record
        if is_whole and sizes:
            self.packs.add(PackKey(item.key), sizes)

    def newest_of(self, kind: RecordKind) -> dict[JobId, Any]:
        """Return the newest records of a kind."""
        is_accepted = kind is RecordKind.ACCEPTED
        return self.accepted if is_accepted else self.progress


def split_item(item: Item) -> Iterator[tuple[RecordKind, bytes]]:
    """Yield the encoded records of jobs that an item holds."""
    value = item.value or b''
    if item.key.startswith(JOB_PREFIX):
        yield RecordKind.ACCEPTED, value
    elif item.key.startswith(PROGRESS_PREFIX):
        yield RecordKind.PROGRESS, value
    elif item.key.startswith(PACK_PREFIX):
        yield from split_pack(item.key, value)


def split_pack(key: str, value: bytes) -> Iterator[tuple[RecordKind, bytes]]:
    """Yield the encoded records of a pack; log one that can't be read."""
    try:
        pack = msgpack.decode(value, type=PackValue)
    except DecodeError as error:
        log(Event.INPUT_SKIPPED, subject=key, problem=str(error))
        return
    kinds: tuple[tuple[RecordKind, tuple[Raw, ...]], ...] = (
        (RecordKind.ACCEPTED, pack.accepted),
        (RecordKind.PROGRESS, pack.progress),
    )
    for kind, records in kinds:
        for record in records:
            yield kind, bytes(record)


def decode_stored_records(
    items: Iterable[Item], epoch: Epoch = NO_EPOCH
) -> StoredRecords:
    """Return the newest records of all items below ``RECORD_PREFIX``.

    ``epoch`` is that of the owner that restores them, if one does.
    """
    listed = list(items)
    records = StoredRecords(RecordPacks(epoch))
    for item in sorted(listed, key=lambda item: age_order(item.key)):
        records.add_item(item)
    records.waves += decode_records(listed, WAVE_PREFIX, WaveRecord)
    return records


def read_stored_records(
    store: FleetStore, epoch: Epoch = NO_EPOCH
) -> StoredRecords:
    """Read the records; raises StoreError if a page is missing."""
    return decode_stored_records(store.read_all(RECORD_PREFIX).items, epoch)


def encode_batch(batch: Batch, keys: PlatformKeys) -> list[Put]:
    """Return the writes that store the records of a batch."""
    puts = list[Put]()
    if batch.progress:
        puts.append(Put(batch.pack_key, batch.pack.encode()))
    for wave in batch.waves:
        puts.append(Put(f'{WAVE_PREFIX}{wave.number}', msgpack.encode(wave)))
        puts.append(keys.encode_wave_status(wave))
    return puts
