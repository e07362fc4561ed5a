"""A worker as the owner knows it: room, lease, runs and ends."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from primroseledge.ids import Boot
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.resources import NOTHING
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.suspicion import Conduct
from primroseledge.jobs.task import Task

CLOCK_SLOWNESS: Final = 0.02
"""How much slower than time a worker's clock may run; from PROTOCOL."""

LAPSE_SLACK_S: Final = 0.05
"""Added to the end of a lease for the worker's own timers."""


class WorkerState(Enum):
    """What the list of workers says of one."""

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """A line of the platform's list of workers; the list lags.

    ``remaining_s`` is how long a draining worker stays at least.
    """

    id: WorkerId
    boot: Boot
    service: ServiceId
    address: str
    zone: ZoneId
    state: WorkerState
    capacity: Resources
    labels: tuple[str, ...]
    remaining_s: float | None = None


@dataclass(slots=True)
class LeaseClock:
    """Relates a worker's clock to ours and knows when its lease ends.

    ``deadline_ms`` is the latest end of the lease that was ever sent,
    on the worker's clock. Until the first answer nothing is known.
    """

    read_ms: int | None = None
    read_at: float = 0.0
    deadline_ms: int = 0

    def read(self, clock_ms: int, received_at: float) -> None:
        """Take the worker's clock from an answer."""
        if self.read_ms is None or clock_ms > self.read_ms:
            self.read_ms = clock_ms
            self.read_at = received_at

    def deadline_after(self, lease_s: float, now: float) -> int | None:
        """Return the worker's time when a lease from now on ends."""
        if self.read_ms is None:
            return None
        passed_ms = (now - self.read_at) * (1 - CLOCK_SLOWNESS) * 1000
        return int(self.read_ms + passed_ms + lease_s * 1000)

    def extend(self, deadline_ms: int) -> None:
        """Note that this deadline is being sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def lapses_at(self) -> float:
        """Return when the lease has ended for certain, on our clock."""
        if self.read_ms is None:
            return 0.0
        left_s = (self.deadline_ms - self.read_ms) / 1000
        return (
            self.read_at + max(0.0, left_s) / (1 - CLOCK_SLOWNESS)
        ) + LAPSE_SLACK_S


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and what may be running on it.

    ``seen_end`` is the number of the last end that was taken in and
    ``stored_end`` of the last whose effect is stored, which the worker
    may forget. ``silent_until`` is until when runs of a predecessor may
    be running there although it doesn't answer.
    """

    entry: WorkerEntry
    clock: LeaseClock = field(default_factory=LeaseClock)
    tasks: dict[object, Task] = field(default_factory=dict)
    used: Resources = NOTHING
    seen_end: int = 0
    stored_end: int = 0
    told_end: int = 0
    is_listed: bool = True
    is_looking: bool = False
    was_looked_at: bool = False
    looked_at: float = 0.0
    look_failures: int = 0
    silent_until: float = 0.0
    shuns_until: float = 0.0
    is_draining: bool = False
    conduct: Conduct = field(default_factory=Conduct)

    @property
    def id(self) -> WorkerId:
        """Return its id."""
        return self.entry.id

    @property
    def rack(self) -> str:
        """Return its rack, the second of its labels."""
        labels = self.entry.labels
        return labels[1] if len(labels) > 1 else ''

    @property
    def free(self) -> Resources:
        """Return the room that is left."""
        return self.entry.capacity.minus(self.used)

    def takes_starts(self, now: float) -> bool:
        """Tell whether a task may be placed on it."""
        return (
            self.is_listed
            and self.entry.state is WorkerState.READY
            and not self.is_draining
            and self.was_looked_at
            and self.clock.read_ms is not None
            and now >= self.shuns_until
            and not self.conduct.is_suspected(now)
            and not self.look_failures
        )

    def add(self, task: Task) -> None:
        """Count a task that may be running."""
        self.tasks[task.key] = task
        self.used = self.used.plus(task.step.counted)

    def remove(self, task: Task) -> None:
        """Stop counting a task."""
        if self.tasks.pop(task.key, None) is not None:
            self.used = self.used.minus(task.step.counted)
