"""Tests of how often the owner reads the list of workers."""

import unittest

from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.messages import OwnerView
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.maintenance.instance_list import Operation
from tests.test_fleet_node import NodeBench
from tests.test_fleet_node import OWN_ENTRY


class WorkerListTest(unittest.TestCase):
    def test_a_failed_list_is_not_read_again_at_once_while_instances_move(
        self,
    ) -> None:
        bench = NodeBench()
        bench.become_owner()
        engine = bench.node.engine
        assert engine is not None
        instance = InstanceId('m-1')
        engine.instance_list.operations[instance] = Operation(
            instance, None, None, target_pool=ServiceId('copper')
        )
        bench.reconcile(1.1)
        self.assertEqual(1, len(bench.commands_of(ListWorkers)))
        failed = WorkerListFailed('down', Epoch(1))
        bench.node.handle_worker_list_failed(failed, bench.now)
        bench.reconcile(0.01)
        self.assertEqual([], bench.commands_of(ListWorkers))
        bench.reconcile(0.25)
        self.assertEqual(1, len(bench.commands_of(ListWorkers)))


class EarlierListTest(unittest.TestCase):
    def test_a_list_of_an_earlier_epoch_brings_no_worker_back(self) -> None:
        """The worker left while this instance was not the owner."""
        bench = NodeBench()
        bench.become_owner()
        bench.reconcile(1.1)
        entries = (Item('worker-1', b'good', Revision(9)),)
        bench.node.handle_lease_lost()
        bench.reconcile()
        bench.renew_lease()
        bench.apply_keys(Item('configuration', b'2', Revision(50)))
        view = OwnerView(Epoch(3), OWN_ENTRY, bench.node.address)
        bench.node.handle_claim_won(ClaimWon(view, Revision(60)), bench.now)
        bench.node.handle_jobs_restored(
            JobsRestored(Epoch(3), (), (), (), ()), bench.now
        )
        engine = bench.node.engine
        assert engine is not None
        bench.node.handle_workers_listed(
            WorkersListed(entries, Epoch(1)), bench.now
        )
        self.assertEqual({}, engine.state.workers)
        bench.node.handle_workers_listed(
            WorkersListed(entries, Epoch(3)), bench.now
        )
        self.assertEqual(1, len(engine.state.workers))


if __name__ == '__main__':
    unittest.main()
