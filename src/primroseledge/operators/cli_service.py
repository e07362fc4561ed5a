"""Commands about services' documents."""

from collections.abc import Callable
from datetime import datetime
from datetime import UTC
from pathlib import Path

from click import argument
from click import confirm
from click import echo
from click import group
from click import option
from click import Path as PathType
from msgspec import to_builtins

from primroseledge.errors import DocumentError
from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.operators.applying import read_record
from primroseledge.operators.changes import apply_service
from primroseledge.operators.changes import Change
from primroseledge.operators.changes import require
from primroseledge.operators.console import Console
from primroseledge.operators.console import operator_command
from primroseledge.operators.diffs import diff_documents
from primroseledge.operators.history import chain
from primroseledge.operators.history import history_prefix
from primroseledge.operators.history import HistoryEntry
from primroseledge.operators.history import read_entries
from primroseledge.operators.rendering import Row
from primroseledge.storage.documents import decode_document
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Service

FILE = PathType(exists=True, dir_okay=False, path_type=Path)


@group()
def service() -> None:
    """Services, one document each."""


@service.command()
@argument('path', metavar='FILE', type=FILE)
@option('--ask', is_flag=True, help='Show the difference and ask first.')
@operator_command
def apply(console: Console, path: Path, ask: bool) -> None:
    """Check a service's document and put it in force."""
    build = read_document(path)

    def build_asked(fleet: Fleet) -> Change:
        change = build(fleet)
        for item in diff_documents(change.before, change.after):
            echo(str(item), err=True)
        if ask and not confirm('Apply this?', err=True):
            raise OperatorError('nothing was written')
        return change

    console.apply(build_asked if ask else build)


@service.command()
@argument('path', metavar='FILE', type=FILE)
@operator_command
def diff(console: Console, path: Path) -> None:
    """Show what a file would change, after all checks."""
    change = read_document(path)(console.read_fleet())
    rows = [
        {'field': item.field, 'before': item.before, 'after': item.after}
        for item in diff_documents(change.before, change.after)
    ]
    console.show_table(rows, 'field', 'before', 'after')


@service.command()
@argument('service_id', metavar='SERVICE')
@operator_command
def show(console: Console, service_id: str) -> None:
    """Show a service's document."""
    fleet = console.read_fleet()
    document = require(fleet, Service, 'service', service_id)
    key = document_key('service', service_id)
    row = {**to_builtins(document), 'revision': fleet.revision_of(key)}
    console.show(row)


@service.command('list')
@operator_command
def list_(console: Console) -> None:
    """List all services."""
    rows = [
        {
            'service': item.id,
            'team': item.team,
            'pool': item.pool,
            'open': item.open,
        }
        for item in console.read_fleet().each(Service)
    ]
    console.show_table(rows, 'service', 'team', 'pool', 'open')


@service.command()
@argument('service_id', metavar='SERVICE')
@operator_command
def history(console: Console, service_id: str) -> None:
    """Show the changes that took effect, newest first."""
    key = document_key('service', service_id)
    with console.open_store() as store:
        record = read_record(store, key)
        if record is None:
            raise OperatorError(f'there is no service {service_id!r}')
        entries = read_entries(store.read(history_prefix(key)).records)
    applied = list(chain(entries, record.write_id))
    rows = [
        describe_entry(key, entry, older)
        for entry, older in zip(applied, [*applied[1:], None], strict=True)
    ]
    console.show_table(rows, 'at', 'by', 'changes')


def read_document(path: Path) -> Callable[[Fleet], Change]:
    """Return what builds the change to a file's document."""
    try:
        text = path.read_text()
    except UnicodeDecodeError as error:
        raise DocumentError(f'{path}: {error}') from error
    return lambda fleet: apply_service(fleet, text)


def describe_entry(
    key: str, entry: HistoryEntry, older: HistoryEntry | None
) -> Row:
    """Return one change as a row."""
    when = datetime.fromtimestamp(entry.at, tz=UTC)
    differences = diff_documents(
        decode_entry(key, older), decode_entry(key, entry)
    )
    return {
        'at': when.isoformat(timespec='seconds'),
        'by': entry.by,
        'write_id': entry.write_id,
        'changes': [str(item) for item in differences],
    }


def decode_entry(key: str, entry: HistoryEntry | None) -> Document | None:
    """Return an entry's document, None when it cannot be read now."""
    if entry is None or entry.value is None:
        return None
    try:
        return decode_document(key, entry.value)
    except DocumentError:
        return None
