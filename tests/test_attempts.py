"""Tests that no task starts after its last attempt, whatever was in between.

Guards against BUDGET: a task started a third time of two, as its queue was not
configured when the second attempt failed (review case 4).
"""

import unittest

from msgspec.structs import replace

from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import StepSpec
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import SendStart
from tests.engine_bench import EngineBench
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_task_record
from tests.engine_bench import make_worker_entry
from tests.engine_bench import QUEUE

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(4)]


def without_queue() -> Configuration:
    """Return the configuration without its queue."""
    return replace(make_configuration(), queues={})


def with_attempts(count: int) -> Configuration:
    """Return the configuration with this number of attempts."""
    configuration = make_configuration()
    queue = replace(configuration.queues[QUEUE], max_attempts=count)
    return replace(configuration, queues={QUEUE: queue})


class AttemptsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(*WORKERS)
        self.ends: dict[str, int] = {}

    def begin(self, step: StepSpec) -> list[SendStart]:
        """Run the job, and return its acknowledged starts."""
        self.job = make_job('a', step)
        return self.bench.run_job(self.job)

    def fail_run(self, start: SendStart) -> None:
        """Let a run fail."""
        worker = start.target.worker
        self.ends[worker] = self.ends.get(worker, 0) + 1
        end = make_run_end(start, EndKind.FAILED, self.ends[worker])
        self.bench.answer_poll(worker, ends=(end,))

    def starts(self) -> list[SendStart]:
        """Return the starts that follow, acknowledged."""
        self.bench.reconcile(1.5)
        self.bench.store_changes()
        found = self.bench.pop_starts()
        for start in found:
            self.bench.answer_start(start)
        return found

    def configure(self, configuration: Configuration) -> None:
        self.bench.engine.apply_configuration(configuration)

    def assert_failed(self) -> None:
        """Check that nothing starts, and what callers are told."""
        self.assertEqual([], self.starts())
        answer = self.bench.engine.find_state(self.job.id)
        self.assertIs(JobState.FAILED, answer.state)
        self.assertIn('attempts failed', answer.reason)

    def test_the_last_attempt_may_fail_while_its_queue_is_away(self) -> None:
        [start] = self.begin(make_step(1))
        self.fail_run(start)
        [again] = self.starts()
        self.configure(without_queue())
        self.fail_run(again)
        self.assertEqual([], self.starts())
        self.configure(make_configuration())
        self.assert_failed()

    def test_an_attempt_that_is_left_starts_once_its_queue_is_back(
        self,
    ) -> None:
        [start] = self.begin(make_step(1))
        self.configure(without_queue())
        self.fail_run(start)
        self.configure(make_configuration())
        self.assertEqual(1, len(self.starts()))

    def test_a_gang_shares_its_attempts_while_its_queue_is_away(self) -> None:
        starts = self.begin(make_step(2, 9_000, is_gang=True))
        self.configure(without_queue())
        for start in starts:
            self.fail_run(start)
        self.configure(make_configuration())
        self.assert_failed()

    # The run under way goes on, but if it is lost, no other follows.
    def test_a_lost_run_is_not_started_again_with_fewer_attempts(self) -> None:
        [start] = self.begin(make_step(1))
        self.fail_run(start)
        [again] = self.starts()
        self.configure(with_attempts(1))
        self.assertEqual([], self.bench.pop_stops())
        self.bench.reconcile(0.5)
        self.bench.answer_poll(again.target.worker)
        self.assert_failed()

    def test_a_long_running_task_has_no_limit(self) -> None:
        [start] = self.begin(make_step(1, is_long_running=True))
        for _ in range(4):
            self.configure(without_queue())
            self.fail_run(start)
            self.configure(make_configuration())
            [start] = self.starts()

    def test_a_new_owner_starts_nothing_beyond_the_attempts(self) -> None:
        self.job = make_job('a', make_step(1))
        entry = WORKERS[0]
        task = make_task_record(entry, 2, may_run=False, failures=2)
        self.bench = EngineBench()
        restore_engine(
            self.bench.engine,
            [self.job],
            [ProgressRecord(self.job.id, JobState.QUEUED, (task,))],
            [],
            [entry],
            self.bench.now,
        )
        self.bench.reconcile()
        self.bench.answer_poll(entry.id)
        self.assert_failed()
