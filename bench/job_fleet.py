"""Play a load on the owner's engine, with simulated workers and instances.

Everything runs in virtual time: a queue of events stands for the network,
the workers, the store and the platform's instance service. Only the engine
is real, and its processor time is measured.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from heapq import heappop
from heapq import heappush
from itertools import count
from time import perf_counter
from typing import Final

from msgspec import structs

from bench.job_load import CALLER_DEADLINE_S
from bench.job_load import LoadShape
from bench.job_load import make_configuration
from bench.job_load import make_long_running
from bench.job_load import make_submissions
from bench.job_load import MAX_RETRIES
from bench.job_load import objective_s
from bench.job_load import Outcome
from bench.job_load import STANDBY
from bench.job_load import Submission
from primroseledge.ids import Boot
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.actions import Action
from primroseledge.jobs.actions import CallId
from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.actions import ListedRun
from primroseledge.jobs.actions import OrderEnded
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import PollAnswered
from primroseledge.jobs.actions import PollFailed
from primroseledge.jobs.actions import RunEnd
from primroseledge.jobs.actions import SendAnswer
from primroseledge.jobs.actions import SendPoll
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import SubmitJob
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.jobs.worker import WorkerState
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.owner.engine import create_engine

TICK_S: Final = 0.02
ONE_WAY_S: Final = 0.0005
MOVE_CALL_S: Final = 0.015
MIGRATION_S: Final = 1.5
WORKER_LIST_S: Final = 0.3
BOOT_PERCENT_S: Final = 0.3
TAIL_S: Final = 14.0
"""Time after the load in which its jobs may still complete."""

RACK_SIZE: Final = 8


@dataclass(frozen=True)
class Call:
    """A caller's submission of a job, and how often it was refused before."""

    submission: Submission
    sent_at: float
    retries: int


@dataclass(eq=False)
class SimRun:
    """A run on a simulated worker."""

    task: TaskKey
    number: int
    started_at: float


@dataclass(eq=False)
class SimWorker:
    """A worker: its runs, its unacknowledged ends and a delayed poll."""

    entry: WorkerEntry
    runs: dict[TaskKey, SimRun] = field(default_factory=dict)
    ends: list[RunEnd] = field(default_factory=list)
    end_count: int = 0
    waiting_poll: SendPoll | None = None
    poll_sent_at: float = 0.0
    is_up: bool = True


@dataclass(eq=False)
class SimInstance:
    """An instance, its pool and its present worker."""

    id: InstanceId
    pool: ServiceId
    rack: str
    state: InstanceState = InstanceState.UP
    worker: SimWorker | None = None


