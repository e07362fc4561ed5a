"""Tests of an entry instance's node: ownership, callers and peers.

They guard against two instances that act as the owner at a time, callers
that are given a wrong outcome, and configurations that return to an older
version.
"""

from typing import Any
import unittest

from msgspec import msgpack

from primroseledge.cluster.claim_order import CLAIM_STAGGER_S
from primroseledge.cluster.commands import AnswerCaller
from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import outer_name
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import RestoreJobs
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkerReport
from primroseledge.cluster.compression import compress_data
from primroseledge.cluster.compression import MAX_DECOMPRESSED_BYTES
from primroseledge.cluster.departure import MAX_HANDOVER_WAIT_S
from primroseledge.cluster.departure import MIN_OWNERSHIP_S
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_ownership import FleetOwnershipState
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_view import Decoders
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import decode
from primroseledge.cluster.messages import encode
from primroseledge.cluster.messages import ForwardedReply
from primroseledge.cluster.messages import ForwardedRequest
from primroseledge.cluster.messages import NotOwner
from primroseledge.cluster.messages import OwnerView
from primroseledge.cluster.messages import PeerStateQuery
from primroseledge.cluster.messages import PeerStateReply
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.progress import JobState
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import Verdict
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import QUEUE

OWN_ENTRY = EntryId('entry-1')
OTHER_OWNER = OwnerView(Epoch(3), EntryId('entry-2'), 'entry-2:7000')
CONFIGURATION = Item('configuration', b'1', Revision(5))


def decode_configuration(data: bytes) -> Configuration:
    base = make_configuration()
    return Configuration(
        int(data), base.queues, base.services, base.workspaces
    )


def decode_worker(item: Item, _config: Configuration) -> WorkerEntry:
    if item.value != b'good':
        raise DocumentError('not an entry')
    return make_worker_entry(item.key)


def reject_wave(item: Item) -> Any:
    raise DocumentError(item.key)


class NodeBench:
    """A node, and the commands that its last reconciliation returned."""

    def __init__(self) -> None:
        self.now = 50.0
        decoders = Decoders(
            'configuration',
            decode_configuration,
            decode_worker,
            lambda _key: False,
            reject_wave,
        )
        self.node = FleetNode(FleetView(OWN_ENTRY, 'entry-1:7000', decoders))
        self.commands: list[Any] = []

    def reconcile(self, seconds: float = 0.0) -> list[Any]:
        self.now += seconds
        commands, _ = self.node.reconcile(self.now)
        self.commands = commands
        return commands

    def commands_of(self, kind: type) -> list[Any]:
        return [
            command for command in self.commands if isinstance(command, kind)
        ]

    def apply_keys(self, *items: Item, is_complete: bool = True) -> None:
        revision = Revision(max([10, *(i.revision for i in items)]))
        self.node.apply_keys(
            WatchedKeysRead(items, revision, is_complete), self.now
        )
        self.reconcile()

    def renew_lease(self) -> None:
        self.node.handle_lease_renewed(LeaseRenewed(LeaseId(7), self.now, 2.0))
        self.reconcile()

    def apply_owner(self, owner: OwnerView, revision: int = 20) -> None:
        value = msgpack.encode(owner)
        self.apply_keys(
            Item(OWNER_KEY, value, Revision(revision)), is_complete=False
        )

    def become_owner(self) -> None:
        self.renew_lease()
        self.apply_keys(CONFIGURATION)
        view = OwnerView(Epoch(1), OWN_ENTRY, self.node.address)
        self.node.handle_claim_won(ClaimWon(view, Revision(30)), self.now)
        self.reconcile()
        entry = Item('worker-1', b'good', Revision(9))
        restored = JobsRestored(Epoch(1), (), (), (), (entry,))
        self.node.handle_jobs_restored(restored, self.now)
        self.reconcile()


