"""The pages of an entry instance: health, state and metrics."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from primroseledge.loop import Loop
from primroseledge.metrics import CONTENT_TYPE
from primroseledge.metrics import Metrics

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

JSON_TYPE = 'application/json'
TEXT_TYPE = 'text/plain'


class Pages:
    """Answers for the paths below ``/-/``; any thread may ask."""

    def __init__(self, loop: Loop, metrics: Metrics) -> None:
        self.loop = loop
        self.metrics = metrics

    def find(self, path: str) -> tuple[str, str, bytes] | None:
        """Return status, content type and body; None for no such page."""
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

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve the pages alone, on the port for metrics."""
        page = self.find(str(environ.get('PATH_INFO', '')))
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
