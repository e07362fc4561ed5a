"""Tests of what an instance knows of evacuated zones.

They guard against a zone that is forgotten after a failed, late or partial
read, or that an outdated message evacuates again after its return.
"""

from random import Random
import unittest

from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.evacuated_zones import find_evacuated_zones
from primroseledge.cluster.evacuated_zones import NO_ZONES
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.messages import decode
from primroseledge.cluster.messages import encode
from primroseledge.cluster.messages import PeerStateReply
from primroseledge.errors import DocumentError
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.platform.store import to_items
from primroseledge.platform.store_keys import evacuation_key
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.wire import WireItem

FIND_ZONE = StoreKeys().find_evacuated_zone
FIRST, LAST = 100, 140


class History:
    """Keys that are put and removed at random, one change a revision."""

    def __init__(self, random: Random) -> None:
        self.changes = list[Item]()
        self.truth = {Revision(FIRST): frozenset[ZoneId]()}
        for number in range(FIRST + 1, LAST + 1):
            zone = ZoneId(random.choice('abc'))
            before = self.truth[Revision(number - 1)]
            value = None if zone in before else b'{}'
            revision = Revision(number)
            self.changes.append(Item(evacuation_key(zone), value, revision))
            self.truth[revision] = before ^ {zone}

    def between(self, after: int, until: int) -> list[Item]:
        return [c for c in self.changes if after < c.revision <= until]

    def read(self, revision: Revision) -> EvacuatedZones:
        items = [
            Item(evacuation_key(zone), b'{}', revision)
            for zone in self.truth[revision]
        ]
        return find_evacuated_zones(items, revision, FIND_ZONE)


class EvacuatedZonesTest(unittest.TestCase):
    def test_any_order_of_news_leads_to_the_newest_truth(self) -> None:
        for seed in range(200):
            random = Random(seed)
            history = History(random)
            zones = NO_ZONES
            watched = Revision(FIRST)
            while watched < LAST:
                until = Revision(random.randint(watched, LAST))
                if random.random() < 0.5:
                    items = history.between(watched, until)
                    random.shuffle(items)
                    zones = zones.after_changes(items, until, FIND_ZONE)
                    watched = until
                else:
                    # A reply of a peer or a read, which may be outdated.
                    told = Revision(random.randint(FIRST, LAST))
                    zones = zones.newest(history.read(told))
                self.assertEqual(
                    history.truth[max(zones.revision, Revision(FIRST))],
                    zones.zones,
                    f'seed {seed}',
                )

    def test_a_peer_of_the_previous_version_changes_nothing(self) -> None:
        old = b'\x94\xa4News\xc0\x01\xc4\x00'
        reply = decode(old)
        assert isinstance(reply, PeerStateReply)
        self.assertEqual(0, reply.zones_revision)
        known = EvacuatedZones(frozenset({ZoneId('a')}), Revision(1))
        self.assertIs(known, known.newest(NO_ZONES))
        # The previous version reads the fields that it knows.
        told = PeerStateReply(None, 1, b'', (ZoneId('a'),), Revision(9))
        self.assertEqual(old[1:], encode(told)[1 : len(old)])

    def test_the_key_counts_whatever_its_value(self) -> None:
        keys = StoreKeys()
        rows = [
            WireItem(evacuation_key(ZoneId('a')), 7, '%%'),
            WireItem(evacuation_key(ZoneId('b')), 8, 'e30='),
            WireItem(evacuation_key(ZoneId('')), 9, 'e30='),
            WireItem('op/config', 10, '%%'),
        ]
        items = to_items(rows)
        found = find_evacuated_zones(items, Revision(10), FIND_ZONE)
        self.assertEqual({'a', 'b'}, found.zones)
        for item in (items[0], items[2]):
            with self.assertRaises(DocumentError):
                keys.check_evacuation(item)
        keys.check_evacuation(items[1])


if __name__ == '__main__':
    unittest.main()
