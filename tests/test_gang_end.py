"""The end of a gang, which is done when one of its members is.

Guards against a finished gang that fails its job by what its other members do.
"""

import unittest

from primroseledge.jobs.progress import JobState
from primroseledge.scheduling.actions import EndKind
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER_1 = make_worker_entry('worker-1')


class GangEndTest(unittest.TestCase):
    def test_late_failures_of_members_fail_nothing(self) -> None:
        bench = EngineBench(WORKER_1)
        gang = make_step(3, is_gang=True)
        job = make_job('a', gang, make_step(1, after=(0,)))
        first, *others = bench.run_job(job)
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(first),))
        failed = [
            make_run_end(start, EndKind.FAILED, number)
            for number, start in enumerate(others, 2)
        ]
        bench.answer_poll(WORKER_1.id, ends=tuple(failed))
        bench.store_changes()
        self.assertEqual([1], [s.task.step for s in bench.pop_starts()])
        answer = bench.engine.find_state(job.id)
        self.assertIs(JobState.RUNNING, answer.state)


if __name__ == '__main__':
    unittest.main()
