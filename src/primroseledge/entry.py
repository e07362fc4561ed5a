"""Requests at the entry instance that their callers reached.

A pure core: it is told of arrivals, messages and ends of attempts, and
returns what the rim is to do. It never sees a request's body.
"""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from primroseledge.actions import Deliver
from primroseledge.actions import EntryAction
from primroseledge.actions import RefuseCall
from primroseledge.actions import SendToOwner
from primroseledge.actions import StartAttempt
from primroseledge.constants import ASK_RESEND_S
from primroseledge.constants import DONE_RESEND_S
from primroseledge.constants import GRANT_VALID_S
from primroseledge.constants import MIN_ATTEMPT_S
from primroseledge.constants import STALE_GRANT_PAUSE_S
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.messages import Ask
from primroseledge.messages import Cancel
from primroseledge.messages import Carried
from primroseledge.messages import Done
from primroseledge.messages import DoneAck
from primroseledge.messages import EndState
from primroseledge.messages import Grant
from primroseledge.messages import Refuse
from primroseledge.outcomes import Reason


class AttemptEnd(Enum):
    """How an attempt ended, as the carrier saw it."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    NOT_SENT = 'not_sent'
    BAD_ANSWER = 'bad_answer'
    LOST = 'lost'


END_STATES = {
    AttemptEnd.ANSWERED: EndState.ENDED,
    AttemptEnd.REFUSED: EndState.NOT_RUN,
    AttemptEnd.NOT_SENT: EndState.NOT_RUN,
    AttemptEnd.BAD_ANSWER: EndState.UNKNOWN,
    AttemptEnd.LOST: EndState.UNKNOWN,
}


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request whose key and service have been checked."""

    handle: int
    request_id: RequestId
    team: TeamId
    service: ServiceId
    cell: CellId
    is_idempotent: bool
    is_urgent: bool
    deadline: float
    issued_at: float = 0.0


@dataclass(slots=True)
class Call:
    """An arrival and what has become of it."""

    arrival: Arrival
    ask_id: str
    asked_at: float
    attempt: int = 1
    excluded: tuple[InstanceId, ...] = ()
    grant: Grant | None = None
    granted_at: float = 0.0


@dataclass(slots=True)
class Unacked:
    """A Done that the owner has not acknowledged."""

    message: Done
    sent_at: float


