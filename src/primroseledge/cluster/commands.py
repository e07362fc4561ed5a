"""Commands of the node to its threads and transport, and their results.

The class names of the store thread's commands and results are written out
as metric labels and stay as they are; a class that was renamed keeps its
former label in ``OUTER_NAMES``.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.evacuated_zones import NO_ZONES
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.messages import Message
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import Epoch
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.owner.batch import Batch
from primroseledge.owner.batch import FIRST_LANE
from primroseledge.owner.record_packs import RecordPacks
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed


@dataclass(frozen=True, slots=True)
class ClaimOwner:
    """Command to write this instance's owner record if there is none.

    The record is deleted by the store when ``lease`` expires.
    """

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Result of a claim that succeeded: the owner record is stored.

    ``is_predecessor_idle`` is set when the previous owner left with no call
    in flight that takes an instance out of service.
    """

    owner: OwnerView
    ledger_revision: Revision
    is_predecessor_idle: bool = False


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Result of a claim that failed or whose outcome is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class RestoreJobs:
    """Command to read the records, the list of workers and evacuated zones."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsRestored:
    """Result of RestoreJobs: records, list of workers, evacuated zones.

    ``packs`` are the stored items with the records of jobs.
    """

    epoch: Epoch
    accepted: tuple[AcceptedJob, ...]
    progress: tuple[ProgressRecord, ...]
    waves: tuple[WaveRecord, ...]
    workers: tuple[Item, ...]
    zones: EvacuatedZones = NO_ZONES
    packs: RecordPacks = field(default_factory=RecordPacks)


@dataclass(frozen=True, slots=True)
class StoreBatch:
    """Command to store a batch if its lane's ledger is at this revision."""

    epoch: Epoch
    ledger_revision: Revision
    batch: Batch


@dataclass(frozen=True, slots=True)
class BatchStored:
    """Result of a stored batch, with the new revision of its lane's ledger."""

    epoch: Epoch
    number: int
    ledger_revision: Revision
    lane: LaneId = FIRST_LANE


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Result of a command that was given up because its epoch has ended.

    Either another instance has written the ledger, or this instance is
    stopping or is no longer the owner in that epoch.
    """

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ReleaseOwner:
    """Command to delete the owner record, so that another may take over.

    Without a ``ledger_revision`` the ledger is read first, and the record
    is deleted only if the last write is of this epoch.
    """

    epoch: Epoch
    ledger_revision: Revision | None
    has_no_calls_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class OwnerReleased:
    """Result of a release: the owner record was deleted or will expire."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaveMembers:
    """Command to delete this instance's member record.

    Others then no longer wait for its claim when the fleet has no owner.
    """


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """Result of leaving: the member record was deleted or will expire."""


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Command to read the list of workers and the evacuated zones.

    ``epoch`` is that of the owner that asks.
    """

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """Result of ListWorkers: the platform's worker entries, and the zones."""

    items: tuple[Item, ...]
    epoch: Epoch
    zones: EvacuatedZones = NO_ZONES


@dataclass(frozen=True, slots=True)
class WorkerListFailed:
    """Result of ListWorkers: the store did not return the list.

    ``zones`` are those that it returned before that.
    """

    problem: str
    epoch: Epoch
    zones: EvacuatedZones = NO_ZONES


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Event: this instance's lease was granted or renewed.

    ``sent_at`` is when the call was sent: the lease may have started at
    any time from then on.
    """

    lease: LeaseId
    sent_at: float
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Event: the store answered that this instance's lease has expired."""


@dataclass(frozen=True, slots=True)
class WatchedKeysRead:
    """Event: watched keys were read or have changed, up to ``revision``.

    If ``is_complete`` is set, ``items`` contains every watched key that
    exists; otherwise it contains only those that have changed.
    """

    items: tuple[Item, ...]
    revision: Revision
    is_complete: bool


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Event: a watch or read of the watched keys failed."""

    problem: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Command to send a message to a peer's address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReplyToPeer:
    """Command to reply to a peer over the connection it opened.

    ``identity`` is the peer's ZeroMQ identity on that connection.
    """

    identity: str
    message: Message


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Command to answer one of this instance's own callers."""

    number: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """Result of an order or poll sent to a worker in this epoch."""

    epoch: Epoch
    report: PollAnswered | PollFailed | OrderEnded


@dataclass(frozen=True, slots=True)
class InstanceReported:
    """Result of a call to the instance service made in this epoch."""

    epoch: Epoch
    report: InstanceReport


OUTER_NAMES: Final[dict[type, str]] = {
    OwnershipLost: 'Deposed',
    WorkerListFailed: 'WorkersUnread',
}
"""Names in metric labels where they differ from the class name.

Metric labels stay the same when a class is renamed, so that stored series
and the rules that read them go on matching.
"""


def outer_name(item: object) -> str:
    """Return the name of a command or result as metric labels show it."""
    return OUTER_NAMES.get(type(item), type(item).__name__)
