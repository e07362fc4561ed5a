"""Where jobs are placed, and what to do before a worker is full.

Declared sizes are far off, so a job is placed by an estimate: what its
kind has been seen to use against what it declared, with a margin that
shrinks as evidence grows.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import exp
from math import log
from math import sqrt
from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import RackId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.job import Job
from primroseledge.storage.documents import Instance

PRIOR_DEVIATION: Final = 0.7
PRIOR_WEIGHT: Final = 2.0
MAX_WEIGHT: Final = 50.0
MIN_RATIO: Final = 0.05
CONFIDENCE_DEVIATIONS: Final = 1.0
URGENT_PART: Final = 0.1
THROTTLE_PART: Final = 0.85
MOVE_PART: Final = 0.93
RESTORE_PART: Final = 0.7


@dataclass(slots=True)
class Usage:
    """Log ratio of used to declared memory: mean, square, weight."""

    mean: float = 0.0
    square: float = PRIOR_DEVIATION**2
    weight: float = PRIOR_WEIGHT


@dataclass(slots=True)
class Estimator:
    """Estimates a job's memory from what its kind has used."""

    kinds: dict[str, Usage] = field(default_factory=dict)

    def learn(self, job: Job, peak_mb: float) -> None:
        """Add the peak usage of a task that has ended well."""
        ratio = max(peak_mb / max(job.memory_mb, 1.0), MIN_RATIO)
        usage = self.kinds.setdefault(job.kind, Usage())
        delta = log(ratio) - usage.mean
        part = 1 / (usage.weight + 1)
        usage.mean += delta * part
        usage.square += (delta**2 - usage.square) * part
        usage.weight = min(usage.weight + 1, MAX_WEIGHT)

    def memory_mb(self, job: Job) -> float:
        """Return a size that the job is likely to stay under."""
        usage = self.kinds.get(job.kind, Usage())
        deviation = sqrt(usage.square * (1 + 1 / usage.weight))
        margin = CONFIDENCE_DEVIATIONS * deviation
        return job.memory_mb * exp(usage.mean + margin)


@dataclass(slots=True)
class Worker:
    """A worker with what is promised on it so far."""

    instance: Instance
    cores: float = 0.0
    memory_mb: float = 0.0
    accelerators: int = 0

    def has_room(self, job: Job, memory_mb: float) -> bool:
        """Tell whether a member fits; urgent ones may use the reserve."""
        part = 1.0 if job.is_urgent else 1.0 - URGENT_PART
        instance = self.instance
        return (
            self.cores + job.cores <= instance.cores * part
            and self.memory_mb + memory_mb <= instance.memory_mb * part
            and self.accelerators + job.accelerators <= instance.accelerators
        )

    def add(self, job: Job, memory_mb: float) -> None:
        """Promise room to a member."""
        self.cores += job.cores
        self.memory_mb += memory_mb
        self.accelerators += job.accelerators


def find_impossible(
    job: Job, instances: Iterable[Instance]
) -> Explanation | None:
    """Return why a job would not even fit on an empty fleet."""
    part = 1.0 if job.is_urgent else 1.0 - URGENT_PART
    room = dict[str, int]()
    for instance in instances:
        fits = (
            job.cores <= instance.cores * part
            and job.memory_mb <= instance.memory_mb * part
            and job.accelerators <= instance.accelerators
        )
        if fits:
            count = _members_on(job, instance, part)
            room[instance.rack] = room.get(instance.rack, 0) + count
    if max(room.values(), default=0) >= job.members:
        return None
    numbers = {
        'cores': job.cores,
        'memory_mb': job.memory_mb,
        'accelerators': job.accelerators,
        'members': job.members,
        'best_rack': max(room.values(), default=0),
    }
    return Explanation(job.id, Rule.JOB_TOO_LARGE, numbers)


