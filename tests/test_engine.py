"""Tests of the owner's decisions about jobs.

Guards against work that is started or reported before it is stored, that runs
twice, or that never starts again after a worker or an answer is lost. Each
test passes events and times to an engine through ``EngineBench`` and
checks the actions and batches that come out; no thread or network is used.
"""

import unittest

from primroseledge.dispatch.polls import POLL_INTERVAL_S
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.resources import Resources
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import Verdict
from primroseledge.workers.worker import WorkerState
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_task_record
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')
WORKER_2 = make_worker_entry('worker-2')


class StorageFirstTest(unittest.TestCase):
    def test_nothing_happens_before_it_is_stored(self) -> None:
        bench = EngineBench(WORKER_1)
        call = bench.submit(make_job('a', make_step(2)))
        bench.reconcile(0.02)
        self.assertEqual([], bench.pop_starts())
        self.assertEqual([], bench.pop_answers())
        self.assertEqual(1, len(bench.batches))
        bench.store_batch()
        bench.reconcile()
        self.assertEqual(2, len(bench.pop_starts()))
        self.assertEqual([call], [reply.call for reply in bench.pop_answers()])

    def test_first_starts_are_stored_with_the_job(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(2)))
        bench.reconcile(0.02)
        record = bench.batches[0].progress[0]
        self.assertEqual(2, sum(task.may_run for task in record.tasks))

    def test_end_is_acked_only_when_it_is_stored(self) -> None:
        bench = EngineBench(WORKER_1)
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(start),))
        worker = bench.engine.state.workers[WORKER_1.id]
        self.assertEqual(
            (1, 0), (worker.handled_end_number, worker.stored_end_number)
        )
        bench.store_changes()
        self.assertEqual(1, worker.stored_end_number)
        bench.reconcile(POLL_INTERVAL_S)
        last = bench.pop_polls()[-1]
        self.assertEqual(1, last.acked_end_number)

    def test_completed_is_reported_only_when_it_is_stored(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1))
        [start] = bench.run_job(job)
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(start),))
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.RUNNING, answer.state)
        bench.store_changes()
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.COMPLETED, answer.state)

    def test_new_jobs_are_refused_when_the_store_does_not_answer(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(1)))
        bench.reconcile(0.02)
        late = bench.submit(make_job('b', make_step(1)))
        bench.reconcile(1.1)
        [reply] = bench.pop_answers()
        self.assertEqual(
            (late, Verdict.REFUSED), (reply.call, reply.answer.verdict)
        )
        bench.store_batch()
        bench.store_changes()
        self.assertEqual({'a'}, {s.task.job for s in bench.pop_starts()})


class StepsTest(unittest.TestCase):
    def test_a_step_starts_when_the_earlier_ones_are_done(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(2), make_step(1, after=(0,)))
        first, second = bench.run_job(job)
        bench.answer_poll(
            WORKER_1.id,
            running=(make_listed_run(second),),
            ends=(make_run_end(first),),
        )
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(second, number=2),))
        bench.store_changes()
        self.assertEqual([1], [s.task.step for s in bench.pop_starts()])

    def test_a_job_fails_after_its_attempts(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1))
        [start] = bench.run_job(job)
        bench.answer_poll(
            WORKER_1.id, ends=(make_run_end(start, EndKind.FAILED),)
        )
        bench.store_changes()
        [again] = bench.pop_starts()
        self.assertEqual(2, again.run_number)
        bench.answer_start(again)
        failed = make_run_end(again, EndKind.FAILED, number=2)
        bench.answer_poll(WORKER_1.id, ends=(failed,))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.FAILED, answer.state)

    def test_long_running_tasks_start_again_however_they_end(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1, is_long_running=True))
        [start] = bench.run_job(job)
        for number, kind in enumerate(
            (EndKind.FAILED, EndKind.FAILED, EndKind.FAILED, EndKind.DONE), 1
        ):
            bench.answer_poll(
                WORKER_1.id, ends=(make_run_end(start, kind, number),)
            )
            bench.store_changes()
            [start] = bench.pop_starts()
            bench.answer_start(start)
            self.assertEqual(number + 1, start.run_number)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(5, 4000, is_gang=True)))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.list_workers(WORKER_1, WORKER_2)
        bench.answer_poll(WORKER_2.id)
        bench.store_changes()
        starts = bench.pop_starts()
        self.assertEqual(5, len(starts))
        self.assertEqual({1}, {start.run_number for start in starts})

    def test_a_workspace_stays_within_its_limit(self) -> None:
        bench = EngineBench(WORKER_1, limit=Resources(3000, 0, 0))
        starts = bench.run_job(make_job('a', make_step(5)))
        self.assertEqual(3, len(starts))
        bench.answer_poll(
            WORKER_1.id,
            running=(make_listed_run(starts[1]), make_listed_run(starts[2])),
            ends=(make_run_end(starts[0]),),
        )
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))


