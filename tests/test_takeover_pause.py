"""Tests of how long a new owner leaves instances alone.

They guard against pools that stay small for a second after each takeover,
while jobs wait, and against calls beside those of a predecessor.
"""

import unittest

from msgspec import msgpack

from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.fleet_node import TAKEOVER_PAUSE_S
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from tests.test_fleet_node import CONFIGURATION
from tests.test_fleet_node import NodeBench
from tests.test_fleet_node import OWN_ENTRY

OTHER = EntryId('entry-9')
RESTORE_S = 0.7


class TakeoverPauseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = NodeBench()
        self.bench.renew_lease()
        self.bench.apply_keys(CONFIGURATION)

    def remove_owner(self, revision: int) -> float:
        """Have the store report that there is no owner; return when."""
        gone = Item(OWNER_KEY, None, Revision(revision))
        self.bench.apply_keys(gone, is_complete=False)
        return self.bench.now

    def take_over(self, epoch: int) -> float:
        """Win the claim, restore later, and return when the pause ends."""
        bench = self.bench
        bench.reconcile(0.6)
        self.assertIs(FleetOwnershipState.CLAIMING, bench.node.ownership.state)
        view = OwnerView(Epoch(epoch), OWN_ENTRY, bench.node.address)
        bench.node.handle_claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.renew_lease()
        bench.reconcile(RESTORE_S)
        restored = JobsRestored(Epoch(epoch), (), (), (), ())
        bench.node.handle_jobs_restored(restored, bench.now)
        assert bench.node.engine is not None
        return bench.node.engine.instance_list.may_change_instances_from

    def test_the_pause_counts_from_the_end_of_the_predecessor(self) -> None:
        self.bench.apply_owner(OwnerView(Epoch(4), OTHER, 'b'), 20)
        ended_at = self.remove_owner(21)
        self.assertAlmostEqual(
            ended_at + TAKEOVER_PAUSE_S, self.take_over(epoch=5)
        )

    def test_the_pause_after_an_unnoticed_owner_is_whole(self) -> None:
        self.bench.apply_owner(OwnerView(Epoch(4), OTHER, 'b'), 20)
        self.remove_owner(21)
        paused_until = self.take_over(epoch=6)
        claimed_at = self.bench.now - RESTORE_S
        self.assertAlmostEqual(claimed_at + TAKEOVER_PAUSE_S, paused_until)

    def test_a_second_owner_begins_the_pause_anew(self) -> None:
        self.bench.apply_owner(OwnerView(Epoch(4), OTHER, 'b'), 20)
        self.remove_owner(21)
        self.bench.now += 0.3
        value = msgpack.encode(OwnerView(Epoch(5), OTHER, 'b'))
        seen = Item(OWNER_KEY, value, Revision(22))
        gone = Item(OWNER_KEY, None, Revision(23))
        self.bench.apply_keys(seen, gone, is_complete=False)
        ended_at = self.bench.now
        self.assertAlmostEqual(
            ended_at + TAKEOVER_PAUSE_S, self.take_over(epoch=6)
        )

    def test_a_process_that_has_restarted_leaves_no_calls_behind(self) -> None:
        own_record = OwnerView(Epoch(4), OWN_ENTRY, self.bench.node.address)
        self.bench.apply_owner(own_record)
        (release,) = self.bench.commands_of(ReleaseOwner)
        self.assertTrue(release.has_no_calls_in_flight)


if __name__ == '__main__':
    unittest.main()
