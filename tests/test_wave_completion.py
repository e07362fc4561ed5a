"""Tests of when a wave of maintenance is said to be completed.

They guard against a wave that is said to be completed although an instance of
it stays whose maintenance has not begun: one that the owner's list of
instances does not show, as it is older than the wave or was changed by an
answer.
"""

import unittest

from primroseledge.cluster.node_loop import OWNER_TICK_S
from primroseledge.ids import InstanceId
from primroseledge.ids import WorkerId
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.list_refresh import BUSY_LIST_INTERVAL_S
from primroseledge.maintenance.wave import WaveState
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import make_row
from tests.maintenance_bench import WORKERS

STANDING_S = 30.0
"""Time after which the list of an earlier wave is old."""


class WaveCompletionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = MaintenanceBench(*WORKERS)
        self.bench.disable_pool_sizing()
        self.bench.list_instances()
        self.bench.reconcile(STANDING_S)

    def add_instance(self, number: int) -> InstanceId:
        """Add an instance to those of the platform, not to the known list."""
        row = make_row(number, worker=f'new-{number}')
        self.bench.rows[row.id] = row
        return row.id

    def list_requests(self) -> int:
        return len(self.bench.pop_actions(ListInstances, lambda _: True))

    def test_a_new_instance_is_maintained_though_the_list_is_old(
        self,
    ) -> None:
        # Without a standby pool the list is not read between two waves.
        joined = self.add_instance(9)
        self.bench.request_wave(9)
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)
        self.assertEqual(1, self.list_requests())
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)
        [call] = self.bench.maintenance_starts()
        self.assertEqual(joined, call.instance)

    def test_a_list_from_before_the_wave_proves_nothing(self) -> None:
        listed = InstancesListed(
            tuple(self.bench.rows.values()), self.bench.now
        )
        self.add_instance(9)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.request_wave(9)
        self.bench.engine.handle_instance_report(listed, self.bench.now)
        self.bench.reconcile(OWNER_TICK_S)
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)

    def test_an_instance_that_joins_while_others_are_maintained(self) -> None:
        # The list is read again only after a while: the last instance that
        # it shows may begin meanwhile.
        self.bench.request_wave(0, 9)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        [call] = self.bench.maintenance_starts()
        joined = self.add_instance(9)
        self.bench.answer(call)
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)
        self.bench.rows['i-0'] = make_row(0, worker='again-0')
        self.bench.reconcile(BUSY_LIST_INTERVAL_S)
        self.bench.list_instances()
        [call] = self.bench.maintenance_starts()
        self.assertEqual(joined, call.instance)

    def test_a_refusal_does_not_show_that_an_instance_is_gone(self) -> None:
        for result in (
            InstanceResult.NO_SUCH_INSTANCE,
            InstanceResult.NOT_IN_WAVE,
        ):
            with self.subTest(result):
                self.setUp()
                self.bench.request_wave(0)
                self.bench.reconcile(OWNER_TICK_S)
                self.bench.list_instances()
                [call] = self.bench.maintenance_starts()
                self.bench.answer(call, result)
                self.assertIs(WaveState.RUNNING, self.bench.wave_state)
                self.bench.reconcile(BUSY_LIST_INTERVAL_S)
                self.bench.list_instances()
                self.assertEqual([call], self.bench.maintenance_starts())

    def test_a_refusal_after_the_instance_was_missing_for_a_while(
        self,
    ) -> None:
        # The list that showed it came after it was noticed to be missing.
        joined = self.add_instance(9)
        self.bench.request_wave(9)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        [call] = self.bench.maintenance_starts()
        self.assertEqual(joined, call.instance)
        self.bench.answer(call, InstanceResult.NOT_IN_WAVE)
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)

    def test_a_wave_of_gone_instances_is_completed_by_a_new_list(
        self,
    ) -> None:
        self.bench.request_wave(0, 9)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        [call] = self.bench.maintenance_starts()
        self.bench.answer(call)
        self.assertIs(WaveState.RUNNING, self.bench.wave_state)
        self.bench.reconcile(BUSY_LIST_INTERVAL_S)
        self.bench.list_instances()
        self.assertIs(WaveState.COMPLETED, self.bench.wave_state)

    def test_the_drain_of_an_instance_that_leaves_is_cancelled(self) -> None:
        # It would be continued by no wave, while the list is read every
        # BUSY_LIST_INTERVAL_S for it.
        self.bench.run_job(make_job('a', make_step(6, 16_000)))
        self.bench.request_wave(0)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        instances = self.bench.engine.instance_list
        self.assertEqual(1, len(instances.operations))
        del self.bench.rows['i-0']
        self.bench.reconcile(BUSY_LIST_INTERVAL_S)
        self.bench.list_instances()
        self.bench.reconcile(BUSY_LIST_INTERVAL_S)
        self.bench.list_instances()
        self.assertIs(WaveState.COMPLETED, self.bench.wave_state)
        self.assertEqual({}, instances.operations)
        worker = self.bench.engine.state.workers[WORKERS[0].id]
        self.assertFalse(worker.is_drained_by_owner)

    def test_a_wave_ends_though_no_instance_is_left(self) -> None:
        # An empty list was taken for one that has not been read yet.
        self.bench.request_wave(0)
        self.bench.rows.clear()
        for _ in range(3):
            self.bench.reconcile(BUSY_LIST_INTERVAL_S)
            self.bench.list_instances()
        self.assertIs(WaveState.COMPLETED, self.bench.wave_state)
        self.assertEqual({}, self.bench.engine.instance_list.operations)

    def test_no_wave_ends_before_the_first_list(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        bench.request_wave(0)
        bench.reconcile(STANDING_S)
        self.assertIs(WaveState.RUNNING, bench.wave_state)

    def test_no_list_is_awaited_once_all_instances_have_begun(self) -> None:
        self.bench.request_wave(0)
        self.bench.reconcile(OWNER_TICK_S)
        self.bench.list_instances()
        [call] = self.bench.maintenance_starts()
        self.bench.answer(call)
        self.assertIs(WaveState.COMPLETED, self.bench.wave_state)


class OldListTest(unittest.TestCase):
    """The list shows a worker that another one has replaced since.

    Guards against a maintenance that ends the tasks of the new worker, which
    was not drained.
    """

    def test_the_worker_that_a_new_list_shows_is_drained(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.reconcile(STANDING_S)
        bench.list_workers(make_worker_entry('new-0'))
        bench.answer_poll(WorkerId('new-0'))
        [start] = bench.run_job(make_job('a', make_step(1)))
        self.assertEqual('new-0', start.target.worker)
        bench.rows['i-0'] = make_row(0, worker='new-0')
        bench.request_wave(0)
        self.assertEqual([], bench.maintenance_starts())
        bench.list_instances()
        bench.reconcile(OWNER_TICK_S)
        self.assertEqual([], bench.maintenance_starts())
        bench.answer_poll(start.target.worker, ends=(make_run_end(start),))
        bench.store_changes()
        self.assertEqual(1, len(bench.maintenance_starts()))

    def test_no_newer_list_is_awaited_if_one_was_just_read(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0)
        self.assertEqual(1, len(bench.maintenance_starts()))


if __name__ == '__main__':
    unittest.main()
