"""Tests of the demand from which pools are sized, and of their packing.

They guard against pools that grow too late at the beginning of a burst, that
grow because of a single large job, and that cannot shrink after the burst
because small jobs occupy many workers.
"""

import unittest

from primroseledge.scheduling.arrival_rate import Arrival
from primroseledge.scheduling.arrival_rate import ArrivalRate
from primroseledge.scheduling.arrival_rate import Rate
from primroseledge.scheduling.arrival_rate import RATE_WINDOW_S
from primroseledge.scheduling.demand import Demand
from primroseledge.scheduling.demand import estimated_core_s
from primroseledge.scheduling.demand import initial_cores_of
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE

JOB = Arrival(0.0, core_s=10.0, initial_cores=5.0)


def arrivals(times: list[float], core_s: float = 10.0) -> ArrivalRate:
    """Return the rate of jobs that arrive at these times, in seconds.

    Each job starts on 5 cores and needs ``core_s`` core seconds.
    """
    rate = ArrivalRate()
    for arrived_at in times:
        rate.add(Arrival(arrived_at, core_s, 5.0))
    return rate


class ArrivalRateTest(unittest.TestCase):
    def test_single_large_job_gives_no_rate(self) -> None:
        self.assertEqual(Rate(), arrivals([10.0], 500.0).measure(10.1))

    def test_a_steady_rate_is_measured(self) -> None:
        rate = arrivals([10 + 0.2 * i for i in range(16)])
        self.assertAlmostEqual(50.0, rate.measure(13.0).cores, delta=2.5)

    def test_burst_is_detected_within_half_a_second(self) -> None:
        rate = arrivals([10.0, 10.125, 10.25, 10.375, 10.5])
        measured = rate.measure(10.5)
        self.assertAlmostEqual(80.0, measured.cores)
        self.assertAlmostEqual(25.0, measured.recent_initial_cores)

    def test_arrivals_before_a_burst_do_not_lower_its_rate(self) -> None:
        quiet = [8.0, 9.0]
        burst = [10 + 0.1 * number for number in range(6)]
        measured = arrivals([*quiet, *burst]).measure(10.5)
        self.assertAlmostEqual(100.0, measured.cores)

    def test_one_large_job_among_small_ones_is_no_burst(self) -> None:
        rate = arrivals([10 + 0.5 * number for number in range(4)], 1.0)
        rate.add(Arrival(12.0, 90.0, 5.0))
        self.assertLess(rate.measure(12.5).cores, 60.0)

    def test_arrivals_outside_the_window_are_dropped(self) -> None:
        rate = arrivals([10.0, 10.1, 10.2])
        self.assertEqual(Rate(), rate.measure(10.3 + RATE_WINDOW_S))


class DemandTest(unittest.TestCase):
    def test_demand_covers_cores_in_use(self) -> None:
        demand = Demand(
            used_cores=30.0, long_running_cores=6.0, waiting_core_s=0.0
        )
        self.assertAlmostEqual(30.0, demand.desired_cores(Rate(), 0.5))

    def test_demand_includes_waiting_work(self) -> None:
        demand = Demand(
            used_cores=30.0, long_running_cores=6.0, waiting_core_s=12.0
        )
        self.assertAlmostEqual(40.0, demand.desired_cores(Rate(), 0.5))

    def test_forecast_is_limited_by_the_arrival_rate(self) -> None:
        demand = Demand(used_cores=30.0, long_running_cores=6.0)
        fast, slow = Rate(100.0, 20.0), Rate(31.0, 20.0)
        self.assertAlmostEqual(40.0, demand.desired_cores(fast, 0.5))
        self.assertAlmostEqual(37.0, demand.desired_cores(slow, 0.5))

    def test_jobs_that_come_before_a_move_ends_count(self) -> None:
        demand = Demand(used_cores=30.0)
        rate = Rate(100.0, 20.0)
        self.assertAlmostEqual(60.0, demand.desired_cores(rate, 1.5))

    def test_initial_cores_count_only_the_first_steps(self) -> None:
        job = make_job('a', make_step(6, 880), make_step(6, 880, after=(0,)))
        self.assertAlmostEqual(5.28, initial_cores_of(job.spec))
        self.assertAlmostEqual(
            2 * 5.28, estimated_core_s(job.spec, [1000, 1000])
        )


class PackingTest(unittest.TestCase):
    def test_small_jobs_are_packed_on_one_worker(self) -> None:
        entries = [
            make_worker_entry(f'worker-{number}') for number in range(4)
        ]
        bench = EngineBench(*entries)
        for number in range(4):
            bench.run_job(make_job(f'job-{number}', make_step(2)))
        used_workers = [
            worker.id
            for worker in bench.engine.state.workers.values()
            if worker.tasks and worker.entry.service == SERVICE
        ]
        self.assertEqual(1, len(used_workers))


if __name__ == '__main__':
    unittest.main()
