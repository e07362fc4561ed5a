"""Pause a controller at each of its calls while another acts."""

from collections.abc import Callable
import unittest

from primroseledge.operators.operators import command_wave
from primroseledge.operators.operators import start_pool_wave
from primroseledge.policy.plan import WaveState
from primroseledge.policy.pool_controller import PoolController
from tests.policy_world import PolicyWorld
from tests.policy_world import POOL

MAX_CALLS = 40
Other = Callable[[PolicyWorld, PoolController], None]


def halt_and_undo(world: PolicyWorld, other: PoolController) -> None:
    command_wave(world.records(), POOL, 'halt')
    for _ in range(3):
        other.step(world.now, world.given())


def halt_and_begin_again(world: PolicyWorld, other: PoolController) -> None:
    halt_and_undo(world, other)
    command_wave(world.records(), POOL, 'resume')
    other.step(world.now, world.given())


def finish(world: PolicyWorld, other: PoolController) -> None:
    for _ in range(60):
        world.advance(1.0)
        other.step(world.now, world.given())


class PauseTest(unittest.TestCase):
    """The oracle in the world raises when a late act does harm."""

    def pause_everywhere(self, before_s: int, act: Other) -> None:
        paused = 0
        for calls in range(MAX_CALLS):
            world = PolicyWorld()
            start_pool_wave(world.records(), POOL, world.new_wave())
            first, second = world.controller(), world.controller()
            for _ in range(before_s):
                world.advance(1.0)
                first.step(world.now, world.given())
            world.advance(1.0)
            world.interrupt(calls, lambda w=world, c=second: act(w, c))
            first.step(world.now, world.given())
            if world.interruption is not None:
                break
            paused += 1
            self.settle(world)
        self.assertGreater(paused, 3)

    def settle(self, world: PolicyWorld) -> None:
        controller = world.controller()
        world.was_interrupted = False
        for _ in range(600):
            if world.wave().state is WaveState.HALTED:
                command_wave(world.records(), POOL, 'resume')
            if world.wave().state is WaveState.DONE:
                break
            world.advance(1.0)
            controller.step(world.now, world.given())
        self.assertIs(WaveState.DONE, world.wave().state)
        self.assertEqual({}, world.ledger('copper').claims)
        placed = world.truth().values()
        self.assertFalse(any(instance.is_draining for instance in placed))

    def test_paused_at_claim_while_undone(self) -> None:
        self.pause_everywhere(0, halt_and_undo)

    def test_paused_at_claim_while_begun_again(self) -> None:
        self.pause_everywhere(0, halt_and_begin_again)

    def test_paused_at_claim_while_finished(self) -> None:
        self.pause_everywhere(0, finish)

    def test_paused_at_reboot_while_finished(self) -> None:
        self.pause_everywhere(7, finish)

    def test_paused_at_return_while_the_next_begin(self) -> None:
        self.pause_everywhere(26, finish)


if __name__ == '__main__':
    unittest.main()
