"""Tests of the quarantine of workers on which tasks fail or stall.

They guard against a worker on which every task fails immediately, which
therefore always has free capacity and gets all new tasks, and against a
job with a fault that fails on every worker and puts all into quarantine.
"""

import unittest

from primroseledge.ids import JobId
from primroseledge.scheduling.actions import EndKind
from primroseledge.workers.quarantine import Quarantine
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')
WORKER_2 = make_worker_entry('worker-2')


class QuarantineTest(unittest.TestCase):
    def test_single_failing_job_does_not_quarantine_a_worker(self) -> None:
        quarantine = Quarantine()
        for _ in range(20):
            quarantine.record_failure(JobId('a'), 10.0)
        self.assertFalse(quarantine.is_active(10.1))

    def test_two_failed_jobs_in_a_row_quarantine_a_worker(self) -> None:
        quarantine = Quarantine()
        quarantine.record_failure(JobId('a'), 10.0)
        quarantine.record_failure(JobId('b'), 10.0)
        self.assertTrue(quarantine.is_active(12.9))
        self.assertFalse(quarantine.is_active(13.1))

    def test_success_resets_the_failure_count(self) -> None:
        quarantine = Quarantine()
        quarantine.record_failure(JobId('a'), 10.0)
        quarantine.record_success()
        quarantine.record_failure(JobId('b'), 10.0)
        self.assertFalse(quarantine.is_active(10.1))

    def test_success_ends_a_quarantine(self) -> None:
        quarantine = Quarantine()
        quarantine.record_failure(JobId('a'), 10.0)
        quarantine.record_failure(JobId('b'), 10.0)
        quarantine.record_success()
        self.assertFalse(quarantine.is_active(10.1))

    def test_repeated_quarantine_starts_sooner_and_lasts_longer(self) -> None:
        quarantine = Quarantine()
        quarantine.record_failure(JobId('a'), 10.0)
        quarantine.record_failure(JobId('b'), 10.0)
        quarantine.record_failure(JobId('c'), 13.5)
        self.assertTrue(quarantine.is_active(19.0))


class PlacementTest(unittest.TestCase):
    def test_failed_task_is_retried_on_another_worker(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        [start] = bench.run_job(make_job('a', make_step(1)))
        worker = start.target.worker
        bench.answer_poll(worker, ends=(make_run_end(start, EndKind.FAILED),))
        bench.store_changes()
        [restart] = bench.pop_starts()
        self.assertNotEqual(worker, restart.target.worker)

    def test_worker_that_fails_every_job_gets_no_new_tasks(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        end_number = 0
        for name in ('a', 'b'):
            for start in bench.run_job(make_job(name, make_step(2))):
                if start.target.worker == WORKER_1.id:
                    end_number += 1
                    end = make_run_end(start, EndKind.FAILED, end_number)
                    bench.answer_poll(WORKER_1.id, ends=(end,))
        bench.store_changes()
        bench.pop_starts()
        next_starts = bench.run_job(make_job('c', make_step(4)))
        self.assertEqual({WORKER_2.id}, {s.target.worker for s in next_starts})

    def test_stalled_task_is_restarted_on_another_worker(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        [start] = bench.run_job(make_job('a', make_step(1)))
        worker = start.target.worker
        bench.answer_poll(worker, running=(make_listed_run(start, 20),))
        bench.reconcile(1.0)
        bench.answer_poll(worker, running=(make_listed_run(start, 20),))
        self.assertEqual([], bench.pop_stops())
        bench.reconcile(1.0)
        bench.answer_poll(worker, running=(make_listed_run(start, 20),))
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        stopped = make_run_end(start, EndKind.STOPPED)
        bench.answer_poll(worker, ends=(stopped,))
        bench.store_changes()
        [restart] = bench.pop_starts()
        self.assertNotEqual(worker, restart.target.worker)

    def test_task_that_makes_progress_is_not_stopped(self) -> None:
        bench = EngineBench(WORKER_1)
        [start] = bench.run_job(make_job('a', make_step(1)))
        for percent in (10, 20, 30):
            bench.reconcile(1.0)
            listed = make_listed_run(start, percent)
            bench.answer_poll(WORKER_1.id, running=(listed,))
        self.assertEqual([], bench.pop_stops())


class ProbeTest(unittest.TestCase):
    """A quarantine must not leave a job without any worker for long."""

    def quarantine_worker_1(
        self, *others: WorkerEntry, **fields: object
    ) -> EngineBench:
        """Return a bench where worker-1 is in quarantine from now on."""
        bench = EngineBench(WORKER_1)
        starts = [
            bench.run_job(make_job(name, make_step(1)))[0]
            for name in ('a', 'b')
        ]
        ends = tuple(
            make_run_end(start, EndKind.FAILED, number)
            for number, start in enumerate(starts, 1)
        )
        bench.answer_poll(WORKER_1.id, ends=ends)
        for start in starts:
            job = bench.engine.state.jobs[start.task.job]
            bench.cancel(job.accepted)
        bench.list_workers(WORKER_1, *others)
        for other in others:
            bench.answer_poll(other.id)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.submit(make_job('c', make_step(4, **fields)))
        bench.store_changes()
        return bench

    def starts_within(self, bench: EngineBench, seconds: float) -> int:
        """Return how many starts are sent within a time."""
        for _ in range(int(seconds / 0.1)):
            bench.reconcile(0.08)
            bench.store_changes()
        return len(bench.pop_starts())

    def test_only_worker_in_quarantine_gets_one_task_at_a_time(self) -> None:
        bench = self.quarantine_worker_1()
        self.assertEqual(1, self.starts_within(bench, 1.2))
        self.assertEqual(1, self.starts_within(bench, 1.3))

    def test_only_worker_with_a_label_gets_a_task_in_quarantine(self) -> None:
        bench = self.quarantine_worker_1(WORKER_2, required_label='rack-1')
        self.assertEqual(1, self.starts_within(bench, 1.2))

    def test_gang_starts_on_workers_in_quarantine(self) -> None:
        bench = self.quarantine_worker_1(is_gang=True)
        self.assertEqual(4, self.starts_within(bench, 1.2))

    def test_no_task_starts_in_quarantine_while_another_could_take_it(
        self,
    ) -> None:
        bench = self.quarantine_worker_1(WORKER_2, cpu_millis=16_000)
        self.assertEqual(1, self.starts_within(bench, 1.2))
        state = bench.engine.state
        self.assertEqual({}, state.workers[WORKER_1.id].tasks)


if __name__ == '__main__':
    unittest.main()
