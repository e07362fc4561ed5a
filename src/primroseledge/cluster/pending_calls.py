"""Callers' requests on their way to the owner and back.

A request is sent again when its answer is late or the owner changed,
which is safe as all of them are idempotent. One that was never sent is
refused as not run; one that was sent may have run.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import Verdict

RESEND_INTERVAL_S: Final = 0.7
"""An owner in the same region answers within some 30 ms."""

MAX_OWNER_WAIT_S: Final = 1.5
"""How long a request waits for an owner before it is refused."""

RETRY_AFTER_S: Final = 1.0


@dataclass(slots=True)
class PendingCall:
    """A caller's request without an answer yet."""

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
        """Tell whether an owner may have taken the request."""
        return self.sends > self.declines


@dataclass(slots=True)
class PendingCalls:
    """The requests of this instance's callers."""

    calls: dict[int, PendingCall] = field(default_factory=dict)

    def add(self, call: PendingCall) -> None:
        """Begin a call."""
        self.calls[call.number] = call

    def calls_to_send(self, epoch: Epoch, now: float) -> list[PendingCall]:
        """Return the calls to send to an owner now, and note it."""
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
        """Note that an instance did nothing with one send of a call."""
        call = self.calls.get(number)
        if call is not None:
            call.declines += 1

    def remove(self, number: int) -> bool:
        """End a call; tell whether it was still waiting."""
        return self.calls.pop(number, None) is not None

    def expire_calls(self, now: float) -> list[tuple[PendingCall, Answer]]:
        """Return final answers for calls that won't get one in time."""
        given_up = list[tuple[PendingCall, Answer]]()
        for call in list(self.calls.values()):
            waited_s = now - call.received_at
            if now < call.deadline and (
                call.may_have_run or waited_s < MAX_OWNER_WAIT_S
            ):
                continue
            del self.calls[call.number]
            given_up.append((call, answer_without_owner(call)))
        return given_up

    def end_all(self) -> list[tuple[PendingCall, Answer]]:
        """Return final answers for all calls, when the process ends."""
        calls = list(self.calls.values())
        self.calls.clear()
        return [(call, answer_without_owner(call)) for call in calls]


def answer_without_owner(call: PendingCall) -> Answer:
    """Return what a caller is told without an owner's answer."""
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
