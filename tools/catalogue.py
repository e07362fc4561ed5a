"""Generate the reference pages from the code, and check the words used.

Usage: ``python -m tools.catalogue [--write]``. Without ``--write`` the
pages are compared with the code, and a difference is an error.
"""

from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path
import sys
from typing import Any
from typing import Final

from msgspec import inspect
from msgspec import json
from msgspec import NODEFAULT
from msgspec import Struct
from msgspec import structs

from primroseledge.observability.events import Event
from primroseledge.platform.settings import PlatformSettings
from primroseledge.settings.settings import Curve
from primroseledge.settings.settings import Maintenance
from primroseledge.settings.settings import Peer
from primroseledge.settings.settings import Settings
from primroseledge.settings.settings import Trace
from tools.adapter_names import find_leaked_names
from tools.glossary import find_forbidden_words

UNITS: Final = {
    '_s': 'seconds',
    '_bytes': 'bytes',
    '_port': 'port number',
    '_threads': 'count',
    '_spans': 'count',
}
FRACTIONS: Final = ('clock_margin', 'retry_budget', 'sample')
SECTIONS: Final[dict[str, type[Struct]]] = {
    'Peer': Peer,
    'Trace': Trace,
    'Maintenance': Maintenance,
    'Curve': Curve,
}

Page = Callable[[], str]
PAGES: Final[dict[str, Page]] = {}


def page(path: str) -> Callable[[Page], Page]:
    """Register the function that renders a page."""

    def register(function: Page) -> Page:
        PAGES[path] = function
        return function

    return register


@page('docs/EVENTS.md')
def render_events() -> str:
    """Return the catalogue of log events."""
    lines = [
        '# Log events',
        '',
        'Each log line is one JSON object: `time`, `level`, `event` (the',
        'number), `name`, `message` and `fields`. Lines of libraries have',
        'event 0. This page is generated from `events.py` by',
        '`python -m tools.catalogue --write`; CI checks it.',
        '',
    ]
    for event in Event:
        info = event.value
        lines += [
            f'## {info.number} {event.name.lower()} ({info.level_name})',
            '',
            f'`{info.template}`',
            '',
            info.meaning,
            f'What to do: {info.advice}',
            '',
        ]
    return '\n'.join(lines[:-1]) + '\n'


@page('docs/SETTINGS.md')
def render_settings() -> str:
    """Return the reference of settings."""
    lines = [
        '# Settings',
        '',
        'One JSON file for each entry instance, checked before any socket',
        'opens: `primroseledge config check FILE`. A wrong one ends the',
        'process with code 2 and one line that names field and value.',
        'This page is generated from `settings.py` by',
        '`python -m tools.catalogue --write`; CI checks it.',
        '',
        'Besides the ranges, these must hold: addresses are IP numbers;',
        'no port is used twice; `heartbeat_s` is at most a third of',
        '`freshness_s`; `request_timeout_s` is at most',
        '`max_request_timeout_s`; ids of peers and operator keys differ;',
        'with `curve`, each peer has a key; only one of `trace.path` and',
        '`trace.endpoint` is set.',
        '',
        *render_section(Settings),
    ]
    for name, section in SECTIONS.items():
        lines += ['', f'## {name}', '', str(section.__doc__), '']
        lines += render_section(section)
    lines += ['', "## On the users' platform", '']
    lines += [
        'The settings of `primroseledge platform`; the platform fills them',
        'in from `deploy/node.json`.',
        '',
    ]
    lines += render_section(PlatformSettings)
    return '\n'.join(lines) + '\n'


def render_section(section: type[Struct]) -> list[str]:
    """Return the table of a section's settings."""
    lines = [
        '| setting | unit | default | range | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for item in structs.fields(section):
        info = inspect.type_info(item.type)
        lines.append(
            f'| `{item.name}` | {describe_unit(item.name)} '
            f'| {describe_default(item)} | {describe_range(info)} '
            f'| {describe(info)} |'
        )
    return lines


def describe(info: Any) -> str:
    """Return the description in a type's annotation."""
    schema = (
        info.extra_json_schema if isinstance(info, inspect.Metadata) else None
    )
    return str((schema or {}).get('description', ''))


def describe_unit(name: str) -> str:
    """Return the unit that a setting's name gives."""
    if name in FRACTIONS:
        return 'fraction'
    for suffix, unit in UNITS.items():
        if name.endswith(suffix) or name == suffix.removeprefix('_'):
            return unit
    return ''


def describe_default(item: structs.FieldInfo) -> str:
    """Return a setting's default as JSON, or that it is required."""
    if item.default is NODEFAULT:
        return '**required**'
    if isinstance(item.default, Struct):
        return 'see below'
    return f'`{json.encode(item.default).decode()}`'


def describe_range(info: Any) -> str:
    """Return the limits of a number, length or pattern."""
    base = info.type if isinstance(info, inspect.Metadata) else info
    parts = []
    for name, text in (
        ('ge', '≥ {}'),
        ('gt', '> {}'),
        ('le', '≤ {}'),
        ('min_length', 'length ≥ {}'),
        ('max_length', 'length ≤ {}'),
        ('pattern', '`{}`'),
    ):
        limit = getattr(base, name, None)
        if limit is not None:
            shown = str(limit).replace('|', '\\|')
            parts.append(text.format(shown))
    return ', '.join(parts)


def find_problems(root: Path) -> Iterator[str]:
    """Yield a line for each page that differs and each forbidden word."""
    for path, render in PAGES.items():
        text = (root / path).read_text() if (root / path).exists() else ''
        if text != render():
            yield f'{path} differs; run python -m tools.catalogue --write'
    source = root / 'src/primroseledge'
    yield from find_forbidden_words(root / 'docs/GLOSSARY.md', source)
    yield from find_leaked_names(source)


def write_pages(root: Path) -> None:
    """Write all pages."""
    for path, render in PAGES.items():
        (root / path).write_text(render())


def main(arguments: list[str]) -> int:
    """Write or check; return the exit code."""
    root = Path(__file__).resolve().parent.parent
    if arguments == ['--write']:
        write_pages(root)
    problems = list(find_problems(root))
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
