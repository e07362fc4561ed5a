"""Records and documents of the fleet for the fuzz of requests."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.open_call import Arrival
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team

CELL = CellId('main')
SERVICE = ServiceId('bulletin')
RUN_LIMIT_S = 3.0
LINK_S = 0.002
TICK_S = 0.1
SKEW_S = 2.0
WINDOW_S = 60.0
REPORT_S = 0.5
SLOTS = 3
LIMITS = {'dealers': 4, 'yards': 3}
WALL_S = 1_700_000_000.0


@dataclass
class Execution:
    """A run at an upstream."""

    request_id: RequestId
    handle: int
    team: TeamId
    upstream: str
    ends_at: float


@dataclass
class Sending:
    """One sending of a request by a caller, and what it was told."""

    request_id: RequestId
    is_idempotent: bool
    entry: EntryId
    deadline: float
    is_over: bool = False
    began_at: float = 0.0


@dataclass
class Host:
    """One run of an entry instance, with clocks of its own."""

    core: EntryCore
    clock_offset: float
    wall_offset: float
    owner: EntryId
    dispatcher: Dispatcher | None = None
    paused_until: float = 0.0
    is_dead: bool = False
    born_at: float = 0.0


@dataclass
class Faults:
    """What goes wrong at present."""

    drop: float = 0.0
    duplicate: float = 0.0
    jitter_s: float = 0.0
    cut: set[EntryId] = field(default_factory=set)
    lost_answers: float = 0.0
    no_connection: float = 0.0


def create_delta(
    revision: int,
    entries: Iterable[EntryId],
    upstreams: Iterable[str],
    draining: Iterable[str],
    without: str,
) -> ConfigDelta:
    """Return all documents, but for one team, as one change."""
    instances = {
        name: Instance(
            name,
            'copper',
            'north-1',
            'rack-1',
            name,
            SLOTS,
            is_draining=name in draining,
        )
        for name in upstreams
    }
    service = Service(
        SERVICE, 'dealers', 'copper', run_limit_s=RUN_LIMIT_S, queue_limit=12
    )
    documents = [
        ('members', Members('all', tuple(entries))),
        ('pool', Pool('copper')),
        ('placement', Placement('0', instances)),
        ('service', service),
    ]
    documents += [
        ('team', Team(team, share=limit, limit=limit))
        for team, limit in LIMITS.items()
    ]
    changes = [
        ConfigChange(
            document_key(kind, document.id),
            None if document.id == without else encode_document(document),
            Revision(revision),
        )
        for kind, document in documents
    ]
    return ConfigDelta(
        Revision(revision - 1), Revision(revision), tuple(changes)
    )


def create_arrival(
    handle: int,
    sending: Sending,
    team: str,
    deadline: float,
    issued_at: float,
) -> Arrival:
    """Return a sending as its entry core sees it; each seventh is urgent."""
    return Arrival(
        handle,
        sending.request_id,
        TeamId(team),
        SERVICE,
        CELL,
        sending.is_idempotent,
        handle % 7 == 0,
        deadline,
        issued_at,
    )
