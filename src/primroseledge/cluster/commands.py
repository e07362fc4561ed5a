"""What the node asks of the store's threads, and what they report."""

from dataclasses import dataclass
from typing import Final

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.messages import Message
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import PollAnswered
from primroseledge.jobs.actions import PollFailed
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.owner.batch import Batch


@dataclass(frozen=True, slots=True)
class ClaimOwner:
    """Write our record as owner if there is none."""

    lease: LeaseId


@dataclass(frozen=True, slots=True)
class ClaimWon:
    """Our record as owner is stored.

    ``is_predecessor_idle`` says that the predecessor left no call under way.
    """

    owner: OwnerView
    ledger_revision: Revision
    is_predecessor_idle: bool = False


@dataclass(frozen=True, slots=True)
class ClaimLost:
    """Our record as owner is not stored; ``reason`` says why."""

    reason: str


@dataclass(frozen=True, slots=True)
class RestoreJobs:
    """Read all job records and the list of workers."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class JobsRestored:
    """What the store holds."""

    epoch: Epoch
    accepted: tuple[AcceptedJob, ...]
    progress: tuple[ProgressRecord, ...]
    waves: tuple[WaveRecord, ...]
    workers: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class StoreBatch:
    """Store a batch in the owner's name."""

    epoch: Epoch
    ledger_revision: Revision
    batch: Batch


@dataclass(frozen=True, slots=True)
class BatchStored:
    """A batch is stored; the ledger has this revision now."""

    epoch: Epoch
    number: int
    ledger_revision: Revision


@dataclass(frozen=True, slots=True)
class OwnershipLost:
    """Another instance has written the ledger."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class ReleaseOwner:
    """Remove our record as owner, so that another can take over.

    Without the ledger's revision it is read first, and the record goes
    only if nobody has written since this epoch.
    """

    epoch: Epoch
    ledger_revision: Revision | None
    has_no_calls_in_flight: bool = False


@dataclass(frozen=True, slots=True)
class OwnerReleased:
    """Our record as owner is gone, or was not removed in time."""

    epoch: Epoch


@dataclass(frozen=True, slots=True)
class LeaveMembers:
    """Remove our record as a member, so that nobody waits for us."""


@dataclass(frozen=True, slots=True)
class MemberLeft:
    """Our record as a member is gone, or goes with its lease."""


@dataclass(frozen=True, slots=True)
class ListWorkers:
    """Read the list of workers."""


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """The platform's list of workers."""

    items: tuple[Item, ...]


@dataclass(frozen=True, slots=True)
class WorkersUnread:
    """The list of workers could not be read."""

    problem: str


@dataclass(frozen=True, slots=True)
class LeaseRenewed:
    """Our lease was renewed by a call sent then."""

    lease: LeaseId
    sent_at: float
    ttl_s: float


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """The store has ended our lease."""


@dataclass(frozen=True, slots=True)
class KeysSeen:
    """Watched keys as they are; ``is_complete`` if all of them are here."""

    items: tuple[Item, ...]
    revision: Revision
    is_complete: bool


@dataclass(frozen=True, slots=True)
class StoreSilent:
    """The store did not answer a watch."""

    problem: str


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to a peer's address."""

    address: str
    message: Message


@dataclass(frozen=True, slots=True)
class ReplyToPeer:
    """Answer a peer that asked."""

    identity: str
    message: Message


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Give one of our own callers the answer."""

    number: int
    answer: Answer


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker answered to an order or look of this epoch."""

    epoch: Epoch
    report: PollAnswered | PollFailed | OrderAnswered


OUTER_NAMES: Final[dict[type, str]] = {OwnershipLost: 'Deposed'}
"""Names in metric labels where they differ from the class name.

Metric labels stay the same when a class is renamed, so that stored series
and the rules that read them go on matching.
"""


def outer_name(item: object) -> str:
    """Return the name of a command or result as metric labels show it."""
    return OUTER_NAMES.get(type(item), type(item).__name__)
