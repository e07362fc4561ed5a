"""Test that no job stands still with room once messages arrive again.

The fleet of ``lossy_fleet`` loses messages and workers for a while. Each play
depends on its seed alone, so a failure comes back.
"""

import logging
import unittest

from tests.lossy_fleet import LossyFleet

PLAYS = 13


class LossyFleetTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check_plays(self, loss: float, fail_share: float) -> None:
        for seed in range(PLAYS):
            with self.subTest(seed=seed):
                fleet = LossyFleet(seed, loss, fail_share)
                fleet.play()
                self.assertEqual([], fleet.waits)
                self.assertEqual([], fleet.workers.double_runs)
                self.assertEqual([], fleet.unused_workers())
                self.assertEqual([], fleet.old_operations())
                self.assertEqual([], fleet.find_wrong_accounts())

    def test_no_job_waits_after_some_losses(self) -> None:
        self.check_plays(loss=0.08, fail_share=0.05)

    def test_no_job_waits_after_many_losses_and_failures(self) -> None:
        self.check_plays(loss=0.25, fail_share=0.15)


if __name__ == '__main__':
    unittest.main()
