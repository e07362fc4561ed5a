"""The owner's decisions about jobs, event by event."""

import unittest

from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import RunningRun
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.looks import END_PAUSE_S
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.worker import WorkerState
from primroseledge.owner.recovery import restore
from tests.enginebench import end_of
from tests.enginebench import EngineBench
from tests.enginebench import make_job
from tests.enginebench import running
from tests.enginebench import tasks
from tests.enginebench import worker_entry

ONE = worker_entry('worker-1')
TWO = worker_entry('worker-2')


class StorageFirstTest(unittest.TestCase):
    def test_nothing_happens_before_it_is_stored(self) -> None:
        bench = EngineBench(ONE)
        call = bench.submit(make_job('a', tasks(2)))
        bench.settle(0.02)
        self.assertEqual([], bench.starts())
        self.assertEqual([], bench.replies())
        self.assertEqual(1, len(bench.batches))
        bench.engine.batch_stored(bench.now)
        bench.settle()
        self.assertEqual(2, len(bench.starts()))
        self.assertEqual([call], [reply.call for reply in bench.replies()])

    def test_first_starts_are_stored_with_the_job(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(2)))
        bench.settle(0.02)
        record = bench.batches[0].progress[0]
        self.assertEqual(2, sum(task.may_run for task in record.tasks))

    def test_worker_forgets_an_end_only_when_it_is_stored(self) -> None:
        bench = EngineBench(ONE)
        [start] = bench.run_job(make_job('a', tasks(1)))
        bench.answer_look(ONE.id, ends=(end_of(start),))
        worker = bench.engine.state.workers[ONE.id]
        self.assertEqual((1, 0), (worker.seen_end, worker.stored_end))
        bench.store()
        self.assertEqual(1, worker.stored_end)
        bench.settle(END_PAUSE_S)
        last = bench.looks()[-1]
        self.assertEqual(1, last.stored_end)

    def test_completed_is_told_only_when_it_is_stored(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1))
        [start] = bench.run_job(job)
        bench.answer_look(ONE.id, ends=(end_of(start),))
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.RUNNING, answer.state)
        bench.store()
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.COMPLETED, answer.state)

    def test_new_jobs_are_refused_when_the_store_is_silent(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(1)))
        bench.settle(0.02)
        late = bench.submit(make_job('b', tasks(1)))
        bench.settle(1.1)
        [reply] = bench.replies()
        self.assertEqual(
            (late, Verdict.REFUSED), (reply.call, reply.answer.verdict)
        )
        bench.engine.batch_stored(bench.now)
        bench.store()
        self.assertEqual({'a'}, {s.task.job for s in bench.starts()})


class StepsTest(unittest.TestCase):
    def test_a_step_starts_when_the_earlier_ones_are_done(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(2), tasks(1, after=(0,)))
        first, second = bench.run_job(job)
        bench.answer_look(
            ONE.id, running=(running(second),), ends=(end_of(first),)
        )
        bench.store()
        self.assertEqual([], bench.starts())
        bench.answer_look(ONE.id, ends=(end_of(second, number=2),))
        bench.store()
        self.assertEqual([1], [s.task.step for s in bench.starts()])

    def test_a_job_fails_after_its_attempts(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1))
        [start] = bench.run_job(job)
        bench.answer_look(ONE.id, ends=(end_of(start, EndKind.FAILED),))
        bench.store()
        [again] = bench.starts()
        self.assertEqual(2, again.run)
        bench.answer_start(again)
        failed = end_of(again, EndKind.FAILED, number=2)
        bench.answer_look(ONE.id, ends=(failed,))
        bench.store()
        self.assertEqual([], bench.starts())
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.FAILED, answer.state)

    def test_long_running_tasks_start_again_however_they_end(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1, is_long_running=True))
        [start] = bench.run_job(job)
        for number, kind in enumerate(
            (EndKind.FAILED, EndKind.FAILED, EndKind.FAILED, EndKind.DONE), 1
        ):
            bench.answer_look(ONE.id, ends=(end_of(start, kind, number),))
            bench.store()
            [start] = bench.starts()
            bench.answer_start(start)
            self.assertEqual(number + 1, start.run)

    def test_a_gang_starts_whole_or_not_at_all(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(5, 4000, is_gang=True)))
        bench.store()
        self.assertEqual([], bench.starts())
        bench.list_workers(ONE, TWO)
        bench.answer_look(TWO.id)
        bench.store()
        starts = bench.starts()
        self.assertEqual(5, len(starts))
        self.assertEqual({1}, {start.run for start in starts})

    def test_a_workspace_stays_within_its_limit(self) -> None:
        bench = EngineBench(ONE, limit=Resources(3000, 0, 0))
        starts = bench.run_job(make_job('a', tasks(5)))
        self.assertEqual(3, len(starts))
        bench.answer_look(
            ONE.id,
            running=(running(starts[1]), running(starts[2])),
            ends=(end_of(starts[0]),),
        )
        bench.store()
        self.assertEqual(1, len(bench.starts()))


