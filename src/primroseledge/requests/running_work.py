"""The running work of a cell: grants, limits, slots, memory of ids."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from math import inf

from primroseledge.constants import RUN_MARGIN_S
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import RequestId
from primroseledge.refused_ids import RefusedIds
from primroseledge.requests.broken_attempts import BrokenAttempts
from primroseledge.requests.grant_ledger import GrantLedger
from primroseledge.requests.grant_ledger import Running
from primroseledge.requests.limits import TeamLimits
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Handover
from primroseledge.requests.messages import Refused
from primroseledge.requests.messages import Report
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.outcomes import VERDICTS
from primroseledge.requests.request_memory import OWN_ID_PREFIX
from primroseledge.requests.request_memory import RequestMemory
from primroseledge.requests.slots import Slots


@dataclass(slots=True)
class RunningWork:
    """Counts each attempt from its grant until it is proved ended.

    ``wall_offset_s`` added to ``now`` is the wall-clock time; None
    while that is not known.
    """

    epoch: Epoch
    memory: RequestMemory
    refused: RefusedIds[Reason]
    limits: TeamLimits
    slots: Slots
    ledger: GrantLedger = field(default_factory=GrantLedger)
    broken: BrokenAttempts = field(default_factory=BrokenAttempts)
    wall_offset_s: float | None = None

    def wall(self, now: float, issued_at: float = 0.0) -> float:
        """Return the wall-clock time, or else the time in an id."""
        if self.wall_offset_s is None:
            return issued_at or now
        return now + self.wall_offset_s

    def objection(self, ask: Ask, now: float) -> Reason | None:
        """Return why the id of a request must not run, if so."""
        wall = self.wall(now, ask.issued_at)
        reason = self.memory.check(ask.request_id, ask.issued_at, wall)
        if reason is not None or ask.request_id.startswith(OWN_ID_PREFIX):
            return reason
        is_ours = ask.begun_epoch == self.epoch
        begun_after = ask.begun_after if is_ours else -inf
        if self.refused.is_forgotten(begun_after):
            return Reason.MEMORY_LOST
        return self.refused.find(ask.request_id, begun_after, now)

    def note_refusal(self, ask: Ask, reason: Reason, now: float) -> None:
        """Remember a refusal that says *not run*, to keep it true."""
        if is_guarded(ask) and VERDICTS[reason].outcome is Outcome.NOT_RUN:
            self.refused.refuse(
                ask.request_id, ask.ask_id, reason, ask.remaining_s, now
            )

    def note_told(
        self, running: Running, reason: Reason | None, now: float
    ) -> None:
        """Remember what the caller of an attempt that did not run was told.

        ``reason`` is None if its call goes on.
        """
        is_own = running.request_id.startswith(OWN_ID_PREFIX)
        if reason is not None and not running.is_idempotent and not is_own:
            self.refused.record(running.request_id, reason, now)

    def start(self, grant_id: GrantId, running: Running, now: float) -> None:
        """Count a granted attempt."""
        self.ledger.add(grant_id, running)
        self.limits.start(running.team, running.entry)
        self.slots.take(running.upstream)
        is_lost = running.is_unknown
        reason = Reason.MEMORY_LOST if is_lost else Reason.IN_PROGRESS
        self.remember(running, reason, now)

    def stop(self, grant_id: GrantId) -> None:
        """Count an attempt as ended."""
        running = self.ledger.remove(grant_id)
        self.limits.stop(running.team, running.entry)
        self.slots.give(running.upstream)

    def end(self, grant_id: GrantId, state: EndState, now: float) -> bool:
        """Take an attempt's end; return whether that frees its slot."""
        running = self.ledger.grants.get(grant_id)
        if running is None or running.is_unknown:
            return False
        if state is EndState.UNKNOWN:
            running.is_unknown = True
            self.remember(running, Reason.MEMORY_LOST, now)
            return False
        self.stop(grant_id)
        if state is EndState.ENDED:
            self.broken.forget(running.request_id)
            self.remember(running, Reason.ALREADY_RAN, now)
        else:
            self.memory.forget(running.request_id)
        return True

    def expire(self, now: float) -> None:
        """Count attempts as ended that must have ended by now."""
        for grant_id in self.ledger.expired(now):
            running = self.ledger.grants[grant_id]
            self.remember(running, Reason.MEMORY_LOST, now)
            self.stop(grant_id)
        self.memory.expire(self.wall(now))
        self.broken.expire(now)
        self.refused.expire(now)

    def remember(self, running: Running, reason: Reason, now: float) -> None:
        """Remember what became of a non-idempotent request."""
        if not running.is_idempotent:
            self.memory.note(
                running.request_id, reason, running.issued_at, self.wall(now)
            )

    def adopt(
        self, entry: EntryId, carried: Iterable[Carried], now: float
    ) -> None:
        """Count what an entry instance reports that it carries."""
        for item in carried:
            if item.was_broken:
                self.broken.add(item.request_id, item.grant_id, now)
            running = running_of(entry, item, now)
            if item.end is EndState.ENDED:
                self.remember(running, Reason.ALREADY_RAN, now)
            elif running.expires_at <= now:
                self.remember(running, Reason.MEMORY_LOST, now)
            elif item.grant_id not in self.ledger.grants:
                self.start(item.grant_id, running, now)

    def take_over(
        self, epoch: Epoch, reports: Iterable[Report], now: float
    ) -> bool:
        """Take the last owner's memory; return whether it is there."""
        for report in reports:
            handover = report.handover
            if handover is None or handover.epoch != epoch - 1:
                continue
            self.adopt(EntryId(''), handover.granted, now)
            self.memory.merge(
                handover.remembered, handover.lost_before, self.wall(now)
            )
            self.memory.untimed_lost_until = handover.untimed_lost_until
            self.adopt_refusals(handover, now)
            return True
        return False

    def adopt_refusals(self, handover: Handover, now: float) -> None:
        """Take over the last owner's refusals.

        Sendings that began under it can no longer be told apart, so the
        refusals hold for all of them.
        """
        for item in handover.refused:
            self.refused.refuse(
                item.request_id, '', item.reason, item.remaining_s, now
            )
        if handover.has_forgotten_refusals:
            self.refused.forgotten_at = now

    def hand_over(self, epoch: Epoch, now: float) -> Handover:
        """Return all that the next owner needs."""
        wall = self.wall(now)
        skew_s = self.memory.clock_skew_s
        # The next owner's clock may be behind ours, so it must not run
        # what we have forgotten because of its age.
        forgotten_before = wall - self.memory.window_s + skew_s
        return Handover(
            epoch=epoch,
            remembered=self.memory.export(),
            granted=self.ledger.export(now),
            lost_before=max(self.memory.lost_before, forgotten_before),
            untimed_lost_until=self.memory.untimed_lost_until,
            refused=tuple(
                Refused(
                    RequestId(request_id),
                    entry.refusal,
                    max([now, *entry.unconfirmed.values()]) - now,
                )
                for request_id, entry in self.refused.entries.items()
            ),
            has_forgotten_refusals=self.refused.forgotten_at is not None,
        )


def is_guarded(ask: Ask) -> bool:
    """Return whether a request must not run twice, by any way.

    Its caller chose the id, and may have sent it through others as well.
    """
    is_own = ask.request_id.startswith(OWN_ID_PREFIX)
    return not ask.is_idempotent and not is_own


def running_of(entry: EntryId, item: Carried, now: float) -> Running:
    """Return a reported attempt as the owner counts it."""
    return Running(
        entry=item.entry or entry,
        ask_id='',
        request_id=item.request_id,
        team=item.team,
        service=item.service,
        upstream=item.upstream,
        is_idempotent=item.is_idempotent,
        expires_at=now + item.remaining_s + RUN_MARGIN_S,
        issued_at=item.issued_at,
        is_unknown=item.end is EndState.UNKNOWN,
    )
