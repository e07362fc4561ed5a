"""Decide when to look at which worker, and what silence means."""

from dataclasses import replace
from typing import Final

from primroseledge.ids import Boot
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import PollAnswered
from primroseledge.jobs.actions import PollFailed
from primroseledge.jobs.actions import SendPoll
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.ends import apply_poll_lists
from primroseledge.jobs.ends import lose_all_runs
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.worker import Worker
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.jobs.worker import WorkerState
from primroseledge.jobs.worker_orders import send_requested_stops
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

POLL_INTERVAL_S: Final = 0.08
"""Time between an answered look and the next at a worker in use."""


def apply_worker_entries(
    state: FleetState, entries: list[WorkerEntry], now: float
) -> None:
    """Take in the platform's whole list of workers."""
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
    """Take in one line of the list of workers."""
    if entry.boot <= state.ended_workers.get(entry.id, Boot(0)):
        return
    worker = state.workers.get(entry.id)
    if worker is None:
        state.workers[entry.id] = Worker(entry)
        log_worker(entry)
        state.services_to_plan.add(entry.service)
        return
    if entry.boot < worker.entry.boot:
        return
    if entry.boot > worker.entry.boot:
        reset_worker(state, worker, entry, now)
    if worker.entry.state is not entry.state or not worker.is_listed:
        log_worker(entry)
        state.services_to_plan.add(entry.service)
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
    fresh.is_poll_in_flight = False
    fresh.is_draining = worker.is_draining
    state.workers[entry.id] = fresh


def handle_poll_answer(
    state: FleetState, answer: PollAnswered, now: float
) -> None:
    """Take in an answered look."""
    worker = state.workers.get(answer.worker)
    if worker is None or worker.entry.boot != answer.boot:
        return
    worker.is_poll_in_flight = False
    worker.polled_at = now
    if worker.poll_failures:
        log(
            Event.WORKER_ANSWERS,
            worker=worker.id,
            failures=worker.poll_failures,
        )
    worker.poll_failures = 0
    worker.predecessor_runs_expire_at = 0.0
    worker.acked_end_number = max(
        worker.acked_end_number, answer.acked_end_number
    )
    worker.clock.record_clock(answer.clock_ms, answer.received_at)
    if not worker.was_polled:
        worker.was_polled = True
        state.services_to_plan.add(worker.entry.service)
    apply_poll_lists(state, answer, now)


def handle_poll_failure(
    state: FleetState, failure: PollFailed, now: float
) -> None:
    """Take in a look that gave no list."""
    worker = state.workers.get(failure.worker)
    if worker is None or worker.entry.boot != failure.boot:
        return
    worker.is_poll_in_flight = False
    worker.polled_at = now
    worker.poll_failures += 1
    if worker.poll_failures == 1:
        log(
            Event.WORKER_SILENT,
            worker=worker.id,
            result=failure.result.value,
        )
    if failure.result is OrderResult.OTHER_BOOT:
        lose_all_runs(state, worker, 'another boot answered', now)
        worker.is_listed = False


def poll_workers(state: FleetState, now: float) -> None:
    """Send the looks and stops that are due."""
    for worker in list(state.workers.values()):
        expire_unresponsive_worker(state, worker, now)
        if worker.tasks:
            send_requested_stops(state, worker, now)
        if not worker.is_poll_in_flight and is_poll_due(state, worker, now):
            send_poll(state, worker, now)


def expire_unresponsive_worker(
    state: FleetState, worker: Worker, now: float
) -> None:
    """Give up the runs of a silent worker once its lease is over."""
    is_unseen = worker.entry.state is WorkerState.GONE
    if not worker.tasks or not (worker.poll_failures or is_unseen):
        return
    over_at = max(worker.clock.expires_at(), worker.predecessor_runs_expire_at)
    if now > over_at:
        lose_all_runs(state, worker, 'its lease is over', now)


def is_poll_due(state: FleetState, worker: Worker, now: float) -> bool:
    """Tell whether to look at a worker now."""
    if worker.entry.state is WorkerState.GONE or not worker.entry.address:
        return False
    timing = state.timing
    if worker.poll_failures:
        wanted = worker.is_listed or bool(worker.tasks)
        pause_s = timing.poll_retry_s * min(worker.poll_failures, 4)
        return wanted and now >= worker.polled_at + pause_s
    if not worker.was_polled:
        return is_in_use(state, worker)
    if (
        not worker.tasks
        and worker.stored_end_number <= worker.acked_end_number
    ):
        return False
    if worker.handled_end_number > worker.stored_end_number:
        # Its ends are being stored; asking now would list them again.
        return now >= worker.polled_at + timing.poll_retry_s
    # Ends that come close together are listed by one look.
    return now >= worker.polled_at + POLL_INTERVAL_S


def is_in_use(state: FleetState, worker: Worker) -> bool:
    """Tell whether a worker's pool is switched on, or it may run tasks."""
    service = state.configuration.services.get(worker.entry.service)
    return bool(worker.tasks) or (
        service is not None and not service.is_standby
    )


def send_poll(state: FleetState, worker: Worker, now: float) -> None:
    """Look at a worker; wait for an end if none is being stored."""
    deadline_ms = None
    if not worker.poll_failures:
        # A look at a silent worker must not put off the time when its
        # runs are over for certain.
        deadline_ms = worker.clock.deadline_after(state.timing.lease_s, now)
    if deadline_ms is not None:
        worker.clock.record_deadline(deadline_ms)
    waits = (
        bool(worker.tasks)
        and worker.was_polled
        and not worker.poll_failures
        and worker.handled_end_number == worker.stored_end_number
    )
    worker.is_poll_in_flight = True
    state.actions.append(
        SendPoll(
            target_of(worker),
            deadline_ms,
            worker.stored_end_number,
            state.timing.poll_wait_s if waits else 0.0,
        )
    )