class CancelTest(unittest.TestCase):
    def test_running_tasks_are_stopped(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1))
        [start] = bench.run_job(job)
        call = bench.cancel(job)
        bench.store()
        self.assertIn(call, [reply.call for reply in bench.replies()])
        [stop] = bench.stops()
        self.assertEqual((start.task, start.run), (stop.task, stop.run))

    def test_a_job_cancelled_before_it_came_never_runs(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1))
        bench.cancel(job)
        bench.store()
        self.assertIs(Verdict.NO_SUCH_JOB, bench.replies()[0].answer.verdict)
        bench.submit(job)
        bench.store()
        self.assertIs(Verdict.NO_SUCH_JOB, bench.replies()[0].answer.verdict)
        self.assertEqual([], bench.starts())

    def test_a_start_that_waits_for_the_store_is_dropped(self) -> None:
        bench = EngineBench(ONE)
        job = make_job('a', tasks(1))
        bench.submit(job)
        bench.settle(0.02)
        bench.cancel(job)
        bench.store()
        self.assertEqual([], bench.starts())
        self.assertEqual({}, bench.engine.state.workers[ONE.id].tasks)


class SilentWorkerTest(unittest.TestCase):
    def test_looks_at_a_silent_worker_renew_nothing(self) -> None:
        bench = EngineBench(ONE)
        bench.run_job(make_job('a', tasks(1)))
        bench.looks()
        bench.fail_look(ONE.id)
        bench.settle(0.5)
        [look] = bench.looks()
        self.assertIsNone(look.deadline_ms)

    def test_its_tasks_start_elsewhere_once_its_lease_is_over(self) -> None:
        bench = EngineBench(ONE)
        [start] = bench.run_job(make_job('a', tasks(1)))
        bench.list_workers(ONE, TWO)
        bench.answer_look(TWO.id)
        lapses_at = bench.engine.state.workers[ONE.id].clock.lapses_at()
        while bench.now < lapses_at - 0.2:
            bench.fail_look(ONE.id)
            bench.settle(0.2)
            self.assertEqual([], bench.starts())
        bench.settle(0.5)
        bench.store()
        [again] = bench.starts()
        self.assertEqual((TWO.id, 2), (again.target.worker, again.run))

    def test_a_new_boot_ends_its_runs_at_once(self) -> None:
        bench = EngineBench(ONE)
        bench.run_job(make_job('a', tasks(1)))
        reborn = worker_entry('worker-1', boot=2)
        bench.list_workers(reborn)
        bench.answer_look(ONE.id)
        bench.store()
        [again] = bench.starts()
        self.assertEqual((2, 2), (again.target.boot, again.run))