class CancelTest(unittest.TestCase):
    def test_running_tasks_are_stopped(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1))
        [start] = bench.run_job(job)
        call = bench.cancel(job)
        bench.store_changes()
        self.assertIn(call, [reply.call for reply in bench.pop_answers()])
        [stop] = bench.pop_stops()
        self.assertEqual(
            (start.task, start.run_number), (stop.task, stop.run_number)
        )

    def test_a_job_cancelled_before_submission_never_runs(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1))
        bench.cancel(job)
        bench.store_changes()
        self.assertIs(
            Verdict.NO_SUCH_JOB, bench.pop_answers()[0].answer.verdict
        )
        bench.submit(job)
        bench.store_changes()
        self.assertIs(
            Verdict.NO_SUCH_JOB, bench.pop_answers()[0].answer.verdict
        )
        self.assertEqual([], bench.pop_starts())

    def test_a_start_that_waits_for_the_store_is_dropped(self) -> None:
        bench = EngineBench(WORKER_1)
        job = make_job('a', make_step(1))
        bench.submit(job)
        bench.reconcile(0.02)
        bench.cancel(job)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual({}, bench.engine.state.workers[WORKER_1.id].tasks)


class UnresponsiveWorkerTest(unittest.TestCase):
    def test_polls_of_an_unresponsive_worker_do_not_renew_its_lease(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1)
        bench.run_job(make_job('a', make_step(1)))
        bench.pop_polls()
        bench.fail_poll(WORKER_1.id)
        bench.reconcile(0.5)
        [poll] = bench.pop_polls()
        self.assertIsNone(poll.deadline_ms)

    def test_its_tasks_start_elsewhere_once_its_lease_has_expired(
        self,
    ) -> None:
        bench = EngineBench(WORKER_1)
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.answer_poll(WORKER_1.id, running=(make_listed_run(start),))
        bench.list_workers(WORKER_1, WORKER_2)
        bench.answer_poll(WORKER_2.id)
        worker = bench.engine.state.workers[WORKER_1.id]
        expires_at = worker.lease_clock.expires_at()
        while bench.now < expires_at - 0.2:
            bench.fail_poll(WORKER_1.id)
            bench.reconcile(0.2)
            self.assertEqual([], bench.pop_starts())
        bench.reconcile(0.5)
        bench.store_changes()
        [again] = bench.pop_starts()
        self.assertEqual(
            (WORKER_2.id, 2), (again.target.worker, again.run_number)
        )


