"""Tests of the order in which members claim the ownership of the fleet.

They guard against members that claim at the same time, and against a weak
member that becomes the owner while a strong one could.
"""

import unittest

from primroseledge.cluster.claim_order import CLAIM_STAGGER_S
from primroseledge.cluster.claim_order import claim_wait_s
from primroseledge.cluster.claim_order import MAX_STAGGER_S
from primroseledge.cluster.claim_order import WEAK_CLAIM_WAIT_S
from primroseledge.cluster.keys import MemberRecord
from primroseledge.ids import EntryId


def claim_waits_s(*members: tuple[int, int]) -> list[float]:
    """Return each member's wait before its claim, in seconds.

    A member is a start time in ms and its processors in thousandths.
    """
    records = {
        EntryId(f'entry-{number}'): MemberRecord(
            EntryId(f'entry-{number}'), '', started_ms, millis
        )
        for number, (started_ms, millis) in enumerate(members)
    }
    return [claim_wait_s(records, entry) for entry in records]


class ClaimOrderTest(unittest.TestCase):
    def test_the_youngest_of_equals_is_first(self) -> None:
        self.assertEqual(
            [2 * CLAIM_STAGGER_S, 0.0, CLAIM_STAGGER_S],
            claim_waits_s((5000, 1000), (9000, 1000), (7000, 1000)),
        )

    def test_a_strong_member_claims_before_a_young_one(self) -> None:
        self.assertEqual(
            [0.0, CLAIM_STAGGER_S], claim_waits_s((5000, 2000), (9000, 1500))
        )

    def test_weak_members_wait_longer_than_all_strong_ones(self) -> None:
        self.assertEqual(
            [WEAK_CLAIM_WAIT_S, 0.0, WEAK_CLAIM_WAIT_S],
            claim_waits_s((9000, 500), (5000, 2150), (1, 100)),
        )
        self.assertGreater(WEAK_CLAIM_WAIT_S, MAX_STAGGER_S)

    def test_the_wait_for_other_members_is_bounded(self) -> None:
        all_waits = claim_waits_s(
            *((5000 + number, 1000) for number in range(40))
        )
        self.assertEqual(MAX_STAGGER_S, max(all_waits))

    def test_without_member_records_there_is_no_wait(self) -> None:
        self.assertEqual(0.0, claim_wait_s({}, EntryId('entry-0')))


if __name__ == '__main__':
    unittest.main()
