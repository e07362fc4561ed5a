"""The page of proofs names only what exists, and every condition."""

from pathlib import Path
import re
from unittest import TestCase

from standins.soak_events import EVENTS
from standins.soak_judge import CONDITIONS

PAGE = Path('docs/PROOF.md').read_text()
ROWS = 10
FAILURES = 11


class ProofPageTest(TestCase):
    def test_named_tests_exist(self) -> None:
        names = set(re.findall(r'tests\.(test_\w+)', PAGE))
        self.assertTrue(names)
        missing = {n for n in names if not Path(f'tests/{n}.py').exists()}
        self.assertEqual(missing, set())

    def test_named_features_exist(self) -> None:
        names = set(re.findall(r'`(\w+\.feature)`', PAGE))
        self.assertTrue(names)
        missing = {n for n in names if not Path(f'features/{n}').exists()}
        self.assertEqual(missing, set())

    def test_named_events_exist(self) -> None:
        names = set(
            re.findall(r'`((?:store|slow|lost|pause|kill|fail)_\w+)`', PAGE)
        )
        self.assertLessEqual(names, set(EVENTS))

    def test_each_row_fills_each_column(self) -> None:
        for title, count in (
            ('## What must always hold', ROWS),
            ('## What fails', FAILURES),
        ):
            section = PAGE.split(title)[1].split('\n## ')[0]
            rows = re.findall(r'^\|.*\|$', section, re.MULTILINE)[2:]
            self.assertEqual(len(rows), count)
            for row in rows:
                cells = [cell.strip() for cell in row.strip('|').split('|')]
                self.assertEqual(len(cells), 6)
                self.assertTrue(all(cells), row)

    def test_soak_judges_each_condition(self) -> None:
        self.assertGreaterEqual(len(CONDITIONS), ROWS)
