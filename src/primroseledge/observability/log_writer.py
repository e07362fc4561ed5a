"""Write log lines without ever holding up who logs them.

A thread of its own formats and writes. When the reader of the output
does not read, lines are dropped and counted; no other thread waits.
"""

from logging import Handler
from logging import LogRecord
from os import write
from queue import Empty
from queue import Full
from queue import Queue
from select import poll
from select import POLLOUT
from threading import Event as ThreadEvent
from threading import Lock
from threading import Thread
from typing import Final

from primroseledge.clock import boot_time
from primroseledge.observability.events import Event
from primroseledge.observability.log_budget import LogBudget
from primroseledge.observability.logs import event_record
from primroseledge.observability.logs import JsonFormatter

QUEUE_LINES: Final = 4_000
"""Lines that wait for a reader who is slow."""

CLOSE_WAIT_S: Final = 0.5
"""How long the end of the process waits for the last lines."""

SUMMARY_S: Final = 1.0
"""How long after a flood its dropped lines are told at the latest."""

MS_PER_S: Final = 1000


class BoundedHandler(Handler):
    """Queues records within a budget for a thread that writes them."""

    def __init__(self, file: int) -> None:
        super().__init__()
        self.file = file
        self.budget = LogBudget(boot_time())
        self.budget_lock = Lock()
        self.records: Queue[LogRecord] = Queue(QUEUE_LINES)
        self.is_closing = ThreadEvent()
        self.setFormatter(JsonFormatter())
        self.poll = poll()
        self.poll.register(file, POLLOUT)
        self.thread = Thread(target=self.run, name='log', daemon=True)
        self.thread.start()

    def emit(self, record: LogRecord) -> None:
        """Queue a record, or drop and count it; never waits."""
        number = getattr(record, 'event', 0)
        self.tell_dropped()
        with self.budget_lock:
            if not self.budget.admits(number, record.levelno):
                return
        self.queue(record, number)

    def queue(self, record: LogRecord, number: int) -> None:
        """Hand a record to the thread, unless it is far behind."""
        try:
            self.records.put_nowait(record)
        except Full:
            with self.budget_lock:
                self.budget.drop(number)

    def tell_dropped(self) -> None:
        """Queue the counts of the lines dropped in a window that ended."""
        now = boot_time()
        with self.budget_lock:
            if not self.budget.is_over(now):
                return
            seconds = round(now - self.budget.window_from, 3)
            dropped = self.budget.begin_window(now)
        for number, count in dropped.items():
            summary = event_record(
                Event.LINES_DROPPED,
                {'dropped': count, 'number': number, 'seconds': seconds},
            )
            self.queue(summary, number)

    def run(self) -> None:
        """Write records until closed and nothing is left."""
        while True:
            try:
                record = self.records.get(timeout=SUMMARY_S)
            except Empty:
                if self.is_closing.is_set():
                    return
                self.tell_dropped()
                continue
            if not self.write(record):
                return

    def write(self, record: LogRecord) -> bool:
        """Write a line whole; tell whether the output is still there.

        A line that cannot be formatted, or that the output does not take
        now, as on a full disk, is dropped and counted.
        """
        try:
            line = self.format(record).encode() + b'\n'
            while line:
                line = self.write_part(line)
        except BrokenPipeError:
            # Nobody reads any more, and there is nowhere to say so.
            return False
        except Exception:
            # Any other error must not end the lines of the whole process.
            with self.budget_lock:
                self.budget.drop(getattr(record, 'event', 0))
        return True

    def write_part(self, line: bytes) -> bytes:
        """Write what the output takes of a line; return the rest."""
        try:
            return line[write(self.file, line) :]
        except BlockingIOError:
            # A pipe that whoever started the process made non-blocking.
            self.poll.poll(SUMMARY_S * MS_PER_S)
            return line

    def close(self) -> None:
        """Write what is queued, as far as the reader lets us."""
        self.is_closing.set()
        self.thread.join(CLOSE_WAIT_S)
        super().close()


def create_bounded_handler(file: int) -> BoundedHandler:
    """Return a handler that writes to a file descriptor."""
    return BoundedHandler(file)
