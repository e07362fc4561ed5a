"""The owner of a cell: its queue, its slots and each team's running work.

A pure core. Grants are spread over teams so that running work divided
by share is level among the teams that wait; no team exceeds its limit.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field

from primroseledge.actions import SendToEntry
from primroseledge.configuration import Configuration
from primroseledge.constants import GRANT_VALID_S
from primroseledge.constants import MIN_ATTEMPT_S
from primroseledge.constants import RUN_MARGIN_S
from primroseledge.documents import Instance
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
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


@dataclass(slots=True)
class Waiting:
    """A request in the queue."""

    entry: EntryId
    ask: Ask
    deadline: float


@dataclass(slots=True)
class Running:
    """A granted attempt; it counts until it is proved ended."""

    entry: EntryId
    ask_id: str
    request_id: RequestId
    team: TeamId
    service: ServiceId
    upstream: InstanceId
    is_idempotent: bool
    expires_at: float


@dataclass(slots=True)
class Dispatcher:
    """Decides, for one cell and one epoch, which request runs where."""

    cell: CellId
    epoch: Epoch
    configuration: Configuration
    waiting: dict[ServiceId, dict[TeamId, dict[str, Waiting]]] = field(
        default_factory=dict
    )
    grants: dict[GrantId, Running] = field(default_factory=dict)
    granted_asks: dict[str, Grant] = field(default_factory=dict)
    running: dict[TeamId, int] = field(default_factory=dict)
    used: dict[InstanceId, int] = field(default_factory=dict)
    leaving: set[InstanceId] = field(default_factory=set)
    executed: dict[RequestId, Reason] = field(default_factory=dict)
    echoes: dict[EntryId, float] = field(default_factory=dict)
    counter: int = 0

    def adopt(
        self, entry: EntryId, carried: Iterable[Carried], now: float
    ) -> None:
        """Count what an entry instance reports that it carries."""
        for item in carried:
            running = Running(
                entry=entry,
                ask_id='',
                request_id=item.request_id,
                team=item.team,
                service=item.service,
                upstream=item.upstream,
                is_idempotent=item.is_idempotent,
                expires_at=now + item.remaining_s + RUN_MARGIN_S,
            )
            self.start(item.grant_id, running)

    def asked(self, entry: EntryId, ask: Ask, now: float) -> list[SendToEntry]:
        """Queue a request, or answer at once what is already known."""
        if ask.ask_id in self.granted_asks:
            return [SendToEntry(entry, self.granted_asks[ask.ask_id])]
        service = self.configuration.services.get(ask.service)
        if service is None:
            return [self.refuse(entry, ask, Reason.NO_SERVICE)]
        if not ask.is_idempotent and ask.request_id in self.executed:
            reason = self.executed[ask.request_id]
            return [self.refuse(entry, ask, reason)]
        queue = self.waiting.setdefault(ask.service, {})
        team_queue = queue.setdefault(ask.team, {})
        is_known = ask.ask_id in team_queue
        length = sum(len(asks) for asks in queue.values())
        if not is_known and length >= service.queue_limit:
            return [self.refuse(entry, ask, Reason.QUEUE_FULL)]
        remaining = min(ask.remaining_s, service.queue_wait_s)
        if not is_known:
            team_queue[ask.ask_id] = Waiting(entry, ask, now + remaining)
        return self.dispatch(ask.service, now)

    def refuse(self, entry: EntryId, ask: Ask, reason: Reason) -> SendToEntry:
        """Return a refusal of a request."""
        return SendToEntry(entry, Refuse(self.cell, ask.ask_id, reason))

    def cancelled(self, cancel: Cancel) -> None:
        """Take a request out of the queue."""
        for queue in self.waiting.values():
            for team_queue in queue.values():
                team_queue.pop(cancel.ask_id, None)

    def done(
        self, entry: EntryId, done: Done, now: float
    ) -> list[SendToEntry]:
        """Count an attempt's end and fill its slot."""
        ack = DoneAck(self.cell, (done.grant_id,))
        actions = [SendToEntry(entry, ack)]
        running = self.grants.get(done.grant_id)
        if running is None:
            return actions
        if done.end is EndState.UNKNOWN:
            self.remember(running, Reason.MEMORY_LOST)
            return actions
        self.stop(done.grant_id)
        if done.end is EndState.ENDED:
            self.remember(running, Reason.ALREADY_RAN)
        else:
            self.executed.pop(running.request_id, None)
        for service in list(self.waiting):
            actions += self.dispatch(service, now)
        return actions

    def remember(self, running: Running, reason: Reason) -> None:
        """Remember what became of a non-idempotent request."""
        if not running.is_idempotent:
            self.executed[running.request_id] = reason

    def start(self, grant_id: GrantId, running: Running) -> None:
        """Count a granted attempt."""
        self.grants[grant_id] = running
        self.running[running.team] = self.running.get(running.team, 0) + 1
        self.used[running.upstream] = self.used.get(running.upstream, 0) + 1
        self.remember(running, Reason.IN_PROGRESS)

    def stop(self, grant_id: GrantId) -> None:
        """Count an attempt as ended."""
        running = self.grants.pop(grant_id)
        self.granted_asks.pop(running.ask_id, None)
        self.running[running.team] -= 1
        self.used[running.upstream] -= 1

    def dispatch(self, service: ServiceId, now: float) -> list[SendToEntry]:
        """Grant waiting requests of a service while there is room."""
        actions: list[SendToEntry] = []
        while True:
            team = self.next_team(service)
            if team is None:
                return actions
            team_queue = self.waiting[service][team]
            ask_id, waiting = next(iter(team_queue.items()))
            upstream = self.choose_upstream(service, waiting.ask)
            if upstream is None:
                return actions
            del team_queue[ask_id]
            actions.append(self.grant(waiting, upstream, now))

    def next_team(self, service: ServiceId) -> TeamId | None:
        """Return the waiting team that is furthest below its share."""
        candidates = [
            (self.running.get(team, 0) / document.share, team)
            for team, asks in self.waiting.get(service, {}).items()
            if asks
            and (document := self.configuration.teams.get(team)) is not None
            and self.running.get(team, 0) < document.limit
        ]
        return min(candidates)[1] if candidates else None

    def choose_upstream(self, service: ServiceId, ask: Ask) -> Instance | None:
        """Return the upstream with the most free slots, near first."""
        document = self.configuration.services.get(service)
        if document is None:
            return None
        free = [
            instance
            for instance in self.configuration.instances.values()
            if instance.pool == document.pool
            and not instance.is_draining
            and instance.id not in self.leaving
            and self.used.get(instance.instance_id, 0) < instance.slots
        ]
        preferred = [i for i in free if i.id not in ask.excluded] or free
        return min(
            preferred,
            key=lambda i: (
                self.used.get(i.instance_id, 0),
                i.zone != ask.zone,
                i.id,
            ),
            default=None,
        )

    def grant(
        self, waiting: Waiting, upstream: Instance, now: float
    ) -> SendToEntry:
        """Grant one attempt on an upstream."""
        self.counter += 1
        ask = waiting.ask
        grant_id = GrantId(f'{self.cell}.{self.epoch}.{self.counter}')
        run_limit_s = self.configuration.services[ask.service].run_limit_s
        expires_at = now + GRANT_VALID_S + run_limit_s + RUN_MARGIN_S
        running = Running(
            entry=waiting.entry,
            ask_id=ask.ask_id,
            request_id=ask.request_id,
            team=ask.team,
            service=ask.service,
            upstream=upstream.instance_id,
            is_idempotent=ask.is_idempotent,
            expires_at=expires_at,
        )
        self.start(grant_id, running)
        message = Grant(
            cell=self.cell,
            epoch=self.epoch,
            ask_id=ask.ask_id,
            grant_id=grant_id,
            upstream=upstream.instance_id,
            address=upstream.address,
            run_limit_s=run_limit_s,
            echo=self.echoes.get(waiting.entry, float('-inf')),
        )
        self.granted_asks[ask.ask_id] = message
        return SendToEntry(waiting.entry, message)

    def heard(self, entry: EntryId, sent_at: float) -> None:
        """Note when an entry instance sent its newest heartbeat."""
        self.echoes[entry] = sent_at

    def tick(self, now: float) -> list[SendToEntry]:
        """Refuse what waited too long and count expired attempts ended."""
        actions: list[SendToEntry] = []
        for queue in self.waiting.values():
            for team_queue in queue.values():
                late = [
                    waiting
                    for waiting in team_queue.values()
                    if waiting.deadline - now < MIN_ATTEMPT_S
                ]
                for waiting in late:
                    del team_queue[waiting.ask.ask_id]
                    actions.append(
                        self.refuse(
                            waiting.entry, waiting.ask, Reason.DEADLINE
                        )
                    )
        expired = [g for g, r in self.grants.items() if r.expires_at <= now]
        for grant_id in expired:
            self.remember(self.grants[grant_id], Reason.MEMORY_LOST)
            self.stop(grant_id)
        for service in list(self.waiting):
            actions += self.dispatch(service, now)
        return actions
