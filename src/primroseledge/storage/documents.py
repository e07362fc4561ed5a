"""The operators' configuration documents, decoded and checked.

Each document is one value of the platform's key-value service, in JSON.
Its key gives kind and id: ``config/team/sales``.
"""

from sys import intern
from typing import Annotated
from typing import Final
from typing import TypeVar

from msgspec import DecodeError
from msgspec import field
from msgspec import json
from msgspec import Meta
from msgspec import Struct
from msgspec import structs
from msgspec import ValidationError

from primroseledge.errors import DocumentError
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import InstanceId
from primroseledge.ids import KeyId
from primroseledge.ids import PoolId
from primroseledge.ids import RackId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.ids import ZoneId

CONFIG_PREFIX: Final = 'config/'
DEFAULT_CELL: Final = CellId('main')
NAME_PATTERN: Final = '^[a-z0-9][a-z0-9-]{0,62}$'
MAX_DOCUMENT_BYTES: Final = 1_000_000

Name = Annotated[str, Meta(pattern=NAME_PATTERN)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Positive = Annotated[int, Meta(ge=1, le=1_000_000)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]


class Document(Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the operators' documents."""


class KeyRecord(Document, frozen=True):
    """A team's key as stored: a salted hash, never the key itself."""

    id: Name
    salt: str
    digest: str


class Team(Document, frozen=True):
    """A team: its keys, its share and its upper limit.

    ``share`` is a weight among the teams that wait when all slots are
    taken. ``limit`` is the most that the team may have running in the
    whole fleet.
    """

    id: Name
    share: Positive
    limit: Count
    keys: tuple[KeyRecord, ...] = ()

    @property
    def team_id(self) -> TeamId:
        """Return the id, typed."""
        return TeamId(self.id)

    def find_key(self, key_id: KeyId) -> KeyRecord | None:
        """Return the key with this id, or None."""
        return next((key for key in self.keys if key.id == key_id), None)


class Budget(Document, frozen=True):
    """How many instances of a service may be unavailable at once.

    ``window_s`` is how long, in seconds, an unplanned failure counts
    against the budget even when the instance has come back.
    """

    unavailable: Count = 1
    unavailable_per_zone: Count = 1
    window_s: Seconds = 600.0


class Service(Document, frozen=True):
    """The one document of a service, owned by its team.

    An ``open`` service takes requests without a key. ``run_limit_s``
    is the longest that an upstream runs one request, in seconds, and
    ``queue_wait_s`` the longest that a request may wait for a slot.
    """

    id: Name
    team: Name
    pool: Name
    open: bool = False
    run_limit_s: Seconds = 10.0
    queue_wait_s: Seconds = 10.0
    queue_limit: Positive = 1000
    cell: Name = DEFAULT_CELL
    budget: Budget = Budget()

    @property
    def service_id(self) -> ServiceId:
        """Return the id, typed."""
        return ServiceId(self.id)


class Pool(Document, frozen=True):
    """A pool of instances; ``buffer`` is its standing spare count."""

    id: Name
    buffer: Count = 0
    spare: bool = False

    @property
    def pool_id(self) -> PoolId:
        """Return the id, typed."""
        return PoolId(self.id)


class Instance(Document, frozen=True):
    """An instance, where it is, what it holds and whose pool it is in."""

    id: Name
    pool: Name
    zone: Name
    rack: Name
    address: str
    slots: Positive = 8
    connections: Positive = 64
    cores: Count = 0
    memory_mb: Count = 0
    accelerators: Count = 0
    is_draining: bool = False

    @property
    def instance_id(self) -> InstanceId:
        """Return the id, typed."""
        return InstanceId(self.id)

    @property
    def zone_id(self) -> ZoneId:
        """Return the availability zone, typed."""
        return ZoneId(self.zone)

    @property
    def rack_id(self) -> RackId:
        """Return the rack, typed."""
        return RackId(self.rack)


class Placement(Document, frozen=True):
    """A shard of the record that puts every instance in one pool.

    An instance stands once in one shard, so it is in one pool; a move
    is one compare-and-swap of that shard.
    """

    id: Name
    instances: dict[str, Instance] = field(default_factory=dict)


class Members(Document, frozen=True):
    """The entry instances whose majority counts in a store outage."""

    id: Name
    entries: tuple[str, ...] = ()

    @property
    def entry_ids(self) -> tuple[EntryId, ...]:
        """Return the entry instances, typed."""
        return tuple(EntryId(entry) for entry in self.entries)


AnyDocument = Team | Service | Pool | Placement | Members
DocumentT = TypeVar('DocumentT', bound=Document)

KINDS: dict[str, type[Document]] = {}


def kind(name: str, document_type: type[DocumentT]) -> type[DocumentT]:
    """Register a document type under the kind that its key names."""
    KINDS[name] = document_type
    return document_type


kind('team', Team)
kind('service', Service)
kind('pool', Pool)
kind('placement', Placement)
kind('members', Members)


def document_key(kind_name: str, document_id: str) -> str:
    """Return the store key of a document."""
    return f'{CONFIG_PREFIX}{kind_name}/{document_id}'


def decode_document(key: str, value: str) -> Document:
    """Decode and check the value of a ``config/`` key.

    Raises DocumentError when the kind is unknown, a field is missing,
    unknown, of another type or out of range, or the id differs from
    the key's.
    """
    kind_name, _, document_id = key.removeprefix(CONFIG_PREFIX).partition('/')
    if kind_name not in KINDS:
        raise DocumentError(f'{key}: unknown kind of document {kind_name!r}')
    if len(value) > MAX_DOCUMENT_BYTES:
        raise DocumentError(
            f'{key}: {len(value)} bytes, more than {MAX_DOCUMENT_BYTES}'
        )
    try:
        document = json.decode(value, type=KINDS[kind_name])
    except (ValidationError, DecodeError) as error:
        raise DocumentError(f'{key}: {error}') from error
    if getattr(document, 'id', None) != document_id:
        raise DocumentError(
            f'{key}: the document has id {getattr(document, "id", None)!r}'
        )
    check_document(key, document)
    if isinstance(document, Placement):
        share_names(document)
    return document


def share_names(placement: Placement) -> None:
    """Keep one copy of each name that many instances have in common.

    Pools, availability zones and racks recur; at 31,000 instances
    their copies would take several megabytes.
    """
    for instance in placement.instances.values():
        for name in ('pool', 'zone', 'rack'):
            structs.force_setattr(
                instance, name, intern(getattr(instance, name))
            )


def check_document(key: str, document: Document) -> None:
    """Check what the types cannot say; raise DocumentError."""
    if isinstance(document, Service) and document.cell != DEFAULT_CELL:
        # Each cell's owner would count a team's limit by itself.
        raise DocumentError(
            f'{key}: cell {document.cell!r}: only {DEFAULT_CELL!r} is served'
        )
    if isinstance(document, Placement):
        for name, instance in document.instances.items():
            if name != instance.id:
                raise DocumentError(
                    f'{key}: instance {instance.id!r} stands under {name!r}'
                )


def encode_document(document: Document) -> str:
    """Return the JSON text of a document."""
    return json.encode(document).decode()
