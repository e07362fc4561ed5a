"""Tests that steps which can't start now don't hold up others that can.

A planning pass is bounded, and keeps workers free for long-running tasks.
Guards against jobs that wait although a worker has capacity for them, because
of what other jobs lack.
"""

import unittest

from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.capacity_shortage import MAX_UNPLACED_STEPS
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(3)]


def started_jobs(bench: EngineBench) -> set[str]:
    """Store the changes, and return the jobs whose starts are sent."""
    bench.store_changes()
    return {start.task.job for start in bench.pop_starts()}


def fail_run(bench: EngineBench, start: SendStart, number: int = 1) -> None:
    """Let a run fail, and store that."""
    end = make_run_end(start, EndKind.FAILED, number)
    bench.answer_poll(start.target.worker, ends=(end,))
    bench.store_changes()


class KeptFreeTest(unittest.TestCase):
    """A worker is kept free only for a step that it could take."""

    def test_batch_task_starts_beside_a_step_beyond_its_limit_per_worker(
        self,
    ) -> None:
        bench = EngineBench(WORKERS[0])
        step = make_step(2, is_long_running=True, max_per_worker=1)
        bench.run_job(make_job('long', step))
        bench.submit(make_job('z', make_step(1)))
        self.assertEqual({'z'}, started_jobs(bench))

    def test_batch_task_starts_beside_a_step_larger_than_any_worker(
        self,
    ) -> None:
        bench = EngineBench(*WORKERS[:2])
        bench.run_job(make_job('full', make_step(1, 16_000)))
        step = make_step(1, 17_000, is_long_running=True, max_per_worker=1)
        bench.submit(make_job('long', step))
        bench.submit(make_job('z', make_step(1)))
        self.assertEqual({'z'}, started_jobs(bench))

    def test_batch_task_starts_beside_a_step_without_its_label(self) -> None:
        bench = EngineBench(WORKERS[0])
        step = make_step(1, is_long_running=True, required_label='none')
        bench.submit(make_job('long', step))
        bench.submit(make_job('z', make_step(1)))
        self.assertEqual({'z'}, started_jobs(bench))

    def test_batch_task_starts_where_long_running_ones_leave_no_room(
        self,
    ) -> None:
        bench = EngineBench(WORKERS[0])
        lasting = make_step(1, 4_000, is_long_running=True)
        bench.run_job(make_job('a', lasting))
        step = make_step(1, 14_000, is_long_running=True)
        bench.submit(make_job('long', step))
        bench.submit(make_job('z', make_step(1)))
        self.assertEqual({'z'}, started_jobs(bench))

    def test_long_running_task_starts_on_a_worker_that_is_kept_free(
        self,
    ) -> None:
        bench = EngineBench(WORKERS[0])
        bench.run_job(make_job('full', make_step(1, 8_000)))
        for name, cpu_millis in (('large', 16_000), ('small', 1_000)):
            step = make_step(1, cpu_millis, is_long_running=True)
            bench.submit(make_job(name, step))
        self.assertEqual({'small'}, started_jobs(bench))

    def test_worker_is_kept_free_for_a_step_that_needs_it_empty(self) -> None:
        bench = EngineBench(*WORKERS[:2])
        bench.run_job(make_job('full', make_step(2, 10_000)))
        step = make_step(1, 16_000, is_long_running=True)
        bench.submit(make_job('long', step))
        bench.submit(make_job('z', make_step(12)))
        bench.store_changes()
        starts = bench.pop_starts()
        self.assertEqual(6, len(starts))
        self.assertEqual(1, len({start.target.worker for start in starts}))


class GangRackTest(unittest.TestCase):
    """A gang for a single rack starts wherever a rack has room for it."""

    def test_gang_starts_in_another_rack_than_that_of_the_fullest_worker(
        self,
    ) -> None:
        bench = EngineBench(*WORKERS[:2])
        bench.run_job(make_job('full', make_step(1, 14_000)))
        gang = make_step(4, 2_000, is_gang=True, needs_single_rack=True)
        bench.submit(make_job('gang', gang))
        bench.store_changes()
        starts = bench.pop_starts()
        self.assertEqual(4, len(starts))
        self.assertEqual(1, len({start.target.worker for start in starts}))

    def test_gang_wider_than_any_rack_starts_over_several(self) -> None:
        bench = EngineBench(*WORKERS)
        gang = make_step(20, is_gang=True, needs_single_rack=True)
        bench.submit(make_job('gang', gang))
        self.assertEqual({'gang'}, started_jobs(bench))

    def test_gang_waits_for_room_in_a_rack_that_can_hold_it(self) -> None:
        bench = EngineBench(*WORKERS[:2])
        bench.run_job(make_job('full', make_step(2, 10_000)))
        gang = make_step(8, is_gang=True, needs_single_rack=True)
        bench.submit(make_job('gang', gang))
        self.assertEqual(set(), started_jobs(bench))


