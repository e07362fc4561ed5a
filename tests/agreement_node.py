"""One run of an entry instance, made of the agreement's cores.

Its clock has its own offset and rate. While it is paused it handles
nothing; when it wakes, timers and messages come in the order in which
they were due. The dispatcher is replaced by a count of what runs.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from typing import TYPE_CHECKING

from primroseledge.agreement.configuration import create_configuration
from primroseledge.agreement.configuration import snapshot_delta
from primroseledge.agreement.freshness import create_freshness
from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.owner_record import owner_key
from primroseledge.agreement.owner_state import OwnerState
from primroseledge.agreement.ownership import create_ownership
from primroseledge.agreement.ownership_actions import BecomeOwner
from primroseledge.agreement.ownership_actions import OwnershipAction
from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import SendHeartbeat
from primroseledge.agreement.ownership_actions import SendReport
from primroseledge.agreement.ownership_actions import SendReportRequest
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.errors import ConflictError
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import ConfigPull
from primroseledge.requests.messages import decode
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import Message
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.requests.messages import Report
from primroseledge.requests.messages import ReportRequest
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.store import Snapshot

if TYPE_CHECKING:
    from tests.agreement_fleet import Fleet

CELL = CellId('main')
TEAM = TeamId('sales')
SERVICE = ServiceId('digest')
UPSTREAM = InstanceId('u1')
LIMIT = 2
RUN_LIMIT_S = 8.0
FRESHNESS_S = 3.0
TICK_S = 0.2
HEARTBEAT_S = 0.5
WATCH_S = 1.0
RATE_SPREAD = 0.004


class Node:
    """The cores of one run, wired as the daemon wires them."""

    def __init__(
        self, fleet: Fleet, entry: EntryId, incarnation: Incarnation
    ) -> None:
        self.fleet = fleet
        self.id = entry
        self.incarnation = incarnation
        self.offset_s = fleet.random.uniform(0, 1000)
        self.rate = fleet.random.uniform(1 - RATE_SPREAD, 1 + RATE_SPREAD)
        self.is_dead = False
        self.paused_until = 0.0
        now = self.clock()
        self.configuration = create_configuration()
        self.freshness = create_freshness(entry, now, FRESHNESS_S)
        self.membership = create_membership(
            entry, incarnation, fleet.entries, now
        )
        self.ownership = create_ownership(CELL, self.membership)
        self.ownership.longest_run_s = RUN_LIMIT_S * (1 + 2 * RATE_SPREAD)
        self.held: dict[GrantId, float] = {}
        self.quarantine_until = NEVER
        self.carried: dict[GrantId, float] = {}
        self.ask_count = 0
        self.next_heartbeat_at = NEVER
        self.is_watching = False
        self.grant_epochs: list[int] = []
        self.later(0.0, self.tick)

    def clock(self) -> float:
        """Return this node's own time."""
        return self.offset_s + self.fleet.now * self.rate

    def later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay, not while paused or dead."""

        def wake() -> None:
            if self.is_dead:
                return
            if self.fleet.now < self.paused_until:
                self.later(self.paused_until - self.fleet.now, callback)
                return
            callback()

        self.fleet.at(delay_s, wake)

    def is_acting(self) -> bool:
        """Return whether this node would use its right now."""
        if self.ownership.state is not OwnerState.OWNER or self.is_dead:
            return False
        return self.fleet.now >= self.paused_until and self.may_act()

    def may_act(self) -> bool:
        """Return whether the cores allow to act as owner."""
        return self.ownership.may_act(self.clock()) and self.is_fresh()

    def is_fresh(self) -> bool:
        """Return whether the view may be acted on."""
        return self.freshness.is_fresh(
            self.configuration.members, self.clock()
        )

    def tick(self) -> None:
        """Do what is due, at a fixed interval."""
        self.later(TICK_S, self.tick)
        self.step()
        if self.clock() >= self.next_heartbeat_at:
            self.beat()
        if self.id in self.fleet.watchers or not self.configuration.revision:
            self.watch()

    def step(self) -> None:
        """Let the cores look at the time."""
        now = self.clock()
        self.membership.tick(now)
        members = self.configuration.members
        self.act(self.ownership.tick(now, members))

    def beat(self) -> None:
        """Send a heartbeat to every peer."""
        now = self.clock()
        self.next_heartbeat_at = now + HEARTBEAT_S
        heartbeat = self.membership.heartbeat(
            now,
            self.configuration.revision,
            self.freshness.store_read_age_s(now),
            self.ownership.stated_epochs,
            self.freshness.is_witness,
            self.ownership.stated_vacant(now),
        )
        self.broadcast(heartbeat)
        self.ask()

    def broadcast(self, message: Message) -> None:
        """Send a message to every peer."""
        for peer in self.membership.peers:
            self.send(peer, message)

    def send(self, to: EntryId, message: Message) -> None:
        """Send a message, to this node itself at once."""
        if to == self.id:
            self.handle(self.id, self.incarnation, message)
            return
        envelope = Envelope(
            PROTOCOL_VERSION,
            self.id,
            self.incarnation,
            message,  # type: ignore[arg-type]
        )
        self.fleet.transmit(self.id, to, encode(envelope))

    def receive(self, data: bytes) -> None:
        """Take a message from the network."""
        envelope = decode(data)
        self.later(
            0.0,
            lambda: self.handle(
                envelope.sender, envelope.incarnation, envelope.body
            ),
        )

    def handle(
        self, sender: EntryId, incarnation: Incarnation, message: Message
    ) -> None:
        """Pass a message to the core that it is for."""
        known = self.membership.incarnation_of(sender)
        if sender != self.id and incarnation < known:
            return
        if isinstance(message, Heartbeat):
            self.on_heartbeat(sender, incarnation, message)
        elif isinstance(message, ConfigDelta):
            self.on_delta(sender, message)
        elif isinstance(message, ConfigPull):
            delta = self.configuration.delta_after(message.after)
            self.send(sender, delta)
        elif isinstance(message, ReportRequest):
            self.act(
                self.ownership.on_report_request(sender, incarnation, message)
            )
        elif isinstance(message, Report):
            self.ownership.on_report(
                sender, incarnation, message, self.clock()
            )
            self.step()
        else:
            self.on_work(sender, message)

    def on_heartbeat(
        self, sender: EntryId, incarnation: Incarnation, message: Heartbeat
    ) -> None:
        """Pass a heartbeat to every core."""
        now = self.clock()
        if not self.membership.hear(sender, incarnation, message, now):
            return
        echoed_at = self.membership.echoed_at(sender)
        self.freshness.note_heartbeat(sender, incarnation, message, echoed_at)
        self.ownership.on_heartbeat(sender, message, echoed_at, now)
        if message.revision > self.configuration.revision:
            self.send(sender, ConfigPull(self.configuration.revision))
        self.step()

    def on_delta(self, sender: EntryId, delta: ConfigDelta) -> None:
        """Apply a peer's delta, or ask for what lies between."""
        applied = self.configuration.apply(delta)
        if applied.needs_pull:
            self.send(sender, ConfigPull(self.configuration.revision))
        self.freshness.note_revision(self.configuration.revision)

    def watch(self) -> None:
        """Keep one watch waiting, or read all to begin with."""
        if self.is_watching:
            return
        self.is_watching = True
        began_at = self.clock()
        after = self.configuration.revision
        store = self.fleet.store

        def done(result: Any) -> None:
            self.is_watching = False
            if isinstance(result, Snapshot):
                self.on_snapshot(result, after, began_at)

        if not after:
            self.fleet.call_store(
                self, lambda: store.read(CONFIG_PREFIX), done
            )
            return
        self.fleet.watch_store(self, after, WATCH_S, done)

    def on_snapshot(
        self, snapshot: Snapshot, after: Revision, began_at: float
    ) -> None:
        """Apply what the store said and pass changes on."""
        delta = snapshot_delta(snapshot, after or None)
        if self.configuration.apply(delta).is_applied and after:
            self.broadcast(delta)
        self.freshness.note_read(
            began_at, snapshot.revision, self.configuration.revision
        )
        if self.id in self.fleet.watchers:
            self.watch()

    def act(self, actions: list[OwnershipAction]) -> None:
        """Carry out what the ownership core asks for."""
        for action in actions:
            if isinstance(action, ReadRecord):
                self.read_record()
            elif isinstance(action, WriteRecord):
                self.write_record(action)
            elif isinstance(action, SendReportRequest):
                request = ReportRequest(action.cell, action.epoch)
                self.broadcast(request)
                self.send(self.id, request)
            elif isinstance(action, SendReport):
                self.send(action.to, self.report(action))
            elif isinstance(action, SendHeartbeat):
                self.beat()
            elif isinstance(action, BecomeOwner):
                self.begin(action)

    def read_record(self) -> None:
        """Read the cell's record."""
        began_at = self.clock()
        key = owner_key(CELL)
        store = self.fleet.store

        def done(result: Any) -> None:
            if not isinstance(result, Snapshot):
                self.ownership.on_read_failed()
                return
            record = result.records[0] if result.records else None
            now = self.clock()
            self.act(self.ownership.on_read(record, began_at, now))

        self.fleet.call_store(self, lambda: store.read(key), done)

    def write_record(self, action: WriteRecord) -> None:
        """Write the cell's record."""
        store = self.fleet.store

        def operation() -> Revision:
            return store.write(
                action.key, action.value, action.expected, action.write_id
            )

        def done(result: Any) -> None:
            outcome = WriteResult.DONE
            if isinstance(result, ConflictError):
                outcome = WriteResult.CONFLICT
            elif isinstance(result, TimeoutError):
                outcome = WriteResult.UNKNOWN
            revision = Revision(result if isinstance(result, int) else 0)
            self.act(
                self.ownership.on_write(
                    action.write_id, outcome, revision, self.clock()
                )
            )

        self.fleet.call_store(self, operation, done)

    def report(self, action: SendReport) -> Report:
        """Return what this node carries, and granted if it resigned."""
        now = self.clock()
        known = {**self.held, **self.carried}
        carried = tuple(
            Carried(
                grant_id,
                RequestId(grant_id),
                TEAM,
                SERVICE,
                UPSTREAM,
                False,
                None,
                ends_at - now,
            )
            for grant_id, ends_at in known.items()
            if ends_at > now
        )
        return Report(action.cell, action.epoch, carried)

    def begin(self, action: BecomeOwner) -> None:
        """Start to dispatch with what the reports say is running."""
        now = self.clock()
        self.held = {
            carried.grant_id: now + carried.remaining_s
            for report in action.reports.values()
            for carried in report.carried
        }
        is_complete = not action.unreported
        self.quarantine_until = (
            NEVER if is_complete else action.quarantine_until
        )

    def leave(self) -> None:
        """Begin a planned stop."""
        self.membership.is_leaving = True
        self.act(self.ownership.leave(self.clock()))
        self.beat()

    def ask(self) -> None:
        """Ask the owner to run one request."""
        if not self.ownership.owner or not self.is_fresh():
            return
        self.ask_count += 1
        ask_id = f'{self.id}.{self.incarnation}.{self.ask_count}'
        ask = Ask(
            CELL, ask_id, RequestId(ask_id), TEAM, SERVICE, False, False, 1.0
        )
        self.send(self.ownership.owner, ask)

    def on_work(self, sender: EntryId, message: Message) -> None:
        """Take a message about a request."""
        if isinstance(message, Ask):
            self.on_ask(sender, message)
        elif isinstance(message, Grant):
            self.on_grant(sender, message)
        elif isinstance(message, Done):
            self.held.pop(message.grant_id, None)

    def on_ask(self, sender: EntryId, ask: Ask) -> None:
        """Grant a request if the team is below its limit."""
        now = self.clock()
        if not self.may_act() or now < self.quarantine_until:
            return
        running = sum(ends_at > now for ends_at in self.held.values())
        if running >= LIMIT:
            return
        epoch = self.ownership.epoch
        grant_id = GrantId(f'{epoch}/{ask.ask_id}')
        lapse_s = self.ownership.settings.lapse_s
        self.held[grant_id] = now + lapse_s + self.ownership.longest_run_s
        grant = Grant(
            CELL, epoch, ask.ask_id, grant_id, UPSTREAM, '', RUN_LIMIT_S
        )
        self.send(sender, grant)

    def on_grant(self, sender: EntryId, grant: Grant) -> None:
        """Start an attempt, if the grant may still be used."""
        now = self.clock()
        is_usable = self.ownership.may_start(grant.epoch, now)
        is_known = grant.grant_id in self.fleet.attempts
        if not is_usable or is_known or not self.is_fresh():
            return
        run_s = self.fleet.random.choice([0.2, RUN_LIMIT_S])
        self.carried[grant.grant_id] = now + self.ownership.longest_run_s
        self.fleet.start_attempt(grant.grant_id, self.id, run_s)

        def end() -> None:
            self.carried.pop(grant.grant_id, None)
            self.send(
                self.ownership.owner,
                Done(CELL, grant.grant_id, EndState.ENDED),
            )

        self.later(run_s + 0.001, end)
