"""The owner's view of the platform's instances and its operations on them."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from math import inf
from typing import Final

from primroseledge.ids import Boot
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.configuration import Configuration
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.pool_reserve import DemandPeak
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker

MAX_LIST_AGE_S: Final = 3.0
"""Largest age in s of the list at the begin of a drain whose call is sent.

A list that is needed is read at least every ``IDLE_LIST_INTERVAL_S``, 2 s, and
a reading takes up to a second.
"""

INITIAL_MOVE_S: Final = 1.5
"""Time in s that a move is taken to need before one was measured."""

MOVE_TIME_WEIGHT: Final = 0.1
"""Weight of the last move in the smoothed time that moves take."""


class OperationState(Enum):
    """The state of an instance's maintenance or move.

    ``DRAINING`` until nothing runs on the instance, ``CALL_SENT`` until the
    call to the platform has succeeded, and ``AWAITING_RETURN`` until the list
    shows the instance back, as a rule with a new worker, or until the worker
    that was drained proves to be alive.
    """

    DRAINING = 'draining'
    CALL_SENT = 'called'
    AWAITING_RETURN = 'away'


@dataclass(slots=True)
class Operation:
    """A maintenance or a move of an instance that is in progress.

    A maintenance has a ``wave_number``, a move a ``target_pool``. ``worker``
    is the worker that is drained and ends with it. ``started_at`` is when
    the drain began; it is reset when a drain begins again and when a move's
    call is first sent, but not when a maintenance call is first sent. So the
    timeout of a move's call counts from the call, and that of a maintenance
    call from the drain. ``call_sent_at`` is when the call was last sent,
    ``boot`` that of the worker at that time if it was known, and
    ``answered_at`` is when the call succeeded. While ``is_call_in_flight``
    the call is not answered, and neither repeated nor given up. Times are on
    the monotonic clock.
    """

    instance: InstanceId
    worker: WorkerId | None
    wave_number: WaveNumber | None
    target_pool: ServiceId | None = None
    state: OperationState = OperationState.DRAINING
    started_at: float = 0.0
    call_sent_at: float = 0.0
    boot: Boot | None = None
    is_call_in_flight: bool = False
    answered_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Absence:
    """Instances of a wave that the list does not show, and since when.

    ``noticed_at`` is a time on the monotonic clock. The list that was known
    then may be older than the wave, so that it proves nothing.
    """

    instances: frozenset[InstanceId]
    noticed_at: float


@dataclass(slots=True)
class InstanceList:
    """The owner's copy of the platform's list, with its operations and waves.

    This is the state of the fleet's owner about all instances, not the task
    service's answer (``storage.task_service_client.InstanceList``).

    ``listed_at`` is when the call that read ``rows`` was sent. While that is
    not after ``newer_list_needed_since``, a list is needed soon. Before
    ``may_change_instances_from`` no instance may be moved or taken down.
    ``calls_in_flight`` counts maintenance and move calls. ``dirty_waves`` are
    those whose record is to be stored, and ``wave_absences`` has the instances
    of waves that the list lacks. ``pools_observed_since`` is when pools
    were first sized, and ``pools_sized_at`` when they last were; 0 if never.
    ``desired_size_history`` holds times and desired sizes, in workers.
    ``demand_peaks`` are the largest of them. ``below_reserve_since`` is since
    when a pool that meets its demand has been below its reserve.
    ``move_s`` is how long moves to another pool lately took, in seconds, from
    the answer to the call until the list showed their end.
    ``shortfalls`` is how many instances each pool still lacks, because none
    was free. ``refused_moves`` are not tried again.
    Times are on the monotonic clock.
    """

    rows: dict[InstanceId, InstanceRow] = field(default_factory=dict)
    operations: dict[InstanceId, Operation] = field(default_factory=dict)
    waves: dict[WaveNumber, Wave] = field(default_factory=dict)
    wave_records: dict[WaveNumber, WaveRecord] = field(default_factory=dict)
    dirty_waves: dict[WaveNumber, None] = field(default_factory=dict)
    wave_absences: dict[WaveNumber, Absence] = field(default_factory=dict)
    listed_at: float = 0.0
    newer_list_needed_since: float = -inf
    is_list_in_flight: bool = False
    list_requested_at: float = 0.0
    may_change_instances_from: float = 0.0
    calls_in_flight: int = 0
    pools_sized_at: float = 0.0
    pools_observed_since: float = 0.0
    desired_size_history: dict[ServiceId, list[tuple[float, int]]] = field(
        default_factory=dict
    )
    demand_peaks: dict[ServiceId, DemandPeak] = field(default_factory=dict)
    below_reserve_since: dict[ServiceId, float] = field(default_factory=dict)
    move_s: float = INITIAL_MOVE_S
    shortfalls: dict[ServiceId, int] = field(default_factory=dict)
    refused_moves: set[tuple[InstanceId, ServiceId]] = field(
        default_factory=set
    )

    def may_change_instances(self, now: float) -> bool:
        """Return whether instances may be moved or taken down.

        A new owner first waits until its predecessor's calls must have
        ended, and then for a list that shows their effect.
        """
        return (
            now >= self.may_change_instances_from
            and self.listed_at >= self.may_change_instances_from
        )

    def was_list_recent(self, operation: Operation) -> bool:
        """Return whether the rows were recent as an operation's drain began.

        An older list may show a worker that another one has replaced since.
        That one is not drained, and the operation's call would end its tasks.
        """
        return self.listed_at > operation.started_at - MAX_LIST_AGE_S

    def confirm_gone(
        self, wave: Wave, absent: frozenset[InstanceId], now: float
    ) -> bool:
        """Return whether the instances that a wave lacks are certainly gone.

        ``absent`` are those that the present rows do not show. They are gone
        if a list that was requested after their absence was noticed does not
        show them either. The first call with them notices it, and has the list
        read again.
        """
        if not absent:
            return True
        absence = self.wave_absences.get(wave.number)
        if absence is None or absence.instances != absent:
            self.wave_absences[wave.number] = Absence(absent, now)
            self.newer_list_needed_since = now
            return False
        return self.listed_at > absence.noticed_at

    def count_in_maintenance(self, wave: Wave) -> int:
        """Count a wave's instances that are in maintenance or about to be.

        Those that an earlier owner took down count by their listed state, as
        this owner has no operation for them.
        """
        in_maintenance = {
            operation.instance
            for operation in self.operations.values()
            if operation.wave_number == wave.number
        }
        in_maintenance.update(
            instance
            for instance in wave.instances
            if instance in self.rows
            and self.rows[instance].state is InstanceState.IN_MAINTENANCE
        )
        return len(in_maintenance)

    def apply_list(self, listed: InstancesListed) -> None:
        """Replace the rows by a newer list."""
        self.is_list_in_flight = False
        self.listed_at = listed.sent_at
        self.rows = {row.id: row for row in listed.rows}

    def record_move(self, operation: Operation) -> None:
        """Record how long a move took; the rows show that it is over.

        It counts from the answer to its call to the request of the list.
        """
        took_s = self.listed_at - operation.answered_at
        self.move_s += MOVE_TIME_WEIGHT * (took_s - self.move_s)

    def has_returned(
        self, operation: Operation, configuration: Configuration
    ) -> bool:
        """Return whether the rows show that an operation is over.

        They must be of a list that was requested after the call's answer. A
        moved instance is back when it is up in the target pool. One in
        maintenance is back when it is up with a new worker, or without one if
        it had none before or is in a standby pool by now. An instance that is
        no longer listed counts as returned, so that its operation ends.
        """
        row = self.rows.get(operation.instance)
        if row is None:
            return True
        if row.state is not InstanceState.UP:
            return False
        if operation.target_pool is not None:
            return row.pool == operation.target_pool
        if row.worker is not None:
            return row.worker != operation.worker
        # An instance of a standby pool is off and has no worker.
        service = configuration.services.get(row.pool)
        is_off = service is not None and service.is_standby
        return is_off or operation.worker is None

    def shows_same_worker(self, operation: Operation) -> bool:
        """Return whether an instance is up with the worker that was drained.

        The platform also answers a call with success if it carried it out
        before. The worker that it shows then is the one that came up after
        that, or it has restarted with the same id.
        """
        row = self.rows.get(operation.instance)
        return (
            row is not None
            and row.state is InstanceState.UP
            and row.worker is not None
            and row.worker == operation.worker
        )

    def find_worker(
        self, state: FleetState, instance: InstanceId
    ) -> Worker | None:
        """Return an instance's present worker, if it is known."""
        row = self.rows.get(instance)
        if row is None or row.worker is None:
            return None
        return state.workers.get(row.worker)
