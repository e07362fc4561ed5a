"""Tests of which ownership gets the answers of the instance service.

Guards against an answer to a call of an earlier epoch of this instance, which
the engine of the current one would take for the answer to its own call.
"""

from contextlib import ExitStack
from typing import Any
import unittest

from primroseledge.cluster.node_events import handle_event
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import ListFailed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.platform.daemon import call_instance_service
from primroseledge.platform.daemon import create_loop
from primroseledge.platform.daemon import fail_instance_call
from primroseledge.platform.settings import PlatformSettings
from standins.processes import free_port

EPOCH = Epoch(5)
CALL = StartMaintenance(InstanceId('i'), WaveNumber(1))


class RecordingEngine:
    """An engine that keeps the reports it is given."""

    def __init__(self) -> None:
        self.reports: list[InstanceReport] = []

    def handle_instance_report(
        self, report: InstanceReport, now: float
    ) -> None:
        self.reports.append(report)


class UnreachableService:
    """A client of an instance service that answers nothing."""

    def call(self, call: Any, epoch: Epoch) -> ListFailed:
        return ListFailed('no answer')


class InstanceReportTest(unittest.TestCase):
    def setUp(self) -> None:
        resources = self.enterContext(ExitStack())
        address = f'127.0.0.1:{free_port()}'
        settings = PlatformSettings(
            entry_id='entry-0',
            zone='north',
            caller_address=address,
            ready_address=address,
            peer_address=address,
            store_address=address,
            fleet_address=address,
        )
        self.loop = create_loop(settings, create_fleet_metrics(), resources)
        self.loop.node.ownership.epoch = EPOCH
        self.engine = RecordingEngine()
        engine: Any = self.engine
        self.loop.node.engine = engine

    def report(self, call: Any, epoch: Epoch) -> int:
        """Make a call twice, once with a defect; count the reports of it."""
        client: Any = UnreachableService()
        for result in (
            call_instance_service(self.loop, client, call, epoch),
            fail_instance_call((call, epoch), ValueError()),
        ):
            handle_event(self.loop.node, result, 1.0)
        return len(self.engine.reports)

    def test_calls_of_the_current_epoch_are_reported(self) -> None:
        self.assertEqual(2, self.report(CALL, EPOCH))
        self.assertEqual(4, self.report(ListInstances(), EPOCH))

    def test_calls_of_an_earlier_epoch_are_not_reported(self) -> None:
        self.assertEqual(0, self.report(CALL, Epoch(3)))
        self.assertEqual(0, self.report(ListInstances(), Epoch(3)))


if __name__ == '__main__':
    unittest.main()
