"""One life of a worker, with what it saw written down.

A job's payload says what its tasks need; see ``TaskPayload``.
"""

from collections.abc import Callable
from dataclasses import dataclass
from threading import Thread
from threading import Timer
from typing import Any
from typing import Final

from msgspec import json
from msgspec import Struct

from primroseledge.clock import boot_time
from primroseledge.ids import Boot
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from primroseledge.platform.wire_names import format_task_name
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.workers.worker import WorkerState
from standins.call_server import Call
from standins.call_server import CallServer
from standins.call_server import Reply
from standins.job_evidence import EvidenceFile
from standins.job_evidence import EvidenceKind
from standins.job_evidence import WorkerEvidence
from standins.worker_application import END_NAMES
from standins.worker_application import WorkerCalls
from standins.worker_core import SimRun
from standins.worker_core import SimWorker

IDLE_STEP_S: Final = 0.5

Crash = Callable[[Boot], None]
"""Crashes a worker, if it is still in a boot."""


class TaskNeeds(Struct, frozen=True):
    """What a task takes and does, as its job's payload says.

    ``seconds`` is None for a task that runs until it is stopped. The first
    ``failing_runs`` fail, or all if it ``fails``. The task of the step with
    the number ``deadly_task`` crashes the worker after ``deadly_after_s``.
    """

    seconds: float | None = 0.3
    cpu: int = 1000
    memory: int = 100
    fails: bool = False
    failing_runs: int = 0
    deadly_task: int = -1
    deadly_after_s: float = 0.0


class TaskPayload(Struct, frozen=True):
    """A job's payload: what the tasks of each of its steps need."""

    steps: tuple[TaskNeeds, ...]


@dataclass(frozen=True, slots=True)
class Options:
    """Where a worker runs, and what it is.

    In ``unguarded_pool`` it starts whatever it is told to.
    """

    machine: str
    rack: str
    port: int
    advertised: str
    cpu_millis: int
    memory_mb: int
    rate: float
    store: str
    unguarded_pool: str = ''


class LifeLedger:
    """Knows what tasks need, and writes down what a life saw.

    ``crash`` ends the life; it is called on a thread of its own.
    """

    def __init__(self, file: EvidenceFile, crash: Crash) -> None:
        self.file = file
        self.crash = crash
        self.payloads: dict[str, TaskPayload] = {}
        self.core: SimWorker

    def note(self, kind: EvidenceKind, at: float, **others: Any) -> None:
        """Append a line about this life."""
        core = self.core
        self.file.append(
            WorkerEvidence(at, core.id, core.boot, kind, **others)
        )

    def note_run(
        self,
        kind: EvidenceKind,
        task: TaskKey,
        run: int,
        at: float,
        how: str = '',
    ) -> None:
        """Append a line about a run."""
        self.note(
            kind,
            at,
            task=format_task_name(task),
            run=run,
            epoch=self.core.epoch,
            how=how,
        )

    def needs_of(self, task: TaskKey) -> TaskNeeds:
        """Return what a task takes and does."""
        return self.payloads[task.job].steps[task.step]

    def resources_of(self, task: TaskKey) -> Resources:
        """Return what a task takes of a worker."""
        needs = self.needs_of(task)
        return Resources(needs.cpu, needs.memory, 0)

    def fate_of(self, task: TaskKey, run: int) -> tuple[float | None, EndKind]:
        """Return how long a run takes, and how it ends."""
        needs = self.needs_of(task)
        does_fail = needs.fails or run <= needs.failing_runs
        return needs.seconds, EndKind.FAILED if does_fail else EndKind.DONE

    def started(self, order: SendStart, worker: WorkerId, now: float) -> None:
        """Note a start."""
        self.note_run(EvidenceKind.STARTED, order.task, order.run_number, now)
        needs = self.needs_of(order.task)
        if order.task.number == needs.deadly_task:
            Timer(needs.deadly_after_s, self.crash, (self.core.boot,)).start()

    def ended(
        self,
        task: TaskKey,
        run: int,
        worker: WorkerId,
        how: EndKind,
        now: float,
    ) -> None:
        """Note an end."""
        self.note_run(EvidenceKind.ENDED, task, run, now, END_NAMES[how])

    def lost(
        self, task: TaskKey, run: int, worker: WorkerId, now: float
    ) -> None:
        """The end of the life says it."""

    def noted(self, task: TaskKey, run: int, now: float) -> None:
        """Note that the owner took note of an end."""
        self.note_run(EvidenceKind.ACKED, task, run, now)


