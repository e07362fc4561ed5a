"""Tests that work which prefers a single rack does not wait for it for ever.

Guards against LOST: such work stood still beside idle racks, as its rack had
no room left (review case 2).
"""

import unittest

from primroseledge.ids import WorkerId
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.rack_spread import MAX_RACK_WAIT_S
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

RACK_1 = [make_worker_entry(f'{letter}-1') for letter in 'abcd']
RACK_2 = [make_worker_entry(f'{letter}-2') for letter in 'abcd']
MAX_WAIT_S = 3.0
"""Longest time in s that work may wait beside idle workers, by the rules."""


class RackBench(EngineBench):
    """A bench with two racks of four workers each."""

    def __init__(self) -> None:
        super().__init__(*RACK_1, *RACK_2)
        self.runs: dict[str, list[SendStart]] = {}

    def start(self, name: str, step: StepSpec) -> None:
        """Run a job, and keep its starts by their worker."""
        for start in self.run_job(make_job(name, step)):
            self.runs.setdefault(start.target.worker, []).append(start)

    def lose(self, worker: str) -> None:
        """Let a worker leave for good."""
        del self.runs[worker]
        self.entries = [e for e in self.entries if e.id != worker]
        for _ in range(30):
            self.list_workers(*self.entries)
            if worker in self.engine.state.workers:
                self.fail_poll(WorkerId(worker))
            self.pass_time(0.2)

    def pass_time(self, seconds: float) -> None:
        """Let all listed workers answer polls, then plan and store."""
        for entry in self.entries:
            percent = int(self.now * 10) % 100
            running = tuple(
                make_listed_run(start, percent)
                for start in self.runs.get(entry.id, ())
            )
            self.answer_poll(entry.id, running=running)
        self.reconcile(seconds)
        self.store_changes()

    def racks(self) -> dict[str, int]:
        """Return how many starts went to each rack, and keep these."""
        count: dict[str, int] = {}
        for start in self.pop_starts():
            rack = start.target.worker[-1]
            count[rack] = count.get(rack, 0) + 1
        return count

    def wait_for_starts(self, limit_s: float) -> tuple[float, dict[str, int]]:
        """Return when something starts, and how many starts a rack gets."""
        began_at = self.now
        while self.now < began_at + limit_s:
            count = self.racks()
            if count:
                return self.now - began_at, count
            self.pass_time(0.1)
        raise AssertionError('nothing has started')


class RackSpreadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = RackBench()

    def test_a_lasting_task_runs_elsewhere_if_its_rack_has_no_room(
        self,
    ) -> None:
        step = make_step(
            4, 9_000, is_long_running=True, needs_single_rack=True
        )
        self.bench.start('a', step)
        [rack] = {worker[-1] for worker in self.bench.runs}
        self.bench.lose(f'a-{rack}')
        _, racks = self.bench.wait_for_starts(MAX_WAIT_S)
        self.assertEqual({'1': '2', '2': '1'}[rack], *racks)

    def test_a_step_that_no_rack_can_hold_starts_whole(self) -> None:
        step = make_step(
            5, 9_000, is_long_running=True, needs_single_rack=True
        )
        self.bench.start('a', step)
        self.assertEqual(5, sum(map(len, self.bench.runs.values())))

    def test_a_batch_task_waits_for_its_rack_for_a_while(self) -> None:
        self.bench.start('busy', make_step(3, 15_000))
        step = make_step(5, 9_000, needs_single_rack=True)
        self.bench.start('a', step)
        waited_s, _ = self.bench.wait_for_starts(MAX_WAIT_S)
        self.assertGreater(waited_s, MAX_RACK_WAIT_S)

    def test_a_batch_task_waits_for_its_rack_in_a_busy_pool(self) -> None:
        self.bench.start('busy', make_step(5, 15_000))
        self.bench.start('a', make_step(4, 9_000, needs_single_rack=True))
        with self.assertRaisesRegex(AssertionError, 'nothing has started'):
            self.bench.wait_for_starts(10.0)

    # Guards against a gang that waited for a rack behind work of 80 s.
    def test_a_gang_does_not_wait_for_long_work_in_an_idle_pool(self) -> None:
        long = make_step(1, 10_000, data_rack='rack-1')
        self.bench.start('long-1', long)
        long = make_step(1, 10_000, data_rack='rack-2')
        self.bench.start('long-2', long)
        gang = make_step(7, 8_000, is_gang=True, needs_single_rack=True)
        self.bench.start('gang', gang)
        waited_s, racks = self.bench.wait_for_starts(MAX_WAIT_S)
        self.assertGreater(waited_s, MAX_RACK_WAIT_S)
        self.assertEqual(7, sum(racks.values()))

    def test_a_gang_waits_for_a_rack_in_a_busy_pool(self) -> None:
        self.bench.start('busy', make_step(5, 15_000))
        gang = make_step(4, 12_000, is_gang=True, needs_single_rack=True)
        self.bench.start('gang', gang)
        with self.assertRaisesRegex(AssertionError, 'nothing has started'):
            self.bench.wait_for_starts(10.0)
