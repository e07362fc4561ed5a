"""Tests of the list of tests that are known to fail.

They guard against a list that hides another failure, or outlives its fault.
"""

import unittest

from tools.known_red import find_malformed_entries
from tools.known_red import judge_unit_run
from tools.known_red import read_known_red

HELD = 'tests.test_a.ATest.test_held'
OTHER = 'tests.test_a.ATest.test_other'
LIST = f"""Tests that fail because of a real fault.

test: {HELD}
command: python -m unittest {HELD}
seen: the loop waits for ever
issue: 30
"""


def output(*failed: str, total: int = 10, errors: int = 0) -> str:
    headers = ''.join(
        f'FAIL: {name.rpartition(".")[2]} ({name})\ntext\n' for name in failed
    )
    counts = f'failures={len(failed)}'
    if errors:
        counts += f', errors={errors}'
    verdict = f'FAILED ({counts})' if failed or errors else 'OK'
    return f'{headers}Ran {total} tests in 1.0s\n\n{verdict}\n'


class KnownRedTest(unittest.TestCase):
    def test_entries_are_read(self) -> None:
        self.assertEqual([HELD], read_known_red(LIST))
        self.assertEqual([], read_known_red(''))

    def test_an_entry_without_the_name_of_a_test_is_found(self) -> None:
        other = 'tests.test_a.ATest (one test)\n  command: python\n'
        self.assertEqual([], find_malformed_entries(LIST))
        self.assertEqual(
            ['tests.test_a.ATest (one test)'],
            find_malformed_entries(f'{LIST}\n{other}'),
        )
        self.assertEqual(1, len(find_malformed_entries(other)))

    def test_a_listed_failure_is_not_counted(self) -> None:
        result = judge_unit_run(output(HELD), 1, [HELD])
        self.assertEqual((9, 0), (result.passed, result.failed))
        self.assertEqual((HELD,), result.known)

    def test_another_failure_beside_it_counts(self) -> None:
        result = judge_unit_run(output(HELD, OTHER), 1, [HELD])
        self.assertEqual((8, 1), (result.passed, result.failed))

    def test_an_error_without_a_name_counts(self) -> None:
        result = judge_unit_run(output(HELD, errors=1), 1, [HELD])
        self.assertEqual(1, result.failed)

    def test_a_listed_test_that_passes_counts_as_failed(self) -> None:
        result = judge_unit_run(output(), 0, [HELD])
        self.assertEqual((9, 1), (result.passed, result.failed))
        self.assertEqual((HELD,), result.stale)

    def test_each_subtest_of_a_listed_test_is_expected(self) -> None:
        header = f'ERROR: test_held ({HELD}) (x=1)\ntext\n'
        text = header + header + 'Ran 10 tests in 1s\n\nFAILED (errors=2)\n'
        result = judge_unit_run(text, 1, [HELD])
        self.assertEqual((9, 0), (result.passed, result.failed))

    def test_a_name_that_only_begins_alike_counts(self) -> None:
        result = judge_unit_run(output(f'{HELD}_too'), 1, [HELD])
        self.assertEqual(2, result.failed)

    def test_a_run_that_broke_off_counts_as_failed(self) -> None:
        result = judge_unit_run('Segmentation fault', -11, [])
        self.assertEqual((0, 1), (result.passed, result.failed))

    def test_without_a_list_every_failure_counts(self) -> None:
        result = judge_unit_run(output(HELD, OTHER), 1, [])
        self.assertEqual((8, 2), (result.passed, result.failed))


if __name__ == '__main__':
    unittest.main()
