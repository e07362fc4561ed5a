"""Drives the owner's engine by hand: workers, callers and the store."""

from collections.abc import Callable

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import CallId
from primroseledge.jobs.actions import CancelJob
from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import Reply
from primroseledge.jobs.actions import RunEnd
from primroseledge.jobs.actions import RunningRun
from primroseledge.jobs.actions import SendLook
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import SubmitJob
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.jobs.worker import WorkerState
from primroseledge.owner.batch import Batch
from primroseledge.owner.engine import create_engine

COPPER = ServiceId('copper')
STANDBY = ServiceId('office')
QUEUE = QueueId('sheets')
SALES = WorkspaceId('sales')


def configuration(limit: Resources | None = None) -> Configuration:
    """Return one queue on one pool, with a standby pool beside it."""
    return Configuration(
        version=1,
        queues={
            QUEUE: Queue(
                QUEUE,
                'host',
                '/sheets/',
                COPPER,
                max_attempts=2,
                chain_factor=1.6,
                objective_s=0.6,
            )
        },
        services={
            COPPER: Service(COPPER),
            STANDBY: Service(STANDBY, is_standby=True),
        },
        workspaces={
            SALES: Workspace(
                SALES, frozenset({'key'}), limit=limit or Resources()
            )
        },
    )


def worker_entry(
    name: str,
    service: ServiceId = COPPER,
    state: WorkerState = WorkerState.READY,
    boot: int = 1,
) -> WorkerEntry:
    """Return the entry of a worker of 16 cores."""
    return WorkerEntry(
        WorkerId(name),
        Boot(boot),
        service,
        f'{name}:1',
        ZoneId('north'),
        state,
        Resources(16_000, 64_000, 0),
        ('a', f'rack-{name[-1]}'),
    )


def make_job(name: str, *steps: StepSpec) -> AcceptedJob:
    """Return a job of the sales workspace."""
    return AcceptedJob(
        id=JobId(name),
        queue=QUEUE,
        workspace=SALES,
        accepted_ms=100_000,
        spec=JobSpec(payload=f'payload of {name}', steps=steps),
    )


def tasks(count: int, cpu_millis: int = 1000, **fields: object) -> StepSpec:
    """Return a step of equal tasks."""
    resources = Resources(cpu_millis, 100, 0)
    return StepSpec(
        count=count,
        resources=resources,
        estimate_ms=1000,
        **fields,  # type: ignore[arg-type]
    )


class EngineBench:
    """An engine, its clock, and all that it asked for."""

    def __init__(
        self, *workers: WorkerEntry, limit: Resources | None = None
    ) -> None:
        self.now = 100.0
        self.engine = create_engine(configuration(limit), self.now, 0.0)
        self.entries = list(workers)
        self.actions: list[Action] = []
        self.batches: list[Batch] = []
        self.calls = 0
        self.engine.take_entries(self.entries, self.now)
        self.settle()
        for worker in workers:
            self.answer_look(worker.id)

    def settle(self, seconds: float = 0.0) -> None:
        """Let time pass and take what the engine asks for."""
        self.now += seconds
        actions, batch = self.engine.settle(self.now)
        self.actions.extend(actions)
        if batch is not None:
            self.batches.append(batch)

    def store(self) -> None:
        """Let changes wait their time, and store all of them."""
        self.settle(0.02)
        while self.engine.outbox.under_way is not None:
            self.engine.batch_stored(self.now)
            self.settle(0.02)

    def take(self, kind: type, keep: Callable[[Action], bool]) -> list[Action]:
        """Return the actions of a kind, and forget them."""
        found = [a for a in self.actions if isinstance(a, kind) and keep(a)]
        self.actions = [a for a in self.actions if a not in found]
        return found

    def starts(self) -> list[SendStart]:
        found = self.take(SendStart, lambda _: True)
        return [a for a in found if isinstance(a, SendStart)]

    def stops(self) -> list[SendStop]:
        found = self.take(SendStop, lambda _: True)
        return [a for a in found if isinstance(a, SendStop)]

    def looks(self) -> list[SendLook]:
        found = self.take(SendLook, lambda _: True)
        return [a for a in found if isinstance(a, SendLook)]

    def replies(self) -> list[Reply]:
        found = self.take(Reply, lambda _: True)
        return [a for a in found if isinstance(a, Reply)]

    def submit(self, job: AcceptedJob) -> CallId:
        self.calls += 1
        call = CallId('', self.calls)
        self.engine.submit(SubmitJob(call, job), self.now)
        return call

    def cancel(self, job: AcceptedJob) -> CallId:
        self.calls += 1
        call = CallId('', self.calls)
        self.engine.cancel(CancelJob(call, job.queue, job.id), self.now)
        return call

    def answer_start(
        self, start: SendStart, result: OrderResult = OrderResult.DONE
    ) -> None:
        clock_ms = None
        if result is not OrderResult.UNANSWERED:
            clock_ms = self.clock_ms()
        answer = OrderAnswered(start, result, clock_ms, self.now, self.now)
        self.engine.take_order(answer, self.now)
        self.settle()

    def answer_stop(self, stop: SendStop) -> None:
        answer = OrderAnswered(
            stop, OrderResult.DONE, self.clock_ms(), self.now, self.now
        )
        self.engine.take_order(answer, self.now)
        self.settle()

    def clock_ms(self) -> int:
        return int(self.now * 1000)

    def answer_look(
        self,
        worker: WorkerId,
        running: tuple[RunningRun, ...] = (),
        ends: tuple[RunEnd, ...] = (),
        sent_at: float | None = None,
    ) -> None:
        state = self.engine.state.workers[worker]
        look = LookAnswered(
            worker,
            state.entry.boot,
            self.clock_ms(),
            running,
            ends,
            state.stored_end,
            self.now if sent_at is None else sent_at,
            self.now,
        )
        self.engine.take_look(look, self.now)
        self.settle()

    def fail_look(
        self, worker: WorkerId, result: OrderResult = OrderResult.UNANSWERED
    ) -> None:
        boot = self.engine.state.workers[worker].entry.boot
        failure = LookFailed(worker, boot, result)
        self.engine.take_look_failure(failure, self.now)
        self.settle()

    def list_workers(self, *entries: WorkerEntry) -> None:
        self.engine.take_entries(list(entries), self.now)
        self.settle()

    def run_job(self, job: AcceptedJob) -> list[SendStart]:
        """Hand a job in and let its first starts be answered."""
        self.submit(job)
        self.store()
        started = self.starts()
        for start in started:
            self.answer_start(start)
        return started


def running(start: SendStart, percent: int = 100) -> RunningRun:
    """Return the row of a run that was started."""
    return RunningRun(start.task, start.run, '', percent, 0)


def end_of(
    start: SendStart, kind: EndKind = EndKind.DONE, number: int = 1
) -> RunEnd:
    """Return the listed end of a run."""
    return RunEnd(number, start.task, start.run, kind, '')
