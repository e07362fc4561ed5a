"""Stateful fuzz of waves, budgets and moves against the oracle."""

import unittest

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from

from primroseledge.errors import OperatorError
from primroseledge.errors import StoreError
from primroseledge.ids import InstanceId
from primroseledge.operators.operators import command_wave
from primroseledge.operators.operators import start_pool_wave
from primroseledge.policy.plan import ENDED
from primroseledge.policy.plan import MoveRequest
from primroseledge.policy.plan import WaveState
from tests.policy_fake import CrashError
from tests.policy_world import OTHER
from tests.policy_world import PolicyWorld
from tests.policy_world import POOL
from tests.policy_world import SERVICES

INSTANCES = sampled_from([f'i{z}{n}' for z in range(3) for n in range(3)])
ZONES = integers(0, 2)
SECONDS = sampled_from([0.5, 1.0, 2.0, 4.0, 8.0])
SETTLE_STEPS = 900


class PoolMachine(RuleBasedStateMachine):
    """Two controllers of one pool, operators, and what fails."""

    @initialize(steps=integers(0, 40))
    def begin(self, steps: int) -> None:
        self.world = PolicyWorld()
        self.controllers = [self.world.controller() for _ in range(2)]
        start_pool_wave(self.world.records(), POOL, self.world.new_wave())
        self.moves: tuple[MoveRequest, ...] = ()
        for _ in range(steps):
            self.world.advance(1.0)
            self.run_controller(0)

    def run_controller(self, number: int) -> None:
        try:
            given = self.world.given(self.moves)
            self.controllers[number].step(self.world.now, given)
        except CrashError:
            self.controllers[number] = self.world.controller()
        finally:
            self.world.store.writes_left = None

    @rule(seconds=SECONDS, number=integers(0, 1))
    def go_on(self, seconds: float, number: int) -> None:
        self.world.advance(seconds)
        self.run_controller(number)

    @rule(count=integers(3, 12), is_ending=booleans())
    def go_on_long(self, count: int, is_ending: bool) -> None:
        for _ in range(count):
            if is_ending:
                self.world.end_requests()
            self.world.advance(2.0)
            self.run_controller(0)

    @rule(writes=integers(0, 8))
    def crash(self, writes: int) -> None:
        self.world.store.writes_left = writes
        self.run_controller(0)

    @rule(
        writes=integers(0, 25),
        seconds=SECONDS,
        steps=sampled_from([3, 20]),
    )
    def pause_while_another_acts(
        self, writes: int, seconds: float, steps: int
    ) -> None:
        def other() -> None:
            for _ in range(steps):
                self.world.advance(seconds)
                self.run_controller(1)

        self.world.interrupt(writes, other)
        self.run_controller(0)
        self.world.interruption = None
        self.world.was_interrupted = False

    @rule(writes=integers(0, 25), trigger=sampled_from(['halt', 'undo']))
    def pause_while_undone(self, writes: int, trigger: str) -> None:
        def other() -> None:
            self.operate('halt')
            self.run_controller(1)
            self.run_controller(1)
            if trigger == 'undo':
                self.operate('resume')
                self.run_controller(1)

        self.world.interrupt(writes, other)
        self.run_controller(0)
        self.world.interruption = None
        self.world.was_interrupted = False

    @rule(trigger=sampled_from(['halt', 'resume', 'resume', 'roll_back']))
    def operate(self, trigger: str) -> None:
        try:
            command_wave(self.world.records(), POOL, trigger)
        except (OperatorError, StoreError):
            return

    @rule(instance=INSTANCES)
    def request_move(self, instance: str) -> None:
        self.moves = (MoveRequest(InstanceId(instance), OTHER),)

    @rule()
    def request_no_move(self) -> None:
        self.moves = ()

    @rule()
    def start_requests(self) -> None:
        for instance in self.world.running:
            self.world.start_request(instance)

    @rule()
    def let_dispatchers_see(self) -> None:
        self.world.sync()

    @rule()
    def end_requests(self) -> None:
        self.world.end_requests()

    @rule(instance=INSTANCES)
    def fail(self, instance: str) -> None:
        self.world.fail(InstanceId(instance))

    @rule(instance=INSTANCES)
    def restart(self, instance: str) -> None:
        self.world.replace(InstanceId(instance))

    @rule(zone=ZONES, is_whole=booleans())
    def lose_rack_or_zone(self, zone: int, is_whole: bool) -> None:
        for number in range(3):
            if is_whole or number % 2 == 0:
                self.world.fail(InstanceId(f'i{zone}{number}'))

    @rule()
    def spoil_image(self) -> None:
        self.world.platform.bad_images = {'new'}

    @rule(seconds=SECONDS)
    def take_store_down(self, seconds: float) -> None:
        self.world.take_store_down(5 * seconds)

    @rule(count=integers(1, 3), is_before=booleans())
    def lose_store_answers(self, count: int, is_before: bool) -> None:
        if is_before:
            self.world.store.lost_before = count
        else:
            self.world.store.lost_after = count

    @rule(seconds=SECONDS, count=integers(0, 2))
    def harm_platform(self, seconds: float, count: int) -> None:
        self.world.take_platform_down(seconds)
        self.world.platform.answers_to_lose = count

    def teardown(self) -> None:
        """Heal everything; the pool has to come to rest."""
        if not hasattr(self, 'world'):
            return
        world = self.world
        world.store.is_down = world.platform.is_down = False
        world.store.lost_before = world.store.lost_after = 0
        world.platform.answers_to_lose = 0
        world.platform.bad_images = set()
        world.end_requests()
        for name, machine in world.platform.machines.items():
            if machine.is_broken:
                world.replace(name)
        self.moves = ()
        self.controllers[0] = world.controller()
        for _ in range(SETTLE_STEPS):
            world.advance(2.0)
            self.run_controller(0)
            if world.wave().state is WaveState.HALTED:
                command_wave(world.records(), POOL, 'resume')
            if world.wave().state in ENDED and self.is_at_rest():
                return
        raise AssertionError(f'never at rest: {world.plan()}')

    def is_at_rest(self) -> bool:
        world = self.world
        has_claims = any(world.ledger(s.id).claims for s in SERVICES)
        placed = world.truth().values()
        return not has_claims and not any(p.is_draining for p in placed)


PoolMachine.TestCase.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    max_examples=200,
    stateful_step_count=60,
)


class PoolFuzzTest(PoolMachine.TestCase):  # type: ignore[misc, name-defined]
    """Run the machine under unittest."""


class CollectionTest(unittest.TestCase):
    """The machine is collected once, not under its generated name too."""

    def test_settings(self) -> None:
        self.assertEqual(200, PoolFuzzTest.settings.max_examples)


if __name__ == '__main__':
    unittest.main()
