"""Apply the platform's list of workers, and the restarts of workers."""

from dataclasses import replace

from primroseledge.dispatch.run_losses import lose_run
from primroseledge.dispatch.run_losses import record_worker_end
from primroseledge.dispatch.silent_losses import forget_silent_losses
from primroseledge.dispatch.silent_losses import settle_silent_loss
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState


def apply_worker_entries(
    state: FleetState,
    entries: list[WorkerEntry],
    now: float,
    listed_at: float,
) -> None:
    """Apply the platform's complete list of workers.

    ``listed_at`` is when the read of the list began.
    A worker that is missing from it gets no new tasks. It is removed once
    no run may be running on it and no poll of it is in flight.
    """
    state.workers_listed_at = listed_at
    forget_silent_losses(state, now)
    listed = {entry.id for entry in entries}
    for entry in entries:
        apply_worker_entry(state, entry, now)
    for worker in list(state.workers.values()):
        if worker.id not in listed:
            if worker.is_listed:
                log_worker(replace(worker.entry, state=WorkerState.GONE))
            worker.is_listed = False
            if not worker.tasks and not worker.is_poll_in_flight:
                del state.workers[worker.id]


def apply_worker_entry(
    state: FleetState, entry: WorkerEntry, now: float
) -> None:
    """Apply one entry of the list of workers.

    An entry of an ended boot is ignored, as the list lags behind.
    """
    if entry.boot == state.ended_boots.get(entry.id):
        return
    worker = state.workers.get(entry.id)
    if worker is None:
        # An earlier boot may have left ends; the new one counts from 1.
        state.unstored_ends.pop(entry.id, None)
        state.workers[entry.id] = Worker(entry)
        state.update_zone_flag(state.workers[entry.id])
        state.workers_to_check.add(entry.id)
        log_worker(entry)
        settle_silent_loss(state, entry.address, entry.boot, now)
        state.services_to_plan.add(entry.service)
        return
    if entry.boot != worker.entry.boot:
        if not is_next_boot(worker, entry):
            return
        begin_next_boot(state, worker, entry, now)
        worker = state.workers[entry.id]
    if worker.entry.state is not entry.state or not worker.is_listed:
        log_worker(entry)
        state.services_to_plan.add(entry.service)
    worker.entry = entry
    state.update_zone_flag(worker)
    worker.is_listed = True
    worker.is_boot_unlisted = False
    state.workers_to_check.add(worker.id)


def is_next_boot(worker: Worker, entry: WorkerEntry) -> bool:
    """Return whether the boot in an entry is a later one than the worker's.

    A boot writes its entry only while it runs, so an entry with a larger
    revision is that of a later boot. Of a boot that an answer has shown no
    entry may be known yet. The list may then still have an earlier one: while
    the worker has tasks, another answer is to show who is there.
    """
    if not worker.is_boot_unlisted:
        return entry.revision >= worker.entry.revision
    return entry.boot != worker.last_boot and not worker.tasks


def log_worker(entry: WorkerEntry) -> None:
    """Log that a worker was listed, changed its state or is listed no more."""
    log(
        Event.WORKER_CHANGED,
        worker=entry.id,
        service=entry.service,
        address=entry.address,
        state=entry.state.value,
        boot=entry.boot,
    )


def begin_next_boot(
    state: FleetState, worker: Worker, entry: WorkerEntry, now: float
) -> None:
    """Replace the state of a worker that has restarted.

    Orders name a worker by its id, so the next boot may have carried out a
    start that was meant for the ended one. Only runs that are bound to the
    ended boot are over. The others stay until a poll of the next boot shows
    whether it runs them. Of the worker's fields only ``is_drained_by_owner``
    is kept, and which boot ended.
    """
    record_worker_end(state, worker, now)
    settle_silent_loss(state, worker.entry.address, entry.boot, now)
    for task in list(worker.tasks.values()):
        if task.run is not None and task.run.is_bound_to_boot:
            lose_run(state, task, 'the worker restarted', now)
    log_worker(entry)
    state.unstored_ends.pop(worker.id, None)
    next_worker = Worker(entry)
    state.update_zone_flag(next_worker)
    next_worker.is_drained_by_owner = worker.is_drained_by_owner
    next_worker.last_boot = worker.entry.boot
    next_worker.lease_unknown_until = now + state.timing.unknown_lease_s
    state.workers[entry.id] = next_worker
    state.workers_to_check.add(entry.id)
    for task in worker.tasks.values():
        if task.run is not None:
            task.run.expect_in_boot(entry.boot, now)
        next_worker.add_task(task)
