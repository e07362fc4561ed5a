"""Log lines are JSON and come from the catalogue."""

from io import StringIO
import unittest

from msgspec import json

from primroseledge.observability.events import Event
from primroseledge.observability.logs import configure
from primroseledge.observability.logs import log
from primroseledge.observability.logs import LOGGER
from primroseledge.storage.keys import generate_key


class LogsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.stream = StringIO()
        handlers = list(LOGGER.handlers)
        level, propagate = LOGGER.level, LOGGER.propagate
        configure(self.stream)

        def restore() -> None:
            LOGGER.handlers[:] = handlers
            LOGGER.setLevel(level)
            LOGGER.propagate = propagate

        self.addCleanup(restore)

    def test_event_is_one_line_of_json(self) -> None:
        log(Event.KEY_REFUSED, key_id='k1\n', service='copper')
        (text,) = self.stream.getvalue().splitlines()
        line = json.decode(text)
        self.assertEqual((line['event'], line['level']), (406, 'WARNING'))
        self.assertEqual(line['fields']['service'], 'copper')

    def test_error_of_a_library_is_one_line_too(self) -> None:
        try:
            raise ValueError('two\nlines')
        except ValueError:
            LOGGER.exception('failed')
        (text,) = self.stream.getvalue().splitlines()
        self.assertIn('ValueError', json.decode(text)['error'])

    def test_secret_of_a_key_is_in_no_line(self) -> None:
        text, record = generate_key()
        log(Event.KEY_REFUSED, key_id=text, service='copper')
        try:
            raise ValueError(f'Authorization: Bearer {text}')
        except ValueError:
            LOGGER.exception('failed with %s', text)
        shown = self.stream.getvalue()
        self.assertNotIn(text.partition('.')[2], shown)
        self.assertEqual(shown.count(f'{record.id}.<hidden>'), 4)

    def test_missing_field_is_an_error(self) -> None:
        with self.assertRaises(KeyError):
            log(Event.READY)

    def test_numbers_are_unique_and_of_their_group(self) -> None:
        numbers = [event.value.number for event in Event]
        self.assertEqual(numbers, sorted(set(numbers)))
