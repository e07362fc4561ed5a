"""What all operators' commands share: options, changes and reports."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from functools import wraps
from os import environ
from secrets import token_hex
from typing import Any
from typing import Concatenate
from typing import Final
from typing import NoReturn
from typing import ParamSpec

from click import Choice
from click import echo
from click import get_current_context
from click import option
from click import UsageError

from primroseledge.errors import OperatorError
from primroseledge.errors import PrimroseledgeError
from primroseledge.errors import StoreError
from primroseledge.exit_codes import code_of
from primroseledge.exit_codes import ExitCode
from primroseledge.exit_codes import RESULT_CODES
from primroseledge.fleet import Fleet
from primroseledge.fleet import read_fleet
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.operators.applying import Applied
from primroseledge.operators.applying import apply_change
from primroseledge.operators.applying import Author
from primroseledge.operators.applying import Result
from primroseledge.operators.changes import Change
from primroseledge.operators.connections import Connections
from primroseledge.operators.connections import decode_status
from primroseledge.operators.connections import EntryStatus
from primroseledge.operators.connections import NetworkConnections
from primroseledge.operators.diffs import diff_documents
from primroseledge.operators.force import Force
from primroseledge.operators.force import judge_force
from primroseledge.operators.rendering import Output
from primroseledge.operators.rendering import render_row
from primroseledge.operators.rendering import render_table
from primroseledge.operators.rendering import Row
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.store import Snapshot
from primroseledge.storage.store import Store

POLL_S: Final = 0.1
PAUSE_S: Final = 0.2
MAX_TAKE_BACKS: Final = 5
STORE_VARIABLE: Final = 'PRIMROSELEDGE_STORE'
ENTRIES_VARIABLE: Final = 'PRIMROSELEDGE_ENTRIES'
CREDENTIALS_VARIABLE: Final = 'PRIMROSELEDGE_STORE_CREDENTIALS'
USER_VARIABLE: Final = 'USER'
UNKNOWN_USER: Final = 'unknown'
OPERATOR_KEY_VARIABLE: Final = 'PRIMROSELEDGE_OPERATOR_KEY'

NEXT_STEPS: Final = {
    Result.REFUSED: 'nothing was written; try again when the store answers',
    Result.CONFLICT: 'look at what changed, then run the command again',
    Result.UNKNOWN: 'it may still come into force; show the document, '
    'and run the command again if it is not there',
}

Parameters = ParamSpec('Parameters')


@dataclass(frozen=True, slots=True)
class Console:
    """The options of one command, and what it reaches."""

    connections: Connections
    output: Output
    store_urls: tuple[str, ...]
    entries: tuple[str, ...]
    timeout_s: float
    wait_s: float

    @contextmanager
    def open_store(self) -> Iterator[Store]:
        """Open the store that the options name."""
        if not self.store_urls:
            raise UsageError(
                f'no store is named; give --store URL or set {STORE_VARIABLE}'
            )
        credentials = environ.get(CREDENTIALS_VARIABLE, '')
        with self.connections.open_store(
            self.store_urls, self.timeout_s, credentials
        ) as store:
            yield store

    def read_fleet(self) -> Fleet:
        """Read all documents."""
        with self.open_store() as store:
            return read_fleet(store.read(CONFIG_PREFIX))

    def apply(
        self,
        build: Callable[[Fleet], Change],
        review: Callable[[Fleet], Change | None] | None = None,
        **extra: Any,
    ) -> NoReturn:
        """Build a change, write it, say what became of it, and exit.

        ``review`` reads the fleet after the write and may return a
        change that takes it back. ``extra`` is shown unless the change
        was certainly not made.
        """
        with self.open_store() as store:
            change = build(read_fleet(store.read(CONFIG_PREFIX)))
            applied = self.write(store, change)
            if review is not None and applied.result is Result.ACCEPTED:
                self.take_back(store, review)
        row = describe_result(change, applied)
        code = RESULT_CODES[applied.result]
        if applied.result in (Result.ACCEPTED, Result.UNKNOWN):
            row.update(extra)
        if applied.result is Result.ACCEPTED:
            force = self.wait_in_force(applied.revision)
            row['in_force'] = force.value
            if force is Force.PENDING:
                code = ExitCode.NOT_IN_FORCE
                row['next'] = 'see primroseledge fleet status'
        self.show(row)
        get_current_context().exit(code)

    def write(self, store: Store, change: Change) -> Applied:
        """Write a change in the name of this operator."""
        user = environ.get(USER_VARIABLE, UNKNOWN_USER)
        author = Author(user, self.connections.wall_clock())
        write_id = WriteId(token_hex(16))
        return apply_change(store, change, write_id, author, self.pause)

    def take_back(
        self, store: Store, review: Callable[[Fleet], Change | None]
    ) -> None:
        """Take a change back when its review asks for that.

        Raises OperatorError that says what became of it.
        """
        problem = ''
        for _ in range(MAX_TAKE_BACKS):
            try:
                change = review(read_fleet(store.read(CONFIG_PREFIX)))
            except StoreError as error:
                problem = str(error)
                self.pause()
                continue
            if change is None:
                return
            applied = self.write(store, change)
            if applied.result is Result.ACCEPTED:
                raise OperatorError(
                    'another change at the same time left no budget; this '
                    'one was accepted and taken back; run it again'
                )
            problem = applied.result.value
        raise OperatorError(
            'the change was accepted, but whether it overspends a budget '
            f'could not be checked or mended ({problem}); return the '
            'instance, or run this again'
        )

    def pause(self) -> None:
        """Wait before a write is sent again."""
        self.connections.sleep(PAUSE_S)

    def wait_in_force(self, revision: Revision) -> Force:
        """Poll entry instances until a revision is in force."""
        start = self.connections.now()
        while True:
            elapsed_s = self.connections.now() - start
            statuses = [self.find_status(url) for url in self.entries]
            force = judge_force(revision, statuses, elapsed_s)
            if force is not Force.PENDING or elapsed_s >= self.wait_s:
                return force
            self.connections.sleep(POLL_S)

    def find_status(self, entry_url: str) -> EntryStatus | None:
        """Return an entry instance's status, None without an answer."""
        try:
            return decode_status(entry_url, self.fetch(entry_url, '/-/status'))
        except PrimroseledgeError:
            return None

    def fetch(self, entry_url: str, path: str) -> bytes:
        """Get a page of an entry instance; raises OperatorError."""
        return self.connections.fetch(
            f'{entry_url.rstrip("/")}{path}',
            environ.get(OPERATOR_KEY_VARIABLE, ''),
            self.timeout_s,
        )

    def show(self, row: Row) -> None:
        """Print one result."""
        echo(render_row(row, self.output))

    def show_table(self, rows: Sequence[Row], *columns: str) -> None:
        """Print rows under the given columns."""
        echo(render_table(rows, columns, self.output))


