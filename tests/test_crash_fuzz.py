"""Fuzzing with tasks that crash their workers, and capacity that shrinks.

Guards against a task that crashes worker after worker, sound jobs that are
given up for their neighbours, and starts over a capacity that has shrunk.
"""

import unittest
from unittest.mock import patch

from msgspec import structs

from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from standins.worker_core import SimWorker
from tests.crash_world import CrashChecker
from tests.crash_world import CrashWorld
from tests.crash_world import DEADLY_DELAYS_S
from tests.crash_world import UNGUARDED_SERVICE
from tests.fuzz_load import make_configuration
from tests.test_fleet_fuzz import FaultScenario

SEEDS = range(700, 710)
DEADLY_SHARE = 0.05


def make_unguarded_configuration() -> Configuration:
    """Return a configuration with a service that doesn't check its room."""
    configuration = make_configuration()
    service = structs.replace(
        configuration.services[UNGUARDED_SERVICE], checks_room=False
    )
    services = {**configuration.services, UNGUARDED_SERVICE: service}
    return structs.replace(configuration, services=services)


class CrashScenario(FaultScenario):
    """Faults, deadly tasks, and workers whose capacity changes."""

    rule_checker: CrashChecker
    world: CrashWorld

    def __init__(self, seed: int) -> None:
        with (
            patch('tests.test_fleet_fuzz.FleetRuleChecker', CrashChecker),
            patch('tests.test_fleet_fuzz.World', CrashWorld),
            patch(
                'tests.test_fleet_fuzz.make_configuration',
                make_unguarded_configuration,
            ),
        ):
            super().__init__(seed)
        self.rule_checker.workers = self.world.workers
        self.rule_checker.on_deadly_start = self.begin_deadly_run
        for worker in self.world.workers.values():
            worker.checks_room = worker.service != UNGUARDED_SERVICE

    def submit_job(self, number: int) -> None:
        """Submit a job; one task of some crashes its workers."""
        super().submit_job(number)
        job = self.jobs[-1]
        if self.random.random() < DEADLY_SHARE:
            step = self.random.randrange(len(job.spec.steps))
            task = self.random.randrange(job.spec.steps[step].count)
            key = TaskKey(job.id, 0, step, task)
            self.rule_checker.deadly[key] = self.random.choice(DEADLY_DELAYS_S)

    def begin_deadly_run(self, worker: SimWorker, task: TaskKey) -> None:
        """Crash a worker some time after it has started a deadly task."""
        self.world.schedule_after(
            self.rule_checker.deadly[task],
            lambda: self.world.crash_under(worker, task),
        )

    def fault_shrink(self) -> None:
        """The capacity of some workers shrinks, and grows again."""
        workers = sorted(self.world.workers.values(), key=id_of)
        for worker in self.random.sample(workers, 4):
            shrunk = Resources(self.random.choice((0, 2000, 8000)), 64_000, 0)
            before = worker.capacity
            self.change_capacity(worker, shrunk)
            self.world.schedule_after(
                self.random.uniform(1, 10),
                lambda w=worker, c=before: (  # type: ignore[misc]
                    self.change_capacity(w, c)
                ),
            )

    def change_capacity(self, worker: SimWorker, capacity: Resources) -> None:
        """Change what a worker says of its capacity."""
        changes = self.rule_checker.changes[worker.id]
        changes.append((self.world.now, worker.capacity))
        worker.capacity = capacity

    def clear_faults(self) -> None:
        """End all faults, and give all workers their capacity back."""
        super().clear_faults()
        for worker in self.world.workers.values():
            self.change_capacity(worker, Resources(16_000, 64_000, 0))

    def find_given_up_neighbours(self) -> list[str]:
        """Return the jobs that failed without a deadly or failed task."""
        deadly = {task.job for task in self.rule_checker.deadly}
        return [
            f'GIVEN UP {job.accepted.id}'
            for sim in self.world.nodes.values()
            if sim.is_alive and sim.node.engine is not None
            for job in sim.node.engine.state.jobs.values()
            if job.state is JobState.FAILED
            and job.accepted.id not in deadly
            and not self.world.has_failure_cause(job.accepted.id)
        ]


def id_of(worker: SimWorker) -> str:
    """Return a worker's id, to sort by."""
    return worker.id


class CrashFuzzTest(unittest.TestCase):
    def test_deadly_tasks_and_shrinking_workers_break_no_rule(self) -> None:
        given_up = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                scenario = CrashScenario(seed)
                violations = scenario.run()
                violations += scenario.find_given_up_neighbours()
                detail = '\n'.join([*violations[:8], *scenario.world.trace])
                self.assertEqual([], violations[:8], detail)
                crashes = scenario.rule_checker.crashes.items()
                deadly = scenario.rule_checker.deadly
                given_up += sum(
                    task in deadly and history.crashes >= 2
                    for task, history in crashes
                )
        self.assertGreater(given_up, len(SEEDS))


if __name__ == '__main__':
    unittest.main()
