"""Tests an upgrade, and the way back, on real processes with work under way.

Guards against a record, a message between entry instances or a setting that
one build writes and the other one misreads: a task that runs twice, a job that
is lost, or an instance that ends.
"""

from pathlib import Path
import subprocess
import sys
from tempfile import TemporaryDirectory
from typing import Final
import unittest

from msgspec import json

from standins.builds import PRESENT

LAST_LANDING: Final = '92d12e6'
"""The revision that runs as an upgrade to this build begins."""

SECONDS: Final = '20'
SEED: Final = '5'


class UpgradeTest(unittest.TestCase):
    def play(self, *builds: str) -> str:
        """Run a soak in which the builds replace each other in turn."""
        with TemporaryDirectory() as folder:
            result = subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'standins.job_soak',
                    f'--seconds={SECONDS}',
                    f'--seed={SEED}',
                    f'--builds={",".join(builds)}',
                    f'--keep={folder}',
                ],
                cwd=Path(__file__).parents[1],
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                check=False,
            )
        self.assertEqual(0, result.returncode, result.stdout)
        return result.stdout

    def test_no_rule_breaks_while_builds_replace_each_other(self) -> None:
        output = self.play(LAST_LANDING, PRESENT, LAST_LANDING)
        counts = json.decode(output.splitlines()[-1])
        replaced = [len(names) for names in counts['replaced'].values()]
        self.assertEqual([3, 3], replaced)
        self.assertGreater(counts['runs'], 100)


if __name__ == '__main__':
    unittest.main()
