"""Requests at the entry instance that their callers reached.

A pure core: it is told of arrivals, messages and ends of attempts, and
returns what the rim is to do. It never sees a request's body.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.constants import ASK_RESEND_S
from primroseledge.constants import DONE_RESEND_S
from primroseledge.constants import GRANT_VALID_S
from primroseledge.constants import MIN_ATTEMPT_S
from primroseledge.constants import STALE_GRANT_PAUSE_S
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.requests.actions import Deliver
from primroseledge.requests.actions import EntryAction
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.attempt_end import DELIVERED
from primroseledge.requests.attempt_end import END_STATES
from primroseledge.requests.attempt_end import FAILURE_REASONS
from primroseledge.requests.attempt_end import UPSTREAM_FAILURES
from primroseledge.requests.attempt_history import AttemptHistory
from primroseledge.requests.attempt_history import with_remaining
from primroseledge.requests.broken_attempts import MAX_BROKEN_ATTEMPTS
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Cancel
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Refuse
from primroseledge.requests.open_call import Arrival
from primroseledge.requests.open_call import Call
from primroseledge.requests.open_call import carried_of
from primroseledge.requests.open_call import NO_EPOCH
from primroseledge.requests.open_call import NO_MARK
from primroseledge.requests.open_call import OwnerMark
from primroseledge.requests.open_call import run_ends_at
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.outcomes import VERDICTS
from primroseledge.requests.retry_budget import RetryBudget

FIRST_RETRY_PAUSE_S: Final = 0.05
MAX_RETRY_PAUSE_S: Final = 1.0
MAX_EXCLUDED: Final = 4


@dataclass(slots=True)
class Unacked:
    """A Done that the owner has not acknowledged."""

    message: Done
    sent_at: float


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
    history: AttemptHistory = field(default_factory=AttemptHistory)
    epochs: dict[CellId, Epoch] = field(default_factory=dict)
    owner_marks: dict[CellId, OwnerMark] = field(default_factory=dict)
    is_stopping: bool = False
    counter: int = 0

    def arrive(self, arrival: Arrival, now: float) -> list[EntryAction]:
        """Take a request and ask for leave to run it."""
        if self.is_stopping:
            return [RefuseCall(arrival.handle, Reason.STOPPING)]
        self.budget.earn()
        self.counter += 1
        mark = self.owner_marks.get(arrival.cell, NO_MARK)
        call = Call(arrival, f'{self.prefix}{self.counter}', now, mark)
        self.calls[call.ask_id] = call
        self.by_handle[arrival.handle] = call
        return [self.ask(call, now)]

    @property
    def prefix(self) -> str:
        """Return how the ask ids of this run begin."""
        return f'{self.entry}.{self.incarnation}.'

    def note_owner(self, cell: CellId, epoch: Epoch, sent_at: float) -> None:
        """Note when the owner of a cell sent its newest heartbeat."""
        self.owner_marks[cell] = OwnerMark(epoch, sent_at)

    def ask(self, call: Call, now: float) -> SendToOwner:
        """Return the Ask for a call as it stands."""
        arrival = call.arrival
        call.ask_at = now + ASK_RESEND_S
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
                not_run=call.not_run,
                begun_epoch=call.mark.epoch,
                begun_after=call.mark.sent_at,
            ),
        )

    def granted(self, grant: Grant, now: float) -> list[EntryAction]:
        """Start the attempt that a grant allows, unless it is too old."""
        if self.has_ended(grant):
            return []
        call = self.calls.get(grant.ask_id)
        if call is not None and call.grant is not None:
            if call.grant.grant_id == grant.grant_id:
                return []
            return [self.finish(grant, AttemptEnd.TOO_LATE, now)]
        is_old = grant.epoch < self.epochs.get(grant.cell, 0)
        if call is None or is_old:
            return [self.finish(grant, AttemptEnd.TOO_LATE, now)]
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
                queued_s=grant.queued_s,
            )
        ]

    def has_ended(self, grant: Grant) -> bool:
        """Tell whether a grant was used before, as far as is known.

        The copy of a grant for an earlier run of this entry instance
        may have been used by that run.
        """
        return (
            grant.grant_id in self.unacked
            or grant.grant_id in self.history
            or not grant.ask_id.startswith(self.prefix)
        )

    def return_grant(
        self, call: Call, grant: Grant, now: float
    ) -> list[EntryAction]:
        """Give an unusable grant back and ask again or give up."""
        actions: list[EntryAction] = [
            self.finish(grant, AttemptEnd.TOO_LATE, now)
        ]
        if call.arrival.deadline - now < MIN_ATTEMPT_S:
            return actions + self.close(call, Reason.DEADLINE)
        # Asking at once could go round for ever between two cores.
        self.renew(call, grant.grant_id, now + STALE_GRANT_PAUSE_S)
        return actions

    def deny(self, grant: Grant, now: float) -> list[EntryAction]:
        """Give a grant back and refuse its call: its key was withdrawn."""
        call = self.calls.get(grant.ask_id)
        if call is None or call.grant is not None:
            return [self.finish(grant, AttemptEnd.TOO_LATE, now)]
        told = Reason.BAD_KEY
        return [
            self.finish(grant, AttemptEnd.TOO_LATE, now, told),
            *self.close(call, told, is_checked=True),
        ]

    def refused(self, refuse: Refuse, now: float) -> list[EntryAction]:
        """Pass the owner's refusal on to the caller, and confirm that.

        After the deadline the owner no longer takes care that it is true.
        """
        call = self.calls.get(refuse.ask_id)
        if call is None or call.grant is not None:
            return []
        if now >= call.arrival.deadline:
            return [self.cancel(call), *self.close(call, Reason.DEADLINE)]
        refusal = self.close(
            call, refuse.reason, refuse.retry_after_s, is_checked=True
        )
        return [*refusal, self.cancel(call)]

    def cancel(self, call: Call) -> SendToOwner:
        """Return the message that a call without a grant is over."""
        arrival = call.arrival
        cancel = Cancel(arrival.cell, call.ask_id, arrival.request_id)
        return SendToOwner(arrival.cell, cancel)

    def attempt_ended(
        self, handle: int, end: AttemptEnd, now: float
    ) -> list[EntryAction]:
        """Deliver, try again or refuse, by how the attempt ended."""
        call = self.by_handle.get(handle)
        if call is None or call.grant is None:
            return []
        grant = call.grant
        self.remember(call, end, now)
        call.grant = None
        call.may_have_run |= END_STATES[end] is EndState.UNKNOWN
        call.broken_attempts += end is AttemptEnd.BROKEN
        if end in DELIVERED:
            self.forget(call)
            return [self.finish(grant, end, now), Deliver(handle)]
        if not self.may_retry(call, end, now):
            told = FAILURE_REASONS[end]
            if call.broken_attempts >= MAX_BROKEN_ATTEMPTS:
                told = Reason.BREAKS_UPSTREAMS
            return [
                self.finish(grant, end, now, told),
                *self.close(call, told, is_checked=True),
            ]
        actions: list[EntryAction] = [self.finish(grant, end, now)]
        if end is not AttemptEnd.TOO_LATE:
            excluded = (*call.excluded, grant.upstream)
            call.excluded = excluded[-MAX_EXCLUDED:]
        if END_STATES[end] is EndState.NOT_RUN:
            pause_s = FIRST_RETRY_PAUSE_S * 2 ** min(call.attempt - 1, 10)
            pause_s = min(pause_s, MAX_RETRY_PAUSE_S)
            self.renew(call, grant.grant_id, now + pause_s)
            return actions
        self.renew(call, GrantId(''), now)
        return [*actions, self.ask(call, now)]

    def may_retry(self, call: Call, end: AttemptEnd, now: float) -> bool:
        """Tell whether a failed call may be attempted again.

        An attempt that did not run costs an upstream next to nothing
        and is repeated with pauses until the deadline. One that may
        have run is repeated only within the budget.
        """
        if call.arrival.deadline - now < MIN_ATTEMPT_S:
            return False
        if END_STATES[end] is EndState.NOT_RUN:
            return True
        if self.is_stopping or not call.arrival.is_idempotent:
            return False
        if call.broken_attempts >= MAX_BROKEN_ATTEMPTS:
            return False
        return self.budget.spend()

    def renew(self, call: Call, not_run: GrantId, ask_at: float) -> None:
        """Give a call the ask id of its next attempt."""
        del self.calls[call.ask_id]
        call.attempt += 1
        call.ask_id = call.ask_id.split('+')[0] + f'+{call.attempt}'
        call.not_run = not_run
        call.ask_at = ask_at
        self.calls[call.ask_id] = call

    def remember(self, call: Call, end: AttemptEnd, now: float) -> None:
        """Keep what an owner may have to know of an ended attempt."""
        state = END_STATES[end]
        is_known = state is EndState.NOT_RUN or (
            state is EndState.ENDED and call.arrival.is_idempotent
        )
        if not is_known:
            carried = carried_of(call, state, end is AttemptEnd.BROKEN)
            self.history.add(carried, now, run_ends_at(call))

    def finish(
        self,
        grant: Grant,
        end: AttemptEnd,
        now: float,
        told: Reason | None = None,
    ) -> SendToOwner:
        """Return the Done for a grant and keep it until acknowledged.

        ``told`` is what the caller is told if the call ends with it.
        """
        done = Done(
            cell=grant.cell,
            grant_id=grant.grant_id,
            end=END_STATES[end],
            has_upstream_failed=end in UPSTREAM_FAILURES,
            was_refused=end is AttemptEnd.REFUSED,
            told=told,
            was_broken=end is AttemptEnd.BROKEN,
        )
        self.unacked[grant.grant_id] = Unacked(done, now)
        return SendToOwner(grant.cell, done)

    def acknowledged(self, ack: DoneAck) -> None:
        """Forget the Done messages that the owner has."""
        for grant_id in ack.grants:
            self.unacked.pop(grant_id, None)

    def close(
        self,
        call: Call,
        reason: Reason,
        retry_after_s: float = 1.0,
        is_checked: bool = False,
    ) -> list[EntryAction]:
        """End a call with a refusal that is true for all its attempts."""
        self.forget(call)
        is_not_run = VERDICTS[reason].outcome is Outcome.NOT_RUN
        if call.may_have_run and is_not_run:
            reason = Reason.ANSWER_LOST
        handle = call.arrival.handle
        return [RefuseCall(handle, reason, retry_after_s, is_checked)]

    def forget(self, call: Call) -> None:
        """Drop a call that has its final answer."""
        self.calls.pop(call.ask_id, None)
        self.by_handle.pop(call.arrival.handle, None)

    def owner_changed(
        self, cell: CellId, now: float, epoch: Epoch = NO_EPOCH
    ) -> list[EntryAction]:
        """Ask the new owner of a cell for every call that waits.

        Grants of earlier epochs are not used from now on.
        """
        self.epochs[cell] = max(epoch, self.epochs.get(cell, NO_EPOCH))
        return [
            self.ask(call, now)
            for call in self.calls.values()
            if call.grant is None and call.arrival.cell == cell
        ]

    def tick(self, now: float) -> list[EntryAction]:
        """Refuse calls past their deadline and send lost messages again."""
        self.history.expire(now)
        actions: list[EntryAction] = []
        waiting = [c for c in self.calls.values() if c.grant is None]
        for call in waiting:
            arrival = call.arrival
            if arrival.deadline - now < MIN_ATTEMPT_S:
                actions.append(self.cancel(call))
                actions += self.close(call, Reason.DEADLINE)
            elif now >= call.ask_at:
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
        """Return what this instance carries or carried, for a Report."""
        running = tuple(
            with_remaining(carried_of(call, None), run_ends_at(call) - now)
            for call in self.calls.values()
            if call.grant is not None and call.arrival.cell == cell
        )
        return running + self.history.carried(now)
