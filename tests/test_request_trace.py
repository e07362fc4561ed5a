"""A request's hops are spans that nest and add up."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from msgspec import json
from msgspec.structs import replace

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.observability.request_trace import RequestTrace
from primroseledge.observability.trace import create_tracing
from primroseledge.settings.settings import Trace
from tests.test_settings import build

SAMPLED = f'00-{"a" * 32}-{"b" * 16}-01'
SECOND_NS = 1_000_000_000


class RequestTraceTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / 'spans'
        trace = Trace(path=str(self.path))
        self.tracing = create_tracing(replace(build(), trace=trace))
        self.addCleanup(self.tracing.close)
        self.now = 100.0
        self.request = RequestTrace(
            self.tracing, SAMPLED, ServiceId('copper'), lambda: self.now
        )

    def read(self) -> dict[str, list[dict[str, Any]]]:
        self.tracing.close()
        spans: dict[str, list[dict[str, Any]]] = {}
        for line in self.path.read_text().splitlines():
            for group in json.decode(line)['resourceSpans']:
                for span in group['scopeSpans'][0]['spans']:
                    spans.setdefault(span['name'], []).append(span)
        return spans

    def test_each_hop_is_a_span_under_its_own_parent(self) -> None:
        self.request.begin_ask()
        self.now += 3.0
        self.request.end_ask(queued_s=2.0)
        header = self.request.begin_call(InstanceId('copper-1'))
        self.request.end_call()
        self.request.end('ran')
        spans = self.read()
        (edge,) = spans['caller edge']
        (hop,) = spans['entry-to-entry hop']
        (wait,) = spans['queue wait']
        (call,) = spans['upstream call']
        self.assertEqual(edge['parentSpanId'], 'b' * 16)
        self.assertEqual(hop['parentSpanId'], edge['spanId'])
        self.assertEqual(wait['parentSpanId'], hop['spanId'])
        self.assertEqual(call['parentSpanId'], edge['spanId'])
        self.assertIn(call['spanId'], header)
        began = int(wait['startTimeUnixNano'])
        ended = int(wait['endTimeUnixNano'])
        self.assertEqual(began / SECOND_NS, 100.5)
        self.assertEqual(ended / SECOND_NS, 102.5)

    def test_a_retry_has_a_hop_and_a_call_of_its_own(self) -> None:
        for problem in ('refused', ''):
            self.request.begin_ask()
            self.request.begin_call(InstanceId('copper-1'))
            self.request.end_call(problem)
        self.request.end('ran')
        spans = self.read()
        self.assertEqual(len(spans['entry-to-entry hop']), 2)
        codes = [span['status']['code'] for span in spans['upstream call']]
        self.assertEqual(codes, [2, 0])

    def test_open_hops_end_with_the_request(self) -> None:
        self.request.begin_ask()
        self.request.begin_call(InstanceId('copper-1'))
        self.request.end('unknown', 'answer_lost')
        self.assertEqual(
            sorted(self.read()),
            ['caller edge', 'entry-to-entry hop', 'upstream call'],
        )

    def test_a_wait_longer_than_the_hop_stays_within_it(self) -> None:
        self.request.begin_ask()
        self.now += 1.0
        self.request.end_ask(queued_s=5.0)
        (wait,) = self.read()['queue wait']
        self.assertEqual(int(wait['startTimeUnixNano']), 100 * SECOND_NS)
        self.assertEqual(int(wait['endTimeUnixNano']), 101 * SECOND_NS)

    def test_without_a_place_only_the_header_goes_on(self) -> None:
        request = RequestTrace(
            create_tracing(build()), '', ServiceId('copper'), lambda: 0.0
        )
        request.begin_ask()
        self.assertEqual(request.begin_call(InstanceId('copper-1')), '')
        request.end('ran')
