"""WSGI applications for callers, readiness probes and metrics."""

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
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.observability.events import Event
from primroseledge.observability.fleet_metrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.metrics_page import CONTENT_TYPE
from primroseledge.owner.refused_calls import MAX_CALL_WAIT_S
from primroseledge.platform.decoding import decode_job
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

JOB_ID_PATTERN: Final = compile_pattern(r'[0-9a-f]{16}\Z')
NO_WORKSPACE: Final = WorkspaceId('')
DEFAULT_WAIT_S: Final = 2.5
"""In seconds; assumed wait of a caller that sends no ``Remaining-Time``."""

ANSWER_MARGIN_S: Final = 0.15
"""In seconds; answers are sent this long before the caller's deadline.

Later ones would reach the caller after it stopped waiting.
"""

MIN_WAIT_S: Final = 0.05
"""In seconds; least time that the owner is given for an answer."""

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
    """A request that is refused here, without asking the owner.

    ``status`` is the HTTP status line; the message is sent to the caller.
    """

    def __init__(self, status: str, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class CallerRequestHandler(Protocol):
    """Interface to the node loop for answering callers; thread-safe."""

    def call(self, request: CallerRequest, wait_s: float) -> Answer:
        """Wait for the owner's answer, due within ``wait_s``; return it."""


class CallerApplication:
    """WSGI application with which callers submit, cancel and query jobs.

    ``find_configuration`` returns the configuration in force, or None
    before the first one was read.
    """

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
        """Answer one HTTP request; log it if it is refused here."""
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
            name = 'error' if answer.state is None else 'reason'
            body[name] = answer.reason
        return self.respond(start_response, status, body, answer.retry_after_s)

    def respond(
        self,
        start_response: StartResponse,
        status: str,
        fields: dict[str, Any],
        retry_after_s: float,
    ) -> Iterable[bytes]:
        """Send an answer with a JSON body.

        Status 503 gets Retry-After. While this instance shuts down, the
        caller is told to close the connection.
        """
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
        """Return the owner's answer to an HTTP request.

        Raises RequestError if the request is refused without asking the
        owner.
        """
        configuration = self.find_configuration()
        if configuration is None:
            raise RequestError(UNAVAILABLE, 'no configuration yet')
        host_parts = str(environ.get('HTTP_HOST', '')).rpartition(':')
        path = str(environ.get('PATH_INFO', ''))
        queue = configuration.find_queue(host_parts[0] or host_parts[2], path)
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
        """Convert an HTTP request to a queue into a caller's request.

        Raises RequestError if its path, method or body is invalid.
        """
        method = environ['REQUEST_METHOD']
        job_name = path[len(queue.prefix) :]
        if not job_name and method == 'GET':
            return PendingRequest(queue.id)
        if not JOB_ID_PATTERN.match(job_name):
            raise RequestError(NOT_FOUND, 'not the id of a job')
        job = JobId(job_name)
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
    """Return the workspace whose API key a request carries.

    An open queue accepts unknown and missing keys under ``NO_WORKSPACE``;
    for others RequestError is raised.
    """
    key = str(environ.get('HTTP_X_API_KEY', ''))
    workspace = configuration.find_workspace(key)
    if workspace is not None:
        return workspace.id
    if queue.is_open:
        return NO_WORKSPACE
    raise RequestError(UNAUTHORIZED, 'no such key')


def answer_wait_s(environ: Environ, queue: Queue) -> float:
    """Return how many seconds the owner has to answer a request.

    The caller's ``Remaining-Time`` (in ms) is limited by the queue's
    timeout and ``MAX_CALL_WAIT_S`` and reduced by ``ANSWER_MARGIN_S``.
    """
    wait_ms = str(environ.get('HTTP_REMAINING_TIME', ''))
    is_number = wait_ms.isdecimal() and wait_ms.isascii()
    wait_s = int(wait_ms) / 1000 if is_number else DEFAULT_WAIT_S
    wait_s = min(wait_s, queue.timeout_s, MAX_CALL_WAIT_S) - ANSWER_MARGIN_S
    return max(MIN_WAIT_S, wait_s)


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises RequestError if its length is invalid or above ``max_bytes``.
    """
    try:
        length = int(environ.get('CONTENT_LENGTH') or 0)
    except ValueError as error:
        raise RequestError(BAD_REQUEST, 'Content-Length') from error
    if length < 0:
        raise RequestError(BAD_REQUEST, 'Content-Length')
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
    """WSGI application that answers the platform's readiness probes."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self.is_ready = is_ready

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer 200 if new callers may be sent to this instance, else 503."""
        status = OK if self.is_ready() else UNAVAILABLE
        start_response(status, [('Content-Length', '0')])
        return [b'']


class MetricsApplication:
    """WSGI application that serves the metrics page."""

    def __init__(self, metrics: FleetMetrics) -> None:
        self.metrics = metrics

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the metrics page, whatever the path."""
        page = self.metrics.page()
        headers = [
            ('Content-Type', CONTENT_TYPE),
            ('Content-Length', str(len(page))),
        ]
        start_response(OK, headers)
        return [page]
