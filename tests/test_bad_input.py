"""Bad input over raw sockets: a clear error each, and nothing runs."""

from contextlib import ExitStack
from errno import ENOTCONN
from socket import create_connection
from socket import SHUT_WR
from threading import Thread
from time import sleep
from unittest import TestCase

from primroseledge.gateway.carrier import Carrier
from primroseledge.gateway.http_server import Application
from primroseledge.gateway.http_server import AttemptReport
from primroseledge.gateway.http_server import create_server
from primroseledge.gateway.http_server import MIN_ACCEPTED_QUEUE
from primroseledge.gateway.http_server import PageBody
from primroseledge.gateway.http_server import ServerCall
from primroseledge.gateway.strict_http import rejections
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.http_request import RequestLimits
from primroseledge.requests.outcomes import Reason

LINE = 'POST /services/bulletin/work HTTP/1.1\r\nHost: a\r\n'
LENGTH = 'Content-Length: 3\r\n'
CHUNKED = 'Transfer-Encoding: chunked\r\n'
REFUSED = {
    'no request line': 'what\r\n\r\n',
    'bad protocol': 'GET / HTTP/9.1\r\n\r\n',
    'bare line feed': 'GET /services/a HTTP/1.1\nHost: a\n\n',
    'two lengths': LINE + LENGTH + 'Content-Length: 5\r\n\r\nabc',
    'same length twice': LINE + LENGTH + LENGTH + '\r\nabc',
    'length and chunks': LINE + LENGTH + CHUNKED + '\r\n0\r\n\r\n',
    'chunked twice': LINE + CHUNKED + CHUNKED + '\r\n0\r\n\r\n',
    'odd encoding': LINE + 'Transfer-Encoding: xchunked\r\n\r\n',
    'no number': LINE + 'Content-Length: three\r\n\r\nabc',
    'signed number': LINE + 'Content-Length: +3\r\n\r\nabc',
    'negative number': LINE + 'Content-Length: -3\r\n\r\nabc',
    'space before colon': LINE + 'Content-Length : 3\r\n\r\nabc',
    'folded header': LINE + 'X-A: b\r\n c\r\n\r\n',
    'folded first': 'GET /services/a HTTP/1.1\r\n X-A: b\r\n\r\n',
    'header twice': LINE + 'Authorization: a\r\nAuthorization: b\r\n\r\n',
    'no colon': LINE + 'nothing\r\n\r\n',
    'many headers': LINE + ''.join(f'X-{n}: a\r\n' for n in range(200)),
    'long headers': LINE + 'X-A: ' + 'a' * 20_000 + '\r\n\r\n',
    'long body': LINE + 'Content-Length: 99999\r\n\r\n',
    'long chunk': LINE
    + CHUNKED
    + '\r\nfff\r\n'
    + 'a' * 4095
    + '\r\n0\r\n\r\n',
    'short body': LINE + LENGTH + '\r\na',
    'bad chunk': LINE + CHUNKED + '\r\nzz\r\nabc\r\n0\r\n\r\n',
    'dots in path': 'GET /services/../x HTTP/1.1\r\nHost: a\r\n\r\n',
    'coded dots': 'GET /services/a/%2e%2e/x HTTP/1.1\r\nHost: a\r\n\r\n',
    'coded slash': 'GET /services/a%2f..%2fb HTTP/1.1\r\nHost: a\r\n\r\n',
    'odd service': 'GET /services/A_b/x HTTP/1.1\r\nHost: a\r\n\r\n',
    'odd method': 'BREW /services/a HTTP/1.1\r\nHost: a\r\n\r\n',
    'no such path': 'GET /other HTTP/1.1\r\nHost: a\r\n\r\n',
    'non-ASCII path': 'GET /services/a/\xe9 HTTP/1.1\r\nHost: a\r\n\r\n',
    'non-ASCII id': LINE + 'Idempotency-Key: \xe9\r\n\r\n',
    'bad timeout': LINE + 'Request-Timeout: soon\r\n\r\n',
    'bad key': LINE + 'Authorization: Basic abc\r\n\r\n',
    'chunks in HTTP/1.0': 'POST /services/a HTTP/1.0\r\n'
    + CHUNKED
    + '\r\n0\r\n\r\n',
}


