"""Spans join the caller's trace, and their export is bounded."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from msgspec import json
from msgspec.structs import replace

from primroseledge.observability.span_export import FileExporter
from primroseledge.observability.trace import create_tracing
from primroseledge.observability.trace import Hop
from primroseledge.observability.trace import Tracing
from primroseledge.settings.settings import Trace
from primroseledge.storage.keys import generate_key
from tests.test_settings import build

TRACE_ID = 'a' * 32
SAMPLED = f'00-{TRACE_ID}-{"b" * 16}-01'
UNSAMPLED = f'00-{TRACE_ID}-{"b" * 16}-00'


class TraceTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'spans'

    def open(self, **changes: Any) -> Tracing:
        trace = replace(Trace(path=str(self.path)), **changes)
        tracing = create_tracing(replace(build(), trace=trace))
        self.addCleanup(tracing.close)
        return tracing

    def read_spans(self) -> list[dict[str, Any]]:
        if not self.path.exists():
            return []
        return [
            span
            for line in self.path.read_text().splitlines()
            for group in json.decode(line)['resourceSpans']
            for scope in group['scopeSpans']
            for span in scope['spans']
        ]

    def test_hops_are_children_in_the_callers_trace(self) -> None:
        tracing = self.open()
        edge = tracing.begin(Hop.CALLER_EDGE, SAMPLED, service='copper')
        queue = tracing.begin(Hop.QUEUE_WAIT, edge.traceparent, at=1.5)
        queue.end(at=2.0)
        edge.end('no upstream')
        tracing.close()
        waited, called = self.read_spans()
        self.assertEqual({waited['traceId'], called['traceId']}, {TRACE_ID})
        self.assertEqual(called['parentSpanId'], 'b' * 16)
        self.assertEqual(waited['parentSpanId'], called['spanId'])
        self.assertEqual(waited['startTimeUnixNano'], '1500000000')
        self.assertEqual(waited['endTimeUnixNano'], '2000000000')
        self.assertEqual(
            called['status'], {'code': 2, 'message': 'no upstream'}
        )
        self.assertEqual(
            called['attributes'],
            [{'key': 'service', 'value': {'stringValue': 'copper'}}],
        )

    def test_malformed_header_starts_a_new_trace(self) -> None:
        tracing = self.open()
        for header in ('', 'x', '00-' + '0' * 32 + '-' + 'b' * 16 + '-01'):
            span = tracing.begin(Hop.CALLER_EDGE, header)
            self.assertRegex(
                span.traceparent, '^00-[0-9a-f]{32}-[0-9a-f]{16}-0[13]$'
            )
            self.assertNotIn('0' * 32, span.traceparent)

    def test_unsampled_trace_is_passed_on_and_not_kept(self) -> None:
        tracing = self.open()
        span = tracing.begin(Hop.CALLER_EDGE, UNSAMPLED)
        self.assertIn(TRACE_ID, span.traceparent)
        self.assertTrue(span.traceparent.endswith('-00'))
        span.end()
        tracing.close()
        self.assertEqual(self.read_spans(), [])

    def test_without_a_place_the_header_is_passed_on_as_it_came(self) -> None:
        tracing = self.open(path='')
        span = tracing.begin(Hop.CALLER_EDGE, SAMPLED)
        span.set(service='copper')
        span.end()
        self.assertEqual(span.traceparent, SAMPLED)
        self.assertIsNone(tracing.queue)

    def test_full_queue_drops_and_counts(self) -> None:
        tracing = self.open(queue_spans=3)
        assert tracing.queue
        tracing.queue.is_closing.set()
        tracing.queue.thread.join()
        for _ in range(5):
            tracing.begin(Hop.CALLER_EDGE, SAMPLED).end()
        self.assertEqual(tracing.dropped, 2)

    def test_exporter_that_fails_drops_and_counts(self) -> None:
        self.path.mkdir()
        tracing = self.open()
        tracing.begin(Hop.CALLER_EDGE, SAMPLED).end()
        tracing.close()
        self.assertEqual(tracing.dropped, 1)

    def test_endpoint_that_is_gone_drops_and_counts(self) -> None:
        tracing = self.open(path='', endpoint='http://127.0.0.1:1/v1/traces')
        tracing.begin(Hop.CALLER_EDGE, SAMPLED).end()
        tracing.close()
        self.assertEqual(tracing.dropped, 1)

    def test_secret_of_a_key_is_in_no_span(self) -> None:
        tracing = self.open()
        text, _ = generate_key()
        tracing.begin(Hop.CALLER_EDGE, SAMPLED, path=f'/x?key={text}').end()
        tracing.close()
        self.assertIn('<hidden>', self.path.read_text())
        self.assertNotIn(text.partition('.')[2], self.path.read_text())

    def test_file_is_bounded(self) -> None:
        exporter = FileExporter(str(self.path), max_bytes=100)
        for _ in range(50):
            exporter.export(b'x' * 30)
        older = Path(f'{self.path}.1')
        self.assertLess(older.stat().st_size, 200)
        self.assertEqual(
            sorted(path.name for path in self.path.parent.iterdir()),
            ['spans', 'spans.1'],
        )
