"""Tests of pools, moves and maintenance while a zone is evacuated.

They guard against pools that count on the zone, instances of the zone that
are moved into a pool, and maintenance there that waits for others.
"""

from dataclasses import replace
import unittest

from primroseledge.ids import InstanceId
from primroseledge.ids import ZoneId
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.pools import find_targets
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import STANDBY_SERVICE
from tests.maintenance_bench import MaintenanceBench
from tests.test_zone_evacuation import evacuate
from tests.test_zone_evacuation import make_entry
from tests.test_zone_evacuation import NORTH
from tests.test_zone_evacuation import SOUTH


class InstanceTest(unittest.TestCase):
    def make_bench(self) -> MaintenanceBench:
        bench = MaintenanceBench(
            *(make_entry(n, SOUTH if n else NORTH) for n in range(6))
        )
        for name in bench.rows:
            zone = SOUTH if name != 'i-0' else NORTH
            bench.rows[name] = replace(bench.rows[name], zone=zone)
        return bench

    def add_standby(self, bench: MaintenanceBench, **zones: ZoneId) -> None:
        for name, zone in zones.items():
            row = InstanceRow(
                InstanceId(name),
                STANDBY_SERVICE,
                InstanceState.UP,
                None,
                zone=zone,
            )
            bench.rows[name] = row

    def test_a_pool_grows_from_the_other_zones(self) -> None:
        bench = self.make_bench()
        self.add_standby(bench, s0=NORTH, s1=SOUTH)
        bench.list_instances()
        state, instances = bench.engine.state, bench.engine.instance_list
        (before,) = find_targets(state, instances, bench.now)
        evacuate(bench, NORTH)
        (after,) = find_targets(state, instances, bench.now)
        self.assertEqual(before.size - 1, after.size)
        # Work for more workers than there are.
        bench.submit(make_job('a', make_step(8, 16_000)))
        bench.reconcile(0.2)
        bench.reconcile(0.2)
        self.assertEqual(['s1'], [move.instance for move in bench.moves()])

    def test_an_unanswered_move_is_not_sent_again(self) -> None:
        bench = self.make_bench()
        self.add_standby(bench, s0=NORTH)
        bench.list_instances()
        bench.submit(make_job('a', make_step(8, 16_000)))
        bench.reconcile(0.2)
        (move,) = bench.moves()
        evacuate(bench, NORTH)
        bench.answer(move, InstanceResult.UNANSWERED)
        bench.reconcile(1.0)
        self.assertEqual([], bench.moves())
        self.assertNotIn('s0', bench.engine.instance_list.operations)

    def test_maintenance_of_the_zone_comes_first(self) -> None:
        bench = self.make_bench()
        bench.list_instances()
        bench.disable_pool_sizing()
        # A backlog holds up the maintenance of instances in use.
        bench.submit(make_job('a', make_step(8, 16_000)))
        evacuate(bench, NORTH)
        bench.store_changes()
        bench.request_wave(2, 0, max_in_maintenance=2)
        self.assertEqual(
            ['i-0'], [call.instance for call in bench.maintenance_starts()]
        )


if __name__ == '__main__':
    unittest.main()