class UnansweredStartTest(unittest.TestCase):
    def test_the_same_run_is_sent_again(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        [start] = bench.starts()
        bench.answer_start(start, OrderResult.UNANSWERED)
        [again] = bench.starts()
        self.assertEqual(
            (start.run, start.deadline_ms), (again.run, again.deadline_ms)
        )

    def leave_unanswered(self, bench: EngineBench) -> None:
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        for _ in range(3):
            [start] = bench.starts()
            bench.answer_start(start, OrderResult.UNANSWERED)
        self.assertEqual([], bench.starts())

    def test_a_run_that_a_look_does_not_list_is_stopped(self) -> None:
        bench = EngineBench(ONE)
        self.leave_unanswered(bench)
        self.assertEqual([], bench.stops())
        bench.settle(0.1)
        bench.answer_look(ONE.id)
        [stop] = bench.stops()
        bench.answer_stop(stop)
        bench.settle(0.1)
        bench.answer_look(ONE.id)
        bench.store()
        [again] = bench.starts()
        self.assertEqual(2, again.run)

    def test_repeated_stops_do_not_put_the_decision_off(self) -> None:
        bench = EngineBench(ONE)
        self.leave_unanswered(bench)
        bench.settle(0.1)
        bench.answer_look(ONE.id)
        [stop] = bench.stops()
        bench.answer_stop(stop)
        asked_at = bench.now + 0.1
        bench.settle(1.0)
        bench.answer_stop(stop)
        bench.answer_look(ONE.id, sent_at=asked_at)
        bench.store()
        self.assertEqual([2], [start.run for start in bench.starts()])

    def test_a_run_that_a_look_lists_goes_on(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(1, is_long_running=True)))
        bench.store()
        [start] = bench.starts()
        for _ in range(3):
            bench.answer_start(start, OrderResult.UNANSWERED)
        bench.starts()
        bench.settle(0.1)
        bench.answer_look(ONE.id, running=(running(start),))
        bench.settle(1.0)
        self.assertEqual([], bench.stops())


class RecoveryTest(unittest.TestCase):
    def record(self, state: JobState, worker: str) -> ProgressRecord:
        entry = worker_entry(worker)
        task = TaskRecord(0, 0, 0, 3, False, True, entry.id, entry.boot, 0, '')
        return ProgressRecord(make_job('a').id, state, (task,))

    def restored(self, state: JobState, worker: str) -> EngineBench:
        bench = EngineBench()
        restore(
            bench.engine,
            [make_job('a', tasks(1))],
            [self.record(state, worker)],
            [],
            [ONE],
            bench.now,
        )
        bench.settle()
        bench.answer_look(ONE.id)
        return bench

    def test_an_unlisted_worker_gets_no_order(self) -> None:
        bench = self.restored(JobState.CANCELLED, 'worker-2')
        bench.settle(1.0)
        self.assertEqual([], bench.stops())

    def test_its_run_is_waited_for(self) -> None:
        bench = self.restored(JobState.QUEUED, 'worker-2')
        bench.settle(6.7)
        bench.store()
        self.assertEqual([], bench.starts())
        bench.settle(0.5)
        bench.store()
        [start] = bench.starts()
        self.assertEqual((ONE.id, 4), (start.target.worker, start.run))

    def test_a_run_that_its_worker_does_not_list_starts_again(self) -> None:
        bench = self.restored(JobState.QUEUED, 'worker-1')
        bench.settle(0.1)
        bench.answer_look(ONE.id)
        bench.store()
        [start] = bench.starts()
        self.assertEqual(4, start.run)

    def test_a_run_that_its_worker_lists_goes_on(self) -> None:
        bench = EngineBench()
        job = make_job('a', tasks(1))
        restore(
            bench.engine,
            [job],
            [self.record(JobState.QUEUED, 'worker-1')],
            [],
            [ONE],
            bench.now,
        )
        bench.settle(0.1)
        task = next(bench.engine.state.jobs[job.id].tasks())
        row = RunningRun(task.key, 3, '', 100, 0)
        bench.answer_look(ONE.id, running=(row,))
        bench.store()
        self.assertEqual([], bench.starts())
        self.assertEqual([], bench.stops())


class RefusedStartTest(unittest.TestCase):
    def test_a_worker_without_room_is_tried_again_later(self) -> None:
        bench = EngineBench(ONE)
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        [start] = bench.starts()
        bench.answer_start(start, OrderResult.NO_ROOM)
        bench.store()
        self.assertEqual([], bench.starts())
        bench.settle(1.2)
        bench.store()
        self.assertEqual([2], [start.run for start in bench.starts()])


class DrainingWorkerTest(unittest.TestCase):
    def test_it_gets_no_new_tasks(self) -> None:
        draining = worker_entry('worker-1', state=WorkerState.DRAINING)
        bench = EngineBench(draining)
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        self.assertEqual([], bench.starts())


if __name__ == '__main__':
    unittest.main()
