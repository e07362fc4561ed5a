"""Tests of workers that start again under the id that they had.

Orders are addressed by the id alone, so the next boot carries out those that
were meant for the last one.
"""

from dataclasses import replace
import unittest

from primroseledge.ids import Boot
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')
WORKER_2 = make_worker_entry('worker-2')
MAX_LEASE_S = 6.0 / 0.98


class WorkerRestartTest(unittest.TestCase):
    def start_task(self, bench: EngineBench, **fields: object) -> SendStart:
        """Return the start of a job's only task, which is not answered."""
        bench.submit(make_job('a', make_step(1, **fields)))
        bench.store_changes()
        [start] = bench.pop_starts()
        return start

    def list_restarted(self, bench: EngineBench, start: SendStart) -> None:
        """List the start's worker with its next boot."""
        bench.list_workers(
            *(
                replace(entry, boot=Boot(2))
                if entry.id == start.target.worker
                else entry
                for entry in (WORKER_1, WORKER_2)
            )
        )
        bench.store_changes()

    def test_a_run_of_the_next_boot_is_not_started_twice(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        self.list_restarted(bench, start)
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual([], bench.pop_stops())

    def test_the_end_of_a_run_of_the_next_boot_completes_its_task(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        self.list_restarted(bench, start)
        bench.answer_poll(start.target.worker, ends=(make_run_end(start),))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual(
            JobState.COMPLETED,
            bench.engine.find_state(make_job('a').id).state,
        )

    def test_a_poll_answered_by_the_next_boot_starts_nothing_twice(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        bench.fail_poll(start.target.worker, OrderResult.OTHER_BOOT, boot=2)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual([], bench.pop_stops())

    def test_an_unanswered_start_is_stopped_in_the_next_boot(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        self.list_restarted(bench, start)
        bench.answer_start(start, OrderResult.UNANSWERED)
        self.assertEqual([], bench.pop_starts())
        bench.reconcile(0.1)
        bench.answer_poll(start.target.worker)
        [stop] = bench.pop_stops()
        self.assertEqual(2, stop.target.boot)
        bench.answer_stop(stop)
        bench.reconcile(0.1)
        bench.answer_poll(start.target.worker)
        bench.store_changes()
        self.assertEqual(
            [2], [again.run_number for again in bench.pop_starts()]
        )

    def test_a_new_boot_ends_listed_runs_at_once(self) -> None:
        bench = EngineBench(WORKER_1)
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.answer_poll(WORKER_1.id, running=(make_listed_run(start),))
        rebooted = make_worker_entry('worker-1', boot=2)
        bench.list_workers(rebooted)
        bench.answer_poll(WORKER_1.id)
        bench.store_changes()
        [again] = bench.pop_starts()
        self.assertEqual((2, 2), (again.target.boot, again.run_number))

    def test_a_stop_that_an_ended_boot_answered_is_sent_to_the_next(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        worker = start.target.worker
        for _ in range(3):
            bench.answer_start(start, OrderResult.UNANSWERED)
        bench.pop_starts()
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        self.list_restarted(bench, start)
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        [stop_again] = bench.pop_stops()
        self.assertEqual(2, stop_again.target.boot)
        bench.answer_stop(stop)
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.answer_stop(stop_again)
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        bench.store_changes()
        self.assertEqual(
            [2], [again.run_number for again in bench.pop_starts()]
        )

    def test_a_late_copy_of_a_start_in_the_next_boot_is_not_doubled(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        worker = start.target.worker
        bench.answer_start(start, OrderResult.UNANSWERED)
        [again] = bench.pop_starts()
        bench.answer_start(again)
        bench.answer_poll(worker, running=(make_listed_run(start),))
        self.list_restarted(bench, start)
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(worker, running=(make_listed_run(start),))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual([], bench.pop_stops())

    def test_a_listed_run_of_the_last_boot_is_over(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        self.list_restarted(bench, start)
        self.assertEqual(
            [2], [again.run_number for again in bench.pop_starts()]
        )

    def test_an_answered_run_that_the_next_boot_does_not_list_is_over(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        self.list_restarted(bench, start)
        bench.reconcile(0.01)
        bench.answer_poll(start.target.worker)
        bench.store_changes()
        self.assertEqual(
            [2], [again.run_number for again in bench.pop_starts()]
        )

    def test_a_run_in_the_next_boot_has_its_full_speed(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        [task] = bench.engine.state.jobs[start.task.job].tasks()
        assert task.run is not None
        task.run.speed_percent = 50
        self.list_restarted(bench, start)
        self.assertEqual(100, task.run.speed_percent)

    def test_the_next_boot_may_hold_the_longest_lease(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        start = self.start_task(bench)
        bench.answer_start(start)
        self.list_restarted(bench, start)
        restarted_at = bench.now
        bench.answer_poll(
            start.target.worker, running=(make_listed_run(start),)
        )
        while bench.now < restarted_at + MAX_LEASE_S:
            self.assertEqual([], bench.pop_starts())
            bench.fail_poll(start.target.worker)
            bench.reconcile(0.1)

    def test_a_restored_run_in_the_next_boot_is_not_started_twice(
        self,
    ) -> None:
        bench = EngineBench()
        job = make_job('a', make_step(1))
        task = TaskRecord(0, 0, 0, 1, False, True, WORKER_1.id, Boot(1), 0, '')
        restarted = replace(WORKER_1, boot=Boot(2))
        restore_engine(
            bench.engine,
            [job],
            [ProgressRecord(job.id, JobState.RUNNING, (task,))],
            [],
            [restarted, WORKER_2],
            bench.now,
        )
        bench.reconcile()
        bench.answer_poll(WORKER_2.id)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())

    def test_a_poll_of_an_idle_worker_acknowledges_no_end_again(self) -> None:
        bench = EngineBench(WORKER_1)
        start = self.start_task(bench)
        bench.answer_start(start)
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(start, number=7),))
        bench.store_changes()
        bench.reconcile(0.2)
        self.assertEqual(7, bench.pop_polls()[-1].acked_end_number)
        bench.answer_poll(WORKER_1.id)
        bench.reconcile(5.0)
        bench.submit(make_job('b', make_step(1)))
        bench.store_changes()
        [poll] = bench.pop_polls()
        self.assertEqual(0, poll.acked_end_number)

    def test_ends_are_awaited_at_once_after_an_acknowledgement(self) -> None:
        bench = EngineBench(WORKER_1)
        [start, other] = bench.run_job(make_job('a', make_step(2)))
        running = (make_listed_run(other),)
        bench.answer_poll(WORKER_1.id, running, (make_run_end(start),))
        bench.store_changes()
        bench.reconcile(0.2)
        acknowledgement = bench.pop_polls()[-1]
        self.assertEqual(0.0, acknowledgement.wait_s)
        bench.answer_poll(WORKER_1.id, running)
        [poll] = bench.pop_polls()
        self.assertGreater(poll.wait_s, 0.0)

    def test_a_poll_after_a_failed_one_acknowledges_no_end(self) -> None:
        bench = EngineBench(WORKER_1)
        start = self.start_task(bench)
        bench.answer_start(start)
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(start, number=7),))
        bench.store_changes()
        bench.reconcile(0.2)
        self.assertEqual(7, bench.pop_polls()[-1].acked_end_number)
        bench.fail_poll(WORKER_1.id)
        bench.reconcile(1.0)
        [poll] = bench.pop_polls()
        self.assertEqual(0, poll.acked_end_number)


class OtherBootTest(unittest.TestCase):
    def test_a_gone_worker_whose_address_is_reused_ends_all_runs(self) -> None:
        bench = EngineBench(WORKER_1, WORKER_2)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [start] = bench.pop_starts()
        bench.answer_start(start)
        bench.fail_poll(start.target.worker, OrderResult.OTHER_BOOT)
        bench.store_changes()
        self.assertEqual(
            [2], [again.run_number for again in bench.pop_starts()]
        )
