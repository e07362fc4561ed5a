"""The story of one id, from the log lines of several processes."""

from collections.abc import Iterable
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Final

from msgspec import DecodeError
from msgspec import json

from primroseledge.observability.events import Event


@dataclass(frozen=True, slots=True, order=True)
class LogLine:
    """A line of a log, from the process that wrote it."""

    time: str
    process: str
    event: int
    message: str
    fields: dict[str, Any] = field(default_factory=dict, compare=False)


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
            dict(fields.get('fields', {})),
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


def find_slowest(lines: Iterable[LogLine], count: int) -> list[LogLine]:
    """Return the ends of the jobs that took longest, the worst first."""
    ends = [line for line in lines if line.event == JOB_ENDED]
    ends.sort(key=duration_of, reverse=True)
    return ends[:count]


def duration_of(line: LogLine) -> float:
    """Return how long a job took, in seconds."""
    return float(line.fields.get('seconds', 0.0))


def find_refused(lines: Iterable[LogLine], count: int) -> list[LogLine]:
    """Return the first requests that were turned away or not answered."""
    refused = [line for line in lines if line.event in REFUSALS]
    return sorted(refused)[:count]


JOB_ENDED: Final = Event.JOB_ENDED.value.number
REFUSALS: Final = frozenset(
    event.value.number
    for event in (
        Event.REQUEST_REFUSED,
        Event.JOB_REFUSED,
        Event.CALL_UNSERVED,
        Event.CALL_REFUSED,
    )
)
COMMON_EVENTS: Final = frozenset(
    event.value.number
    for event in (
        Event.STORE_UNAVAILABLE,
        Event.STORE_AVAILABLE,
        Event.STORE_SLOW,
        Event.STORE_FAST_AGAIN,
        Event.CONFIG_IN_FORCE,
        Event.JOBS_RESTORED,
        Event.OWNER_TAKEN,
        Event.OWNER_LOST,
        Event.ZONE_EVACUATED,
        Event.ZONE_RETURNED,
    )
)
"""Events that concern every job of their time."""