class OwnershipTest(unittest.TestCase):
    def test_a_vacant_record_is_claimed_under_a_lease(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        self.assertEqual([], bench.commands_of(ClaimOwner))
        bench.renew_lease()
        self.assertEqual(1, len(bench.commands_of(ClaimOwner)))

    def test_a_new_owner_restores_the_jobs_before_it_acts(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        bench.apply_keys(CONFIGURATION)
        view = OwnerView(Epoch(1), OWN_ENTRY, bench.node.address)
        bench.node.handle_claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.reconcile()
        self.assertEqual(
            [RestoreJobs(Epoch(1))], bench.commands_of(RestoreJobs)
        )
        self.assertIsNone(bench.node.engine)

    def test_no_orders_after_the_lease_expires(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.assertTrue(bench.node.ownership.may_send_orders(bench.now + 1.8))
        self.assertFalse(bench.node.ownership.may_send_orders(bench.now + 2.0))

    def test_a_newer_owner_record_ends_the_ownership(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.apply_owner(OTHER_OWNER, 40)
        self.assertIsNone(bench.node.engine)
        self.assertIs(
            FleetOwnershipState.FOLLOWING, bench.node.ownership.state
        )

    def test_an_older_owner_record_is_ignored(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.apply_owner(OTHER_OWNER, 25)
        self.assertIsNotNone(bench.node.engine)

    def test_a_claim_won_after_the_lease_ended_is_released(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        bench.apply_keys(CONFIGURATION)
        bench.node.handle_lease_lost()
        view = OwnerView(Epoch(1), OWN_ENTRY, bench.node.address)
        bench.node.handle_claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.apply_owner(view, 30)
        release = ReleaseOwner(Epoch(1), None, has_no_calls_in_flight=True)
        self.assertEqual([release], bench.commands_of(ReleaseOwner))

    def test_an_error_while_restoring_releases_the_ownership(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        bench.apply_keys(CONFIGURATION)
        view = OwnerView(Epoch(1), OWN_ENTRY, bench.node.address)
        bench.node.handle_claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.node.abandon_ownership()
        bench.reconcile()
        self.assertEqual(1, len(bench.commands_of(ReleaseOwner)))
        self.assertIs(
            FleetOwnershipState.RELEASING, bench.node.ownership.state
        )

    def test_an_error_that_drops_a_claim_allows_another(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        bench.node.handle_lease_renewed(
            LeaseRenewed(LeaseId(7), bench.now, 2.0)
        )
        bench.node.claim(bench.now)
        bench.node.abandon_ownership()
        self.assertIs(
            FleetOwnershipState.FOLLOWING, bench.node.ownership.state
        )
        bench.reconcile(1.0)
        self.assertEqual(1, len(bench.commands_of(ClaimOwner)))

    def test_a_leaving_owner_hands_over(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.node.departure.is_leaving = True
        bench.reconcile()
        self.assertEqual(
            [
                ReleaseOwner(
                    Epoch(1), Revision(30), has_no_calls_in_flight=True
                )
            ],
            bench.commands_of(ReleaseOwner),
        )

    def test_a_leaving_instance_removes_its_member_record_once(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        bench.node.departure.is_leaving = True
        bench.reconcile()
        self.assertEqual([LeaveMembers()], bench.commands_of(LeaveMembers))
        bench.reconcile()
        self.assertEqual([], bench.commands_of(LeaveMembers))

    def test_a_leaving_owner_waits_for_calls_in_flight(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        assert bench.node.engine is not None
        bench.node.engine.instance_list.calls_in_flight = 1
        bench.node.departure.is_leaving = True
        bench.reconcile()
        bench.reconcile(MAX_HANDOVER_WAIT_S / 2)
        self.assertEqual([], bench.commands_of(ReleaseOwner))
        bench.node.engine.instance_list.calls_in_flight = 0
        bench.reconcile()
        [release] = bench.commands_of(ReleaseOwner)
        self.assertTrue(release.has_no_calls_in_flight)

    def test_a_leaving_owner_waits_for_a_limited_time(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        assert bench.node.engine is not None
        bench.node.engine.instance_list.calls_in_flight = 1
        bench.node.departure.is_leaving = True
        bench.reconcile()
        bench.reconcile(MAX_HANDOVER_WAIT_S)
        [release] = bench.commands_of(ReleaseOwner)
        self.assertFalse(release.has_no_calls_in_flight)

    def test_a_successor_waits_unless_no_calls_are_in_flight(self) -> None:
        for is_predecessor_idle, waits in ((False, True), (True, False)):
            bench = NodeBench()
            bench.renew_lease()
            bench.apply_keys(CONFIGURATION)
            view = OwnerView(Epoch(4), OWN_ENTRY, bench.node.address)
            won = ClaimWon(view, Revision(30), is_predecessor_idle)
            bench.node.handle_claim_won(won, bench.now)
            restored = JobsRestored(Epoch(4), (), (), (), ())
            bench.node.handle_jobs_restored(restored, bench.now)
            assert bench.node.engine is not None
            paused_until = (
                bench.node.engine.instance_list.may_change_instances_from
            )
            self.assertEqual(waits, paused_until > bench.now)

    def apply_members(self, bench: NodeBench, *started_ms: int) -> None:
        """Apply member records with these start times.

        The first record is the node's own.
        """
        items = []
        for number, started in enumerate(started_ms, 1):
            entry = EntryId(f'entry-{number}')
            member = MemberRecord(entry, f'{entry}:7000', started)
            key = f'{MEMBER_PREFIX}{entry}'
            items.append(Item(key, msgpack.encode(member), Revision(9)))
        bench.apply_keys(CONFIGURATION, *items)

    def set_processors(self, bench: NodeBench, *millis: int) -> None:
        """Set member records with these processors, in thousandths.

        The first record is the node's own.
        """
        for number, processor_millis in enumerate(millis, 1):
            entry = EntryId(f'entry-{number}')
            bench.node.view.members[entry] = MemberRecord(
                entry, f'{entry}:7000', 5000, processor_millis
            )

    def test_a_weak_owner_releases_ownership_to_a_strong_member(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.set_processors(bench, 500, 2000)
        bench.reconcile(1.0)
        self.assertEqual([], bench.commands_of(ReleaseOwner))
        bench.reconcile(MIN_OWNERSHIP_S)
        self.assertEqual(1, len(bench.commands_of(ReleaseOwner)))
        bench.node.handle_owner_released(OwnerReleased(Epoch(1)))
        bench.renew_lease()
        self.assertIs(
            FleetOwnershipState.FOLLOWING, bench.node.ownership.state
        )
        self.assertIsNone(bench.node.engine)

    def test_an_owner_of_similar_strength_keeps_ownership(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.set_processors(bench, 1000, 1500, 900)
        bench.reconcile(MIN_OWNERSHIP_S)
        self.assertEqual([], bench.commands_of(ReleaseOwner))

    def test_the_youngest_member_claims_first(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        self.apply_members(bench, 7000, 5000, 5000)
        self.assertEqual(1, len(bench.commands_of(ClaimOwner)))

    def test_older_members_wait_for_younger_ones_to_claim(self) -> None:
        bench = NodeBench()
        bench.renew_lease()
        self.apply_members(bench, 5000, 6000, 7000)
        self.assertEqual([], bench.commands_of(ClaimOwner))
        bench.reconcile(CLAIM_STAGGER_S)
        self.assertEqual([], bench.commands_of(ClaimOwner))
        bench.reconcile(CLAIM_STAGGER_S)
        self.assertEqual(1, len(bench.commands_of(ClaimOwner)))

    def test_a_failed_worker_list_is_retried(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.renew_lease()
        bench.reconcile(1.1)
        self.assertEqual(1, len(bench.commands_of(ListWorkers)))
        bench.node.handle_worker_list_failed(
            WorkerListFailed('down', Epoch(1)), bench.now
        )
        bench.reconcile(0.3)
        self.assertEqual(1, len(bench.commands_of(ListWorkers)))

    def test_answers_to_an_earlier_epoch_are_dropped(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        engine = bench.node.engine
        assert engine is not None
        worker = engine.state.workers[make_worker_entry('worker-1').id]
        poll_answer = PollAnswered(
            worker.id, worker.entry.boot, 5, (), (), 0, 1.0, 2.0
        )
        bench.node.handle_worker_report(
            WorkerReport(Epoch(0), poll_answer), bench.now
        )
        self.assertFalse(worker.has_answered_poll)
        bench.node.handle_worker_report(
            WorkerReport(Epoch(1), poll_answer), bench.now
        )
        self.assertTrue(worker.has_answered_poll)


class CallersTest(unittest.TestCase):
    def submit(self, bench: NodeBench, number: int = 1) -> None:
        request = SubmitRequest(make_job('a', make_step(1)))
        bench.node.handle_call(number, request, bench.now + 2.0, bench.now)
        bench.reconcile()

    def answers(self, bench: NodeBench) -> list[Answer]:
        return [command.answer for command in bench.commands_of(AnswerCaller)]

    def test_a_request_is_forwarded_to_the_owner_and_answered(self) -> None:
        bench = NodeBench()
        bench.apply_owner(OTHER_OWNER)
        self.submit(bench)
        [send] = bench.commands_of(SendToPeer)
        self.assertEqual(OTHER_OWNER.address, send.address)
        reply = ForwardedReply(send.message.number, Answer(Verdict.DONE))
        bench.node.handle_message('', reply, bench.now)
        bench.reconcile()
        self.assertEqual([Answer(Verdict.DONE)], self.answers(bench))

    def test_a_request_without_an_owner_is_refused_as_not_run(self) -> None:
        bench = NodeBench()
        self.submit(bench)
        bench.reconcile(1.6)
        [answer] = self.answers(bench)
        self.assertIs(Verdict.REFUSED, answer.verdict)
        self.assertGreater(answer.retry_after_s, 0)

    def test_a_sent_request_without_an_answer_has_an_unknown_outcome(
        self,
    ) -> None:
        bench = NodeBench()
        bench.apply_owner(OTHER_OWNER)
        self.submit(bench)
        bench.reconcile(2.1)
        self.assertIs(Verdict.UNKNOWN, self.answers(bench)[0].verdict)

    def test_a_declined_request_is_refused_as_not_run(self) -> None:
        bench = NodeBench()
        bench.apply_owner(OTHER_OWNER)
        self.submit(bench)
        bench.node.handle_message('', NotOwner(1, None), bench.now)
        bench.node.ownership.owner = None
        bench.reconcile(2.1)
        self.assertIs(Verdict.REFUSED, self.answers(bench)[0].verdict)

    def test_a_request_is_resent_to_a_new_owner_at_once(self) -> None:
        bench = NodeBench()
        bench.apply_owner(OTHER_OWNER)
        self.submit(bench)
        newer = OwnerView(Epoch(4), EntryId('entry-3'), 'entry-3:7000')
        bench.apply_owner(newer, 21)
        [send] = bench.commands_of(SendToPeer)
        self.assertEqual('entry-3:7000', send.address)

    def test_only_an_active_owner_answers_no_such_job(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        request = ForwardedRequest(9, StateRequest(QUEUE, make_job('a').id))
        bench.node.handle_message('peer', request, bench.now)
        bench.reconcile()
        [reply] = bench.commands_of(ReplyToPeer)
        self.assertIs(Verdict.NO_SUCH_JOB, reply.message.answer.verdict)
        bench.now += 2.5
        bench.node.handle_message('peer', request, bench.now)
        bench.reconcile()
        [reply] = bench.commands_of(ReplyToPeer)
        self.assertIsInstance(reply.message, NotOwner)


class PeersTest(unittest.TestCase):
    def test_peers_are_queried_while_the_store_is_unavailable(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        other = MemberRecord(EntryId('entry-2'), OTHER_OWNER.address)
        bench.node.view.members[other.entry] = other
        bench.reconcile(1.0)
        self.assertEqual([], bench.commands_of(SendToPeer))
        bench.node.view.handle_store_unavailable(
            StoreUnavailable('refused'), bench.now
        )
        bench.reconcile()
        self.assertEqual(
            [SendToPeer(OTHER_OWNER.address, PeerStateQuery(1))],
            bench.commands_of(SendToPeer),
        )

    def test_a_newer_configuration_of_a_peer_is_applied(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        bench.node.handle_message(
            '', PeerStateReply(OTHER_OWNER, 2, compress_data(b'2')), bench.now
        )
        assert bench.node.configuration is not None
        self.assertEqual(2, bench.node.configuration.version)
        self.assertEqual(OTHER_OWNER, bench.node.ownership.owner)

    def test_only_one_peer_is_asked_for_a_configuration(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        for number in range(2, 6):
            entry = EntryId(f'entry-{number}')
            member = MemberRecord(entry, f'{entry}:7000')
            bench.node.view.members[entry] = member
        bench.node.view.handle_store_unavailable(
            StoreUnavailable('refused'), bench.now
        )
        bench.reconcile(1.0)
        wants_configuration = [
            s.message.wants_configuration
            for s in bench.commands_of(SendToPeer)
        ]
        self.assertEqual([True, False], wants_configuration)

    def test_a_large_configuration_is_sent_compressed_and_once(self) -> None:
        bench = NodeBench()
        route = b'{"queue": "sheets", "host": "sheets.example"}, '
        view = bench.node.view
        view.configuration = decode_configuration(b'2')
        view.configuration_bytes = route * 5000
        for query, is_sent in (
            (PeerStateQuery(1), True),
            (PeerStateQuery(1, wants_configuration=False), False),
            (PeerStateQuery(2), False),
        ):
            reply = view.create_peer_state(query, bench.node.ownership)
            self.assertEqual(is_sent, bool(reply.compressed_configuration))
            self.assertLess(len(reply.compressed_configuration), 20_000)

    def test_an_undecodable_peer_state_is_ignored(self) -> None:
        bench = NodeBench()
        bench.apply_keys(CONFIGURATION)
        compressed = compress_data(b'2' * 1000)
        for undecodable in (
            b'2',
            compressed[:-3],
            compress_data(b'2' * (MAX_DECOMPRESSED_BYTES + 1)),
        ):
            reply = PeerStateReply(None, 9, undecodable)
            bench.node.handle_message('', reply, bench.now)
        assert bench.node.configuration is not None
        self.assertEqual(1, bench.node.configuration.version)

    def test_an_older_configuration_is_ignored(self) -> None:
        bench = NodeBench()
        bench.apply_keys(Item('configuration', b'4', Revision(5)))
        bench.node.handle_message(
            '', PeerStateReply(None, 3, compress_data(b'3')), bench.now
        )
        bench.apply_keys(Item('configuration', b'2', Revision(6)))
        assert bench.node.configuration is not None
        self.assertEqual(4, bench.node.configuration.version)


class OuterNamesTest(unittest.TestCase):
    """Tests of names that older builds and metrics depend on.

    Classes were renamed; their tags in messages between peers and their
    metric labels must stay. So must the field names of an answer, which is
    encoded as a map of them.
    """

    def test_peer_messages_keep_their_tags(self) -> None:
        state_request = StateRequest(QUEUE, make_job('a').id)
        for message, tag in (
            (ForwardedRequest(1, state_request), 'Ask'),
            (ForwardedReply(1, Answer(Verdict.DONE)), 'Told'),
            (NotOwner(1, None), 'NotOwner'),
            (PeerStateQuery(1), 'NewsQuery'),
            (PeerStateReply(None, 1, b''), 'News'),
        ):
            data = encode(message)
            self.assertEqual(tag, msgpack.decode(data)[0])
            self.assertEqual(message, decode(data))

    def test_answers_to_peers_keep_their_field_names(self) -> None:
        answer = Answer(Verdict.REFUSED, JobState.QUEUED, 3, 1.5, 'full')
        data = encode(reply := ForwardedReply(1, answer, Epoch(2), 3.5))
        fields = {
            'verdict': 'refused',
            'state': 'queued',
            'pending': 3,
            'retry_after_s': 1.5,
            'reason': 'full',
        }
        self.assertEqual(['Told', 1, fields, 2, 3.5], msgpack.decode(data))
        self.assertEqual(reply, decode(data))

    def test_metric_labels_of_results_keep_their_names(self) -> None:
        self.assertEqual('Deposed', outer_name(OwnershipLost(Epoch(1))))
        failed = WorkerListFailed('down', Epoch(1))
        self.assertEqual('WorkersUnread', outer_name(failed))
        released = OwnerReleased(Epoch(1))
        self.assertEqual('OwnerReleased', outer_name(released))


if __name__ == '__main__':
    unittest.main()
