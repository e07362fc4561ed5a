"""What becomes of the workers that operations on instances drain and end."""

from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker


def apply_instance_list(
    state: FleetState, instances: InstanceList, listed: InstancesListed
) -> None:
    """Apply a newer list, and end the operations that it shows to be over.

    The worker that ended with a call is removed. If the list still shows it
    on its instance, it is polled instead: its answer shows that the call has
    ended nothing, see ``keep_living_worker``.
    """
    instances.apply_list(listed)
    for operation in list(instances.operations.values()):
        if (
            operation.state is not OperationState.AWAITING_RETURN
            or instances.listed_at <= operation.answered_at
        ):
            continue
        if instances.shows_same_worker(operation):
            poll_drained_worker(state, operation)
            continue
        remove_ended_worker(state, operation)
        if instances.has_returned(operation, state.configuration):
            if operation.target_pool is not None:
                instances.record_move(operation)
            del instances.operations[operation.instance]


def record_call(state: FleetState, operation: Operation, now: float) -> None:
    """Record that an operation's call is sent, and which boot it may end."""
    operation.state = OperationState.CALL_SENT
    operation.call_sent_at = now
    operation.is_call_in_flight = True
    worker = find_drained_worker(state, operation)
    operation.boot = worker.entry.boot if worker is not None else None
    if worker is not None:
        worker.removal_sent_at = now


def poll_drained_worker(state: FleetState, operation: Operation) -> None:
    """Have the worker of an operation polled until it answers."""
    worker = find_drained_worker(state, operation)
    if worker is not None:
        worker.is_drained_by_owner = True
        worker.has_answered_poll = False
        state.workers_to_check.add(worker.id)


def keep_living_worker(
    state: FleetState, instances: InstanceList, answer: PollAnswered
) -> None:
    """End a drained worker's operation if the worker outlived its call.

    A worker that answers a poll which was sent after the call's success was
    not ended by it. It gets tasks again.
    """
    worker = state.workers.get(answer.worker)
    if worker is None or not worker.is_drained_by_owner:
        return
    if worker.entry.boot != answer.boot:
        return
    for operation in list(instances.operations.values()):
        if (
            operation.worker == worker.id
            and operation.state is OperationState.AWAITING_RETURN
            and answer.sent_at > operation.answered_at
        ):
            del instances.operations[operation.instance]
            worker.is_drained_by_owner = False
            state.services_to_plan.add(worker.entry.service)


def find_drained_worker(
    state: FleetState, operation: Operation
) -> Worker | None:
    """Return the worker that an operation drains, if it is known."""
    if operation.worker is None:
        return None
    return state.workers.get(operation.worker)


def release_worker(state: FleetState, operation: Operation) -> None:
    """Make the worker of a cancelled operation available for tasks again.

    A call that was sent may have ended the worker, even without an answer. It
    then gets tasks only after it has answered another poll.
    """
    worker = find_drained_worker(state, operation)
    if worker is None:
        return
    worker.is_drained_by_owner = False
    if operation.call_sent_at:
        worker.has_answered_poll = False
        state.workers_to_check.add(worker.id)
    state.services_to_plan.add(worker.entry.service)


def remove_ended_worker(state: FleetState, operation: Operation) -> None:
    """Remove the worker that ended with a maintenance or a move.

    It is recorded as ended, because the list of workers may show it for a
    while yet. A worker that still has tasks is kept, as is one that has
    restarted since the call.
    """
    worker = find_drained_worker(state, operation)
    if worker is None or worker.entry.boot != operation.boot:
        return
    if not worker.tasks:
        del state.workers[worker.id]
        state.ended_boots[worker.id] = worker.entry.boot
