"""Verdicts on a soak of the job path, and how they are shown."""

import collections
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final

from standins.job_soak_history import History
from standins.job_soak_records import Run

EXAMPLES: Final = 5


@dataclass(slots=True)
class Verdict:
    """How often a condition was tested and broken, with examples.

    A case is excused if the rule allows for it, as near a fault.
    """

    tested: int = 0
    broken: int = 0
    excused: int = 0
    examples: list[str] = field(default_factory=list)
    counts: collections.Counter[str] = field(
        default_factory=lambda: collections.Counter[str]()
    )

    def check(
        self, has_held: bool, example: str, is_excused: bool = False
    ) -> None:
        """Count one test."""
        self.tested += 1
        if has_held:
            return
        if is_excused:
            self.excused += 1
            if self.excused <= EXAMPLES:
                self.examples.append(f'excused: {example}')
            return
        self.broken += 1
        if self.broken <= EXAMPLES:
            self.examples.append(example)


Condition = Callable[[History, Verdict], None]
CONDITIONS: dict[str, Condition] = {}


def condition(text: str) -> Callable[[Condition], Condition]:
    """Register the test of a condition."""

    def register(function: Condition) -> Condition:
        CONDITIONS[text] = function
        return function

    return register


def render(verdicts: dict[str, Verdict]) -> list[str]:
    """Return lines for people, one for each condition and example."""
    lines = list[str]()
    for text, verdict in verdicts.items():
        line = f'{text}: tested {verdict.tested}, broken {verdict.broken}'
        if verdict.excused:
            line += f', excused {verdict.excused}'
        lines.append(line)
        lines += [f'    {example}' for example in verdict.examples]
        lines += [
            f'    {count} x {cause}'
            for cause, count in sorted(verdict.counts.items())
        ]
    return lines


def describe_run(history: History, run: Run, origin: float) -> str:
    """Return a run's worker and times, with their gaps to ``origin``."""

    def timed(text: str, at: float | None) -> str:
        if at is None or at == inf:
            return f'{text} never'
        return f'{text} {history.at(at)} ({at - origin:+.3f})'

    life = history.lives.get((run.worker, run.boot))
    parts = [
        f'run {run.number} on {run.worker} boot {run.boot} epoch {run.epoch}',
        timed('started', run.began_at),
        timed('stop ordered', run.stopped_at),
        timed(f'ended {run.how}'.strip(), run.ended_at),
        timed('acknowledged', run.acked_at),
        timed('its life began', None if life is None else life.began_at),
    ]
    return ', '.join(parts)


def describe_pair(history: History, first: Run, second: Run) -> str:
    """Return the times of two runs of a task, as gaps to the first."""
    origin = first.began_at
    return (
        f'{first.task}: {describe_run(history, first, origin)}; '
        f'{describe_run(history, second, origin)}'
    )
