"""Actions that the owner's engine requests, and the events they cause.

The engine makes no calls itself. It returns actions, such as a start to send
to a worker; the node carries them out and passes the results back to the
engine as events. Requests of callers reach the engine as events too.
"""

from dataclasses import dataclass
from enum import Enum

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.workers.worker import Worker


class Action:
    """Base class of the actions that the owner's engine requests."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Target:
    """The recipient of an order: a worker in one of its boots.

    Orders name only the worker. If it has restarted since, its next boot
    carries the order out.
    """

    worker: WorkerId
    boot: Boot
    address: str


@dataclass(frozen=True, slots=True)
class SendStart(Action):
    """Action: order a worker to start a run of a task.

    ``payload`` is passed to the task. ``checkpoint`` is the saved state from
    which the task resumes; ``ticket`` is the advisory service's permission
    for the start. Both are empty if there is none. ``deadline_ms`` is when
    the run's lease expires, in ms on the worker's clock.
    """

    target: Target
    task: TaskKey
    run_number: int
    payload: str
    checkpoint: str
    deadline_ms: int
    ticket: str = ''


@dataclass(frozen=True, slots=True)
class SendStop(Action):
    """Action: order a worker to stop a run.

    The worker also refuses a start of the run that arrives after the stop.
    """

    target: Target
    task: TaskKey
    run_number: int


@dataclass(frozen=True, slots=True)
class SendThrottle(Action):
    """Action: order a worker to limit the speed of a run.

    ``speed_percent`` is a percentage of full speed; 0 pauses the run.
    """

    target: Target
    task: TaskKey
    run_number: int
    speed_percent: int


@dataclass(frozen=True, slots=True)
class SendPoll(Action):
    """Action: poll a worker, which renews the lease of its runs.

    The worker answers with the list of the runs on it and of earlier ends.
    ``deadline_ms`` is when the renewed lease expires, in ms on the worker's
    clock; if it is None, the lease is not renewed. Ends numbered up to
    ``acked_end_number`` are acknowledged: the worker may delete them. The
    worker delays its answer until another run ends, by at most ``wait_s``.
    """

    target: Target
    deadline_ms: int | None
    acked_end_number: int
    wait_s: float


class OrderResult(Enum):
    """The result of an order or a poll.

    After ``UNANSWERED`` it may have been carried out, or may still be;
    ``DONE`` says that it was, all other results that it was not.
    ``FENCED``: the worker refused it because of the epoch that it carried,
    so this instance is no longer the owner. ``OLD_RUN``: the worker already
    knew the run. ``NO_TICKET``: the worker refused the ticket.
    ``OTHER_BOOT``: another worker has the address, or a poll was answered by
    another boot than was meant; see ``PollFailed``.
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
class OrderEnded:
    """Event: an order was answered by its worker, or ended unanswered.

    ``clock_ms`` is the worker's clock at its answer; it is None if there was
    no answer or the answer did not contain it. ``sent_at`` and
    ``received_at`` are times of this instance's clock.
    """

    order: SendStart | SendStop | SendThrottle
    result: OrderResult
    clock_ms: int | None
    sent_at: float
    received_at: float


class EndKind(Enum):
    """How a run ended.

    ``GANG_BROKEN``: another member of the gang ended. ``GANG_INCOMPLETE``:
    the other members of the gang did not start.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'gang_broken'
    GANG_INCOMPLETE = 'gang_incomplete'


@dataclass(frozen=True, slots=True)
class RunEnd:
    """The end of a run as its worker lists it.

    ``number`` is the number of the end; a worker counts them from its boot
    on. ``checkpoint`` is the last one that the run saved, or empty.
    """

    number: int
    task: TaskKey
    run_number: int
    kind: EndKind
    checkpoint: str


@dataclass(frozen=True, slots=True)
class ListedRun:
    """A run that a worker lists as running.

    ``checkpoint`` is the last one that the run saved, or empty. For
    ``progress_percent`` and ``reported_load`` see ``Run``.
    """

    task: TaskKey
    run_number: int
    checkpoint: str
    progress_percent: int
    reported_load: int


@dataclass(frozen=True, slots=True)
class PollAnswered:
    """Event: a worker answered a poll and listed its runs and ends.

    ``boot`` is the boot that was polled, ``clock_ms`` the worker's clock at
    the answer, and ``acked_end_number`` that of the ``SendPoll``.
    ``sent_at`` and ``received_at`` are times of this instance's clock.
    """

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
    """Event: a poll was refused, not answered or not sent; see ``result``.

    ``boot`` is the boot that was polled, even if another boot answered.
    ``answering_boot`` is then that one, or 0 if it is not known.
    ``was_closed`` says that the connection was refused or broken off at the
    other end, so that the address can be reached.
    """

    worker: WorkerId
    boot: Boot
    result: OrderResult
    answering_boot: Boot = Boot(0)
    was_closed: bool = False


@dataclass(frozen=True, slots=True)
class CallId:
    """The id of a caller's request.

    ``peer_identity`` is the transport identity of the peer that forwarded
    the request; it is empty for a request of this instance's own caller.
    ``number`` was given by the instance that received the request from its
    caller.
    """

    peer_identity: str
    number: int


@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Event: a caller submitted a job.

    ``begun_after`` is a time of the owner's clock before which the call did
    not begin, or None if its instance does not say.
    """

    call: CallId
    job: AcceptedJob
    begun_after: float | None = None


@dataclass(frozen=True, slots=True)
class CancelJob:
    """Event: a caller requested that a job be cancelled."""

    call: CallId
    queue: QueueId
    job: JobId


class Verdict(Enum):
    """The result of a caller's request.

    ``REFUSED`` says that nothing was done and nothing will be done later,
    ``UNKNOWN`` that the request may or may not have been carried out,
    ``UNREADABLE`` that no owner answered a query.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNKNOWN = 'unknown'
    NO_SUCH_JOB = 'no_such_job'
    NO_SUCH_QUEUE = 'no_such_queue'
    UNREADABLE = 'unreadable'


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller's request.

    ``state`` is the state of a job and ``pending`` the number of a queue's
    jobs that have not started; each is set only if the caller requested it.
    ``reason`` says why a request was not carried out, or why the job has
    failed, ``retry_after_s`` after how long the caller may try again.
    """

    verdict: Verdict
    state: JobState | None = None
    pending: int | None = None
    retry_after_s: float = 0.0
    reason: str = ''


@dataclass(frozen=True, slots=True)
class SendAnswer(Action):
    """Action: send the answer to a request through its entry instance."""

    call: CallId
    answer: Answer


Order = SendStart | SendStop | SendThrottle


def target_of(worker: Worker) -> Target:
    """Return the target of an order to a worker in its current boot."""
    entry = worker.entry
    return Target(entry.id, entry.boot, entry.address)
