"""``primroseledge story``: what the logs say of one id."""

from pathlib import Path
from typing import Final

from click import argument
from click import command
from click import echo
from click import get_current_context
from click import IntRange
from click import option
from click import Path as PathType
from click import UsageError

from primroseledge.exit_codes import ExitCode
from primroseledge.operators.story import find_refused
from primroseledge.operators.story import find_slowest
from primroseledge.operators.story import LogLine
from primroseledge.operators.story import read_lines
from primroseledge.operators.story import tell_story

DEFAULT_LIMIT: Final = 10
FILE = PathType(exists=True, dir_okay=False, path_type=Path)


@command()
@argument('name', metavar='ID')
@argument('files', metavar='FILE...', nargs=-1, required=True, type=FILE)
def story(name: str, files: tuple[Path, ...]) -> None:
    """Print what log FILES of several processes say of a job or task.

    Code 1 when no line names the id.
    """
    show(tell_story(read_files(files), name), f'no line names {name}')


@command()
@option(
    '--slowest',
    'kind',
    flag_value='slowest',
    help='The jobs that took longest.',
)
@option(
    '--refused',
    'kind',
    flag_value='refused',
    help='The requests that were turned away or not answered.',
)
@option(
    '--limit',
    type=IntRange(min=1),
    default=DEFAULT_LIMIT,
    show_default=True,
    help='Lines to print.',
)
@argument('files', metavar='FILE...', nargs=-1, required=True, type=FILE)
def candidates(kind: str | None, limit: int, files: tuple[Path, ...]) -> None:
    """Print the lines of log FILES that a story may begin with.

    Code 1 when there are none.
    """
    if kind is None:
        raise UsageError('one of --slowest and --refused is needed')
    find = find_slowest if kind == 'slowest' else find_refused
    show(find(read_files(files), limit), 'no such line')


def read_files(files: tuple[Path, ...]) -> list[LogLine]:
    """Return the lines of all files."""
    return [
        line
        for path in files
        for line in read_lines(
            path.stem, path.read_text(errors='replace').splitlines()
        )
    ]


def show(rows: list[LogLine], problem: str) -> None:
    """Print lines; without any, say so and end with code 1."""
    for row in rows:
        echo(f'{row.time}  {row.process}  {row.event}  {row.message}')
    if not rows:
        echo(problem, err=True)
        get_current_context().exit(ExitCode.REFUSED)
