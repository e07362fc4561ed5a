"""Poll workers and handle answers, failures and expired leases.

A poll renews the lease of all runs on a worker and returns its lists of
runs and of ends.
"""

from dataclasses import replace
from typing import Final

from primroseledge.dispatch.ends import apply_poll_lists
from primroseledge.dispatch.orders import send_requested_stops
from primroseledge.dispatch.run_losses import lose_all_runs
from primroseledge.dispatch.run_losses import lose_run
from primroseledge.dispatch.run_losses import record_worker_end
from primroseledge.dispatch.silent_losses import record_silent_loss
from primroseledge.dispatch.silent_losses import settle_silent_loss
from primroseledge.dispatch.worker_list import begin_next_boot
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import target_of
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerState

POLL_INTERVAL_S: Final = 0.08
"""Time in s from an answered poll of a worker to the next regular poll.

With this interval, one poll lists several runs that end close together.
"""


UNSTORED_POLL_INTERVAL_S: Final = 0.15
"""Replaces ``POLL_INTERVAL_S`` while a worker has ends that are not stored.

A poll then lists these ends again, without waiting for another one. With a
slow store, polls at the shorter interval would mostly do that.
"""

LEASED_POLL_RETRY_S: Final = 0.1
"""Pause after a failed poll of a worker whose runs may go on, in seconds."""

CHECK_ALL_INTERVAL_S: Final = 0.015
"""Least time between two checks of all workers for polls that are due.

It is shorter than the tick of the loop, so that an idle owner checks all
workers with each tick.
"""


def handle_poll_answer(
    state: FleetState, answer: PollAnswered, now: float
) -> None:
    """Handle the answer to a poll: the worker's clock, runs and ends.

    An answer is ignored if the platform lists another boot by now.
    """
    worker = state.workers.get(answer.worker)
    if worker is None or worker.entry.boot != answer.boot:
        return
    state.workers_to_check.add(worker.id)
    worker.is_poll_in_flight = False
    worker.last_poll_ended_at = now
    if worker.poll_failures:
        log(
            Event.WORKER_ANSWERS,
            worker=worker.id,
            failures=worker.poll_failures,
        )
    worker.is_lease_unrenewed = bool(worker.poll_failures)
    worker.poll_failures = 0
    worker.silent_since = None
    settle_silent_loss(state, worker.entry.address, worker.entry.boot, now)
    worker.has_closed_connection = False
    worker.predecessor_runs_expire_at = 0.0
    worker.acked_end_number = max(
        worker.acked_end_number, answer.acked_end_number
    )
    worker.lease_clock.record_clock(answer.clock_ms, answer.received_at)
    if not worker.has_answered_poll:
        worker.has_answered_poll = True
        state.services_to_plan.add(worker.entry.service)
    apply_poll_lists(state, answer, now)
    worker.has_only_acked = (
        answer.acked_end_number > 0
        and worker.handled_end_number == answer.acked_end_number
    )


def handle_poll_failure(
    state: FleetState, failure: PollFailed, now: float
) -> None:
    """Handle a poll that was refused, not answered or not sent.

    If another boot answered, the worker has restarted: the one that the poll
    was for had registered before it was sent. If another worker did,
    it has the address of this one, all of whose runs are over. In both cases
    the worker gets no tasks until it is listed again.
    """
    worker = state.workers.get(failure.worker)
    if worker is None or worker.entry.boot != failure.boot:
        return
    state.workers_to_check.add(worker.id)
    worker.is_poll_in_flight = False
    worker.last_poll_ended_at = now
    worker.poll_failures += 1
    worker.last_poll_failed_at = now
    worker.has_closed_connection |= failure.was_closed
    if worker.poll_failures == 1:
        worker.silent_since = now
        log(
            Event.WORKER_SILENT,
            worker=worker.id,
            result=failure.result.value,
        )
    if failure.answering_boot:
        entry = replace(worker.entry, boot=failure.answering_boot)
        begin_next_boot(state, worker, entry, now)
        state.workers[worker.id].is_listed = False
        state.workers[worker.id].is_boot_unlisted = True
    elif failure.result is OrderResult.OTHER_BOOT:
        record_worker_end(state, worker, now)
        lose_all_runs(state, worker, 'another has its address', now)
        worker.is_listed = False


def poll_workers(state: FleetState, now: float) -> None:
    """Send the polls and stops that are due.

    The runs of unresponsive workers whose lease has expired are given up
    first.
    """
    for worker in pop_workers_to_check(state, now):
        expire_unresponsive_worker(state, worker, now)
        if worker.tasks:
            send_requested_stops(state, worker, now)
        if not worker.is_poll_in_flight and is_poll_due(state, worker, now):
            send_poll(state, worker, now)


def pop_workers_to_check(state: FleetState, now: float) -> list[Worker]:
    """Return the workers that may be due for a poll or a stop, once.

    Those with an event since the last call are returned at once. As polls
    also become due by time alone, all are returned each
    ``CHECK_ALL_INTERVAL_S``.
    """
    changed = state.workers_to_check
    state.workers_to_check = set()
    if now >= state.workers_checked_at + CHECK_ALL_INTERVAL_S:
        state.workers_checked_at = now
        return list(state.workers.values())
    return [state.workers[id] for id in sorted(changed) if id in state.workers]


