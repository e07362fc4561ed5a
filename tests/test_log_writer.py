"""Log lines are written without holding anybody up."""

from os import close
from os import pipe
from os import read
from os import set_blocking
from threading import Thread
from time import monotonic
from time import sleep
from typing import Any
import unittest

from msgspec import json

from primroseledge.observability.events import Event
from primroseledge.observability.log_writer import BoundedHandler
from primroseledge.observability.log_writer import create_bounded_handler
from primroseledge.observability.logs import event_record

FLOOD = 20_000
FLOOD_S = 5.0
"""A thousand lines a quarter second, far below the rate of a pipe."""


FULL_PIPE_S = 0.3
"""Enough for the thread to fill a pipe, or to write what it has."""


class LogWriterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.source, self.sink = pipe()
        self.addCleanup(close, self.source)
        self.text = b''
        self.handler: BoundedHandler = create_bounded_handler(self.sink)

    def refuse(self, job: str) -> None:
        record = event_record(
            Event.JOB_REFUSED, {'job': job, 'reason': 'store'}
        )
        self.handler.handle(record)

    def read_all(self) -> None:
        while chunk := read(self.source, 1 << 16):
            self.text += chunk

    def read_along(self) -> None:
        self.reader = Thread(target=self.read_all)
        self.reader.start()

    def lines(self) -> list[dict[str, Any]]:
        self.handler.close()
        close(self.sink)
        self.reader.join()
        return [json.decode(line) for line in self.text.splitlines()]

    def test_lines_are_written_in_order(self) -> None:
        self.read_along()
        for job in ('a', 'b', 'c'):
            self.refuse(job)
        jobs = [line['fields']['job'] for line in self.lines()]
        self.assertEqual(['a', 'b', 'c'], jobs)

    def test_what_was_dropped_is_counted(self) -> None:
        self.read_along()
        for _ in range(1000):
            self.refuse('a')
        self.handler.budget.window_from -= 10.0
        self.handler.tell_dropped()
        lines = self.lines()
        told = [
            line['fields']['dropped']
            for line in lines
            if line['event'] == Event.LINES_DROPPED.value.number
        ]
        written = len(lines) - len(told)
        self.assertEqual(1000, written + sum(told))

    def test_a_reader_that_does_not_read_holds_nobody_up(self) -> None:
        began_at = monotonic()
        for number in range(FLOOD):
            # Each window anew, so that the queue fills and not the budget.
            self.handler.budget.window_from -= 10.0
            self.refuse(str(number))
        self.assertLess(monotonic() - began_at, FLOOD_S)
        began_at = monotonic()
        self.handler.close()
        self.assertLess(monotonic() - began_at, 2.0)

    def test_a_line_that_cannot_be_written_ends_no_other(self) -> None:
        self.read_along()
        self.refuse('a')
        for field in ('\ud800', 10**30):
            self.handler.handle(
                event_record(Event.JOB_REFUSED, {'job': 'b', 'reason': field})
            )
        self.refuse('c')
        jobs = {line['fields'].get('job') for line in self.lines()}
        self.assertLessEqual({'a', 'c'}, jobs)

    def test_a_full_pipe_that_does_not_block_ends_no_writing(self) -> None:
        set_blocking(self.sink, False)
        for number in range(1000):
            self.handler.budget.window_from -= 10.0
            self.refuse(f'{number:0200d}')
        sleep(FULL_PIPE_S)
        self.read_along()
        sleep(FULL_PIPE_S)
        self.refuse('last')
        jobs = [line['fields'].get('job') for line in self.lines()]
        self.assertEqual(1001, len(jobs))
        self.assertEqual('last', jobs[-1])

    def test_a_reader_that_is_gone_ends_the_writing_only(self) -> None:
        source, sink = pipe()
        close(source)
        handler = create_bounded_handler(sink)
        self.addCleanup(close, sink)
        for _ in range(3):
            handler.handle(event_record(Event.SETTINGS_SEEN, {}))
        handler.close()
        self.assertFalse(handler.thread.is_alive())


if __name__ == '__main__':
    unittest.main()
