"""Drive the engine in tests, in place of workers, callers and the store."""

from collections.abc import Callable

from msgspec.structs import replace

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec
from primroseledge.owner.batch import Batch
from primroseledge.owner.engine import create_engine
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import CancelJob
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SubmitJob
from primroseledge.scheduling.timing import Timing
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState

SERVICE = ServiceId('copper')
STANDBY_SERVICE = ServiceId('office')
QUEUE = QueueId('sheets')
WORKSPACE = WorkspaceId('sales')


SHORT_LEASES = Timing(longest_lease_s=6.0)
"""Of a deployment whose workers grant leases of 6 s at most."""


def make_configuration(limit: Resources | None = None) -> Configuration:
    """Return a configuration: one queue, its pool and a standby pool."""
    return Configuration(
        version=1,
        queues={
            QUEUE: Queue(
                QUEUE,
                'host',
                '/sheets/',
                SERVICE,
                max_attempts=2,
                chain_factor=1.6,
                objective_s=0.6,
            )
        },
        services={
            SERVICE: Service(SERVICE),
            STANDBY_SERVICE: Service(STANDBY_SERVICE, is_standby=True),
        },
        workspaces={
            WORKSPACE: Workspace(
                WORKSPACE, frozenset({'key'}), limit=limit or Resources()
            )
        },
    )


def make_worker_entry(
    name: str,
    service: ServiceId = SERVICE,
    state: WorkerState = WorkerState.READY,
    boot: int = 1,
) -> WorkerEntry:
    """Return the list entry of a worker with 16 cores."""
    return WorkerEntry(
        WorkerId(name),
        Boot(boot),
        service,
        f'{name}:1',
        ZoneId('north'),
        state,
        Resources(16_000, 64_000, 0),
        ('a', f'rack-{name[-1]}'),
        revision=Revision(boot),
    )


def make_job(name: str, *steps: StepSpec) -> AcceptedJob:
    """Return an accepted job of ``WORKSPACE`` with the given steps."""
    return AcceptedJob(
        id=JobId(name),
        queue=QUEUE,
        workspace=WORKSPACE,
        accepted_ms=100_000,
        spec=JobSpec(payload=f'payload of {name}', steps=steps),
    )


def make_step(
    count: int, cpu_millis: int = 1000, **fields: object
) -> StepSpec:
    """Return a step of ``count`` tasks with an estimate of 1 s."""
    resources = Resources(cpu_millis, 100, 0)
    return StepSpec(
        count=count,
        resources=resources,
        estimate_ms=1000,
        **fields,  # type: ignore[arg-type]
    )


