"""Tasks that fill idle processors beside tasks with an objective."""

import unittest

from primroseledge.jobs.actions import RunningRun
from primroseledge.jobs.actions import SendPace
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.pacing import next_percent
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.worker import WorkerEntry
from tests.enginebench import EngineBench
from tests.enginebench import make_job
from tests.enginebench import tasks
from tests.enginebench import worker_entry

ONE = worker_entry('worker-1')
TARGET_MS = 100


class PaceTest(unittest.TestCase):
    def test_fillers_slow_in_large_steps_and_come_back_slowly(self) -> None:
        self.assertEqual(50, next_percent(100, 0.9))
        self.assertEqual(0, next_percent(25, 1.2))
        self.assertEqual(70, next_percent(50, 0.3))
        self.assertEqual(100, next_percent(90, 0.3))

    def test_between_the_bounds_nothing_changes(self) -> None:
        self.assertEqual(50, next_percent(50, 0.7))


class EngineTest(unittest.TestCase):
    def start_both(self, *workers: WorkerEntry) -> EngineBench:
        bench = EngineBench(*workers)
        lasting = {'is_long_running': True}
        serving = bench.run_job(
            make_job('a', tasks(1, target_ms=TARGET_MS, **lasting))
        )
        filling = bench.run_job(
            make_job('b', tasks(1, is_filler=True, **lasting))
        )
        self.starts = [*serving, *filling]
        return bench

    def row(self, start: SendStart, load: int) -> RunningRun:
        return RunningRun(start.task, start.run, '', 100, load)

    def see(self, bench: EngineBench, tail_ms: int) -> list[SendPace]:
        bench.settle(1.0)
        serving, filling = self.starts
        bench.answer_look(
            ONE.id,
            running=(self.row(serving, tail_ms), self.row(filling, 900)),
        )
        found = bench.take(SendPace, lambda _: True)
        return [pace for pace in found if isinstance(pace, SendPace)]

    def test_the_filler_beside_a_strained_task_is_slowed(self) -> None:
        bench = self.start_both(ONE)
        self.assertEqual([], self.see(bench, 60))
        [pace] = self.see(bench, 95)
        self.assertEqual(('b', 50), (pace.task.job, pace.percent))
        [pace] = self.see(bench, 30)
        self.assertEqual(70, pace.percent)

    def test_a_filler_goes_where_it_disturbs_nobody(self) -> None:
        self.start_both(ONE, worker_entry('worker-2'))
        workers = {start.target.worker for start in self.starts}
        self.assertEqual(2, len(workers))

    def test_a_filler_takes_memory_but_no_processors(self) -> None:
        bench = self.start_both(ONE)
        used = bench.engine.state.workers[ONE.id].used
        self.assertEqual(Resources(1000, 200, 0), used)


if __name__ == '__main__':
    unittest.main()