class JobFleet:
    """An engine, its simulated surroundings, and the events between them."""

    def __init__(self, shape: LoadShape, seed: int) -> None:
        self.shape = shape
        self.now = 100.0
        self.begin = self.now + shape.lead_s
        self.engine = create_engine(make_configuration(shape), self.now, 0.0)
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = count(1)
        self.boots = count(1)
        self.workers: dict[WorkerId, SimWorker] = {}
        self.instances: dict[InstanceId, SimInstance] = {}
        self.is_reconcile_due = False
        self.outcome = Outcome()
        self.outcome.submissions = make_submissions(shape, seed)
        self.long_running = make_long_running(shape)
        self.by_job: dict[JobId, Submission] = {
            s.job.id: s for s in self.outcome.submissions + self.long_running
        }
        self.started = set[JobId]()
        self.calls: dict[int, Call] = {}

    def at(self, when: float, action: Callable[[], None]) -> None:
        heappush(self.events, (when, next(self.numbers), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        self.at(self.now + delay_s, action)

    def play(self) -> Outcome:
        """Play the whole load, and return what its callers got."""
        self.create_instances()
        for submission in self.long_running + self.outcome.submissions:
            self.at(
                self.begin + submission.at,
                lambda s=submission: self.submit(s),  # type: ignore[misc]
            )
        self.list_workers()
        self.tick()
        end = self.begin + self.shape.length_s + TAIL_S
        while self.events and self.events[0][0] <= end:
            self.now, _, action = heappop(self.events)
            action()
            if self.is_reconcile_due:
                self.is_reconcile_due = False
                self.reconcile()
        return self.outcome

    def create_instances(self) -> None:
        pools = [(k.service, self.shape.workers) for k in self.shape.kinds]
        pools.append((STANDBY, self.shape.standby_workers))
        for pool, size in pools:
            for number in range(size):
                instance = SimInstance(
                    InstanceId(f'{pool}-{number:03}'),
                    pool,
                    f'{pool}-r{number // RACK_SIZE}',
                )
                self.instances[instance.id] = instance
                if pool != STANDBY:
                    self.boot(instance)

    def boot(self, instance: SimInstance) -> None:
        """Start a new worker on an instance."""
        boot = Boot(next(self.boots))
        cores = self.shape.cores_per_worker
        entry = WorkerEntry(
            WorkerId(f'w{boot}'),
            boot,
            instance.pool,
            f'w{boot}:1',
            ZoneId('north'),
            WorkerState.READY,
            Resources(cores * 1000, cores * 4096, 0),
            ('a', instance.rack),
        )
        instance.worker = SimWorker(entry)
        self.workers[entry.id] = instance.worker

    def tick(self) -> None:
        self.is_reconcile_due = True
        if self.now >= self.begin:
            in_pools = sum(
                instance.pool != STANDBY
                for instance in self.instances.values()
            )
            if self.now < self.begin + self.shape.length_s:
                self.outcome.pool_s += in_pools * TICK_S
        self.after(TICK_S, self.tick)

    def list_workers(self) -> None:
        entries = [w.entry for w in self.workers.values() if w.is_up]
        self.measure(
            lambda: self.engine.apply_worker_entries(entries, self.now)
        )
        self.after(WORKER_LIST_S, self.list_workers)

    def measure(self, step: Callable[[], object]) -> None:
        """Run a step of the engine, and count its processor time."""
        began = perf_counter()
        step()
        took = perf_counter() - began
        self.outcome.engine_s += took
        self.outcome.longest_reconcile_s = max(
            self.outcome.longest_reconcile_s, took
        )

    def post(self, step: Callable[[], object]) -> None:
        """Pass an event to the engine, and have it reconciled."""
        self.measure(step)
        self.is_reconcile_due = True

    def submit(self, submission: Submission, retries: int = 0) -> None:
        job = replace_accepted(submission, self.now)
        call = CallId('', next(self.numbers))
        self.calls[call.number] = Call(submission, self.now, retries)
        event = SubmitJob(call, job)
        self.post(lambda: self.engine.submit(event, self.now))

    def reconcile(self) -> None:
        actions: list[Action] = []
        outage = self.current_outage()
        self.engine.outbox.store_health.unavailable_since = (
            outage[0] if outage else None
        )

        def step() -> None:
            nonlocal actions
            actions, batch = self.engine.reconcile(self.now)
            if batch is not None:
                ready_at = max(self.now, outage[1] if outage else 0.0)
                self.at(ready_at + self.shape.store_s, self.complete_batch)

        self.measure(step)
        for action in actions:
            self.execute(action)

    def current_outage(self) -> tuple[float, float] | None:
        """Return begin and end of the store's outage, if there is one."""
        if self.shape.store_outage is None:
            return None
        begin, end = (self.begin + at for at in self.shape.store_outage)
        return (begin, end) if begin <= self.now < end else None

    def complete_batch(self) -> None:
        self.post(lambda: self.engine.handle_batch_stored(self.now))
        self.record_completed_jobs()

    def record_completed_jobs(self) -> None:
        """Record the jobs whose final state is stored by now."""
        state = self.engine.state
        for submission in self.outcome.submissions:
            job = state.jobs.get(submission.job.id)
            if job is None or submission.job.id in self.outcome.job_ratios:
                continue
            if job.stored_state is not JobState.COMPLETED:
                continue
            queue = state.configuration.queues[submission.job.queue]
            took = self.now - self.begin - submission.at
            self.outcome.job_ratios[submission.job.id] = took / objective_s(
                submission, queue
            )

    def execute(self, action: Action) -> None:
        if isinstance(action, SendStart):
            self.after(ONE_WAY_S, lambda: self.start(action))
        elif isinstance(action, SendStop):
            self.after(ONE_WAY_S, lambda: self.stop(action))
        elif isinstance(action, SendPoll):
            sent_at = self.now
            self.after(ONE_WAY_S, lambda: self.poll(action, sent_at))
        elif isinstance(action, ListInstances):
            self.list_instances()
        elif isinstance(action, MoveInstance):
            self.after(MOVE_CALL_S, lambda: self.move(action))
        elif isinstance(action, SendAnswer):
            self.handle_answer(action)

    def handle_answer(self, action: SendAnswer) -> None:
        """Have a refused caller retry when told, within its deadline."""
        call = self.calls[action.call.number]
        if action.answer.verdict is not Verdict.REFUSED:
            return
        self.outcome.held_s.append(self.now - call.sent_at)
        submission = call.submission
        retry_at = self.now + action.answer.retry_after_s
        gives_up_at = self.begin + submission.at + CALLER_DEADLINE_S
        if call.retries >= MAX_RETRIES or retry_at > gives_up_at:
            self.outcome.refused.add(submission.job.id)
            return
        self.at(retry_at, lambda: self.submit(submission, call.retries + 1))

    # Workers

    def find_worker(self, id: WorkerId) -> SimWorker | None:
        worker = self.workers.get(id)
        return worker if worker is not None and worker.is_up else None

    def start(self, order: SendStart) -> None:
        worker = self.find_worker(order.target.worker)
        result = OrderResult.UNANSWERED
        if worker is not None:
            result = OrderResult.DONE
            run = SimRun(order.task, order.run_number, self.now)
            worker.runs[order.task] = run
            submission = self.by_job[order.task.job]
            if submission.task_s != float('inf'):
                self.after(
                    submission.task_s, lambda: self.end_run(worker, run)
                )
            if order.task.job not in self.started:
                self.started.add(order.task.job)
                self.outcome.started_after.append(
                    self.now - self.begin - submission.at
                )
        self.answer(order, result)

    def answer(self, order: SendStart | SendStop, result: OrderResult) -> None:
        clock_ms = None
        if result is OrderResult.DONE:
            clock_ms = int(self.now * 1000)
        sent_at = self.now - ONE_WAY_S
        event = OrderEnded(order, result, clock_ms, sent_at, self.now)
        self.after(
            ONE_WAY_S,
            lambda: self.post(
                lambda: self.engine.handle_order_ended(event, self.now)
            ),
        )

    def stop(self, order: SendStop) -> None:
        worker = self.find_worker(order.target.worker)
        if worker is None:
            self.answer(order, OrderResult.UNANSWERED)
            return
        run = worker.runs.get(order.task)
        if run is not None and run.number == order.run_number:
            self.after(0.1, lambda: self.end_run(worker, run, EndKind.STOPPED))
        self.answer(order, OrderResult.DONE)

    def end_run(
        self, worker: SimWorker, run: SimRun, kind: EndKind = EndKind.DONE
    ) -> None:
        if worker.runs.get(run.task) is not run or not worker.is_up:
            return
        del worker.runs[run.task]
        worker.end_count += 1
        worker.ends.append(
            RunEnd(worker.end_count, run.task, run.number, kind, '')
        )
        if worker.waiting_poll is not None:
            self.answer_poll(worker, worker.waiting_poll)

    def poll(self, poll: SendPoll, sent_at: float) -> None:
        worker = self.find_worker(poll.target.worker)
        if worker is None:
            failure = PollFailed(
                poll.target.worker, poll.target.boot, OrderResult.UNANSWERED
            )
            self.after(
                0.5,
                lambda: self.post(
                    lambda: self.engine.handle_poll_failure(failure, self.now)
                ),
            )
            return
        worker.ends = [
            e for e in worker.ends if e.number > poll.acked_end_number
        ]
        worker.poll_sent_at = sent_at
        if worker.ends or not poll.wait_s:
            self.answer_poll(worker, poll)
            return
        worker.waiting_poll = poll
        self.after(poll.wait_s, lambda: self.answer_poll(worker, poll, True))

    def answer_poll(
        self, worker: SimWorker, poll: SendPoll, is_timeout: bool = False
    ) -> None:
        if is_timeout and worker.waiting_poll is not poll:
            return
        worker.waiting_poll = None
        event = PollAnswered(
            worker.entry.id,
            worker.entry.boot,
            int(self.now * 1000),
            tuple(
                ListedRun(r.task, r.number, '', self.progress_of(r), 0)
                for r in worker.runs.values()
            ),
            tuple(worker.ends),
            poll.acked_end_number,
            worker.poll_sent_at,
            self.now + ONE_WAY_S,
        )
        self.after(
            ONE_WAY_S,
            lambda: self.post(
                lambda: self.engine.handle_poll_answer(event, self.now)
            ),
        )

    def progress_of(self, run: SimRun) -> int:
        """Return a run's progress, which always grows with its time."""
        ran_s = self.now - run.started_at
        task_s = self.by_job[run.task.job].task_s
        if task_s == float('inf'):
            return 100 if ran_s >= BOOT_PERCENT_S else 0
        return int(100 * ran_s / task_s)

    # Instances

    def list_instances(self) -> None:
        rows = tuple(
            InstanceRow(
                instance.id,
                instance.pool,
                instance.state,
                instance.worker.entry.id if instance.worker else None,
                instance.rack,
            )
            for instance in self.instances.values()
        )
        event = InstancesListed(rows, self.now)
        self.after(
            MOVE_CALL_S,
            lambda: self.post(
                lambda: self.engine.handle_instance_report(event, self.now)
            ),
        )

    def move(self, call: MoveInstance) -> None:
        instance = self.instances[call.instance]
        result = InstanceResult.BUSY
        if instance.state is InstanceState.UP:
            result = InstanceResult.DONE
            self.outcome.moves += 1
            if instance.worker is not None:
                instance.worker.is_up = False
                self.workers.pop(instance.worker.entry.id)
                instance.worker = None
            instance.pool = call.pool
            instance.state = InstanceState.MOVING
            self.after(MIGRATION_S, lambda: self.return_moved(instance))
        event = InstanceAnswered(call, result, self.now)
        self.post(lambda: self.engine.handle_instance_report(event, self.now))

    def return_moved(self, instance: SimInstance) -> None:
        instance.state = InstanceState.UP
        if instance.pool != STANDBY:
            self.boot(instance)


def replace_accepted(submission: Submission, now: float) -> AcceptedJob:
    """Return a submission's job as accepted at a time."""
    return structs.replace(submission.job, accepted_ms=int(now * 1000))
