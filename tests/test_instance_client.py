"""Tests of what is known of a call to the instance service.

Guards against a call that counts as refused though it may have been made:
the instance would be given another task, or a second call beside the first.
"""

from contextlib import ExitStack
import unittest

from msgspec import json

from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.platform.instance_client import PlatformInstanceClient
from tests.raw_server import answer_with
from tests.raw_server import RawServer

CALL = StartMaintenance(InstanceId('i'), WaveNumber(1))


class InstanceClientTest(unittest.TestCase):
    def result_of(self, status: str, body: bytes) -> InstanceResult:
        with ExitStack() as resources:
            head = f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n'
            server = RawServer(answer_with(head.encode() + body), resources)
            client = PlatformInstanceClient(server.address, EntryId('e'))
            resources.callback(client.close)
            answered = client.call(CALL, Epoch(1))
            assert isinstance(answered, InstanceAnswered)
            return answered.result

    def test_an_error_of_the_service_leaves_the_outcome_unknown(self) -> None:
        for status in ('500 Error', '502 Bad Gateway', '504 Timeout'):
            for body in (b'{}', b'{"reason": "busy"}', b'no JSON'):
                with self.subTest(status, body=body):
                    self.assertIs(
                        InstanceResult.UNANSWERED, self.result_of(status, body)
                    )

    def test_refusals_are_told_apart_by_their_reason(self) -> None:
        for body, result in (
            (b'{"reason": "busy"}', InstanceResult.BUSY),
            (b'{"reason": "fence"}', InstanceResult.FENCED),
            (b'{"reason": "new"}', InstanceResult.REFUSED),
        ):
            with self.subTest(body):
                self.assertIs(result, self.result_of('409 Conflict', body))

    # A wave would take an instance that is left out for one that is gone.
    def test_an_instance_in_an_unknown_state_is_listed(self) -> None:
        rows = [
            {
                'machine': machine,
                'pool': 'p',
                'state': state,
                'zone': 'z',
                'labels': ['a', 'r'],
                'capacity': {'cpu': 1, 'memory_request_mb': 1, 'gpu': 0},
                'id': '',
            }
            for machine, state in (('m-1', 'up'), ('m-2', 'mending'))
        ]
        body = json.encode({'machines': rows, 'next_page_token': ''})
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        with ExitStack() as resources:
            server = RawServer(answer_with(head.encode() + body), resources)
            client = PlatformInstanceClient(server.address, EntryId('e'))
            resources.callback(client.close)
            listed = client.call(ListInstances(), Epoch(1))
        assert isinstance(listed, InstancesListed)
        self.assertEqual(
            [InstanceState.UP, InstanceState.UNKNOWN],
            [row.state for row in listed.rows],
        )


if __name__ == '__main__':
    unittest.main()
