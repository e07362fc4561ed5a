"""Messages between entry instances about jobs and ownership of the fleet.

The tag of a message is part of the protocol between instances of different
builds, so a renamed class keeps its former name as ``tag``. The class names
of the caller requests are also written to logs and metrics and must stay.
"""

from math import inf
from math import nextafter
from typing import Annotated
from typing import Final

from msgspec import DecodeError
from msgspec import Meta
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
from primroseledge.scheduling.actions import SendAnswer

MAX_REVISION: Final = 2**63 - 1
"""Greatest revision of the store that messages and records hold."""

NEVER: Final = -inf
"""An owner's time when none is known."""


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


class CallOrigin(Struct, frozen=True, array_like=True):
    """The newest time of an owner that was known when a call began.

    The time is on that owner's clock.
    """

    epoch: Epoch = Epoch(0)
    owner_time: float = NEVER


class ToldRefusal(Struct, frozen=True, array_like=True):
    """A call whose caller has been told that its job is refused."""

    number: int
    job: JobId


class ForwardedRequest(Struct, frozen=True, tag='Ask', array_like=True):
    """A caller's request that a peer forwards to the owner.

    ``number`` identifies the request at the sender; the same request may
    arrive more than once. ``told`` confirms the owner's refusals of other
    calls. ``origin`` is missing in those of the previous version.
    """

    number: int
    request: CallerRequest
    origin: CallOrigin | None = None
    told: tuple[ToldRefusal, ...] = ()

    def begun_after(self, epoch: Epoch) -> float | None:
        """Return a time of the epoch's owner before which it did not begin.

        None if the sender does not say.
        """
        if self.origin is None:
            return None
        return self.origin.owner_time if self.origin.epoch == epoch else NEVER


class ForwardedReply(Struct, frozen=True, tag='Told', array_like=True):
    """The owner's answer to the ``ForwardedRequest`` of the same number.

    ``epoch`` is the owner's, ``sent_at`` the time of its clock.
    """

    number: int
    answer: Answer
    epoch: Epoch = Epoch(0)
    sent_at: float = NEVER


def create_reply(
    action: SendAnswer, epoch: Epoch, now: float
) -> ForwardedReply:
    """Return a reply that leaves after all that was handled at ``now``.

    So its time is later than that of a confirmation handled then.
    """
    number = action.call.number
    return ForwardedReply(number, action.answer, epoch, nextafter(now, inf))


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
    zones_revision: Annotated[Revision, Meta(ge=0, le=MAX_REVISION)] = (
        Revision(0)
    )


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
