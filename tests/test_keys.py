"""Keys: salted, parsed, compared, and never shown."""

import unittest
from unittest.mock import patch

from msgspec.structs import replace

from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import find_valid_key
from primroseledge.storage.keys import generate_key
from primroseledge.storage.keys import is_key_valid
from primroseledge.storage.keys import is_operator
from primroseledge.storage.keys import parse_key


class KeysTest(unittest.TestCase):
    def test_own_key_is_valid_and_no_other(self) -> None:
        text, record = generate_key()
        other_text, other = generate_key()
        self.assertIs(find_valid_key((other, record), text), record)
        self.assertIsNone(find_valid_key((record,), other_text))
        forged = f'{record.id}.{other_text.partition(".")[2]}'
        self.assertIsNone(find_valid_key((record,), forged))

    def test_operator_shows_a_key_as_a_bearer(self) -> None:
        text, record = generate_key()
        other, _ = generate_key()
        for header, is_allowed in (
            (f'Bearer {text}', True),
            (f'bearer  {text} ', True),
            (f'Bearer {other}', False),
            (f'Basic {text}', False),
            (text, False),
            ('', False),
        ):
            self.assertIs(is_operator((record,), header), is_allowed, header)
        self.assertFalse(is_operator((), f'Bearer {text}'))

    def test_salt_makes_equal_secrets_differ(self) -> None:
        with patch('primroseledge.storage.keys.token_hex', return_value='ab'):
            _, first = generate_key()
            _, second = generate_key()
        self.assertNotEqual(first.digest, second.digest)

    def test_text_without_the_form_is_no_key(self) -> None:
        for text in ('', 'abc', '.secret', 'id.', 'a.' + 'b' * 300):
            self.assertIsNone(parse_key(text), text)

    def test_malformed_record_matches_nothing(self) -> None:
        text, record = generate_key()
        secret = text.partition('.')[2]
        for change in ({'salt': 'zz'}, {'salt': 'ab' * 40}, {'digest': ''}):
            self.assertFalse(is_key_valid(replace(record, **change), secret))

    def test_any_unicode_secret_is_compared(self) -> None:
        _, record = generate_key()
        self.assertFalse(is_key_valid(record, '\udcff\u00e9'))

    def test_comparison_is_in_constant_time(self) -> None:
        text, record = generate_key()
        with patch('primroseledge.storage.keys.compare_digest') as compare:
            is_key_valid(record, text)
        compare.assert_called_once()

    def test_secret_is_in_no_document_and_no_repr(self) -> None:
        text, record = generate_key()
        secret = text.partition('.')[2]
        team = Team(id='sales', share=1, limit=1, keys=(record,))
        self.assertNotIn(secret, encode_document(team))
        self.assertNotIn(secret, repr(parse_key(text)))
