"""A cheroot request that refuses what two readers may read differently.

It also bounds how long a client may take to send a request, so that
slow clients do not hold all server threads.
"""

import collections
from re import compile as compile_pattern
from socket import SHUT_RDWR
from threading import Event
from threading import get_ident
from threading import Thread
from time import monotonic
from typing import Any
from typing import Final

from cheroot.server import HeaderReader
from cheroot.server import HTTPConnection
from cheroot.server import HTTPRequest
from msgspec import json

from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason

READ_TIMEOUT_S: Final = 10.0
"""Longest time that a client may take to send headers and body."""

REAP_INTERVAL_S: Final = 0.5
MAX_HEADERS: Final = 100
TOKEN: Final = compile_pattern(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
DIGITS: Final = compile_pattern(rb'[0-9]{1,15}\Z')
MAY_HAVE_RUN: Final = '500'
BUSY: Final = '503'

rejections: collections.Counter[str] = collections.Counter()
"""How many requests the server refused by itself, by status."""


class ReadDeadlines:
    """Cuts the connections of clients that send too slowly.

    A deadline belongs to the server thread that reads the request.
    """

    def __init__(self, timeout_s: float = READ_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        self.reads: dict[int, tuple[float, Any]] = {}
        self.is_stopped = Event()
        self.thread = Thread(target=self.run, name='http-reap', daemon=True)

    def begin(self, socket: Any) -> None:
        """Note that this thread begins to read a request."""
        due = monotonic() + self.timeout_s
        self.reads[get_ident()] = due, socket

    def end(self) -> None:
        """Note that this thread has read the whole request."""
        self.reads.pop(get_ident(), None)

    def run(self) -> None:
        """Cut late clients until stopped."""
        while not self.is_stopped.wait(REAP_INTERVAL_S):
            now = monotonic()
            for ident, (due, socket) in list(self.reads.items()):
                if due <= now:
                    self.reads.pop(ident, None)
                    cut(socket)


def cut(socket: Any) -> None:
    """Shut a connection down; its reader sees the end of the data."""
    rejections['slow client'] += 1
    try:
        socket.shutdown(SHUT_RDWR)
    except OSError:
        return


class OnceHeaders(dict[bytes, bytes]):
    """Headers of which none but lists may come twice."""

    def __setitem__(self, name: bytes, value: bytes) -> None:
        if name in self and not value.startswith(self[name] + b', '):
            raise ValueError(f'header {name.decode("latin-1")} comes twice')
        if len(self) >= MAX_HEADERS:
            raise ValueError(f'more than {MAX_HEADERS} headers')
        super().__setitem__(name, value)


class UnfoldedLines:
    """Lines of headers; folded ones are refused."""

    def __init__(self, rfile: Any) -> None:
        self.rfile = rfile

    def readline(self) -> bytes:
        """Return the next line."""
        line: bytes = self.rfile.readline()
        if line[:1] in (b' ', b'\t'):
            raise ValueError('folded header lines are not served')
        return line


class StrictHeaderReader(HeaderReader):
    """Reads headers that every reader understands alike."""

    def __call__(
        self, rfile: Any, hdict: dict[bytes, bytes] | None = None
    ) -> dict[bytes, bytes]:
        """Read headers; raise ValueError, which cheroot answers with 400."""
        headers = OnceHeaders()
        super().__call__(UnfoldedLines(rfile), headers)
        check_framing(headers)
        found = {} if hdict is None else hdict
        found.update(headers)
        return found

    def _transform_key(self, key_name: bytes) -> bytes:
        if not TOKEN.match(key_name):
            raise ValueError('malformed header name')
        return key_name.title()

    def _allow_header(self, key_name: bytes) -> bool:
        # In a WSGI environment an underscore reads like a hyphen.
        return b'_' not in key_name


def check_framing(headers: dict[bytes, bytes]) -> None:
    """Raise ValueError when the body's length is not beyond doubt."""
    length = headers.get(b'Content-Length')
    encoding = headers.get(b'Transfer-Encoding')
    if length is not None and not DIGITS.match(length):
        raise ValueError('malformed Content-Length')
    if encoding is not None and length is not None:
        raise ValueError('Content-Length with Transfer-Encoding')
    if encoding is not None and encoding.strip().lower() != b'chunked':
        raise ValueError('Transfer-Encoding must be chunked')


class StrictRequest(HTTPRequest):
    """A request with strict headers; refusals are JSON and counted."""

    header_reader = StrictHeaderReader()

    def parse_request(self) -> None:
        """Read request line and headers before the deadline."""
        deadlines = self.server.read_deadlines
        deadlines.begin(self.conn.socket)
        try:
            super().parse_request()
        except BaseException:
            deadlines.end()
            raise
        if not self.ready:
            deadlines.end()

    def respond(self) -> None:
        """Answer; the deadline ends at the latest with the answer."""
        try:
            super().respond()
        finally:
            self.server.read_deadlines.end()
        # What is left of a refused request must not be read as another.
        if (b'Connection', b'close') in self.outheaders:
            self.close_connection = True

    def simple_response(self, status: Any, msg: str = '') -> None:
        """Refuse the request in the form of all other refusals."""
        text = str(status)
        if text.startswith('1'):
            super().simple_response(status, msg)
            return
        rejections[text[:3]] += 1
        is_busy = text.startswith(BUSY)
        reason = Reason.SERVER_BUSY if is_busy else Reason.BAD_REQUEST
        # A request that was not read may be one that ran before.
        is_unknown = is_busy or text.startswith(MAY_HAVE_RUN)
        outcome = Outcome.UNKNOWN if is_unknown else Outcome.NOT_RUN
        refusal = {'outcome': outcome, 'reason': reason, 'detail': msg}
        body = json.encode(refusal)
        retry_after = 'Retry-After: 1\r\n' if is_busy else ''
        self.close_connection = True
        head = (
            f'HTTP/1.1 {text}\r\n'
            f'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'X-Outcome: {outcome.value}\r\n'
            f'X-Reason: {reason.value}\r\n'
            f'{retry_after}'
            'Connection: close\r\n\r\n'
        )
        self.conn.wfile.write(head.encode('latin-1') + body)


class StrictConnection(HTTPConnection):
    """A connection whose requests are read strictly."""

    RequestHandlerClass = StrictRequest
