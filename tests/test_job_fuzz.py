"""Stateful fuzz of the job controllers against the oracle."""

import unittest

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import builds
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from primroseledge.errors import OperatorError
from primroseledge.errors import StoreError
from primroseledge.ids import InstanceId
from primroseledge.policy.job import ENDED
from primroseledge.policy.job import Job
from primroseledge.policy.job_controller import JobController
from standins.platform import Program
from tests.job_world import JobWorld
from tests.policy_fake import CrashError

SECONDS = sampled_from([0.5, 1.0, 2.0, 5.0, 20.0, 40.0])
WORKERS = integers(0, 3)
PROGRAMS = builds(
    Program,
    run_s=sampled_from([2.0, 10.0, 40.0]),
    memory_mb=sampled_from([100.0, 4000.0, 12_000.0]),
    is_failing=sampled_from([False, False, False, True]),
)
SETTLE_STEPS = 3000


class JobMachine(RuleBasedStateMachine):
    """Two controllers, submitters, and what fails."""

    @initialize()
    def begin(self) -> None:
        self.world = JobWorld()
        self.controllers = [self.world.controller() for _ in range(2)]
        self.count = 0

    def run_controller(self, number: int) -> None:
        try:
            given = self.world.given()
            self.controllers[number].step(self.world.now, given)
        except CrashError:
            self.controllers[number] = self.world.controller()
        finally:
            self.world.store.writes_left = None
        self.world.check()

    @rule(
        program=PROGRAMS,
        team=sampled_from(['big', 'small']),
        cores=sampled_from([1.0, 4.0, 30.0]),
        members=sampled_from([1, 1, 1, 2, 5]),
        is_idempotent=booleans(),
        is_urgent=booleans(),
    )
    def submit(
        self,
        program: Program,
        team: str,
        cores: float,
        members: int,
        is_idempotent: bool,
        is_urgent: bool,
    ) -> None:
        self.count += 1
        job = Job(
            f'j{self.count}',
            team,
            cores=cores,
            members=members,
            accelerators=members - 1 and 1,
            is_idempotent=is_idempotent,
            is_urgent=is_urgent,
        )
        try:
            self.world.submit(job, program)
        except StoreError:
            return

    @rule(number=integers(0, 1), seconds=SECONDS)
    def go_on(self, number: int, seconds: float) -> None:
        self.world.advance(seconds)
        self.run_controller(number)

    @rule(number=integers(0, 1), count=integers(3, 20))
    def go_on_long(self, number: int, count: int) -> None:
        for _ in range(count):
            self.world.advance(1.0)
            self.run_controller(number)

    @rule(writes=integers(0, 6))
    def crash(self, writes: int) -> None:
        self.world.store.writes_left = writes
        self.run_controller(0)

    @rule(calls=integers(0, 6), seconds=SECONDS)
    def pause_while_another_acts(self, calls: int, seconds: float) -> None:
        """Stop the first one at a call to the task service."""
        platform = self.world.platform
        left = [calls]

        def other() -> None:
            for _ in range(6):
                self.world.advance(seconds / 4)
                self.run_controller(1)

        original = platform._check

        def check() -> None:
            left[0] -= 1
            if left[0] == 0:
                other()
            original()

        platform._check = check  # type: ignore[method-assign]
        self.run_controller(0)
        del platform._check

    @rule(number=integers(1, 12))
    def cancel(self, number: int) -> None:
        if number > self.count:
            return
        ids = [job.id for job in self.world.jobs()]
        if f'j{number}' not in ids:
            return
        try:
            controller: JobController = self.world.controller()
            controller.cancel(self.world.job(f'j{number}').job_id)
        except (OperatorError, StoreError):
            return

    @rule(number=WORKERS)
    def break_worker(self, number: int) -> None:
        self.world.break_worker(number)

    @rule(rack=integers(0, 1))
    def lose_rack(self, rack: int) -> None:
        for number in (2 * rack, 2 * rack + 1):
            self.world.break_worker(number)

    @rule(number=WORKERS, is_failing=booleans())
    def spoil_worker(self, number: int, is_failing: bool) -> None:
        name = InstanceId(f'w{number}')
        self.world.platform.machines[name].is_failing_tasks = is_failing

    @rule(seconds=SECONDS)
    def take_store_down(self, seconds: float) -> None:
        self.world.store.is_down = True
        self.world.outage_ends = self.world.now + seconds

    @rule(count=integers(1, 2), is_before=booleans())
    def lose_store_answers(self, count: int, is_before: bool) -> None:
        if is_before:
            self.world.store.lost_before = count
        else:
            self.world.store.lost_after = count

    @rule(seconds=SECONDS, count=integers(0, 3))
    def harm_platform(self, seconds: float, count: int) -> None:
        self.world.platform.is_down = True
        self.world.platform_back = self.world.now + seconds
        self.world.platform.answers_to_lose = count

    def teardown(self) -> None:
        """Heal everything; each job has to end or be said impossible."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.store.is_down = world.platform.is_down = False
        world.store.lost_before = world.store.lost_after = 0
        world.platform.answers_to_lose = 0
        for machine in world.platform.machines.values():
            machine.is_failing_tasks = False
        for _ in range(SETTLE_STEPS):
            world.advance(1.0)
            self.run_controller(0)
            if all(job.state in ENDED for job in world.jobs()):
                return
        left = [job for job in world.jobs() if job.state not in ENDED]
        held = self.controllers[0].report.held
        raise AssertionError(f'never ended: {left} {held}')


JobMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    max_examples=200,
    stateful_step_count=60,
)


class JobFuzzTest(JobMachine.TestCase):  # type: ignore[misc, name-defined]
    """Run the machine under unittest."""


if __name__ == '__main__':
    unittest.main()
