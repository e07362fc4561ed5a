"""Ids that an owner has refused."""

from unittest import TestCase

from primroseledge.refused_ids import RefusedIds


class RefusedIdsTest(TestCase):
    def setUp(self) -> None:
        self.refused = RefusedIds[str](10.0, max_entries=2)
        self.refused.refuse('j1', 'a', 'full', 5.0, 1.0)

    def test_it_holds_until_each_caller_was_told(self) -> None:
        self.refused.refuse('j1', 'b', 'full', 5.0, 1.5)
        self.refused.confirm('j1', 'a', 2.0)
        self.assertEqual(self.refused.find('j1', 2.1, 2.1), 'full')
        self.refused.confirm('j1', 'b', 2.2)
        self.assertEqual(self.refused.find('j1', 2.2, 2.5), 'full')
        self.assertIsNone(self.refused.find('j1', 2.3, 2.5))

    def test_a_caller_that_cannot_be_told_holds_it_up_for_its_time(
        self,
    ) -> None:
        self.assertEqual(self.refused.find('j1', 6.0, 6.0), 'full')
        self.assertIsNone(self.refused.find('j1', 6.2, 6.2))
        self.assertEqual(self.refused.find('j1', 6.0, 6.2), 'full')

    def test_an_id_that_was_dropped_for_room_is_not_taken_for_new(
        self,
    ) -> None:
        self.refused.refuse('j2', 'b', 'full', 1.0, 1.0)
        self.assertFalse(self.refused.is_forgotten(1.0))
        self.refused.refuse('j3', 'c', 'full', 1.0, 1.0)
        self.assertTrue(self.refused.is_forgotten(6.0))
        self.assertFalse(self.refused.is_forgotten(6.2))

    def test_ids_are_forgotten_after_their_window(self) -> None:
        self.refused.expire(16.0)
        self.assertIn('j1', self.refused.entries)
        self.refused.expire(16.2)
        self.assertNotIn('j1', self.refused.entries)
