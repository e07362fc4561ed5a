"""An engine bench whose platform lists instances, for maintenance tests."""

from primroseledge.cluster.node_loop import OWNER_TICK_S
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveState
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE
from tests.engine_bench import STANDBY_SERVICE

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(6)]
WAVE = WaveNumber(1)


def make_row(
    number: int,
    pool: ServiceId = SERVICE,
    state: InstanceState = InstanceState.UP,
    worker: str | None = None,
) -> InstanceRow:
    """Return the row of an instance; in the standby pool it has no worker."""
    name = None if pool == STANDBY_SERVICE else worker or f'worker-{number}'
    return InstanceRow(
        InstanceId(f'i-{number}'),
        pool,
        state,
        None if name is None else WorkerId(name),
        f'rack-{number % 2}',
    )


class MaintenanceBench(EngineBench):
    """An engine bench whose platform lists one instance per worker."""

    def __init__(self, *workers: WorkerEntry) -> None:
        super().__init__(*workers)
        self.rows = {
            f'i-{number}': make_row(number) for number in range(len(workers))
        }

    def disable_pool_sizing(self) -> None:
        """Keep pools from being sized, so that only waves act."""
        self.engine.instance_list.pools_sized_at = 1e9

    def observe_pools(self) -> None:
        """Let the first shrink window pass, in which no pool shrinks."""
        self.list_instances()
        self.reconcile(1.3)
        self.reconcile(0.2)

    def list_instances(self) -> None:
        self.pop_actions(ListInstances, lambda _: True)
        listed = InstancesListed(tuple(self.rows.values()), self.now)
        self.engine.handle_instance_report(listed, self.now)
        self.reconcile(OWNER_TICK_S)

    def request_wave(self, *numbers: int, max_in_maintenance: int = 1) -> None:
        instances = tuple(InstanceId(f'i-{number}') for number in numbers)
        wave = Wave(WAVE, instances, 20.0, max_in_maintenance)
        self.engine.instance_list.waves[WAVE] = wave
        self.reconcile(OWNER_TICK_S)

    def maintenance_starts(self) -> list[StartMaintenance]:
        found = self.pop_actions(StartMaintenance, lambda _: True)
        return [a for a in found if isinstance(a, StartMaintenance)]

    def moves(self) -> list[MoveInstance]:
        found = self.pop_actions(MoveInstance, lambda _: True)
        return [a for a in found if isinstance(a, MoveInstance)]

    def answer(
        self,
        call: StartMaintenance | MoveInstance,
        result: InstanceResult = InstanceResult.DONE,
    ) -> None:
        answer = InstanceAnswered(call, result, self.now)
        self.engine.handle_instance_report(answer, self.now)
        self.reconcile(OWNER_TICK_S)

    @property
    def wave_state(self) -> WaveState:
        return self.engine.instance_list.wave_records[WAVE].state
