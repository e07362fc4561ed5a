"""Traces: one span for each hop of a request.

The ``traceparent`` header of the W3C goes in from callers and out to
upstreams. Ending a span puts it in a bounded queue; another thread
exports it, so that no request waits for an exporter.
"""

from enum import Enum
from typing import Any
from typing import Final

from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import sampling
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.trace import Span
from opentelemetry.trace import SpanKind
from opentelemetry.trace import Status
from opentelemetry.trace import StatusCode

from primroseledge import __version__
from primroseledge.observability.span_export import create_exporter
from primroseledge.observability.span_export import SpanQueue
from primroseledge.observability.traceparent import read_traceparent
from primroseledge.settings.settings import Settings

Attribute = str | int | float | bool


class Hop(Enum):
    """The hops of a request, each a span."""

    CALLER_EDGE = 'caller edge'
    QUEUE_WAIT = 'queue wait'
    ENTRY_HOP = 'entry-to-entry hop'
    UPSTREAM_CALL = 'upstream call'


KINDS: Final = {
    Hop.CALLER_EDGE: SpanKind.SERVER,
    Hop.QUEUE_WAIT: SpanKind.INTERNAL,
    Hop.ENTRY_HOP: SpanKind.PRODUCER,
    Hop.UPSTREAM_CALL: SpanKind.CLIENT,
}


class HopSpan:
    """One hop in progress; ``traceparent`` goes to the next hop.

    Without a span it only passes on the header that came in.
    """

    __slots__ = ('span', 'traceparent')

    def __init__(self, span: Span | None, traceparent: str) -> None:
        self.span = span
        self.traceparent = traceparent

    def set(self, **attributes: Attribute) -> None:
        """Add attributes; never a key, a header or a body."""
        if self.span is not None:
            self.span.set_attributes(attributes)

    def end(self, problem: str = '', at: float | None = None) -> None:
        """End the hop; ``at`` is wall-clock seconds, None for now."""
        if self.span is None:
            return
        if problem:
            self.span.set_status(Status(StatusCode.ERROR, problem))
        self.span.end(None if at is None else int(at * 1e9))


class Tracing:
    """Begins spans and owns their export."""

    def __init__(
        self, provider: TracerProvider | None, queue: SpanQueue | None
    ) -> None:
        self.provider = provider
        self.queue = queue
        self.tracer = (
            provider.get_tracer('primroseledge', __version__)
            if provider
            else None
        )

    @property
    def dropped(self) -> int:
        """Return how many spans were dropped since the start."""
        return self.queue.dropped if self.queue else 0

    def begin(
        self,
        hop: Hop,
        traceparent: str = '',
        at: float | None = None,
        **attributes: Attribute,
    ) -> HopSpan:
        """Begin a hop as a child of ``traceparent``, if that is valid.

        ``at`` is wall-clock seconds, None for now. Any thread may call
        it.
        """
        if self.tracer is None:
            return HopSpan(None, traceparent)
        span = self.tracer.start_span(
            hop.value,
            context=read_traceparent(traceparent),
            kind=KINDS[hop],
            attributes=attributes,
            start_time=None if at is None else int(at * 1e9),
        )
        return HopSpan(span, format_traceparent(span))

    def close(self) -> None:
        """Export what is queued, for a bounded time, and stop."""
        if self.queue is not None:
            self.queue.close()


def format_traceparent(span: Span) -> str:
    """Return the header that makes another span a child of this one."""
    context = span.get_span_context()
    return (
        f'00-{context.trace_id:032x}-{context.span_id:016x}'
        f'-{context.trace_flags:02x}'
    )


def create_tracing(settings: Settings) -> Tracing:
    """Return tracing as the settings ask; the caller closes it.

    Without path and endpoint it keeps no spans, and passes
    ``traceparent`` on as it came.
    """
    exporter = create_exporter(settings.trace)
    if exporter is None:
        return Tracing(None, None)
    resource: dict[str, Any] = {
        'service.name': 'primroseledge',
        'service.version': __version__,
        'service.instance.id': settings.entry_id,
        'cloud.availability_zone': settings.zone,
    }
    queue = SpanQueue(exporter, settings.trace.queue_spans, resource)
    provider = TracerProvider(
        sampler=sampling.ParentBased(
            sampling.TraceIdRatioBased(settings.trace.sample)
        ),
        resource=Resource(resource),
        shutdown_on_exit=False,
    )
    provider.add_span_processor(queue)
    queue.start()
    return Tracing(provider, queue)