class FailedWorkerTest(unittest.TestCase):
    """A task avoids a worker on which it failed, others don't."""

    def fail_on_worker_0(
        self, *others: WorkerEntry, **fields: object
    ) -> EngineBench:
        """Return a bench where a task failed on its worker, 0."""
        bench = EngineBench(WORKERS[0])
        [start] = bench.run_job(make_job('a', make_step(1, 9_000, **fields)))
        bench.list_workers(WORKERS[0], *others)
        for other in others:
            bench.answer_poll(other.id)
        bench.run_job(make_job('full', make_step(len(others), 14_000)))
        fail_run(bench, start)
        return bench

    def test_jobs_start_where_another_job_failed(self) -> None:
        bench = self.fail_on_worker_0(WORKERS[1])
        self.assertEqual([], bench.pop_starts())
        bench.submit(make_job('z', make_step(1, 10_000)))
        self.assertEqual({'z'}, started_jobs(bench))

    def test_other_tasks_of_a_step_start_where_one_failed(self) -> None:
        bench = EngineBench(WORKERS[1])
        bench.run_job(make_job('full', make_step(1, 16_000)))
        bench.list_workers(WORKERS[0], WORKERS[1])
        bench.answer_poll(WORKERS[0].id)
        [start] = bench.run_job(make_job('a', make_step(2, 16_000)))
        fail_run(bench, start)
        self.assertEqual(
            [('a', 1)],
            [(s.task.job, s.task.number) for s in bench.pop_starts()],
        )

    def test_task_starts_again_on_the_only_worker_with_its_label(
        self,
    ) -> None:
        bench = self.fail_on_worker_0(WORKERS[1], required_label='rack-0')
        self.assertEqual(
            [WORKERS[0].id], [s.target.worker for s in bench.pop_starts()]
        )

    def test_long_running_task_starts_again_where_it_failed(self) -> None:
        bench = self.fail_on_worker_0(WORKERS[1], is_long_running=True)
        self.assertEqual(
            [WORKERS[0].id], [s.target.worker for s in bench.pop_starts()]
        )

    def test_task_starts_again_on_a_worker_that_has_succeeded_since(
        self,
    ) -> None:
        bench = self.fail_on_worker_0(WORKERS[1])
        [other] = bench.run_job(make_job('z', make_step(1, 4_000)))
        self.assertEqual(WORKERS[0].id, other.target.worker)
        bench.answer_poll(WORKERS[0].id, ends=(make_run_end(other, number=2),))
        self.assertEqual({'a'}, started_jobs(bench))

    def test_task_waits_for_a_worker_without_failures(self) -> None:
        bench = self.fail_on_worker_0(WORKERS[1])
        bench.reconcile(1.0)
        self.assertEqual(set(), started_jobs(bench))


class ManyUnplacedTest(unittest.TestCase):
    """However many steps can't start, those that can do so soon."""

    COUNT = 3 * MAX_UNPLACED_STEPS

    def check_that_last_job_starts(
        self, bench: EngineBench, **fields: object
    ) -> None:
        """Check that a job behind those submitted starts within 1 s."""
        bench.submit(make_job('z', make_step(1, 100, **fields)))
        bench.store_changes()
        for _ in range(10):
            bench.reconcile(0.1)
            for worker in bench.entries:
                bench.answer_poll(worker.id)
            bench.store_changes()
        started = {start.task.job for start in bench.pop_starts()}
        self.assertIn('z', started)

    def submit_many(self, bench: EngineBench, *steps: StepSpec) -> None:
        for number, step in enumerate(steps):
            bench.submit(make_job(f'a-{number:03}', step))

    def test_steps_without_a_worker_of_their_label(self) -> None:
        bench = EngineBench(*WORKERS)
        step = make_step(1, required_label='none')
        self.submit_many(bench, *[step] * self.COUNT)
        self.check_that_last_job_starts(bench)

    def test_gangs_that_find_no_capacity(self) -> None:
        bench = EngineBench(*WORKERS)
        step = make_step(49, is_gang=True)
        self.submit_many(bench, *[step] * self.COUNT)
        self.check_that_last_job_starts(bench)

    def test_steps_at_their_limit_per_worker(self) -> None:
        bench = EngineBench(*WORKERS)
        step = make_step(4, 100, max_per_worker=1)
        self.submit_many(bench, *[step] * self.COUNT)
        self.check_that_last_job_starts(bench)

    def test_steps_each_smaller_than_the_one_before(self) -> None:
        bench = EngineBench(*WORKERS)
        steps = [
            make_step(1, 20_000 - 50 * number) for number in range(self.COUNT)
        ]
        self.submit_many(bench, *steps)
        self.check_that_last_job_starts(bench)

    def test_step_with_rules_behind_others_at_their_limit(self) -> None:
        bench = EngineBench(*WORKERS)
        step = make_step(4, 100, max_per_worker=1)
        self.submit_many(bench, *[step] * self.COUNT)
        self.check_that_last_job_starts(bench, max_per_worker=1)

    def test_long_running_step_behind_others_at_their_limit(self) -> None:
        bench = EngineBench(*WORKERS)
        step = make_step(4, 100, is_long_running=True, max_per_worker=1)
        self.submit_many(bench, *[step] * self.COUNT)
        self.check_that_last_job_starts(bench, is_long_running=True)


if __name__ == '__main__':
    unittest.main()
