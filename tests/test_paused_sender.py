"""Tests of an owner that is paused between its last decision and a send.

They guard against orders, polls, calls and writes that leave under a lease
that has ended meanwhile, when another instance may act already.
"""

from contextlib import ExitStack
from os import kill
from os import waitpid
from os import WIFSTOPPED
from os import WUNTRACED
from signal import SIGCONT
from socket import create_server
from subprocess import PIPE
from subprocess import Popen
import sys
from threading import Thread
from time import clock_gettime
from time import sleep
from typing import Any
import unittest
from unittest.mock import Mock
from unittest.mock import patch

from urllib3.connection import HTTPConnection

from primroseledge.clock import boot_time
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.gateway.carrier import Carrier
from primroseledge.gateway.carrier import Outbound
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.ids import Boot
from primroseledge.ids import EntryId
from primroseledge.ids import GrantId
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import TeamId
from primroseledge.ids import WorkerId
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.owner.batch import Batch
from primroseledge.platform.daemon import call_instance_service
from primroseledge.platform.instance_client import PlatformInstanceClient
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.worker_client import PlatformWorkerClient
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import Target
from primroseledge.send_check import send_only_if
from tests.paused_sender import EPOCH
from tests.paused_sender import LEASE_S
from tests.paused_sender import owner_for
from tests.paused_sender import Results
from tests.paused_sender import TASK

PAUSE_S = 0.3
WAIT_S = 5.0


class ByteSink:
    """A server that keeps what one connection sends, and answers nothing."""

    def __init__(self) -> None:
        self.listener = create_server(('127.0.0.1', 0))
        self.listener.settimeout(WAIT_S)
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.received = b''
        self.thread = Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        with self.listener:
            connection, _ = self.listener.accept()
            with connection:
                connection.settimeout(WAIT_S)
                while data := connection.recv(65536):
                    self.received += data

    def take(self) -> bytes:
        """Return all bytes, once the client has closed the connection."""
        self.thread.join()
        return self.received


class PausedSenderTest(unittest.TestCase):
    """A connection that opens slowly stands for a pause."""

    def setUp(self) -> None:
        resources = self.enterContext(ExitStack())
        self.sink = ByteSink()
        self.rights = owner_for(PAUSE_S / 2)
        connect = HTTPConnection.connect

        def connect_slowly(connection: HTTPConnection) -> None:
            connect(connection)
            sleep(PAUSE_S)

        resources.enter_context(
            patch.object(HTTPConnection, 'connect', connect_slowly)
        )

    def send_to_worker(self, call: Any) -> OrderResult:
        inbox = Results()
        links = WorkerLinks(inbox, PlatformWorkerClient, self.rights)
        links.submit(call, EPOCH)
        report = inbox.items.get(timeout=WAIT_S).report
        links.close()
        result: OrderResult = report.result
        return result

    def target(self) -> Target:
        return Target(WorkerId('w'), Boot(1), self.sink.address)

    def test_an_order_is_not_sent(self) -> None:
        order = SendStart(self.target(), TASK, 1, '', '', 9)
        self.assertIs(OrderResult.NOT_SENT, self.send_to_worker(order))
        self.assertEqual(b'', self.sink.take())

    def test_a_poll_is_not_sent_beyond_its_grace(self) -> None:
        poll = SendPoll(self.target(), None, 0, 0.0)
        grace = 'primroseledge.cluster.fleet_ownership.POLL_GRACE_S'
        with patch(grace, PAUSE_S / 4):
            self.assertIs(OrderResult.NOT_SENT, self.send_to_worker(poll))
        self.assertEqual(b'', self.sink.take())

    def test_a_call_that_takes_an_instance_away_is_not_sent(self) -> None:
        client = PlatformInstanceClient(self.sink.address, EntryId('e'))
        loop: Any = Mock(rights=self.rights)
        call = StartMaintenance(InstanceId('i'), WaveNumber(1))
        report = call_instance_service(loop, client, call, EPOCH).report
        assert isinstance(report, InstanceAnswered)
        self.assertIs(InstanceResult.REFUSED, report.result)
        self.assertEqual(b'', self.sink.take())

    def test_a_batch_is_not_sent(self) -> None:
        thread = StoreThread(
            Results(),
            PlatformStore(self.sink.address),
            StoreKeys(),
            EntryId('e'),
            'host:1',
            create_fleet_metrics(),
        )
        thread.may_write = self.rights.may_send_orders
        result = thread.execute(
            StoreBatch(EPOCH, Revision(1), Batch(1, built_at=0.0))
        )
        self.assertEqual(OwnershipLost(EPOCH), result)
        self.assertEqual(b'', self.sink.take())

    def test_a_body_is_withheld_after_the_headers(self) -> None:
        """The receiver can't carry the call out without it."""
        answers = iter((True, False))
        client = HttpClient(self.sink.address)
        with (
            self.assertRaises(NoAnswerError),
            send_only_if(lambda: next(answers)),
        ):
            client.call('POST', '/', b'{"a": 1}', WAIT_S)
        received = self.sink.take()
        self.assertIn(b'Content-Length: 8', received)
        self.assertTrue(received.endswith(b'\r\n\r\n'), received)


class SuspendedCarrierTest(unittest.TestCase):
    def test_an_attempt_is_not_sent_after_a_suspension(self) -> None:
        """The monotonic clock stands still meanwhile; a grant ages."""
        connect = HTTPConnection.connect
        suspended_s = 0.0

        def connect_and_suspend(connection: HTTPConnection) -> None:
            nonlocal suspended_s
            connect(connection)
            suspended_s = 60.0

        def boot_clock(clock: int) -> float:
            return clock_gettime(clock) + suspended_s

        sink = ByteSink()
        carrier = Carrier(1, 1000)
        start = StartAttempt(
            handle=1,
            request_id=RequestId('r'),
            team=TeamId('t'),
            grant_id=GrantId('g'),
            upstream=InstanceId('u'),
            address=sink.address,
            timeout_s=WAIT_S,
            start_by=boot_time() + WAIT_S,
        )
        with (
            patch.object(HTTPConnection, 'connect', connect_and_suspend),
            patch('primroseledge.clock.clock_gettime', boot_clock),
        ):
            end, _ = carrier.carry(start, Outbound('POST', '/', {}, b'body'))
        carrier.close()
        self.assertIs(AttemptEnd.TOO_LATE, end)
        self.assertEqual(b'', sink.take())


class StoppedProcessTest(unittest.TestCase):
    def test_a_process_stopped_beyond_its_lease_sends_nothing(self) -> None:
        sink = ByteSink()
        command = [sys.executable, '-m', 'tests.paused_sender', sink.address]
        with Popen(command, stdout=PIPE, text=True) as process:
            _, status = waitpid(process.pid, WUNTRACED)
            self.assertTrue(WIFSTOPPED(status))
            sleep(LEASE_S)
            kill(process.pid, SIGCONT)
            printed, _ = process.communicate(timeout=WAIT_S)
        self.assertEqual('NOT_SENT', printed.strip())
        self.assertEqual(b'', sink.take())


if __name__ == '__main__':
    unittest.main()
