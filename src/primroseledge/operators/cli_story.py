"""``primroseledge story``: what the logs say of one id."""

from pathlib import Path

from click import argument
from click import command
from click import echo
from click import get_current_context
from click import Path as PathType

from primroseledge.exitcodes import ExitCode
from primroseledge.operators.story import read_lines
from primroseledge.operators.story import tell_story

FILE = PathType(exists=True, dir_okay=False, path_type=Path)


@command()
@argument('name', metavar='ID')
@argument('files', metavar='FILE...', nargs=-1, required=True, type=FILE)
def story(name: str, files: tuple[Path, ...]) -> None:
    """Print what log FILES of several processes say of a job or task.

    Code 1 when no line names the id.
    """
    lines = [
        line
        for path in files
        for line in read_lines(
            path.stem, path.read_text(errors='replace').splitlines()
        )
    ]
    rows = tell_story(lines, name)
    for row in rows:
        echo(f'{row.time}  {row.process}  {row.event}  {row.message}')
    if not rows:
        echo(f'no line names {name}', err=True)
        get_current_context().exit(ExitCode.REFUSED)