@dataclass(slots=True)
class RetryBudget:
    """Allows retries as a fraction of the calls that arrived.

    ``ratio`` tokens are earned by an arrival, a retry spends one, and
    at most ``burst`` are kept.
    """

    ratio: float
    burst: float = 10.0
    tokens: float = 10.0

    def earn(self) -> None:
        """Count an arrival."""
        self.tokens = min(self.burst, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take one retry out of the budget; return whether there was."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclass(slots=True)
class EntryCore:
    """The calls that one entry instance has open."""

    entry: EntryId
    incarnation: Incarnation
    zone: str
    budget: RetryBudget
    calls: dict[str, Call] = field(default_factory=dict)
    by_handle: dict[int, Call] = field(default_factory=dict)
    unacked: dict[GrantId, Unacked] = field(default_factory=dict)
    finished: dict[GrantId, Carried] = field(default_factory=dict)
    is_stopping: bool = False
    counter: int = 0

    def arrive(self, arrival: Arrival, now: float) -> list[EntryAction]:
        """Take a request and ask for leave to run it."""
        if self.is_stopping:
            return [RefuseCall(arrival.handle, Reason.STOPPING)]
        self.budget.earn()
        self.counter += 1
        ask_id = f'{self.entry}.{self.incarnation}.{self.counter}'
        call = Call(arrival, ask_id, now)
        self.calls[ask_id] = call
        self.by_handle[arrival.handle] = call
        return [self.ask(call, now)]

    def ask(self, call: Call, now: float) -> SendToOwner:
        """Return the Ask for a call as it stands."""
        arrival = call.arrival
        call.asked_at = now
        return SendToOwner(
            arrival.cell,
            Ask(
                cell=arrival.cell,
                ask_id=call.ask_id,
                request_id=arrival.request_id,
                team=arrival.team,
                service=arrival.service,
                is_idempotent=arrival.is_idempotent,
                is_urgent=arrival.is_urgent,
                remaining_s=arrival.deadline - now,
                issued_at=arrival.issued_at,
                attempt=call.attempt,
                excluded=call.excluded,
                zone=self.zone,
            ),
        )

    def granted(self, grant: Grant, now: float) -> list[EntryAction]:
        """Start the attempt that a grant allows, unless it is too old."""
        call = self.calls.get(grant.ask_id)
        if call is not None and call.grant is not None:
            if call.grant.grant_id == grant.grant_id:
                return []
            return [self.finish(grant, EndState.NOT_RUN, now)]
        if call is None:
            if grant.grant_id in self.unacked:
                return []
            return [self.finish(grant, EndState.NOT_RUN, now)]
        start_by = grant.echo + GRANT_VALID_S
        left = call.arrival.deadline - now
        if now >= start_by or left < MIN_ATTEMPT_S:
            return self.return_grant(call, grant, now)
        call.grant = grant
        call.granted_at = now
        return [
            StartAttempt(
                handle=call.arrival.handle,
                request_id=call.arrival.request_id,
                team=call.arrival.team,
                grant_id=grant.grant_id,
                upstream=grant.upstream,
                address=grant.address,
                timeout_s=min(left, grant.run_limit_s),
                start_by=start_by,
            )
        ]

    def return_grant(
        self, call: Call, grant: Grant, now: float
    ) -> list[EntryAction]:
        """Give an unusable grant back and ask again or give up."""
        actions: list[EntryAction] = [
            self.finish(grant, EndState.NOT_RUN, now)
        ]
        if call.arrival.deadline - now < MIN_ATTEMPT_S:
            return actions + self.close(call, Reason.DEADLINE)
        self.renew(call)
        # Asking at once could go round for ever between two cores.
        call.asked_at = now - ASK_RESEND_S + STALE_GRANT_PAUSE_S
        return actions

    def refused(self, refuse: Refuse, now: float) -> list[EntryAction]:
        """Pass the owner's refusal on to the caller."""
        call = self.calls.get(refuse.ask_id)
        if call is None or call.grant is not None:
            return []
        return self.close(call, refuse.reason, refuse.retry_after_s)

    def attempt_ended(
        self, handle: int, end: AttemptEnd, now: float
    ) -> list[EntryAction]:
        """Deliver, try again or refuse, by how the attempt ended."""
        call = self.by_handle.get(handle)
        if call is None or call.grant is None:
            return []
        grant = call.grant
        failed = end is not AttemptEnd.ANSWERED
        actions: list[EntryAction] = [
            self.finish(grant, END_STATES[end], now, failed)
        ]
        if end is AttemptEnd.ANSWERED:
            self.forget(call)
            return [*actions, Deliver(handle)]
        call.grant = None
        if self.may_retry(call, end, now):
            call.excluded = (*call.excluded, grant.upstream)[-4:]
            return actions + self.ask_again(call, now)
        return actions + self.close(call, FAILURE_REASONS[end])

    def may_retry(self, call: Call, end: AttemptEnd, now: float) -> bool:
        """Tell whether a failed call may be attempted again."""
        if self.is_stopping:
            return False
        if call.arrival.deadline - now < MIN_ATTEMPT_S:
            return False
        is_proved_not_run = END_STATES[end] is EndState.NOT_RUN
        if not is_proved_not_run and not call.arrival.is_idempotent:
            return False
        return self.budget.spend()

    def ask_again(self, call: Call, now: float) -> list[EntryAction]:
        """Ask for another attempt."""
        self.renew(call)
        return [self.ask(call, now)]

    def renew(self, call: Call) -> None:
        """Give a call the ask id of its next attempt."""
        del self.calls[call.ask_id]
        call.attempt += 1
        call.ask_id = call.ask_id.split('+')[0] + f'+{call.attempt}'
        self.calls[call.ask_id] = call

    def finish(
        self,
        grant: Grant,
        end: EndState,
        now: float,
        has_upstream_failed: bool = False,
    ) -> SendToOwner:
        """Return the Done for a grant and keep it until acknowledged."""
        done = Done(grant.cell, grant.grant_id, end, has_upstream_failed)
        self.unacked[grant.grant_id] = Unacked(done, now)
        return SendToOwner(grant.cell, done)

    def acknowledged(self, ack: DoneAck) -> None:
        """Forget the Done messages that the owner has."""
        for grant_id in ack.grants:
            self.unacked.pop(grant_id, None)

    def close(
        self, call: Call, reason: Reason, retry_after_s: float = 1.0
    ) -> list[EntryAction]:
        """End a call with a refusal."""
        self.forget(call)
        return [RefuseCall(call.arrival.handle, reason, retry_after_s)]

    def forget(self, call: Call) -> None:
        """Drop a call that has its final answer."""
        self.calls.pop(call.ask_id, None)
        self.by_handle.pop(call.arrival.handle, None)

    def owner_changed(self, cell: CellId, now: float) -> list[EntryAction]:
        """Ask the new owner of a cell for every call that waits."""
        return [
            self.ask(call, now)
            for call in self.calls.values()
            if call.grant is None and call.arrival.cell == cell
        ]

    def tick(self, now: float) -> list[EntryAction]:
        """Refuse calls past their deadline and send lost messages again."""
        actions: list[EntryAction] = []
        waiting = [c for c in self.calls.values() if c.grant is None]
        for call in waiting:
            arrival = call.arrival
            if arrival.deadline - now < MIN_ATTEMPT_S:
                cancel = Cancel(arrival.cell, call.ask_id)
                actions.append(SendToOwner(arrival.cell, cancel))
                actions += self.close(call, Reason.DEADLINE)
            elif now - call.asked_at >= ASK_RESEND_S:
                actions.append(self.ask(call, now))
        for unacked in self.unacked.values():
            if now - unacked.sent_at >= DONE_RESEND_S:
                unacked.sent_at = now
                done = unacked.message
                actions.append(SendToOwner(done.cell, done))
        return actions

    def count_calls(self) -> tuple[int, int]:
        """Return how many calls run and how many wait."""
        running = sum(call.grant is not None for call in self.calls.values())
        return running, len(self.calls) - running

    def carried(self, cell: CellId, now: float) -> tuple[Carried, ...]:
        """Return what this instance carries for a cell, for a Report."""
        return tuple(
            Carried(
                grant_id=call.grant.grant_id,
                request_id=call.arrival.request_id,
                team=call.arrival.team,
                service=call.arrival.service,
                upstream=call.grant.upstream,
                is_idempotent=call.arrival.is_idempotent,
                end=None,
                remaining_s=call.granted_at + call.grant.run_limit_s - now,
            )
            for call in self.calls.values()
            if call.grant is not None and call.arrival.cell == cell
        )


FAILURE_REASONS = {
    AttemptEnd.REFUSED: Reason.UPSTREAM_REFUSED,
    AttemptEnd.NOT_SENT: Reason.NO_UPSTREAM,
    AttemptEnd.BAD_ANSWER: Reason.BAD_ANSWER,
    AttemptEnd.LOST: Reason.ANSWER_LOST,
}
