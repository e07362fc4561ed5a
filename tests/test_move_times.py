"""Tests of how far ahead pools are sized, by how long moves take.

Guards against pools that grow too late because moves take longer here.
"""

import unittest

from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import make_row
from tests.maintenance_bench import WORKERS

SLOW_MOVE_S = 4.0


class MoveTimeTest(unittest.TestCase):
    def test_slow_moves_have_demand_forecast_further(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        instances = bench.engine.instance_list
        before_s = instances.move_s
        for _ in range(30):
            bench.list_instances()
            bench.reconcile(0.1)
        moves = bench.moves()
        for move in moves:
            bench.answer(move)
        bench.reconcile(SLOW_MOVE_S)
        for move in moves:
            number = int(move.instance[2:])
            bench.rows[move.instance] = make_row(number, move.pool)
        bench.list_instances()
        self.assertGreater(instances.move_s, before_s + 0.2)
        self.assertLess(instances.move_s, SLOW_MOVE_S + 1)


if __name__ == '__main__':
    unittest.main()
