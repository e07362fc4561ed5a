"""Tests of the comparison of two ways, on made journal entries.

They guard against a verdict on differences that are chance, and against pairs
of different days, seeds or deployments.
"""

from pathlib import Path
from random import Random
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from msgspec import json

from tools.compare_plays import compare
from tools.compare_plays import Comparison
from tools.compare_plays import read_plays

SEEDS = range(12)


def make_day(seed: int, worth: float, failed: float) -> dict[str, Any]:
    """Return a day of an entry, as the bench writes it."""
    return {
        'G': worth,
        'name': 'scale-1',
        'seed': seed,
        'served': 0.9,
        'refused': 0.0,
        'failed': failed,
        'parts': [['whole day', 0.6, 0.9], ['worst windows', 0.25, 0.4]],
        'prices': [['machines moved', 841.0, 0.03], ['probes', 3.0, 0.01]],
    }


class CompareTest(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    def write(self, why: str, *days: dict[str, Any], site: str = 'a') -> None:
        """Write a journal entry."""
        number = len(list(self.folder.iterdir()))
        entry = {'why': why, 'site': site, 'days': days}
        path = self.folder / f'{number:04}.json'
        path.write_bytes(json.encode(entry))

    def compare(self) -> dict[str, Comparison]:
        """Compare the way 'old' with 'new'."""
        plays = [read_plays([self.folder], why) for why in ('old', 'new')]
        return {row.figure: row for row in compare(*plays)}

    def test_a_known_difference_is_found(self) -> None:
        random = Random(1)
        for seed in SEEDS:
            chance = random.gauss(0.0, 0.1)
            self.write('old', make_day(seed, 0.5 + chance, 0.04))
            gain = 0.05 + random.gauss(0.0, 0.01)
            self.write('new', make_day(seed, 0.5 + chance + gain, 0.01))
        rows = self.compare()
        self.assertEqual('better', rows['worth'].verdict)
        self.assertLess(rows['worth'].low, 0.05)
        self.assertGreater(rows['worth'].high, 0.05)
        self.assertAlmostEqual(-0.03, rows['failed'].mean)
        self.assertEqual('better', rows['failed'].verdict)
        self.assertEqual('-', rows['served'].verdict)
        self.assertAlmostEqual(0.04, rows['prices'].after)

    def test_chance_gets_no_verdict(self) -> None:
        random = Random(2)
        for seed in SEEDS:
            for why in ('old', 'new'):
                worth = random.gauss(0.5, 0.05)
                self.write(why, make_day(seed, worth, 0.0))
        self.assertEqual('-', self.compare()['worth'].verdict)

    def test_only_plays_of_the_same_day_and_seed_are_paired(self) -> None:
        self.write('old', make_day(1, 0.5, 0.0), make_day(2, 0.1, 0.0))
        self.write('new', make_day(1, 0.6, 0.0), make_day(3, 0.9, 0.0))
        self.write('new', make_day(2, 0.9, 0.0), site='b')
        row = self.compare()['worth']
        self.assertAlmostEqual(0.1, row.mean)
        self.assertEqual(1, row.worst.seed)

    def test_the_worst_pair_is_named(self) -> None:
        for seed in SEEDS:
            self.write('old', make_day(seed, 0.5, 0.01))
            failed = 0.2 if seed == 7 else 0.0
            self.write('new', make_day(seed, 0.5, failed))
        self.assertEqual(7, self.compare()['failed'].worst.seed)

    def test_there_is_nothing_to_compare_without_pairs(self) -> None:
        self.write('old', make_day(1, 0.5, 0.0))
        self.assertEqual({}, self.compare())


if __name__ == '__main__':
    unittest.main()
