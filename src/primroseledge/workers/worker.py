"""A worker in the owner's memory: capacity, lease and tasks."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import inf
from typing import Final

from primroseledge.ids import Boot
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.workers.quarantine import Quarantine

MAX_CLOCK_DRIFT: Final = 0.02
"""Largest fraction by which a worker's clock may run slow.

The platform's protocol states it.
"""

LEASE_EXPIRY_MARGIN_S: Final = 0.05
"""Time in s added to the end of a lease, as a worker's timer may fire late."""


class WorkerState(Enum):
    """The state of a worker in the platform's list of workers.

    A worker that the list does not contain is ``GONE``.
    """

    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class StartObstacle(Enum):
    """Why no tasks start on a worker; see ``Worker.start_obstacle``."""

    UNLISTED = 'unlisted'
    NOT_READY = 'not ready'
    EVACUATED = 'in an evacuated zone'
    DRAINED = 'drained by the owner'
    UNPOLLED = 'not polled yet'
    COOLDOWN = 'in cooldown'
    QUARANTINE = 'in quarantine'
    ISOLATION = 'kept to a task under which workers crashed'
    UNRESPONSIVE = 'unresponsive'


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """An entry of the platform's list of workers.

    The list lags behind the actual state of the workers. ``remaining_s`` is
    the least time in s for which a draining worker keeps running. An entry
    with a larger ``revision`` was written later.
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
    revision: Revision = Revision(0)


@dataclass(slots=True)
class LeaseClock:
    """A worker's clock and the end of the lease of its runs.

    ``clock_ms`` is the newest reading of the worker's clock; it is None
    until the first answer. ``clock_read_at`` is when it arrived, on this
    instance's clock. ``deadline_ms`` is the latest end of the lease that was
    ever sent, on the worker's clock.
    """

    clock_ms: int | None = None
    clock_read_at: float = 0.0
    deadline_ms: int = 0

    def record_clock(self, clock_ms: int, received_at: float) -> None:
        """Record a clock reading, unless a newer one is known."""
        if self.clock_ms is None or clock_ms > self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = received_at

    def deadline_after(self, lease_s: float, now: float) -> int | None:
        """Return when a lease that begins now ends, on the worker's clock.

        The result is in ms. For the time since the last reading, the worker's
        clock is assumed to be as slow as ``MAX_CLOCK_DRIFT`` allows. Returns
        None if the clock was never read.
        """
        if self.clock_ms is None:
            return None
        elapsed_ms = (now - self.clock_read_at) * (1 - MAX_CLOCK_DRIFT) * 1000
        return int(self.clock_ms + elapsed_ms + lease_s * 1000)

    def record_deadline(self, deadline_ms: int) -> None:
        """Record the end of a lease, in ms, that is about to be sent."""
        self.deadline_ms = max(self.deadline_ms, deadline_ms)

    def expires_at(self) -> float:
        """Return when the lease has certainly ended, on this instance's clock.

        The worker's clock is assumed to be as slow as ``MAX_CLOCK_DRIFT``
        allows. Returns 0 if it was never read.
        """
        if self.clock_ms is None:
            return 0.0
        remaining_s = (self.deadline_ms - self.clock_ms) / 1000
        return (
            self.clock_read_at + max(0.0, remaining_s) / (1 - MAX_CLOCK_DRIFT)
        ) + LEASE_EXPIRY_MARGIN_S


@dataclass(slots=True, eq=False)
class Worker:
    """A worker and the tasks that may be running on it.

    Of its tasks, ``long_running_count`` are long-running,
    ``best_effort_count`` are best-effort tasks and ``objective_count`` have a
    response-time objective. ``isolated_tasks`` are the keys of those beside
    which no other may start. ``unexpected_capacity`` is what other runs use
    that the worker has listed, until they have been stopped.
    The worker numbers the ends of runs. ``handled_end_number`` is the number
    of the last end that was handled, ``stored_end_number`` that of the last
    one whose effect is stored, and ``acked_end_number`` that of the last one
    acknowledged by an answered poll. The worker may delete the ends that are
    acknowledged. ``predecessor_runs_expire_at`` is when the runs that a
    previous owner started have ended even if the worker does not answer; an
    answered poll resets it, as the worker then refuses that owner. Until
    ``lease_unknown_until`` runs may hold a longer lease than this owner gave
    them, as calls meant for the worker's last boot may have extended it; an
    answer does not shorten that.
    ``has_answered_poll`` means that the worker has answered a poll,
    ``last_poll_ended_at`` is when the last poll was answered or failed, and
    ``poll_failures`` counts the failed polls since the last answer, and
    ``last_poll_failed_at`` is when the last one failed. ``silent_since`` is
    when the first of them failed, and ``has_closed_connection`` whether the
    worker's address refused or broke off a connection since then.
    ``is_lease_unrenewed`` means that the last answered poll followed failed
    ones and renewed no lease.
    ``has_only_acked`` means that the last answered poll acknowledged ends and
    listed no new ones, so that the next poll follows at once. No task
    is started on the worker before ``cooldown_until`` or while
    ``is_drained_by_owner``, which is set when the owner empties the worker
    for a maintenance or a move, or while ``is_zone_evacuated``. The latter is
    set by ``FleetState.update_zone_flag``; the worker itself may be ready.
    ``removal_sent_at`` is when a call that ends this boot was last sent.
    ``last_boot`` is the boot before this one, None if it is not known.
    ``is_boot_unlisted`` means that this boot is known from an answer to a poll
    alone: the list of workers has not shown it yet.
    """

    entry: WorkerEntry
    lease_clock: LeaseClock = field(default_factory=LeaseClock)
    tasks: dict[object, Task] = field(default_factory=dict)
    used_capacity: Resources = NO_RESOURCES
    unexpected_capacity: Resources = NO_RESOURCES
    long_running_count: int = 0
    best_effort_count: int = 0
    objective_count: int = 0
    isolated_tasks: set[object] = field(default_factory=set)
    handled_end_number: int = 0
    stored_end_number: int = 0
    acked_end_number: int = 0
    is_listed: bool = True
    is_poll_in_flight: bool = False
    has_answered_poll: bool = False
    last_poll_ended_at: float = 0.0
    has_only_acked: bool = False
    poll_failures: int = 0
    last_poll_failed_at: float = -inf
    silent_since: float | None = None
    has_closed_connection: bool = False
    is_lease_unrenewed: bool = False
    predecessor_runs_expire_at: float = 0.0
    lease_unknown_until: float = 0.0
    cooldown_until: float = 0.0
    is_drained_by_owner: bool = False
    removal_sent_at: float = -inf
    is_zone_evacuated: bool = False
    last_boot: Boot | None = None
    is_boot_unlisted: bool = False
    quarantine: Quarantine = field(default_factory=Quarantine)

    @property
    def id(self) -> WorkerId:
        """Return the id of the worker."""
        return self.entry.id

    @property
    def rack(self) -> str:
        """Return the worker's rack, the second of its labels, or ''."""
        labels = self.entry.labels
        return labels[1] if len(labels) > 1 else ''

    @property
    def free_capacity(self) -> Resources:
        """Return the part of the capacity that no task uses.

        Components are negative where the capacity has shrunk.
        """
        return self.entry.capacity.minus(self.occupied_capacity)

    @property
    def occupied_capacity(self) -> Resources:
        """Return what tasks and unexpected runs use of the capacity."""
        if self.unexpected_capacity is NO_RESOURCES:
            return self.used_capacity
        return self.used_capacity.plus(self.unexpected_capacity)

    @property
    def is_removable(self) -> bool:
        """Return whether the worker may end without losing work or results.

        Nothing may be running on it, and the effects of all ends that it has
        listed must be stored: a new owner learns of them from nobody else.
        """
        return (
            not self.tasks
            and self.handled_end_number <= self.stored_end_number
        )

    def has_capacity_for(self, resources: Resources) -> bool:
        """Return whether resources fit in the free capacity."""
        capacity = self.entry.capacity
        used = self.occupied_capacity
        return (
            used.cpu_millis + resources.cpu_millis <= capacity.cpu_millis
            and used.memory_mb + resources.memory_mb <= capacity.memory_mb
            and used.accelerators + resources.accelerators
            <= capacity.accelerators
        )

    def has_room_to_start(self, task: Task) -> bool:
        """Return whether a planned task still fits when its start is sent.

        The capacity may have shrunk since. Tasks whose start was not sent
        yet are not counted: the same is checked for each of them.
        """
        used = self.occupied_capacity
        if used.fits_in(self.entry.capacity):
            return True
        for other in self.tasks.values():
            is_planned = other.run and other.run.phase is RunPhase.PLANNED
            if is_planned and other is not task:
                used = used.minus(other.spec.counted_resources)
        return used.fits_in(self.entry.capacity)

    def may_start_tasks(self, now: float) -> bool:
        """Return whether new tasks may start on the worker."""
        return self.start_obstacle(now) is None

    def start_obstacle(self, now: float) -> StartObstacle | None:
        """Return why no new tasks may start on the worker, None if they may.

        The worker must be listed and ready, have answered the last poll,
        and be neither in an evacuated zone, draining, in cooldown nor in
        quarantine. It must not be kept to a task that runs alone.
        """
        if not self.is_listed:
            return StartObstacle.UNLISTED
        if self.entry.state is not WorkerState.READY:
            return StartObstacle.NOT_READY
        if self.is_zone_evacuated:
            return StartObstacle.EVACUATED
        if self.is_drained_by_owner:
            return StartObstacle.DRAINED
        if not self.has_answered_poll or self.lease_clock.clock_ms is None:
            return StartObstacle.UNPOLLED
        if now < self.cooldown_until:
            return StartObstacle.COOLDOWN
        if self.quarantine.is_active(now):
            return StartObstacle.QUARANTINE
        if self.poll_failures:
            return StartObstacle.UNRESPONSIVE
        if self.isolated_tasks:
            return StartObstacle.ISOLATION
        return None

    def add_task(self, task: Task) -> None:
        """Add a task that is planned or may be running, and its resources."""
        self.tasks[task.key] = task
        if task.needs_isolation:
            self.isolated_tasks.add(task.key)
        self.used_capacity = self.used_capacity.plus(
            task.spec.counted_resources
        )
        self.count_kinds(task, 1)

    def remove_task(self, task: Task) -> None:
        """Remove a task and its resources, if it was added before."""
        self.isolated_tasks.discard(task.key)
        if self.tasks.pop(task.key, None) is not None:
            self.used_capacity = self.used_capacity.minus(
                task.spec.counted_resources
            )
            self.count_kinds(task, -1)

    def count_kinds(self, task: Task, change: int) -> None:
        """Add ``change`` to the counts of the kinds that a task belongs to."""
        spec = task.spec
        self.long_running_count += change * spec.is_long_running
        self.best_effort_count += change * spec.is_best_effort
        self.objective_count += change * bool(spec.target_ms)
