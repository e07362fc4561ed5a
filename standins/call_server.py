"""A threaded HTTP server for JSON calls whose connections can be cut."""

from collections.abc import Callable
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler
from socket import SHUT_RD
from socket import SO_LINGER
from socket import socket
from socket import SOL_SOCKET
from socketserver import ThreadingTCPServer
from struct import pack
from threading import Thread
from typing import Any
from typing import Final
from urllib.parse import parse_qsl

from msgspec import DecodeError
from msgspec import json

Reply = tuple[int, dict[str, Any]]

RESET_ON_CLOSE: Final = pack('ii', 1, 0)
ACCEPT_STEP_S: Final = 0.01


class DropCall(Exception):
    """Ends a call without an answer, and resets its connection."""


@dataclass(frozen=True, slots=True)
class Call:
    """A call that has arrived; ``fields`` are those of query or body."""

    method: str
    path: str
    fields: dict[str, Any]
    headers: dict[str, str]


Answerer = Callable[[Call], Reply]


class CallServer(ThreadingTCPServer):
    """Serves calls on 127.0.0.1 with one thread for each connection."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def __init__(self, answer: Answerer, port: int = 0) -> None:
        super().__init__(('127.0.0.1', port), CallHandler)
        self.answer = answer
        self.connections = set[socket]()
        self.thread = Thread(
            target=self.serve_forever, args=(ACCEPT_STEP_S,), daemon=True
        )
        self.thread.start()

    @property
    def port(self) -> int:
        """Return the port that it listens on."""
        return int(self.server_address[1])

    def close(self) -> None:
        """Stop listening, and reset all connections."""
        self.shutdown()
        self.server_close()
        for connection in list(self.connections):
            reset(connection)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection without a farewell of its own."""
        request.close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log nothing: connections break on purpose here."""


def reset(connection: socket) -> None:
    """Let a connection be reset once its thread closes it."""
    try:
        connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(SHUT_RD)
    except OSError:
        return


class CallHandler(BaseHTTPRequestHandler):
    """Reads calls from one connection and answers them."""

    server: CallServer
    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True

    def setup(self) -> None:
        """Note the connection."""
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self) -> None:
        """Forget the connection."""
        self.server.connections.discard(self.connection)
        super().finish()

    def serve(self) -> None:
        """Answer one call, or drop it with its connection."""
        path, _, query = self.path.partition('?')
        length = int(self.headers.get('Content-Length') or 0)
        fields = dict[str, Any](parse_qsl(query))
        try:
            if length:
                fields = json.decode(self.rfile.read(length))
            call = Call(self.command, path, fields, dict(self.headers))
            status, answer = self.server.answer(call)
        except DecodeError:
            status, answer = 400, {}
        except DropCall:
            reset(self.connection)
            self.close_connection = True
            return
        body = json.encode(answer)
        self.send_response_only(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: Any) -> None:
        """Log nothing."""


for method in ('GET', 'POST', 'DELETE'):
    setattr(CallHandler, f'do_{method}', CallHandler.serve)
