"""Tests of what instances know of evacuated zones when something fails.

They guard against a zone that is forgotten after a takeover, an outage, a
failed or a late read, or that an outdated message evacuates again.
"""

from dataclasses import replace
from random import Random
from typing import Any
import unittest

from msgspec import msgpack

from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import RestoreJobs
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.evacuated_zones import NO_ZONES
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import decode
from primroseledge.cluster.messages import encode
from primroseledge.cluster.messages import OwnerView
from primroseledge.cluster.messages import PeerStateQuery
from primroseledge.cluster.messages import PeerStateReply
from primroseledge.cluster.store_thread import HANDLERS
from primroseledge.errors import MessageError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreUnavailableError
from primroseledge.http_client import HttpAnswer
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.platform.store import decode_response
from primroseledge.platform.store import to_items
from primroseledge.platform.store_keys import evacuation_key
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.wire import WireItem
from primroseledge.platform.wire import WireItemPage
from standins.storage_core import SimStorage
from tests.fleet_storage import SimStoreClient
from tests.sim_node import SimStoreThread
from tests.test_fleet_node import CONFIGURATION
from tests.test_fleet_node import NodeBench
from tests.test_fleet_node import OWN_ENTRY

NORTH = ZoneId('north')
"""The zone of every worker of the bench."""
KEY = evacuation_key(NORTH)
WORKER = WorkerId('worker-1')
ENTRY = Item(WORKER, b'good', Revision(9))
KEYS = StoreKeys()
FIRST, LAST = 100, 140


def make_zones(revision: int, *zones: str) -> EvacuatedZones:
    return EvacuatedZones(frozenset(map(ZoneId, zones)), Revision(revision))


class OrderTest(unittest.TestCase):
    def test_any_order_of_news_leads_to_the_newest_truth(self) -> None:
        for seed in range(200):
            random = Random(seed)
            truth, changes = [frozenset[ZoneId]()], list[Item]()
            for number in range(FIRST + 1, LAST + 1):
                zone = ZoneId(random.choice('abc'))
                value = None if zone in truth[-1] else b'{}'
                key = evacuation_key(zone)
                changes.append(Item(key, value, Revision(number)))
                truth.append(truth[-1] ^ {zone})
            zones, watched = make_zones(FIRST), FIRST
            while watched < LAST:
                until = random.randint(watched, LAST)
                if random.random() < 0.5:
                    items = changes[watched - FIRST : until - FIRST]
                    random.shuffle(items)
                    zones = zones.after_changes(
                        items, Revision(until), KEYS.find_evacuated_zone
                    )
                    watched = until
                else:
                    # A read, or a peer's reply, which may be outdated.
                    told = random.randint(FIRST, LAST)
                    known = make_zones(told, *truth[told - FIRST])
                    zones = zones.newest(known)
                expected = truth[zones.revision - FIRST]
                self.assertEqual(expected, zones.zones, f'seed {seed}')

    def test_the_previous_version_reads_and_sends_replies(self) -> None:
        old = b'\x94\xa4News\xc0\x01\xc4\x00'
        self.assertEqual(PeerStateReply(None, 1, b''), decode(old))
        reply = PeerStateReply(None, 1, b'', (NORTH,), Revision(9))
        self.assertEqual(old[1:], encode(reply)[1 : len(old)])

    def test_a_revision_that_no_message_holds_is_rejected(self) -> None:
        reply = PeerStateReply(None, 1, b'', (), Revision(2**64 - 1))
        with self.assertRaises(MessageError):
            decode(encode(reply))
        answer = HttpAnswer(200, b'{"items": [], "at": %d}' % 2**64)
        with self.assertRaises(StoreError):
            decode_response(answer, WireItemPage)

    def test_the_key_counts_whatever_its_value(self) -> None:
        (item,) = to_items([WireItem(KEY, 7, '%%'), WireItem('op/x', 8, '%')])
        found = NO_ZONES.after_changes(
            [item], Revision(9), KEYS.find_evacuated_zone
        )
        self.assertEqual({NORTH}, found.zones)


