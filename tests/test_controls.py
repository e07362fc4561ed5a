"""What the controllers' thread is given, and what it may begin."""

from time import monotonic
from typing import Any
from unittest import TestCase

from msgspec.structs import replace

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import CellId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.observability.metrics import create_metrics
from primroseledge.operators.explain import Rule
from primroseledge.policy.control_input import CellWork
from primroseledge.policy.control_input import ControlRequest
from primroseledge.policy.control_input import job_input
from primroseledge.policy.control_input import pool_input
from primroseledge.policy.control_input import take_request
from primroseledge.policy.control_thread import ControlThread
from primroseledge.policy.job_controller import JobController
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import Wave
from primroseledge.policy.policy_state import Listing
from primroseledge.policy.pool_rounds import PoolRounds
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.task_service import InstanceStatus
from primroseledge.storage.task_service import Life
from primroseledge.storage.task_service import PlatformUnavailableError
from tests.policy_world import PolicyWorld
from tests.policy_world import SERVICES
from tests.policy_world import SETTINGS

MAIN = CellId('main')
POOL = PoolId('copper')
ONE = InstanceId('i00')


class Outbox:
    """Stands for the loop; keeps what was posted."""

    def __init__(self) -> None:
        self.posted: list[Any] = []

    def post(self, item: Any) -> None:
        self.posted.append(item)


