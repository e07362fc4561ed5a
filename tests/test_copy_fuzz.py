"""Fuzzing of the fleet while tasks have copies.

Guards against a task that runs again after its end was acknowledged, more
failed runs than are allowed, and usage that counts one of two runs only.
"""

from random import Random
import unittest
from unittest.mock import patch

from msgspec import structs

from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.actions import EndKind
from tests.fleet_rule_checker import FleetRuleChecker
from tests.fuzz_load import make_job
from tests.test_worker_restart_fuzz import WorkerRestartScenario

SEEDS = range(500, 506)
LATE_SEEDS = (903, 904)
"""Seeds in which copies' starts arrive after their tasks are done."""

STRAGGLER_SHARE = 0.15


def make_copied_job(random: Random, number: int, now: float) -> AcceptedJob:
    """Return a job whose short tasks allow copies and are of one kind."""
    job = make_job(random, number, now)
    steps = tuple(
        structs.replace(step, is_speculative=True, image='resize')
        for step in job.spec.steps
    )
    return structs.replace(job, spec=structs.replace(job.spec, steps=steps))


class StragglingChecker(FleetRuleChecker):
    """A rule checker under which some runs take 7 times as long."""

    def fate_of(self, task: TaskKey, run: int) -> tuple[float | None, EndKind]:
        seconds, kind = super().fate_of(task, run)
        if seconds is not None and self.random.random() < STRAGGLER_SHARE:
            seconds *= 7
        return seconds, kind


class CopyScenario(WorkerRestartScenario):
    """Faults, and workers that restart, while tasks have copies."""

    def __init__(self, seed: int) -> None:
        with patch(
            'tests.test_fleet_fuzz.FleetRuleChecker', StragglingChecker
        ):
            super().__init__(seed)
        if seed in LATE_SEEDS:
            self.world.delayed_order_share = 0.3

    def run(self) -> list[str]:
        with patch('tests.test_fleet_fuzz.make_job', make_copied_job):
            return super().run()


class CopyFuzzTest(unittest.TestCase):
    def test_copies_break_no_rule(self) -> None:
        copied = 0
        for seed in (*SEEDS, *LATE_SEEDS):
            with self.subTest(seed=seed):
                scenario = CopyScenario(seed)
                violations = scenario.run()
                detail = '\n'.join([*violations[:8], *scenario.world.trace])
                self.assertEqual([], violations[:8], detail)
                histories = scenario.rule_checker.histories.values()
                copied += sum(history.copied for history in histories)
        self.assertGreater(copied, 10 * len(SEEDS))


if __name__ == '__main__':
    unittest.main()
