"""What the ownership core asks its node to do."""

from dataclasses import dataclass
from enum import Enum

from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.requests.messages import Report


class WriteResult(Enum):
    """How a write of the record ended, as far as is known."""

    DONE = 'done'
    CONFLICT = 'conflict'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class ReadRecord:
    """Read the cell's record and pass it to ``on_read``."""

    cell: CellId


@dataclass(frozen=True, slots=True)
class WriteRecord:
    """Write the cell's record and pass the result to ``on_write``."""

    cell: CellId
    key: str
    value: str
    expected: Revision
    write_id: WriteId


@dataclass(frozen=True, slots=True)
class SendReportRequest:
    """Send a ReportRequest to every peer and to this node itself."""

    cell: CellId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a Report of what this node carries; it obeys the epoch."""

    cell: CellId
    epoch: Epoch
    to: EntryId


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat now, since what it says is awaited."""


@dataclass(frozen=True, slots=True)
class BecomeOwner:
    """Start to dispatch for the cell.

    ``unreported`` are entry instances of which more may be running
    than is reported. No attempt of an earlier epoch begins after
    ``last_begin_at``; ``quarantine_until`` is when the longest run of
    such an attempt has ended.
    """

    cell: CellId
    epoch: Epoch
    reports: dict[EntryId, Report]
    unreported: tuple[EntryId, ...]
    last_begin_at: float
    quarantine_until: float


@dataclass(frozen=True, slots=True)
class StepDown:
    """Stop dispatching for the cell at once."""

    cell: CellId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class FollowOwner:
    """Send requests to this owner; drop grants of earlier epochs."""

    cell: CellId
    owner: EntryId
    incarnation: Incarnation
    epoch: Epoch


OwnershipAction = (
    ReadRecord
    | WriteRecord
    | SendReportRequest
    | SendReport
    | SendHeartbeat
    | BecomeOwner
    | StepDown
    | FollowOwner
)
