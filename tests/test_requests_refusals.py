"""Refusals of ids that were sent more than once, over slow links."""

from unittest import TestCase

from primroseledge.constants import MIN_ATTEMPT_S
from primroseledge.ids import EntryId
from tests.requests_fleet import RequestsFleet
from tests.requests_records import LINK_S
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


class RefusedIdTest(TestCase):
    """Of a refused id, sendings on their way don't run; new ones do."""

    def setUp(self) -> None:
        self.fleet = RequestsFleet(4, 4, 0)
        self.issued_at = WALL_S + self.fleet.now

    def send(self, entry: str, timeout_s: float = 6.0) -> None:
        self.fleet.call(
            EntryId(entry), 'r0', self.issued_at, 'yards', False, timeout_s
        )

    def refuse_at(self, entry: str) -> None:
        """Let the owner refuse the id as its team is gone for a moment."""
        self.fleet.configure(without='yards')
        self.send(entry)
        self.fleet.run(0.3)
        self.fleet.configure()
        self.assertIn('r0', self.fleet.judge.told_not_run)

    def assert_runs(self, count: int) -> None:
        self.assertEqual(self.fleet.problems, [])
        self.assertEqual(self.fleet.judge.ran['r0'], count)

    def test_a_new_attempt_of_the_caller_runs_through_any_instance(
        self,
    ) -> None:
        for entry in ('e0', 'e1', 'e2'):
            with self.subTest(entry):
                self.setUp()
                self.refuse_at('e1')
                self.fleet.run(1.0)
                self.send(entry)
                self.fleet.run(8.0)
                self.assert_runs(1)

    def test_a_sending_that_an_instance_held_back_does_not_run(self) -> None:
        self.fleet.faults.cut = {EntryId('e2')}
        self.send('e2')
        self.fleet.run(0.1)
        self.refuse_at('e1')
        self.fleet.faults.cut = set()
        self.fleet.run(8.0)
        self.assert_runs(0)

    def test_nor_after_a_refusal_by_an_instance_without_connection(
        self,
    ) -> None:
        self.fleet.faults.cut = {EntryId('e2')}
        self.send('e2')
        self.fleet.run(0.1)
        self.fleet.faults.no_connection = 1.0
        # Its first attempt ends with too little time left for another.
        self.send('e1', MIN_ATTEMPT_S + 2.9 * LINK_S)
        self.fleet.run(0.1)
        self.assertIn('r0', self.fleet.judge.told_not_run)
        self.fleet.faults.no_connection = 0.0
        self.fleet.faults.cut = set()
        self.fleet.run(8.0)
        self.assert_runs(0)

    def test_nor_under_the_next_owner_after_a_handover(self) -> None:
        self.fleet.faults.cut = {EntryId('e2')}
        self.send('e2')
        self.fleet.run(0.1)
        self.refuse_at('e1')
        self.fleet.take_over(EntryId('e3'))
        self.fleet.run(1.0)
        self.fleet.faults.cut = set()
        self.fleet.run(6.0)
        self.assert_runs(0)
        self.send('e2')
        self.fleet.run(8.0)
        self.assert_runs(1)

    def test_a_refusal_that_comes_after_the_deadline_is_not_told(
        self,
    ) -> None:
        self.fleet.configure(without='yards')
        self.send('e1')
        self.fleet.hosts[EntryId('e1')].paused_until = self.fleet.now + 6.5
        self.fleet.run(6.4)
        self.fleet.configure()
        self.send('e2')
        self.fleet.run(8.0)
        self.assertNotIn('r0', self.fleet.judge.told_not_run)
        self.assert_runs(1)
