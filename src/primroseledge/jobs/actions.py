"""What the owner's decisions ask for, and what is reported back."""

from dataclasses import dataclass
from enum import Enum

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.jobs.worker import Worker


class Action:
    """Base of what the owner's decisions ask for."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Target:
    """A worker that an order is for; another boot must not obey it."""

    worker: WorkerId
    boot: Boot
    address: str


@dataclass(frozen=True, slots=True)
class SendStart(Action):
    """Start a run; ``deadline_ms`` is on the worker's clock."""

    target: Target
    task: TaskKey
    run_number: int
    payload: str
    checkpoint: str
    deadline_ms: int
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class SendStop(Action):
    """Stop a run, also one that has not arrived yet."""

    target: Target
    task: TaskKey
    run_number: int


@dataclass(frozen=True, slots=True)
class SendThrottle(Action):
    """Let a run work at a share of its speed."""

    target: Target
    task: TaskKey
    run_number: int
    speed_percent: int


@dataclass(frozen=True, slots=True)
class SendPoll(Action):
    """Renew the lease of all runs on a worker, and ask what runs.

    The worker may forget the ends up to ``acked_end_number``, and waits up to
    ``wait_s`` for another one.
    """

    target: Target
    deadline_ms: int | None
    acked_end_number: int
    wait_s: float


class OrderResult(Enum):
    """What became of an order to a worker.

    After ``UNANSWERED`` it may have been carried out, also later; all
    others but ``DONE`` say that it was not.
    """

    DONE = 'done'
    FENCED = 'fenced'
    OLD_RUN = 'old_run'
    TOO_LATE = 'too_late'
    NO_CAPACITY = 'no_room'
    NO_TICKET = 'no_ticket'
    INVALID = 'invalid'
    UNHEALTHY = 'unhealthy'
    OTHER_BOOT = 'other_boot'
    NOT_SENT = 'not_sent'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class OrderAnswered:
    """How an order ended, and the worker's clock if it said it."""

    order: SendStart | SendStop | SendThrottle
    result: OrderResult
    clock_ms: int | None
    sent_at: float
    received_at: float


class EndKind(Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'gang_broken'
    GANG_INCOMPLETE = 'gang_incomplete'


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An end as a worker lists it, numbered within its boot."""

    number: int
    task: TaskKey
    run_number: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run as a worker lists it; see ``Run.reported_load``."""

    task: TaskKey
    run_number: int
    checkpoint: str
    progress_percent: int
    reported_load: int


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """What a worker listed; without ``boot`` it said no boot."""

    worker: WorkerId
    boot: Boot
    clock_ms: int
    running: tuple[ListedRun, ...]
    ends: tuple[RunEnd, ...]
    acked_end_number: int
    sent_at: float
    received_at: float


@dataclass(frozen=True, slots=True)
class PollFailed:
    """A look gave no list; see ``OrderResult``."""

    worker: WorkerId
    boot: Boot
    result: OrderResult


@dataclass(frozen=True, slots=True)
class CallId:
    """A caller's request: the entry instance's name and a number."""

    entry: str
    number: int


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """A caller hands a job in."""

    call: CallId
    job: AcceptedJob


@dataclass(frozen=True, slots=True)
class CancelJob:
    """A caller cancels a job."""

    call: CallId
    queue: QueueId
    job: JobId


class Verdict(Enum):
    """What a caller's request came to.

    ``REFUSED`` says that nothing was done and never will be;
    ``UNKNOWN`` that the job may have been accepted.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'
    NO_SUCH_QUEUE = 'no_such_queue'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller's request."""

    verdict: Verdict
    state: JobState | None = None
    pending: int | None = None
    retry_after_s: float = 0.0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class SendAnswer(Action):
    """Give a caller an answer."""

    call: CallId
    answer: Answer


Order = SendStart | SendStop | SendThrottle


def target_of(worker: Worker) -> Target:
    """Return a worker as the target of an order."""
    entry = worker.entry
    return Target(entry.id, entry.boot, entry.address)
