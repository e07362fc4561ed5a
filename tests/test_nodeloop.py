"""The loop of an entry instance, where its threads meet."""

from contextlib import ExitStack
from socket import socket
from threading import Thread
from time import monotonic
from time import sleep
import unittest

from primroseledge.cluster.messages import StateRequest
from primroseledge.httpclient import HttpClient
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import Verdict
from primroseledge.observability.fleetmetrics import create_fleet_metrics
from primroseledge.platform.daemon import create_loop
from primroseledge.platform.daemon import start_servers
from primroseledge.platform.settings import PlatformSettings
from standins.processes import free_port

REQUEST = StateRequest(QueueId('sheets'), JobId('0' * 16))
WAIT_S = 5.0
AT_ONCE_S = 1.0


class ServersTest(unittest.TestCase):
    def test_a_port_that_is_taken_costs_the_metrics_only(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        taken = resources.enter_context(socket())
        taken.bind(('127.0.0.1', 0))
        taken.listen()
        peers, callers, ready, store = (
            f'127.0.0.1:{free_port()}' for _ in range(4)
        )
        settings = PlatformSettings(
            entry_id='entry-0',
            zone='north',
            caller_address=callers,
            ready_address=ready,
            peer_address=peers,
            store_address=store,
            fleet_address=store,
            metrics_address=f'127.0.0.1:{taken.getsockname()[1]}',
        )
        loop = create_loop(settings, create_fleet_metrics(), resources)
        with self.assertLogs('primroseledge') as logged:
            start_servers(settings, loop, resources)
        self.assertIn('no metrics on', logged.output[0])
        client = HttpClient(ready)
        resources.callback(client.close)
        answer = client.call('GET', '/', None, AT_ONCE_S)
        self.assertEqual(503, answer.status)


class EndOfLoopTest(unittest.TestCase):
    def setUp(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
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
        self.thread = Thread(target=self.loop.run)
        self.answers: list[Answer] = []

    def ask(self) -> None:
        self.answers.append(self.loop.call(REQUEST, WAIT_S))

    def test_whoever_waits_is_answered_when_the_loop_ends(self) -> None:
        self.thread.start()
        caller = Thread(target=self.ask)
        caller.start()
        sleep(0.3)
        self.assertEqual([], self.answers)
        self.loop.end()
        caller.join(AT_ONCE_S)
        [answer] = self.answers
        self.assertIs(Verdict.UNREADABLE, answer.verdict)
        self.thread.join(AT_ONCE_S)

    def test_whoever_comes_later_is_answered_at_once(self) -> None:
        self.thread.start()
        self.loop.end()
        self.thread.join(AT_ONCE_S)
        began_at = monotonic()
        self.ask()
        self.assertLess(monotonic() - began_at, AT_ONCE_S)
        self.assertIs(Verdict.UNREADABLE, self.answers[0].verdict)


if __name__ == '__main__':
    unittest.main()
