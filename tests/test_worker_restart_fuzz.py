"""Fuzzing of the fleet while workers restart under their ids."""

import unittest
from unittest.mock import patch

from tests.restart_world import RestartWorld
from tests.test_fleet_fuzz import FaultScenario

SEEDS = range(300, 312)
SEEDS_WITH_CLOCKS = range(320, 326)


class WorkerRestartScenario(FaultScenario):
    """A scenario in which workers also restart within fractions of a second.

    No poll need fail then, so that the owner learns of the restart only from
    the list of workers or from an answer of the next boot.
    """

    def __init__(self, seed: int) -> None:
        with patch('tests.test_fleet_fuzz.World', RestartWorld):
            super().__init__(seed)

    def fault_restart_worker(self) -> None:
        worker = self.random.choice(list(self.world.workers.values()))
        if not worker.is_alive:
            return
        worker.crash(self.world.now)
        self.world.schedule_after(
            self.random.uniform(0.02, 0.3),
            lambda: worker.is_gone or worker.reboot(self.world.now),
        )

    def fault_restart_workers_in_turn(self) -> None:
        for number in range(self.random.randint(2, 12)):
            self.world.schedule_after(
                number * self.random.uniform(0.1, 0.6),
                self.fault_restart_worker,
            )


class SteppedClockScenario(WorkerRestartScenario):
    """The same, while the workers' times of day jump either way.

    What tells boots apart is such a time: a later boot may have a smaller one.
    """

    def fault_restart_worker(self) -> None:
        for worker in self.world.workers.values():
            worker.clock_error_ms = self.random.randint(-3000, 3000)
        super().fault_restart_worker()


class WorkerRestartFuzzTest(unittest.TestCase):
    def check(self, scenario: FaultScenario) -> None:
        """Play a scenario, and show its trace if it breaks a rule."""
        violations = scenario.run()
        detail = '\n'.join([*violations[:8], *scenario.world.trace])
        self.assertEqual([], violations[:8], detail)

    def test_restarts_under_one_id_break_no_rule(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check(WorkerRestartScenario(seed))

    # Guards against a second run, or work that stands still, where a list or
    # an answer is taken for that of the wrong boot.
    def test_restarts_while_clocks_jump_break_no_rule(self) -> None:
        for seed in SEEDS_WITH_CLOCKS:
            with self.subTest(seed=seed):
                self.check(SteppedClockScenario(seed))


if __name__ == '__main__':
    unittest.main()
