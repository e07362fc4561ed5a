"""The HTTP side towards callers: a WSGI application on server threads.

A server thread reads a request, hands its head to the loop, and then
does what the loop says until the caller has an answer.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from queue import SimpleQueue
from socket import SHUT_WR
from time import time
from typing import Any
from typing import Final
from typing import Protocol

from cheroot.wsgi import Server
from cherrypy.process.servers import ServerAdapter
from cherrypy.process.wspbus import Bus
from msgspec import json

from primroseledge.gateway.carrier import Answer
from primroseledge.gateway.carrier import Carrier
from primroseledge.gateway.carrier import Outbound
from primroseledge.gateway.carrier import REQUEST_ID_HEADER
from primroseledge.gateway.strict_http import ReadDeadlines
from primroseledge.gateway.strict_http import rejections
from primroseledge.gateway.strict_http import StrictConnection
from primroseledge.gateway.strict_http import StrictRequest
from primroseledge.ids import RequestId
from primroseledge.observability.request_trace import RequestTrace
from primroseledge.observability.trace import Tracing
from primroseledge.requests.actions import Deliver
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.attempt_end import DELIVERED
from primroseledge.requests.http_request import BadRequest
from primroseledge.requests.http_request import check_target
from primroseledge.requests.http_request import filter_headers
from primroseledge.requests.http_request import parse_head
from primroseledge.requests.http_request import read_body
from primroseledge.requests.http_request import RequestLimits
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.outcomes import told_outcome
from primroseledge.requests.outcomes import VERDICTS
from primroseledge.requests.request_check import RequestHead

Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
WsgiApplication = Callable[[Environ, StartResponse], Iterable[bytes]]
Command = StartAttempt | Deliver | RefuseCall
PageBody = tuple[str, str, bytes]
"""A status, a content type and a body."""

SOCKET_TIMEOUT_S: Final = 10
"""How long a connection may be idle, and the longest single read."""

MIN_ACCEPTED_QUEUE: Final = 16
"""Requests that wait for a thread; one more is refused with 503."""

TRACEPARENT_HEADER: Final = 'Traceparent'
OUTCOME_HEADER: Final = 'X-Outcome'
REASON_HEADER: Final = 'X-Reason'


@dataclass(slots=True, eq=False)
class ServerCall:
    """A request on a server thread, and the loop's commands to it."""

    head: RequestHead
    has_own_id: bool = True
    commands: 'SimpleQueue[Command]' = field(default_factory=SimpleQueue)


@dataclass(frozen=True, slots=True)
class AttemptReport:
    """How an attempt ended, as a server thread tells the loop."""

    handle: int
    end: AttemptEnd


class LoopPort(Protocol):
    """What server threads may say to the loop; safe from any thread."""

    def next_handle(self) -> int:
        """Return a number for a new call."""

    def post(self, item: ServerCall | AttemptReport) -> None:
        """Hand something to the loop."""


PageFinder = Callable[[str, str], PageBody | None]


