"""Workers that fail or hold up what they start."""

import unittest

from primroseledge.ids import JobId
from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.suspicion import Conduct
from tests.enginebench import end_of
from tests.enginebench import EngineBench
from tests.enginebench import make_job
from tests.enginebench import running
from tests.enginebench import tasks
from tests.enginebench import worker_entry

ONE = worker_entry('worker-1')
TWO = worker_entry('worker-2')


class ConductTest(unittest.TestCase):
    def test_one_hopeless_job_condemns_nobody(self) -> None:
        conduct = Conduct()
        for _ in range(20):
            conduct.failed(JobId('a'), 10.0)
        self.assertFalse(conduct.is_suspected(10.1))

    def test_two_jobs_in_a_row_do(self) -> None:
        conduct = Conduct()
        conduct.failed(JobId('a'), 10.0)
        conduct.failed(JobId('b'), 10.0)
        self.assertTrue(conduct.is_suspected(12.9))
        self.assertFalse(conduct.is_suspected(13.1))

    def test_a_task_that_was_done_ends_the_row(self) -> None:
        conduct = Conduct()
        conduct.failed(JobId('a'), 10.0)
        conduct.done()
        conduct.failed(JobId('b'), 10.0)
        self.assertFalse(conduct.is_suspected(10.1))

    def test_suspicion_comes_back_sooner_and_for_longer(self) -> None:
        conduct = Conduct()
        conduct.failed(JobId('a'), 10.0)
        conduct.failed(JobId('b'), 10.0)
        conduct.failed(JobId('c'), 13.5)
        self.assertTrue(conduct.is_suspected(19.0))


class PlacementTest(unittest.TestCase):
    def test_a_failed_task_is_tried_elsewhere(self) -> None:
        bench = EngineBench(ONE, TWO)
        [start] = bench.run_job(make_job('a', tasks(1)))
        where = start.target.worker
        bench.answer_look(where, ends=(end_of(start, EndKind.FAILED),))
        bench.store()
        [again] = bench.starts()
        self.assertNotEqual(where, again.target.worker)

    def test_a_worker_that_fails_everything_is_left_alone(self) -> None:
        bench = EngineBench(ONE, TWO)
        number = 0
        for name in ('a', 'b'):
            for start in bench.run_job(make_job(name, tasks(2))):
                if start.target.worker == ONE.id:
                    number += 1
                    end = end_of(start, EndKind.FAILED, number)
                    bench.answer_look(ONE.id, ends=(end,))
        bench.store()
        bench.starts()
        later = bench.run_job(make_job('c', tasks(4)))
        self.assertEqual({TWO.id}, {s.target.worker for s in later})

    def test_a_task_that_stands_still_starts_elsewhere(self) -> None:
        bench = EngineBench(ONE, TWO)
        [start] = bench.run_job(make_job('a', tasks(1)))
        where = start.target.worker
        bench.answer_look(where, running=(running(start, 20),))
        bench.settle(1.0)
        bench.answer_look(where, running=(running(start, 20),))
        self.assertEqual([], bench.stops())
        bench.settle(1.0)
        bench.answer_look(where, running=(running(start, 20),))
        [stop] = bench.stops()
        bench.answer_stop(stop)
        stopped = end_of(start, EndKind.STOPPED)
        bench.answer_look(where, ends=(stopped,))
        bench.store()
        [again] = bench.starts()
        self.assertNotEqual(where, again.target.worker)

    def test_a_task_that_moves_on_is_left_alone(self) -> None:
        bench = EngineBench(ONE)
        [start] = bench.run_job(make_job('a', tasks(1)))
        for percent in (10, 20, 30):
            bench.settle(1.0)
            row = running(start, percent)
            bench.answer_look(ONE.id, running=(row,))
        self.assertEqual([], bench.stops())


if __name__ == '__main__':
    unittest.main()
