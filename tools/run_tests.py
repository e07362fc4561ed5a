"""Run every check and test, and end with one line that counts them.

Usage: ``python -m tools.run_tests [SUITE ...]``; without a suite all run.
"""

from collections.abc import Callable
from pathlib import Path
import re
import subprocess
import sys

from tools.known_red import find_malformed_entries
from tools.known_red import judge_unit_run
from tools.known_red import read_known_red

BIN: Path = Path(sys.executable).parent
SOURCES: tuple[str, ...] = (
    'src',
    'standins',
    'features',
    'tests',
    'bench',
    'tools',
)
KNOWN_RED: Path = Path('KNOWN-RED.txt')

BINARY_NOT_RUN: int = 77

SOAK_SECONDS: str = '45'
SOAK_SEED: str = '7'

Suite = Callable[[], tuple[int, int]]
SUITES: dict[str, Suite] = {}


def suite(name: str) -> Callable[[Suite], Suite]:
    """Register a suite under a name, in the order in which they run."""

    def register(function: Suite) -> Suite:
        SUITES[name] = function
        return function

    return register


def run(*command: str) -> subprocess.CompletedProcess[str]:
    """Run a command, print what it prints, and return its result."""
    print('$', *command, flush=True)
    result = subprocess.run(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        check=False,
    )
    print(result.stdout, flush=True)
    return result


def check(*command: str) -> tuple[int, int]:
    """Count a command as one test that passes when it exits with 0."""
    return (1, 0) if run(*command).returncode == 0 else (0, 1)


@suite('lint')
def run_lint() -> tuple[int, int]:
    """Check formatting, lint rules and types."""
    counts = [
        check(str(BIN / 'ruff'), 'format', '--check', *SOURCES),
        check(str(BIN / 'ruff'), 'check', *SOURCES),
        check(str(BIN / 'flake8'), *SOURCES),
        check(str(BIN / 'mypy')),
    ]
    return sum(c[0] for c in counts), sum(c[1] for c in counts)


@suite('modules')
def run_modules() -> tuple[int, int]:
    """Check the sizes and names of modules, and the layers of packages."""
    counts = [
        check(sys.executable, '-m', 'tools.module_names'),
        check(sys.executable, '-m', 'tools.package_layers'),
    ]
    return sum(c[0] for c in counts), sum(c[1] for c in counts)


@suite('unit')
def run_unit() -> tuple[int, int]:
    """Run the tests under tests/; those known to fail are not counted."""
    result = run(
        sys.executable,
        '-W',
        'error::ResourceWarning',
        '-m',
        'unittest',
        'discover',
        '-s',
        'tests',
        '-t',
        '.',
    )
    text = KNOWN_RED.read_text() if KNOWN_RED.exists() else ''
    judged = judge_unit_run(
        result.stdout, result.returncode, read_known_red(text)
    )
    for name in judged.known:
        print(f'known to fail, not counted: {name}')
    for name in judged.stale:
        print(f'listed in {KNOWN_RED}, but did not fail; take it out: {name}')
    malformed = find_malformed_entries(text)
    for line in malformed:
        print(f'no entry of {KNOWN_RED}, as it names no test: {line}')
    return judged.passed, judged.failed + len(malformed)


@suite('features')
def run_features() -> tuple[int, int]:
    """Run the behave scenarios."""
    result = run(str(BIN / 'behave'), '--format', 'progress')
    line = re.search(r'^.*scenarios? passed.*$', result.stdout, re.MULTILINE)
    counts = dict[str, int]()
    if line:
        for number, word in re.findall(
            r'(\d+) (?:scenarios? )?(\w+)', line.group(0)
        ):
            counts[word] = int(number)
    failed = sum(
        number
        for word, number in counts.items()
        if word not in ('passed', 'skipped')
    )
    if result.returncode != 0 and failed == 0:
        failed = 1
    return counts.get('passed', 0), failed


@suite('soak')
def run_soak() -> tuple[int, int]:
    """Run a short soak of the job path, on processes of their own."""
    return check(
        sys.executable,
        '-m',
        'standins.job_soak',
        '--seconds',
        SOAK_SECONDS,
        '--seed',
        SOAK_SEED,
    )


@suite('catalogue')
def run_catalogue() -> tuple[int, int]:
    """Check the generated pages and the words of the glossary."""
    return check(sys.executable, '-m', 'tools.catalogue')


@suite('binary')
def run_binary() -> tuple[int, int]:
    """Build the one file that ships, and check it; needs gcc."""
    code = run(sys.executable, '-m', 'tools.binary').returncode
    if code == BINARY_NOT_RUN:
        return 0, 0
    return (1, 0) if code == 0 else (0, 1)


def main(names: list[str]) -> int:
    """Run the named suites, or all, and return the exit code."""
    passed = failed = 0
    for name in names or list(SUITES):
        suite_passed, suite_failed = SUITES[name]()
        print(f'{name}: {suite_passed} passed, {suite_failed} failed')
        passed += suite_passed
        failed += suite_failed
    if KNOWN_RED.exists():
        print(KNOWN_RED.read_text())
    print(f'tests: {passed} passed, {failed} failed', flush=True)
    return 0 if failed == 0 else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
