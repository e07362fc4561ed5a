"""Tests of the batches of an owner whose store is slow.

More jobs change during one answer of such a store than fit in a batch. The
tests guard against a caller, a start or a final state that waits behind
changes for which nothing waits, and against workers that can't discard the
ends of their runs because some other job is always left to store.
"""

from dataclasses import replace
import unittest
from unittest import mock

from bench.job_fleet import JobFleet
from bench.job_load import small_shape
from primroseledge.dispatch.polls import UNSTORED_POLL_INTERVAL_S
from primroseledge.scheduling.planning import MIN_PLANNED_STARTS
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(8)]
JOB_COUNT = 40
PACK_BYTES = 1_000
STORE_S = 0.4


class SlowStoreTest(unittest.TestCase):
    def start_jobs(self, bench: EngineBench) -> None:
        """Start more jobs of two tasks each than fit in a batch."""
        self.enterContext(
            mock.patch('primroseledge.owner.outbox.MAX_PACK_BYTES', PACK_BYTES)
        )
        self.starts = [
            start
            for number in range(JOB_COUNT)
            for start in bench.run_job(
                make_job(f'job-{number:02}', make_step(2))
            )
        ]

    def end_first_tasks(self, bench: EngineBench) -> None:
        """Have each worker list the end of the first task of each job."""
        for worker in WORKERS:
            starts = [s for s in self.starts if s.target.worker == worker.id]
            ended = [start for start in starts if not start.task.number]
            bench.answer_poll(
                worker.id,
                running=tuple(
                    make_listed_run(start)
                    for start in starts
                    if start.task.number
                ),
                ends=tuple(
                    make_run_end(start, number=number)
                    for number, start in enumerate(ended, 1)
                ),
            )

    def test_a_waiting_caller_comes_before_other_changes(self) -> None:
        bench = EngineBench(*WORKERS)
        self.start_jobs(bench)
        self.end_first_tasks(bench)
        bench.submit(make_job('new', make_step(1)))
        bench.reconcile(0.02)
        batch = bench.batch_in_flight
        assert batch is not None
        self.assertEqual(['new'], [job.id for job in batch.accepted])

    def test_other_changes_go_on_beside_waiting_callers(self) -> None:
        bench = EngineBench(*WORKERS)
        self.start_jobs(bench)
        self.end_first_tasks(bench)
        for number in range(JOB_COUNT):
            bench.submit(make_job(f'new-{number}', make_step(1)))
        bench.reconcile(0.02)
        batch = bench.batch_in_flight
        assert batch is not None
        old = [r for r in batch.progress if not r.id.startswith('new')]
        self.assertGreater(len(batch.accepted), 0)
        self.assertGreater(len(old), 0)

    def test_stored_ends_are_acked_while_other_jobs_are_left(self) -> None:
        bench = EngineBench(*WORKERS)
        self.start_jobs(bench)
        self.end_first_tasks(bench)
        bench.reconcile(0.02)
        engine = bench.engine
        bench.store_batch()
        stored = [
            worker.stored_end_number
            for worker in engine.state.workers.values()
        ]
        self.assertTrue(engine.state.dirty_jobs)
        self.assertGreater(max(stored), 0)
        bench.store_changes()
        for worker in engine.state.workers.values():
            self.assertEqual(
                worker.handled_end_number, worker.stored_end_number
            )

    def test_an_end_is_not_acked_before_its_job_is_stored(self) -> None:
        bench = EngineBench(*WORKERS[:1])
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.answer_poll(WORKERS[0].id, ends=(make_run_end(start),))
        worker = bench.engine.state.workers[WORKERS[0].id]
        bench.reconcile(0.02)
        self.assertEqual(0, worker.stored_end_number)
        bench.store_batch()
        self.assertEqual(1, worker.stored_end_number)

    def test_ends_of_an_earlier_boot_ack_none_of_the_next(self) -> None:
        bench = EngineBench(*WORKERS[:1])
        [first] = bench.run_job(make_job('a', make_step(1)))
        bench.answer_poll(WORKERS[0].id, ends=(make_run_end(first),))
        bench.list_workers()
        self.assertEqual({}, bench.engine.state.workers)
        bench.list_workers(make_worker_entry('worker-0', boot=2))
        bench.answer_poll(WORKERS[0].id)
        self.assertEqual({}, bench.engine.state.unstored_ends)

    def test_a_slow_store_holds_back_no_starts(self) -> None:
        bench = EngineBench(*WORKERS)
        bench.submit(make_job('first', make_step(1)))
        bench.reconcile(0.02)
        for number in range(JOB_COUNT):
            bench.submit(make_job(f'job-{number}', make_step(4, 200)))
        bench.now += STORE_S
        bench.store_batch()
        bench.reconcile()
        bench.reconcile(0.02)
        self.assertEqual(4 * JOB_COUNT, len(bench.batches[-1].starts))

    def test_starts_that_wait_for_a_pass_wait_for_no_more_changes(
        self,
    ) -> None:
        bench = EngineBench(*WORKERS)
        for number in range(4):
            step = make_step(MIN_PLANNED_STARTS, 100)
            bench.submit(make_job(f'job-{number}', step))
        bench.reconcile(0.02)
        self.assertIsNotNone(bench.batch_in_flight)
        bench.store_batch()
        bench.reconcile(0.001)
        self.assertIsNotNone(bench.batch_in_flight)

    def test_other_ends_are_polled_for_while_the_store_is_slow(self) -> None:
        bench = EngineBench(*WORKERS[:1])
        first, _ = bench.run_job(make_job('a', make_step(2)))
        bench.pop_polls()
        bench.answer_poll(WORKERS[0].id, ends=(make_run_end(first),))
        bench.reconcile(UNSTORED_POLL_INTERVAL_S)
        [poll] = bench.pop_polls()
        self.assertEqual(0.0, poll.wait_s)

    def test_jobs_complete_in_a_load_with_a_slow_store(self) -> None:
        shape = replace(small_shape(), store_s=0.25)
        outcome = JobFleet(shape, seed=1).play()
        self.assertEqual(0.0, outcome.failed_share())


if __name__ == '__main__':
    unittest.main()
