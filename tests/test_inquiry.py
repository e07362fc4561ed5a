"""What an operator is told of a request, job, instance or pool."""

from typing import Any
from unittest import TestCase

from msgspec import json

from primroseledge.agreement.membership import Timing
from primroseledge.gateway.node import create_node
from primroseledge.gateway.node import Node
from primroseledge.gateway.pages import Pages
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.ids import ZoneId
from primroseledge.observability.metrics import create_metrics
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.operators.inquiry import find_answers
from primroseledge.operators.inquiry import Inquiry
from primroseledge.policy.job import Job
from primroseledge.policy.job_controller import JobReport
from primroseledge.policy.plan import StepReport
from primroseledge.policy.policy_state import ControlNews
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import EndState
from primroseledge.requests.open_call import Arrival
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key

ME = EntryId('entry-0')
MAIN = CellId('main')
REQUEST = RequestId('r-1')


def build_node(limit: int) -> Node:
    """Return a node that owns a cell with one upstream and one slot."""
    node = create_node(
        ME, Incarnation(1), ZoneId('z1'), {}, Timing(), 2.0, 0.1, 0.0
    )
    configuration = node.configuration
    configuration.teams = {TeamId('sales'): Team('sales', 1, limit)}
    configuration.services = {
        ServiceId('copper'): Service('copper', 'sales', 'copper')
    }
    configuration.pools = {PoolId('copper'): Pool('copper')}
    configuration.instances = {
        InstanceId('yard-1'): Instance(
            'yard-1', 'copper', 'z1', 'r1', '127.0.0.1:1', slots=1
        )
    }
    dispatcher = create_dispatcher(MAIN, Epoch(1), configuration, is_open=True)
    dispatcher.work.wall_offset_s = 0.0
    dispatcher.heard(ME, 0.0, 0.0)
    node.dispatchers[MAIN] = dispatcher
    return node


def send(node: Node, request_id: RequestId) -> None:
    """Let a request arrive, and be granted when it can."""
    arrival = Arrival(
        handle=len(node.entry.calls) + 1,
        request_id=request_id,
        team=TeamId('sales'),
        service=ServiceId('copper'),
        cell=MAIN,
        is_idempotent=True,
        is_urgent=False,
        deadline=10.0,
    )
    for action in node.entry.arrive(arrival, 0.0):
        ask: Any = action
        for sent in node.dispatchers[MAIN].asked(ME, ask.message, 0.0):
            grant: Any = sent.message
            node.entry.granted(grant, 0.0)


class InquiryTest(TestCase):
    def find(self, node: Node, name: str) -> list[tuple[str, str]]:
        answers = find_answers(node, name, 1.0)
        return [(item.state, item.explanation) for item in answers]

    def test_request_that_runs_is_told_by_both_sides(self) -> None:
        node = build_node(limit=5)
        send(node, REQUEST)
        entry, owner = self.find(node, REQUEST)
        self.assertEqual(entry, ('running', 'on yard-1 for 1.0 s, attempt 1'))
        self.assertEqual(owner[0], 'running')
        self.assertIn('granted to entry-0 on yard-1', owner[1])

    def test_request_that_waits_is_told_for_what(self) -> None:
        for limit, reason in (
            (5, 'pool copper has no free slot'),
            (1, 'team sales is at its limit'),
        ):
            node = build_node(limit)
            send(node, RequestId('r-0'))
            send(node, REQUEST)
            entry, owner = self.find(node, REQUEST)
            self.assertEqual((entry[0], owner[0]), ('waiting', 'waiting'))
            self.assertIn(reason, owner[1])
            self.assertIn('9.0 s left', entry[1])

    def test_ended_attempts_are_told_as_they_ended(self) -> None:
        node = build_node(limit=5)
        for number, end in enumerate((EndState.ENDED, EndState.UNKNOWN)):
            carried = Carried(
                grant_id=GrantId(f'g{number}'),
                request_id=REQUEST,
                team=TeamId('sales'),
                service=ServiceId('copper'),
                upstream=InstanceId('yard-1'),
                is_idempotent=False,
                end=end,
                remaining_s=0.0,
            )
            node.entry.history.add(carried, 0.0, 0.0)
        states = [state for state, _ in self.find(node, REQUEST)]
        self.assertEqual(states, ['finished', 'unknown'])

    def test_controllers_reasons_are_told_by_subject_and_pool(self) -> None:
        node = build_node(limit=5)
        wave = Explanation('w1', Rule.WAVE_HALTED, {'failed': 2})
        job = Explanation('j1', Rule.JOB_NO_ROOM)
        node.policy.news = ControlNews(
            {PoolId('copper'): StepReport(held=[wave])},
            JobReport([job]),
            {'j1': Job('j1', 'sales')},
        )
        for name in ('w1', 'copper'):
            ((state, text),) = self.find(node, name)
            self.assertEqual(state, 'waiting')
            self.assertIn('wave_halted', text)
        states = [state for state, _ in self.find(node, 'j1')]
        self.assertEqual(states, ['waiting', 'waiting'])
        self.assertEqual(self.find(node, 'other'), [])

    def test_instance_that_leaves_is_told(self) -> None:
        node = build_node(limit=5)
        self.assertEqual(self.find(node, 'yard-1'), [])
        node.policy.leaving = frozenset({InstanceId('yard-1')})
        ((state, _),) = self.find(node, 'yard-1')
        self.assertEqual(state, 'leaving')


class Answering:
    """Stands for a loop that answers at once."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.asked: list[Inquiry] = []

    def post(self, item: Inquiry) -> None:
        self.asked.append(item)
        item.deliver(self.node, 0.0)


class ExplainPageTest(TestCase):
    def setUp(self) -> None:
        self.loop: Any = Answering(build_node(limit=5))
        self.key, record = generate_key()
        self.pages = Pages(self.loop, create_metrics(), (record,))

    def find(self, name: str, authorization: str) -> Any:
        page = self.pages.find(f'/-/explain/{name}', authorization)
        assert page is not None
        return page

    def test_operator_gets_a_list(self) -> None:
        send(self.loop.node, REQUEST)
        status, kind, body = self.find(REQUEST, f'Bearer {self.key}')
        self.assertEqual((status, kind), ('200 OK', 'application/json'))
        rows = json.decode(body)
        self.assertEqual([row['state'] for row in rows], ['running'] * 2)
        _, _, body = self.find('nothing', f'Bearer {self.key}')
        self.assertEqual(body, b'[]')

    def test_others_are_refused_and_ask_the_loop_nothing(self) -> None:
        other, _ = generate_key()
        for authorization in ('', 'Bearer x', f'Bearer {other}', self.key):
            with self.assertLogs('primroseledge', 'WARNING'):
                status, _, _ = self.find(REQUEST, authorization)
            self.assertEqual(status, '401 Unauthorized')
        self.assertEqual(self.loop.asked, [])
