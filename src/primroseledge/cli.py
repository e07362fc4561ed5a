"""The command line: ``primroseledge``."""

from pathlib import Path
import sys
from typing import Final

from click import argument
from click import Choice
from click import echo
from click import get_current_context
from click import group
from click import option
from click import Path as PathType
from click import version_option

from primroseledge import __version__
from primroseledge.errors import DocumentError
from primroseledge.errors import SettingsError
from primroseledge.observability.events import Event
from primroseledge.observability.logs import configure
from primroseledge.observability.logs import log
from primroseledge.operators.changes import read_id
from primroseledge.operators.cli_fleet import explain
from primroseledge.operators.cli_fleet import fleet
from primroseledge.operators.cli_key import key
from primroseledge.operators.cli_pool import pool
from primroseledge.operators.cli_running import running
from primroseledge.operators.cli_service import service
from primroseledge.operators.cli_story import candidates
from primroseledge.operators.cli_story import story
from primroseledge.operators.cli_team import team
from primroseledge.operators.cli_wave import wave
from primroseledge.operators.cli_zone import zone
from primroseledge.operators.console import exit_on_error
from primroseledge.settings.settings import Settings
from primroseledge.settings.settings_file import load
from primroseledge.storage.documents import decode_document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import KINDS

SETTINGS_KIND: Final = 'settings'
FILE = PathType(exists=True, dir_okay=False, path_type=Path)


@group(context_settings={'help_option_names': ['-h', '--help']})
@version_option(__version__, prog_name='primroseledge')
def main() -> None:
    """Manage a fleet's capacity and maintenance.

    Exit codes: 0 done, 1 refused, 2 wrong usage, settings or document,
    3 outcome unknown, 4 store or entry instance unreachable and nothing
    written, 5 accepted but not yet in force.
    """


for subcommand in (
    team,
    key,
    pool,
    service,
    fleet,
    wave,
    explain,
    running,
    zone,
    story,
    candidates,
):
    main.add_command(subcommand)


@main.command()
@option('--settings', 'path', type=FILE, required=True, help='JSON file.')
def entry(path: Path) -> None:
    """Run an entry instance until it gets SIGTERM."""
    configure()
    with exit_on_error():
        settings = load_logged(path)
        # Only here, so that other commands need not import the daemon.
        from primroseledge.gateway.daemon import run

        get_current_context().exit(run(settings))


@main.command('platform')
def run_on_platform() -> None:
    """Run an entry instance on the users' platform until SIGTERM."""
    configure(sys.stdout)
    with exit_on_error():
        from primroseledge.platform.daemon import run
        from primroseledge.platform.settings import load_settings
        from primroseledge.platform.settings import settings_path

        get_current_context().exit(run(load_settings(settings_path())))


def load_logged(path: Path) -> Settings:
    """Load settings; a refusal is also logged."""
    try:
        return load(path)
    except SettingsError as error:
        log(Event.SETTINGS_REFUSED, problem=str(error))
        raise


@main.group()
def config() -> None:
    """Check files before they are used."""


@config.command()
@argument('path', metavar='FILE', type=FILE)
@option(
    '--kind',
    type=Choice([SETTINGS_KIND, *KINDS]),
    default=SETTINGS_KIND,
    show_default=True,
    help='What the file holds.',
)
def check(path: Path, kind: str) -> None:
    """Check a file of settings, or a document."""
    with exit_on_error():
        if kind == SETTINGS_KIND:
            load(path)
        else:
            check_document_file(path, kind)
        echo(f'{path}: right')


def check_document_file(path: Path, kind: str) -> None:
    """Check a document by itself; raises DocumentError."""
    try:
        text = path.read_text()
        decode_document(document_key(kind, read_id(text)), text)
    except (UnicodeDecodeError, DocumentError) as error:
        raise DocumentError(f'{path}: {error}') from error


if __name__ == '__main__':
    main()
