import unittest

from primroseledge.chart import load_chart
from primroseledge.errors import ChartError
from primroseledge.errors import OperatorError
from primroseledge.ids import InstanceId
from primroseledge.ids import Revision
from primroseledge.operators.operators import command_wave
from primroseledge.operators.operators import start_pool_wave
from primroseledge.policy.plan import command
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import Kind
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import Situation
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.plan import WaveState
from primroseledge.policy.wave import allowed_failures
from primroseledge.policy.wave import count_success
from primroseledge.policy.wave import decide
from primroseledge.policy.wave import estimate_s
from primroseledge.storage.documents import Instance
from tests.policy_world import PolicyWorld
from tests.policy_world import POOL

SETTINGS = WaveSettings(window_s=1000.0)
A = InstanceId('a')


def item(name: str, zone: str = 'z', **changes: object) -> InstanceView:
    values = {
        'boot_id': 'b1',
        'boot_age_s': 5000.0,
        'is_up': True,
        'image': 'old',
        'running': 0,
        'revision': Revision(9),
    } | changes
    is_draining = bool(values.pop('is_draining', False))
    instance = Instance(
        name, 'p', zone, f'r-{name}', 'h:1', is_draining=is_draining
    )
    return InstanceView(instance, **values)  # type: ignore[arg-type]


class WaveTest(unittest.TestCase):
    def kinds(
        self,
        step: Step,
        view: InstanceView,
        age_s: float = 100.0,
        state: WaveState = WaveState.WIDENING,
    ) -> list[Kind]:
        wave = Wave('w', 'new', 'old', state)
        plan = Plan(wave, {'a': step})
        situation = Situation(plan, {A: view}, {A: age_s}, SETTINGS)
        return [action.kind for action in decide(situation).actions]

    def draining(self) -> Step:
        return Step(StepState.DRAINING, 'b1', 9, 'w')

    def test_drained_instance_is_rebooted(self) -> None:
        view = item('a', is_draining=True)
        self.assertEqual([Kind.REBOOT], self.kinds(self.draining(), view))

    def test_no_reboot_while_requests_run(self) -> None:
        view = item('a', is_draining=True, running=1)
        self.assertEqual([], self.kinds(self.draining(), view))

    def test_no_reboot_before_dispatchers_have_the_mark(self) -> None:
        view = item('a', is_draining=True, revision=Revision(8))
        self.assertEqual([], self.kinds(self.draining(), view))

    def test_no_reboot_before_views_have_settled(self) -> None:
        view = item('a', is_draining=True)
        early = SETTINGS.settle_s - 0.1
        self.assertEqual([], self.kinds(self.draining(), view, early))

    def test_long_jobs_are_evicted_first(self) -> None:
        view = item('a', is_draining=True, tasks=('t',))
        self.assertEqual([Kind.EVICT], self.kinds(self.draining(), view))

    def test_removed_mark_is_set_again(self) -> None:
        view = item('a')
        self.assertEqual([Kind.DRAIN], self.kinds(self.draining(), view))

    def test_halt_undoes_a_drain_but_not_a_reboot(self) -> None:
        view = item('a', is_draining=True)
        halted = WaveState.HALTED
        self.assertEqual(
            [Kind.UNDO], self.kinds(self.draining(), view, state=halted)
        )
        rebooting = Step(StepState.REBOOTING, 'b0', 9, 'w')
        self.assertEqual(
            [Kind.PROVE], self.kinds(rebooting, view, state=halted)
        )

    def test_replaced_instance_is_skipped(self) -> None:
        view = item('a', boot_age_s=999.0)
        self.assertEqual([Kind.SKIP], self.kinds(Step(), view))

    def test_first_claims_are_spread_over_zones(self) -> None:
        view = {
            InstanceId(f'{zone}{n}'): item(f'{zone}{n}', zone)
            for zone in 'xyz'
            for n in range(4)
        }
        wave = Wave('w', 'new', 'old', WaveState.WIDENING, width=3)
        situation = Situation(Plan(wave), view, {}, SETTINGS)
        claimed = [
            action.instance[0]
            for action in decide(situation).actions
            if action.kind is Kind.CLAIM
        ]
        self.assertEqual(['x', 'y', 'z'], claimed)

    def test_failed_canary_halts(self) -> None:
        self.assertEqual(0, allowed_failures(1, 0.02, False))
        wave = Wave('w', 'n', 'o', WaveState.CANARY, attempted=1, failed=1)
        situation = Situation(Plan(wave), {A: item('a')}, {}, SETTINGS)
        decision = decide(situation)
        assert decision.wave is not None
        self.assertIs(WaveState.HALTED, decision.wave.state)
        self.assertEqual([], decision.actions)

    def test_expected_failures_do_not_halt(self) -> None:
        self.assertEqual(4, allowed_failures(100, 0.02, True))
        self.assertEqual(1, allowed_failures(3, 0.02, True))

    def test_width_stays_under_its_bound(self) -> None:
        wave = Wave('w', 'new', 'old', WaveState.WIDENING, 2, max_width=3)
        for _ in range(8):
            wave = count_success(wave)
        self.assertEqual(3, wave.width)

    def test_width_doubles_after_as_many_successes(self) -> None:
        wave = Wave('w', 'n', 'o')
        widths = []
        for _ in range(7):
            wave = count_success(wave)
            widths.append(wave.width)
        self.assertEqual([2, 2, 4, 4, 4, 4, 8], widths)

    def test_estimate_counts_rounds(self) -> None:
        view = {InstanceId(str(n)): item(str(n)) for n in range(10)}
        plan = Plan(Wave('w', 'n', 'o', WaveState.CANARY))
        self.assertEqual(60.0, estimate_s(plan, view, 2, 10.0))

    def test_commands_in_a_wrong_state_are_refused(self) -> None:
        wave = Wave('w', 'n', 'o', WaveState.DONE)
        for trigger in ('resume', 'halt', 'roll_back', 'canary_passed'):
            with self.assertRaises(OperatorError):
                command(wave, trigger)

    def test_charts_name_the_states_of_the_code(self) -> None:
        charts = {'wave': WaveState, 'maintenance': StepState}
        for name, states in charts.items():
            self.assertEqual(
                {state.value for state in states},
                {state.name for state in load_chart(name).file.states},
            )

    def test_unknown_trigger(self) -> None:
        with self.assertRaises(ChartError):
            load_chart('wave').advance('done', 'start')


