"""Jobs don't wait for the end of a quarantine beside room for them.

Workers are put into quarantine when tasks of different jobs fail there one
after another, which also happens when the jobs are at fault.
"""

from unittest import TestCase

from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import SendStart
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKERS = [make_worker_entry(f'worker-{number}') for number in (1, 2, 3)]
WORKER_CPU_MILLIS = 16_000
STEP_S = 0.1
MAX_WAIT_S = 2.5
"""In seconds; shorter than the 3 s after which a job counts as lost."""


class QuarantineRoomTest(TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(*WORKERS)
        self.end_number = 0

    def end_as_failed(self, start: SendStart) -> None:
        """Let a run fail by its own fault, and store that."""
        self.end_number += 1
        end = make_run_end(start, EndKind.FAILED, self.end_number)
        self.bench.answer_poll(start.target.worker, ends=(end,))
        self.bench.store_changes()

    def fill_others(self) -> None:
        """Let tasks take all workers but one whole."""
        step = make_step(len(WORKERS) - 1, WORKER_CPU_MILLIS)
        self.bench.run_job(make_job('fill', step))

    def fail_job(self, name: str) -> None:
        """Let a job at fault fail on the one worker that has room."""
        for start in self.bench.run_job(make_job(name, make_step(1))):
            self.end_as_failed(start)

    def measure_wait(self, name: str) -> float:
        """Return how long a job of one task waits, in s, up to a bound."""
        began_at = self.bench.now
        self.bench.submit(make_job(name, make_step(1)))
        while self.bench.now < began_at + MAX_WAIT_S:
            self.bench.store_changes()
            starts = self.bench.pop_starts()
            if any(start.task.job == name for start in starts):
                break
            self.bench.reconcile(STEP_S)
        return self.bench.now - began_at

    def test_job_does_not_wait_for_a_quarantine_if_others_are_full(
        self,
    ) -> None:
        self.fill_others()
        for name in ('faulty-1', 'faulty-2', 'faulty-3'):
            self.fail_job(name)
        self.assertLess(self.measure_wait('sound'), MAX_WAIT_S)

    def test_task_that_failed_on_one_worker_probes_another(self) -> None:
        bench = self.bench
        bench.run_job(make_job('fill', make_step(1, WORKER_CPU_MILLIS)))
        failed_on = {}
        for names in (('a', 'b'), ('c', 'd')):
            for job in [*bench.engine.state.active_jobs.values()]:
                if job.accepted.id != 'fill':
                    bench.cancel(job.accepted)
            bench.store_changes()
            starts = [
                bench.run_job(make_job(name, make_step(1, 9000)))[0]
                for name in names
            ]
            for start in starts:
                failed_on[start.task.job] = start.target.worker
                end = make_run_end(start, EndKind.FAILED, ord(names[0]))
                bench.engine.handle_poll_answer(
                    PollAnswered(
                        start.target.worker,
                        start.target.boot,
                        bench.clock_ms(),
                        (),
                        (end,),
                        0,
                        bench.now,
                        bench.now,
                    ),
                    bench.now,
                )
        began_at = bench.now
        again = []
        while bench.now < began_at + MAX_WAIT_S:
            bench.reconcile(STEP_S)
            bench.store_changes()
            again += bench.pop_starts()
        self.assertEqual({'c', 'd'}, {start.task.job for start in again})
        for start in again:
            self.assertNotEqual(failed_on[start.task.job], start.target.worker)

    def test_job_that_probes_does_not_keep_another_waiting(self) -> None:
        """Only one worker, which is in quarantine, has the label."""
        bench = self.bench
        label = {'required_label': 'rack-1'}
        for name in ('faulty-1', 'faulty-2'):
            job = make_job(name, make_step(1, **label))
            [start] = bench.run_job(job)
            self.end_as_failed(start)
            bench.cancel(job)
            bench.store_changes()
            bench.actions.clear()
        bench.submit(make_job('first', make_step(6, **label)))
        bench.submit(make_job('second', make_step(1, **label)))
        began_at = bench.now
        started = set[str]()
        while bench.now < began_at + MAX_WAIT_S:
            bench.reconcile(STEP_S)
            bench.store_changes()
            started |= {start.task.job for start in bench.pop_starts()}
        self.assertEqual({'first', 'second'}, started)

    def test_job_starts_at_once_without_a_quarantine(self) -> None:
        self.fill_others()
        self.fail_job('faulty-1')
        self.assertLess(self.measure_wait('sound'), STEP_S)
