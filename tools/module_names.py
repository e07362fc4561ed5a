"""Check that no module grows too large or runs words together in its name.

Run as ``python -m tools.module_names``. It prints the modules with more than
``MAX_LINES`` lines. Those that had grown before the check was added may stay
as large as ``LARGE_MODULES`` says; whoever makes one smaller lowers its
number here.
"""

from collections.abc import Iterable
from pathlib import Path
import sys
from typing import Final

MAX_LINES: Final = 400

LARGE_MODULES: Final = {
    'bench/policy.py': 472,
    'src/primroseledge/cluster/fleet_node.py': 546,
    'src/primroseledge/gateway/node.py': 435,
    'tests/agreement_node.py': 429,
    'tests/fleet_world.py': 680,
    'tests/specification.py': 405,
    'tests/test_fleet_node.py': 582,
    'tests/test_maintenance.py': 435,
}

SOURCES: Final = ('src', 'standins', 'features', 'tests', 'bench', 'tools')

MIN_WORD_LENGTH: Final = 3
"""Shorter parts are no words, but ends of others, such as 'ed'."""

COMPOUNDS: Final = frozenset(('keyring', 'runtimes', 'traceparent'))
"""Words of the field that are written without a space."""


def find_modules() -> list[Path]:
    """Return the paths of all modules, without package markers."""
    return sorted(
        path
        for source in SOURCES
        for path in Path(source).rglob('*.py')
        if path.stem != '__init__'
    )


def find_growth(modules: Iterable[Path]) -> list[str]:
    """Return a text for each module that is larger than it may be."""
    problems = list[str]()
    for path in modules:
        lines = len(path.read_text().splitlines())
        allowed = LARGE_MODULES.get(str(path), MAX_LINES)
        if lines > MAX_LINES:
            print(f'{path} has {lines} lines')
        if lines > allowed:
            problems.append(f'{path} has {lines} lines, more than {allowed}')
    return problems


def find_joined_words(modules: Iterable[Path]) -> list[str]:
    """Return a text for each module name that runs two words together.

    The words are those that other module names are made of.
    """
    stems = {path.stem for path in modules}
    words = {
        word
        for stem in stems
        for word in stem.split('_')
        if len(word) >= MIN_WORD_LENGTH
    }
    problems = list[str]()
    for word in sorted(words - COMPOUNDS):
        for end in range(MIN_WORD_LENGTH, len(word) - MIN_WORD_LENGTH + 1):
            if word[:end] in words and word[end:] in words:
                problems.append(
                    f"'{word}' joins '{word[:end]}' and '{word[end:]}'"
                )
    return problems


def main() -> int:
    """Print what was found; return 1 if a module has to be changed."""
    modules = find_modules()
    problems = find_growth(modules) + find_joined_words(modules)
    for problem in problems:
        print(problem, file=sys.stderr)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main())
