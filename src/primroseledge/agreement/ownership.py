"""Who owns a cell: one entry instance's part in it.

The store's record orders owners by epoch. An owner acts only on
evidence not older than ``freshness_s`` that its epoch stands: its own
read of the record, or heartbeats of a majority of the members that
obey it. A taker gets a majority to obey its epoch and then waits until
all such evidence of earlier epochs has lapsed.
"""

from primroseledge.agreement.epoch_evidence import EpochEvidence
from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.membership import Membership
from primroseledge.agreement.owner_record import NO_OWNER
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.owner_state import OwnerState
from primroseledge.agreement.ownership_actions import BecomeOwner
from primroseledge.agreement.ownership_actions import FollowOwner
from primroseledge.agreement.ownership_actions import OwnershipAction
from primroseledge.agreement.ownership_actions import SendHeartbeat
from primroseledge.agreement.ownership_actions import SendReport
from primroseledge.agreement.ownership_actions import SendReportRequest
from primroseledge.agreement.ownership_actions import StepDown
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.agreement.ownership_settings import OwnershipSettings
from primroseledge.agreement.record_access import parse_owner
from primroseledge.agreement.record_access import RecordAccess
from primroseledge.agreement.record_access import RELEASE_POLL_S
from primroseledge.agreement.succession import Succession
from primroseledge.agreement.takeover import INFINITY
from primroseledge.agreement.takeover import Takeover
from primroseledge.chart import load_chart
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import Report
from primroseledge.requests.messages import ReportRequest
from primroseledge.storage.store import Record

Actions = list[OwnershipAction]


