"""Configuration, freshness, membership and fan-out, one by one."""

from unittest import TestCase

from primroseledge.agreement.configuration import create_configuration
from primroseledge.agreement.configuration import HISTORY_LENGTH
from primroseledge.agreement.configuration import snapshot_delta
from primroseledge.agreement.fanout import FLAT_LIMIT
from primroseledge.agreement.fanout import GROUP_SIZE
from primroseledge.agreement.fanout import heartbeat_peers
from primroseledge.agreement.freshness import create_freshness
from primroseledge.agreement.freshness import Evidence
from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.membership import ChangeKind
from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.takeover import Takeover
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import TeamId
from primroseledge.ids import WriteId
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import Echo
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import Report
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot

A, B, C = EntryId('a'), EntryId('b'), EntryId('c')
MEMBERS = (A, B, C)
RUN = Incarnation(1)
KEY = 'config/team/sales'
SALES = TeamId('sales')


def change(limit: int | None, revision: int, key: str = KEY) -> ConfigChange:
    """Return a change of a team; a negative limit is invalid."""
    name = key.rpartition('/')[2]
    value = f'{{"id": "{name}", "share": 1, "limit": {limit}}}'
    return ConfigChange(
        key, None if limit is None else value, Revision(revision)
    )


def delta(
    after: int, upto: int, *changes: ConfigChange, whole: bool = False
) -> ConfigDelta:
    """Return a delta."""
    return ConfigDelta(Revision(after), Revision(upto), changes, whole)


class ConfigurationTest(TestCase):
    def test_gap_asks_for_a_pull_and_changes_nothing(self) -> None:
        view = create_configuration()
        applied = view.apply(delta(3, 5, change(1, 5)))
        self.assertTrue(applied.needs_pull)
        self.assertEqual((view.revision, view.teams), (0, {}))

    def test_old_delta_does_not_bring_a_document_back(self) -> None:
        view = create_configuration()
        view.apply(delta(0, 5, change(1, 5)))
        view.apply(delta(5, 6, change(None, 6)))
        for old in (
            delta(0, 5, change(1, 5)),
            delta(0, 6, change(1, 5), whole=True),
            delta(4, 7, change(1, 5), change(9, 7, 'config/team/yard')),
        ):
            view.apply(old)
            self.assertNotIn(SALES, view.teams)
        self.assertEqual(view.revision, 7)

    def test_refused_document_leaves_the_last_good_one(self) -> None:
        view = create_configuration()
        view.apply(delta(0, 5, change(4, 5)))
        applied = view.apply(delta(5, 6, change(-1, 6)))
        self.assertEqual(applied.rejected, (KEY,))
        self.assertEqual(view.teams[SALES].limit, 4)
        self.assertIn(KEY, view.rejected)
        joined = create_configuration()
        joined.apply(view.delta_after(Revision(0)))
        self.assertEqual(joined.teams[SALES].limit, 4)
        self.assertIn(KEY, joined.rejected)

    def test_last_good_one_is_had_from_a_peer(self) -> None:
        peer, view = create_configuration(), create_configuration()
        peer.apply(delta(0, 5, change(4, 5)))
        peer.apply(delta(5, 6, change(-1, 6)))
        view.apply(delta(0, 6, change(-1, 6), whole=True))
        self.assertEqual(view.lacking, (KEY,))
        view.apply(peer.whole())
        self.assertEqual(view.teams[SALES].limit, 4)
        self.assertEqual((view.lacking, view.revision), ((), 6))

    def test_history_is_bounded(self) -> None:
        view = create_configuration()
        for revision in range(1, HISTORY_LENGTH + 10):
            view.apply(delta(revision - 1, revision, change(1, revision)))
        self.assertEqual(len(view.history), HISTORY_LENGTH)
        self.assertTrue(view.delta_after(Revision(2)).is_whole)
        late = view.delta_after(Revision(HISTORY_LENGTH))
        self.assertEqual((late.is_whole, len(late.changes)), (False, 1))

    def test_watch_does_not_follow_other_keys(self) -> None:
        record = Record('owner/main', '{}', Revision(9), WriteId(''))
        watched = snapshot_delta(Snapshot(Revision(9), (record,)), Revision(4))
        self.assertEqual((watched.upto, watched.changes), (4, ()))

    def test_instance_in_two_shards_is_in_one_pool(self) -> None:
        view = create_configuration()
        text = (
            '{"id": "%s", "instances": {"i1": {"id": "i1", "pool": "%s",'
            ' "zone": "z", "rack": "r", "address": "127.0.0.1:1"}}}'
        )
        for revision, shard in ((1, 'b'), (2, 'a')):
            key = f'config/placement/{shard}'
            value = text % (shard, f'pool-{shard}')
            placed = ConfigChange(key, value, Revision(revision))
            view.apply(delta(revision - 1, revision, placed))
        pools = [instance.pool for instance in view.instances.values()]
        self.assertEqual(pools, ['pool-a'])


