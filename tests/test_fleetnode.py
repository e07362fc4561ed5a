"""An entry instance: ownership, callers and peers, event by event."""

from typing import Any
import unittest

from msgspec import msgpack

from primroseledge.cluster.fleetnode import FleetNode
from primroseledge.cluster.fleetnode import SETTLE_WAIT_S
from primroseledge.cluster.fleetnode import STEADY_S
from primroseledge.cluster.fleetstore import Item
from primroseledge.cluster.fleetstore import LeaseId
from primroseledge.cluster.fleetview import Decoders
from primroseledge.cluster.fleetview import FleetView
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import Ask
from primroseledge.cluster.messages import News
from primroseledge.cluster.messages import NewsQuery
from primroseledge.cluster.messages import NotOwner
from primroseledge.cluster.messages import OwnerView
from primroseledge.cluster.messages import StateRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.cluster.messages import Told
from primroseledge.cluster.packing import MAX_BYTES
from primroseledge.cluster.packing import pack
from primroseledge.cluster.steps import AnswerCaller
from primroseledge.cluster.steps import ClaimOwner
from primroseledge.cluster.steps import ClaimWon
from primroseledge.cluster.steps import JobsRestored
from primroseledge.cluster.steps import KeysSeen
from primroseledge.cluster.steps import LeaseRenewed
from primroseledge.cluster.steps import LeaveMembers
from primroseledge.cluster.steps import ListWorkers
from primroseledge.cluster.steps import OwnerReleased
from primroseledge.cluster.steps import ReleaseOwner
from primroseledge.cluster.steps import ReplyToPeer
from primroseledge.cluster.steps import RestoreJobs
from primroseledge.cluster.steps import SendToPeer
from primroseledge.cluster.steps import StoreSilent
from primroseledge.cluster.steps import WorkerReport
from primroseledge.cluster.steps import WorkersUnread
from primroseledge.cluster.succession import STEP_S
from primroseledge.cluster.tenure import TenureState
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.worker import WorkerEntry
from tests.enginebench import configuration
from tests.enginebench import make_job
from tests.enginebench import QUEUE
from tests.enginebench import tasks
from tests.enginebench import worker_entry

ME = EntryId('entry-1')
OTHER = OwnerView(Epoch(3), EntryId('entry-2'), 'entry-2:7000')
CONFIGURATION = Item('configuration', b'1', Revision(5))


def decode_configuration(data: bytes) -> Configuration:
    base = configuration()
    return Configuration(
        int(data), base.queues, base.services, base.workspaces
    )


def decode_worker(item: Item, _config: Configuration) -> WorkerEntry:
    if item.value != b'good':
        raise DocumentError('not an entry')
    return worker_entry(item.key)


def no_wave(item: Item) -> Any:
    raise DocumentError(item.key)


class NodeBench:
    """A node, and the steps that it asked for."""

    def __init__(self) -> None:
        self.now = 50.0
        decoders = Decoders(
            'configuration',
            decode_configuration,
            decode_worker,
            lambda _key: False,
            no_wave,
        )
        self.node = FleetNode(FleetView(ME, 'entry-1:7000', decoders))
        self.steps: list[Any] = []

    def settle(self, seconds: float = 0.0) -> list[Any]:
        self.now += seconds
        steps, _ = self.node.settle(self.now)
        self.steps = steps
        return steps

    def of(self, kind: type) -> list[Any]:
        return [step for step in self.steps if isinstance(step, kind)]

    def see(self, *items: Item, is_whole: bool = True) -> None:
        revision = Revision(max([10, *(i.revision for i in items)]))
        self.node.take_keys(KeysSeen(items, revision, is_whole), self.now)
        self.settle()

    def renew(self) -> None:
        self.node.lease_renewed(LeaseRenewed(LeaseId(7), self.now, 2.0))
        self.settle()

    def see_owner(self, owner: OwnerView, revision: int = 20) -> None:
        value = msgpack.encode(owner)
        self.see(Item(OWNER_KEY, value, Revision(revision)), is_whole=False)

    def become_owner(self) -> None:
        self.renew()
        self.see(CONFIGURATION)
        view = OwnerView(Epoch(1), ME, self.node.address)
        self.node.claim_won(ClaimWon(view, Revision(30)), self.now)
        self.settle()
        entry = Item('worker-1', b'good', Revision(9))
        restored = JobsRestored(Epoch(1), (), (), (), (entry,))
        self.node.jobs_restored(restored, self.now)
        self.settle()


