"""Single faults on a fleet of real cores, each for one property."""

from unittest import TestCase

from primroseledge.agreement.freshness import Evidence
from primroseledge.agreement.owner_state import OwnerState
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.requests.messages import ReportRequest
from tests.agreement_fleet import Fleet
from tests.agreement_node import CELL
from tests.agreement_node import Node

TEAM_KEY = 'config/team/sales'
TEAM = '{"id": "sales", "share": 1, "limit": %d}'


class FaultsTest(TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(5, 3)
        self.fleet.run(6.0)
        self.owner = self.fleet.owners()[0]
        self.others = [
            node for node in self.fleet.nodes.values() if node != self.owner
        ]

    def fresh(self) -> set[EntryId]:
        return {n.id for n in self.fleet.nodes.values() if n.is_fresh()}

    def node(self, node: Node) -> Node:
        """Return the present run of a node."""
        return self.fleet.nodes[node.id]

    def fail_store(self) -> None:
        self.fleet.faults.store_cut = set(self.fleet.entries)

    def test_work_goes_on_in_an_outage_of_an_hour(self) -> None:
        self.fail_store()
        self.fleet.run(3600.0)
        self.assertEqual(self.fresh(), set(self.fleet.entries))
        self.assertEqual(self.fleet.owners(), [self.owner])

    def test_node_cut_off_alone_stops_within_seconds(self) -> None:
        lone = self.others[0]
        self.fail_store()
        self.fleet.split({lone.id})
        self.fleet.run(3.6)
        self.assertNotIn(lone.id, self.fresh())
        self.assertEqual(len(self.fresh()), 4)

    def test_all_restarted_in_an_outage_serve_nothing_until_it_ends(
        self,
    ) -> None:
        self.fail_store()
        for entry in self.fleet.entries:
            self.fleet.restart(entry)
        self.fleet.run(60.0)
        self.assertEqual(self.fresh(), set())
        self.assertEqual(self.fleet.owners(), [])
        self.fleet.mend()
        self.fleet.run(12.0)
        self.assertEqual(self.fresh(), set(self.fleet.entries))
        self.assertEqual(len(self.fleet.owners()), 1)

    def test_restarted_majority_does_not_vouch_for_an_old_view(self) -> None:
        # Three accept a change; the other two have not heard of it. The
        # three forget it: nobody may serve the old view from then on.
        late = self.others[:2]
        knowing = [self.owner, *self.others[2:]]
        self.fleet.split({node.id for node in late})
        self.fleet.faults.store_cut = {node.id for node in late}
        self.fleet.put(TEAM_KEY, TEAM % 4)
        self.fleet.run(1.0)
        self.fail_store()
        for node in knowing:
            self.fleet.restart(node.id)
        self.fleet.faults.cut.clear()
        self.fleet.run(30.0)
        self.assertEqual(self.fresh(), set())

    def test_change_is_not_accepted_by_a_small_half_with_the_store(
        self,
    ) -> None:
        small = [self.owner, self.others[0]]
        self.fleet.split({node.id for node in small})
        self.fleet.faults.store_cut = {node.id for node in self.others[1:]}
        revision = self.fleet.put(TEAM_KEY, TEAM % 4)
        self.fleet.run(10.0)
        for node in small:
            self.assertGreaterEqual(node.configuration.revision, revision)
            members = node.configuration.members
            self.assertFalse(node.freshness.is_accepted(revision, members))
        # The large half goes on with the old view, hence the rule.
        old = self.others[1]
        members = old.configuration.members
        evidence = old.freshness.evidence(members, old.clock())
        self.assertIs(evidence, Evidence.MAJORITY)

    def test_large_half_without_the_store_gets_no_second_owner(self) -> None:
        self.fleet.split({self.owner.id, self.others[0].id})
        self.fleet.faults.store_cut = {node.id for node in self.others[1:]}
        self.fleet.run(20.0)
        self.assertEqual(self.fleet.owners(), [self.owner])

    def test_paused_owner_does_not_act_when_it_wakes(self) -> None:
        self.fleet.pause(self.owner.id, 12.0)
        self.fleet.run(11.9)
        successors = self.fleet.owners()
        self.assertEqual(len(successors), 1)
        # Before any message or timer, by its own clock alone.
        self.assertIs(self.owner.ownership.state, OwnerState.OWNER)
        self.assertFalse(self.owner.may_act())

    def test_one_broken_link_deposes_nobody(self) -> None:
        lone = self.others[0]
        self.fleet.faults.cut = {
            (lone.id, self.owner.id),
            (self.owner.id, lone.id),
        }
        self.fleet.run(30.0)
        self.assertEqual(self.fleet.owners(), [self.owner])

    def test_waiting_taker_that_leaves_releases_nothing(self) -> None:
        self.fleet.pause(self.owner.id, 4.0)
        takers: list[Node] = []
        for _ in range(1000):
            self.fleet.run(0.005)
            takers = [
                node
                for node in self.others
                if node.ownership.state is OwnerState.WAITING
            ]
            if takers:
                break
        record = self.fleet.store.records['owner/main']
        takers[0].leave()
        self.fleet.run(0.1)
        self.assertEqual(self.fleet.store.records['owner/main'], record)

    def test_grant_that_lay_in_a_buffer_is_not_used(self) -> None:
        entry = self.others[0]
        epoch = self.owner.ownership.epoch
        may_start = entry.ownership.may_start
        self.assertTrue(may_start(epoch, entry.clock()))
        self.fleet.faults.cut = {(self.owner.id, entry.id)}
        self.fleet.run(3.6)
        self.assertFalse(may_start(epoch, entry.clock()))
        self.assertIs(entry.ownership.state, OwnerState.FOLLOWER)

    def test_lost_answer_of_the_takers_write_is_read_back(self) -> None:
        record = self.fleet.store.records['owner/main']
        self.fleet.crash(self.owner.id)
        for _ in range(5000):
            self.fleet.run(0.001)
            writing = [n for n in self.others if n.ownership.access.is_writing]
            if writing:
                self.fleet.faults.lost_answers = 1.0
            if self.fleet.store.records['owner/main'] != record:
                break
        self.fleet.run(0.1)
        self.fleet.faults.lost_answers = 0.0
        self.assertIs(writing[0].ownership.state, OwnerState.CANDIDATE)
        self.fleet.run(8.0)
        self.assertEqual(self.fleet.owners(), writing)
        self.assertEqual(writing[0].ownership.epoch, 2)

    def test_run_that_has_not_read_the_record_neither_votes_nor_reports(
        self,
    ) -> None:
        self.fail_store()
        self.fleet.restart(self.others[0].id)
        self.fleet.run(2.0)
        core = self.node(self.others[0]).ownership
        self.assertEqual(core.stated_epochs, {})
        request = ReportRequest(CELL, Epoch(9))
        sender, run = self.others[1].id, self.others[1].incarnation
        self.assertEqual(core.on_report_request(sender, run, request), [])
        self.assertEqual(core.epoch, 0)

    def test_replacing_all_one_by_one_keeps_one_owner_at_a_time(self) -> None:
        for entry in self.fleet.entries:
            self.fleet.nodes[entry].leave()
            self.fleet.run(0.5)
            self.assertEqual(len(self.fleet.owners()), 1)
            self.fleet.restart(entry)
            self.fleet.run(4.0)
        self.assertEqual(len(self.fleet.owners()), 1)