def expire_unresponsive_worker(
    state: FleetState, worker: Worker, now: float
) -> None:
    """Give up the runs of an unresponsive worker once its lease expired.

    A worker that is known only from stored runs, and was not listed since
    the takeover, counts as unresponsive.
    """
    is_gone = worker.entry.state is WorkerState.GONE
    if not worker.tasks or not (worker.poll_failures or is_gone):
        return
    expires_at = max(
        worker.lease_clock.expires_at(),
        worker.predecessor_runs_expire_at,
        worker.lease_unknown_until,
    )
    over = [
        task
        for task in worker.tasks.values()
        if now > max(expires_at, unseen_lease_end(state, task))
    ]
    if over:
        record_silent_loss(state, worker, over, now)
    for task in over:
        lose_run(state, task, 'the lease of the worker expired', now)


def unseen_lease_end(state: FleetState, task: Task) -> float:
    """Return until when a boot that was never seen may run a task, or 0.

    A start that no poll has listed may have been carried out by a boot that
    the owner does not know, under the longest lease that a worker grants. So
    may one that a previous owner sent, in a boot that has been seen since.
    """
    run = task.run
    if run is None:
        return 0.0
    if run.is_bound_to_boot or run.sent_at is None:
        return run.lease_unknown_until
    ends_at = run.sent_at + state.timing.unknown_lease_s
    return max(ends_at, run.lease_unknown_until)


def is_poll_due(state: FleetState, worker: Worker, now: float) -> bool:
    """Return whether a worker is to be polled now.

    A worker that has answered after failed polls is polled at once, as these
    did not renew its lease. A worker without tasks is polled until it
    has answered once and a poll has acknowledged all its stored ends. A
    worker of a standby pool gets its first poll only when it has a task.
    """
    if worker.entry.state is WorkerState.GONE or not worker.entry.address:
        return False
    if worker.poll_failures:
        needs_poll = worker.is_listed or bool(worker.tasks)
        retry_delay_s = poll_retry_delay_s(state, worker, now)
        return needs_poll and now >= worker.last_poll_ended_at + retry_delay_s
    if not worker.has_answered_poll:
        return is_in_use(state, worker)
    if worker.tasks and worker.is_lease_unrenewed:
        return True
    if (
        not worker.tasks
        and worker.stored_end_number <= worker.acked_end_number
    ):
        return False
    if worker.handled_end_number > worker.stored_end_number:
        # The effects of its last ends are not stored yet, and a poll now
        # would list these ends again. Other runs may end meanwhile.
        return now >= worker.last_poll_ended_at + UNSTORED_POLL_INTERVAL_S
    if worker.has_only_acked:
        # It waited for no end, as a regular poll does.
        return True
    return now >= worker.last_poll_ended_at + POLL_INTERVAL_S


def poll_retry_delay_s(state: FleetState, worker: Worker, now: float) -> float:
    """Return the pause after a failed poll of a worker, in seconds.

    While its runs may go on, the owner must find out soon that it answers
    again, to renew their lease in time. Otherwise the pauses grow up to
    4 x ``Timing.poll_retry_s``.
    """
    if worker.tasks and now < worker.lease_clock.expires_at():
        return LEASED_POLL_RETRY_S
    return state.timing.poll_retry_s * min(worker.poll_failures, 4)


def is_in_use(state: FleetState, worker: Worker) -> bool:
    """Return whether a worker has tasks or does not belong to a standby pool.

    A worker whose service is not configured is in use only if it has tasks.
    """
    service = state.configuration.services.get(worker.entry.service)
    return bool(worker.tasks) or (
        service is not None and not service.is_standby
    )


def send_poll(state: FleetState, worker: Worker, now: float) -> None:
    """Send a poll to a worker.

    The worker is to delay its answer until a run ends, by at most
    ``Timing.poll_wait_s``, if it has tasks, answered the last poll, the
    effects of all its handled ends are stored and none is acknowledged.
    """
    deadline_ms = None
    if not worker.poll_failures:
        # A poll of an unresponsive worker must not extend its lease, as its
        # runs could be given up only later.
        deadline_ms = worker.lease_clock.deadline_after(
            state.timing.lease_s, now
        )
    if deadline_ms is not None:
        worker.lease_clock.record_deadline(deadline_ms)
    acked_end_number = end_number_to_ack(worker)
    waits_for_end = (
        bool(worker.tasks)
        and worker.has_answered_poll
        and not worker.poll_failures
        and worker.handled_end_number == worker.stored_end_number
        # While it waited, a worker that has restarted would go on to forget
        # the ends of its next boot up to the number.
        and not acked_end_number
    )
    worker.is_poll_in_flight = True
    state.actions.append(
        SendPoll(
            target_of(worker),
            deadline_ms,
            acked_end_number,
            state.timing.poll_wait_s if waits_for_end else 0.0,
        )
    )


def end_number_to_ack(worker: Worker) -> int:
    """Return the number of the last end that a poll acknowledges, 0 for none.

    Only a worker that has just listed ends gets an acknowledgement. Any other
    may have restarted: its ends then count from 1 again, and it would forget
    those that were never listed.
    """
    if worker.poll_failures:
        return 0
    if worker.stored_end_number <= worker.acked_end_number:
        return 0
    return worker.stored_end_number
