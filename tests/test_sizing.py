from dataclasses import replace
import unittest

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.operators.explain import Rule
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepState
from primroseledge.policy.sizing import choose_instance
from primroseledge.policy.sizing import cost
from primroseledge.policy.sizing import decide_size
from primroseledge.policy.sizing import DemandSamples
from primroseledge.policy.sizing import find_shortage
from primroseledge.policy.sizing import Hold
from primroseledge.policy.sizing import lend
from primroseledge.policy.sizing import move_cost
from primroseledge.policy.sizing import PoolLoad
from primroseledge.policy.sizing import PROFILES
from primroseledge.policy.sizing import rounds
from primroseledge.policy.sizing import SizingSettings
from tests.test_wave import item

SETTINGS = SizingSettings()
OWN, SPARE, OTHER = (PoolId(name) for name in ('own', 'spare', 'other'))
MOST_AT_ONCE = 3
LEARNED = int(SETTINGS.learn_s / SETTINGS.interval_s)


def load(pool: PoolId, instances: int) -> PoolLoad:
    return PoolLoad(pool, instances, 8, 0.0, unavailable=2)


def sample(*rows: dict[PoolId, float], count: int = 60) -> DemandSamples:
    samples = DemandSamples()
    for number in range(count):
        row = rows[number % len(rows)]
        samples.add(number * SETTINGS.interval_s, row)
    return samples


class LendTest(unittest.TestCase):
    def test_own_demand_of_the_spare_pool_goes_first(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 10.0)
        self.assertEqual({OWN: 6}, lend(spare, {OWN: 50.0}))

    def test_nothing_is_lent_when_the_spare_pool_is_full(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 40.0)
        self.assertEqual({OWN: 0}, lend(spare, {OWN: 50.0}))

    def test_small_need_is_met_and_the_rest_goes_to_the_large(self) -> None:
        spare = PoolLoad(SPARE, 2, 8, 0.0)
        loans = lend(spare, {OWN: 50.0, OTHER: 2.5})
        self.assertEqual({OTHER: 3, OWN: 13}, loans)


class SizeTest(unittest.TestCase):
    def decide(
        self,
        sizes: tuple[int, int, int],
        samples: DemandSamples,
        hold: Hold,
        now: float,
        user: str = 'even',
    ) -> tuple[int, Hold, Rule | None]:
        own, other, spare = (
            load(pool, size)
            for pool, size in zip((OWN, OTHER, SPARE), sizes, strict=True)
        )
        shortage = find_shortage(samples, [own, other], spare)
        decision = decide_size(
            own, spare, shortage, hold, now, PROFILES[user], SETTINGS
        )
        rule = decision.refusal.rule if decision.refusal else None
        return decision.change, decision.hold, rule

    def test_lasting_shortage_takes_an_instance_after_the_hold(self) -> None:
        samples = sample({OWN: 12.0, OTHER: 12.0, SPARE: 0.5})
        sizes = (4, 8, 8)
        change, hold, rule = self.decide(sizes, samples, Hold(), 0.0)
        self.assertEqual((0, Rule.MOVE_HOLD), (change, rule))
        change, _, _ = self.decide(sizes, samples, hold, SETTINGS.hold_s)
        self.assertEqual(1, abs(change))

    def test_burst_shorter_than_the_hold_moves_nothing(self) -> None:
        samples = sample({OWN: 2.0, OTHER: 2.0, SPARE: 0.5})
        hold = Hold()
        for second in range(12):
            at = 300.0 + second
            samples.add(at, {OWN: 14.0, OTHER: 2.0, SPARE: 0.5})
            change, hold, _ = self.decide(
                (8, 8, 8), samples, hold, at, 'chatarra-norte'
            )
            self.assertEqual(0, change)

    def test_move_back_waits_longer(self) -> None:
        samples = sample({OWN: 0.5, OTHER: 0.5, SPARE: 0.5})
        hold = Hold(-1, 0.0, 1, 0.0)
        sizes, user = (8, 8, 8), 'blue-mountain'
        at = SETTINGS.hold_s + 1
        change, _, rule = self.decide(sizes, samples, hold, at, user)
        self.assertEqual((0, Rule.MOVE_HOLD), (change, rule))
        late = SETTINGS.reverse_s + 1
        change, _, _ = self.decide(sizes, samples, hold, late, user)
        self.assertEqual(MOST_AT_ONCE, -change)

    def change_of(self, floor: int, moves: float) -> int:
        own = replace(load(OWN, 4), floor=floor)
        other, spare = load(OTHER, 2), load(SPARE, 7)
        samples = sample({OWN: 0.5, OTHER: 0.5, SPARE: 0.5})
        return decide_size(
            own,
            spare,
            find_shortage(samples, [own, other], spare),
            Hold(-1, 0.0),
            1e6,
            replace(PROFILES['blue-mountain'], moves=moves),
            SETTINGS,
        ).change

    def test_floor_holds(self) -> None:
        self.assertEqual(-1, self.change_of(floor=3, moves=3.0))
        self.assertEqual(0, self.change_of(floor=4, moves=3.0))

    def test_move_that_costs_more_than_it_saves_is_not_made(self) -> None:
        self.assertEqual(0, self.change_of(floor=3, moves=1000.0))

    def test_no_decision_before_enough_was_seen(self) -> None:
        row = {OWN: 0.1, OTHER: 0.1, SPARE: 0.1}
        samples = sample(row, count=LEARNED - 1)
        ready = Hold(-1, 0.0)
        user = 'blue-mountain'
        self.assertEqual(
            0, self.decide((8, 8, 8), samples, ready, 1e6, user)[0]
        )
        samples = sample(row, count=LEARNED)
        self.assertEqual(
            -MOST_AT_ONCE,
            self.decide((8, 8, 8), samples, ready, 1e6, user)[0],
        )

    def test_users_weigh_a_buffer_differently(self) -> None:
        samples = sample({OWN: 0.5, OTHER: 0.5, SPARE: 0.5})
        ready = Hold(-1, 0.0)
        sizes = (4, 2, 7)
        blue, _, _ = self.decide(sizes, samples, ready, 1e6, 'blue-mountain')
        chatarra, _, _ = self.decide(
            sizes, samples, ready, 1e6, 'chatarra-norte'
        )
        self.assertEqual((-2, 0), (blue, chatarra))

    def test_bursts_at_once_share_what_the_spare_pool_lends(self) -> None:
        apart = sample(
            {OWN: 12.0, OTHER: 0.5, SPARE: 0.5},
            {OWN: 0.5, OTHER: 12.0, SPARE: 0.5},
        )
        together = sample(
            {OWN: 12.0, OTHER: 12.0, SPARE: 0.5},
            {OWN: 0.5, OTHER: 0.5, SPARE: 0.5},
        )
        loads = [load(OWN, 8), load(OTHER, 8)]
        spare = load(SPARE, 5)
        costs = [
            cost(
                loads[0],
                spare,
                0,
                find_shortage(samples, loads, spare),
                PROFILES['even'],
            )
            for samples in (apart, together)
        ]
        self.assertLess(costs[0], costs[1])

    def test_a_move_costs_less_of_a_large_fleet(self) -> None:
        small = move_cost(40, PROFILES['even'], SETTINGS)
        large = move_cost(31_000, PROFILES['even'], SETTINGS)
        self.assertAlmostEqual(31_000 / 40, small / large)

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
