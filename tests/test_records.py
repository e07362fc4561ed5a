import unittest

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.records import Records
from tests.policy_fake import FakeStore


class RecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()
        self.count = 0
        self.records = Records(self.store, self.next_id)

    def next_id(self) -> WriteId:
        self.count += 1
        return WriteId(str(self.count))

    def test_lost_answer_of_a_write_is_read_back(self) -> None:
        self.store.lost_after = 1
        written = self.records.swap('k', [1], Revision(0))
        self.assertEqual(Revision(1), written.revision)
        self.assertEqual([1], self.records.load('k', list[int]()).value)

    def test_lost_write_is_repeated_under_its_id(self) -> None:
        self.store.lost_before = 2
        written = self.records.swap('k', [1], Revision(0))
        self.assertEqual(Revision(1), written.revision)

    def test_another_write_is_a_conflict(self) -> None:
        self.records.swap('k', [1], Revision(0))
        with self.assertRaises(ConflictError):
            self.records.swap('k', [2], Revision(0))

    def test_persistent_loss_is_unknown(self) -> None:
        self.store.lost_before = 9
        with self.assertRaises(StoreOutcomeUnknownError):
            self.records.swap('k', [1], Revision(0))

    def test_key_is_matched_whole(self) -> None:
        self.records.swap('k1', [1], Revision(0))
        self.assertEqual([], self.records.load('k', list[int]()).value)


if __name__ == '__main__':
    unittest.main()