class OperatorTest(unittest.TestCase):
    def test_second_wave_is_refused_while_one_is_open(self) -> None:
        world = PolicyWorld()
        start_pool_wave(world.records(), POOL, world.new_wave())
        with self.assertRaisesRegex(OperatorError, 'w1 is planned'):
            start_pool_wave(world.records(), POOL, world.new_wave())

    def test_later_of_two_racing_operators_is_told_the_state(self) -> None:
        world = PolicyWorld()
        start_pool_wave(world.records(), POOL, world.new_wave())

        def other() -> None:
            command_wave(world.records(), POOL, 'halt')

        world.interrupt(1, other)
        with self.assertRaisesRegex(OperatorError, 'when halted'):
            command_wave(world.records(), POOL, 'halt')

    def test_wave_takes_about_as_long_as_estimated(self) -> None:
        world = PolicyWorld()
        start_pool_wave(world.records(), POOL, world.new_wave())
        controller = world.controller()
        start = world.now
        estimate = estimate_s(world.plan(), world.given().view, 2, 27.0)
        while world.wave().state is not WaveState.DONE:
            world.advance(1.0)
            controller.step(world.now, world.given())
            self.assertLess(world.now - start, 2 * estimate)
        self.assertGreater(world.now - start, estimate / 2)


if __name__ == '__main__':
    unittest.main()
