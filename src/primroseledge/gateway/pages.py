"""The pages of an entry instance: health, state and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from queue import Empty
from typing import Any
from typing import Final

from msgspec import json

from primroseledge.gateway.loop import Loop
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.metrics import Metrics
from primroseledge.observability.metrics_page import CONTENT_TYPE
from primroseledge.operators.inquiry import Inquiry
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.keys import is_operator

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

PageBody = tuple[str, str, bytes]

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain'
EXPLAIN_PREFIX: Final = '/-/explain/'
EXPLAIN_WAIT_S: Final = 2.0


class Pages:
    """Answers for the paths below ``/-/``; any thread may ask."""

    def __init__(
        self,
        loop: Loop,
        metrics: Metrics,
        operator_keys: tuple[KeyRecord, ...] = (),
    ) -> None:
        self.loop = loop
        self.metrics = metrics
        self.operator_keys = operator_keys

    def find(self, path: str, authorization: str = '') -> PageBody | None:
        """Return status, content type and body; None for no such page."""
        if path.startswith(EXPLAIN_PREFIX):
            return self.explain(path, authorization)
        if path == '/-/live':
            return '200 OK', TEXT_TYPE, b'live\n'
        if path == '/-/ready':
            if self.loop.is_ready:
                return '200 OK', TEXT_TYPE, b'ready\n'
            return '503 Service Unavailable', TEXT_TYPE, b'not ready\n'
        if path == '/-/status':
            return '200 OK', JSON_TYPE, self.loop.status
        if path in ('/-/metrics', '/metrics'):
            return '200 OK', CONTENT_TYPE, self.metrics.page()
        return None

    def explain(self, path: str, authorization: str) -> PageBody:
        """Answer what an operator asks of a request, job or instance."""
        if not is_operator(self.operator_keys, authorization):
            log(Event.OPERATOR_REFUSED, path=path)
            return '401 Unauthorized', TEXT_TYPE, b'no operator key\n'
        inquiry = Inquiry(path.removeprefix(EXPLAIN_PREFIX))
        self.loop.post(inquiry)
        try:
            answers = inquiry.reply.get(timeout=EXPLAIN_WAIT_S)
        except Empty:
            return '503 Service Unavailable', TEXT_TYPE, b'the loop is busy\n'
        return '200 OK', JSON_TYPE, json.encode(answers)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve the pages alone, on the port for metrics."""
        page = self.find(
            str(environ.get('PATH_INFO', '')),
            str(environ.get('HTTP_AUTHORIZATION', '')),
        )
        status, content_type, body = page or (
            '404 Not Found',
            TEXT_TYPE,
            b'no such page\n',
        )
        start_response(
            status,
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]
