"""Says when there was room in a pool, and which spans meet."""

from bisect import bisect_left
from bisect import bisect_right
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final
from typing import NamedTuple

from standins.job_evidence import EvidenceKind
from standins.job_evidence import StepEvidence
from standins.job_evidence import WorkerEvidence
from standins.job_soak_history import History
from standins.job_soak_records import parse_task
from standins.job_soak_records import Span

HALF: Final = 0.5


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What was free, in thousandths of a core, from a time on.

    ``free`` has a row for each ready worker, with its labels.
    """

    at: float
    free: tuple[tuple[int, tuple[str, ...]], ...]
    used: int
    capacity: int

    def has_room(self, step: StepEvidence) -> bool:
        """Tell whether there is room for a task, or a gang, twice over.

        Each task has to fit whole on one worker that has the label.
        """
        fitting = sum(
            max(0, free) // max(1, step.cpu_millis)
            for free, labels in self.free
            if not step.label or step.label in labels
        )
        return fitting >= 2 * (step.count if step.is_gang else 1)

    @property
    def is_half_full(self) -> bool:
        """Tell whether half of the capacity or more is in use."""
        return self.used >= HALF * self.capacity


class Capacity(NamedTuple):
    """What a worker states from a time on, in thousandths of a core."""

    cpu_millis: int


Change = tuple[float, tuple[str, int], int | Capacity | EvidenceKind]
"""A time, a worker's boot, and what changes there."""


class PoolRoom:
    """What was free on the ready workers of a pool, over time."""

    def __init__(self, history: History, pool: str) -> None:
        self.history = history
        self.pool = pool
        self.used: dict[tuple[str, int], int] = {}
        self.capacities: dict[tuple[str, int], int] = {}
        self.away: set[tuple[str, int]] = set()
        self.snapshots: list[Snapshot] = []
        changes = self.find_changes()
        for number, (at, key, change) in enumerate(changes):
            self.apply(key, change)
            is_last = number + 1 == len(changes)
            if is_last or changes[number + 1][0] > at:
                self.snapshots.append(self.take_snapshot(at))
        self.times = [snapshot.at for snapshot in self.snapshots]

    def find_changes(self) -> list[Change]:
        """Return what changes the room, in the order of the times.

        A change is a number of thousandths of a core, a capacity, or what
        befell the worker.
        """
        changes = list[Change]()
        lives = {
            key: life
            for key, life in self.history.lives.items()
            if life.pool == self.pool
        }
        for key, life in lives.items():
            changes.append((life.began_at, key, EvidenceKind.LIFE_BEGAN))
            changes.append((life.ended_at, key, EvidenceKind.LIFE_ENDED))
            for at, cpu_millis in life.capacities:
                changes.append((at, key, Capacity(cpu_millis)))
        for run in self.history.runs:
            key = (run.worker, run.boot)
            if key in lives:
                cpu_millis = find_need(self.history, run.task)
                changes.append((run.began_at, key, cpu_millis))
                changes.append((run.ended_at, key, -cpu_millis))
        changes += self.find_pauses(lives, self.history.lines)
        return sorted(changes, key=lambda change: change[0])

    def find_pauses(
        self,
        lives: Iterable[tuple[str, int]],
        lines: Iterable[WorkerEvidence],
    ) -> list[Change]:
        """Return when workers were not ready though they were up."""
        kinds = (
            EvidenceKind.PAUSED,
            EvidenceKind.RESUMED,
            EvidenceKind.DRAINING,
        )
        known = set(lives)
        return [
            (line.at, (line.worker, line.boot), line.kind)
            for line in lines
            if line.kind in kinds and (line.worker, line.boot) in known
        ]

    def apply(
        self, key: tuple[str, int], change: int | Capacity | EvidenceKind
    ) -> None:
        """Apply one change."""
        if isinstance(change, Capacity):
            self.capacities[key] = change.cpu_millis
        elif isinstance(change, int):
            if key in self.used:
                self.used[key] += change
        elif change is EvidenceKind.LIFE_BEGAN:
            self.used[key] = 0
        elif change is EvidenceKind.LIFE_ENDED:
            self.used.pop(key, None)
        elif change is EvidenceKind.RESUMED:
            self.away.discard(key)
        else:
            self.away.add(key)

    def take_snapshot(self, at: float) -> Snapshot:
        """Return what is free now."""
        ready = {
            k: used for k, used in self.used.items() if k not in self.away
        }
        capacities = {k: self.capacities.get(k, 0) for k in ready}
        return Snapshot(
            at,
            tuple(
                (capacities[key] - used, self.history.lives[key].labels)
                for key, used in ready.items()
            ),
            sum(ready.values()),
            sum(capacities.values()),
        )

    def find_spans(self, span: Span, step: StepEvidence) -> list[Span]:
        """Return the spans within one with room for a step twice over."""
        found = list[Span]()
        first = max(0, bisect_right(self.times, span[0]) - 1)
        since: float | None = None
        for snapshot in self.snapshots[first:]:
            if snapshot.at >= span[1]:
                break
            if snapshot.has_room(step):
                if since is None:
                    since = max(span[0], snapshot.at)
            elif since is not None:
                found.append((since, snapshot.at))
                since = None
        if since is not None:
            found.append((since, span[1]))
        return found

    def is_half_full(self, span: Span) -> bool:
        """Tell whether half was in use at any time before a span's end."""
        first = max(0, bisect_right(self.times, span[0]) - 1)
        last = bisect_left(self.times, span[1])
        return any(s.is_half_full for s in self.snapshots[first:last])


def find_need(history: History, task: str) -> int:
    """Return what a task takes, in thousandths of a core."""
    name = parse_task(task)
    job = None if name is None else history.jobs.get(name.job)
    if name is None or job is None or not job.has_task(name):
        return 0
    return job.evidence.steps[name.step].cpu_millis


def meet(spans: Iterable[Span], others: Sequence[Span]) -> list[Span]:
    """Return the parts that lie in a span of both kinds."""
    return [
        (max(a, c), min(b, d))
        for a, b in spans
        for c, d in others
        if max(a, c) < min(b, d)
    ]


def find_idle(span: Span, busy: Iterable[Span]) -> list[Span]:
    """Return the parts of a span outside all the busy ones."""
    idle = list[Span]()
    since = span[0]
    for began_at, ended_at in sorted(busy):
        if began_at > since:
            idle.append((since, min(began_at, span[1])))
        since = max(since, ended_at)
        if since >= span[1]:
            break
    if since < span[1]:
        idle.append((since, span[1]))
    return [(a, b) for a, b in idle if a < b]
