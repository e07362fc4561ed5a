"""A page of metrics that any thread may record to.

A lock keeps a page whole. Labels come from documents and enums, so their
number is bounded; no label holds an id of a request, a key or a caller.
"""

from threading import Lock
from typing import Final

from aioprometheus.collectors import Counter
from aioprometheus.collectors import Gauge
from aioprometheus.collectors import Histogram
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

CONTENT_TYPE: Final = 'text/plain; version=0.0.4; charset=utf-8'


class MetricsPage:
    """Metrics with one prefix and one lock."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.registry = Registry()

    def counter(self, name: str, text: str) -> Counter:
        """Create and register a counter."""
        return Counter(f'primroseledge_{name}', text, registry=self.registry)

    def gauge(self, name: str, text: str) -> Gauge:
        """Create and register a gauge."""
        return Gauge(f'primroseledge_{name}', text, registry=self.registry)

    def histogram(
        self, name: str, text: str, buckets: tuple[float, ...]
    ) -> Histogram:
        """Create and register a histogram with buckets in seconds."""
        return Histogram(
            f'primroseledge_{name}',
            text,
            registry=self.registry,
            buckets=list(buckets),
        )

    def page(self) -> bytes:
        """Return the text that a Prometheus server scrapes."""
        with self.lock:
            content, _ = render(self.registry, [])
        return bytes(content)
