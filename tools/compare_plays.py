"""Compare two ways by plays of the same days and seeds.

Run as ``python -m tools.compare_plays BEFORE AFTER [JOURNAL ...]``. The first
two are texts that the ``why`` of the plays' journal entries begins with, the
others the folders with the entries. Plays of both ways are paired by
deployment, day and seed. Single plays differ by chance, so a verdict is given
only where the bootstrap interval of the mean difference leaves out 0.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from statistics import fmean
import sys
from typing import Any
from typing import Final
from typing import NamedTuple

from msgspec import json
import numpy

CONFIDENCE: Final = 0.95
RESAMPLES: Final = 10_000
RESAMPLING_SEED: Final = 1


class PlayKey(NamedTuple):
    """What two plays have in common that are compared with each other."""

    site: str
    day: str
    seed: int


Figures = dict[str, float]
Plays = dict[PlayKey, list[Figures]]

LOWER_IS_BETTER: Final = frozenset(('refused', 'failed', 'prices'))


@dataclass(frozen=True)
class Comparison:
    """How a figure differs between two ways, over all pairs.

    ``low`` and ``high`` are the bounds of the interval of ``mean``, the mean
    difference; ``worst`` is the pair in which the second way does worst.
    """

    figure: str
    before: float
    after: float
    mean: float
    low: float
    high: float
    worst: PlayKey

    @property
    def verdict(self) -> str:
        """Return whether the second way is better, worse, or neither."""
        if self.low <= 0.0 <= self.high:
            return '-'
        is_better = (self.mean < 0.0) == (self.figure in LOWER_IS_BETTER)
        return 'better' if is_better else 'worse'


def find_figures(day: Mapping[str, Any]) -> Figures:
    """Return the figures of one day of a journal entry."""
    parts = {name: value for name, _, value in day['parts']}
    return {
        'worth': day['G'],
        'served': day['served'],
        'refused': day['refused'],
        'failed': day['failed'],
        'worst windows': parts['worst windows'],
        'worst class': parts.get('worst class', 0.0),
        'prices': sum(price for _, _, price in day['prices']),
    }


def read_plays(folders: Iterable[Path], why: str) -> Plays:
    """Return the plays whose reason begins with a text."""
    plays: Plays = collections.defaultdict(list)
    for folder in folders:
        for path in sorted(folder.glob('*.json')):
            entry = json.decode(path.read_bytes())
            if not (entry.get('why') or '').startswith(why):
                continue
            for day in entry.get('days') or ():
                key = PlayKey(entry['site'], day['name'], day['seed'])
                plays[key].append(find_figures(day))
    return dict(plays)


def mean_of(plays: list[Figures], figure: str) -> float:
    """Return the mean of a figure over the plays of one day and seed."""
    return fmean(play[figure] for play in plays)


def find_interval(differences: list[float]) -> tuple[float, float]:
    """Return the bootstrap interval of the mean of some differences."""
    generator = numpy.random.default_rng(RESAMPLING_SEED)
    values = numpy.array(differences)
    samples = generator.choice(values, (RESAMPLES, len(values)))
    tail = 100 * (1 - CONFIDENCE) / 2
    low, high = numpy.percentile(samples.mean(axis=1), (tail, 100 - tail))
    return float(low), float(high)


def compare(before: Plays, after: Plays) -> list[Comparison]:
    """Compare all figures over the pairs of plays; empty without pairs."""
    keys = sorted(before.keys() & after.keys())
    if not keys:
        return []
    comparisons = list[Comparison]()
    for figure in before[keys[0]][0]:
        old = [mean_of(before[key], figure) for key in keys]
        new = [mean_of(after[key], figure) for key in keys]
        differences = [b - a for a, b in zip(old, new, strict=True)]
        low, high = find_interval(differences)
        sign = -1.0 if figure in LOWER_IS_BETTER else 1.0
        losses = [sign * difference for difference in differences]
        comparisons.append(
            Comparison(
                figure,
                fmean(old),
                fmean(new),
                fmean(differences),
                low,
                high,
                keys[losses.index(min(losses))],
            )
        )
    return comparisons


def main(arguments: list[str]) -> int:
    """Print a row for each figure; return 1 if there are no pairs."""
    before, after, *folders = arguments
    paths = [Path(folder) for folder in folders or ('journal',)]
    plays = read_plays(paths, before), read_plays(paths, after)
    pairs = len(plays[0].keys() & plays[1].keys())
    print(f'{pairs} pairs: {before!r} and {after!r}')
    for row in compare(*plays):
        worst = ' '.join(str(part) for part in row.worst)
        print(
            f'{row.figure:14} {row.before:7.4f} {row.after:7.4f} '
            f'{row.mean:+8.4f} [{row.low:+.4f}, {row.high:+.4f}] '
            f'{row.verdict:7} worst: {worst}'
        )
    return 0 if pairs else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
