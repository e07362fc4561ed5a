"""Tests of how often the owner reads the list of workers."""

import unittest

from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.maintenance.instance_list import Operation
from tests.test_fleet_node import NodeBench


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
        failed = WorkerListFailed('down')
        bench.node.handle_worker_list_failed(failed, bench.now)
        bench.reconcile(0.01)
        self.assertEqual([], bench.commands_of(ListWorkers))
        bench.reconcile(0.25)
        self.assertEqual(1, len(bench.commands_of(ListWorkers)))


if __name__ == '__main__':
    unittest.main()
