"""Who claims the fleet first."""

import unittest

from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.succession import claim_wait_s
from primroseledge.cluster.succession import LONGEST_S
from primroseledge.cluster.succession import STEP_S
from primroseledge.cluster.succession import WEAK_S
from primroseledge.ids import EntryId


def waits(*members: tuple[int, int]) -> list[float]:
    """Return the wait of members with these starts and processors."""
    records = {
        EntryId(f'entry-{number}'): MemberRecord(
            EntryId(f'entry-{number}'), '', started_ms, millis
        )
        for number, (started_ms, millis) in enumerate(members)
    }
    return [claim_wait_s(records, entry) for entry in records]


class SuccessionTest(unittest.TestCase):
    def test_the_youngest_of_equals_is_first(self) -> None:
        self.assertEqual(
            [2 * STEP_S, 0.0, STEP_S],
            waits((5000, 1000), (9000, 1000), (7000, 1000)),
        )

    def test_a_strong_member_goes_before_a_young_one(self) -> None:
        self.assertEqual([0.0, STEP_S], waits((5000, 2000), (9000, 1500)))

    def test_weak_members_leave_time_for_all_strong_ones(self) -> None:
        self.assertEqual(
            [WEAK_S, 0.0, WEAK_S], waits((9000, 500), (5000, 2150), (1, 100))
        )
        self.assertGreater(WEAK_S, LONGEST_S)

    def test_nobody_waits_long_for_members_that_may_be_gone(self) -> None:
        all_waits = waits(*((5000 + number, 1000) for number in range(40)))
        self.assertEqual(LONGEST_S, max(all_waits))

    def test_without_records_nobody_waits(self) -> None:
        self.assertEqual(0.0, claim_wait_s({}, EntryId('entry-0')))


if __name__ == '__main__':
    unittest.main()
