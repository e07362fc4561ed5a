import unittest

from primroseledge.ids import InstanceId
from primroseledge.ids import ZoneId
from primroseledge.operators.explain import explain
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import REMEDIES
from primroseledge.operators.explain import Rule
from primroseledge.policy.budget import add_claim
from primroseledge.policy.budget import add_failures
from primroseledge.policy.budget import check_claim
from primroseledge.policy.budget import FailureWindow
from primroseledge.policy.budget import Ledger
from primroseledge.policy.budget import release_claim
from primroseledge.storage.documents import Budget

A, B, C = (InstanceId(name) for name in 'abc')
Z1, Z2 = ZoneId('z1'), ZoneId('z2')
BUDGET = Budget(2, 1, window_s=100.0)


class BudgetTest(unittest.TestCase):
    def refusal(
        self, ledger: Ledger, down: dict[InstanceId, ZoneId] | None = None
    ) -> Explanation | None:
        return check_claim(BUDGET, ledger, down or {}, C, Z2, 'w')

    def test_claim_is_allowed_within_both_limits(self) -> None:
        ledger = add_claim(Ledger(), A, Z1, 'w')
        self.assertIsNone(self.refusal(ledger))

    def test_zone_limit(self) -> None:
        refusal = self.refusal(add_claim(Ledger(), A, Z2, 'w'))
        assert refusal is not None
        self.assertIs(Rule.BUDGET_ZONE, refusal.rule)
        self.assertIn('claimed=1', explain(refusal))

    def test_recorded_and_seen_failures_spend(self) -> None:
        ledger = add_failures(Ledger(), {A: Z1})
        refusal = self.refusal(ledger, {B: Z1})
        assert refusal is not None
        self.assertIs(Rule.BUDGET, refusal.rule)
        self.assertEqual(2, refusal.numbers['failed'])

    def test_failed_instance_spends_its_own_part_only(self) -> None:
        self.assertIsNone(self.refusal(Ledger(), {A: Z1, C: Z2}))

    def test_other_operation_holds_the_instance(self) -> None:
        refusal = self.refusal(add_claim(Ledger(), C, Z2, 'move'))
        assert refusal is not None
        self.assertIs(Rule.CLAIMED_ELSEWHERE, refusal.rule)

    def test_release_by_another_operation_changes_nothing(self) -> None:
        ledger = add_claim(Ledger(), A, Z1, 'w')
        self.assertEqual(ledger, release_claim(ledger, A, 'x'))
        self.assertEqual(Ledger(), release_claim(ledger, A, 'w'))

    def test_window_begins_when_last_seen_down(self) -> None:
        window = FailureWindow()
        ledger = add_failures(Ledger(), {A: Z1})
        self.assertEqual([], window.expired(ledger, {A: Z1}, 50.0, 100.0))
        self.assertEqual([], window.expired(ledger, {}, 149.0, 100.0))
        self.assertEqual([A], window.expired(ledger, {}, 150.0, 100.0))

    def test_new_holder_starts_the_window_anew(self) -> None:
        ledger = add_failures(Ledger(), {A: Z1})
        window = FailureWindow()
        self.assertEqual([], window.expired(ledger, {}, 1e6, 100.0))

    def test_every_rule_says_what_would_change_it(self) -> None:
        self.assertEqual(set(Rule), set(REMEDIES))


if __name__ == '__main__':
    unittest.main()
