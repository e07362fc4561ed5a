"""Small HTTP servers for the stand-ins."""

from collections.abc import Callable
from collections.abc import Iterable
from contextlib import ExitStack
from signal import SIGINT
from signal import signal
from signal import SIGTERM
import sys
from typing import Any
from urllib.parse import parse_qsl

from cheroot.wsgi import Server
from msgspec import json
from urllib3.util import make_headers

Handler = Callable[[dict[str, Any]], dict[str, Any]]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

THREADS = 64


class HttpError(Exception):
    """Ends a call with a status; 0 cuts the connection instead."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class LostAnswer(Exception):
    """Ends an answer before it is whole, so that its reader sees it."""


def cut_answer(start_response: StartResponse) -> Iterable[bytes]:
    """Begin an answer and close the connection before its end."""
    start_response('200 OK', [('Content-Length', '1000')])
    yield b'cut'
    raise LostAnswer


class JsonApplication:
    """Routes calls with JSON bodies or queries to handlers.

    With ``credentials``, as ``USER:PASSWORD``, calls under ``/v1/``
    without them are refused.
    """

    def __init__(
        self,
        routes: dict[tuple[str, str], Handler],
        credentials: str = '',
    ) -> None:
        self.routes = routes
        self.authorization = (
            make_headers(basic_auth=credentials)['authorization']
            if credentials
            else ''
        )

    def is_allowed(self, environ: dict[str, Any]) -> bool:
        """Tell whether a call has the credentials that it needs."""
        if not self.authorization:
            return True
        if not environ['PATH_INFO'].startswith('/v1/'):
            return True
        return bool(environ.get('HTTP_AUTHORIZATION') == self.authorization)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        route = (environ['REQUEST_METHOD'], environ['PATH_INFO'])
        handler = self.routes.get(route)
        status = 200
        if not self.is_allowed(environ):
            status, answer = 401, {'error': 'wrong credentials'}
        elif handler is None:
            status, answer = 404, {'error': 'no such route'}
        else:
            try:
                answer = handler(fields_of(environ))
            except HttpError as error:
                if error.status == 0:
                    return cut_answer(start_response)
                status, answer = error.status, {'error': str(error)}
        return respond(start_response, status, answer)


def fields_of(environ: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a call's query or body."""
    if environ['REQUEST_METHOD'] == 'GET':
        return dict(parse_qsl(environ.get('QUERY_STRING', '')))
    length = int(environ.get('CONTENT_LENGTH') or 0)
    fields = json.decode(environ['wsgi.input'].read(length) or b'{}')
    return fields if isinstance(fields, dict) else {}


def respond(
    start_response: StartResponse, status: int, answer: dict[str, Any]
) -> Iterable[bytes]:
    """Send an answer as JSON."""
    body = json.encode(answer)
    start_response(
        f'{status} Status',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


def create_server(
    application: Any, threads: int = THREADS, port: int = 0
) -> Server:
    """Return a bound server on 127.0.0.1."""
    server = Server(
        ('127.0.0.1', port),
        application,
        numthreads=threads,
        request_queue_size=512,
        shutdown_timeout=1,
    )
    server.error_log = ignore_lost_answer  # type: ignore[method-assign]
    server.prepare()
    return server


def ignore_lost_answer(
    msg: str = '', level: int = 20, traceback: bool = False
) -> None:
    """Log nothing: answers are lost on purpose here."""


def serve_until_stopped(
    application: Any,
    announce: Callable[[int], None],
    resources: ExitStack,
    threads: int = THREADS,
    port: int = 0,
) -> None:
    """Serve until SIGTERM or SIGINT; tell the port first."""
    server = create_server(application, threads, port)
    resources.callback(server.stop)

    def stop(*_: object) -> None:
        raise KeyboardInterrupt

    signal(SIGTERM, stop)
    signal(SIGINT, stop)
    announce(server.bind_addr[1])
    sys.stdout.flush()
    try:
        server.serve()
    except KeyboardInterrupt:
        return
