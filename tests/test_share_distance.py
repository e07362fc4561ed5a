"""The measure of nearness to share."""

import unittest

from primroseledge.ids import TeamId
from primroseledge.requests.share_distance import measure_distances
from primroseledge.storage.documents import Team

A = TeamId('a')
B = TeamId('b')
TEAMS = {A: Team('a', 3, 10), B: Team('b', 1, 4)}


class ShareDistanceTest(unittest.TestCase):
    def measure(self, a: int, b: int, *waiting: TeamId) -> list[float]:
        found = measure_distances({A: a, B: b}, set(waiting), TEAMS)
        return [round(found.get(team, -1.0), 3) for team in (A, B)]

    def test_teams_at_their_shares(self) -> None:
        self.assertEqual([0.0, 0.0], self.measure(6, 2, A, B))

    def test_one_team_has_too_much_of_what_another_waits_for(self) -> None:
        self.assertEqual([0.25, 0.25], self.measure(4, 4, A))

    def test_nothing_waits(self) -> None:
        self.assertEqual([0.0, 0.0], self.measure(1, 4))

    def test_team_that_wants_no_more_is_at_its_share(self) -> None:
        self.assertEqual([0.0, 0.65], self.measure(1, 9, B))

    def test_team_at_its_limit_can_get_no_more(self) -> None:
        # 20 of 24 are five sixths, 1/12 over three quarters.
        self.assertEqual([0.083, 0.0], self.measure(20, 4, A, B))

    def test_team_without_work_is_not_measured(self) -> None:
        self.assertEqual([0.0, -1.0], self.measure(5, 0, A))
