"""The messages between entry instances, and their codec.

Durations are in seconds and relative, since clocks differ. Every
message names its sender's run; the receiver drops one of an older run.
"""

from enum import Enum

from msgspec import DecodeError
from msgspec import field
from msgspec import msgpack
from msgspec import Struct
from msgspec import ValidationError

from primroseledge.errors import MessageError
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.outcomes import Reason

PROTOCOL_VERSION = 1
MAX_MESSAGE_BYTES = 16_000_000


class EndState(Enum):
    """How an attempt ended, as its entry instance can prove."""

    ENDED = 'ended'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'


class Message(Struct, frozen=True, tag=True, array_like=True):
    """Base of the messages between entry instances."""


class Echo(Struct, frozen=True, array_like=True):
    """The newest heartbeat that the sender has heard of one peer."""

    incarnation: Incarnation
    sent_at: float


class Heartbeat(Message, frozen=True):
    """Sent to peers at a fixed interval.

    ``store_read_age_s`` is how long ago the sender began the newest
    read of the store that its revision covers, its own or a peer's;
    -1 when it knows of none. ``epochs`` are the owners that the sender
    obeys; a cell is left out until the sender has read its record in
    this run. ``sent_at`` is the sender's own clock, of no meaning to
    others but to be returned in ``echoes``: an echo proves that all
    else in the heartbeat was said after the echoed one was sent.
    ``is_witness`` says that the sender's view includes a read of the
    store that began after this run of it did. ``vacant`` are the cells
    whose owner the sender does not hear. ``uptime_s`` is how long this
    run has lasted, rounded down.
    """

    revision: Revision
    store_read_age_s: float
    is_leaving: bool = False
    epochs: dict[CellId, Epoch] = field(default_factory=dict)
    sent_at: float = 0.0
    echoes: dict[EntryId, Echo] = field(default_factory=dict)
    is_witness: bool = False
    vacant: tuple[CellId, ...] = ()
    uptime_s: int = 0


class ConfigChange(Struct, frozen=True, array_like=True):
    """One changed document; ``value`` is None when it was deleted."""

    key: str
    value: str | None
    revision: Revision


class ConfigDelta(Message, frozen=True):
    """All changes after one revision up to another.

    ``is_whole`` marks a full copy: documents not in it do not exist.
    """

    after: Revision
    upto: Revision
    changes: tuple[ConfigChange, ...]
    is_whole: bool = False


class ConfigPull(Message, frozen=True):
    """Asks a peer for all changes after a revision."""

    after: Revision


class Ask(Message, frozen=True):
    """Asks a cell's owner to let one request run.

    ``issued_at`` is the wall-clock time in the request's id, 0 when it
    has none; ``excluded`` are upstreams on which it just failed.
    ``not_run`` is the earlier grant of the same call that is proved not
    run; it ends that grant even when its Done comes later. The call began
    after the owner of ``begun_epoch`` sent a heartbeat at ``begun_after``
    by its own clock; ``refused_ids`` says what that is for.
    """

    cell: CellId
    ask_id: str
    request_id: RequestId
    team: TeamId
    service: ServiceId
    is_idempotent: bool
    is_urgent: bool
    remaining_s: float
    issued_at: float = 0.0
    attempt: int = 1
    excluded: tuple[InstanceId, ...] = ()
    zone: str = ''
    not_run: GrantId = GrantId('')
    begun_epoch: Epoch = Epoch(0)
    begun_after: float = float('-inf')


class Grant(Message, frozen=True):
    """Lets one attempt run on one upstream.

    ``echo`` is ``sent_at`` of the newest heartbeat that the owner had
    from the receiver. It bounds the grant's age by the receiver's own
    clock, so that a receiver that was paused does not use a grant that
    the owner has already counted as ended. ``queued_s`` is how long
    the request was in the owner's queue.
    """

    cell: CellId
    epoch: Epoch
    ask_id: str
    grant_id: GrantId
    upstream: InstanceId
    address: str
    run_limit_s: float
    echo: float = float('-inf')
    queued_s: float = 0.0