class EngineBench:
    """An engine with a simulated clock, and the actions it requested.

    The engine is reconciled after each answer, failure and list of
    workers. ``actions`` are those not popped yet, ``batches`` all batches
    for the store.
    """

    def __init__(
        self,
        *workers: WorkerEntry,
        limit: Resources | None = None,
        timing: Timing = SHORT_LEASES,
    ) -> None:
        self.now = 100.0
        self.engine = create_engine(
            make_configuration(limit), self.now, 0.0, timing
        )
        self.entries = list(workers)
        self.actions: list[Action] = []
        self.batches: list[Batch] = []
        self.call_count = 0
        self.engine.apply_worker_entries(self.entries, self.now)
        self.reconcile()
        for worker in workers:
            self.answer_poll(worker.id)

    def reconcile(self, seconds: float = 0.0) -> None:
        """Advance the clock, reconcile, and collect the actions and batch."""
        self.now += seconds
        actions, batch = self.engine.reconcile(self.now)
        self.actions.extend(actions)
        if batch is not None:
            self.batches.append(batch)

    @property
    def batch_in_flight(self) -> Batch | None:
        """Return the newest batch that is being stored, if there is one."""
        return next(reversed(self.engine.outbox.in_flight.values()), None)

    def store_batch(self) -> None:
        """Store the oldest batch in flight."""
        number = next(iter(self.engine.outbox.in_flight))
        self.engine.handle_batch_stored(number, self.now)

    def store_changes(self) -> None:
        """Advance the clock until changes are due, and store all batches."""
        self.reconcile(0.02)
        while self.engine.outbox.in_flight:
            self.store_batch()
            self.reconcile(0.02)
            if self.engine.state.dirty_jobs:
                self.reconcile(0.02)

    def pop_actions(
        self, kind: type, matches: Callable[[Action], bool]
    ) -> list[Action]:
        """Remove and return the collected actions of a kind that match."""
        found = [a for a in self.actions if isinstance(a, kind) and matches(a)]
        self.actions = [a for a in self.actions if a not in found]
        return found

    def pop_starts(self) -> list[SendStart]:
        found = self.pop_actions(SendStart, lambda _: True)
        return [a for a in found if isinstance(a, SendStart)]

    def pop_stops(self) -> list[SendStop]:
        found = self.pop_actions(SendStop, lambda _: True)
        return [a for a in found if isinstance(a, SendStop)]

    def pop_polls(self) -> list[SendPoll]:
        found = self.pop_actions(SendPoll, lambda _: True)
        return [a for a in found if isinstance(a, SendPoll)]

    def pop_answers(self) -> list[SendAnswer]:
        found = self.pop_actions(SendAnswer, lambda _: True)
        return [a for a in found if isinstance(a, SendAnswer)]

    def submit(self, job: AcceptedJob) -> CallId:
        self.call_count += 1
        call = CallId('', self.call_count)
        self.engine.submit(SubmitJob(call, job), self.now)
        return call

    def cancel(self, job: AcceptedJob) -> CallId:
        self.call_count += 1
        call = CallId('', self.call_count)
        self.engine.cancel(CancelJob(call, job.queue, job.id), self.now)
        return call

    def answer_start(
        self, start: SendStart, result: OrderResult = OrderResult.DONE
    ) -> None:
        clock_ms = None
        if result is not OrderResult.UNANSWERED:
            clock_ms = self.clock_ms()
        answer = OrderEnded(start, result, clock_ms, self.now, self.now)
        self.engine.handle_order_ended(answer, self.now)
        self.reconcile()

    def answer_stop(self, stop: SendStop) -> None:
        answer = OrderEnded(
            stop, OrderResult.DONE, self.clock_ms(), self.now, self.now
        )
        self.engine.handle_order_ended(answer, self.now)
        self.reconcile()

    def clock_ms(self) -> int:
        return int(self.now * 1000)

    def answer_poll(
        self,
        worker: WorkerId,
        running: tuple[ListedRun, ...] = (),
        ends: tuple[RunEnd, ...] = (),
        sent_at: float | None = None,
        received_at: float | None = None,
    ) -> None:
        known_worker = self.engine.state.workers[worker]
        answer = PollAnswered(
            worker,
            known_worker.entry.boot,
            self.clock_ms(),
            running,
            ends,
            known_worker.stored_end_number,
            self.now if sent_at is None else sent_at,
            self.now if received_at is None else received_at,
        )
        self.engine.handle_poll_answer(answer, self.now)
        self.reconcile()

    def fail_poll(
        self,
        worker: WorkerId,
        result: OrderResult = OrderResult.UNANSWERED,
        boot: int = 0,
        was_closed: bool = False,
    ) -> None:
        """Let a poll fail; ``boot`` is the one that answered, if known."""
        expected = self.engine.state.workers[worker].entry.boot
        failure = PollFailed(worker, expected, result, Boot(boot), was_closed)
        self.engine.handle_poll_failure(failure, self.now)
        self.reconcile()

    def list_workers(self, *entries: WorkerEntry) -> None:
        self.engine.apply_worker_entries(list(entries), self.now)
        self.reconcile()

    def run_job(self, job: AcceptedJob) -> list[SendStart]:
        """Submit a job, acknowledge its first starts, and return these."""
        self.submit(job)
        self.store_changes()
        starts = self.pop_starts()
        for start in starts:
            self.answer_start(start)
        return starts


def make_task_record(
    entry: WorkerEntry, run_number: int = 1, **fields: object
) -> TaskRecord:
    """Return the record of a job's first task, with a run on a worker."""
    record = TaskRecord(
        0, 0, 0, run_number, False, True, entry.id, entry.boot, 0, ''
    )
    return replace(record, **fields)  # type: ignore[arg-type]


def make_listed_run(start: SendStart, percent: int = 100) -> ListedRun:
    """Return a started run as a poll answer lists it."""
    return ListedRun(start.task, start.run_number, '', percent, 0)


def make_run_end(
    start: SendStart, kind: EndKind = EndKind.DONE, number: int = 1
) -> RunEnd:
    """Return the end of a run as a poll answer lists it."""
    return RunEnd(number, start.task, start.run_number, kind, '')
