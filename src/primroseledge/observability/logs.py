"""Log events as JSON lines through the standard ``logging``."""

from datetime import datetime
from datetime import UTC
from logging import Formatter
from logging import getLogger
from logging import Handler
from logging import INFO
from logging import LogRecord
from logging import StreamHandler
import sys
from typing import Final
from typing import TextIO

from msgspec import json

from primroseledge.observability.events import Event
from primroseledge.storage.keys import redact_keys

LOGGER: Final = getLogger('primroseledge')
FieldValue = str | int | float | bool | None


def log(event: Event, **fields: FieldValue) -> None:
    """Log an event with the fields that its template names.

    A key or a body never goes into a field.
    """
    if LOGGER.isEnabledFor(event.value.level):
        LOGGER.handle(event_record(event, fields))


def event_record(event: Event, fields: dict[str, FieldValue]) -> LogRecord:
    """Return the record of an event."""
    info = event.value
    return LOGGER.makeRecord(
        LOGGER.name,
        info.level,
        __file__,
        0,
        '%s',
        (info.template.format(**fields),),
        None,
        extra={
            'event': info.number,
            'event_name': event.name.lower(),
            'event_fields': fields,
        },
    )


class JsonFormatter(Formatter):
    """Writes a record as one line of JSON, without secrets of keys."""

    def format(self, record: LogRecord) -> str:
        """Return the line; records of libraries have event 0."""
        when = datetime.fromtimestamp(record.created, tz=UTC)
        line = {
            'time': when.isoformat(timespec='milliseconds'),
            'level': record.levelname,
            'event': getattr(record, 'event', 0),
            'name': getattr(record, 'event_name', record.name),
            'message': record.getMessage(),
            'fields': getattr(record, 'event_fields', {}),
        }
        if record.exc_info:
            line['error'] = self.formatException(record.exc_info)
        try:
            text = json.encode(line).decode()
        except (OverflowError, ValueError):
            # A number or a text from outside that JSON has no form for.
            fields = getattr(record, 'event_fields', {})
            line['fields'] = {name: ascii(fields[name]) for name in fields}
            line['message'] = ascii(record.getMessage())
            text = json.encode(line).decode()
        return redact_keys(text)


def create_handler(stream: TextIO | None = None) -> Handler:
    """Return a handler that writes JSON lines, by default to stderr."""
    handler = StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    return handler


def configure(stream: TextIO | None = None, level: int = INFO) -> Handler:
    """Send this package's log lines to a stream; return the handler."""
    handler = create_handler(stream)
    use_handlers(handler, level=level)
    return handler


def use_handlers(*handlers: Handler, level: int = INFO) -> None:
    """Give this package's log records to these handlers alone."""
    LOGGER.handlers[:] = handlers
    LOGGER.setLevel(level)
    LOGGER.propagate = False
