"""Learned runtimes: which runs count, and what is expected after them."""

import unittest

from msgspec import structs

from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.owner.fleet_counts import list_estimate_errors
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.demand import measure_demand
from primroseledge.scheduling.runtimes import MAX_AGE_S
from primroseledge.scheduling.runtimes import MAX_KEYS
from primroseledge.scheduling.runtimes import MIN_RUNS
from primroseledge.scheduling.runtimes import Runtimes
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE

NOW = 100.0
WORKER = WorkerId('worker-1')


def record(
    runtimes: Runtimes, job: AcceptedJob, actual_ms: float, runs: int = 1
) -> None:
    for _ in range(runs):
        runtimes.record(job.spec.steps[0], job, SERVICE, actual_ms, NOW)


def estimate_of(runtimes: Runtimes, job: AcceptedJob, now: float = NOW) -> int:
    return runtimes.estimate_ms(job.spec.steps[0], job, now)


class RuntimesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.runtimes = Runtimes()
        self.job = make_job('a', make_step(1, image='resize'))

    def test_few_runs_change_nothing(self) -> None:
        record(self.runtimes, self.job, 1900, MIN_RUNS - 1)
        self.assertEqual(1000, estimate_of(self.runtimes, self.job))
        record(self.runtimes, self.job, 1900)
        self.assertEqual(1900, estimate_of(self.runtimes, self.job))

    def test_no_estimate_stays_none_until_runs_are_known(self) -> None:
        step = structs.replace(self.job.spec.steps[0], estimate_ms=0)
        job = make_job('b', step)
        self.assertEqual(0, estimate_of(self.runtimes, job))
        record(self.runtimes, job, 300, MIN_RUNS)
        self.assertEqual(300, estimate_of(self.runtimes, job))

    def test_stragglers_move_only_the_quantile(self) -> None:
        record(self.runtimes, self.job, 1000, 17)
        record(self.runtimes, self.job, 7000, 3)
        step = self.job.spec.steps[0]
        self.assertEqual(1000, estimate_of(self.runtimes, self.job))
        self.assertEqual(7000, self.runtimes.quantile_ms(step, self.job, NOW))

    def test_a_ratio_out_of_bounds_is_bounded(self) -> None:
        record(self.runtimes, self.job, 3_600_000, MIN_RUNS)
        self.assertEqual(8000, estimate_of(self.runtimes, self.job))
        other = make_job('b', make_step(1, image='tiny'))
        record(self.runtimes, other, -5, MIN_RUNS)
        self.assertEqual(250, estimate_of(self.runtimes, other))

    def test_old_runs_are_not_used(self) -> None:
        record(self.runtimes, self.job, 1900, MIN_RUNS)
        later = NOW + MAX_AGE_S + 1
        self.assertEqual(1000, estimate_of(self.runtimes, self.job, later))

    def test_workspace_with_many_kinds_evicts_only_its_own(self) -> None:
        record(self.runtimes, self.job, 1900, MIN_RUNS)
        noisy = WorkspaceId('noisy')
        for number in range(2 * MAX_KEYS):
            job = make_job('n', make_step(1, image=f'image-{number}'))
            job = structs.replace(job, workspace=noisy)
            record(self.runtimes, job, 500, MIN_RUNS)
        self.assertEqual(1900, estimate_of(self.runtimes, self.job))
        held = sum(len(keys) for keys in self.runtimes.keys.values())
        self.assertEqual(MAX_KEYS, held)

    def test_workspaces_and_sizes_do_not_mix(self) -> None:
        record(self.runtimes, self.job, 1900, MIN_RUNS)
        other = structs.replace(self.job, workspace=WorkspaceId('other'))
        self.assertEqual(1000, estimate_of(self.runtimes, other))
        large = make_job('b', make_step(1, 8000, image='resize'))
        self.assertEqual(1000, estimate_of(self.runtimes, large))


class CountedRunsTest(unittest.TestCase):
    """The engine learns from runs whose begin and end it knows."""

    def setUp(self) -> None:
        self.bench = EngineBench(make_worker_entry(WORKER))
        self.end_number = 0

    def run_task(
        self, name: str, seconds: float, **fields: object
    ) -> AcceptedJob:
        """Run a job of one task, and return it."""
        job = make_job(name, make_step(1, **{'image': 'resize', **fields}))
        for start in self.bench.run_job(job):
            self.bench.reconcile(seconds)
            self.end_number += 1
            end = make_run_end(start, number=self.end_number)
            self.bench.answer_poll(WORKER, ends=(end,))
        self.bench.store_changes()
        return job

    def estimate(self, job: AcceptedJob) -> int:
        return estimate_of(
            self.bench.engine.state.runtimes, job, self.bench.now
        )

    def test_estimates_of_start_order_and_demand_follow_runs(self) -> None:
        for number in range(MIN_RUNS + 1):
            job = self.run_task(f'job-{number}', 2.0)
        self.assertEqual(2000, self.estimate(job))
        state = self.bench.engine.state
        errors = {e.source: e.factor for e in list_estimate_errors(state)}
        self.assertEqual({'caller': 2.0, 'learned': 1.0}, errors)
        self.bench.submit(make_job('waits', make_step(1, image='resize')))
        demand = measure_demand(state, self.bench.now)[SERVICE]
        self.assertAlmostEqual(2.0, demand.waiting_core_s)

    def test_run_with_an_unanswered_start_is_not_counted(self) -> None:
        for number in range(MIN_RUNS):
            job = make_job(f'job-{number}', make_step(1, image='resize'))
            self.bench.submit(job)
            self.bench.store_changes()
            first = self.bench.pop_starts()[0]
            self.bench.answer_start(first, OrderResult.UNANSWERED)
            second = self.bench.pop_starts()[0]
            self.bench.answer_start(second)
            self.bench.reconcile(2.0)
            end = make_run_end(second, number=number + 1)
            self.bench.answer_poll(WORKER, ends=(end,))
            self.bench.store_changes()
        self.assertEqual(1000, self.estimate(job))

    def test_run_whose_end_was_listed_late_is_not_counted(self) -> None:
        for number in range(MIN_RUNS):
            job = make_job(f'job-{number}', make_step(1, image='resize'))
            start = self.bench.run_job(job)[0]
            self.bench.reconcile(1.0)
            self.bench.fail_poll(WORKER)
            self.bench.reconcile(1.0)
            end = make_run_end(start, number=number + 1)
            self.bench.answer_poll(WORKER, ends=(end,))
            self.bench.store_changes()
        self.assertEqual(1000, self.estimate(job))

    def test_steps_that_ask_for_nothing_are_served_as_before(self) -> None:
        for number in range(MIN_RUNS):
            job = self.run_task(f'job-{number}', 2.0, image='')
        self.assertEqual(1000, self.estimate(job))
        self.assertEqual({}, self.bench.engine.state.runtimes.keys)
        for number in range(MIN_RUNS):
            named = f'copied-{number}'
            job = self.run_task(named, 2.0, image='', is_speculative=True)
        self.assertEqual(2000, self.estimate(job))
        # The same queue and size, but nothing is said of how tasks behave.
        self.assertEqual(1000, self.estimate(make_job('b', make_step(1))))

    def test_best_effort_runs_are_not_counted(self) -> None:
        for number in range(MIN_RUNS):
            job = self.run_task(f'job-{number}', 2.0, is_best_effort=True)
        self.assertEqual(1000, self.estimate(job))


if __name__ == '__main__':
    unittest.main()
