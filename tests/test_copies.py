"""Copies of tasks: when they start, and what the ends of both runs do.

Guards against a copy that takes capacity which others wait for, that counts
twice, or that is lost or left running when something fails halfway.
"""

import unittest

from msgspec import json
from msgspec import structs

from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.runtimes import MIN_RUNS
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE
from tests.engine_bench import WORKSPACE

DUE_S = 1.6
"""Time after which a task of 1 s is copied: 1.5 medians, and a pass."""

STEP = make_step(1, image='resize', is_speculative=True)
JOB = make_job('a', STEP, make_step(1, after=(0,)))


class CopyBench(EngineBench):
    """Three workers, and an owner that knows that ``STEP`` takes 1 s."""

    def __init__(self, limit: int = 0) -> None:
        names = ('worker-1', 'worker-11', 'worker-2')
        self.last_end = dict.fromkeys(map(WorkerId, names), 0)
        entries = map(make_worker_entry, names)
        super().__init__(*entries, limit=Resources(limit, 0, 0))
        for _ in range(MIN_RUNS):
            self.engine.state.runtimes.record(
                STEP, JOB, SERVICE, 1000.0, self.now
            )

    def list_runs(self, *starts: SendStart) -> None:
        for worker in self.last_end:
            running = [s for s in starts if s.target.worker == worker]
            self.answer_poll(worker, tuple(map(make_listed_run, running)))

    def run_until_due(self, *starts: SendStart) -> list[SendStart]:
        """List runs until they are due for a copy; return the new starts."""
        for _ in range(4):
            self.reconcile(DUE_S / 4)
            self.list_runs(*starts)
        return self.stored_starts()

    def stored_starts(self) -> list[SendStart]:
        self.store_changes()
        return self.pop_starts()

    def copies_of(self, step: StepSpec) -> int:
        starts = self.run_job(make_job('a', step))
        return len(self.run_until_due(*starts))

    def end(self, start: SendStart, kind: EndKind = EndKind.DONE) -> None:
        worker = start.target.worker
        self.last_end[worker] += 1
        end = make_run_end(start, kind, self.last_end[worker])
        self.answer_poll(worker, ends=(end,))

    def restart_worker(self, worker: WorkerId) -> None:
        self.fail_poll(worker, OrderResult.OTHER_BOOT, boot=2)
        self.last_end[worker] = 0

    def check_usage(self, test: unittest.TestCase, cpu_millis: int) -> None:
        state = self.engine.state
        workers = [w.used_capacity.cpu_millis for w in state.workers.values()]
        usage = state.workspace_usage(WORKSPACE).cpu_millis
        test.assertEqual((cpu_millis, cpu_millis), (usage, sum(workers)))

    def stopped(self) -> set[tuple[WorkerId, int]]:
        return {(s.target.worker, s.run_number) for s in self.pop_stops()}


def run_of(start: SendStart) -> tuple[WorkerId, int]:
    return start.target.worker, start.run_number


class StartOfCopiesTest(unittest.TestCase):
    def test_long_task_gets_one_copy_in_another_rack(self) -> None:
        bench = CopyBench()
        step = structs.replace(STEP, data_rack='rack-1')
        [start] = bench.run_job(make_job('a', step))
        [copy] = bench.run_until_due(start)
        self.assertEqual(('worker-2', 2), run_of(copy))
        bench.answer_start(copy)
        self.assertEqual([], bench.run_until_due(start, copy))

    def test_no_copy_where_none_is_allowed_or_the_kind_unknown(self) -> None:
        for change in (
            {'is_speculative': False},
            {'image': 'unknown'},
            {'is_gang': True},
            {'is_long_running': True},
            {'is_best_effort': True},
        ):
            with self.subTest(change=change):
                step = structs.replace(STEP, **change)
                self.assertEqual(0, CopyBench().copies_of(step))

    def test_no_copy_takes_what_a_step_waits_for(self) -> None:
        bench = CopyBench()
        bench.run_job(make_job('fits nowhere', make_step(1, 17_000)))
        [start] = bench.run_job(JOB)
        # Three of these tasks run, and one core is free beside two of them.
        waiting = make_job('b', make_step(4, 15_000))
        running = [start, *bench.run_job(waiting)]
        self.assertEqual([], bench.run_until_due(*running))
        bench.cancel(waiting)
        self.assertEqual(1, len(bench.run_until_due(*running)))

    def test_copies_are_bounded_by_tasks_and_by_the_limit(self) -> None:
        step = structs.replace(STEP, count=12)
        self.assertEqual(1, CopyBench().copies_of(step))
        self.assertEqual(0, CopyBench(limit=1900).copies_of(STEP))
        self.assertEqual(1, CopyBench(limit=2000).copies_of(STEP))

    def test_no_copy_with_one_attempt_left(self) -> None:
        bench = CopyBench()
        [start] = bench.run_job(JOB)
        bench.end(start, EndKind.FAILED)
        [again] = bench.stored_starts()
        bench.answer_start(again)
        self.assertEqual([], bench.run_until_due(again))

    def test_no_copy_in_quarantine(self) -> None:
        bench = CopyBench()
        [start] = bench.run_job(JOB)
        for worker in bench.engine.state.workers.values():
            worker.quarantine.ends_at = bench.now + 2.0
        self.assertEqual([], bench.run_until_due(start))
        self.assertEqual(1, len(bench.run_until_due(start)))


class TwoRunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = CopyBench()
        [self.start] = self.bench.run_job(JOB)
        [self.copy] = self.bench.run_until_due(self.start)
        self.bench.answer_start(self.copy)
        self.bench.list_runs(self.start, self.copy)
        self.bench.check_usage(self, 2000)
        self.task = next(self.bench.engine.state.jobs[JOB.id].tasks())

    def test_first_done_counts_and_the_other_run_is_stopped(self) -> None:
        for order in (1, -1):
            self.setUp()
            one, other = (self.start, self.copy)[::order]
            self.bench.end(one)
            self.assertEqual({run_of(other)}, self.bench.stopped())
            # The stop comes too late.
            kind = EndKind.DONE if order > 0 else EndKind.FAILED
            self.bench.end(other, kind)
            [next_step] = self.bench.stored_starts()
            self.assertEqual(1, next_step.task.step)
            self.bench.check_usage(self, 1000)
            step = self.bench.engine.state.jobs[JOB.id].steps[0, 0]
            self.assertEqual((1, 0), (step.done_count, self.task.failures))

    def test_failed_run_is_one_attempt_and_the_other_goes_on(self) -> None:
        for order in (1, -1):
            self.setUp()
            one, other = (self.start, self.copy)[::order]
            self.bench.end(one, EndKind.FAILED)
            self.assertEqual([], self.bench.stored_starts())
            self.bench.check_usage(self, 1000)
            self.assertEqual(1, self.task.failures)
            self.bench.end(other, EndKind.FAILED)
            self.bench.store_changes()
            state = self.bench.engine.find_state(JOB.id).state
            self.assertIs(JobState.FAILED, state)

    def test_task_of_a_lost_worker_goes_on_with_its_copy(self) -> None:
        self.bench.restart_worker(self.start.target.worker)
        self.assertEqual([], self.bench.stored_starts())
        self.bench.check_usage(self, 1000)
        self.bench.end(self.copy)
        [next_step] = self.bench.stored_starts()
        self.assertEqual(1, next_step.task.step)

    def test_late_end_of_a_lost_copy_is_ignored(self) -> None:
        self.bench.restart_worker(self.copy.target.worker)
        self.bench.end(self.copy)
        self.assertFalse(self.task.is_done)
        assert self.task.run is not None
        self.assertEqual(self.start.run_number, self.task.run.number)

    def test_cancel_stops_both_runs(self) -> None:
        self.bench.cancel(JOB)
        self.bench.reconcile()
        both = {run_of(self.start), run_of(self.copy)}
        self.assertEqual(both, self.bench.stopped())
        self.bench.end(self.start, EndKind.STOPPED)
        self.bench.end(self.copy, EndKind.STOPPED)
        self.bench.check_usage(self, 0)

    def test_end_is_not_acknowledged_while_the_copy_may_start(self) -> None:
        bench = CopyBench()
        [start] = bench.run_job(JOB)
        [copy] = bench.run_until_due(start)
        record = bench.batches[-1].progress[0].tasks[0]
        self.assertEqual([1, 2], [run.number for run in record.runs])
        bench.end(start)
        bench.answer_start(copy, OrderResult.UNANSWERED)
        bench.store_changes()
        worker = bench.engine.state.workers[start.target.worker]
        self.assertEqual(0, worker.stored_end_number)
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        bench.store_changes()
        self.assertEqual(1, worker.stored_end_number)

    def test_copy_that_was_not_sent_is_withdrawn(self) -> None:
        bench = CopyBench()
        [start] = bench.run_job(JOB)
        bench.reconcile(DUE_S)
        bench.reconcile(0.02)
        self.assertEqual(1, len(bench.engine.state.copies))
        bench.end(start)
        self.assertEqual([1], [s.task.step for s in bench.stored_starts()])
        bench.check_usage(self, 1000)


class TakeoverTest(TwoRunsTest):
    def take_over(self) -> None:
        """Replace the bench by that of an owner that has read the record."""
        record = self.bench.engine.state.jobs[JOB.id].to_record()
        record = json.decode(json.encode(record), type=ProgressRecord)
        entries = self.bench.entries
        self.bench = CopyBench()
        engine, now = self.bench.engine, self.bench.now
        restore_engine(engine, [JOB], [record], [], entries, now)
        self.bench.reconcile()

    def setUp(self) -> None:
        """Have all tests of two runs played by a new owner as well."""
        super().setUp()
        self.take_over()
        self.bench.list_runs(self.start, self.copy)
        self.assertEqual([], self.bench.stored_starts())
        self.assertEqual([], self.bench.pop_stops())
        self.bench.check_usage(self, 2000)
        self.task = next(self.bench.engine.state.jobs[JOB.id].tasks())

    def test_rest_of_a_done_task_is_stopped(self) -> None:
        self.bench.end(self.start)
        self.take_over()
        self.bench.list_runs(self.copy)
        self.assertEqual({run_of(self.copy)}, self.bench.stopped())

    def test_run_older_than_a_failed_copy_goes_on(self) -> None:
        self.bench.end(self.copy, EndKind.FAILED)
        self.take_over()
        self.bench.list_runs(self.start)
        self.assertEqual([], self.bench.stored_starts())
        self.assertEqual([], self.bench.pop_stops())

    def test_previous_version_reads_the_newest_run(self) -> None:
        fields = json.decode(json.encode(self.task.to_record()))
        number, _, may_run, worker = fields[3:7]
        self.assertEqual((*run_of(self.copy), True), (worker, number, may_run))


if __name__ == '__main__':
    unittest.main()
