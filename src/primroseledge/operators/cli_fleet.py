"""Commands about the fleet as the entry instances see it."""

from urllib.parse import quote

from click import argument
from click import command
from click import get_current_context
from click import group
from click import UsageError
from msgspec import to_builtins

from primroseledge.agreement.membership_changes import MEMBERS_ID
from primroseledge.agreement.membership_changes import set_members
from primroseledge.errors import OperatorError
from primroseledge.errors import PrimroseledgeError
from primroseledge.errors import UnreachableError
from primroseledge.exit_codes import ExitCode
from primroseledge.operators.changes import require
from primroseledge.operators.connections import decode_explanations
from primroseledge.operators.connections import EntryStatus
from primroseledge.operators.console import Console
from primroseledge.operators.console import ENTRIES_VARIABLE
from primroseledge.operators.console import operator_command
from primroseledge.operators.rendering import Row
from primroseledge.storage.documents import Members


@group()
def fleet() -> None:
    """The fleet as a whole."""


@fleet.command()
@operator_command
def status(console: Console) -> None:
    """Show each entry instance's view; code 4 when one is silent."""
    require_entries(console)
    rows = [
        describe_status(url, console.find_status(url))
        for url in console.entries
    ]
    console.show_table(
        rows, 'url', 'entry', 'revision', 'fresh', 'members', 'owners', 'calls'
    )
    if any(row['entry'] is None for row in rows):
        get_current_context().exit(ExitCode.UNREACHABLE)


@fleet.command()
@argument('entry_ids', metavar='[ENTRY]...', nargs=-1)
@operator_command
def members(console: Console, entry_ids: tuple[str, ...]) -> None:
    """Set the entry instances whose majority counts, or show them."""
    if entry_ids:
        console.apply(lambda fleet: set_members(fleet, entry_ids))
    document = require(console.read_fleet(), Members, 'members', MEMBERS_ID)
    rows = [{'entry': name} for name in document.entries]
    console.show_table(rows, 'entry')


@command()
@argument('name', metavar='REQUEST_OR_JOB')
@operator_command
def explain(console: Console, name: str) -> None:
    """Say why a request or job waits, or where it ran."""
    require_entries(console)
    rows: list[Row] = []
    problems = []
    for url in console.entries:
        try:
            page = console.fetch(url, f'/-/explain/{quote(name, safe="")}')
            rows += [
                {'entry': url, **to_builtins(item)}
                for item in decode_explanations(url, page)
            ]
        except PrimroseledgeError as error:
            problems.append(str(error))
    if not rows and problems:
        raise UnreachableError('; '.join(problems))
    if not rows:
        raise OperatorError(
            f'no entry instance knows {name!r}; it is unknown or its time '
            'in memory has passed'
        )
    console.show_table(rows, 'entry', 'state', 'explanation')


def require_entries(console: Console) -> None:
    """Raise UsageError when no entry instance is named."""
    if not console.entries:
        raise UsageError(
            'no entry instance is named; give --entry URL or set '
            f'{ENTRIES_VARIABLE}'
        )


def describe_status(url: str, item: EntryStatus | None) -> Row:
    """Return an entry instance's view as a row."""
    if item is None:
        return {'url': url, 'entry': None}
    return {
        'url': url,
        'entry': item.entry,
        'revision': item.revision,
        'fresh': item.fresh,
        'members': item.members,
        'owners': [f'{cell}={name}' for cell, name in item.owners.items()],
        'calls': item.open_calls,
    }
