"""Measures how cost grows with size, and fits a line to it.

A probe returns a cost at one size. It is run at each of its sizes
several times; each run gives one slope by least squares.
"""

from collections.abc import Callable
from collections.abc import Sequence
from gc import collect
from gc import disable
from gc import enable
from statistics import median
from time import perf_counter
from tracemalloc import get_traced_memory
from tracemalloc import start as start_tracing
from tracemalloc import stop as stop_tracing
from typing import Any
from typing import Final

from msgspec import Struct

RUNS: Final = 5
MICROSECONDS: Final = 1_000_000.0

Measure = Callable[[int], float]


class Probe(Struct, frozen=True):
    """What to measure, at which sizes, and in which units."""

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    measure: Measure


class Slope(Struct, frozen=True):
    """A fitted line: ``cost = base + slope * size``.

    ``slope`` and ``base`` are medians over runs, ``low`` and ``high``
    the least and greatest slope of a run. ``costs`` are the median
    costs at the sizes.
    """

    unit: str
    per: str
    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    slope: float
    low: float
    high: float
    base: float

    def at(self, size: float) -> float:
        """Return the cost at a size."""
        return self.base + self.slope * size


PROBES: Final[dict[str, Probe]] = {}


def probe(
    unit: str, per: str, sizes: Sequence[int]
) -> Callable[[Measure], Measure]:
    """Register a function as a probe under its own name."""

    def register(measure: Measure) -> Measure:
        name = measure.__name__
        PROBES[name] = Probe(name, unit, per, tuple(sizes), measure)
        return measure

    return register


def measure_slope(item: Probe, runs: int = RUNS) -> Slope:
    """Run a probe at all its sizes and fit a line to each run."""
    costs = [[item.measure(size) for size in item.sizes] for _ in range(runs)]
    fits = [fit(item.sizes, run) for run in costs]
    slopes = [slope for slope, _ in fits]
    return Slope(
        unit=item.unit,
        per=item.per,
        sizes=item.sizes,
        costs=tuple(
            round(median(run[number] for run in costs), 3)
            for number in range(len(item.sizes))
        ),
        slope=round(median(slopes), 5),
        low=round(min(slopes), 5),
        high=round(max(slopes), 5),
        base=round(median(base for _, base in fits), 3),
    )


def fit(sizes: Sequence[int], costs: Sequence[float]) -> tuple[float, float]:
    """Return slope and intercept of a line by least squares."""
    mean_size = sum(sizes) / len(sizes)
    mean_cost = sum(costs) / len(costs)
    spread = sum((size - mean_size) ** 2 for size in sizes)
    slope = (
        sum(
            (size - mean_size) * (cost - mean_cost)
            for size, cost in zip(sizes, costs, strict=True)
        )
        / spread
    )
    return slope, mean_cost - slope * mean_size


def time_us(action: Callable[[], Any], repeats: int) -> float:
    """Return the median time of an action in microseconds."""
    times = []
    collect()
    disable()
    try:
        for _ in range(repeats):
            began_at = perf_counter()
            action()
            times.append(perf_counter() - began_at)
    finally:
        enable()
    return median(times) * MICROSECONDS


def allocated_bytes(build: Callable[[], Any]) -> float:
    """Return how many bytes what ``build`` returns keeps allocated."""
    collect()
    start_tracing()
    before, _ = get_traced_memory()
    kept = build()
    collect()
    after, _ = get_traced_memory()
    stop_tracing()
    del kept
    return float(after - before)
