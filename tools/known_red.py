"""Tests that are known to fail, and what a run of the tests makes of them.

KNOWN-RED.txt has one entry for each, separated by blank lines. An entry
begins with ``test: dotted.name.of.test``; command, what was seen and the
issue follow.
"""

from collections.abc import Collection
from dataclasses import dataclass
import re
from typing import Final

TEST_PREFIX: Final = 'test: '

COMMAND_LINE: Final = re.compile(r'^\s*command:', re.MULTILINE)

FAILED_TEST: Final = re.compile(
    r'^(?:FAIL|ERROR|UNEXPECTED SUCCESS): \S+ \(([\w.]+)\)', re.MULTILINE
)
"""Header of a failure in the output of unittest; subtests repeat it."""

COUNTED_FAILURES: Final = re.compile(
    r'(?:failures|errors|unexpected successes)=(\d+)'
)


def read_known_red(text: str) -> list[str]:
    """Return the names of the tests that the text of KNOWN-RED.txt lists."""
    return [
        line.removeprefix(TEST_PREFIX).strip()
        for line in text.splitlines()
        if line.startswith(TEST_PREFIX)
    ]


def find_malformed_entries(text: str) -> list[str]:
    """Return the first line of each entry that names no test.

    Its test would count as a failure that nobody listed.
    """
    paragraphs = text.strip().split('\n\n')
    return [
        paragraph.splitlines()[0]
        for paragraph in paragraphs
        if COMMAND_LINE.search(paragraph)
        and not paragraph.startswith(TEST_PREFIX)
    ]


@dataclass(frozen=True, slots=True)
class UnitResult:
    """What a run of the unit tests amounts to.

    ``known`` are the listed tests that failed, as expected, and ``stale``
    the listed ones that did not fail, or did not run: each counts as failed.
    """

    passed: int
    failed: int
    known: tuple[str, ...]
    stale: tuple[str, ...]


def judge_unit_run(
    output: str, exit_code: int, listed: Collection[str]
) -> UnitResult:
    """Return what the output of a run of unittest amounts to.

    Failures of listed tests are not counted; every other one is. A run that
    ends with an error and names no failure counts as one failure.
    """
    ran = re.search(r'^Ran (\d+) tests?', output, re.MULTILINE)
    total = int(ran.group(1)) if ran else 0
    failures = sum(int(n) for n in COUNTED_FAILURES.findall(output))
    names = FAILED_TEST.findall(output)
    expected = sum(1 for name in names if name in listed)
    known = tuple(name for name in listed if name in names)
    stale = tuple(name for name in listed if name not in names)
    failed = max(failures - expected, 0) + len(stale)
    if exit_code != 0 and failures == 0:
        failed += 1
    passed = max(total - len(known) - failed, 0)
    return UnitResult(passed, failed, known, stale)
