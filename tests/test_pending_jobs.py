"""Tests that a job is pending until a worker has begun one of its tasks.

Guards against MIXED: a start that was sent, but reached no worker, took its
job off the count of pending ones (review case 5).
"""

import unittest

from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import OrderResult
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_task_record
from tests.engine_bench import make_worker_entry
from tests.engine_bench import QUEUE

WORKER_1 = make_worker_entry('worker-1')
JOB = make_job('a', make_step(1))


class PendingJobsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(WORKER_1)
        self.bench.submit(JOB)
        self.bench.store_changes()
        [self.start] = self.bench.pop_starts()

    def assert_pending(self, is_pending: bool) -> None:
        """Check the count and the state that callers are told."""
        engine = self.bench.engine
        self.assertEqual(int(is_pending), engine.count_pending(QUEUE).pending)
        state = JobState.QUEUED if is_pending else JobState.RUNNING
        self.assertEqual(state, engine.find_state(JOB.id).state)

    def test_a_start_without_an_answer_leaves_its_job_pending(self) -> None:
        self.assert_pending(True)
        for _ in range(3):
            self.bench.answer_start(self.start, OrderResult.UNANSWERED)
            self.assert_pending(True)

    def test_a_refused_start_leaves_its_job_pending(self) -> None:
        self.bench.answer_start(self.start, OrderResult.UNHEALTHY)
        self.assert_pending(True)

    def test_a_job_is_not_pending_once_a_worker_acknowledges_a_start(
        self,
    ) -> None:
        self.bench.answer_start(self.start)
        self.assert_pending(False)

    def test_a_job_is_not_pending_once_a_worker_lists_a_run(self) -> None:
        running = (make_listed_run(self.start),)
        self.bench.answer_poll(WORKER_1.id, running=running)
        self.assert_pending(False)

    def test_a_job_is_not_pending_once_a_worker_lists_an_end(self) -> None:
        end = make_run_end(self.start, EndKind.STOPPED)
        self.bench.answer_poll(WORKER_1.id, ends=(end,))
        self.assert_pending(False)

    # The worker carried out a start that the owner had given up.
    def test_a_job_is_not_pending_once_a_run_is_listed_unexpectedly(
        self,
    ) -> None:
        self.bench.answer_start(self.start, OrderResult.UNHEALTHY)
        running = (make_listed_run(self.start),)
        self.bench.answer_poll(WORKER_1.id, running=running)
        self.assert_pending(False)


class RestoredJobTest(unittest.TestCase):
    def restore(self, record: ProgressRecord) -> None:
        """Have a new owner restore the job, and check nothing yet."""
        self.bench = EngineBench()
        restore_engine(
            self.bench.engine, [JOB], [record], [], [], self.bench.now
        )

    def make_record(
        self, *, failures: int = 0, has_started: bool = False
    ) -> ProgressRecord:
        task = make_task_record(WORKER_1, failures=failures)
        return ProgressRecord(
            JOB.id, JobState.QUEUED, (task,), 0, '', has_started
        )

    def pending(self) -> int:
        return self.bench.engine.count_pending(QUEUE).pending

    def test_a_job_whose_starts_may_not_have_arrived_is_pending(self) -> None:
        self.restore(self.make_record())
        self.assertEqual(1, self.pending())

    def test_a_job_that_had_begun_is_not_pending(self) -> None:
        self.restore(self.make_record(has_started=True))
        self.assertEqual(0, self.pending())

    # Records of earlier versions don't say whether the job had begun.
    def test_a_job_with_an_end_in_its_record_is_not_pending(self) -> None:
        self.restore(self.make_record(failures=1))
        self.assertEqual(0, self.pending())

    def test_it_is_stored_that_a_job_has_begun(self) -> None:
        bench = EngineBench(WORKER_1)
        [start] = bench.run_job(JOB)
        end = make_run_end(start, EndKind.STOPPED)
        bench.answer_poll(WORKER_1.id, ends=(end,))
        bench.store_changes()
        [record] = bench.batches[-1].progress
        self.assertTrue(record.has_started)
