"""Tests of workers that leave with ends of runs that are not stored.

Guards against a new owner that waits for the results of a worker which its
predecessor moved away or took down: it learns of these ends from nobody else.
"""

import unittest

from primroseledge.ids import InstanceId
from primroseledge.ids import WorkerId
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import WORKERS


class UnstoredEndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = MaintenanceBench(*WORKERS)

    def end_job_while_the_store_is_silent(self) -> WorkerId:
        """Run a job whose end is handled but not stored."""
        bench = self.bench
        (start,) = bench.run_job(make_job('job', make_step(1)))
        worker = start.target.worker
        bench.answer_poll(worker, ends=(make_run_end(start),))
        bench.reconcile(0.02)
        self.assertIsNotNone(bench.batch_in_flight)
        return worker

    def moved_instances(self) -> set[InstanceId]:
        """Return the instances that an idle pool releases in a while."""
        moved = set[InstanceId]()
        for _ in range(30):
            self.bench.list_instances()
            self.bench.reconcile(0.1)
            moved |= {move.instance for move in self.bench.moves()}
        return moved

    def test_an_instance_is_not_moved_before_its_ends_are_stored(self) -> None:
        worker = self.end_job_while_the_store_is_silent()
        instance = InstanceId(f'i-{worker[-1]}')
        moved = self.moved_instances()
        self.assertTrue(moved)
        self.assertNotIn(instance, moved)
        self.bench.store_changes()
        self.assertIn(instance, self.moved_instances())

    def test_an_instance_is_not_taken_down_before_its_ends_are_stored(
        self,
    ) -> None:
        bench = self.bench
        bench.disable_pool_sizing()
        worker = self.end_job_while_the_store_is_silent()
        bench.list_instances()
        bench.request_wave(int(worker[-1]))
        bench.reconcile(1.0)
        self.assertEqual([], bench.maintenance_starts())
        bench.store_changes()
        bench.reconcile(0.2)
        self.assertEqual(1, len(bench.maintenance_starts()))


if __name__ == '__main__':
    unittest.main()
