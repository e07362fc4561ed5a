"""Changes are checked against the whole fleet before they are written."""

from collections.abc import Callable
from itertools import combinations
import unittest

from msgspec.structs import replace

from primroseledge.agreement.freshness import majority
from primroseledge.agreement.membership_changes import do_majorities_meet
from primroseledge.agreement.membership_changes import set_members
from primroseledge.errors import DocumentError
from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.fleet import read_fleet
from primroseledge.fleet import shard_of
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.operators.changes import apply_service
from primroseledge.operators.changes import Change
from primroseledge.operators.changes import delete_team
from primroseledge.operators.changes import give_key
from primroseledge.operators.changes import set_pool
from primroseledge.operators.changes import set_team
from primroseledge.operators.changes import withdraw_key
from primroseledge.operators.diffs import diff_documents
from primroseledge.policy.placement_changes import add_instance
from primroseledge.policy.placement_changes import move_instance
from primroseledge.policy.placement_changes import review_drain
from primroseledge.policy.placement_changes import set_draining
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot

SERVICE = Service(id='copper', team='sales', pool='copper')


def make_instance(number: int, pool: str = 'copper') -> Instance:
    return Instance(
        id=f'i{number}',
        pool=pool,
        zone=f'z{number % 2}',
        rack='r1',
        address=f'127.0.0.1:{9000 + number}',
    )


class ChangesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records: dict[str, Record] = {}
        self.revision = 0
        self.do(set_team(self.fleet(), 'sales', 2, 5))
        for pool in ('copper', 'spare'):
            self.do(set_pool(self.fleet(), pool, None, None))
        for number in range(4):
            self.do(add_instance(self.fleet(), make_instance(number)))
        self.do(self.apply(SERVICE))

    def fleet(self) -> Fleet:
        return read_fleet(
            Snapshot(Revision(self.revision), tuple(self.records.values()))
        )

    def do(self, change: Change) -> None:
        self.revision += 1
        self.put(change.key, change.after)

    def put(self, key: str, document: Document | None) -> None:
        if document is None:
            del self.records[key]
            return
        self.records[key] = Record(
            key,
            encode_document(document),
            Revision(self.revision),
            WriteId('w'),
        )

    def apply(self, service: Service) -> Change:
        return apply_service(self.fleet(), encode_document(service))

    def assert_refused(
        self, text: str, function: Callable[..., Change], *args: object
    ) -> None:
        with self.assertRaises((OperatorError, DocumentError)) as caught:
            function(self.fleet(), *args)
        self.assertIn(text, str(caught.exception))

    def test_new_team_needs_share_and_limit(self) -> None:
        self.assert_refused('--share', set_team, 'yard', 1, None)

    def test_share_changes_and_keys_stay(self) -> None:
        _, record = generate_key()
        self.do(give_key(self.fleet(), 'sales', record))
        change = set_team(self.fleet(), 'sales', 9, None)
        assert isinstance(change.after, Team)
        self.assertEqual(
            (change.after.share, change.after.limit, change.after.keys),
            (9, 5, (record,)),
        )

    def test_withdrawn_key_is_gone(self) -> None:
        _, record = generate_key()
        self.do(give_key(self.fleet(), 'sales', record))
        change = withdraw_key(self.fleet(), 'sales', record.id)
        assert isinstance(change.after, Team)
        self.assertEqual(change.after.keys, ())
        self.assert_refused('has no key', withdraw_key, 'sales', 'nope')

    def test_team_that_owns_a_service_stays(self) -> None:
        self.assert_refused('owns copper', delete_team, 'sales')

    def test_service_needs_its_team_and_pool(self) -> None:
        for change in ({'team': 'sale'}, {'pool': 'coper'}):
            text = encode_document(replace(SERVICE, **change))
            self.assert_refused('did you mean', apply_service, text)

    def test_service_with_unknown_field_is_refused(self) -> None:
        text = encode_document(SERVICE).replace('"pool"', '"pol"')
        self.assert_refused('pol', apply_service, text)

    def test_change_expects_the_revision_that_was_read(self) -> None:
        held = self.fleet().held['config/service/copper']
        change = self.apply(replace(SERVICE, queue_limit=7))
        self.assertEqual(change.expected, held.revision)
        differences = diff_documents(change.before, change.after)
        self.assertEqual(
            [str(item) for item in differences], ['queue_limit: 1000 -> 7']
        )

    def test_instance_stands_in_one_pool(self) -> None:
        self.assert_refused('in pool', add_instance, make_instance(1, 'spare'))
        self.assert_refused(
            'belongs to',
            add_instance,
            replace(make_instance(1), id='i9'),
        )

    def test_same_instance_added_twice_at_once_meets_in_one_key(self) -> None:
        fleet = self.fleet()
        first = add_instance(fleet, make_instance(8, 'copper'))
        second = add_instance(fleet, make_instance(8, 'spare'))
        self.assertEqual(
            (first.key, first.expected), (second.key, second.expected)
        )

    def test_instance_is_found_in_a_shard_of_another_name(self) -> None:
        instance = replace(make_instance(7), address='127.0.0.1:1')
        self.assertNotEqual(shard_of('i7'), 'main')
        self.put(
            'config/placement/main',
            Placement(id='main', instances={'i7': instance}),
        )
        change = set_draining(self.fleet(), 'i7', True)
        self.assertEqual(change.key, 'config/placement/main')

    def test_drain_within_the_budget_only(self) -> None:
        self.do(set_draining(self.fleet(), 'i0', True))
        self.assert_refused(
            "budget.unavailable of service 'copper' is 1; "
            'draining already: i0',
            set_draining,
            'i1',
            True,
        )
        self.do(set_draining(self.fleet(), 'i0', False))
        self.do(set_draining(self.fleet(), 'i1', True))

    def test_drain_is_taken_back_only_when_others_overspend(self) -> None:
        self.do(set_draining(self.fleet(), 'i0', True))
        self.assertIsNone(review_drain(self.fleet(), 'i0'))
        rival = replace(make_instance(1), is_draining=True)
        shard = Placement(id=shard_of('i1'), instances={'i1': rival})
        self.put(f'config/placement/{shard.id}', shard)
        change = review_drain(self.fleet(), 'i0')
        assert change and isinstance(change.after, Placement)
        self.assertFalse(change.after.instances['i0'].is_draining)

    def test_drain_within_the_budget_of_the_zone(self) -> None:
        budget = replace(SERVICE.budget, unavailable=3)
        self.do(self.apply(replace(SERVICE, budget=budget)))
        self.do(set_draining(self.fleet(), 'i0', True))
        self.assert_refused('per_zone', set_draining, 'i2', True)
        self.do(set_draining(self.fleet(), 'i1', True))

    def test_drain_twice_is_no_change(self) -> None:
        self.do(set_draining(self.fleet(), 'i0', True))
        change = set_draining(self.fleet(), 'i0', True)
        self.assertEqual(change.before, change.after)

    def test_only_a_drained_instance_moves(self) -> None:
        self.assert_refused('drain i0', move_instance, 'i0', 'spare')
        self.do(set_draining(self.fleet(), 'i0', True))
        self.do(move_instance(self.fleet(), 'i0', 'spare'))
        pools = [item.pool for item in self.fleet().instances()]
        self.assertEqual(sorted(pools), ['copper'] * 3 + ['spare'])

    def test_members_change_so_that_majorities_meet(self) -> None:
        self.do(set_members(self.fleet(), ['a', 'b', 'c']))
        self.assert_refused('one at a time', set_members, ['a', 'd', 'e'])
        self.assert_refused('one at a time', set_members, ['a'])
        self.do(set_members(self.fleet(), ['a', 'b', 'c', 'd']))
        self.do(set_members(self.fleet(), ['b', 'c', 'd']))
        self.assert_refused('twice', set_members, ['b', 'b', 'c'])

    def test_majorities_that_meet_by_count_meet_by_trial(self) -> None:
        names = 'abcde'
        groups = [
            set(group)
            for size in (1, 2, 3, 4)
            for group in combinations(names, size)
        ]
        for old in groups[:20]:
            for new in groups:
                by_trial = all(
                    set(left) & set(right)
                    for left in combinations(sorted(old), majority(len(old)))
                    for right in combinations(sorted(new), majority(len(new)))
                )
                self.assertEqual(do_majorities_meet(old, new), by_trial)

    def test_invalid_document_in_the_store_is_told(self) -> None:
        key = 'config/team/yard'
        self.records[key] = Record(key, '{"id": 1}', Revision(1))
        self.assert_refused('is invalid', delete_team, 'yard')

    def test_hashes_of_keys_are_in_no_difference(self) -> None:
        _, record = generate_key()
        change = give_key(self.fleet(), 'sales', record)
        lines = ' '.join(
            str(item) for item in diff_documents(change.before, change.after)
        )
        self.assertIn(record.id, lines)
        self.assertNotIn(record.digest, lines)
