"""A change is told truthfully as accepted, refused or unknown."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from primroseledge.fleet import read_fleet
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.operators.applying import Applied
from primroseledge.operators.applying import apply_change
from primroseledge.operators.applying import Author
from primroseledge.operators.applying import MAX_SENDS
from primroseledge.operators.applying import Result
from primroseledge.operators.changes import set_team
from primroseledge.operators.history import chain
from primroseledge.operators.history import encode_entry
from primroseledge.operators.history import history_key
from primroseledge.operators.history import history_prefix
from primroseledge.operators.history import HistoryEntry
from primroseledge.operators.history import read_entries
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Team
from tests.fake_store import DOWN
from tests.fake_store import FakeStore
from tests.fake_store import FINE
from tests.fake_store import LOST_AFTER
from tests.fake_store import LOST_BEFORE

KEY = 'config/team/sales'


def no_pause() -> None:
    """Return at once."""


def set_share(store: FakeStore, share: int, write_id: str) -> Applied:
    fleet = read_fleet(store.read('config/'))
    change = set_team(fleet, 'sales', share, 5)
    author = Author('ann', 1.0)
    return apply_change(store, change, WriteId(write_id), author, no_pause)


def let_rival_write(store: FakeStore) -> None:
    """Let another operator's change, with its history, come meanwhile."""
    value = encode_document(Team(id='sales', share=9, limit=5))

    def write() -> None:
        replaces = store.records[KEY].write_id
        entry = HistoryEntry(WriteId('other'), replaces, 2.0, 'bob', value)
        key = history_key(KEY, entry.write_id)
        store.put(key, encode_entry(entry), None, 'other')
        store.put(KEY, value, None, 'other')

    store.others.append(write)


class ApplyingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        set_share(self.store, 1, 'first')

    def share(self) -> int:
        fleet = read_fleet(self.store.read('config/'))
        team = fleet.find(Team, 'team', 'sales')
        assert team
        return team.share

    def test_plain_write_is_accepted_at_its_revision(self) -> None:
        applied = set_share(self.store, 2, 'w')
        self.assertIs(applied.result, Result.ACCEPTED)
        self.assertEqual(applied.revision, self.store.records[KEY].revision)

    def test_same_document_writes_nothing(self) -> None:
        before = self.store.revision
        applied = set_share(self.store, 1, 'w')
        self.assertIs(applied.result, Result.UNCHANGED)
        self.assertEqual(self.store.revision, before)

    def test_answer_lost_after_the_write_is_accepted(self) -> None:
        self.store.faults.append(LOST_AFTER)
        applied = set_share(self.store, 2, 'w')
        self.assertIs(applied.result, Result.ACCEPTED)
        self.assertEqual((applied.detail, self.share()), ('', 2))

    def test_answer_lost_before_the_write_is_sent_again(self) -> None:
        self.store.faults.append(LOST_BEFORE)
        self.assertIs(set_share(self.store, 2, 'w').result, Result.ACCEPTED)
        self.assertEqual(self.share(), 2)

    def test_store_down_is_refused(self) -> None:
        self.store.faults.append(DOWN)
        self.assertIs(set_share(self.store, 2, 'w').result, Result.REFUSED)
        self.assertEqual(self.share(), 1)

    def test_answers_lost_for_good_are_unknown(self) -> None:
        self.store.faults.extend([LOST_BEFORE] * MAX_SENDS)
        self.assertIs(set_share(self.store, 2, 'w').result, Result.UNKNOWN)

    def test_last_answer_lost_after_the_write_is_read_back(self) -> None:
        self.store.faults.extend([LOST_BEFORE] * (MAX_SENDS - 1))
        self.store.faults.append(LOST_AFTER)
        self.assertIs(set_share(self.store, 2, 'w').result, Result.ACCEPTED)

    def test_lost_race_shows_the_change_of_the_other(self) -> None:
        fleet = read_fleet(self.store.read('config/'))
        set_share(self.store, 7, 'other')
        change = set_team(fleet, 'sales', 2, 5)
        applied = apply_change(
            self.store, change, WriteId('w'), Author('ann', 1.0), no_pause
        )
        self.assertIs(applied.result, Result.CONFLICT)
        assert applied.current
        self.assertEqual(applied.current.write_id, 'other')

    def test_own_write_replaced_by_another_was_accepted(self) -> None:
        self.store.faults.append(LOST_AFTER)
        let_rival_write(self.store)
        applied = set_share(self.store, 2, 'w')
        self.assertIs(applied.result, Result.ACCEPTED)
        self.assertIn('replaced', applied.detail)
        self.assertEqual(self.share(), 9)

    def test_write_that_lost_the_race_while_in_doubt(self) -> None:
        self.store.faults.append(LOST_BEFORE)
        let_rival_write(self.store)
        self.assertIs(set_share(self.store, 2, 'w').result, Result.CONFLICT)

    def test_a_writer_without_history_leaves_doubt(self) -> None:
        self.store.faults.append(LOST_AFTER)
        value = encode_document(Team(id='sales', share=9, limit=5))
        self.store.others.append(
            lambda: self.store.put(KEY, value, None, 'other')
        )
        self.assertIs(set_share(self.store, 2, 'w').result, Result.UNKNOWN)

    def test_deletion_meanwhile_leaves_doubt(self) -> None:
        self.store.faults.append(LOST_AFTER)
        self.store.others.append(
            lambda: self.store.put(KEY, None, None, 'other')
        )
        self.assertIs(set_share(self.store, 2, 'w').result, Result.UNKNOWN)

    def test_history_has_only_what_took_effect(self) -> None:
        self.store.faults.append(DOWN)
        set_share(self.store, 2, 'refused')
        set_share(self.store, 3, 'third')
        entries = read_entries(self.store.read(history_prefix(KEY)).records)
        self.assertIn('refused', entries)
        applied = [item.write_id for item in chain(entries, WriteId('third'))]
        self.assertEqual(applied, ['third', 'first'])

    def test_store_down_from_the_start(self) -> None:
        fleet = read_fleet(self.store.read('config/'))
        self.store.is_down = True
        change = set_team(fleet, 'sales', 2, 5)
        applied = apply_change(
            self.store, change, WriteId('w'), Author('ann', 1.0), no_pause
        )
        self.assertIs(applied.result, Result.REFUSED)

    @given(
        faults=st.lists(
            st.sampled_from([FINE, DOWN, LOST_BEFORE, LOST_AFTER]), max_size=12
        ),
        has_rival=st.booleans(),
    )
    @settings(derandomize=True, database=None, deadline=None, print_blob=True)
    def test_what_is_said_is_true(
        self, faults: list[str], has_rival: bool
    ) -> None:
        store = FakeStore()
        set_share(store, 1, 'first')
        seen = list[Revision]()
        put = store.put

        def record_put(
            key: str,
            value: str | None,
            expected: Revision | None,
            write_id: str,
        ) -> Revision:
            revision = put(key, value, expected, write_id)
            if key == KEY and write_id == 'w':
                seen.append(revision)
            return revision

        store.put = record_put  # type: ignore[method-assign]
        store.faults.extend(faults)
        if has_rival:
            let_rival_write(store)
        applied = set_share(store, 2, 'w')
        self.assertLessEqual(len(seen), 1)
        if applied.result is Result.ACCEPTED:
            self.assertEqual(len(seen), 1)
        if applied.result in (Result.REFUSED, Result.CONFLICT):
            self.assertEqual(seen, [])
