"""A small HTTP/1.1 server and client on asyncio, with failures of the link.

The server belongs to one address. While its link is cut, what arrives is
lost and nothing is sent; connections stay open and silent. Connections that
lost something are reset when the link heals.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import urlsplit

MAX_BODY_BYTES = 4 << 20


@dataclass
class Call:
    """A request that has arrived whole."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    fields: dict[str, Any]


Reply = tuple[int, dict[str, Any]]
Handler = Callable[[Call], Awaitable[Reply]]


@dataclass(eq=False)
class Connection:
    """An open connection of a server."""

    writer: asyncio.StreamWriter
    has_lost_data: bool = False


@dataclass(eq=False)
class Server:
    """Serves calls at one port of 127.0.0.1 with JSON bodies."""

    handler: Handler
    port: int = 0
    is_cut: bool = False
    connections: set[Connection] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.server = await asyncio.start_server(
            self.serve, '127.0.0.1', self.port, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f'127.0.0.1:{self.port}'

    def close(self) -> None:
        """Stop listening and reset all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all connections."""
        for connection in list(self.connections):
            connection.writer.transport.abort()
        self.connections.clear()

    def cut(self) -> None:
        """Lose all that comes and goes from now on."""
        self.is_cut = True
        for connection in self.connections:
            connection.has_lost_data = True

    def heal(self) -> None:
        """End a cut, and reset the connections that lost something."""
        self.is_cut = False
        for connection in list(self.connections):
            if connection.has_lost_data:
                connection.writer.transport.abort()
                self.connections.discard(connection)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        connection = Connection(writer, self.is_cut)
        self.connections.add(connection)
        with suppress(
            asyncio.IncompleteReadError, ConnectionError, OSError, ValueError
        ):
            while True:
                call = await read_call(reader)
                if self.is_cut or connection.has_lost_data:
                    connection.has_lost_data = True
                    continue
                status, fields = await self.handler(call)
                if self.is_cut or connection.has_lost_data:
                    connection.has_lost_data = True
                    continue
                writer.write(render_reply(status, fields))
                await writer.drain()
        self.connections.discard(connection)
        writer.transport.abort()


async def read_call(reader: asyncio.StreamReader) -> Call:
    """Read one request."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    method, target, _ = first.split(' ', 2)
    headers = parse_headers(lines)
    size = int(headers.get('content-length', 0))
    if size > MAX_BODY_BYTES:
        raise ValueError('body too large')
    body = await reader.readexactly(size) if size else b''
    parts = urlsplit(target)
    query = {key: rows[0] for key, rows in parse_qs(parts.query).items()}
    fields = json.loads(body) if body else {}
    return Call(method, parts.path, query, headers, fields)


def parse_headers(lines: list[str]) -> dict[str, str]:
    """Return the headers by their names in lower case."""
    headers = {}
    for line in lines:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


def render_reply(status: int, fields: dict[str, Any]) -> bytes:
    """Return a response."""
    body = json.dumps(fields, separators=(',', ':')).encode()
    head = (
        f'HTTP/1.1 {status} Status\r\n'
        'Content-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


async def call(
    address: str,
    method: str,
    path: str,
    body: dict[str, Any] | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Make one call on a connection of its own; status 0 is no answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange(address, method, path, body, headers or {})
    except (TimeoutError, ConnectionError, OSError, EOFError, ValueError):
        return 0, {}


async def exchange(
    address: str,
    method: str,
    path: str,
    body: dict[str, Any] | None,
    headers: dict[str, str],
) -> tuple[int, dict[str, Any]]:
    """Send a request and read its response."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b'' if body is None else json.dumps(body).encode()
        lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(data)}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body is not None:
            lines.append('Content-Type: application/json')
        writer.write('\r\n'.join([*lines, '', '']).encode() + data)
        await writer.drain()
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *rest = head.split('\r\n')
        size = int(parse_headers(rest).get('content-length', 0))
        answer = await reader.readexactly(size) if size else b'{}'
        return int(first.split(' ')[1]), json.loads(answer or b'{}')
    finally:
        writer.close()
