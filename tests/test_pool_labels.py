"""Tests of pools whose jobs require a label that few workers have."""

import unittest

from primroseledge.ids import InstanceId
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import WORKERS

SHRINK_STEPS = 60


class PoolLabelTest(unittest.TestCase):
    def test_the_last_worker_with_a_required_label_stays_in_its_pool(
        self,
    ) -> None:
        bench = MaintenanceBench(*WORKERS)
        later = make_step(1, after=(0,), required_label='rack-3')
        bench.run_job(make_job('a', make_step(1), later))
        for _ in range(SHRINK_STEPS):
            bench.list_instances()
            bench.reconcile(0.1)
        moved = {move.instance for move in bench.moves()}
        self.assertNotIn(InstanceId('i-3'), moved)
        self.assertGreater(len(moved), 1)


if __name__ == '__main__':
    unittest.main()
