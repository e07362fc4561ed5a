"""Messages between entry instances about jobs and ownership of the fleet.

The tag of a message is part of the protocol between instances of different
builds, so a renamed class keeps its former name as ``tag``. The class names
of the caller requests are also written to logs and metrics and must stay.
"""

from typing import Final

from msgspec import DecodeError
from msgspec import msgpack
from msgspec import Struct

from primroseledge.errors import MessageError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.scheduling.actions import Answer


class OwnerView(Struct, frozen=True, array_like=True):
    """The owner of the fleet and its epoch, as in the owner record."""

    epoch: Epoch
    entry: EntryId
    address: str


class SubmitRequest(Struct, frozen=True, tag=True, array_like=True):
    """A caller's request to accept a job."""

    job: AcceptedJob


class CancelRequest(Struct, frozen=True, tag=True, array_like=True):
    """A caller's request to cancel a job."""

    queue: QueueId
    job: JobId


class StateRequest(Struct, frozen=True, tag=True, array_like=True):
    """A caller's request for the state of a job."""

    queue: QueueId
    job: JobId


class PendingRequest(Struct, frozen=True, tag=True, array_like=True):
    """A caller's request for how many jobs of a queue have not started."""

    queue: QueueId


CallerRequest = SubmitRequest | CancelRequest | StateRequest | PendingRequest


def job_or_queue_of(request: CallerRequest) -> str:
    """Return the id of the job that a request names, or of its queue."""
    if isinstance(request, SubmitRequest):
        return request.job.id
    if isinstance(request, PendingRequest):
        return request.queue
    return request.job


class ForwardedRequest(Struct, frozen=True, tag='Ask', array_like=True):
    """A caller's request that a peer forwards to the owner.

    ``number`` identifies the request at the sender; the same request may
    arrive more than once.
    """

    number: int
    request: CallerRequest


class ForwardedReply(Struct, frozen=True, tag='Told', array_like=True):
    """The owner's answer to the ``ForwardedRequest`` of the same number."""

    number: int
    answer: Answer


class NotOwner(Struct, frozen=True, tag=True, array_like=True):
    """The reply to a ``ForwardedRequest`` by an instance that is not owner.

    Nothing was done with the request. ``owner`` is the owner that the
    instance knows of, if any; it may be outdated.
    """

    number: int
    owner: OwnerView | None


class PeerStateQuery(Struct, frozen=True, tag='NewsQuery', array_like=True):
    """A query for a peer's owner, configuration and evacuated zones.

    It is sent while the store does not answer. ``configuration_version``
    is the sender's own version; only one peer at a time is queried with
    ``wants_configuration``, as a configuration may be large.
    """

    configuration_version: int
    wants_configuration: bool = True


class PeerStateReply(Struct, frozen=True, tag='News', array_like=True):
    """A peer's reply to a ``PeerStateQuery``.

    ``compressed_configuration`` is empty unless the query wanted it and
    had an older version. ``evacuated_zones`` were true at ``zones_revision``
    of the store; 0 means that the peer does not know them.
    """

    owner: OwnerView | None
    configuration_version: int
    compressed_configuration: bytes
    evacuated_zones: tuple[ZoneId, ...] = ()
    zones_revision: Revision = Revision(0)


Message = (
    ForwardedRequest
    | ForwardedReply
    | NotOwner
    | PeerStateQuery
    | PeerStateReply
)

ENCODER: Final = msgpack.Encoder()
DECODER: Final = msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message encoded as msgpack."""
    return ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Return a decoded message; raises MessageError if malformed."""
    try:
        message: Message = DECODER.decode(data)
    except DecodeError as error:
        raise MessageError(str(error)) from error
    return message
