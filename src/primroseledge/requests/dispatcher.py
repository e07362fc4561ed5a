"""The owner of a cell: its queue, its slots and each team's running work.

A pure core. Grants are spread over teams so that running work divided
by share is level among the teams that wait; no team exceeds its limit.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.agreement.configuration import Configuration
from primroseledge.constants import GRANT_VALID_S
from primroseledge.constants import RUN_MARGIN_S
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import PoolId
from primroseledge.ids import TeamId
from primroseledge.refused_ids import RefusedIds
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.admission import Admission
from primroseledge.requests.fair_queue import Waiting
from primroseledge.requests.grant_ledger import Running
from primroseledge.requests.limits import TeamLimits
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Cancel
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Handover
from primroseledge.requests.messages import Report
from primroseledge.requests.request_memory import RequestMemory
from primroseledge.requests.running_work import RunningWork
from primroseledge.requests.share_distance import measure_distances
from primroseledge.requests.slots import Slots
from primroseledge.requests.upstream_health import UpstreamHealth
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Service

FIRST_EPOCH: Final = Epoch(1)
"""No owner of the cell ran anything before this epoch."""

MAX_ECHO_AGE_S: Final = 1.0
"""An entry instance not heard for so long gets no grant."""


@dataclass(slots=True)
class Dispatcher:
    """Decides, for one cell and one epoch, which request runs where.

    While it is not open it queues and grants nothing.
    """

    cell: CellId
    epoch: Epoch
    configuration: Configuration
    work: RunningWork
    admission: Admission
    health: UpstreamHealth
    is_open: bool = True
    echoes: dict[EntryId, float] = field(default_factory=dict)
    heard_at: dict[EntryId, float] = field(default_factory=dict)
    pending: dict[str, tuple[EntryId, Ask, float]] = field(
        default_factory=dict
    )
    counter: int = 0
    now: float = 0.0

    def begin(
        self,
        reports: Mapping[EntryId, Report],
        unreported: Iterable[EntryId],
        quarantine_until: float,
        now: float,
        wall: float,
    ) -> list[SendToEntry]:
        """Start to grant, with what the entry instances reported.

        ``unreported`` may carry more than is reported, until
        ``quarantine_until``. ``wall`` is the wall-clock time of ``now``.
        """
        self.now = now
        self.work.wall_offset_s = wall - now
        for entry, report in reports.items():
            self.adopt(entry, report.carried, now)
        has_memory = self.work.take_over(self.epoch, reports.values(), now)
        if self.epoch > FIRST_EPOCH:
            if not has_memory:
                self.work.memory.lose(wall)
            self.work.limits.hold_back(unreported, quarantine_until)
        return self.open(now)

    def open(self, now: float) -> list[SendToEntry]:
        """Start to grant, and take what was asked until now."""
        self.is_open = True
        pending, self.pending = self.pending, {}
        actions: list[SendToEntry] = []
        for entry, ask, asked_at in pending.values():
            remaining_s = ask.remaining_s - (now - asked_at)
            actions += self.admission.enqueue(entry, ask, remaining_s, now)
        return actions + self.dispatch_all(now)

    def close(self) -> None:
        """Stop granting for good; only ``hand_over`` is of use then."""
        self.is_open = False

    def hand_over(self, now: float) -> Handover | None:
        """Return all that the next owner needs; stop granting.

        None when this epoch never began: then it knows of no ids.
        """
        self.close()
        if self.work.wall_offset_s is None:
            return None
        return self.work.hand_over(self.epoch, now)

    def adopt(
        self, entry: EntryId, carried: Iterable[Carried], now: float
    ) -> None:
        """Count what an entry instance reports that it carries."""
        self.work.adopt(entry, carried, now)

    def asked(self, entry: EntryId, ask: Ask, now: float) -> list[SendToEntry]:
        """Queue a request, or answer at once what is already known."""
        self.now = max(self.now, now)
        if not self.is_open:
            self.pending[ask.ask_id] = entry, ask, now
            return []
        granted = self.work.ledger.by_ask.get(ask.ask_id)
        if granted is not None:
            return [SendToEntry(entry, granted)]
        actions = self.admission.enqueue(entry, ask, ask.remaining_s, now)
        service = self.configuration.services.get(ask.service)
        if service is None:
            return actions
        return actions + self.dispatch(PoolId(service.pool), now)

    def cancelled(self, cancel: Cancel, now: float) -> None:
        """Take a request out of the queue, or its refusal as told."""
        self.admission.queue.remove(cancel.ask_id)
        self.pending.pop(cancel.ask_id, None)
        self.work.refused.confirm(cancel.request_id, cancel.ask_id, now)

    def done(
        self, entry: EntryId, done: Done, now: float
    ) -> list[SendToEntry]:
        """Count an attempt's end and fill its slot.

        Before it is open the end is not acknowledged, since the report
        that names the attempt may not have been counted.
        """
        self.now = max(self.now, now)
        if not self.is_open:
            return []
        ack = DoneAck(self.cell, (done.grant_id,))
        actions = [SendToEntry(entry, ack)]
        running = self.work.ledger.grants.get(done.grant_id)
        if running is None or running.is_unknown:
            return actions
        self.health.judge(running, done, now)
        if done.was_broken:
            self.work.broken.add(running.request_id, done.grant_id, now)
        if not self.work.end(done.grant_id, done.end, now):
            return actions
        if done.end is EndState.NOT_RUN:
            self.work.note_told(running, done.told, now)
        if done.end is EndState.ENDED and running.granted_at is not None:
            self.admission.note_run(running.service, now - running.granted_at)
        return actions + self.dispatch_after(running, now)

    def dispatch_after(self, ended: Running, now: float) -> list[SendToEntry]:
        """Fill the slot that an attempt left, and its team's room."""
        instance = self.configuration.instances.get(ended.upstream)
        if instance is None or self.is_pinched(ended):
            return self.dispatch_all(now)
        return self.dispatch(PoolId(instance.pool), now)

    def is_pinched(self, ended: Running) -> bool:
        """Tell whether a limit, not slots, may have held the team up."""
        document = self.configuration.teams.get(ended.team)
        if document is None:
            return True
        limits = self.work.limits
        # Another service of the team can have waited for this room or
        # for that of the entry instance.
        was_full = limits.counted(ended.team) + 1 >= document.limit
        carried = limits.carried.get((ended.team, ended.entry), 0)
        return was_full or carried + 1 >= limits.cap(ended.team)

    def dispatch_all(self, now: float) -> list[SendToEntry]:
        """Grant what waits, in all pools."""
        services = self.configuration.services
        pools = {
            PoolId(services[service].pool): None
            for service in self.admission.queue.services
            if service in services
        }
        actions: list[SendToEntry] = []
        for pool in pools:
            actions += self.dispatch(pool, now)
        return actions

    def dispatch(self, pool: PoolId, now: float) -> list[SendToEntry]:
        """Grant waiting requests of a pool's services while it has room."""
        actions: list[SendToEntry] = []
        if not self.is_open:
            return actions
        self.work.slots.refresh()
        while self.admission.queue.services:
            waiting = self.next_waiting(pool, now)
            if waiting is None:
                break
            upstream = self.work.slots.choose(
                pool, waiting.ask.zone, waiting.ask.excluded
            )
            if upstream is None:
                break
            self.admission.queue.remove(waiting.ask.ask_id)
            actions.append(self.grant(waiting, upstream, now))
        return actions

    def next_waiting(self, pool: PoolId, now: float) -> Waiting | None:
        """Return the request whose turn it is in a pool.

        Its team is the one furthest below its share.
        """
        if not self.work.slots.has_free(pool, is_urgent=True):
            return None
        is_full = not self.work.slots.has_free(pool, is_urgent=False)
        services = self.services_of(pool)
        loads = sorted(
            {
                (self.work.limits.load(team), team)
                for service in services
                for team in self.admission.queue.services[service.service_id]
                if self.work.limits.has_room(team)
            }
        )
        for _, team in loads:
            heads = [
                head
                for service in services
                if (head := self.head(service, team, is_full, now))
            ]
            if heads:
                return min(heads, key=lambda waiting: waiting.sequence)
        return None

    def services_of(self, pool: PoolId) -> list[Service]:
        """Return the services of a pool for which requests wait."""
        documents = self.configuration.services
        return [
            documents[service]
            for service in self.admission.queue.services
            if service in documents and documents[service].pool == pool
        ]

    def head(
        self, service: Service, team: TeamId, only_urgent: bool, now: float
    ) -> Waiting | None:
        """Return a team's next request for a service, if one may run."""
        queue = self.admission.queue.services[service.service_id].get(team)
        if queue is None:
            return None

        def is_eligible(entry: EntryId) -> bool:
            return self.is_heard(entry, now) and (
                self.work.limits.has_entry_room(team, entry)
            )

        return queue.head(is_eligible, only_urgent)

    def is_heard(self, entry: EntryId, now: float) -> bool:
        """Tell whether a grant would reach an entry instance in time."""
        heard_at = self.heard_at.get(entry)
        return heard_at is not None and now - heard_at <= MAX_ECHO_AGE_S

    def grant(
        self, waiting: Waiting, upstream: Instance, now: float
    ) -> SendToEntry:
        """Grant one attempt on an upstream."""
        self.counter += 1
        ask = waiting.ask
        grant_id = GrantId(f'{self.cell}.{self.epoch}.{self.counter}')
        run_limit_s = self.configuration.services[ask.service].run_limit_s
        running = Running(
            entry=waiting.entry,
            ask_id=ask.ask_id,
            request_id=ask.request_id,
            team=ask.team,
            service=ask.service,
            upstream=upstream.instance_id,
            is_idempotent=ask.is_idempotent,
            expires_at=now + GRANT_VALID_S + run_limit_s + RUN_MARGIN_S,
            issued_at=ask.issued_at,
            granted_at=now,
        )
        self.work.start(grant_id, running, now)
        message = Grant(
            cell=self.cell,
            epoch=self.epoch,
            ask_id=ask.ask_id,
            grant_id=grant_id,
            upstream=upstream.instance_id,
            address=upstream.address,
            run_limit_s=run_limit_s,
            echo=self.echoes.get(waiting.entry, float('-inf')),
            queued_s=now - waiting.queued_at,
        )
        self.work.ledger.by_ask[ask.ask_id] = message
        return SendToEntry(waiting.entry, message)

    def share_distances(self) -> dict[TeamId, float]:
        """Return how far each team's running work is from its share."""
        waiting = {
            team
            for teams in self.admission.queue.services.values()
            for team in teams
        }
        running = self.work.limits.running
        distances = measure_distances(
            running, waiting, self.configuration.teams
        )
        # A team whose work has ended must not keep its last value.
        return dict.fromkeys(running, 0.0) | distances

    def heard(
        self, entry: EntryId, sent_at: float, now: float | None = None
    ) -> None:
        """Note when an entry instance sent its newest heartbeat.

        ``sent_at`` is by its own clock; ``now`` is when it was heard.
        """
        self.echoes[entry] = sent_at
        self.heard_at[entry] = self.now if now is None else now

    def tick(self, now: float) -> list[SendToEntry]:
        """Refuse what waited too long and count expired attempts ended."""
        self.now = max(self.now, now)
        if not self.is_open:
            return []
        self.work.limits.tick(now)
        self.health.tick(now)
        actions = self.admission.refuse_late(now)
        self.work.expire(now)
        return actions + self.dispatch_all(now)


def create_dispatcher(
    cell: CellId,
    epoch: Epoch,
    configuration: Configuration,
    id_window_s: float = 600.0,
    id_clock_skew_s: float = 2.0,
    is_open: bool = False,
) -> Dispatcher:
    """Create the dispatcher of an epoch; ``begin`` opens it."""
    work = RunningWork(
        epoch,
        RequestMemory(id_window_s, id_clock_skew_s),
        RefusedIds(id_window_s),
        TeamLimits(configuration),
        Slots(configuration),
    )
    return Dispatcher(
        cell,
        epoch,
        configuration,
        work,
        Admission(cell, configuration, work),
        UpstreamHealth(configuration, work.slots),
        is_open=is_open,
    )