class FreshnessTest(TestCase):
    def setUp(self) -> None:
        self.node = create_freshness(A, 0.0, 3.0)
        self.node.note_read(1.0, Revision(5), Revision(5))

    def hear(self, peer: EntryId, revision: int, at: float) -> None:
        heartbeat = Heartbeat(Revision(revision), -1.0, is_witness=True)
        self.node.note_heartbeat(peer, RUN, heartbeat, at)

    def test_store_read_is_evidence_for_its_time(self) -> None:
        self.assertIs(self.node.evidence(MEMBERS, 4.0), Evidence.STORE)
        self.assertIs(self.node.evidence(MEMBERS, 4.1), Evidence.NONE)

    def test_majority_is_evidence_in_an_outage(self) -> None:
        self.hear(B, 5, 7.0)
        self.assertIs(self.node.evidence(MEMBERS, 9.9), Evidence.MAJORITY)
        self.assertIs(self.node.evidence(MEMBERS, 10.1), Evidence.NONE)

    def test_newer_peer_is_none_until_we_have_its_revision(self) -> None:
        self.hear(B, 6, 7.0)
        self.assertFalse(self.node.is_fresh(MEMBERS, 8.0))
        self.node.note_revision(Revision(6))
        self.assertTrue(self.node.is_fresh(MEMBERS, 8.0))

    def test_heartbeat_without_an_echo_proves_nothing(self) -> None:
        self.hear(B, 5, NEVER)
        self.assertFalse(self.node.is_fresh(MEMBERS, 8.0))

    def test_restored_store_is_no_evidence(self) -> None:
        self.node.note_read(8.0, Revision(4), Revision(5))
        self.assertFalse(self.node.is_fresh(MEMBERS, 8.0))

    def test_run_that_began_after_the_read_is_no_witness(self) -> None:
        node = create_freshness(A, 10.0, 3.0)
        heartbeat = Heartbeat(Revision(0), 0.5, is_witness=True)
        node.note_heartbeat(B, RUN, heartbeat, 10.4)
        self.assertFalse(node.is_witness)
        node.note_heartbeat(B, RUN, heartbeat, 10.6)
        self.assertTrue(node.is_witness)

    def test_one_region_alone_stops(self) -> None:
        members = (A, B, C, EntryId('d'), EntryId('e'))
        self.hear(B, 5, 3600.0)
        self.assertFalse(self.node.is_fresh(members, 3600.0))


class MembershipTest(TestCase):
    def setUp(self) -> None:
        self.node = create_membership(A, RUN, MEMBERS, 0.0)

    def hear(self, at: float, echo: float | None, run: int = 1) -> bool:
        echoes = {} if echo is None else {A: Echo(RUN, echo)}
        heartbeat = Heartbeat(
            Revision(1), -1.0, sent_at=at + 500, echoes=echoes
        )
        return self.node.hear(B, Incarnation(run), heartbeat, at)

    def kinds(self, at: float) -> list[ChangeKind]:
        return [found.kind for found in self.node.tick(at) if found.peer == B]

    def test_one_way_link_makes_nobody_alive(self) -> None:
        for number in range(10):
            self.hear(number * 0.5, None)
            self.node.tick(number * 0.5)
        self.assertEqual(self.node.alive(4.5), (A,))

    def test_silence_is_suspected_and_then_death(self) -> None:
        self.hear(0.5, 0.4)
        seen = [self.kinds(0.5 + step * 0.5) for step in range(8)]
        self.assertEqual(
            [kind for kinds in seen for kind in kinds],
            [ChangeKind.ALIVE, ChangeKind.SUSPECTED, ChangeKind.DEAD],
        )

    def test_slow_peer_is_suspected(self) -> None:
        self.hear(0.5, 0.4)
        self.hear(2.5, 0.8)
        self.assertIn(ChangeKind.SUSPECTED, self.kinds(2.5))

    def test_own_pause_accuses_nobody(self) -> None:
        self.hear(0.5, 0.4)
        self.kinds(0.5)
        self.assertEqual(self.kinds(60.0), [])

    def test_earlier_run_is_dropped(self) -> None:
        self.hear(0.5, 0.4, run=2)
        self.kinds(0.5)
        self.assertTrue(self.hear(0.6, None, run=3))
        self.assertIn(ChangeKind.NEW_INCARNATION, self.kinds(0.6))
        self.assertFalse(self.hear(0.7, 0.6, run=2))

    def test_overtaken_heartbeat_is_dropped(self) -> None:
        self.assertTrue(self.hear(0.5, 0.4))
        self.assertFalse(self.hear(0.3, 0.2))


class TakeoverTest(TestCase):
    """Which report tells all that the earlier owner granted."""

    def is_complete(self, run: int, is_whole: bool) -> bool:
        past = OwnerRecord(A, Incarnation(7), Epoch(3), True, is_whole)
        takeover = Takeover(0.0, past)
        report = Report(CellId('main'), Epoch(4), ())
        takeover.add(A, Incarnation(run), report, 1.0)
        return takeover.unreported({A, B}, {B}) == ()

    def test_report_of_the_run_that_released(self) -> None:
        self.assertTrue(self.is_complete(7, is_whole=True))

    def test_report_of_its_next_run_is_not(self) -> None:
        self.assertFalse(self.is_complete(8, is_whole=True))

    def test_report_of_a_release_in_quarantine_is_not(self) -> None:
        self.assertFalse(self.is_complete(7, is_whole=False))


class FanOutTest(TestCase):
    def test_peers_are_mutual_bounded_and_connect_all(self) -> None:
        entries = tuple(EntryId(f'e{n:04}') for n in range(700))
        peers = {me: heartbeat_peers(me, entries) for me in entries}
        levels = 4
        bound = levels * (GROUP_SIZE - 1)
        reached, edge = {entries[0]}, {entries[0]}
        while edge:
            edge = {p for me in edge for p in peers[me]} - reached
            reached |= edge
        self.assertEqual(len(reached), len(entries))
        for me, found in peers.items():
            self.assertLessEqual(len(found), bound)
            self.assertTrue(all(me in peers[peer] for peer in found))

    def test_small_fleet_is_flat(self) -> None:
        entries = tuple(EntryId(f'e{n}') for n in range(FLAT_LIMIT))
        self.assertEqual(
            len(heartbeat_peers(entries[3], entries)), FLAT_LIMIT - 1
        )
