"""Requests about jobs that wait for an answer from the fleet's owner.

A request is sent again if its answer is late or the owner has changed,
which is safe because all requests are idempotent. One that was never sent,
or was declined each time, has not run; any other may have run.

The package ``gateway`` carries other requests: those of the product's own
protocol, which it forwards to upstreams.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import CallOrigin
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import ForwardedReply
from primroseledge.cluster.messages import ForwardedRequest
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.messages import ToldRefusal
from primroseledge.ids import Epoch
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict

RESEND_INTERVAL_S: Final = 0.7
"""Delay before an unanswered request is sent again, in seconds.

An owner in the same region answers within about 30 ms.
"""

MAX_OWNER_WAIT_S: Final = 1.5
"""Longest wait of a request for an owner, in seconds.

It applies to requests that cannot have run; the others wait until their
deadline.
"""

MAX_OWNERS_TRIED: Final = 3
"""Number of owners, each lost without an answer, after which a call ends.

It may be the cause: an error in an owner's loop ends its ownership.
"""

RETRY_AFTER_S: Final = 1.0

NO_CALL: Final = 0
"""Number of a request that no caller waits for; those of calls begin at 1."""

REFUSALS: Final = frozenset((Verdict.REFUSED, Verdict.NO_SUCH_QUEUE))
"""Answers by which a job was not accepted, or not cancelled."""


@dataclass(slots=True)
class PendingCall:
    """A caller's request that has no answer yet.

    ``sends`` counts how often it was sent to an owner, ``declines`` how
    often an instance replied that it is not the owner, and ``owners_tried``
    to how many owners it was sent. It began after the owner's time in
    ``origin``.
    """

    number: int
    request: CallerRequest
    received_at: float
    deadline: float
    sent_epoch: Epoch | None = None
    sent_at: float = 0.0
    sends: int = 0
    declines: int = 0
    owners_tried: int = 0
    origin: CallOrigin = CallOrigin()

    @property
    def may_have_run(self) -> bool:
        """Return whether an owner may have executed the request."""
        return self.sends > self.declines


@dataclass(slots=True)
class PendingCalls:
    """The unanswered requests of this instance's callers, by number.

    ``newest_origin`` has the time of the owner's newest reply. ``told`` are
    refusals that callers were told, to be confirmed to the owner.
    """

    calls: dict[int, PendingCall] = field(default_factory=dict)
    newest_origin: CallOrigin = CallOrigin()
    told: list[tuple[ToldRefusal, StateRequest]] = field(default_factory=list)

    def add(self, call: PendingCall) -> None:
        """Add a call that begins now."""
        call.origin = self.newest_origin
        self.calls[call.number] = call

    def requests_to_send(
        self, epoch: Epoch, now: float
    ) -> list[ForwardedRequest]:
        """Return the messages that are due to be sent to a peer as owner.

        Refusals that were told go along with a call. Without one they go
        with a query, whose reply brings a new time of the owner: else an
        instance without other calls could not show that a call is new.
        """
        requests = [
            ForwardedRequest(call.number, call.request, call.origin)
            for call in self.calls_to_send(epoch, now)
        ]
        if not self.told:
            return requests
        told = tuple(refusal for refusal, _ in self.told)
        query = self.told[-1][1]
        self.told.clear()
        return [
            ForwardedRequest(NO_CALL, query, self.newest_origin, told),
            *requests,
        ]

    def calls_to_send(self, epoch: Epoch, now: float) -> list[PendingCall]:
        """Return the calls due to be sent to an owner, and mark them as sent.

        A call is due if it was not sent in this epoch yet, or was sent
        ``RESEND_INTERVAL_S`` ago.
        """
        due = list[PendingCall]()
        for call in self.calls.values():
            is_new = call.sent_epoch != epoch
            if is_new or now >= call.sent_at + RESEND_INTERVAL_S:
                call.owners_tried += is_new
                call.sent_epoch = epoch
                call.sent_at = now
                call.sends += 1
                due.append(call)
        return due

    def give_up_calls(self, epoch: Epoch) -> list[tuple[PendingCall, Answer]]:
        """Remove the calls that are not sent to one more owner.

        Returns them with their final answers.
        """
        given_up = [
            call
            for call in self.calls.values()
            if call.sent_epoch not in (None, epoch)
            and call.owners_tried - call.declines >= MAX_OWNERS_TRIED
        ]
        for call in given_up:
            del self.calls[call.number]
        return [(call, answer_without_owner(call)) for call in given_up]

    def record_decline(self, number: int) -> None:
        """Record that an instance declined a call, having done nothing."""
        call = self.calls.get(number)
        if call is not None:
            call.declines += 1

    def handle_reply(self, reply: ForwardedReply, now: float) -> Answer | None:
        """Return the answer for the caller, or None if it has one already.

        A refusal that comes after the call's deadline is not told, as the
        owner no longer keeps earlier submissions of the job from running.
        """
        origin = CallOrigin(reply.epoch, reply.sent_at)
        newest = self.newest_origin
        if (origin.epoch, origin.owner_time) > (
            newest.epoch,
            newest.owner_time,
        ):
            self.newest_origin = origin
        call = self.calls.pop(reply.number, None)
        if call is None:
            return None
        query = state_query_of(call.request)
        if query is not None and reply.answer.verdict in REFUSALS:
            if now >= call.deadline:
                return answer_without_owner(call)
            self.told.append((ToldRefusal(call.number, query.job), query))
        return reply.answer

    def remove(self, number: int) -> bool:
        """Remove a call; return whether it was still unanswered."""
        return self.calls.pop(number, None) is not None

    def end_calls(
        self, epoch: Epoch | None, now: float
    ) -> list[tuple[PendingCall, Answer]]:
        """Remove the calls that have expired or are given up.

        ``epoch`` is that of the owner, None if there is none. Returns the
        calls with their final answers.
        """
        given_up = [] if epoch is None else self.give_up_calls(epoch)
        return self.expire_calls(now) + given_up

    def expire_calls(self, now: float) -> list[tuple[PendingCall, Answer]]:
        """Remove expired calls; return them with their final answers."""
        expired = list[tuple[PendingCall, Answer]]()
        for call in list(self.calls.values()):
            waited_s = now - call.received_at
            if now < call.deadline and (
                call.may_have_run or waited_s < MAX_OWNER_WAIT_S
            ):
                continue
            del self.calls[call.number]
            expired.append((call, answer_without_owner(call)))
        return expired

    def end_all(self) -> list[tuple[PendingCall, Answer]]:
        """Remove all calls at the end of the process.

        Returns them with their final answers.
        """
        calls = list(self.calls.values())
        self.calls.clear()
        return [(call, answer_without_owner(call)) for call in calls]


def answer_without_owner(call: PendingCall) -> Answer:
    """Return the final answer to a call that no owner has answered.

    The verdict on a query is UNREADABLE. That on any other request is
    UNKNOWN if it may have run, and otherwise REFUSED.
    """
    if isinstance(call.request, SubmitRequest) and call.may_have_run:
        return Answer(Verdict.UNKNOWN, reason='owner')
    if isinstance(call.request, StateRequest | PendingRequest):
        return Answer(
            Verdict.UNREADABLE,
            retry_after_s=RETRY_AFTER_S,
            reason='owner',
        )
    verdict = Verdict.UNKNOWN if call.may_have_run else Verdict.REFUSED
    return Answer(verdict, retry_after_s=RETRY_AFTER_S, reason='owner')


def state_query_of(request: CallerRequest) -> StateRequest | None:
    """Return the query for the job that a request would change, if any."""
    if isinstance(request, SubmitRequest):
        return StateRequest(request.job.queue, request.job.id)
    if isinstance(request, CancelRequest):
        return StateRequest(request.queue, request.job)
    return None


def job_or_queue_of(request: CallerRequest) -> str:
    """Return the id of the job that a request names, or of its queue."""
    if isinstance(request, SubmitRequest):
        return request.job.id
    if isinstance(request, PendingRequest):
        return request.queue
    return request.job


def log_unanswered_call(
    call: PendingCall, answer: Answer, epoch: Epoch | None, now: float
) -> None:
    """Log a request that ends without an answer from an owner.

    ``epoch`` is that of the present owner, None if there is none.
    """
    log(
        Event.CALL_UNSERVED,
        kind=type(call.request).__name__,
        job=job_or_queue_of(call.request),
        verdict=answer.verdict.value,
        sends=call.sends,
        declines=call.declines,
        epoch=epoch or 0,
        seconds=round(now - call.received_at, 3),
    )
