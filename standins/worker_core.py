"""A worker without a network, as the platform's pages describe it.

What its tasks need, and what became of them, is with a ledger.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import Protocol

from primroseledge.ids import Boot
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState


class WorkerLedger(Protocol):
    """Says what tasks need and do, and is told what happened."""

    def resources_of(self, task: TaskKey) -> Resources:
        """Return what a task takes of a worker."""

    def fate_of(self, task: TaskKey, run: int) -> tuple[float | None, EndKind]:
        """Return how long a run takes, and how it ends."""

    def started(self, order: SendStart, worker: WorkerId, now: float) -> None:
        """Note a start."""

    def ended(
        self,
        task: TaskKey,
        run: int,
        worker: WorkerId,
        how: EndKind,
        now: float,
    ) -> None:
        """Note an end."""

    def lost(
        self, task: TaskKey, run: int, worker: WorkerId, now: float
    ) -> None:
        """Note that a run ended with its worker."""

    def noted(self, task: TaskKey, run: int, now: float) -> None:
        """Note that the owner took note of an end."""


MAX_LEASE_MS: Final = 6000
"""Longest lease in ms that a simulated worker grants."""

STARTUP_S = 0.3


@dataclass(eq=False)
class SimRun:
    """A run on a simulated worker."""

    task: TaskKey
    number: int
    begun_at: float
    ends_at: float | None
    how: EndKind
    resources: Resources

    def percent(self, now: float) -> int:
        """Return the progress; a long-running task is at work at 100."""
        age_s = now - self.begun_at
        if self.ends_at is None:
            return 100 if age_s > STARTUP_S else 0
        return int(100 * age_s / max(0.001, self.ends_at - self.begun_at))


@dataclass(eq=False)
class SimWorker:
    """Runs tasks under fences and leases; ``rate`` is its clock's speed.

    Without ``checks_room`` it starts whatever it is told to.
    """

    ledger: WorkerLedger
    id: WorkerId
    service: ServiceId
    capacity: Resources
    labels: tuple[str, ...]
    boot: Boot
    booted_at: float
    rate: float = 1.0
    is_alive: bool = True
    is_gone: bool = False
    fails_all: bool = False
    state: WorkerState = WorkerState.READY
    zone: ZoneId = ZoneId('z')
    epoch: int = 0
    deadline_ms: int = 0
    ends_seen: int = 0
    runs: dict[TaskKey, SimRun] = field(default_factory=dict)
    ended: list[RunEnd] = field(default_factory=list)
    last_number: int = 0
    void_end: int = 0
    over: dict[TaskKey, int] = field(default_factory=dict)
    checks_room: bool = True
    clock_error_ms: int = 0
    """How far the time of day on its machine is ahead as it starts again."""

    def clock_ms(self, now: float) -> int:
        """Return the time on its own clock."""
        return int((now - self.booted_at) * self.rate * 1000)

    def entry(self, revision: Revision) -> WorkerEntry:
        """Return its line in the list of workers."""
        return WorkerEntry(
            self.id,
            self.boot,
            self.service,
            f'{self.id}:1',
            self.zone,
            self.state,
            self.capacity,
            self.labels,
            revision=revision,
        )

    def is_in_boot(self, boot: Boot) -> bool:
        """Return whether it is alive and has not restarted since."""
        return self.is_alive and self.boot == boot

    def crash(self, now: float) -> None:
        """End with all runs, at once."""
        self.is_alive = False
        for run in self.runs.values():
            self.ledger.lost(run.task, run.number, self.id, now)
        self.runs.clear()

    def reboot(self, now: float) -> None:
        """Start again under the same id, knowing nothing."""
        self.is_alive = True
        self.boot = Boot(int(now * 1000) + 1 + self.clock_error_ms)
        self.booted_at = now
        self.epoch = 0
        self.deadline_ms = 0
        self.last_number = 0
        self.void_end = 0
        self.ended = []
        self.over = {}

    def lapse_at(self) -> float:
        """Return when the lease of its runs expires."""
        return self.booted_at + self.deadline_ms / 1000 / self.rate

    def next_end_at(self) -> float | None:
        """Return when the next run ends by itself; None without runs."""
        if not self.runs:
            return None
        ends = [r.ends_at for r in self.runs.values() if r.ends_at is not None]
        return min([self.lapse_at(), *ends])

    def advance(self, now: float) -> None:
        """End the runs that are over, and those whose lease is."""
        lapse_at = self.lapse_at()
        for run in list(self.runs.values()):
            if run.ends_at is not None and run.ends_at <= min(now, lapse_at):
                self.end(run, run.how, run.ends_at)
        if now > lapse_at:
            for run in list(self.runs.values()):
                self.end(run, EndKind.LEASE_EXPIRED, lapse_at)
            # Ends from before a lapse never count as taken note of.
            self.void_end = self.last_number

    def end(self, run: SimRun, how: EndKind, at: float) -> None:
        """End a run and list it."""
        del self.runs[run.task]
        self.last_number += 1
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.ended.append(
            RunEnd(self.last_number, run.task, run.number, how, '')
        )
        self.ledger.ended(run.task, run.number, self.id, how, at)

    def used(self) -> Resources:
        """Return what its runs take."""
        used = NO_RESOURCES
        for run in self.runs.values():
            used = used.plus(run.resources)
        return used

    def obey(self, order: Order, epoch: int, now: float) -> OrderResult:
        """Carry out an order that has just arrived.

        Orders name a worker by its id, so one that was meant for an earlier
        boot is carried out as well.
        """
        self.advance(now)
        if order.target.worker != self.id:
            return OrderResult.OTHER_BOOT
        if epoch < self.epoch:
            return OrderResult.FENCED
        self.epoch = epoch
        if isinstance(order, SendStart):
            return self.start(order, now)
        if isinstance(order, SendThrottle):
            return OrderResult.DONE
        run = self.runs.get(order.task)
        self.over[order.task] = max(
            self.over.get(order.task, 0), order.run_number
        )
        if run is not None and run.number <= order.run_number:
            self.stop(run, now)
        return OrderResult.DONE

    def stop(self, run: SimRun, now: float) -> None:
        """Stop a run, at once."""
        self.end(run, EndKind.STOPPED, now)

    def start(self, order: SendStart, now: float) -> OrderResult:
        """Start a run, or say why not."""
        run = self.runs.get(order.task)
        if run is not None and run.number == order.run_number:
            return OrderResult.DONE
        if order.deadline_ms <= self.clock_ms(now):
            return OrderResult.TOO_LATE
        if order.run_number <= self.over.get(order.task, 0) or run is not None:
            return OrderResult.OLD_RUN
        resources = self.ledger.resources_of(order.task)
        needed = self.used().plus(resources)
        if self.checks_room and not needed.fits_in(self.capacity):
            return OrderResult.NO_CAPACITY
        self.extend(order.deadline_ms, now)
        seconds, how = self.ledger.fate_of(order.task, order.run_number)
        if self.fails_all:
            seconds, how = 0.05, EndKind.FAILED
        ends_at = None if seconds is None else now + seconds
        self.runs[order.task] = SimRun(
            order.task, order.run_number, now, ends_at, how, resources
        )
        self.ledger.started(order, self.id, now)
        return OrderResult.DONE

    def extend(self, deadline_ms: int, now: float) -> None:
        """Lengthen the lease, up to the longest."""
        longest = self.clock_ms(now) + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def look(
        self, look: SendPoll, epoch: int, sent_at: float, now: float
    ) -> PollAnswered | PollFailed:
        """Answer a look; the caller waits for ends outside.

        One that was meant for an earlier boot is carried out; its sender
        finds the boot in the answer.
        """
        self.advance(now)
        boot = look.target.boot
        if look.target.worker != self.id:
            return PollFailed(self.id, boot, OrderResult.OTHER_BOOT)
        if epoch < self.epoch:
            return PollFailed(self.id, boot, OrderResult.FENCED)
        self.epoch = epoch
        if look.deadline_ms is not None:
            self.extend(look.deadline_ms, now)
        for end in self.ended:
            if self.void_end < end.number <= look.acked_end_number:
                self.ledger.noted(end.task, end.run_number, now)
        self.ended = [
            e for e in self.ended if e.number > look.acked_end_number
        ]
        if boot != self.boot:
            return PollFailed(self.id, boot, OrderResult.OTHER_BOOT, self.boot)
        running = tuple(
            ListedRun(
                run.task,
                run.number,
                '',
                run.percent(now),
                0,
            )
            for run in self.runs.values()
        )
        return PollAnswered(
            self.id,
            self.boot,
            self.clock_ms(now),
            running,
            tuple(self.ended[:500]),
            look.acked_end_number,
            sent_at,
            now,
        )
