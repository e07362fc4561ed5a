"""The story of one id, from the log lines of several processes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from msgspec import DecodeError
from msgspec import json


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """A line of a log, from the process that wrote it."""

    time: str
    process: str
    event: int
    message: str


def read_lines(process: str, text: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in a text; whatever else is there is skipped.

    A line may have something before its JSON, such as a host's name.
    """
    for line in text:
        begin = line.find('{"time"')
        if begin < 0:
            continue
        try:
            fields: dict[str, Any] = json.decode(line[begin:])
        except DecodeError:
            # A line that was cut off says nothing that can be used.
            continue
        prefix = line[:begin].split()
        yield LogLine(
            str(fields.get('time', '')),
            prefix[-1] if prefix else process,
            int(fields.get('event', 0)),
            str(fields.get('message', '')),
        )


def tell_story(lines: Iterable[LogLine], name: str) -> list[LogLine]:
    """Return the lines that name an id, in order of time.

    Changes of owner, of the store and of configurations in the same
    span of time belong to the story of every job.
    """
    rows = sorted(lines)
    own = [row for row in rows if name in row.message]
    if not own:
        return []
    first, last = own[0].time, own[-1].time
    return [
        row
        for row in rows
        if name in row.message
        or (row.event in COMMON_EVENTS and first <= row.time <= last)
    ]


COMMON_EVENTS = frozenset((202, 203, 205, 211, 304, 305))
"""Store, configuration, jobs read by an owner, owners."""
