"""Tests that the order of a worker's boots is not that of a time of day.

Guards against LOST: a worker whose clock was set back before it restarted was
ignored, so that its runs lapsed and its tasks never ran (review case 3).
"""

from dataclasses import replace
import unittest

from primroseledge.ids import Boot
from primroseledge.ids import Revision
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_task_record
from tests.engine_bench import make_worker_entry

FIRST = Boot(5000)
SECOND = Boot(2600)
THIRD = Boot(4000)
"""Boots in the order of their times; the clock was ahead in the first."""


def make_entry(boot: Boot, revision: int) -> WorkerEntry:
    """Return the entry of a boot of the only worker."""
    entry = make_worker_entry('worker-1')
    return replace(entry, boot=boot, revision=Revision(revision))


class BootOrderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.entry = make_entry(FIRST, 10)
        self.bench = EngineBench(self.entry)
        [self.start] = self.bench.run_job(make_job('a', make_step(1)))
        self.worker = self.entry.id
        running = (make_listed_run(self.start),)
        self.bench.answer_poll(self.worker, running=running)

    def boot(self) -> Boot:
        """Return the boot that the owner takes the worker to be in."""
        return self.bench.engine.state.workers[self.worker].entry.boot

    def started_again(self) -> list[SendStart]:
        """Return the starts that follow the answer to a poll."""
        self.bench.answer_poll(self.worker)
        self.bench.store_changes()
        return self.bench.pop_starts()

    def test_a_listed_boot_with_an_earlier_time_is_the_next_one(self) -> None:
        self.bench.list_workers(make_entry(SECOND, 11))
        self.assertEqual(SECOND, self.boot())
        [start] = self.started_again()
        self.assertEqual(SECOND, start.target.boot)

    def test_a_boot_that_answers_with_an_earlier_time_is_the_next_one(
        self,
    ) -> None:
        self.bench.fail_poll(self.worker, OrderResult.OTHER_BOOT, SECOND)
        self.assertEqual(SECOND, self.boot())
        self.bench.list_workers(make_entry(SECOND, 11))
        [start] = self.started_again()
        self.assertEqual(SECOND, start.target.boot)

    def test_an_end_in_a_boot_with_an_earlier_time_is_taken_note_of(
        self,
    ) -> None:
        self.bench.list_workers(make_entry(SECOND, 11))
        [start] = self.started_again()
        self.bench.answer_start(start)
        self.bench.answer_poll(self.worker, ends=(make_run_end(start),))
        self.bench.store_changes()
        state = self.bench.engine.find_state(make_job('a').id).state
        self.assertEqual(JobState.COMPLETED, state)

    def test_an_entry_that_was_written_earlier_is_ignored(self) -> None:
        self.bench.list_workers(make_entry(SECOND, 11))
        self.bench.list_workers(make_entry(THIRD, 10))
        self.assertEqual(SECOND, self.boot())

    # The list lags behind an answer, and has the ended boot for a while.
    def test_the_boot_before_the_one_that_answers_is_over(self) -> None:
        self.bench.fail_poll(self.worker, OrderResult.OTHER_BOOT, SECOND)
        self.bench.list_workers(make_entry(FIRST, 12))
        self.assertEqual(SECOND, self.boot())

    # Guards against a second run: the list has a boot between the two.
    def test_runs_in_a_boot_that_answers_outlast_a_list_that_lags(
        self,
    ) -> None:
        bench = EngineBench(self.entry)
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.fail_poll(self.worker, OrderResult.OTHER_BOOT, THIRD)
        running = (make_listed_run(start),)
        bench.answer_poll(self.worker, running=running)
        bench.list_workers(make_entry(SECOND, 14))
        bench.answer_poll(self.worker, running=running)
        bench.store_changes()
        worker = bench.engine.state.workers[self.worker]
        self.assertEqual(THIRD, worker.entry.boot)
        self.assertEqual([], bench.pop_starts())
        bench.list_workers(make_entry(THIRD, 15))
        self.assertTrue(worker.is_listed)

    # Without tasks nothing is at stake, and the list is followed.
    def test_an_idle_worker_follows_the_list(self) -> None:
        end = make_run_end(self.start)
        self.bench.answer_poll(self.worker, ends=(end,))
        self.bench.store_changes()
        self.bench.fail_poll(self.worker, OrderResult.OTHER_BOOT, SECOND)
        self.bench.list_workers(make_entry(THIRD, 13))
        self.assertEqual(THIRD, self.boot())

    def test_a_crash_is_seen_by_a_boot_with_an_earlier_time(self) -> None:
        for _ in range(60):
            if self.worker not in self.bench.engine.state.workers:
                break
            self.bench.fail_poll(self.worker, was_closed=True)
            self.bench.reconcile(0.1)
        self.bench.list_workers(make_entry(SECOND, 11))
        task = next(self.bench.engine.state.jobs[make_job('a').id].tasks())
        self.assertEqual(0, task.open_losses)


class RestoredBootTest(unittest.TestCase):
    def test_a_run_recorded_in_another_boot_than_the_list_has_goes_on(
        self,
    ) -> None:
        bench = EngineBench()
        job = make_job('a', make_step(1))
        entry = make_entry(FIRST, 10)
        task = make_task_record(entry, boot=SECOND, is_bound=True)
        record = ProgressRecord(job.id, JobState.RUNNING, (task,))
        restore_engine(bench.engine, [job], [record], [], [entry], bench.now)
        bench.reconcile()
        bench.fail_poll(entry.id, OrderResult.OTHER_BOOT, SECOND)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())

    def test_a_worker_after_a_maintenance_may_have_an_earlier_time(
        self,
    ) -> None:
        entry = make_entry(FIRST, 10)
        bench = EngineBench(entry)
        bench.engine.state.ended_boots[entry.id] = FIRST
        del bench.engine.state.workers[entry.id]
        bench.list_workers(entry)
        self.assertNotIn(entry.id, bench.engine.state.workers)
        bench.list_workers(make_entry(SECOND, 11))
        self.assertIn(entry.id, bench.engine.state.workers)
