"""The HTTP side towards callers, as the platform spells it."""

from collections.abc import Callable
from collections.abc import Iterable
from math import ceil
from re import compile as compile_pattern
from typing import Any
from typing import Final
from typing import Protocol

from msgspec import json

from primroseledge.cluster.messages import CallerRequest
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import PendingRequest
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.errors import DocumentError
from primroseledge.ids import JobId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.observability.events import Event
from primroseledge.observability.fleetmetrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.metricspage import CONTENT_TYPE
from primroseledge.platform.decoding import decode_job

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

JOB_ID_PATTERN: Final = compile_pattern(r'[0-9a-f]{16}\Z')
NO_WORKSPACE: Final = WorkspaceId('')
DEFAULT_WAIT_S: Final = 2.5
MAX_WAIT_S: Final = 10.0
ANSWER_MARGIN_S: Final = 0.15
"""An answer leaves this long before its caller stops waiting."""

MIN_WAIT_S: Final = 0.05

OK: Final = '200 OK'
BAD_REQUEST: Final = '400 Bad Request'
UNAUTHORIZED: Final = '401 Unauthorized'
NOT_FOUND: Final = '404 Not Found'
NOT_ALLOWED: Final = '405 Method Not Allowed'
GONE: Final = '410 Gone'
TOO_LARGE: Final = '413 Content Too Large'
UNAVAILABLE: Final = '503 Service Unavailable'
TIMEOUT: Final = '504 Gateway Timeout'

STATUS_BY_VERDICT: Final = {
    Verdict.DONE: OK,
    Verdict.REFUSED: UNAVAILABLE,
    Verdict.UNKNOWN: TIMEOUT,
    Verdict.NO_SUCH_JOB: GONE,
    Verdict.NO_SUCH_QUEUE: NOT_FOUND,
    Verdict.UNREADABLE: UNAVAILABLE,
}


