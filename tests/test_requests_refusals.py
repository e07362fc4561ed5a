"""Refusals of ids that were sent more than once, over slow links."""

from unittest import TestCase

from tests.requests_fleet import RequestsFleet
from tests.requests_records import WALL_S


class RefusalOnItsWayTest(TestCase):
    def test_a_refusal_on_its_way_is_true_when_it_arrives(self) -> None:
        for seed in range(20):
            fleet = RequestsFleet(4, 4, seed)
            fleet.faults.jitter_s = 0.5
            for entry in fleet.entries[1:]:
                issued_at = WALL_S + fleet.now
                fleet.call(entry, 'r0', issued_at, 'yards', False, 6.0)
            fleet.run(0.02)
            fleet.configure(without='yards')
            fleet.run(0.1)
            fleet.configure()
            fleet.run(2.0)
            self.assertEqual(fleet.problems, [], seed)