class ControlsTest(TestCase):
    def setUp(self) -> None:
        self.world = PolicyWorld()
        pools = PoolRounds(
            self.world.records(),
            self.world.platform,
            self.world.platform,
            SETTINGS,
            create_metrics(),
        )
        jobs = JobController(self.world.records(), self.world.platform)
        outbox: Any = Outbox()
        self.thread = ControlThread(outbox, pools, jobs)
        self.thread.owned = {MAIN: Epoch(1)}

    def request(self, **changes: Any) -> ControlRequest:
        statuses = {s.instance: s for s in self.world.platform.instances()}
        values: dict[str, Any] = {
            'now': self.world.now,
            'revision': self.world.seen_revision,
            'instances': dict(self.world.seen.instances),
            'placements': (self.world.seen,),
            'services': SERVICES,
            'pools': (Pool('copper', buffer=1), Pool('other')),
            'teams': {},
            'listing': Listing(statuses, self.world.now),
            'cells': {MAIN: CellWork(Epoch(1), {}, is_complete=True)},
            'home': MAIN,
        }
        request = ControlRequest(**{**values, **changes})
        request.group()
        return request

    def start_wave(self) -> None:
        plan = Plan(Wave('w1', 'new', 'old'))
        self.world.records().swap(plan_key(POOL), plan, Revision(0))

    def rounds(self, count: int, **changes: Any) -> None:
        with self.assertNoLogs('primroseledge', 'ERROR'):
            self.rounds_with_failures(count, **changes)

    def rounds_with_failures(self, count: int, **changes: Any) -> None:
        for _ in range(count):
            self.world.sync()
            self.thread.round(self.request(**changes))
            self.world.advance(1.0)

    def test_wave_drains_and_reboots_what_is_idle(self) -> None:
        self.start_wave()
        self.rounds(12)
        self.assertEqual(len(self.world.platform.reboots), 1)

    def test_nothing_reboots_while_anything_may_run(self) -> None:
        self.start_wave()
        cells = {MAIN: CellWork(Epoch(1), {}, is_complete=False)}
        self.rounds(20, cells=cells)
        self.assertEqual(self.world.platform.reboots, [])

    def test_running_work_is_summed_over_cells(self) -> None:
        cells = {
            cell: CellWork(Epoch(1), {ONE: 2}, is_complete=True)
            for cell in (MAIN, CellId('other'))
        }
        view = pool_input(self.request(cells=cells), POOL, {}).view
        self.assertEqual(view[ONE].running, 4)
        view = pool_input(self.request(cells=cells), POOL, None).view
        self.assertEqual(view[ONE].running, 5)

    def test_instance_that_is_not_listed_is_down(self) -> None:
        request = self.request(listing=Listing({}, self.world.now))
        view = pool_input(request, POOL, {}).view
        self.assertFalse(any(item.is_up for item in view.values()))
        self.assertEqual(len(view), 9)

    def test_pool_with_a_cell_of_another_owner_is_left_alone(self) -> None:
        self.start_wave()
        services = (SERVICES[0], replace(SERVICES[1], cell='other'))
        self.rounds(12, services=services)
        self.assertEqual(self.world.platform.reboots, [])

    def test_no_step_begins_without_the_epoch(self) -> None:
        self.start_wave()
        for owned in ({}, {MAIN: Epoch(2)}):
            self.thread.owned = owned
            writes = self.world.writes
            self.rounds(3)
            self.assertEqual(self.world.writes, writes)

    def test_old_list_decides_nothing(self) -> None:
        self.start_wave()
        listing = Listing({}, self.world.now - 6.0)
        news = self.thread.round(self.request(listing=listing))
        rules = [item.rule for item in news.held()]
        self.assertEqual(rules, [Rule.PLATFORM_OUTAGE])
        self.assertEqual(self.world.writes, 1)

    def test_unreadable_plan_stops_no_other_pool(self) -> None:
        key = plan_key(PoolId('spare'))
        record_id = self.world.next_write_id()
        self.world.store.write(key, '{"wave": 1}', Revision(0), record_id)
        self.start_wave()
        with self.assertLogs('primroseledge', 'ERROR') as logs:
            self.rounds_with_failures(12)
        self.assertIn('pool spare', str(logs.output))
        self.assertEqual(len(self.world.platform.reboots), 1)

    def test_pool_at_rest_costs_one_read(self) -> None:
        self.rounds(1)
        reads: list[str] = []
        read = self.world.store.read

        def counted(prefix: str) -> Any:
            reads.append(prefix)
            return read(prefix)

        self.world.store.read = counted  # type: ignore[method-assign]
        self.rounds(1)
        self.assertEqual(reads, ['jobs/', 'plans/'])

    def test_tasks_that_cannot_be_told_hold_a_reboot(self) -> None:
        self.start_wave()

        def fail() -> Any:
            raise PlatformUnavailableError('no answer')

        self.world.platform.tasks = fail  # type: ignore[method-assign]
        self.rounds(20)
        self.assertEqual(self.world.platform.reboots, [])

    def test_buffer_is_what_is_ready_and_idle(self) -> None:
        self.world.platform.break_machine(InstanceId('i01'))
        self.world.advance(3.0)
        cells = {MAIN: CellWork(Epoch(1), {ONE: 1}, is_complete=True)}
        self.thread.round(self.request(cells=cells))
        page = self.thread.pools.metrics.page().decode()
        self.assertRegex(page, r'buffer\S*\{pool="copper"\} 7')
        self.assertNotIn('pool="other"', page)

    def test_jobs_get_instances_with_cores_that_stay(self) -> None:
        names = ('a', 'b', 'c', 'd')
        instances = {
            InstanceId(name): Instance(
                name, 'copper', 'z0', 'r0', '127.0.0.1:1', cores=4
            )
            for name in names
        }
        lives = {'a': Life.LIVE, 'b': Life.LEAVING}
        statuses = {
            InstanceId(name): InstanceStatus(
                InstanceId(name), life, 'b1', 1.0, True, 'old'
            )
            for name, life in lives.items()
        }
        listing = Listing(statuses, self.world.now)
        given = job_input(self.request(instances=instances, listing=listing))
        self.assertEqual([worker.id for worker in given.workers], ['a'])
        self.assertEqual(len(given.fleet), 4)

    def test_snapshot_does_not_change_with_the_dispatcher(self) -> None:
        configuration = Configuration()
        configuration.services = {
            Service('copper', 'metals', 'copper').service_id: Service(
                'copper', 'metals', 'copper'
            )
        }
        configuration.pools = {POOL: Pool('copper')}
        configuration.documents = {'config/placement/0': Placement('0')}
        dispatcher = create_dispatcher(MAIN, Epoch(3), configuration)
        dispatcher.work.limits.hidden_until = monotonic() + 100.0
        dispatcher.work.slots.used[ONE] = 1
        request = take_request(
            configuration, Listing(), {MAIN: dispatcher}, monotonic()
        )
        dispatcher.work.slots.used[ONE] = 0
        self.assertEqual(request.cells[MAIN].running, {ONE: 1})
        self.assertFalse(request.cells[MAIN].is_complete)
        self.assertEqual(request.epochs_of(POOL), ((MAIN, Epoch(3)),))
