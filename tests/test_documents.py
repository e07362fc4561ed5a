"""Documents that the types alone would let through."""

import unittest

from primroseledge.errors import DocumentError
from primroseledge.storage.documents import decode_document


class DocumentTest(unittest.TestCase):
    def refusal(self, key: str, value: str) -> str:
        with self.assertRaises(DocumentError) as caught:
            decode_document(key, value)
        return str(caught.exception)

    def test_second_cell_is_refused(self) -> None:
        value = '{"id": "s", "team": "t", "pool": "p", "cell": "two"}'
        self.assertIn("'two'", self.refusal('config/service/s', value))

    def test_instance_under_another_name_is_refused(self) -> None:
        instance = (
            '{"id": "a", "pool": "p", "zone": "z", "rack": "r",'
            ' "address": "127.0.0.1:1"}'
        )
        value = f'{{"id": "0", "instances": {{"b": {instance}}}}}'
        self.assertIn("'a'", self.refusal('config/placement/0', value))

    def test_id_that_differs_from_the_key_is_refused(self) -> None:
        value = '{"id": "x", "share": 1, "limit": 1}'
        self.assertIn("'x'", self.refusal('config/team/y', value))

    def test_unknown_kind_is_refused(self) -> None:
        self.assertIn('tenant', self.refusal('config/tenant/x', '{}'))
