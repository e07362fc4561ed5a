"""A single node: keys, freshness and a key withdrawn in the queue."""

import unittest

from msgspec import structs

from primroseledge.agreement.membership import Timing
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.gateway.node import create_node
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import ZoneId
from primroseledge.requests.actions import Action
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import SendToEntry
from primroseledge.requests.actions import StartAttempt
import primroseledge.requests.handlers  # noqa: F401  its handlers register
from primroseledge.requests.messages import AnyMessage
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import Echo
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Handover
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.requests.messages import Report
from primroseledge.requests.messages import ReportRequest
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.request_check import RequestHead
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key

ME = EntryId('a')
OWNER = EntryId('b')
CELL = Service('s', 't', 'p').cell
FRESHNESS_S = 2.0
RUN = Incarnation(1)


class NodeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.key, record = generate_key()
        self.documents = [
            ('members', Members('all', (ME, OWNER))),
            ('service', Service('s', 't', 'p')),
            ('team', Team('t', 1, 5, keys=(record,))),
        ]
        zones = {ME: ZoneId('z'), OWNER: ZoneId('z')}
        self.node = create_node(
            ME, RUN, ZoneId('z'), zones, Timing(), FRESHNESS_S, 0.1, 0.0
        )
        self.read(Revision(1), 0.0)

    def read(self, revision: Revision, now: float) -> list[Action]:
        changes = tuple(
            ConfigChange(
                document_key(kind, document.id),
                encode_document(document),
                revision,
            )
            for kind, document in self.documents
        )
        delta = ConfigDelta(Revision(0), revision, changes, is_whole=True)
        return self.node.config_read(delta, revision, now, now)

    def request(self, now: float, key: str | None) -> list[Action]:
        head = RequestHead(
            1, ServiceId('s'), key, RequestId('r'), True, False, 30.0
        )
        return self.node.request(head, now)

    def follow_owner(self, now: float) -> None:
        steps = self.node.tick(now)
        self.assertIn(ReadRecord(CELL), steps)
        self.node.record_read(CELL, None, now, now)
        request = ReportRequest(CELL, Epoch(1))
        report = self.receive(request, now)
        self.assertEqual(
            [SendToEntry(OWNER, Report(CELL, Epoch(1), ()))], report
        )
        self.receive(self.heartbeat_of_owner(now), now)

    def heartbeat_of_owner(self, now: float) -> Heartbeat:
        beat = self.node.membership.heartbeat(
            now, Revision(1), -1.0, {CELL: Epoch(1)}, True
        )
        return Heartbeat(
            revision=beat.revision,
            store_read_age_s=-1.0,
            epochs=beat.epochs,
            sent_at=now,
            echoes={ME: Echo(RUN, now)},
        )

    def receive(self, message: AnyMessage, now: float) -> list[Action]:
        envelope = Envelope(PROTOCOL_VERSION, OWNER, RUN, message)
        return self.node.received(envelope, now)

    def asked(self, actions: list[Action]) -> Ask:
        (action,) = actions
        assert isinstance(action, SendToEntry)
        assert isinstance(action.message, Ask)
        return action.message

    def grant(self, ask: Ask, now: float) -> list[Action]:
        grant = Grant(
            cell=CELL,
            epoch=Epoch(1),
            ask_id=ask.ask_id,
            grant_id=GrantId('g'),
            upstream=InstanceId('u'),
            address='127.0.0.1:1',
            run_limit_s=1.0,
            echo=now,
        )
        return self.receive(grant, now)

    def test_request_without_a_key_is_refused(self) -> None:
        self.assertEqual(
            [RefuseCall(1, Reason.NO_KEY)], self.request(0.1, None)
        )

    def test_request_with_another_key_is_refused(self) -> None:
        other, _ = generate_key()
        self.assertEqual(
            [RefuseCall(1, Reason.BAD_KEY)], self.request(0.1, other)
        )

    def test_an_ask_names_the_owner_s_time_at_the_call_s_arrival(
        self,
    ) -> None:
        """Else the owner could not tell a new attempt from a late one."""
        self.follow_owner(0.1)
        old = self.asked(self.request(0.2, self.key))
        self.assertEqual((old.begun_epoch, old.begun_after), (Epoch(1), 0.1))
        self.receive(self.heartbeat_of_owner(0.3), 0.3)
        again = self.asked(self.node.settle(self.node.entry.tick(1.3), 1.3))
        self.assertEqual(again.begun_after, 0.1)
        self.receive(
            structs.replace(self.heartbeat_of_owner(0.4), epochs={}), 0.4
        )
        new = self.asked(self.request(0.5, self.key))
        self.assertEqual(new.begun_after, 0.3)

    def test_node_that_read_nothing_for_long_refuses(self) -> None:
        late = FRESHNESS_S + 0.1
        self.assertEqual(
            [RefuseCall(1, Reason.NOT_FRESH)], self.request(late, self.key)
        )

    def test_grant_starts_the_attempt(self) -> None:
        self.follow_owner(0.1)
        ask = self.asked(self.request(0.2, self.key))
        (start,) = self.grant(ask, 0.3)
        self.assertIsInstance(start, StartAttempt)

    def test_key_withdrawn_in_the_queue_is_refused_at_the_grant(self) -> None:
        self.follow_owner(0.1)
        ask = self.asked(self.request(0.2, self.key))
        self.documents[-1] = ('team', Team('t', 1, 5))
        self.read(Revision(2), 0.25)
        actions = self.grant(ask, 0.3)
        refusals = [a for a in actions if isinstance(a, RefuseCall)]
        self.assertEqual([Reason.BAD_KEY], [r.reason for r in refusals])
        self.assertFalse([a for a in actions if isinstance(a, StartAttempt)])

    def test_leaving_owner_waits_for_the_next_one(self) -> None:
        self.follow_owner(0.1)
        self.assertFalse(self.node.has_work(0.1))
        self.node.handovers[CELL] = Handover(Epoch(1), (), (), 0.0, 0.0)
        ownership = self.node.ownerships[CELL]
        self.assertFalse(self.node.has_work(0.1))
        self.node.membership.is_leaving = True
        ownership.record = OwnerRecord(ME, RUN, Epoch(1), is_released=True)
        self.assertTrue(self.node.has_work(0.1))
        # With nobody left to take the cell there is nothing to wait for.
        self.assertFalse(self.node.has_work(100.0))
