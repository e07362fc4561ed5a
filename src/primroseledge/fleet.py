"""All documents of a fleet as one read of the store showed them."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import TypeVar
from zlib import crc32

from primroseledge.errors import DocumentError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.documents import decode_document
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.store import Snapshot

DocumentT = TypeVar('DocumentT', bound=Document)
SHARD_COUNT: Final = 256
ABSENT: Final = Revision(0)


@dataclass(frozen=True, slots=True)
class Held:
    """A document with the revision and the write that made it."""

    key: str
    document: Document
    revision: Revision
    write_id: WriteId


@dataclass(slots=True)
class Fleet:
    """The documents by key, and a line for each that is invalid."""

    revision: Revision
    held: dict[str, Held] = field(default_factory=dict)
    problems: dict[str, str] = field(default_factory=dict)

    def find(
        self, document_type: type[DocumentT], kind: str, document_id: str
    ) -> DocumentT | None:
        """Return a document, or None when there is none."""
        held = self.held.get(document_key(kind, document_id))
        if held is None or not isinstance(held.document, document_type):
            return None
        return held.document

    def each(self, document_type: type[DocumentT]) -> Iterator[DocumentT]:
        """Yield the documents of one kind, by key."""
        for key in sorted(self.held):
            document = self.held[key].document
            if isinstance(document, document_type):
                yield document

    def instances(self) -> Iterator[Instance]:
        """Yield all instances, by shard and id."""
        for placement in self.each(Placement):
            for name in sorted(placement.instances):
                yield placement.instances[name]

    def find_shard(self, instance_id: str) -> Placement | None:
        """Return the shard in which an instance stands, or None."""
        for placement in self.each(Placement):
            if instance_id in placement.instances:
                return placement
        return None

    def revision_of(self, key: str) -> Revision:
        """Return a key's revision; ``ABSENT`` when it does not exist."""
        held = self.held.get(key)
        return held.revision if held else ABSENT


def read_fleet(snapshot: Snapshot) -> Fleet:
    """Decode a read of ``config/``; invalid documents are noted."""
    fleet = Fleet(snapshot.revision)
    for record in snapshot.records:
        if record.value is None or not record.key.startswith(CONFIG_PREFIX):
            continue
        try:
            document = decode_document(record.key, record.value)
        except DocumentError as error:
            fleet.problems[record.key] = str(error)
            continue
        fleet.held[record.key] = Held(
            record.key, document, record.revision, record.write_id
        )
    return fleet


def shard_of(instance_id: str) -> str:
    """Return the shard in which a new instance goes.

    It follows from the id alone, so that two operators who add the
    same instance meet in one compare-and-swap.
    """
    return f'{crc32(instance_id.encode()) % SHARD_COUNT:02x}'
