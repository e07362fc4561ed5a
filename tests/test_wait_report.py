"""Tests of the report of jobs that wait with nothing running."""

import unittest

from primroseledge.observability.events import Event
from primroseledge.scheduling.wait_report import WaitReport
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER = make_worker_entry('worker-1')


class WaitReportTest(unittest.TestCase):
    def collect(self, bench: EngineBench, seconds: float) -> list[str]:
        """Return the reports of a time, in steps of half a second."""
        with self.assertLogs('primroseledge') as logs:
            for _ in range(int(seconds / 0.5)):
                bench.reconcile(0.5)
            # assertLogs needs a line even if there is no report.
            bench.submit(make_job('last', make_step(1, cpu_millis=1)))
        return [
            record.getMessage()
            for record in logs.records
            if getattr(record, 'event', 0) == Event.JOBS_WAIT.value.number
        ]

    def test_a_job_held_up_by_a_drained_worker_names_the_cause(self) -> None:
        bench = EngineBench(WORKER)
        worker = bench.engine.state.workers[WORKER.id]
        worker.is_drained_by_owner = True
        bench.submit(make_job('a', make_step(1)))
        [report, *_] = self.collect(bench, 4.0)
        self.assertIn('1 drained by the owner', report)
        self.assertIn('16000 thousandths', report)

    def test_a_job_with_a_run_is_not_reported(self) -> None:
        bench = EngineBench(WORKER)
        bench.run_job(make_job('a', make_step(2, cpu_millis=12_000)))
        self.assertEqual([], self.collect(bench, 4.0))

    def test_reports_come_once_a_second(self) -> None:
        bench = EngineBench(WORKER)
        bench.engine.state.workers[WORKER.id].is_drained_by_owner = True
        bench.submit(make_job('a', make_step(1)))
        bench.engine.wait_report = WaitReport()
        self.assertEqual(3, len(self.collect(bench, 5.0)))


if __name__ == '__main__':
    unittest.main()