class Refuse(Message, frozen=True):
    """Ends a request that is not to run now."""

    cell: CellId
    ask_id: str
    reason: Reason
    retry_after_s: float = 1.0


class Done(Message, frozen=True):
    """Tells the owner how a granted attempt ended.

    ``was_refused`` says that the upstream refused before it ran. ``told``
    is set if the call ended with it: the reason that its caller was told.
    ``was_broken`` says that the upstream broke the connection off.
    """

    cell: CellId
    grant_id: GrantId
    end: EndState
    has_upstream_failed: bool = False
    was_refused: bool = False
    told: Reason | None = None
    was_broken: bool = False


class DoneAck(Message, frozen=True):
    """Tells an entry instance that the owner has its Done messages."""

    cell: CellId
    grants: tuple[GrantId, ...]


class Cancel(Message, frozen=True):
    """Says that a call which has no grant is over.

    It was withdrawn, or its caller has been told the owner's refusal.
    """

    cell: CellId
    ask_id: str
    request_id: RequestId = RequestId('')


class Carried(Struct, frozen=True, array_like=True):
    """A request that an entry instance carries or has carried.

    ``entry`` is who carries it, empty for the sender. ``issued_at`` is
    the wall-clock time in the request's id, 0 when it has none.
    ``was_broken`` is that of its ``Done``.
    """

    grant_id: GrantId
    request_id: RequestId
    team: TeamId
    service: ServiceId
    upstream: InstanceId
    is_idempotent: bool
    end: EndState | None
    remaining_s: float
    entry: EntryId = EntryId('')
    issued_at: float = 0.0
    was_broken: bool = False


class Remembered(Struct, frozen=True, array_like=True):
    """What became of one request that is not idempotent."""

    request_id: RequestId
    reason: Reason
    issued_at: float


class Refused(Struct, frozen=True, array_like=True):
    """A refused id, and how long its callers may yet be told."""

    request_id: RequestId
    reason: Reason
    remaining_s: float


class Handover(Struct, frozen=True, array_like=True):
    """What an earlier owner of a cell knows, for the next one.

    Ids issued before ``lost_before``, in wall-clock seconds, may be
    missing in ``remembered``; so may ids without a time until
    ``untimed_lost_until``. ``refused`` may lack ids if
    ``has_forgotten_refusals``.
    """

    epoch: Epoch
    remembered: tuple[Remembered, ...]
    granted: tuple[Carried, ...]
    lost_before: float
    untimed_lost_until: float
    refused: tuple[Refused, ...] = ()
    has_forgotten_refusals: bool = False


class ReportRequest(Message, frozen=True):
    """A new owner asks what each instance carries for the cell."""

    cell: CellId
    epoch: Epoch


class Report(Message, frozen=True):
    """Answers a ReportRequest; from then on the epoch is obeyed."""

    cell: CellId
    epoch: Epoch
    carried: tuple[Carried, ...]
    handover: Handover | None = None


AnyMessage = (
    Heartbeat
    | ConfigDelta
    | ConfigPull
    | Ask
    | Grant
    | Refuse
    | Done
    | DoneAck
    | Cancel
    | ReportRequest
    | Report
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message with its sender and the sender's run."""

    version: int
    sender: EntryId
    incarnation: Incarnation
    body: AnyMessage


_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Return the bytes of an envelope."""
    return _encoder.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode and check an envelope.

    Raises MessageError when it is too long, malformed, of unknown
    type or of another protocol version.
    """
    if len(data) > MAX_MESSAGE_BYTES:
        raise MessageError(f'message of {len(data)} bytes is too long')
    try:
        envelope = _decoder.decode(data)
    except (ValidationError, DecodeError) as error:
        raise MessageError(f'malformed message: {error}') from error
    if envelope.version != PROTOCOL_VERSION:
        raise MessageError(f'protocol version {envelope.version}')
    return envelope