class Ownership:
    """One cell's owner as one run of an entry instance knows it.

    ``epoch`` is the newest that this node obeys and ``record`` says
    who has it. ``longest_run_s`` is the longest run limit of the cell's
    services; the node keeps it up to date.
    """

    def __init__(
        self,
        cell: CellId,
        membership: Membership,
        settings: OwnershipSettings,
    ) -> None:
        self.cell = cell
        self.membership = membership
        self.me = membership.me
        self.incarnation = membership.incarnation
        self.settings = settings
        self.longest_run_s = 0.0
        self.chart = load_chart('ownership')
        self.state = OwnerState(self.chart.initial)
        self.members: tuple[EntryId, ...] = ()
        self.record = NO_OWNER
        self.access = RecordAccess(cell, self.me, self.incarnation)
        self.evidence = EpochEvidence()
        self.succession = Succession(cell, membership, settings)
        self.newer_since = INFINITY
        self.takeover = Takeover(NEVER, NO_OWNER)
        self.next_request_at = NEVER
        self.quarantine_until = NEVER

    @property
    def epoch(self) -> Epoch:
        """Return the newest epoch that this node obeys."""
        return self.record.epoch

    @property
    def owner(self) -> EntryId:
        """Return whom this node takes for the owner, or an empty id."""
        return self.record.owner

    @property
    def stated_epochs(self) -> dict[CellId, Epoch]:
        """Return what this node's heartbeats say of the cell's epoch.

        Until this run has read the record it says nothing: an earlier
        run may have obeyed an epoch that this one does not know of.
        """
        return {self.cell: self.epoch} if self.access.has_read else {}

    def stated_vacant(self, now: float) -> tuple[CellId, ...]:
        """Return what this node's heartbeats say of the cell's owner."""
        is_unheard = self.succession.is_unheard(self.record, now)
        return (self.cell,) if self.access.has_read and is_unheard else ()

    def may_act(self, now: float) -> bool:
        """Return whether this node may act as the owner now.

        To be asked before every use of the right.
        """
        return self.state is OwnerState.OWNER and now <= self.act_until()

    def may_start(self, epoch: Epoch, now: float) -> bool:
        """Return whether a grant of an epoch may be used now.

        A link delivers in order, so a grant that arrives after a
        heartbeat was sent after it: the bound on the heartbeat's age
        bounds how long the grant has lain in a buffer.
        """
        if epoch != self.epoch:
            return False
        if self.owner == self.me:
            return True
        age_s = now - self.membership.echoed_at(self.owner)
        return age_s <= self.settings.freshness_s

    def act_until(self) -> float:
        """Return until when the evidence for our own epoch holds."""
        if not self.is_ours(self.record):
            return NEVER
        latest = self.evidence.latest(self.me, self.members)
        return latest + self.settings.freshness_s

    def tick(self, now: float, members: tuple[EntryId, ...]) -> Actions:
        """Do what is due, given the last agreed members of the fleet."""
        self.members = members
        actions: Actions = []
        if self.state is OwnerState.FOLLOWER:
            self.watch_owner(now)
        if self.state is OwnerState.WAITING:
            actions += self.wait(now)
        if self.state is OwnerState.RESIGNED:
            write = self.access.resend_due(now)
            actions += [self.access.send(write, now)] if write else []
        if self.is_read_due(now):
            actions += self.access.read(now, self.settings.read_interval_s)
        return actions

    def watch_owner(self, now: float) -> None:
        """Become a candidate when the owner is lost for long enough."""
        if not self.access.has_read:
            return
        if self.succession.is_due(self.record, self.members, now):
            self.fire('owner_lost')
            self.access.next_at = now

    def is_read_due(self, now: float) -> bool:
        """Return whether the record is to be read now."""
        access = self.access
        if access.is_reading or access.is_writing or now < access.next_at:
            return False
        if self.state is OwnerState.RESIGNED:
            return False
        if access.has_read and self.state is OwnerState.FOLLOWER:
            # A report request usually tells of the new owner first.
            return now > self.newer_since + self.settings.report_interval_s
        return True

    def on_read_failed(self) -> None:
        """Take a failed read; a tick repeats it after the interval."""
        self.access.is_reading = False

    def on_read(
        self, record: Record | None, began_at: float, now: float
    ) -> Actions:
        """Take the record as it was read; None when there is none."""
        self.access.is_reading = False
        found = parse_owner(record)
        if found.epoch < self.epoch:
            return []
        self.access.take(record)
        actions: Actions = []
        if found != self.record and self.may_win(found):
            actions += self.win(found, began_at, now)
        elif found != self.record:
            actions += self.obey(found)
        if self.is_ours(found):
            self.evidence.note_read(began_at)
        is_candidate = self.state is OwnerState.CANDIDATE
        if is_candidate and not self.access.is_writing:
            actions += self.stand(now)
        return actions

    def may_win(self, found: OwnerRecord) -> bool:
        """Return whether a record shows that a write of ours was done."""
        is_open = self.state in (OwnerState.CANDIDATE, OwnerState.FOLLOWER)
        return is_open and self.is_ours(found) and found.epoch > self.epoch

    def stand(self, now: float) -> Actions:
        """Go on as a candidate that has just read the record."""
        access = self.access
        if access.pending is not None:
            if access.revision != access.pending.expected:
                return self.lose()
            return [access.send(access.pending, now)]
        if not self.succession.is_lost(self.record, self.members, now):
            return self.lose()
        if self.succession.awaits_release(self.record, now):
            access.next_at = now + RELEASE_POLL_S
            return []
        epoch = Epoch(self.epoch + 1)
        record = OwnerRecord(self.me, self.incarnation, epoch)
        return [access.write(record, now)]

    def lose(self) -> Actions:
        """Give up as a candidate: another was faster, or no need."""
        self.access.drop()
        self.succession.reset()
        self.fire('write_lost')
        return []

    def on_write(
        self,
        write_id: WriteId,
        result: WriteResult,
        revision: Revision,
        now: float,
    ) -> Actions:
        """Take the result of a write; ``revision`` counts when done."""
        began_at = self.access.write_began_at
        record = self.access.end_write(write_id, result, revision, now)
        if self.state is OwnerState.RESIGNED:
            if result is WriteResult.CONFLICT:
                self.access.drop()
            return [SendHeartbeat()] if record else []
        if record is None or self.state is not OwnerState.CANDIDATE:
            return []
        if record.epoch <= self.epoch:
            return self.lose()
        return self.win(record, began_at, now)

    def win(self, record: OwnerRecord, began_at: float, now: float) -> Actions:
        """Start to wait with the epoch that the record now holds."""
        # Only the next epoch was surely written over the known record.
        is_next = record.epoch == self.epoch + 1
        self.takeover = Takeover(now, self.record if is_next else NO_OWNER)
        self.fire('written')
        self.access.drop()
        actions = self.obey(record)
        self.evidence.note_read(began_at)
        self.next_request_at = now + self.settings.report_interval_s
        return [*actions, SendReportRequest(self.cell, self.epoch)]

    def wait(self, now: float) -> Actions:
        """Become the owner once no earlier one can act, or ask again."""
        if self.is_ready(now):
            return self.become_owner(now)
        if self.is_reported(now) or now < self.next_request_at:
            return []
        self.next_request_at = now + self.settings.report_interval_s
        return [SendReportRequest(self.cell, self.epoch)]

    def is_ready(self, now: float) -> bool:
        """Return whether no earlier owner can act and we can."""
        is_due = self.stopped_at() < now <= self.act_until()
        return is_due and self.is_reported(now)

    def is_reported(self, now: float) -> bool:
        """Return whether enough reports of our epoch are here."""
        alive = self.membership.alive(now)
        wait_s = self.settings.report_wait_s
        return self.takeover.is_reported(self.members, alive, now, wait_s)

    def stopped_at(self) -> float:
        """Return the latest time at which an earlier owner can act."""
        return self.takeover.stopped_at(self.members, self.settings.lapse_s)

    def become_owner(self, now: float) -> Actions:
        """Act from now on."""
        self.fire('ready')
        entries = {*self.members, *self.membership.peers, self.me}
        oldest_at = now - self.longest_run_s
        young = {
            entry
            for entry in entries
            if self.membership.run_began_at(entry) >= oldest_at
        }
        # What was granted before then may still be started as long as
        # ``may_start`` allows.
        last_begin_at = self.stopped_at() + self.settings.lapse_s
        unreported = self.takeover.unreported(entries, young)
        until = last_begin_at + self.longest_run_s
        self.quarantine_until = until if unreported else NEVER
        return [
            BecomeOwner(
                self.cell,
                self.epoch,
                dict(self.takeover.reports),
                unreported,
                last_begin_at,
                until,
            )
        ]

    def on_report_request(
        self, sender: EntryId, incarnation: Incarnation, request: ReportRequest
    ) -> Actions:
        """Obey a newer epoch and report, once the record was read."""
        if request.epoch < self.epoch or not self.access.has_read:
            return []
        actions: Actions = []
        if request.epoch > self.epoch:
            actions += self.obey(
                OwnerRecord(sender, incarnation, request.epoch)
            )
        return [*actions, SendReport(self.cell, request.epoch, sender)]

    def on_report(
        self,
        sender: EntryId,
        incarnation: Incarnation,
        report: Report,
        now: float,
    ) -> None:
        """Take a report, this node's own included."""
        is_waiting = self.state is OwnerState.WAITING
        if is_waiting and report.epoch == self.epoch:
            self.takeover.add(sender, incarnation, report, now)

    def on_heartbeat(
        self, peer: EntryId, heartbeat: Heartbeat, echoed_at: float, now: float
    ) -> None:
        """Take what a peer says of the cell, dated by its echo."""
        stated = heartbeat.epochs.get(self.cell)
        if stated is None or stated < self.epoch:
            self.succession.vacancies.discard(peer)
            return
        if stated > self.epoch:
            self.newer_since = min(self.newer_since, now)
            return
        self.evidence.note_vote(peer, echoed_at)
        self.succession.hear(peer, heartbeat)

    def leave(self, now: float) -> Actions:
        """Stop acting for good, and release the record if it is ours.

        A taker that still waits leaves the record alone: an earlier
        owner may be acting, so nothing may be called released.
        """
        if self.state is OwnerState.RESIGNED:
            return []
        was_owner = self.state is OwnerState.OWNER
        self.fire('leave')
        self.access.drop()
        if not was_owner:
            return []
        released = OwnerRecord(
            self.me,
            self.incarnation,
            self.epoch,
            is_released=True,
            is_whole=now >= self.quarantine_until,
        )
        return [
            StepDown(self.cell, self.epoch),
            self.access.write(released, now),
        ]

    def obey(self, record: OwnerRecord) -> Actions:
        """Follow an owner; stop acting if it is another than us."""
        actions: Actions = []
        is_acting = self.state in (OwnerState.OWNER, OwnerState.WAITING)
        if is_acting and not self.is_ours(record):
            if self.state is OwnerState.OWNER:
                actions.append(StepDown(self.cell, self.epoch))
            self.fire('deposed')
        self.evidence.reset()
        self.newer_since = INFINITY
        self.succession.reset()
        self.record = record
        follow = FollowOwner(
            self.cell, record.owner, record.incarnation, record.epoch
        )
        return [*actions, follow]

    def is_ours(self, record: OwnerRecord) -> bool:
        """Return whether a record gives this run the right."""
        return not record.is_released and (
            (record.owner, record.incarnation) == (self.me, self.incarnation)
        )

    def fire(self, trigger: str) -> None:
        """Move along the chart."""
        self.state = OwnerState(self.chart.advance(self.state.value, trigger))


def create_ownership(
    cell: CellId,
    membership: Membership,
    settings: OwnershipSettings | None = None,
) -> Ownership:
    """Create one cell's core for one run of an entry instance."""
    return Ownership(cell, membership, settings or OwnershipSettings())