def _members_on(job: Job, instance: Instance, part: float) -> int:
    counts = [job.members]
    if job.cores:
        counts.append(int(instance.cores * part / job.cores))
    if job.accelerators:
        counts.append(instance.accelerators // job.accelerators)
    if job.memory_mb:
        counts.append(int(instance.memory_mb * part / job.memory_mb))
    return min(counts)


def place(
    job: Job,
    workers: Sequence[Worker],
    memory_mb: float,
    avoided: Set[InstanceId],
) -> tuple[Worker, ...] | Explanation:
    """Choose a worker for each member and promise it the room.

    Members of a gang go to one rack, all or none. Workers in
    ``avoided`` get none. The estimate is capped at what the largest
    worker has, so a wild one delays a job but can't block it.
    """
    by_rack = dict[RackId, list[Worker]]()
    for worker in workers:
        if worker.instance.instance_id not in avoided:
            by_rack.setdefault(worker.instance.rack_id, []).append(worker)
    if job.members == 1:
        by_rack = {RackId(''): [w for r in by_rack.values() for w in r]}
    for rack in sorted(by_rack):
        chosen = _fit(job, by_rack[rack], memory_mb)
        if chosen is not None:
            return chosen
    rule = Rule.JOB_NO_RACK if job.members > 1 else Rule.JOB_NO_ROOM
    numbers = {
        'cores': job.cores,
        'memory_mb': memory_mb,
        'accelerators': job.accelerators,
        'workers': sum(len(rack) for rack in by_rack.values()),
    }
    return Explanation(job.id, rule, numbers)


def _fit(
    job: Job, workers: Sequence[Worker], memory_mb: float
) -> tuple[Worker, ...] | None:
    before = [(w, w.cores, w.memory_mb, w.accelerators) for w in workers]
    chosen = list[Worker]()
    for _ in range(job.members):
        ready = [w for w in workers if w.has_room(job, memory_mb)]
        if not ready:
            for worker, cores, memory, accelerators in before:
                worker.cores, worker.memory_mb = cores, memory
                worker.accelerators = accelerators
            return None
        best = min(ready, key=_free_memory)
        best.add(job, memory_mb)
        chosen.append(best)
    return tuple(chosen)


def _free_memory(worker: Worker) -> tuple[int, float, str]:
    """Order best fit first; keep accelerators free for those who ask."""
    instance = worker.instance
    free = instance.memory_mb - worker.memory_mb
    return (instance.accelerators - worker.accelerators, free, instance.id)


class Relief(Enum):
    """What is done with a task on a worker that fills up."""

    THROTTLE = 'throttle'
    RESTORE = 'restore'
    MOVE = 'move'


@dataclass(frozen=True, slots=True)
class TaskUse:
    """A task's usage as last reported, and how fast it grows."""

    task_id: str
    memory_mb: float
    growth_mb_s: float
    age_s: float
    is_urgent: bool
    is_movable: bool

    def projected_mb(self, ahead_s: float) -> float:
        """Return the usage expected so long from now."""
        growth = max(self.growth_mb_s, 0.0)
        return self.memory_mb + growth * (self.age_s + ahead_s)


def can_restore(
    instance: Instance, uses: Sequence[TaskUse], ahead_s: float
) -> bool:
    """Tell whether throttled tasks may go on at full speed.

    The gap to the throttling limit is hysteresis.
    """
    total = sum(use.projected_mb(ahead_s) for use in uses)
    return total < instance.memory_mb * RESTORE_PART


def relieve(
    instance: Instance, uses: Sequence[TaskUse], ahead_s: float
) -> Mapping[str, Relief]:
    """Return which tasks to throttle or move before memory runs out.

    The fastest-growing task that isn't urgent goes first; it is moved
    when even the next report may come too late. One that is alone on
    its worker is only throttled: it would need as much elsewhere.
    """
    total = sum(use.projected_mb(ahead_s) for use in uses)
    reliefs = dict[str, Relief]()
    order = sorted(
        (use for use in uses if not use.is_urgent),
        key=lambda use: (-use.growth_mb_s, -use.memory_mb, use.task_id),
    )
    for use in order:
        part = total / max(instance.memory_mb, 1)
        if part < THROTTLE_PART:
            break
        is_last = part >= MOVE_PART and use.is_movable and len(uses) > 1
        reliefs[use.task_id] = Relief.MOVE if is_last else Relief.THROTTLE
        present = use.memory_mb if not is_last else 0.0
        total -= use.projected_mb(ahead_s) - present
    return reliefs
