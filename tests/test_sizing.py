import unittest

from primroseledge.explain import Rule
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.plan import Plan
from primroseledge.plan import Step
from primroseledge.plan import StepState
from primroseledge.sizing import choose_instance
from primroseledge.sizing import decide_size
from primroseledge.sizing import DemandHistory
from primroseledge.sizing import Hold
from primroseledge.sizing import lend
from primroseledge.sizing import PoolLoad
from primroseledge.sizing import PROFILES
from primroseledge.sizing import rounds
from primroseledge.sizing import SizingSettings
from tests.test_wave import item

SETTINGS = SizingSettings()
OWN, SPARE, OTHER = (PoolId(name) for name in ('own', 'spare', 'other'))


def load(
    pool: PoolId, instances: int, demands: list[float], seconds: float = 600.0
) -> PoolLoad:
    history = DemandHistory()
    for demand in demands:
        history.observe(demand, seconds / len(demands), SETTINGS.half_life_s)
    return PoolLoad(pool, instances, 8, demands[-1] * 8, history)


class LendTest(unittest.TestCase):
    def test_own_demand_of_the_spare_pool_goes_first(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 10.0, DemandHistory())
        self.assertEqual({OWN: 6}, lend(spare, {OWN: 50.0}))

    def test_nothing_is_lent_when_the_spare_pool_is_full(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 40.0, DemandHistory())
        self.assertEqual({OWN: 0}, lend(spare, {OWN: 50.0}))

    def test_small_need_is_met_and_the_rest_goes_to_the_large(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 0.0, DemandHistory())
        loans = lend(spare, {OWN: 50.0, OTHER: 2.5})
        self.assertEqual({OTHER: 3, OWN: 13}, loans)


class SizeTest(unittest.TestCase):
    def decide(
        self,
        own: PoolLoad,
        spare: PoolLoad,
        hold: Hold,
        now: float,
        user: str = 'even',
    ) -> tuple[int, Hold, Rule | None]:
        decision = decide_size(
            own, spare, 16, hold, now, PROFILES[user], SETTINGS
        )
        rule = decision.refusal.rule if decision.refusal else None
        return decision.change, decision.hold, rule

    def test_lasting_shortage_takes_an_instance_after_the_hold(self) -> None:
        own = load(OWN, 4, [12.0])
        spare = load(SPARE, 8, [4.0])
        change, hold, rule = self.decide(own, spare, Hold(), 0.0)
        self.assertEqual((0, Rule.MOVE_HOLD), (change, rule))
        change, hold, _ = self.decide(own, spare, hold, SETTINGS.hold_s)
        self.assertEqual(0, self.decide(own, spare, Hold(), 999.0)[0])
        self.assertEqual(1, change)

    def test_burst_shorter_than_the_hold_moves_nothing(self) -> None:
        steady = load(OWN, 8, [2.0, 3.0])
        spare = load(SPARE, 8, [0.5])
        hold = Hold()
        for second in range(12):
            steady.history.observe(10.0, 1.0, SETTINGS.half_life_s)
            change, hold, _ = self.decide(
                steady, spare, hold, float(second), 'chatarra-norte'
            )
            self.assertEqual(0, change)

    def test_move_back_waits_longer(self) -> None:
        own = load(OWN, 8, [0.5])
        spare = load(SPARE, 8, [0.5])
        hold = Hold(-1, 0.0, 1, 0.0)
        at = SETTINGS.hold_s + 1
        change, hold, rule = self.decide(own, spare, hold, at, 'blue-mountain')
        self.assertEqual((0, Rule.MOVE_HOLD), (change, rule))
        late = SETTINGS.reverse_s + 1
        change, _, _ = self.decide(own, spare, hold, late, 'blue-mountain')
        self.assertEqual(-1, change)

    def test_floor_holds(self) -> None:
        own = load(OWN, 2, [0.1])
        spare = load(SPARE, 8, [0.1])
        change, _, _ = self.decide(own, spare, Hold(-1, 0.0), 1e6)
        self.assertEqual(0, change)

    def test_no_decision_before_enough_was_seen(self) -> None:
        own = load(OWN, 4, [12.0], SETTINGS.learn_s / 2)
        spare = load(SPARE, 8, [4.0])
        self.assertEqual(0, self.decide(own, spare, Hold(1), 1e6)[0])

    def test_users_weigh_a_buffer_differently(self) -> None:
        own = load(OWN, 8, [0.2] * 4 + [3.0])
        spare = load(SPARE, 8, [0.5])
        ready = Hold(-1, 0.0)
        blue, _, _ = self.decide(own, spare, ready, 1e6, 'blue-mountain')
        chatarra, _, _ = self.decide(own, spare, ready, 1e6, 'chatarra-norte')
        self.assertEqual((-1, 0), (blue, chatarra))

    def test_history_widens_for_high_demand(self) -> None:
        history = DemandHistory()
        history.observe(500.0, 10.0, 1800.0)
        self.assertAlmostEqual(500.0, history.mean, delta=history.unit)

    def test_rounds_of_a_wave(self) -> None:
        self.assertEqual([1, 2, 3], [rounds(n, 2) for n in (1, 3, 5)])


class ChooseTest(unittest.TestCase):
    def test_idle_one_of_the_fullest_zone_is_given(self) -> None:
        view = {
            InstanceId('a'): item('a', 'x', running=1),
            InstanceId('b'): item('b', 'x'),
            InstanceId('c'): item('c', 'y'),
        }
        self.assertEqual('b', choose_instance(view, Plan()))

    def test_one_that_is_being_maintained_is_not_given(self) -> None:
        view = {InstanceId('a'): item('a')}
        plan = Plan(None, {'a': Step(StepState.CLAIMED)})
        self.assertIsNone(choose_instance(view, plan))


if __name__ == '__main__':
    unittest.main()