class Application:
    """The WSGI application of an entry instance."""

    def __init__(
        self,
        loop: LoopPort,
        carrier: Carrier,
        limits: RequestLimits,
        find_page: PageFinder,
        tracing: Tracing | None = None,
    ) -> None:
        self.loop = loop
        self.carrier = carrier
        self.limits = limits
        self.find_page = find_page
        self.tracing = tracing or Tracing(None, None)
        self.deadlines: ReadDeadlines | None = None

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = str(environ.get('PATH_INFO', ''))
        if path.startswith('/-/'):
            authorization = str(environ.get('HTTP_AUTHORIZATION', ''))
            return self.serve_page(path, authorization, start_response)
        try:
            check_target(environ)
            head = parse_head(environ, self.loop.next_handle(), self.limits)
            body = read_body(environ, self.limits)
        except BadRequest as error:
            rejections[error.reason.value] += 1
            return refuse(
                start_response,
                RequestId(''),
                RefuseCall(0, error.reason),
                str(error),
                must_close=True,
            )
        if self.deadlines is not None:
            self.deadlines.end()
        outbound = Outbound(
            str(environ['REQUEST_METHOD']),
            target_of(environ, head),
            filter_headers(environ),
            body,
        )
        call = ServerCall(head, 'HTTP_IDEMPOTENCY_KEY' in environ)
        traceparent = str(environ.get('HTTP_TRACEPARENT', ''))
        trace = RequestTrace(self.tracing, traceparent, head.service, time)
        self.loop.post(call)
        trace.begin_ask()
        return self.obey(call, outbound, start_response, trace)

    def obey(
        self,
        call: ServerCall,
        outbound: Outbound,
        start_response: StartResponse,
        trace: RequestTrace,
    ) -> Iterable[bytes]:
        """Carry out the loop's commands until the last one."""
        answer: Answer | None = None
        while True:
            command = call.commands.get()
            if isinstance(command, StartAttempt):
                end, answer = self.attempt(command, outbound, trace)
                self.loop.post(AttemptReport(call.head.handle, end))
                if end in DELIVERED and answer is not None:
                    trace.end(Outcome.RAN.value)
                    # The loop can only say the same; waiting for it
                    # would cost a change of threads.
                    return deliver(
                        start_response, call.head.request_id, answer
                    )
            elif isinstance(command, RefuseCall) or answer is None:
                refusal = (
                    command
                    if isinstance(command, RefuseCall)
                    else RefuseCall(call.head.handle, Reason.BAD_ANSWER)
                )
                is_guarded = not call.head.is_idempotent and call.has_own_id
                reason = refusal.reason
                trace.end(VERDICTS[reason].outcome.value, reason.value)
                return refuse(
                    start_response,
                    call.head.request_id,
                    refusal,
                    is_guarded=is_guarded,
                )
            else:
                trace.end(Outcome.RAN.value)
                return deliver(start_response, call.head.request_id, answer)
            trace.begin_ask()

    def attempt(
        self, start: StartAttempt, outbound: Outbound, trace: RequestTrace
    ) -> tuple[AttemptEnd, Answer | None]:
        """Carry one attempt, under a span of its own."""
        trace.end_ask(start.queued_s)
        traceparent = trace.begin_call(start.upstream)
        if traceparent:
            outbound.headers[TRACEPARENT_HEADER] = traceparent
        end, answer = self.carrier.carry(start, outbound)
        trace.end_call('' if end in DELIVERED else end.value)
        return end, answer

    def serve_page(
        self, path: str, authorization: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer with one of the loop's pages."""
        page = self.find_page(path, authorization)
        if page is None:
            page = ('404 Not Found', 'text/plain', b'no such page\n')
        status, content_type, body = page
        start_response(
            status,
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]


def target_of(environ: Environ, head: RequestHead) -> str:
    """Return path and query as the upstream is to see them."""
    raw = str(environ.get('REQUEST_URI') or environ['PATH_INFO'])
    prefix = f'/services/{head.service}'
    target = raw.removeprefix(prefix) or '/'
    return target if target.startswith('/') else f'/{target}'


def deliver(
    start_response: StartResponse, request_id: RequestId, answer: Answer
) -> Iterable[bytes]:
    """Give the caller an upstream's whole answer."""
    headers = [
        (name, value)
        for name, value in answer.headers.items()
        if name.lower() not in DROPPED_ANSWER_HEADERS
    ]
    headers.append((REQUEST_ID_HEADER, request_id))
    headers.append(('Content-Length', str(len(answer.body))))
    headers.append((OUTCOME_HEADER, 'ran'))
    start_response(f'{answer.status} {answer.reason}', headers)
    return [answer.body]


DROPPED_ANSWER_HEADERS: Final = frozenset(
    {
        'connection',
        'content-length',
        'keep-alive',
        'proxy-authenticate',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-attempt-id',
        'x-request-id',
    }
)


def refuse(
    start_response: StartResponse,
    request_id: RequestId,
    refusal: RefuseCall,
    detail: str = '',
    is_guarded: bool = False,
    must_close: bool = False,
) -> Iterable[bytes]:
    """Tell the caller why there is no answer, and whether it ran."""
    verdict = VERDICTS[refusal.reason]
    outcome = told_outcome(refusal.reason, is_guarded, refusal.is_checked)
    body = json.encode(
        {
            'outcome': outcome.value,
            'reason': refusal.reason.value,
            'request_id': request_id,
            'detail': detail,
        }
    )
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        (OUTCOME_HEADER, outcome.value),
        (REASON_HEADER, refusal.reason.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if must_close:
        headers.append(('Connection', 'close'))
    if verdict.has_retry_after:
        seconds = max(1, round(refusal.retry_after_s))
        headers.append(('Retry-After', str(seconds)))
    start_response(verdict.status, headers)
    return [body]


class StrictServer(Server):
    """A server that reads strictly and in bounded time."""

    ConnectionClass = StrictConnection
    _unservicable_conns: Any

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.read_deadlines = ReadDeadlines()

    def prepare(self) -> None:
        """Bind, and begin to watch for slow clients."""
        super().prepare()
        self.read_deadlines.thread.start()

    def _serve_unservicable(self) -> None:
        # cheroot would answer without an outcome and leave the
        # connection open.
        while self.ready:
            connection = self._unservicable_conns.get()
            if not isinstance(connection, StrictConnection):
                return
            try:
                busy = StrictRequest(self, connection)
                busy.simple_response('503 Service Unavailable')
                connection.socket.shutdown(SHUT_WR)
            except OSError:
                pass
            connection.linger = True
            connection.close()

    def stop(self) -> None:
        """Stop serving."""
        self.read_deadlines.is_stopped.set()
        super().stop()


def create_server(
    host: str,
    port: int,
    threads: int,
    max_header_bytes: int,
    application: WsgiApplication,
) -> Server:
    """Return a server that listens when its adapter starts."""
    server = StrictServer(
        (host, port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=1024,
        timeout=SOCKET_TIMEOUT_S,
        shutdown_timeout=1,
        accepted_queue_size=max(threads, MIN_ACCEPTED_QUEUE),
        accepted_queue_timeout=0.01,
    )
    if isinstance(application, Application):
        application.deadlines = server.read_deadlines
    server.max_request_header_size = max_header_bytes
    return server


def adapt(bus: Bus, server: Server) -> ServerAdapter:
    """Return an adapter that runs the server under a cherrypy bus."""
    return ServerAdapter(bus, server, server.bind_addr)
