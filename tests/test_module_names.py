"""Tests of the check of module sizes and names.

They guard against a check that passes a module which has grown, or a name
that a reader has to take apart.
"""

from pathlib import Path
from tempfile import TemporaryDirectory
import unittest

from tools.module_names import find_growth
from tools.module_names import find_joined_words
from tools.module_names import MAX_LINES


class ModuleNamesTest(unittest.TestCase):
    def test_joined_words_are_found(self) -> None:
        names = ('job_admission', 'log_budget', 'jobbudget')
        found = find_joined_words([Path(f'{name}.py') for name in names])
        self.assertEqual(["'jobbudget' joins 'job' and 'budget'"], found)

    def test_words_that_contain_another_are_accepted(self) -> None:
        names = ('task', 'tasks', 'store', 'storeroom')
        self.assertEqual(
            [], find_joined_words([Path(f'{name}.py') for name in names])
        )

    def test_a_module_that_has_grown_is_found(self) -> None:
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'grown.py'
            path.write_text('\n' * MAX_LINES)
            self.assertEqual([], find_growth([path]))
            path.write_text('\n' * (MAX_LINES + 1))
            self.assertEqual(1, len(find_growth([path])))


if __name__ == '__main__':
    unittest.main()
