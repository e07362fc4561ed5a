"""What the cores ask the rim to do."""

from dataclasses import dataclass
from typing import ClassVar

from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import GrantId
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import TeamId
from primroseledge.observability.events import Event
from primroseledge.observability.logs import FieldValue
from primroseledge.requests.messages import AnyMessage
from primroseledge.requests.outcomes import Reason


@dataclass(frozen=True, slots=True)
class SendToOwner:
    """Send a message to the owner of a cell."""

    cell: CellId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class SendToEntry:
    """Send a message to one entry instance."""

    entry: EntryId
    message: AnyMessage


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Carry a request to an upstream.

    The carrier checks ``start_by``, in seconds of the boot clock, right
    before it sends, and gives up ``timeout_s`` seconds after that.
    """

    handle: int
    request_id: RequestId
    team: TeamId
    grant_id: GrantId
    upstream: InstanceId
    address: str
    timeout_s: float
    start_by: float
    queued_s: float = 0.0
    is_last: ClassVar[bool] = False


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller the answer that the carrier holds."""

    handle: int
    is_last: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Give the caller a refusal.

    ``is_checked`` says that the owner of the cell had looked the
    request's id up, so that what the reason says holds for whatever
    was sent under that id, by any way.
    """

    handle: int
    reason: Reason
    retry_after_s: float = 1.0
    is_checked: bool = False
    is_last: ClassVar[bool] = True


@dataclass(frozen=True, slots=True)
class Note:
    """Log an event with the fields that its template names."""

    event: Event
    fields: dict[str, FieldValue]


EntryAction = SendToOwner | StartAttempt | Deliver | RefuseCall
Action = EntryAction | SendToEntry | ReadRecord | WriteRecord | Note
