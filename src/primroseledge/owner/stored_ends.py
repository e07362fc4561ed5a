"""Which run ends workers may discard, as their effects are stored."""

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.owner.batch import Batch
from primroseledge.scheduling.fleet_state import FleetState


def ack_ends(state: FleetState, batch: Batch) -> None:
    """Let workers discard the ends that are stored with a batch."""
    for (worker_id, boot), number in batch.end_numbers.items():
        worker = state.workers.get(worker_id)
        if worker is None or worker.entry.boot != boot:
            continue
        if worker.handled_end_number >= number:
            worker.stored_end_number = max(worker.stored_end_number, number)
            state.workers_to_check.add(worker_id)


def pop_stored_ends(state: FleetState) -> dict[tuple[WorkerId, Boot], int]:
    """Return the last end of each worker's boot that is stored with a batch.

    To be called when the batch is built. An end is stored with it if neither
    its own job nor that of an earlier end of the worker is left to store, and
    if none of these jobs' ends are held.
    """
    stored = dict[tuple[WorkerId, Boot], int]()
    for worker_id, ends in list(state.unstored_ends.items()):
        worker = state.workers.get(worker_id)
        while ends and is_effect_final(state, ends[0].job):
            number = ends.popleft().number
            if worker is not None:
                stored[worker_id, worker.entry.boot] = number
        if not ends:
            del state.unstored_ends[worker_id]
    return stored


def is_effect_final(state: FleetState, job: JobId) -> bool:
    """Return whether ends of a job may be acknowledged once it is stored.

    They may not while the job's record is still to be put into a batch, or
    while a start of a task that is done may be delivered.
    """
    return job not in state.dirty_jobs and not state.are_ends_held(job)


def ack_all_ends(state: FleetState) -> None:
    """Mark handled run ends as stored, so that workers may discard them.

    To be called when no record is changed and no batch in flight: all
    effects of the ends are stored then, and some ends had none. Only ends
    that are held are left.
    """
    for (worker_id, _), number in pop_stored_ends(state).items():
        worker = state.workers.get(worker_id)
        if worker is not None:
            worker.stored_end_number = number
            state.workers_to_check.add(worker_id)
