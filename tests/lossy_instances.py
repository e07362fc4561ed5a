"""Simulated instances, and the platform's service that acts on them."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceCall
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListFailed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import WaveNumber
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE
from tests.engine_bench import STANDBY_SERVICE
from tests.lossy_workers import SimWorker
from tests.lossy_workers import SimWorkers
from tests.lossy_workers import Timeline

CALL_TIMEOUT_S: Final = 1.0
LISTED_AFTER_END_S: Final = 1.5
"""Time for which the list of workers shows one that has ended."""

WORKERS: Final = 5
STANDBY_INSTANCES: Final = 2
RACKS: Final = 3


@dataclass(eq=False)
class SimInstance:
    """An instance, its present worker, and the waves it has been in."""

    id: InstanceId
    number: int
    pool: ServiceId
    state: InstanceState = InstanceState.UP
    worker: SimWorker | None = None
    waves: set[WaveNumber] = field(default_factory=set)

    @property
    def live_worker(self) -> SimWorker | None:
        worker = self.worker
        return worker if worker is not None and worker.is_up else None


class SimInstances:
    """All instances, and the calls to the service, one at a time.

    ``post`` passes a report to the engine.
    """

    def __init__(
        self,
        time: Timeline,
        workers: SimWorkers,
        post: Callable[[InstanceReport], None],
    ) -> None:
        self.time = time
        self.workers = workers
        self.post = post
        self.boots = 0
        self.ended: list[tuple[float, SimWorker]] = []
        self.calls: list[InstanceCall] = []
        self.is_call_in_flight = False
        self.all = [
            SimInstance(InstanceId(f'i-{number}'), number, SERVICE)
            for number in range(WORKERS + STANDBY_INSTANCES)
        ]
        for instance in self.all[:WORKERS]:
            self.boot(instance)
        for instance in self.all[WORKERS:]:
            instance.pool = STANDBY_SERVICE

    def listed_workers(self) -> list[SimWorker]:
        """Return the workers of the list, which shows some that ended."""
        listed = {
            worker.entry.id: worker
            for ended_at, worker in self.ended
            if self.time.now < ended_at + LISTED_AFTER_END_S
        }
        return list((listed | self.workers.by_id).values())

    def members(self) -> list[SimWorker]:
        """Return the workers of the pool that have been up for a while."""
        return [
            worker
            for instance in self.all
            if instance.pool == SERVICE
            and (worker := instance.live_worker) is not None
            and worker.born_at < self.time.now - 1.0
        ]

    def boot(self, instance: SimInstance, id: WorkerId | None = None) -> None:
        """Start a worker on an instance, under a new id or an old one."""
        self.boots += 1
        entry = make_worker_entry(
            f'w{self.boots:03}-{instance.number % RACKS}', boot=self.boots
        )
        if id is not None:
            entry = replace(entry, id=id, address=f'{id}:1')
        instance.worker = self.workers.boot(entry)

    def end_worker(self, instance: SimInstance) -> None:
        worker = instance.live_worker
        if worker is not None:
            self.ended.append((self.time.now, worker))
            self.workers.end_life(worker)

    def restart(self) -> None:
        """Restart a random worker, often under the same id."""
        random = self.time.random
        instance = random.choice(self.all)
        worker = instance.live_worker
        if worker is None:
            return
        self.end_worker(instance)
        id = worker.entry.id if random.random() < 0.6 else None

        def boot() -> None:
            is_up = instance.state is InstanceState.UP
            if is_up and instance.worker is worker:
                self.boot(instance, id)

        self.time.after(random.choice((0.05, 0.5, 2.0)), boot)

    def call(self, call: InstanceCall) -> None:
        self.calls.append(call)
        if not self.is_call_in_flight:
            self.make_next_call()

    def make_next_call(self) -> None:
        """Make the next call to the instance service, one at a time."""
        self.is_call_in_flight = bool(self.calls)
        if not self.calls:
            return
        call = self.calls.pop(0)
        sent_at = self.time.now
        is_over = False

        def finish(report: Callable[[], InstanceReport]) -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self.post(report())
                self.make_next_call()

        self.time.after(CALL_TIMEOUT_S, lambda: finish(self.no_answer(call)))
        if self.time.is_lost():
            return
        is_answer_lost = self.time.is_lost()

        def arrive() -> None:
            report = self.carry_out(call, sent_at)
            if not is_answer_lost:
                self.time.send(lambda: finish(report))

        self.time.send(arrive)

    def no_answer(self, call: InstanceCall) -> Callable[[], InstanceReport]:
        if isinstance(call, ListInstances):
            return lambda: ListFailed('no answer')
        return lambda: InstanceAnswered(
            call, InstanceResult.UNANSWERED, self.time.now
        )

    def carry_out(
        self, call: InstanceCall, sent_at: float
    ) -> Callable[[], InstanceReport]:
        if isinstance(call, ListInstances):
            rows = tuple(make_row(instance) for instance in self.all)
            return lambda: InstancesListed(rows, sent_at)
        result = self.begin_operation(call)
        return lambda: InstanceAnswered(call, result, self.time.now)

    def begin_operation(
        self, call: StartMaintenance | MoveInstance
    ) -> InstanceResult:
        """Begin a maintenance or a move; one done before is a success."""
        [instance] = [i for i in self.all if i.id == call.instance]
        is_move = isinstance(call, MoveInstance)
        if is_move and instance.pool == call.pool:
            return InstanceResult.DONE
        if not is_move and call.wave in instance.waves:
            return InstanceResult.DONE
        if instance.state is not InstanceState.UP:
            return InstanceResult.BUSY
        self.end_worker(instance)
        away_s = 1.0
        if isinstance(call, MoveInstance):
            instance.pool = call.pool
            instance.state = InstanceState.MOVING
        else:
            instance.waves.add(call.wave)
            instance.state = InstanceState.IN_MAINTENANCE
            away_s = self.time.random.choice((0.4, 1.5))
        self.time.after(away_s, lambda: self.bring_back(instance))
        return InstanceResult.DONE

    def bring_back(self, instance: SimInstance) -> None:
        instance.state = InstanceState.UP
        last = instance.worker
        instance.worker = None
        if instance.pool == STANDBY_SERVICE:
            return
        keeps_id = last is not None and self.time.random.random() < 0.2
        self.boot(instance, last.entry.id if last and keeps_id else None)


def make_row(instance: SimInstance) -> InstanceRow:
    worker = instance.live_worker
    return InstanceRow(
        instance.id,
        instance.pool,
        instance.state,
        worker.entry.id if worker is not None else None,
        f'rack-{instance.number % RACKS}',
    )
