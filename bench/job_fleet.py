"""Play a load on the owner's engine, with simulated workers and instances.

Everything runs in virtual time: a queue of events stands for the network,
the workers, the store and the platform's instance service. Only the engine
is real, and its processor time is measured.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
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
from bench.job_load import STANDBY
from bench.job_load import Submission
from bench.job_outcome import Outcome
from bench.job_stragglers import add_images
from bench.job_stragglers import run_factor
from bench.job_workers import ONE_WAY_S
from bench.job_workers import SimWorker
from bench.job_workers import SimWorkers
from primroseledge.ids import Boot
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.owner.engine import create_engine
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SubmitJob
from primroseledge.scheduling.actions import Verdict
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState

TICK_S: Final = 0.02
MOVE_CALL_S: Final = 0.015
MIGRATION_S: Final = 1.5
WORKER_LIST_S: Final = 0.3
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
        self.workers = SimWorkers(self)
        self.instances: dict[InstanceId, SimInstance] = {}
        self.is_reconcile_due = False
        self.outcome = Outcome()
        self.outcome.submissions = add_images(
            shape, make_submissions(shape, seed), seed
        )
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
        instance.worker = self.workers.add(entry)

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
        entries = [w.entry for w in self.workers.workers.values()]
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

    def post_event(
        self, event: OrderEnded | PollAnswered | PollFailed
    ) -> None:
        """Pass an event of a worker to the engine."""
        if isinstance(event, OrderEnded):
            self.post(lambda: self.engine.handle_order_ended(event, self.now))
        elif isinstance(event, PollAnswered):
            self.post(lambda: self.engine.handle_poll_answer(event, self.now))
        else:
            self.post(lambda: self.engine.handle_poll_failure(event, self.now))

    def run_s(self, task: TaskKey, run_number: int) -> float:
        """Return how long a run of a task takes, in seconds."""
        factor = run_factor(self.shape, task, run_number)
        return self.by_job[task.job].task_s * factor

    def record_start(self, job: JobId) -> None:
        """Record when the first task of a job was started."""
        if job not in self.started:
            self.started.add(job)
            waited_s = self.now - self.begin - self.by_job[job].at
            self.outcome.started_after.append(waited_s)

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
                self.at(
                    ready_at + self.shape.store_s,
                    partial(self.complete_batch, batch.number),
                )

        self.measure(step)
        for action in actions:
            self.execute(action)

    def current_outage(self) -> tuple[float, float] | None:
        """Return begin and end of the store's outage, if there is one."""
        if self.shape.store_outage is None:
            return None
        begin, end = (self.begin + at for at in self.shape.store_outage)
        return (begin, end) if begin <= self.now < end else None

    def complete_batch(self, number: int) -> None:
        self.post(lambda: self.engine.handle_batch_stored(number, self.now))
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
            copy = self.engine.state.copies.get(action.task)
            if copy and copy.run and copy.run.number == action.run_number:
                self.outcome.copies += 1
            self.after(ONE_WAY_S, lambda: self.workers.start(action))
        elif isinstance(action, SendStop):
            self.after(ONE_WAY_S, lambda: self.workers.stop(action))
        elif isinstance(action, SendPoll):
            sent_at = self.now
            self.after(ONE_WAY_S, lambda: self.workers.poll(action, sent_at))
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
                self.workers.remove(instance.worker)
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
