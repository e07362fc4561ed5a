"""Tests of runs under leases whose end the owner does not know.

A call that was meant for the last boot of a worker gives the next one the
longest lease that workers grant, which the deployment sets.
"""

from dataclasses import replace
from typing import Final
import unittest
from unittest.mock import patch

from primroseledge.ids import Boot
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.timing import Timing
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_step
from tests.engine_bench import make_task_record
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')
WORKER_2 = make_worker_entry('worker-2')
LONG_LEASES = Timing(longest_lease_s=10.0)
LONGEST_S: Final = 10.0 / 0.98
"""The longest lease by the owner's clock, if the worker's is slow."""

GIVEN_S: Final = 5.2 / 0.98
"""The lease that an owner gives, likewise."""

GRACE_S: Final = 1.5
"""Time after the end of its own lease in which an owner polls workers."""

RECOVERY_S: Final = 2.0
"""Time in s after the end of a lease until its tasks start again."""


class LeaseTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(WORKER_1, WORKER_2, timing=LONG_LEASES)

    def start_task(self) -> SendStart:
        """Return the start of a job's only task, which is not answered."""
        self.bench.submit(make_job('a', make_step(1)))
        self.bench.store_changes()
        [start] = self.bench.pop_starts()
        return start

    def list_next_boot(self, start: SendStart) -> None:
        """List the start's worker with its next boot."""
        entries = (WORKER_1, WORKER_2)
        self.bench.list_workers(
            *(
                replace(entry, boot=Boot(2))
                if entry.id == start.target.worker
                else entry
                for entry in entries
            )
        )
        self.bench.store_changes()

    def find_restart(self, worker: str, limit_s: float = 20.0) -> float:
        """Return after how many s a silent worker's task starts elsewhere."""
        bench = self.bench
        began_at = bench.now
        while bench.now < began_at + limit_s:
            for entry in (WORKER_1, WORKER_2):
                if entry.id == worker and worker in bench.engine.state.workers:
                    bench.fail_poll(entry.id)
                elif entry.id != worker:
                    bench.answer_poll(entry.id)
            bench.reconcile(0.1)
            bench.store_changes()
            if bench.pop_starts():
                return bench.now - began_at
        raise AssertionError('the task has not started again')


class LongestLeaseTest(LeaseTestCase):
    # Guards against a second run beside one that the next boot of a worker
    # goes on with, cut off, under the longest lease (review case 1).
    def test_a_boot_that_is_cut_off_may_run_for_the_longest_lease(
        self,
    ) -> None:
        start = self.start_task()
        for _ in range(3):
            self.bench.answer_start(start, OrderResult.UNANSWERED)
        self.bench.pop_starts()
        self.list_next_boot(start)
        self.bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        waited_s = self.find_restart(start.target.worker)
        self.assertGreater(waited_s, LONGEST_S)
        self.assertLess(waited_s, LONGEST_S + RECOVERY_S)

    # The same for a boot that no poll and no list has shown.
    def test_a_boot_that_was_never_seen_may_run_as_long(self) -> None:
        start = self.start_task()
        self.bench.answer_start(start)
        waited_s = self.find_restart(start.target.worker)
        self.assertGreater(waited_s, LONGEST_S)
        self.assertLess(waited_s, LONGEST_S + RECOVERY_S)

    # The same if the start left late, behind orders without an answer.
    def test_the_wait_counts_from_when_the_start_left(self) -> None:
        bench = self.bench
        start = self.start_task()
        for _ in range(3):
            sent_at = bench.now + 0.9
            bench.reconcile(1.5)
            bench.engine.handle_order_ended(
                OrderEnded(
                    start, OrderResult.UNANSWERED, None, sent_at, bench.now
                ),
                bench.now,
            )
        last_sent_s = bench.now - sent_at
        bench.reconcile()
        bench.pop_starts()
        waited_s = self.find_restart(start.target.worker)
        self.assertGreater(waited_s + last_sent_s, LONGEST_S)

    # A boot that a poll has shown with the run keeps the lease that it was
    # given: waiting longer would leave work undone (LOST).
    def test_a_listed_run_is_waited_for_by_its_own_lease(self) -> None:
        start = self.start_task()
        self.bench.answer_start(start)
        self.bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        waited_s = self.find_restart(start.target.worker)
        self.assertGreater(waited_s, GIVEN_S)
        self.assertLess(waited_s, GIVEN_S + RECOVERY_S)