class RequestError(Exception):
    """A request that gets an answer without the owner."""

    def __init__(self, status: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerRequestHandler(Protocol):
    """What the application asks of the loop; safe from any thread."""

    def call(self, request: CallerRequest, wait_s: float) -> Answer:
        """Return the answer to a caller's request."""


class CallerApplication:
    """The WSGI application for callers."""

    def __init__(
        self,
        request_handler: CallerRequestHandler,
        find_configuration: Callable[[], Configuration | None],
        is_leaving: Callable[[], bool],
        wall_ms: Callable[[], int],
    ) -> None:
        self.request_handler = request_handler
        self.find_configuration = find_configuration
        self.is_leaving = is_leaving
        self.wall_ms = wall_ms

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        try:
            answer = self.handle_request(environ)
        except RequestError as error:
            log(
                Event.CALL_REFUSED,
                method=str(environ.get('REQUEST_METHOD', '')),
                path=str(environ.get('PATH_INFO', '')),
                status=error.status,
                reason=str(error),
            )
            return self.respond(
                start_response, error.status, {'error': str(error)}, 1.0
            )
        status = STATUS_BY_VERDICT[answer.verdict]
        body: dict[str, Any] = {}
        if answer.state is not None:
            body['state'] = answer.state.value
        if answer.pending is not None:
            body['pending'] = answer.pending
        if answer.reason:
            body['error'] = answer.reason
        return self.respond(start_response, status, body, answer.retry_after_s)

    def respond(
        self,
        start_response: StartResponse,
        status: str,
        fields: dict[str, Any],
        retry_after_s: float,
    ) -> Iterable[bytes]:
        """Send an answer."""
        body = json.encode(fields)
        headers = [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ]
        if status == UNAVAILABLE:
            headers.append(('Retry-After', str(max(1, ceil(retry_after_s)))))
        if self.is_leaving():
            headers.append(('Connection', 'close'))
        start_response(status, headers)
        return [body]

    def handle_request(self, environ: Environ) -> Answer:
        """Return the answer to a request; raises RequestError."""
        configuration = self.find_configuration()
        if configuration is None:
            raise RequestError(UNAVAILABLE, 'no configuration yet')
        host = str(environ.get('HTTP_HOST', '')).rpartition(':')
        path = str(environ.get('PATH_INFO', ''))
        queue = configuration.find_queue(host[0] or host[2], path)
        if queue is None:
            raise RequestError(NOT_FOUND, 'no such queue')
        workspace = find_workspace(configuration, queue, environ)
        request = self.parse_request(
            environ, configuration, queue, workspace, path
        )
        return self.request_handler.call(
            request, answer_wait_s(environ, queue)
        )

    def parse_request(
        self,
        environ: Environ,
        configuration: Configuration,
        queue: Queue,
        workspace: WorkspaceId,
        path: str,
    ) -> CallerRequest:
        """Return what a caller asks; raises RequestError."""
        method = environ['REQUEST_METHOD']
        name = path[len(queue.prefix) :]
        if not name and method == 'GET':
            return PendingRequest(queue.id)
        if not JOB_ID_PATTERN.match(name):
            raise RequestError(NOT_FOUND, 'not the id of a job')
        job = JobId(name)
        if method == 'GET':
            return StateRequest(queue.id, job)
        if method == 'DELETE':
            return CancelRequest(queue.id, job)
        if method != 'POST':
            raise RequestError(NOT_ALLOWED, f'no method {method}')
        body = read_body(environ, configuration.max_body_bytes)
        try:
            spec = decode_job(body)
        except DocumentError as error:
            raise RequestError(BAD_REQUEST, str(error)) from error
        return SubmitRequest(
            AcceptedJob(
                id=job,
                queue=queue.id,
                workspace=workspace,
                accepted_ms=self.wall_ms(),
                spec=spec,
            )
        )


def find_workspace(
    configuration: Configuration, queue: Queue, environ: Environ
) -> WorkspaceId:
    """Return whose key came with a request; raises RequestError."""
    key = str(environ.get('HTTP_X_API_KEY', ''))
    workspace = configuration.find_workspace(key)
    if workspace is not None:
        return workspace.id
    if queue.is_open:
        return NO_WORKSPACE
    raise RequestError(UNAUTHORIZED, 'no such key')


def answer_wait_s(environ: Environ, queue: Queue) -> float:
    """Return how long the caller waits for an answer, in seconds."""
    text = str(environ.get('HTTP_REMAINING_TIME', ''))
    wait_s = int(text) / 1000 if text.isdigit() else DEFAULT_WAIT_S
    wait_s = min(wait_s, queue.timeout_s, MAX_WAIT_S) - ANSWER_MARGIN_S
    return max(MIN_WAIT_S, wait_s)


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Return a request's body; raises RequestError."""
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as error:
        raise RequestError(BAD_REQUEST, 'Content-Length') from error
    if length > max_bytes:
        raise RequestError(TOO_LARGE, f'more than {max_bytes} bytes')
    if environ.get('HTTP_TRANSFER_ENCODING'):
        data = environ['wsgi.input'].read(max_bytes + 1)
    else:
        data = environ['wsgi.input'].read(length)
    if len(data) > max_bytes:
        raise RequestError(TOO_LARGE, f'more than {max_bytes} bytes')
    return bytes(data)


class ReadinessApplication:
    """The WSGI application for the platform's question of readiness."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Say whether new callers should be sent to us."""
        status = OK if self.is_ready() else UNAVAILABLE
        start_response(status, [('Content-Length', '0')])
        return [b'']


class MetricsApplication:
    """The WSGI application that shows the metrics."""

    def __init__(self, metrics: FleetMetrics) -> None:
        self.metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the page, whatever the path."""
        page = self.metrics.page()
        headers = [
            ('Content-Type', CONTENT_TYPE),
            ('Content-Length', str(len(page))),
        ]
        start_response(OK, headers)
        return [page]