class UnansweredStartTest(unittest.TestCase):
    def test_the_same_run_is_sent_again(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [start] = bench.pop_starts()
        bench.answer_start(start, OrderResult.UNANSWERED)
        [again] = bench.pop_starts()
        self.assertEqual(
            (start.run_number, start.deadline_ms),
            (again.run_number, again.deadline_ms),
        )

    def leave_unanswered(self, bench: EngineBench) -> None:
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        for _ in range(3):
            [start] = bench.pop_starts()
            bench.answer_start(start, OrderResult.UNANSWERED)
        self.assertEqual([], bench.pop_starts())

    def test_a_run_that_a_poll_does_not_list_is_stopped(self) -> None:
        bench = EngineBench(WORKER_1)
        self.leave_unanswered(bench)
        self.assertEqual([], bench.pop_stops())
        bench.reconcile(0.1)
        bench.answer_poll(WORKER_1.id)
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        bench.reconcile(0.1)
        bench.answer_poll(WORKER_1.id)
        bench.store_changes()
        [again] = bench.pop_starts()
        self.assertEqual(2, again.run_number)

    def test_repeated_stops_do_not_delay_the_decision(self) -> None:
        bench = EngineBench(WORKER_1)
        self.leave_unanswered(bench)
        bench.reconcile(0.1)
        bench.answer_poll(WORKER_1.id)
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        poll_sent_at = bench.now + 0.1
        bench.reconcile(1.0)
        bench.answer_stop(stop)
        bench.answer_poll(WORKER_1.id, sent_at=poll_sent_at)
        bench.store_changes()
        self.assertEqual(
            [2], [start.run_number for start in bench.pop_starts()]
        )

    def test_a_run_that_a_poll_lists_continues(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(1, is_long_running=True)))
        bench.store_changes()
        [start] = bench.pop_starts()
        for _ in range(3):
            bench.answer_start(start, OrderResult.UNANSWERED)
        bench.pop_starts()
        bench.reconcile(0.1)
        bench.answer_poll(WORKER_1.id, running=(make_listed_run(start),))
        bench.reconcile(1.0)
        self.assertEqual([], bench.pop_stops())


class RecoveryTest(unittest.TestCase):
    def make_record(self, state: JobState, worker: str) -> ProgressRecord:
        entry = make_worker_entry(worker)
        task = make_task_record(entry, 3, is_bound=True)
        return ProgressRecord(make_job('a').id, state, (task,))

    def create_restored_bench(
        self, state: JobState, worker: str
    ) -> EngineBench:
        bench = EngineBench()
        restore_engine(
            bench.engine,
            [make_job('a', make_step(1))],
            [self.make_record(state, worker)],
            [],
            [WORKER_1],
            bench.now,
        )
        bench.reconcile()
        bench.answer_poll(WORKER_1.id)
        return bench

    def test_an_unlisted_worker_gets_no_order(self) -> None:
        bench = self.create_restored_bench(JobState.CANCELLED, 'worker-2')
        bench.reconcile(1.0)
        self.assertEqual([], bench.pop_stops())

    def test_a_run_on_an_unlisted_worker_starts_again_after_the_wait(
        self,
    ) -> None:
        bench = self.create_restored_bench(JobState.QUEUED, 'worker-2')
        bench.reconcile(6.7)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.reconcile(0.5)
        bench.store_changes()
        [start] = bench.pop_starts()
        self.assertEqual(
            (WORKER_1.id, 4), (start.target.worker, start.run_number)
        )

    def test_a_run_that_its_worker_does_not_list_starts_again(self) -> None:
        bench = self.create_restored_bench(JobState.QUEUED, 'worker-1')
        bench.reconcile(0.1)
        bench.answer_poll(WORKER_1.id)
        bench.store_changes()
        [start] = bench.pop_starts()
        self.assertEqual(4, start.run_number)

    def test_a_run_that_its_worker_lists_continues(self) -> None:
        bench = EngineBench()
        job = make_job('a', make_step(1))
        restore_engine(
            bench.engine,
            [job],
            [self.make_record(JobState.QUEUED, 'worker-1')],
            [],
            [WORKER_1],
            bench.now,
        )
        bench.reconcile(0.1)
        task = next(bench.engine.state.jobs[job.id].tasks())
        row = ListedRun(task.key, 3, '', 100, 0)
        bench.answer_poll(WORKER_1.id, running=(row,))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual([], bench.pop_stops())


class RefusedStartTest(unittest.TestCase):
    def test_a_worker_without_free_capacity_is_retried_later(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [start] = bench.pop_starts()
        bench.answer_start(start, OrderResult.NO_CAPACITY)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.reconcile(1.2)
        bench.store_changes()
        self.assertEqual(
            [2], [start.run_number for start in bench.pop_starts()]
        )


class DrainingWorkerTest(unittest.TestCase):
    def test_it_gets_no_new_tasks(self) -> None:
        draining = make_worker_entry('worker-1', state=WorkerState.DRAINING)
        bench = EngineBench(draining)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())


if __name__ == '__main__':
    unittest.main()
