"""Which requests enter a cell's queue, and whom they displace there."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import PoolId
from primroseledge.ids import ServiceId
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.fair_queue import FairQueue
from primroseledge.requests.fair_queue import Waiting
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Refuse
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.running_work import RunningWork
from primroseledge.storage.documents import Service

MIN_RETRY_AFTER_S: Final = 1.0
MAX_RETRY_AFTER_S: Final = 30.0
FIRST_MEAN_RUN_S: Final = 1.0
MIN_MEAN_RUN_S: Final = 0.001
RUN_SMOOTHING: Final = 0.1
"""Weight of the newest run in the mean run time of a service."""


@dataclass(slots=True)
class Admission:
    """Fills the queue of a cell."""

    cell: CellId
    configuration: Configuration
    work: RunningWork
    queue: FairQueue = field(default_factory=FairQueue)
    mean_run_s: dict[ServiceId, float] = field(default_factory=dict)

    def enqueue(
        self, entry: EntryId, ask: Ask, remaining_s: float, now: float
    ) -> list[SendToEntry]:
        """Put a request into the queue, or refuse it."""
        if ask.ask_id in self.queue.by_ask:
            return []
        self.work.end(ask.not_run, EndState.NOT_RUN, now)
        reason = self.objection(ask, now)
        if reason is not None:
            return [self.refuse(entry, ask, reason, now)]
        service = self.configuration.services[ask.service]
        deadline = now + min(remaining_s, service.queue_wait_s)
        actions: list[SendToEntry] = []
        if self.queue.length(ask.service) >= service.queue_limit:
            loser = self.displaced(ask)
            if loser is None:
                return [self.refuse(entry, ask, Reason.QUEUE_FULL, now)]
            self.queue.remove(loser.ask.ask_id)
            actions.append(
                self.refuse(loser.entry, loser.ask, Reason.QUEUE_FULL, now)
            )
        self.queue.add(Waiting(entry, ask, deadline, now))
        return actions

    def objection(self, ask: Ask, now: float) -> Reason | None:
        """Return why a request must not run, None when it may."""
        if not ask.is_idempotent:
            # What is known of the id comes first: another sending of it
            # may have run before the service or the team was deleted.
            if ask.request_id in self.queue.guarded:
                return Reason.IN_PROGRESS
            reason = self.work.objection(ask, now)
            if reason is not None:
                return reason
        elif self.work.broken.is_given_up(ask.request_id):
            return Reason.BREAKS_UPSTREAMS
        if ask.service not in self.configuration.services:
            return Reason.NO_SERVICE
        if ask.team not in self.configuration.teams:
            return Reason.BAD_KEY
        return None

    def displaced(self, ask: Ask) -> Waiting | None:
        """Return whom a request displaces from a full queue, if any.

        That is the newest request of the team that has most waiting by
        its share, when the asking team has less.
        """
        queues = self.queue.services[ask.service]
        teams = self.configuration.teams
        loads = {
            team: queue.length / teams[team].share
            for team, queue in queues.items()
            if team in teams
        }
        if not loads:
            return None
        largest = max(loads, key=lambda team: (loads[team], team))
        own = queues.get(ask.team)
        length = 1 if own is None else own.length + 1
        if length / teams[ask.team].share >= loads[largest]:
            return None
        return queues[largest].newest()

    def refuse_late(self, now: float) -> list[SendToEntry]:
        """Refuse what has too little time left to run."""
        return [
            self.refuse(waiting.entry, waiting.ask, Reason.DEADLINE, now)
            for waiting in self.queue.late(now)
        ]

    def refuse(
        self, entry: EntryId, ask: Ask, reason: Reason, now: float
    ) -> SendToEntry:
        """Return a refusal of a request, with when to come back.

        From now on it holds for all sendings of the id that have begun.
        """
        self.work.note_refusal(ask, reason, now)
        retry_after_s = MIN_RETRY_AFTER_S
        service = self.configuration.services.get(ask.service)
        is_overload = reason in (Reason.QUEUE_FULL, Reason.DEADLINE)
        if is_overload and service is not None:
            retry_after_s = self.drain_time_s(service)
        return SendToEntry(
            entry, Refuse(self.cell, ask.ask_id, reason, retry_after_s)
        )

    def drain_time_s(self, service: Service) -> float:
        """Return about how long the present queue needs, in seconds."""
        pool = self.work.slots.pools.get(PoolId(service.pool))
        if pool is None or not pool.slots:
            return MIN_RETRY_AFTER_S
        run_s = self.mean_run_s.get(service.service_id, FIRST_MEAN_RUN_S)
        estimate_s = self.queue.length(service.service_id) * run_s / pool.slots
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, estimate_s))

    def note_run(self, service: ServiceId, run_s: float) -> None:
        """Take a run's length into the mean of its service."""
        known_s = self.mean_run_s.get(service, run_s)
        mean_s = known_s + RUN_SMOOTHING * (run_s - known_s)
        self.mean_run_s[service] = max(mean_s, MIN_MEAN_RUN_S)
