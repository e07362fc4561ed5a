"""A load with stragglers, played with and without copies.

Guards against copies that come too late to help, or that delay other jobs.
"""

from contextlib import contextmanager
import unittest

from bench.job_fleet import JobFleet
from bench.job_outcome import Outcome
from bench.job_stragglers import straggler_shape
from bench.jobs import POLICIES

SEED = 3


def play(policy: str) -> Outcome:
    with contextmanager(POLICIES[policy])():
        return JobFleet(straggler_shape(), SEED).play()


class CopyLoadTest(unittest.TestCase):
    def test_no_job_that_allows_copies_fails_by_a_straggler(self) -> None:
        """A copy ends within 3 times the median, a job is lost after 4.8."""
        without, with_copies = play('no copies'), play('product')
        copied = without.copied_jobs()
        self.assertGreater(without.failed_share(copied), 0.0)
        self.assertEqual(0.0, with_copies.failed_share(copied))
        all_jobs = without.submissions
        self.assertGreaterEqual(
            with_copies.share_in_time(all_jobs),
            without.share_in_time(all_jobs),
        )


if __name__ == '__main__':
    unittest.main()
