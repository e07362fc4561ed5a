"""Decide when to look at which worker, and what silence means."""

from dataclasses import replace
from typing import Final

from primroseledge.ids import Boot
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import SendLook
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.ends import lose_all_runs
from primroseledge.jobs.ends import take_look
from primroseledge.jobs.fleetstate import FleetState
from primroseledge.jobs.orders import send_wanted_stops
from primroseledge.jobs.worker import Worker
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.jobs.worker import WorkerState
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

END_PAUSE_S: Final = 0.08
"""Time between an answered look and the next at a worker in use."""


def take_entries(
    state: FleetState, entries: list[WorkerEntry], now: float
) -> None:
    """Take in the platform's whole list of workers."""
    listed = {entry.id for entry in entries}
    for entry in entries:
        take_entry(state, entry, now)
    for worker in list(state.workers.values()):
        if worker.id not in listed:
            if worker.is_listed:
                log_worker(replace(worker.entry, state=WorkerState.GONE))
            worker.is_listed = False
            if not worker.tasks and not worker.is_looking:
                del state.workers[worker.id]


def take_entry(state: FleetState, entry: WorkerEntry, now: float) -> None:
    """Take in one line of the list of workers."""
    if entry.boot <= state.ended_workers.get(entry.id, Boot(0)):
        return
    worker = state.workers.get(entry.id)
    if worker is None:
        state.workers[entry.id] = Worker(entry)
        log_worker(entry)
        state.to_plan.add(entry.service)
        return
    if entry.boot < worker.entry.boot:
        return
    if entry.boot > worker.entry.boot:
        reset_worker(state, worker, entry, now)
    if worker.entry.state is not entry.state or not worker.is_listed:
        log_worker(entry)
        state.to_plan.add(entry.service)
    worker.entry = entry
    worker.is_listed = True


def log_worker(entry: WorkerEntry) -> None:
    """Log that a worker came or changed."""
    log(
        Event.WORKER_CHANGED,
        worker=entry.id,
        service=entry.service,
        address=entry.address,
        state=entry.state.value,
        boot=entry.boot,
    )


def reset_worker(
    state: FleetState, worker: Worker, entry: WorkerEntry, now: float
) -> None:
    """Begin anew with a worker that has started again."""
    lose_all_runs(state, worker, 'the worker started again', now)
    fresh = Worker(entry)
    fresh.is_looking = False
    fresh.is_draining = worker.is_draining
    state.workers[entry.id] = fresh


def take_look_answer(
    state: FleetState, look: LookAnswered, now: float
) -> None:
    """Take in an answered look."""
    worker = state.workers.get(look.worker)
    if worker is None or worker.entry.boot != look.boot:
        return
    worker.is_looking = False
    worker.looked_at = now
    if worker.look_failures:
        log(
            Event.WORKER_ANSWERS,
            worker=worker.id,
            failures=worker.look_failures,
        )
    worker.look_failures = 0
    worker.silent_until = 0.0
    worker.told_end = max(worker.told_end, look.stored_end)
    worker.clock.read(look.clock_ms, look.received_at)
    if not worker.was_looked_at:
        worker.was_looked_at = True
        state.to_plan.add(worker.entry.service)
    take_look(state, look, now)


def take_look_failure(
    state: FleetState, failure: LookFailed, now: float
) -> None:
    """Take in a look that gave no list."""
    worker = state.workers.get(failure.worker)
    if worker is None or worker.entry.boot != failure.boot:
        return
    worker.is_looking = False
    worker.looked_at = now
    worker.look_failures += 1
    if worker.look_failures == 1:
        log(
            Event.WORKER_SILENT,
            worker=worker.id,
            result=failure.result.value,
        )
    if failure.result is OrderResult.OTHER_BOOT:
        lose_all_runs(state, worker, 'another boot answered', now)
        worker.is_listed = False


def look_at_workers(state: FleetState, now: float) -> None:
    """Send the looks and stops that are due."""
    for worker in list(state.workers.values()):
        give_up_silent(state, worker, now)
        if worker.tasks:
            send_wanted_stops(state, worker, now)
        if not worker.is_looking and is_look_due(state, worker, now):
            send_look(state, worker, now)


def give_up_silent(state: FleetState, worker: Worker, now: float) -> None:
    """Give up the runs of a silent worker once its lease is over."""
    is_unseen = worker.entry.state is WorkerState.GONE
    if not worker.tasks or not (worker.look_failures or is_unseen):
        return
    over_at = max(worker.clock.lapses_at(), worker.silent_until)
    if now > over_at:
        lose_all_runs(state, worker, 'its lease is over', now)


def is_look_due(state: FleetState, worker: Worker, now: float) -> bool:
    """Tell whether to look at a worker now."""
    if worker.entry.state is WorkerState.GONE or not worker.entry.address:
        return False
    timing = state.timing
    if worker.look_failures:
        wanted = worker.is_listed or bool(worker.tasks)
        pause_s = timing.look_retry_s * min(worker.look_failures, 4)
        return wanted and now >= worker.looked_at + pause_s
    if not worker.was_looked_at:
        return is_in_use(state, worker)
    if not worker.tasks and worker.stored_end <= worker.told_end:
        return False
    if worker.seen_end > worker.stored_end:
        # Its ends are being stored; asking now would list them again.
        return now >= worker.looked_at + timing.look_retry_s
    # Ends that come close together are listed by one look.
    return now >= worker.looked_at + END_PAUSE_S


def is_in_use(state: FleetState, worker: Worker) -> bool:
    """Tell whether a worker's pool is switched on, or it may run tasks."""
    service = state.configuration.services.get(worker.entry.service)
    return bool(worker.tasks) or (
        service is not None and not service.is_standby
    )


def send_look(state: FleetState, worker: Worker, now: float) -> None:
    """Look at a worker; wait for an end if none is being stored."""
    deadline_ms = None
    if not worker.look_failures:
        # A look at a silent worker must not put off the time when its
        # runs are over for certain.
        deadline_ms = worker.clock.deadline_after(state.timing.lease_s, now)
    if deadline_ms is not None:
        worker.clock.extend(deadline_ms)
    waits = (
        bool(worker.tasks)
        and worker.was_looked_at
        and not worker.look_failures
        and worker.seen_end == worker.stored_end
    )
    worker.is_looking = True
    state.actions.append(
        SendLook(
            target_of(worker),
            deadline_ms,
            worker.stored_end,
            state.timing.look_wait_s if waits else 0.0,
        )
    )
