"""Tests of starts that an owner keeps while it may send no orders.

They guard against a start that leaves for a zone which was evacuated while
the owner's lease had run out.
"""

import unittest

from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.test_zone_evacuation import evacuate
from tests.test_zone_evacuation import NORTH
from tests.test_zone_evacuation import NORTHERN


class KeptStartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(NORTHERN)
        self.bench.submit(make_job('a', make_step(1)))
        self.bench.reconcile(0.02)

    def test_a_first_start_is_withdrawn(self) -> None:
        bench = self.bench
        bench.store_batch()
        bench.engine.poll_only(bench.now)
        kept = bench.engine.state.actions
        self.assertTrue(any(isinstance(a, SendStart) for a in kept))
        evacuate(bench, NORTH)
        self.bench.store_changes()
        self.assertEqual([], self.bench.pop_starts())
        worker = self.bench.engine.state.workers[NORTHERN.id]
        self.assertFalse(worker.tasks)

    def test_a_repeated_start_is_stopped(self) -> None:
        bench = self.bench
        bench.store_changes()
        (start,) = bench.pop_starts()
        unanswered = OrderEnded(
            start, OrderResult.UNANSWERED, None, bench.now, bench.now
        )
        bench.engine.handle_order_ended(unanswered, bench.now)
        bench.engine.poll_only(bench.now)
        evacuate(bench, NORTH)
        bench.reconcile(0.02)
        self.assertEqual([], bench.pop_starts())
        self.assertEqual(1, len(bench.pop_stops()))


if __name__ == '__main__':
    unittest.main()
