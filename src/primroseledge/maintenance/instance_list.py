"""Instances as the owner knows them."""

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.worker import Worker
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveRecord


class OperationState(Enum):
    """How far an instance's upkeep or move has come.

    It is ``DRAINING`` until nothing runs on it, ``CALL_SENT`` until the
    call is answered and ``AWAITING_RETURN`` until a new worker is seen.
    """

    DRAINING = 'draining'
    CALL_SENT = 'called'
    AWAITING_RETURN = 'away'


@dataclass(slots=True)
class Operation:
    """An upkeep under way, which has a wave, or a move, to a pool."""

    instance: InstanceId
    worker: WorkerId | None
    wave: WaveNumber | None
    target_pool: ServiceId | None = None
    state: OperationState = OperationState.DRAINING
    started_at: float = 0.0
    call_sent_at: float = 0.0
    answered_at: float = 0.0


@dataclass(slots=True)
class InstanceList:
    """The platform's list of instances and what is done with them."""

    rows: dict[InstanceId, InstanceRow] = field(default_factory=dict)
    operations: dict[InstanceId, Operation] = field(default_factory=dict)
    waves: dict[WaveNumber, Wave] = field(default_factory=dict)
    wave_records: dict[WaveNumber, WaveRecord] = field(default_factory=dict)
    dirty_waves: dict[WaveNumber, None] = field(default_factory=dict)
    listed_at: float = 0.0
    is_list_in_flight: bool = False
    list_requested_at: float = 0.0
    may_act_from: float = 0.0
    calls_in_flight: int = 0
    pools_sized_at: float = 0.0
    pools_observed_since: float = 0.0
    desired_size_history: dict[ServiceId, list[tuple[float, int]]] = field(
        default_factory=dict
    )
    below_min_since: dict[ServiceId, float] = field(default_factory=dict)
    shortfalls: dict[ServiceId, int] = field(default_factory=dict)
    refused_moves: set[tuple[InstanceId, ServiceId]] = field(
        default_factory=set
    )

    def may_act(self, now: float) -> bool:
        """Tell whether instances may be taken away.

        A successor waits until its predecessor's calls have ended, and
        for a list that shows what they did.
        """
        return now >= self.may_act_from and self.listed_at >= self.may_act_from

    def count_in_maintenance(self, wave: Wave) -> int:
        """Count a wave's instances that are in upkeep or on the way to it.

        Those that a predecessor took down are no operations of ours.
        """
        taken = {
            operation.instance
            for operation in self.operations.values()
            if operation.wave == wave.number
        }
        taken.update(
            instance
            for instance in wave.instances
            if instance in self.rows
            and self.rows[instance].state is InstanceState.IN_MAINTENANCE
        )
        return len(taken)

    def apply_list(self, listed: InstancesListed) -> None:
        """Take in the platform's list."""
        self.is_list_in_flight = False
        self.listed_at = listed.sent_at
        self.rows = {row.id: row for row in listed.rows}
        for operation in list(self.operations.values()):
            if self.has_returned(operation, listed):
                del self.operations[operation.instance]

    def has_returned(
        self, operation: Operation, listed: InstancesListed
    ) -> bool:
        """Tell whether an instance has come back with a new worker."""
        if operation.state is not OperationState.AWAITING_RETURN:
            return False
        if listed.sent_at <= operation.answered_at:
            return False
        row = self.rows.get(operation.instance)
        if row is None:
            return True
        if row.state is not InstanceState.UP:
            return False
        if operation.target_pool is not None:
            return row.pool == operation.target_pool
        # An instance of a standby pool is off and has no worker.
        is_off = row.worker is None and operation.worker is None
        return is_off or row.worker not in (None, operation.worker)

    def worker_of(
        self, state: FleetState, instance: InstanceId
    ) -> Worker | None:
        """Return the worker that is an instance's present life."""
        row = self.rows.get(instance)
        if row is None or row.worker is None:
            return None
        return state.workers.get(row.worker)


def remove_ended_worker(state: FleetState, operation: Operation) -> None:
    """Forget the worker that ended with an upkeep or a move."""
    if operation.worker is None:
        return
    worker = state.workers.get(operation.worker)
    if worker is not None and not worker.tasks:
        del state.workers[worker.id]
        state.ended_workers[worker.id] = worker.entry.boot
