"""Tests of the reserve that pools keep, and of dividing free instances.

They guard against a pool that is empty when a burst begins, against a
reserve that is kept for ever, and against one pool that takes all free
instances while others wait. The last tests play a load whose demand comes in
turns, and check what its callers get.
"""

import unittest
from unittest import mock

from bench.job_fleet import JobFleet
from bench.job_load import small_shape
from bench.job_outcome import Outcome
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.pool_moves import pop_target_pool
from primroseledge.maintenance.pool_reserve import DemandPeak
from primroseledge.maintenance.pool_reserve import divide_instances
from primroseledge.maintenance.pool_reserve import MIN_POOL_WORKERS
from primroseledge.maintenance.pool_reserve import PEAK_MEMORY_S
from primroseledge.maintenance.pool_reserve import RESERVE_SHARE
from primroseledge.maintenance.pool_reserve import reserve_size

COPPER = ServiceId('copper')
IRON = ServiceId('iron')
TIN = ServiceId('tin')
STANDBY = ServiceId('standby')


class ReserveTest(unittest.TestCase):
    def test_reserve_is_a_share_of_an_equal_part(self) -> None:
        self.assertEqual(5, reserve_size(48, 4, None))

    def test_reserve_is_at_least_the_minimum(self) -> None:
        self.assertEqual(MIN_POOL_WORKERS, reserve_size(5, 5, None))
        self.assertEqual(MIN_POOL_WORKERS, reserve_size(48, 4, 0))

    def test_low_recent_demand_lowers_the_reserve(self) -> None:
        self.assertEqual(4, reserve_size(48, 4, 4))
        self.assertEqual(5, reserve_size(48, 4, 40))


class DemandPeakTest(unittest.TestCase):
    def test_peak_is_unknown_until_observed_for_a_period(self) -> None:
        peak = DemandPeak(began_at=10.0)
        peak.record(2, 11.0)
        self.assertIsNone(peak.recent())
        peak.record(1, 10.0 + PEAK_MEMORY_S)
        self.assertEqual(2, peak.recent())

    def test_peak_is_forgotten_after_two_periods(self) -> None:
        peak = DemandPeak(began_at=0.0)
        peak.record(20, 1.0)
        for period in (1, 2):
            peak.record(3, period * PEAK_MEMORY_S)
        self.assertEqual(3, peak.recent())


class DivideTest(unittest.TestCase):
    def test_all_get_what_they_lack_if_there_are_enough(self) -> None:
        wanted = {COPPER: 3, IRON: 4}
        self.assertEqual(wanted, divide_instances(9, wanted))

    def test_each_gets_the_same_share_of_what_it_lacks(self) -> None:
        wanted = {COPPER: 40, IRON: 20, TIN: 20}
        self.assertEqual(
            {COPPER: 10, IRON: 5, TIN: 5}, divide_instances(20, wanted)
        )

    def test_the_rest_goes_to_the_neediest(self) -> None:
        parts = divide_instances(1, {COPPER: 1, IRON: 5})
        self.assertEqual({COPPER: 0, IRON: 1}, parts)

    def test_nothing_is_divided_among_none(self) -> None:
        self.assertEqual({}, divide_instances(5, {}))


class TargetPoolTest(unittest.TestCase):
    def test_largest_shortfall_is_served_first(self) -> None:
        instances = InstanceList(shortfalls={COPPER: 1, IRON: 3})
        instance = InstanceId('i-1')
        served = [
            pop_target_pool(instances, instance, STANDBY) for _ in range(5)
        ]
        self.assertEqual([IRON, IRON, COPPER, IRON, STANDBY], served)

    def test_a_refused_move_is_not_chosen(self) -> None:
        instances = InstanceList(shortfalls={COPPER: 2})
        instances.refused_moves.add((InstanceId('i-1'), COPPER))
        self.assertEqual(
            STANDBY, pop_target_pool(instances, InstanceId('i-1'), STANDBY)
        )
        self.assertEqual(
            COPPER, pop_target_pool(instances, InstanceId('i-2'), STANDBY)
        )


class LoadTest(unittest.TestCase):
    """Plays a load by turns, with and without a reserve."""

    def play(self, reserve_share: float) -> Outcome:
        with mock.patch(
            'primroseledge.maintenance.pool_reserve.RESERVE_SHARE',
            reserve_share,
        ):
            return JobFleet(small_shape(), seed=1).play()

    def test_callers_are_served_better_with_a_reserve(self) -> None:
        with_reserve = self.play(RESERVE_SHARE)
        without = self.play(0.0)
        for measure in (
            Outcome.worst_windows,
            Outcome.worst_workspaces,
            Outcome.largest_jobs,
        ):
            with self.subTest(measure=measure.__name__):
                self.assertGreaterEqual(
                    measure(with_reserve), measure(without)
                )
        self.assertGreater(
            with_reserve.worst_windows(), without.worst_windows()
        )
        self.assertEqual(0.0, with_reserve.failed_share())

    def test_reserve_costs_less_than_pools_that_are_not_sized(self) -> None:
        with_reserve = self.play(RESERVE_SHARE)
        with mock.patch(
            'primroseledge.maintenance.pools.shrink', autospec=True
        ):
            unsized = JobFleet(small_shape(), seed=1).play()
        self.assertLess(with_reserve.pool_s, unsized.pool_s)


if __name__ == '__main__':
    unittest.main()
