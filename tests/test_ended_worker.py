"""Tests of what becomes of a worker after a maintenance or move call.

Guards against living workers that get no more tasks, and against tasks on a
worker that a call has ended: calls are carried out without an answer, and
answered with success because they were carried out before.
"""

from dataclasses import replace
import unittest

from primroseledge.ids import WorkerId
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.wave import InstanceState
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import STANDBY_SERVICE
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import make_row
from tests.maintenance_bench import WORKERS


class DoneBeforeTest(unittest.TestCase):
    """A success that means *done before* must not end a living worker."""

    def begin_maintenance(self) -> MaintenanceBench:
        """Return a bench whose maintenance call is not answered."""
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        bench.answer(call, InstanceResult.UNANSWERED)
        bench.store_changes()
        return bench

    def show_new_worker(self, bench: MaintenanceBench) -> None:
        """Let the instance come back with worker-9."""
        bench.list_workers(make_worker_entry('worker-9'))
        bench.answer_poll(WorkerId('worker-9'))
        bench.rows['i-0'] = make_row(0, worker='worker-9')
        bench.list_instances()

    def test_new_worker_is_used_after_unanswered_call_was_executed(
        self,
    ) -> None:
        bench = self.begin_maintenance()
        self.show_new_worker(bench)
        bench.reconcile(1.0)
        [repeated] = bench.maintenance_starts()
        bench.answer(repeated)
        bench.store_changes()
        bench.reconcile(0.3)
        bench.list_workers(make_worker_entry('worker-9'))
        bench.list_instances()
        bench.reconcile(0.1)
        self.assertIn(WorkerId('worker-9'), bench.engine.state.workers)
        bench.answer_poll(WorkerId('worker-9'))
        self.assertEqual({}, bench.engine.instance_list.operations)
        starts = bench.run_job(make_job('a', make_step(1)))
        self.assertEqual(
            [WorkerId('worker-9')], [start.target.worker for start in starts]
        )

    def test_worker_with_equal_id_and_newer_boot_ends_maintenance(
        self,
    ) -> None:
        bench = self.begin_maintenance()
        bench.reconcile(1.0)
        [repeated] = bench.maintenance_starts()
        bench.answer(repeated)
        bench.store_changes()
        bench.rows['i-0'] = make_row(0, state=InstanceState.IN_MAINTENANCE)
        bench.reconcile(0.3)
        bench.list_instances()
        bench.list_workers(make_worker_entry('worker-0', boot=2))
        bench.answer_poll(WorkerId('worker-0'))
        bench.rows['i-0'] = make_row(0)
        bench.reconcile(0.3)
        bench.list_instances()
        bench.answer_poll(WorkerId('worker-0'))
        self.assertEqual({}, bench.engine.instance_list.operations)
        starts = bench.run_job(make_job('a', make_step(1)))
        self.assertEqual(1, len(starts))

    def test_worker_that_restarted_before_an_older_list_is_kept(self) -> None:
        bench = self.begin_maintenance()
        bench.reconcile(1.0)
        [repeated] = bench.maintenance_starts()
        bench.answer(repeated)
        bench.store_changes()
        bench.list_workers(make_worker_entry('worker-0', boot=2))
        bench.rows['i-0'] = make_row(0, state=InstanceState.IN_MAINTENANCE)
        bench.list_instances()
        self.assertIn(WorkerId('worker-0'), bench.engine.state.workers)

    def test_maintenance_ends_when_its_instance_is_off_in_standby(
        self,
    ) -> None:
        # A predecessor's move was carried out late.
        bench = self.begin_maintenance()
        bench.reconcile(1.0)
        [repeated] = bench.maintenance_starts()
        bench.answer(repeated)
        bench.rows['i-0'] = make_row(0, STANDBY_SERVICE)
        bench.reconcile(0.3)
        bench.list_instances()
        self.assertEqual({}, bench.engine.instance_list.operations)

    def test_worker_that_ended_gets_no_task_while_it_is_still_listed(
        self,
    ) -> None:
        bench = self.begin_maintenance()
        bench.reconcile(1.0)
        [repeated] = bench.maintenance_starts()
        bench.answer(repeated)
        bench.store_changes()
        bench.rows['i-0'] = make_row(0, state=InstanceState.IN_MAINTENANCE)
        bench.reconcile(0.3)
        bench.list_instances()
        bench.list_workers(WORKERS[0])
        self.assertEqual({}, bench.engine.state.workers)


class CancelledCallTest(unittest.TestCase):
    """A call that was not answered may have ended its worker."""

    def test_worker_of_unanswered_move_gets_no_task_before_it_answers(
        self,
    ) -> None:
        bench = MaintenanceBench(*WORKERS[:4])
        for _ in range(10):
            bench.list_instances()
            bench.reconcile(0.1)
        move = bench.moves()[0]
        bench.answer(move, InstanceResult.UNANSWERED)
        worker = bench.rows[move.instance].worker
        assert worker is not None
        number = int(move.instance.removeprefix('i-'))
        bench.rows[move.instance] = replace(
            make_row(number, state=InstanceState.MOVING), worker=None
        )
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.reconcile(0.1)
        starts = bench.run_job(make_job('a', make_step(64)))
        self.assertNotIn(worker, {start.target.worker for start in starts})
        self.assertEqual(48, len(starts))
        bench.answer_poll(worker)
        bench.store_changes()
        self.assertEqual(
            {worker}, {start.target.worker for start in bench.pop_starts()}
        )


class CallInFlightTest(unittest.TestCase):
    """Calls are made one after the other; repeated ones would pile up."""

    def test_maintenance_call_is_not_repeated_before_its_answer(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        bench.store_changes()
        for _ in range(15):
            bench.reconcile(1.0)
        self.assertEqual([], bench.maintenance_starts())
        bench.answer(call, InstanceResult.UNANSWERED)
        bench.store_changes()
        bench.reconcile(1.0)
        # The drain has begun again, and the list is from before that.
        self.assertEqual([], bench.maintenance_starts())
        bench.list_instances()
        self.assertEqual([call], bench.maintenance_starts())

    def test_worker_gets_no_task_while_its_move_is_not_answered(self) -> None:
        bench = MaintenanceBench(*WORKERS[:4])
        for _ in range(10):
            bench.list_instances()
            bench.reconcile(0.1)
        [move] = bench.moves()
        worker = bench.rows[move.instance].worker
        bench.disable_pool_sizing()
        bench.reconcile(5.0)
        self.assertEqual([], bench.moves())
        starts = bench.run_job(make_job('a', make_step(64)))
        self.assertNotIn(worker, {start.target.worker for start in starts})


if __name__ == '__main__':
    unittest.main()