class OwnerTest(unittest.TestCase):
    def setUp(self) -> None:
        """Take over with the zone evacuated at revision 40."""
        self.bench = NodeBench()
        self.node = self.bench.node
        self.view = self.node.view
        self.view.decoders = replace(
            self.view.decoders,
            find_evacuated_zone=KEYS.find_evacuated_zone,
            check_evacuation=KEYS.check_evacuation,
        )
        self.bench.renew_lease()
        self.bench.apply_keys(CONFIGURATION)
        self.owner = OwnerView(Epoch(1), OWN_ENTRY, self.node.address)
        won = ClaimWon(self.owner, Revision(30))
        self.node.handle_claim_won(won, self.bench.now)
        zones = make_zones(40, NORTH)
        restored = JobsRestored(Epoch(1), (), (), (), (ENTRY,), zones)
        self.node.handle_jobs_restored(restored, self.bench.now)

    def watch_removal(self, revision: int) -> None:
        item = Item(KEY, None, Revision(revision))
        self.bench.apply_keys(item, is_complete=False)

    def read_all(self, revision: int, *items: Item) -> None:
        owner = msgpack.encode(self.owner)
        item = Item(OWNER_KEY, owner, Revision(revision))
        self.bench.apply_keys(item, *items)

    def list_workers(self, zones: EvacuatedZones) -> None:
        listed = WorkersListed((ENTRY,), Epoch(1), zones)
        self.node.handle_workers_listed(listed, self.bench.now)

    def hear_peer(self, revision: int, *zones: ZoneId) -> None:
        reply = PeerStateReply(None, 1, b'', zones, Revision(revision))
        self.node.handle_message('', reply, self.bench.now)

    def lose_store(self) -> None:
        down = StoreUnavailable('down')
        self.view.handle_store_unavailable(down, self.bench.now)
        query = PeerStateQuery(1)
        reply = self.view.create_peer_state(query, self.node.ownership)
        told = (reply.evacuated_zones, reply.zones_revision)
        self.assertEqual(((NORTH,), 44), told)

    def test_the_newest_news_decides_whoever_brings_it(self) -> None:
        for step, (bring, is_evacuated) in enumerate(
            (
                (lambda: None, True),  # The takeover read it.
                (lambda: self.watch_removal(35), True),  # Late.
                (lambda: self.watch_removal(41), False),
                (lambda: self.list_workers(make_zones(39, NORTH)), False),
                # The watch is interrupted.
                (lambda: self.list_workers(make_zones(42, NORTH)), True),
                (lambda: self.hear_peer(41), True),
                (lambda: self.hear_peer(0), True),  # The previous version.
                (lambda: self.hear_peer(43), False),
                (lambda: self.hear_peer(44, NORTH), True),
                (self.lose_store, True),
                # The history was lost; the key is gone.
                (lambda: self.read_all(60), False),
            )
        ):
            bring()
            engine = self.node.engine
            assert engine is not None
            worker = engine.state.workers[WORKER]
            self.assertEqual(is_evacuated, worker.is_zone_evacuated, step)

    def test_an_unreadable_value_is_logged_once(self) -> None:
        item = Item(KEY, b'\xff', Revision(50))
        with self.assertLogs('primroseledge') as logs:
            self.read_all(50, item)
            self.read_all(51, item)
        self.assertEqual(1, sum(KEY in line for line in logs.output))
        self.assertEqual({NORTH}, self.view.evacuated_zones)


class StoreThreadTest(unittest.TestCase):
    def test_zones_are_read_with_jobs_and_lists_or_all_fails(self) -> None:
        storage = SimStorage(lambda: 1000.0)
        storage.put(KEY, b'{}', 0)  # type: ignore[arg-type]
        store = SimStoreClient(storage, Random(1), lambda *_: None)
        thread: Any = SimStoreThread(store, EntryId('entry-1'), 'a:1')
        thread.keys = KEYS
        for command in (RestoreJobs(Epoch(1)), ListWorkers(Epoch(1))):
            result = HANDLERS[type(command)](thread, command)
            self.assertEqual(make_zones(100, NORTH), result.zones)
        read_all = store.read_all

        def fail_zones(prefix: str) -> Any:
            if prefix == KEYS.evacuation_prefix:
                raise StoreUnavailableError('connection reset')
            return read_all(prefix)

        def fail_workers(prefix: str) -> Any:
            if prefix == KEYS.worker_prefix:
                raise StoreUnavailableError('connection reset')
            return read_all(prefix)

        thread.store.read_all = fail_zones
        result = HANDLERS[ListWorkers](thread, ListWorkers(Epoch(1)))
        self.assertIsInstance(result, WorkerListFailed)
        thread.store.read_all = fail_workers
        result = HANDLERS[ListWorkers](thread, ListWorkers(Epoch(1)))
        self.assertIsInstance(result, WorkerListFailed)
        self.assertEqual(make_zones(100, NORTH), result.zones)


if __name__ == '__main__':
    unittest.main()
