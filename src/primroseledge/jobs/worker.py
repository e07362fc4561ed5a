"""A worker as the owner knows it: room, lease, runs and ends."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from primroseledge.ids import Boot
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.quarantine import Quarantine
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import Task

MAX_CLOCK_DRIFT: Final = 0.02
"""How much slower than time a worker's clock may run; from PROTOCOL."""

LEASE_EXPIRY_MARGIN_S: Final = 0.05
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

    clock_ms: int | None = None
    clock_read_at: float = 0.0
    deadline_ms: int = 0

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Take the worker's clock from an answer."""
        if self.clock_ms is None or clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = received_at

    def deadline_after(self, lease_s: float, now: float) -> int | None:
        """Return the worker's time when a lease from now on ends."""
        if self.clock_ms is None:
            return None
        passed_ms = (now - self.clock_read_at) * (1 - MAX_CLOCK_DRIFT) * 1000
        return int(self.clock_ms + passed_ms + lease_s * 1000)

    def record_deadline(self, deadline_ms: int) -> None:
        """Note that this deadline is being sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def expires_at(self) -> float:
        """Return when the lease has ended for certain, on our clock."""
        if self.clock_ms is None:
            return 0.0
        left_s = (self.deadline_ms - self.clock_ms) / 1000
        return (
            self.clock_read_at + max(0.0, left_s) / (1 - MAX_CLOCK_DRIFT)
        ) + LEASE_EXPIRY_MARGIN_S


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and what may be running on it.

    ``handled_end_number`` is the number of the last end that was taken in and
    ``stored_end_number`` of the last whose effect is stored, which the worker
    may forget. ``predecessor_runs_expire_at`` is until when runs of a
    predecessor may be running there although it doesn't answer.
    """

    entry: WorkerEntry
    clock: LeaseClock = field(default_factory=LeaseClock)
    tasks: dict[object, Task] = field(default_factory=dict)
    used_capacity: Resources = NO_RESOURCES
    handled_end_number: int = 0
    stored_end_number: int = 0
    acked_end_number: int = 0
    is_listed: bool = True
    is_poll_in_flight: bool = False
    was_polled: bool = False
    polled_at: float = 0.0
    poll_failures: int = 0
    predecessor_runs_expire_at: float = 0.0
    cooldown_until: float = 0.0
    is_draining: bool = False
    quarantine: Quarantine = field(default_factory=Quarantine)

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
    def free_capacity(self) -> Resources:
        """Return the room that is left."""
        return self.entry.capacity.minus(self.used_capacity)

    def may_start_tasks(self, now: float) -> bool:
        """Tell whether a task may be placed on it."""
        return (
            self.is_listed
            and self.entry.state is WorkerState.READY
            and not self.is_draining
            and self.was_polled
            and self.clock.clock_ms is not None
            and now >= self.cooldown_until
            and not self.quarantine.is_active(now)
            and not self.poll_failures
        )

    def add_task(self, task: Task) -> None:
        """Count a task that may be running."""
        self.tasks[task.key] = task
        self.used_capacity = self.used_capacity.plus(
            task.spec.counted_resources
        )

    def remove_task(self, task: Task) -> None:
        """Stop counting a task."""
        if self.tasks.pop(task.key, None) is not None:
            self.used_capacity = self.used_capacity.minus(
                task.spec.counted_resources
            )
