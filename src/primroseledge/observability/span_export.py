"""Export finished spans, as OTLP in JSON, from a bounded queue."""

from contextlib import ExitStack
from pathlib import Path
from queue import Empty
from queue import Full
from queue import Queue
from threading import Event
from threading import Thread
from typing import Any
from typing import Final
from typing import Protocol

from msgspec import json
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import SpanProcessor
from opentelemetry.trace import StatusCode
from urllib3 import PoolManager

from primroseledge import __version__
from primroseledge.settings.settings import Trace
from primroseledge.storage.keys import redact_keys

BATCH_SPANS: Final = 256
IDLE_WAIT_S: Final = 0.25
CLOSE_WAIT_S: Final = 2.0
POST_TIMEOUT_S: Final = 2.0
MAX_FILE_BYTES: Final = 8_000_000
KIND_NUMBERS: Final = {
    'INTERNAL': 1,
    'SERVER': 2,
    'CLIENT': 3,
    'PRODUCER': 4,
    'CONSUMER': 5,
}
STATUS_NUMBERS: Final = {
    StatusCode.UNSET: 0,
    StatusCode.OK: 1,
    StatusCode.ERROR: 2,
}


class Exporter(Protocol):
    """Takes batches of spans; raises any exception when it cannot."""

    def export(self, batch: bytes) -> None:
        """Take one batch, a JSON object in one line."""

    def close(self) -> None:
        """Release what is open."""


class FileExporter:
    """Appends a line for each batch.

    A file that has grown to ``max_bytes`` replaces the one named
    ``.1``, so that two of them bound what a memory file system holds.
    """

    def __init__(self, path: str, max_bytes: int = MAX_FILE_BYTES) -> None:
        self.path = Path(path)
        self.max_bytes = max_bytes

    def export(self, batch: bytes) -> None:
        """Append one line."""
        with self.path.open('ab') as file:
            file.write(batch + b'\n')
            size = file.tell()
        if size >= self.max_bytes and self.path.is_file():
            self.path.replace(f'{self.path}.1')

    def close(self) -> None:
        """Do nothing; the file is open only while it is written."""


class EndpointExporter:
    """Sends each batch by POST."""

    def __init__(self, url: str) -> None:
        self.url = url
        self.resources = ExitStack()
        self.pool = PoolManager(retries=False, timeout=POST_TIMEOUT_S)
        self.resources.callback(self.pool.clear)

    def export(self, batch: bytes) -> None:
        """Send one batch; raises ConnectionError unless it is taken."""
        headers = {'Content-Type': 'application/json'}
        response = self.pool.request(
            'POST', self.url, body=batch, headers=headers
        )
        if response.status >= 300:
            raise ConnectionError(f'status {response.status}')

    def close(self) -> None:
        """Close connections."""
        self.resources.close()


class SpanQueue(SpanProcessor):
    """Holds finished spans until a thread of its own exports them."""

    def __init__(
        self, exporter: Exporter, limit: int, resource: dict[str, Any]
    ) -> None:
        self.exporter = exporter
        self.resource = encode_attributes(resource)
        self.queue: Queue[ReadableSpan] = Queue(limit)
        self.dropped = 0
        self.is_closing = Event()
        self.thread = Thread(target=self.run, name='trace-export', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def on_end(self, span: ReadableSpan) -> None:
        """Queue a span, or drop and count it when the queue is full."""
        try:
            self.queue.put_nowait(span)
        except Full:
            self.dropped += 1

    def run(self) -> None:
        """Export batches until closed and empty."""
        while not (self.is_closing.is_set() and self.queue.empty()):
            spans = self.take_batch()
            if spans:
                self.export_batch(spans)

    def take_batch(self) -> list[ReadableSpan]:
        """Wait a little for spans; return at most one batch."""
        spans = list[ReadableSpan]()
        try:
            spans.append(self.queue.get(timeout=IDLE_WAIT_S))
            while len(spans) < BATCH_SPANS:
                spans.append(self.queue.get_nowait())
        except Empty:
            pass
        return spans

    def export_batch(self, spans: list[ReadableSpan]) -> None:
        """Export one batch; one that fails is dropped and counted."""
        try:
            batch = encode_batch(self.resource, spans).decode()
            self.exporter.export(redact_keys(batch).encode())
        except Exception:
            # No fault of an exporter may end the thread.
            self.dropped += len(spans)

    def close(self) -> None:
        """Export what is queued, for a bounded time, and stop."""
        self.is_closing.set()
        if self.thread.is_alive():
            self.thread.join(CLOSE_WAIT_S)
        self.exporter.close()


def create_exporter(trace: Trace) -> Exporter | None:
    """Return the exporter that the settings name, or None."""
    if trace.path:
        return FileExporter(trace.path)
    if trace.endpoint:
        return EndpointExporter(trace.endpoint)
    return None


def encode_batch(
    resource: list[dict[str, Any]], spans: list[ReadableSpan]
) -> bytes:
    """Return spans as an OTLP request in JSON."""
    scope = {'name': 'primroseledge', 'version': __version__}
    return json.encode(
        {
            'resourceSpans': [
                {
                    'resource': {'attributes': resource},
                    'scopeSpans': [
                        {
                            'scope': scope,
                            'spans': [encode_span(span) for span in spans],
                        }
                    ],
                }
            ]
        }
    )


def encode_span(span: ReadableSpan) -> dict[str, Any]:
    """Return one span in OTLP's JSON form."""
    context = span.context
    encoded: dict[str, Any] = {
        'traceId': f'{context.trace_id:032x}' if context else '',
        'spanId': f'{context.span_id:016x}' if context else '',
        'name': span.name,
        'kind': KIND_NUMBERS[span.kind.name],
        'startTimeUnixNano': str(span.start_time),
        'endTimeUnixNano': str(span.end_time),
        'attributes': encode_attributes(dict(span.attributes or {})),
        'status': {'code': STATUS_NUMBERS[span.status.status_code]},
    }
    if span.parent is not None:
        encoded['parentSpanId'] = f'{span.parent.span_id:016x}'
    if span.status.description:
        encoded['status']['message'] = span.status.description
    return encoded


def encode_attributes(attributes: dict[str, Any]) -> list[dict[str, Any]]:
    """Return attributes in OTLP's JSON form."""
    return [
        {'key': name, 'value': encode_value(value)}
        for name, value in attributes.items()
    ]


def encode_value(value: Any) -> dict[str, Any]:
    """Return one value with its type, as OTLP asks."""
    if isinstance(value, bool):
        return {'boolValue': value}
    if isinstance(value, int):
        return {'intValue': str(value)}
    if isinstance(value, float):
        return {'doubleValue': value}
    return {'stringValue': str(value)}
