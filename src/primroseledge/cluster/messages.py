"""Messages between entry instances."""

from typing import Final

from msgspec import DecodeError
from msgspec import msgpack
from msgspec import Struct

from primroseledge.errors import MessageError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.spec import AcceptedJob


class OwnerView(Struct, frozen=True, array_like=True):
    """Who the owner is, as its record in the store says."""

    epoch: Epoch
    entry: EntryId
    address: str


class SubmitRequest(Struct, frozen=True, tag=True, array_like=True):
    """Accept a job."""

    job: AcceptedJob


class CancelRequest(Struct, frozen=True, tag=True, array_like=True):
    """Cancel a job."""

    queue: QueueId
    job: JobId


class StateRequest(Struct, frozen=True, tag=True, array_like=True):
    """Say how a job stands."""

    queue: QueueId
    job: JobId


class PendingRequest(Struct, frozen=True, tag=True, array_like=True):
    """Say how many jobs of a queue have not started."""

    queue: QueueId


CallerRequest = SubmitRequest | CancelRequest | StateRequest | PendingRequest


class ForwardedRequest(Struct, frozen=True, tag='Ask', array_like=True):
    """A caller's request for the owner; the same one may come again."""

    number: int
    request: CallerRequest


class ForwardedReply(Struct, frozen=True, tag='Told', array_like=True):
    """The owner's answer to a ``ForwardedRequest``."""

    number: int
    answer: Answer


class NotOwner(Struct, frozen=True, tag=True, array_like=True):
    """Nothing was done with a ``ForwardedRequest``; who the owner may be."""

    number: int
    owner: OwnerView | None


class PeerStateQuery(Struct, frozen=True, tag='NewsQuery', array_like=True):
    """Ask a peer what it knows, when the store does not answer.

    A configuration is asked of one peer at a time.
    """

    configuration_version: int
    wants_configuration: bool = True


class PeerState(Struct, frozen=True, tag='News', array_like=True):
    """What a peer knows.

    ``compressed_configuration``, packed, only if it is newer.
    """

    owner: OwnerView | None
    configuration_version: int
    compressed_configuration: bytes


Message = (
    ForwardedRequest | ForwardedReply | NotOwner | PeerStateQuery | PeerState
)

ENCODER: Final = msgpack.Encoder()
DECODER: Final = msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Return a message as bytes."""
    return ENCODER.encode(message)


def decode(data: bytes) -> Message:
    """Return the message; raises MessageError when it is malformed."""
    try:
        message: Message = DECODER.decode(data)
    except DecodeError as error:
        raise MessageError(str(error)) from error
    return message