def describe_result(change: Change, applied: Applied) -> Row:
    """Return what became of a change, as a row."""
    row: Row = {
        'result': applied.result.value,
        'document': change.key.removeprefix(CONFIG_PREFIX),
        'revision': applied.revision,
        'changes': [
            str(item) for item in diff_documents(change.before, change.after)
        ],
    }
    if applied.detail:
        row['detail'] = applied.detail
    if applied.current is not None:
        row['changed_meanwhile'] = describe_current(change, applied)
    if applied.result in NEXT_STEPS:
        row['next'] = NEXT_STEPS[applied.result]
    return row


def describe_current(change: Change, applied: Applied) -> list[str]:
    """Return how the record in the store differs from what was read."""
    records = (applied.current,) if applied.current else ()
    fleet = read_fleet(Snapshot(applied.revision, records))
    held = fleet.held.get(change.key)
    current = held.document if held else None
    lines = [str(item) for item in diff_documents(change.before, current)]
    return lines + list(fleet.problems.values())


def operator_command(
    function: Callable[Concatenate[Console, Parameters], None],
) -> Callable[Parameters, None]:
    """Add the common options and turn errors into exit codes."""

    @option(
        '--store',
        'store_urls',
        multiple=True,
        envvar=STORE_VARIABLE,
        help='URL of the key-value service; may be repeated.',
    )
    @option(
        '--entry',
        'entries',
        multiple=True,
        envvar=ENTRIES_VARIABLE,
        help='URL of an entry instance; may be repeated.',
    )
    @option(
        '--output',
        type=Choice([item.value for item in Output]),
        default=Output.TABLE.value,
        show_default=True,
        help='How the result is printed.',
    )
    @option(
        '--timeout',
        'timeout_s',
        type=float,
        default=5.0,
        show_default=True,
        help='Longest wait for one answer, in seconds.',
    )
    @option(
        '--wait',
        'wait_s',
        type=float,
        default=10.0,
        show_default=True,
        help='Longest wait for a change to be in force, in seconds.',
    )
    @wraps(function)
    def command(*args: Any, **kwargs: Any) -> None:
        connections = get_current_context().obj or NetworkConnections()
        console = Console(
            connections=connections,
            output=Output(kwargs.pop('output')),
            store_urls=kwargs.pop('store_urls'),
            entries=kwargs.pop('entries'),
            timeout_s=kwargs.pop('timeout_s'),
            wait_s=kwargs.pop('wait_s'),
        )
        with exit_on_error():
            function(console, *args, **kwargs)

    return command


@contextmanager
def exit_on_error() -> Iterator[None]:
    """Print an error of this package in one line and exit."""
    try:
        yield
    except StoreError as error:
        echo(f'primroseledge: {error}; nothing was written', err=True)
        get_current_context().exit(ExitCode.UNREACHABLE)
    except PrimroseledgeError as error:
        echo(f'primroseledge: {error}', err=True)
        get_current_context().exit(code_of(error))