class RefusingLoop:
    """A loop that counts the calls and refuses each as unknown service."""

    def __init__(self) -> None:
        self.calls: list[ServerCall] = []

    def next_handle(self) -> int:
        return 1

    def post(self, item: ServerCall | AttemptReport) -> None:
        assert isinstance(item, ServerCall)
        self.calls.append(item)
        item.commands.put(RefuseCall(1, Reason.NO_SERVICE, is_checked=True))

    def page(self, path: str) -> PageBody | None:
        return None


class BadInputTest(TestCase):
    def setUp(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        self.loop = RefusingLoop()
        carrier = Carrier(1, 1000)
        resources.callback(carrier.close)
        application = Application(
            self.loop,
            carrier,
            RequestLimits(1000, 5.0, 60.0),
            lambda path: None,
        )
        self.server = create_server('127.0.0.1', 0, 2, 8000, application)
        self.server.read_deadlines.timeout_s = 0.2
        self.server.prepare()
        thread = Thread(target=self.server.serve)
        thread.start()
        resources.callback(thread.join)
        resources.callback(self.server.stop)

    def send(self, data: str, is_half_closed: bool = True) -> str:
        with create_connection(self.server.bind_addr) as socket:
            socket.sendall(data.encode('latin-1'))
            if is_half_closed:
                try:
                    socket.shutdown(SHUT_WR)
                except OSError as error:
                    # The server refused the request before it had read all
                    # of it and has closed the connection already. Its
                    # answer can still be read.
                    if error.errno != ENOTCONN:
                        raise
            answer = b''
            try:
                while part := socket.recv(10_000):
                    answer += part
            except ConnectionResetError:
                pass
            return answer.decode('latin-1')

    def test_bad_input_is_refused_before_it_reaches_the_loop(self) -> None:
        for name, data in REFUSED.items():
            with self.subTest(name):
                before = rejections.total()
                answer = self.send(data)
                self.assertRegex(answer, r'^HTTP/1.1 (4\d\d|50[15]) ')
                self.assertIn('"outcome":"not_run"', answer)
                self.assertEqual(answer.count('HTTP/1.1 '), 1)
                self.assertGreater(rejections.total(), before)
                self.assertEqual(self.loop.calls, [])

    def test_good_input_reaches_the_loop(self) -> None:
        answer = self.send(LINE + LENGTH + 'Accept: a\r\nAccept: b\r\n\r\nabc')
        self.assertIn('"reason":"no_service"', answer)
        self.assertEqual(len(self.loop.calls), 1)

    def test_slow_clients_do_not_hold_all_threads(self) -> None:
        with ExitStack() as slow:
            for text in (LINE, LINE + LENGTH + '\r\na') * 4:
                socket = slow.enter_context(
                    create_connection(self.server.bind_addr)
                )
                socket.sendall(text.encode())
            text = LINE + 'Connection: close\r\n\r\n'
            answer = self.send(text, is_half_closed=False)
        self.assertIn('"reason":"no_service"', answer)


class HoldingLoop(RefusingLoop):
    """A loop that answers nothing until it is released."""

    def post(self, item: ServerCall | AttemptReport) -> None:
        assert isinstance(item, ServerCall)
        self.calls.append(item)

    def release(self) -> None:
        for call in self.calls:
            call.commands.put(RefuseCall(1, Reason.STOPPING))


class BusyServerTest(TestCase):
    def test_a_request_beyond_threads_and_queue_is_told_so(self) -> None:
        loop = HoldingLoop()
        carrier = Carrier(1, 1000)
        self.addCleanup(carrier.close)
        limits = RequestLimits(1000, 5.0, 60.0)
        application = Application(loop, carrier, limits, lambda path: None)
        server = create_server('127.0.0.1', 0, 2, 8000, application)
        server.prepare()
        thread = Thread(target=server.serve)
        thread.start()
        text = (LINE + 'Connection: close\r\n\r\n').encode()
        with ExitStack() as resources:
            sockets = []
            for _ in range(2 + MIN_ACCEPTED_QUEUE + 4):
                socket = create_connection(server.bind_addr)
                resources.enter_context(socket)
                socket.sendall(text)
                sockets.append(socket)
            answer = b''
            while part := sockets[-1].recv(10_000):
                answer += part
            while len(loop.calls) < 2:
                sleep(0.01)
            loop.release()
            loop.post = RefusingLoop.post.__get__(loop)  # type: ignore
            resources.callback(thread.join)
            resources.callback(server.stop)
        self.assertIn(b'"reason":"server_busy"', answer)
        self.assertIn(b'Retry-After: 1', answer)
