"""An engine among simulated workers and instances that fail for a while.

For a time messages are lost, late and out of order, and workers restart under
their old id or a new one. Then all is calm, and no task may wait for long
beside a worker with room for it twice over.
"""

import collections
from functools import partial
from typing import Final
from typing import NamedTuple

from msgspec import structs

from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import TaskKey
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.owner.engine import create_engine
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SubmitJob
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import QUEUE
from tests.engine_bench import SERVICE
from tests.lossy_instances import SimInstances
from tests.lossy_workers import SimWorker
from tests.lossy_workers import SimWorkers
from tests.lossy_workers import Timeline

BEGIN: Final = 100.0
LOSSY_S: Final = 20.0
CALM_S: Final = 40.0
SETTLE_S: Final = 4.0
"""Time of calm from which on no task may wait."""

MAX_WAIT_S: Final = 3.0
MAX_LONG_RUNNING_WAIT_S: Final = 6.0
TICK_S: Final = 0.02
LIST_S: Final = 0.3
LIST_DELAY_S: Final = 0.05
MAX_OPERATION_S: Final = 15.0
JOBS: Final = 60
RESTARTS: Final = 8


class StepId(NamedTuple):
    """A step of an occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


def make_lossy_configuration() -> Configuration:
    """Return a configuration whose jobs have attempts enough for failures."""
    configuration = make_configuration()
    queue = configuration.queues[QUEUE]
    configuration.queues[QUEUE] = structs.replace(queue, max_attempts=6)
    return configuration


class LossyFleet:
    """The engine, its surroundings, and what was seen to stand still.

    ``waits`` are the steps that waited too long, with the time.
    """

    def __init__(self, seed: int, loss: float, fail_share: float) -> None:
        self.time = Timeline(seed, BEGIN, loss)
        self.engine = create_engine(make_lossy_configuration(), BEGIN, 0.0)
        self.workers = SimWorkers(
            self.time, fail_share, self.post, self.spec_of
        )
        self.instances = SimInstances(
            self.time, self.workers, self.post_report
        )
        self.jobs = 0
        self.waiting_since: dict[StepId, float] = {}
        self.waits: list[tuple[float, StepId, StepSpec]] = []

    def play(self) -> None:
        """Play the lossy time, with jobs, restarts and waves, then calm."""
        random = self.time.random
        end = BEGIN + LOSSY_S
        for _ in range(JOBS):
            at = random.uniform(BEGIN + 1, end + CALM_S / 2)
            self.time.at(at, self.submit_job)
        for _ in range(RESTARTS):
            at = random.uniform(BEGIN + 1, end - 1)
            self.time.at(at, self.instances.restart)
        for number in (1, 2):
            at = random.uniform(BEGIN + 1, end - 2)
            wave = WaveNumber(number)
            self.time.at(at, lambda wave=wave: self.request_wave(wave))
        self.tick()
        self.list_workers()
        self.time.run(end)
        self.time.loss = 0.0
        self.time.run(end + CALM_S)

    # The engine

    def tick(self) -> None:
        self.workers.expire_leases()
        self.reconcile()
        self.find_waits()
        self.time.after(TICK_S, self.tick)

    def reconcile(self) -> None:
        actions, batch = self.engine.reconcile(self.time.now)
        if batch is not None:
            delay_s = self.time.random.choice((0.004, 0.01, 0.03))
            self.time.after(delay_s, partial(self.store_batch, batch.number))
        to_workers = [
            action
            for action in actions
            if isinstance(action, SendPoll | SendStart | SendStop)
        ]
        # The engine checks workers in the order of a set.
        to_workers.sort(key=lambda action: action.target.worker)
        for action in to_workers:
            if isinstance(action, SendPoll):
                self.workers.poll(action)
            else:
                self.workers.order(action)
        for call in actions:
            if isinstance(
                call, ListInstances | StartMaintenance | MoveInstance
            ):
                self.instances.call(call)

    def store_batch(self, number: int) -> None:
        self.engine.handle_batch_stored(number, self.time.now)
        self.reconcile()

    def post(self, event: object) -> None:
        now = self.time.now
        if isinstance(event, OrderEnded):
            self.engine.handle_order_ended(event, now)
        elif isinstance(event, PollAnswered):
            self.engine.handle_poll_answer(event, now)
        elif isinstance(event, PollFailed):
            self.engine.handle_poll_failure(event, now)
        self.reconcile()

    def spec_of(self, key: TaskKey) -> StepSpec:
        return self.engine.state.jobs[key.job].accepted.spec.steps[key.step]

    def post_report(self, report: InstanceReport) -> None:
        self.engine.handle_instance_report(report, self.time.now)
        self.reconcile()

    def list_workers(self) -> None:
        listed = [w.entry for w in self.instances.listed_workers()]

        def apply() -> None:
            self.engine.apply_worker_entries(listed, self.time.now)
            self.reconcile()

        self.time.after(LIST_DELAY_S, apply)
        self.time.after(LIST_S, self.list_workers)

    def submit_job(self) -> None:
        self.jobs += 1
        job = make_job(f'job-{self.jobs:03}', *self.make_steps())
        job = structs.replace(job, accepted_ms=int(self.time.now * 1000))
        event = SubmitJob(CallId('', self.jobs), job)
        self.engine.submit(event, self.time.now)
        self.reconcile()

    def request_wave(self, number: WaveNumber) -> None:
        chosen = self.time.random.sample(self.instances.all, 3)
        self.engine.instance_list.waves[number] = Wave(
            number, tuple(instance.id for instance in chosen), 20.0, 2
        )

    def make_steps(self) -> list[StepSpec]:
        """Return one or two random steps, the second after the first."""
        random = self.time.random
        steps = list[StepSpec]()
        for number in range(random.choice((1, 1, 2))):
            rules: dict[str, object] = random.choice(
                (
                    {},
                    {},
                    {},
                    {'is_gang': True},
                    {'is_gang': True, 'needs_single_rack': True},
                    {'max_per_worker': 1},
                    {'required_label': 'a'},
                    {'required_label': 'rack-0'},
                    {'is_long_running': True, 'max_unavailable': 1},
                )
            )
            step = make_step(
                random.choice((1, 1, 2, 4, 8)),
                random.choice((200, 500, 1000, 2000, 6000)),
                after=(0,) if number else (),
                **rules,
            )
            estimate_ms = random.choice((100, 300, 1000, 2500))
            steps.append(structs.replace(step, estimate_ms=estimate_ms))
            if step.is_long_running:
                break
        return steps

    # What must hold

    def members(self) -> list[SimWorker]:
        """Return the workers of the pool that have been up for a while."""
        return [
            worker
            for instance in self.instances
            if instance.pool == SERVICE
            and (worker := instance.live_worker) is not None
            and worker.born_at < self.time.now - 1.0
        ]

    def find_waits(self) -> None:
        """Record the steps that wait for long beside workers with room."""
        now = self.time.now
        members = self.instances.members()
        running = {key.job for worker in members for key in worker.runs}
        used = sum(worker.used().cpu_millis for worker in members)
        total = sum(w.entry.capacity.cpu_millis for w in members)
        calm_since = BEGIN + LOSSY_S + SETTLE_S
        waiting = set[StepId]()
        for job in self.engine.state.active_jobs.values():
            if job.accepted.id in running:
                continue
            for step in job.waiting_steps():
                if used >= total / 2 or not has_room_twice(step, members):
                    continue
                id = StepId(job.accepted.id, step.occurrence, step.number)
                waiting.add(id)
                since = self.waiting_since.setdefault(id, now)
                limit_s = MAX_WAIT_S
                if step.spec.is_long_running:
                    limit_s = MAX_LONG_RUNNING_WAIT_S
                if now > max(since, calm_since) + limit_s:
                    self.waits.append((now, id, step.spec))
                    self.waiting_since[id] = now
        for id in list(self.waiting_since):
            if id not in waiting:
                del self.waiting_since[id]

    def unused_workers(self) -> list[WorkerId]:
        """Return the workers that are up and that the engine does not use.

        Those that an operation drains are left out.
        """
        known = self.engine.state.workers
        operations = self.engine.instance_list.operations.values()
        drained = {operation.worker for operation in operations}
        return [
            worker.entry.id
            for worker in self.instances.members()
            if worker.entry.id not in known
            or known[worker.entry.id].is_drained_by_owner
            and worker.entry.id not in drained
        ]

    def old_operations(self) -> list[Operation]:
        """Return the operations that should have ended long ago."""
        return [
            operation
            for operation in self.engine.instance_list.operations.values()
            if self.time.now > operation.started_at + MAX_OPERATION_S
        ]

    def find_wrong_accounts(self) -> list[str]:
        """Return where the engine's accounts differ from its runs."""
        state = self.engine.state
        wrong = list[str]()
        used = NO_RESOURCES
        for job in state.jobs.values():
            for task in job.tasks():
                if task.run is not None:
                    used = used.plus(task.spec.resources)
            service = state.service_of(job)
            waits = service is not None and any(job.waiting_steps())
            if waits and job.accepted.id not in state.waiting_jobs[SERVICE]:
                wrong.append(job.accepted.id)
        usage = sum_of(list(state.usage.values()))
        if usage != used:
            wrong.append(f'usage {usage} and not {used}')
        for worker in state.workers.values():
            needed = [t.spec.counted_resources for t in worker.tasks.values()]
            if sum_of(needed) != worker.used_capacity:
                wrong.append(worker.id)
        return wrong


def sum_of(amounts: list[Resources]) -> Resources:
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total


def has_room_twice(step: StepOccurrence, members: list[SimWorker]) -> bool:
    """Return whether workers have room for twice what a step needs at once.

    A gang for a single rack needs the room in one of them.
    """
    spec = step.spec
    by_rack = collections.Counter[str]()
    for worker in members:
        labels = worker.entry.labels
        if spec.required_label and spec.required_label not in labels:
            continue
        is_single_rack = spec.is_gang and spec.needs_single_rack
        by_rack[labels[1] if is_single_rack else ''] += count_slots(
            spec, worker
        )
    needed = 2 * (spec.count if spec.is_gang else 1)
    return max(by_rack.values(), default=0) >= needed


def count_slots(spec: StepSpec, worker: SimWorker) -> int:
    """Return how many tasks of a step a worker has room for."""
    needed = spec.counted_resources
    free = worker.entry.capacity.minus(worker.used())
    room = min(
        free.cpu_millis // max(1, needed.cpu_millis),
        free.memory_mb // max(1, needed.memory_mb),
    )
    return min(room, 2 * spec.max_per_worker or room)
