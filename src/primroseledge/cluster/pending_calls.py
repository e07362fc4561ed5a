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
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.ids import Epoch
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

RETRY_AFTER_S: Final = 1.0


@dataclass(slots=True)
class PendingCall:
    """A caller's request that has no answer yet.

    ``sends`` counts how often it was sent to an owner, ``declines`` how
    often an instance replied that it is not the owner.
    """

    number: int
    request: CallerRequest
    received_at: float
    deadline: float
    sent_epoch: Epoch | None = None
    sent_at: float = 0.0
    sends: int = 0
    declines: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether an owner may have executed the request."""
        return self.sends > self.declines


@dataclass(slots=True)
class PendingCalls:
    """The unanswered requests of this instance's callers, by number."""

    calls: dict[int, PendingCall] = field(default_factory=dict)

    def add(self, call: PendingCall) -> None:
        """Add a call."""
        self.calls[call.number] = call

    def calls_to_send(self, epoch: Epoch, now: float) -> list[PendingCall]:
        """Return the calls due to be sent to an owner, and mark them as sent.

        A call is due if it was not sent in this epoch yet, or was sent
        ``RESEND_INTERVAL_S`` ago.
        """
        due = list[PendingCall]()
        for call in self.calls.values():
            is_new = call.sent_epoch != epoch
            if is_new or now >= call.sent_at + RESEND_INTERVAL_S:
                call.sent_epoch = epoch
                call.sent_at = now
                call.sends += 1
                due.append(call)
        return due

    def record_decline(self, number: int) -> None:
        """Record that an instance declined a call, having done nothing."""
        call = self.calls.get(number)
        if call is not None:
            call.declines += 1

    def remove(self, number: int) -> bool:
        """Remove a call; return whether it was still unanswered."""
        return self.calls.pop(number, None) is not None

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
