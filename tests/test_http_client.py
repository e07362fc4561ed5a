"""Tests of HTTP calls to servers that answer wrongly or slowly.

Guards against a call that raises what its thread does not expect, or that
never returns: the loop would wait for its result for ever.
"""

from contextlib import ExitStack
from socket import socket
from threading import Event as ThreadEvent
from time import monotonic
import unittest

from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from tests.raw_server import answer_with
from tests.raw_server import drip
from tests.raw_server import RawServer
from tests.raw_server import Script

OK_LINE = b'HTTP/1.1 200 OK\r\n'
CHUNKED = OK_LINE + b'Transfer-Encoding: chunked\r\n\r\n'
TIMEOUT_S = 0.4
LONGEST_CALL_S = 2.0
"""Far above the time-out, far below the time that the server takes."""


class WrongAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.resources = self.enterContext(ExitStack())

    def client(self, script: Script) -> HttpClient:
        server = RawServer(script, self.resources)
        client = HttpClient(server.address)
        self.resources.callback(client.close)
        return client

    def expect_no_answer(self, script: Script) -> None:
        client = self.client(script)
        with self.assertRaises(NoAnswerError):
            client.call('POST', '/', b'{}', TIMEOUT_S)

    def test_a_length_beyond_memory_is_no_answer(self) -> None:
        for length in (b'9' * 23, b'4' + b'0' * 18):
            with self.subTest(length):
                self.expect_no_answer(
                    answer_with(
                        OK_LINE + b'Content-Length: ' + length + b'\r\n\r\na'
                    )
                )

    def test_a_chunk_beyond_memory_is_no_answer(self) -> None:
        for size in (b'F' * 24, b'3' + b'F' * 15, b'-5'):
            with self.subTest(size):
                self.expect_no_answer(
                    answer_with(CHUNKED + size + b'\r\nabc\r\n')
                )

    def test_broken_answers_are_no_answer(self) -> None:
        for answer in (
            b'garbage\r\n\r\n',
            b'HTTP/1.1 abc OK\r\n\r\n',
            CHUNKED + b'zz\r\nabc\r\n',
            OK_LINE + b'X: ' + b'a' * 100_000 + b'\r\n\r\n',
            OK_LINE + b'Content-Encoding: gzip\r\nContent-Length: 3\r\n\r\nab'
            b'c',
        ):
            with self.subTest(answer[:40]):
                self.expect_no_answer(answer_with(answer))

    def test_a_body_that_comes_byte_by_byte_ends_the_call(self) -> None:
        began_at = monotonic()
        self.expect_no_answer(
            drip(OK_LINE + b'Content-Length: 99\r\n\r\n', b'x' * 99, 0.1)
        )
        self.assertLess(monotonic() - began_at, LONGEST_CALL_S)

    def test_headers_that_come_byte_by_byte_end_the_call(self) -> None:
        began_at = monotonic()
        self.expect_no_answer(drip(OK_LINE, b'X-Long: ' + b'a' * 99, 0.1))
        self.assertLess(monotonic() - began_at, LONGEST_CALL_S)

    def test_the_rest_of_a_late_answer_is_not_read_by_the_next_call(
        self,
    ) -> None:
        def answer(connection: socket, is_stopped: ThreadEvent) -> None:
            head = OK_LINE + b'Content-Length: 8\r\n\r\n'
            connection.sendall(head + b'1234')
            is_stopped.wait(2 * TIMEOUT_S)
            connection.sendall(b'5678')

        client = self.client(answer)
        with self.assertRaises(NoAnswerError):
            client.call('GET', '/', None, TIMEOUT_S)
        answered = client.call('GET', '/', None, 4 * TIMEOUT_S)
        self.assertEqual(b'12345678', answered.body)


if __name__ == '__main__':
    unittest.main()