@dataclass(eq=False)
class LifeCore(SimWorker):
    """A worker whose stops take a while; ``draw_stop_s`` says how long."""

    draw_stop_s: Callable[[], float] = lambda: 0.0

    def stop(self, run: SimRun, now: float) -> None:
        """Let a run end soon; it is listed as running until then."""
        ends_at = now + self.draw_stop_s()
        if run.ends_at is None or run.ends_at > ends_at:
            run.ends_at = ends_at
            run.how = EndKind.STOPPED


class LifeCalls(WorkerCalls):
    """The calls of a life, with what they ask for written down."""

    def __init__(self, core: SimWorker, ledger: LifeLedger) -> None:
        super().__init__(core, boot_time)
        self.ledger = ledger

    def obey(self, order: Order, epoch: int, now: float) -> OrderResult:
        """Let the worker carry an order out, and note it."""
        ledger = self.ledger
        if isinstance(order, SendStart):
            ledger.payloads[order.task.job] = json.decode(
                order.payload, type=TaskPayload
            )
        result = super().obey(order, epoch, now)
        if result is OrderResult.DONE and isinstance(order, SendStop):
            kind = EvidenceKind.STOP_ORDERED
            ledger.note_run(kind, order.task, order.run_number, now)
        elif result is not OrderResult.DONE:
            kind = EvidenceKind.REFUSED
            how = f'{type(order).__name__} {result.value}'
            ledger.note_run(kind, order.task, order.run_number, now, how)
        return result


class Life:
    """One boot of the worker, serving until it ends."""

    def __init__(
        self,
        options: Options,
        worker: str,
        pool: str,
        boot: int,
        file: EvidenceFile,
        draw_stop_s: Callable[[], float],
        crash: Crash,
    ) -> None:
        ledger = LifeLedger(file, crash)
        checks_room = pool != options.unguarded_pool
        now = boot_time()
        self.core = ledger.core = LifeCore(
            ledger,
            WorkerId(worker),
            ServiceId(pool),
            Resources(options.cpu_millis, options.memory_mb, 0),
            ('a', options.rack),
            Boot(boot),
            now,
            options.rate,
            checks_room=checks_room,
            draw_stop_s=draw_stop_s,
        )
        self.ledger = ledger
        self.calls = LifeCalls(self.core, ledger)
        ledger.note(
            EvidenceKind.LIFE_BEGAN,
            now,
            pool=pool,
            cpu_millis=options.cpu_millis,
            labels=self.core.labels,
            checks_room=checks_room,
        )
        self.server = CallServer(self.serve, options.port)
        Thread(target=self.run_timers, daemon=True).start()

    def serve(self, call: Call) -> Reply:
        """Answer an order or a poll."""
        expected = call.headers.get('Expected-Instance', '')
        return self.calls.answer(call.path, call.fields, expected)

    def run_timers(self) -> None:
        """End runs and leases in time, also without calls."""
        changed = self.calls.changed
        with changed:
            while self.core.is_alive:
                now = boot_time()
                last = self.core.last_number
                self.core.advance(now)
                if self.core.last_number != last:
                    changed.notify_all()
                due = self.core.next_end_at()
                wait_s = IDLE_STEP_S if due is None else due - now
                changed.wait(max(0.001, min(IDLE_STEP_S, wait_s)))

    def resize(self, cpu_millis: int) -> None:
        """Change the capacity; what runs goes on."""
        with self.calls.changed:
            memory_mb = self.core.capacity.memory_mb
            self.core.capacity = Resources(cpu_millis, memory_mb, 0)
            self.ledger.note(
                EvidenceKind.CAPACITY, boot_time(), cpu_millis=cpu_millis
            )

    def drain(self) -> None:
        """Get ready to end; runs go on, and starts are still taken."""
        with self.calls.changed:
            self.core.state = WorkerState.DRAINING
            self.ledger.note(EvidenceKind.DRAINING, boot_time())

    def end(self, how: str) -> None:
        """End with all runs at once, and cut all connections."""
        with self.calls.changed:
            now = boot_time()
            self.core.advance(now)
            self.core.crash(now)
            self.ledger.note(EvidenceKind.LIFE_ENDED, now, how=how)
            self.calls.changed.notify_all()
        self.server.close()
