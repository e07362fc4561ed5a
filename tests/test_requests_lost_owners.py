"""Takeovers of a cell after its owner was lost, judged by team limits."""

from collections.abc import Iterator
from unittest import TestCase

from primroseledge.ids import EntryId
from tests.requests_fleet import RequestsFleet
from tests.requests_records import WALL_S


class LostOwnersTest(TestCase):
    """What lost entry instances carried stays in each team's limit."""

    def fleets(self) -> Iterator[RequestsFleet]:
        for seed in range(20):
            fleet = RequestsFleet(4, 4, seed)
            fleet.run(4.0)
            yield fleet
            self.assertEqual(fleet.problems, [], seed)

    def load(
        self, fleet: RequestsFleet, entry: EntryId, is_idempotent: bool = True
    ) -> None:
        for _ in range(4):
            request_id = f'r{len(fleet.sendings)}'
            issued_at = WALL_S + fleet.now
            fleet.call(
                entry, request_id, issued_at, 'dealers', is_idempotent, 6.0
            )

    def test_owners_lost_in_a_row_pass_no_team_limit(self) -> None:
        for fleet in self.fleets():
            for _ in range(3):
                self.load(fleet, fleet.owner)
                fleet.run(0.02)
                fleet.crash(fleet.owner)
                fleet.take_over(fleet.owner)
                fleet.run(0.7)

    def test_a_team_deleted_at_a_takeover_passes_no_limit(self) -> None:
        for fleet in self.fleets():
            first, second, taker, other = fleet.entries
            self.load(fleet, first)
            self.load(fleet, second)
            fleet.run(0.02)
            fleet.crash(first)
            fleet.crash(second)
            fleet.take_over(taker)
            fleet.configure(without='dealers')
            fleet.run(0.6)
            fleet.configure()
            self.load(fleet, other)
            fleet.run(0.1)

    def test_an_attempt_that_expires_late_hides_no_other(self) -> None:
        for fleet in self.fleets():
            first, second, taker, late = fleet.entries
            fleet.faults.lost_answers = 1.0
            self.load(fleet, late, is_idempotent=False)
            fleet.run(0.001)
            fleet.hosts[late].paused_until = fleet.now + 1.0
            # The owner's count of these attempts is over after 5 s.
            fleet.run(4.899)
            fleet.faults.lost_answers = 0.0
            self.load(fleet, first)
            self.load(fleet, second)
            fleet.run(0.25)
            fleet.crash(first)
            fleet.crash(second)
            fleet.take_over(taker)
            fleet.run(0.55)
            self.load(fleet, taker)
            fleet.run(2.0)
