"""Throttling and placement of best-effort tasks.

Guards against best-effort tasks that slow a task with a response-time
objective on the same worker, either because their speed is not reduced
in time or because they are placed there without need.
"""

import unittest

from primroseledge.dispatch.throttling import next_speed_percent
from primroseledge.jobs.resources import Resources
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')
TARGET_MS = 100


class ThrottleTest(unittest.TestCase):
    def test_speed_drops_in_large_steps_and_is_restored_slowly(self) -> None:
        self.assertEqual(50, next_speed_percent(100, 0.9))
        self.assertEqual(0, next_speed_percent(25, 1.2))
        self.assertEqual(70, next_speed_percent(50, 0.3))
        self.assertEqual(100, next_speed_percent(90, 0.3))

    def test_speed_is_unchanged_between_the_thresholds(self) -> None:
        self.assertEqual(50, next_speed_percent(50, 0.7))


class EngineThrottleTest(unittest.TestCase):
    def start_both(self, *workers: WorkerEntry) -> EngineBench:
        bench = EngineBench(*workers)
        long_running = {'is_long_running': True}
        serving = bench.run_job(
            make_job('a', make_step(1, target_ms=TARGET_MS, **long_running))
        )
        best_effort = bench.run_job(
            make_job('b', make_step(1, is_best_effort=True, **long_running))
        )
        self.starts = [*serving, *best_effort]
        return bench

    def make_listed_run(self, start: SendStart, load: int) -> ListedRun:
        return ListedRun(start.task, start.run_number, '', 100, load)

    def poll_with_latency(
        self, bench: EngineBench, tail_latency_ms: int
    ) -> list[SendThrottle]:
        bench.reconcile(1.0)
        serving, best_effort = self.starts
        bench.answer_poll(
            WORKER_1.id,
            running=(
                self.make_listed_run(serving, tail_latency_ms),
                self.make_listed_run(best_effort, 900),
            ),
        )
        actions = bench.pop_actions(SendThrottle, lambda _: True)
        return [t for t in actions if isinstance(t, SendThrottle)]

    def test_best_effort_task_beside_a_slow_task_is_throttled(self) -> None:
        bench = self.start_both(WORKER_1)
        self.assertEqual([], self.poll_with_latency(bench, 60))
        [throttle] = self.poll_with_latency(bench, 95)
        self.assertEqual(
            ('b', 50), (throttle.task.job, throttle.speed_percent)
        )
        [throttle] = self.poll_with_latency(bench, 30)
        self.assertEqual(70, throttle.speed_percent)

    def answer_throttle(
        self, bench: EngineBench, order: SendThrottle, result: OrderResult
    ) -> None:
        now = bench.now
        ended = OrderEnded(order, result, bench.clock_ms(), now, now)
        bench.engine.handle_order_ended(ended, now)

    def test_a_throttle_that_was_not_answered_is_sent_again(self) -> None:
        bench = self.start_both(WORKER_1)
        [throttle] = self.poll_with_latency(bench, 95)
        self.answer_throttle(bench, throttle, OrderResult.UNANSWERED)
        [again] = self.poll_with_latency(bench, 70)
        self.assertEqual(throttle, again)
        self.answer_throttle(bench, again, OrderResult.DONE)
        self.assertEqual([], self.poll_with_latency(bench, 70))

    def test_a_run_that_a_previous_owner_throttled_regains_its_speed(
        self,
    ) -> None:
        before = self.start_both(WORKER_1)
        bench = EngineBench()
        jobs = before.engine.state.jobs.values()
        restore_engine(
            bench.engine,
            [job.accepted for job in jobs],
            [job.to_record() for job in jobs],
            [],
            [WORKER_1],
            bench.now,
        )
        [throttle] = self.poll_with_latency(bench, 30)
        self.assertEqual(100, throttle.speed_percent)
        self.answer_throttle(bench, throttle, OrderResult.DONE)
        self.assertEqual([], self.poll_with_latency(bench, 30))

    def test_best_effort_task_avoids_workers_with_an_objective(self) -> None:
        self.start_both(WORKER_1, make_worker_entry('worker-2'))
        workers = {start.target.worker for start in self.starts}
        self.assertEqual(2, len(workers))

    def test_best_effort_task_counts_memory_but_no_processors(self) -> None:
        bench = self.start_both(WORKER_1)
        used = bench.engine.state.workers[WORKER_1.id].used_capacity
        self.assertEqual(Resources(1000, 200, 0), used)


if __name__ == '__main__':
    unittest.main()