class OwnershipTest(unittest.TestCase):
    def test_a_vacant_record_is_claimed_under_a_lease(self) -> None:
        bench = NodeBench()
        bench.see(CONFIGURATION)
        self.assertEqual([], bench.of(ClaimOwner))
        bench.renew()
        self.assertEqual(1, len(bench.of(ClaimOwner)))

    def test_the_winner_reads_the_jobs_first(self) -> None:
        bench = NodeBench()
        bench.renew()
        bench.see(CONFIGURATION)
        view = OwnerView(Epoch(1), ME, bench.node.address)
        bench.node.claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.settle()
        self.assertEqual([RestoreJobs(Epoch(1))], bench.of(RestoreJobs))
        self.assertIsNone(bench.node.engine)

    def test_orders_end_with_the_lease(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.assertTrue(bench.node.tenure.is_acting(bench.now + 1.8))
        self.assertFalse(bench.node.tenure.is_acting(bench.now + 2.0))

    def test_a_newer_owner_ends_ours(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.see_owner(OTHER, 40)
        self.assertIsNone(bench.node.engine)
        self.assertIs(TenureState.FOLLOWING, bench.node.tenure.state)

    def test_an_older_record_changes_nothing(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.see_owner(OTHER, 25)
        self.assertIsNotNone(bench.node.engine)

    def test_a_claim_that_came_too_late_is_released(self) -> None:
        bench = NodeBench()
        bench.renew()
        bench.see(CONFIGURATION)
        bench.node.lease_lost()
        view = OwnerView(Epoch(1), ME, bench.node.address)
        bench.node.claim_won(ClaimWon(view, Revision(30)), bench.now)
        bench.see_owner(view, 30)
        self.assertEqual(
            [ReleaseOwner(Epoch(1), None)], bench.of(ReleaseOwner)
        )

    def test_a_leaving_owner_hands_over(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.node.is_leaving = True
        bench.settle()
        self.assertEqual(
            [ReleaseOwner(Epoch(1), Revision(30), is_settled=True)],
            bench.of(ReleaseOwner),
        )

    def test_whoever_leaves_is_no_member_any_more(self) -> None:
        bench = NodeBench()
        bench.renew()
        bench.node.is_leaving = True
        bench.settle()
        self.assertEqual([LeaveMembers()], bench.of(LeaveMembers))
        bench.settle()
        self.assertEqual([], bench.of(LeaveMembers))

    def test_a_leaving_owner_waits_for_its_calls(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        assert bench.node.engine is not None
        bench.node.engine.fleet.calls_under_way = 1
        bench.node.is_leaving = True
        bench.settle()
        bench.settle(SETTLE_WAIT_S / 2)
        self.assertEqual([], bench.of(ReleaseOwner))
        bench.node.engine.fleet.calls_under_way = 0
        bench.settle()
        [release] = bench.of(ReleaseOwner)
        self.assertTrue(release.is_settled)

    def test_a_leaving_owner_does_not_wait_for_ever(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        assert bench.node.engine is not None
        bench.node.engine.fleet.calls_under_way = 1
        bench.node.is_leaving = True
        bench.settle()
        bench.settle(SETTLE_WAIT_S)
        [release] = bench.of(ReleaseOwner)
        self.assertFalse(release.is_settled)

    def test_a_successor_waits_unless_its_predecessor_settled(self) -> None:
        for is_settled, waits in ((False, True), (True, False)):
            bench = NodeBench()
            bench.renew()
            bench.see(CONFIGURATION)
            view = OwnerView(Epoch(4), ME, bench.node.address)
            won = ClaimWon(view, Revision(30), is_settled)
            bench.node.claim_won(won, bench.now)
            restored = JobsRestored(Epoch(4), (), (), (), ())
            bench.node.jobs_restored(restored, bench.now)
            assert bench.node.engine is not None
            acts_from = bench.node.engine.fleet.acts_from
            self.assertEqual(waits, acts_from > bench.now)

    def see_members(self, bench: NodeBench, *started_ms: int) -> None:
        """Show ourselves, and others, with the times of their starts."""
        items = []
        for number, started in enumerate(started_ms, 1):
            entry = EntryId(f'entry-{number}')
            member = MemberRecord(entry, f'{entry}:7000', started)
            key = f'{MEMBER_PREFIX}{entry}'
            items.append(Item(key, msgpack.encode(member), Revision(9)))
        bench.see(CONFIGURATION, *items)

    def show_processors(self, bench: NodeBench, *millis: int) -> None:
        """Show ourselves, and others, with what they can compute."""
        for number, processor_millis in enumerate(millis, 1):
            entry = EntryId(f'entry-{number}')
            bench.node.view.members[entry] = MemberRecord(
                entry, f'{entry}:7000', 5000, processor_millis
            )

    def test_a_weak_owner_gives_the_fleet_to_a_strong_one(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.show_processors(bench, 500, 2000)
        bench.settle(1.0)
        self.assertEqual([], bench.of(ReleaseOwner))
        bench.settle(STEADY_S)
        self.assertEqual(1, len(bench.of(ReleaseOwner)))
        bench.node.owner_released(OwnerReleased(Epoch(1)))
        bench.renew()
        self.assertIs(TenureState.FOLLOWING, bench.node.tenure.state)
        self.assertIsNone(bench.node.engine)

    def test_an_owner_among_equals_stays(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        self.show_processors(bench, 1000, 1500, 900)
        bench.settle(STEADY_S)
        self.assertEqual([], bench.of(ReleaseOwner))

    def test_the_youngest_member_claims_first(self) -> None:
        bench = NodeBench()
        bench.renew()
        self.see_members(bench, 7000, 5000, 5000)
        self.assertEqual(1, len(bench.of(ClaimOwner)))

    def test_older_members_let_the_younger_claim(self) -> None:
        bench = NodeBench()
        bench.renew()
        self.see_members(bench, 5000, 6000, 7000)
        self.assertEqual([], bench.of(ClaimOwner))
        bench.settle(STEP_S)
        self.assertEqual([], bench.of(ClaimOwner))
        bench.settle(STEP_S)
        self.assertEqual(1, len(bench.of(ClaimOwner)))

    def test_the_list_of_workers_is_asked_for_again(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        bench.renew()
        bench.settle(1.1)
        self.assertEqual(1, len(bench.of(ListWorkers)))
        bench.node.workers_unread(WorkersUnread('down'), bench.now)
        bench.settle(0.3)
        self.assertEqual(1, len(bench.of(ListWorkers)))

    def test_answers_to_an_earlier_epoch_are_dropped(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        engine = bench.node.engine
        assert engine is not None
        worker = engine.state.workers[worker_entry('worker-1').id]
        look = LookAnswered(
            worker.id, worker.entry.boot, 5, (), (), 0, 1.0, 2.0
        )
        bench.node.take_worker_report(WorkerReport(Epoch(0), look), bench.now)
        self.assertFalse(worker.was_looked_at)
        bench.node.take_worker_report(WorkerReport(Epoch(1), look), bench.now)
        self.assertTrue(worker.was_looked_at)


class CallersTest(unittest.TestCase):
    def submit(self, bench: NodeBench, number: int = 1) -> None:
        request = SubmitRequest(make_job('a', tasks(1)))
        bench.node.call(number, request, bench.now + 2.0, bench.now)
        bench.settle()

    def answers(self, bench: NodeBench) -> list[Answer]:
        return [step.answer for step in bench.of(AnswerCaller)]

    def test_a_request_goes_to_the_owner_and_back(self) -> None:
        bench = NodeBench()
        bench.see_owner(OTHER)
        self.submit(bench)
        [send] = bench.of(SendToPeer)
        self.assertEqual(OTHER.address, send.address)
        told = Told(send.message.number, Answer(Verdict.DONE))
        bench.node.take_message('', told, bench.now)
        bench.settle()
        self.assertEqual([Answer(Verdict.DONE)], self.answers(bench))

    def test_without_an_owner_it_is_refused_as_not_run(self) -> None:
        bench = NodeBench()
        self.submit(bench)
        bench.settle(1.6)
        [answer] = self.answers(bench)
        self.assertIs(Verdict.REFUSED, answer.verdict)
        self.assertGreater(answer.retry_after_s, 0)

    def test_once_sent_its_outcome_is_unknown(self) -> None:
        bench = NodeBench()
        bench.see_owner(OTHER)
        self.submit(bench)
        bench.settle(2.1)
        self.assertIs(Verdict.UNKNOWN, self.answers(bench)[0].verdict)

    def test_what_was_declined_did_not_run(self) -> None:
        bench = NodeBench()
        bench.see_owner(OTHER)
        self.submit(bench)
        bench.node.take_message('', NotOwner(1, None), bench.now)
        bench.node.tenure.owner = None
        bench.settle(2.1)
        self.assertIs(Verdict.REFUSED, self.answers(bench)[0].verdict)

    def test_a_new_owner_is_asked_at_once(self) -> None:
        bench = NodeBench()
        bench.see_owner(OTHER)
        self.submit(bench)
        newer = OwnerView(Epoch(4), EntryId('entry-3'), 'entry-3:7000')
        bench.see_owner(newer, 21)
        [send] = bench.of(SendToPeer)
        self.assertEqual('entry-3:7000', send.address)

    def test_an_unknown_job_is_told_only_by_an_acting_owner(self) -> None:
        bench = NodeBench()
        bench.become_owner()
        ask = Ask(9, StateRequest(QUEUE, make_job('a').id))
        bench.node.take_message('peer', ask, bench.now)
        bench.settle()
        [reply] = bench.of(ReplyToPeer)
        self.assertIs(Verdict.NO_SUCH_JOB, reply.message.answer.verdict)
        bench.now += 2.5
        bench.node.take_message('peer', ask, bench.now)
        bench.settle()
        [reply] = bench.of(ReplyToPeer)
        self.assertIsInstance(reply.message, NotOwner)


class PeersTest(unittest.TestCase):
    def test_peers_are_asked_while_the_store_is_silent(self) -> None:
        bench = NodeBench()
        bench.see(CONFIGURATION)
        other = MemberRecord(EntryId('entry-2'), OTHER.address)
        bench.node.view.members[other.entry] = other
        bench.settle(1.0)
        self.assertEqual([], bench.of(SendToPeer))
        bench.node.view.store_silent(StoreSilent('refused'), bench.now)
        bench.settle()
        self.assertEqual(
            [SendToPeer(OTHER.address, NewsQuery(1))], bench.of(SendToPeer)
        )

    def test_a_newer_configuration_comes_from_a_peer(self) -> None:
        bench = NodeBench()
        bench.see(CONFIGURATION)
        bench.node.take_message('', News(OTHER, 2, pack(b'2')), bench.now)
        assert bench.node.configuration is not None
        self.assertEqual(2, bench.node.configuration.version)
        self.assertEqual(OTHER, bench.node.tenure.owner)

    def test_only_one_peer_is_asked_for_a_configuration(self) -> None:
        bench = NodeBench()
        bench.see(CONFIGURATION)
        for number in range(2, 6):
            entry = EntryId(f'entry-{number}')
            member = MemberRecord(entry, f'{entry}:7000')
            bench.node.view.members[entry] = member
        bench.node.view.store_silent(StoreSilent('refused'), bench.now)
        bench.settle(1.0)
        asked = [s.message.wants_configuration for s in bench.of(SendToPeer)]
        self.assertEqual([True, False], asked)

    def test_a_large_configuration_is_sent_packed_and_once(self) -> None:
        bench = NodeBench()
        route = b'{"queue": "sheets", "host": "sheets.example"}, '
        view = bench.node.view
        view.configuration = decode_configuration(b'2')
        view.configuration_bytes = route * 5000
        for query, is_sent in (
            (NewsQuery(1), True),
            (NewsQuery(1, wants_configuration=False), False),
            (NewsQuery(2), False),
        ):
            news = view.news_for(query, bench.node.tenure)
            self.assertEqual(is_sent, bool(news.configuration))
            self.assertLess(len(news.configuration), 20_000)

    def test_news_that_cannot_be_read_change_nothing(self) -> None:
        bench = NodeBench()
        bench.see(CONFIGURATION)
        packed = pack(b'2' * 1000)
        for broken in (b'2', packed[:-3], pack(b'2' * (MAX_BYTES + 1))):
            news = News(None, 9, broken)
            bench.node.take_message('', news, bench.now)
        assert bench.node.configuration is not None
        self.assertEqual(1, bench.node.configuration.version)

    def test_a_configuration_never_goes_back(self) -> None:
        bench = NodeBench()
        bench.see(Item('configuration', b'4', Revision(5)))
        bench.node.take_message('', News(None, 3, pack(b'3')), bench.now)
        bench.see(Item('configuration', b'2', Revision(6)))
        assert bench.node.configuration is not None
        self.assertEqual(4, bench.node.configuration.version)


if __name__ == '__main__':
    unittest.main()
