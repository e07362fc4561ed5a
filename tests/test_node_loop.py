"""Tests of an entry instance's servers and of its loop's shutdown.

Guards against an occupied metrics port that keeps callers from being
served, and against callers that wait for their whole deadline because
the loop ended before or while they called.
"""

from _thread import start_new_thread
from contextlib import ExitStack
from contextlib import redirect_stderr
from io import StringIO
from socket import create_connection
from socket import socket
import threading
from threading import Thread
from time import monotonic
from time import sleep
from typing import Any
import unittest

from primroseledge.cluster.messages import StateRequest
from primroseledge.http_client import HttpClient
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.platform.daemon import create_loop
from primroseledge.platform.daemon import ShutdownTimer
from primroseledge.platform.daemon import split_address
from primroseledge.platform.daemon import start_server
from primroseledge.platform.daemon import start_servers
from primroseledge.platform.settings import PlatformSettings
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict
from standins.processes import free_port

REQUEST = StateRequest(QueueId('sheets'), JobId('0' * 16))
CALL_WAIT_S = 5.0
PROMPT_ANSWER_S = 1.0


class ServersTest(unittest.TestCase):
    def test_occupied_metrics_port_disables_only_metrics(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        occupied = resources.enter_context(socket())
        occupied.bind(('127.0.0.1', 0))
        occupied.listen()
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
            metrics_address=f'127.0.0.1:{occupied.getsockname()[1]}',
        )
        loop = create_loop(settings, create_fleet_metrics(), resources)
        with self.assertLogs('primroseledge') as logged:
            start_servers(settings, loop, resources)
        self.assertIn('no metrics on', logged.output[0])
        client = HttpClient(ready)
        resources.callback(client.close)
        answer = client.call('GET', '/', None, PROMPT_ANSWER_S)
        self.assertEqual(503, answer.status)


BAD_CHUNK = (
    b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'
)
BUFFER_BYTES = 4096


class BrokenOutput(StringIO):
    """A standard error whose reader is gone."""

    def write(self, text: str) -> int:
        raise BrokenPipeError


class ServerErrorsTest(unittest.TestCase):
    def test_silent_connections_hold_no_server_thread(self) -> None:
        resources = self.enterContext(ExitStack())

        def application(environ: Any, start_response: Any) -> list[bytes]:
            start_response('200 OK', [('Content-Length', '0')])
            return [b'']

        address = f'127.0.0.1:{free_port()}'
        start_server(address, 1, application, resources)
        for _ in range(3):
            resources.enter_context(create_connection(split_address(address)))
        # Time for the server to accept the connections in their order.
        sleep(0.3)
        client = HttpClient(address)
        resources.callback(client.close)
        answer = client.call('GET', '/', None, PROMPT_ANSWER_S)
        self.assertEqual(200, answer.status)

    def test_bad_requests_do_not_end_a_server_without_stderr(self) -> None:
        resources = self.enterContext(ExitStack())

        def application(environ: Any, start_response: Any) -> list[bytes]:
            body = environ['wsgi.input'].read(10)
            start_response('200 OK', [('Content-Length', str(len(body)))])
            return [body]

        address = f'127.0.0.1:{free_port()}'
        start_server(address, 1, application, resources)
        resources.enter_context(redirect_stderr(BrokenOutput()))
        logged = resources.enter_context(self.assertLogs('primroseledge'))
        for _ in range(2):
            with create_connection(
                split_address(address), PROMPT_ANSWER_S
            ) as caller:
                caller.sendall(BAD_CHUNK)
                caller.recv(BUFFER_BYTES)
        client = HttpClient(address)
        resources.callback(client.close)
        answer = client.call('GET', '/', b'all', PROMPT_ANSWER_S)
        self.assertEqual(b'all', answer.body)
        self.assertEqual(2, len(logged.records))


class LoopShutdownTest(unittest.TestCase):
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

    def call(self) -> None:
        self.answers.append(self.loop.call(REQUEST, CALL_WAIT_S))

    def test_waiting_caller_is_answered_when_loop_ends(self) -> None:
        self.thread.start()
        caller = Thread(target=self.call)
        caller.start()
        sleep(0.3)
        self.assertEqual([], self.answers)
        self.loop.stop()
        caller.join(PROMPT_ANSWER_S)
        [answer] = self.answers
        self.assertIs(Verdict.UNREADABLE, answer.verdict)
        self.thread.join(PROMPT_ANSWER_S)

    def test_a_signal_during_the_start_of_a_thread_is_not_stuck(self) -> None:
        timer = ShutdownTimer(self.loop, 0.0)
        self.addCleanup(self.thread.join)
        self.addCleanup(self.loop.stop)
        self.addCleanup(timer.cancel)
        self.thread.start()
        # The lock that a thread holds while it starts another one.
        with threading._active_limbo_lock:
            start_new_thread(timer.start, ())
            self.thread.join(PROMPT_ANSWER_S)
        self.assertFalse(self.loop.is_running)
        self.thread.join(PROMPT_ANSWER_S)

    def test_caller_after_loop_end_is_answered_immediately(self) -> None:
        self.thread.start()
        self.loop.stop()
        self.thread.join(PROMPT_ANSWER_S)
        began_at = monotonic()
        self.call()
        self.assertLess(monotonic() - began_at, PROMPT_ANSWER_S)
        self.assertIs(Verdict.UNREADABLE, self.answers[0].verdict)


if __name__ == '__main__':
    unittest.main()
