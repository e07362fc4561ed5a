"""A played load with a store that takes 0.24 s for each transaction.

Guards against jobs that wait for a place in a batch, or for the batch before
theirs, while workers are free.
"""

from contextlib import contextmanager
import unittest

from bench.job_fleet import JobFleet
from bench.job_load import slow_store_shape
from bench.job_outcome import Outcome
from bench.jobs import POLICIES


def play(policy: str) -> Outcome:
    """Play the load with one policy."""
    with contextmanager(POLICIES[policy])():
        return JobFleet(slow_store_shape(), seed=1).play()


class SlowStoreLoadTest(unittest.TestCase):
    def test_callers_get_more_than_with_other_ways_to_store(self) -> None:
        product = play('product')
        single = play('one batch at a time')
        small = play('small batches, one at a time')
        in_time = [
            outcome.share_in_time(outcome.submissions)
            for outcome in (product, single, small)
        ]
        self.assertGreater(in_time[0], in_time[1])
        self.assertGreater(in_time[1], in_time[2])
        self.assertLess(product.failed_share(), 0.01)
        self.assertGreater(small.failed_share(), product.failed_share())


if __name__ == '__main__':
    unittest.main()