class TakeoverTest(LeaseTestCase):
    def restore(self, record: ProgressRecord) -> None:
        """Have a new owner restore a job whose worker is not listed."""
        self.bench = EngineBench(timing=LONG_LEASES)
        restore_engine(
            self.bench.engine,
            [make_job('a', make_step(1))],
            [record],
            [],
            [WORKER_2],
            self.bench.now,
        )
        self.bench.reconcile()

    def make_record(self, is_bound: bool = False) -> ProgressRecord:
        task = make_task_record(WORKER_1, is_bound=is_bound)
        return ProgressRecord(make_job('a').id, JobState.QUEUED, (task,))

    # Guards against a second run after a change of owner, where the last
    # owner's start may have reached a boot that nobody has seen.
    def test_an_unconfirmed_run_may_hold_the_longest_lease(self) -> None:
        self.restore(self.make_record())
        waited_s = self.find_restart(WORKER_1.id)
        self.assertGreater(waited_s, GRACE_S + LONGEST_S)
        self.assertLess(waited_s, GRACE_S + LONGEST_S + RECOVERY_S)

    # Guards against LOST: a new owner waited 11 s for a worker that was gone
    # since before it took over, and the rule counts a task from 9 s on.
    def test_a_bound_run_is_waited_for_by_the_given_lease(self) -> None:
        self.restore(self.make_record(True))
        waited_s = self.find_restart(WORKER_1.id)
        self.assertGreater(waited_s, GRACE_S + GIVEN_S)
        self.assertLess(waited_s, GRACE_S + GIVEN_S + RECOVERY_S)

    def wait_after_listing(self, boot_age_s: float) -> float:
        """Return how long a restored run is waited for that a poll listed."""
        self.restore(self.make_record())
        bench = self.bench
        booted_at = bench.now - boot_age_s
        clock = patch.object(
            bench, 'clock_ms', lambda: int((bench.now - booted_at) * 1000)
        )
        self.enterContext(clock)
        bench.list_workers(WORKER_1, WORKER_2)
        task = next(bench.engine.state.jobs[make_job('a').id].tasks())
        row = ListedRun(task.key, 1, '', 50, 0)
        bench.answer_poll(WORKER_1.id, running=(row,))
        # The next poll renews the lease, and is not answered any more.
        bench.reconcile(0.1)
        return self.find_restart(WORKER_1.id)

    # The same if a poll shows the run before its worker is cut off.
    def test_a_listed_run_in_a_young_boot_may_hold_it_too(self) -> None:
        waited_s = self.wait_after_listing(1.0)
        self.assertGreater(waited_s, GRACE_S + LONGEST_S)
        self.assertLess(waited_s, GRACE_S + LONGEST_S + RECOVERY_S)

    # A call that was meant for the boot before would have come long ago.
    def test_a_listed_run_in_an_old_boot_has_its_own_lease(self) -> None:
        waited_s = self.wait_after_listing(60.0)
        self.assertGreater(waited_s, GIVEN_S)
        self.assertLess(waited_s, GIVEN_S + RECOVERY_S)

    def list_run_for_a_while(self, start: SendStart) -> None:
        """Let polls list a run, which makes progress, for 3 s."""
        for _ in range(6):
            self.bench.reconcile(0.5)
            running = (make_listed_run(start, int(self.bench.now)),)
            self.bench.answer_poll(start.target.worker, running=running)
            self.bench.store_changes()

    def last_task_record(self) -> TaskRecord:
        """Return the newest stored record of the job's task."""
        [task] = self.bench.batches[-1].progress[-1].tasks
        return task

    def test_a_run_that_lasts_is_stored_as_bound_once(self) -> None:
        bench = self.bench
        start = self.start_task()
        bench.answer_start(start)
        self.assertFalse(self.last_task_record().is_bound)
        self.list_run_for_a_while(start)
        self.assertTrue(self.last_task_record().is_bound)
        count = len(bench.batches)
        self.list_run_for_a_while(start)
        self.assertEqual(count, len(bench.batches))

    # Its lease may be longer than a new owner takes a bound run's to be.
    def test_a_run_in_a_boot_that_was_just_seen_is_not_stored_as_bound(
        self,
    ) -> None:
        bench = self.bench
        start = self.start_task()
        self.list_next_boot(start)
        bench.answer_start(start)
        self.list_run_for_a_while(start)
        self.assertFalse(self.last_task_record().is_bound)

    # A start that was sent again may still reach the next boot.
    def test_a_run_whose_start_was_sent_again_is_not_stored_as_bound(
        self,
    ) -> None:
        bench = self.bench
        start = self.start_task()
        bench.answer_start(start, OrderResult.UNANSWERED)
        self.list_run_for_a_while(start)
        self.assertFalse(self.last_task_record().is_bound)
