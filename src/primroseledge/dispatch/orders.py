"""Send starts and stops of runs to workers and handle the answers.

A start that was not answered may have been carried out. Such a run is
resolved by a later poll of the worker or by the end of its lease.
"""

from typing import Final

from primroseledge.dispatch.ends import find_task
from primroseledge.dispatch.job_ends import record_failed_attempt
from primroseledge.dispatch.run_durations import record_begin
from primroseledge.dispatch.run_durations import record_job_begin
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import Target
from primroseledge.scheduling.actions import target_of
from primroseledge.scheduling.advice import StepKey
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.start_checks import find_start_problem
from primroseledge.scheduling.start_checks import withdraw_start
from primroseledge.workers.worker import Worker

MAX_START_SENDS: Final = 3
"""Largest number of times that an unanswered start is sent.

After that, a run that the next poll does not list is stopped.
"""

MAX_STOP_DURATION_S: Final = 1.5
"""Time in s that a run may take to end after an acknowledged stop.

If a poll still lists the run after that, the stop is sent again.
"""

START_COOLDOWN_S: Final = 1.0
"""Time in s without new starts on a worker after it refused one."""


def send_start(state: FleetState, task: Task, now: float) -> None:
    """Send the start of a task's run, which must be stored already.

    Nothing is sent and the run is removed if its stop was requested in the
    meantime, if its worker's zone is evacuated or its capacity has shrunk, if
    its worker is gone or has restarted, or if the worker's clock is unknown,
    so that the end of the lease cannot be computed.
    """
    run = task.run
    if run is None:
        return
    worker = state.workers.get(run.worker)
    job = state.jobs[task.key.job]
    deadline_ms = None
    if worker is not None and worker.entry.boot == run.boot:
        deadline_ms = start_deadline(state, run, worker, now)
    if run.is_stop_requested:
        state.finish_run(task, now)
        return
    problem = find_start_problem(state, worker, task, now) if worker else ''
    if problem:
        withdraw_start(state, task, problem, now)
        return
    if worker is None or deadline_ms is None:
        state.give_up_run(task, 'the worker left before the start', now)
        return
    worker.lease_clock.record_deadline(deadline_ms)
    run.phase = RunPhase.SENT
    run.send_count += 1
    run.sent_at = now
    log(
        Event.RUN_ORDERED,
        task=task.key.name,
        run=run.number,
        worker=run.worker,
        boot=run.boot,
        deadline_ms=deadline_ms,
        look_age=round(now - worker.last_poll_ended_at, 3),
    )
    state.actions.append(
        SendStart(
            target_of(worker),
            task.key,
            run.number,
            job.accepted.spec.payload,
            task.checkpoint if task.spec.saves_checkpoints else '',
            deadline_ms,
            find_ticket(state, task, worker, now),
        )
    )


def find_ticket(
    state: FleetState, task: Task, worker: Worker, now: float
) -> str:
    """Return the advisory service's ticket for a start.

    It is empty if no valid ticket is cached, as for queues without advice.
    """
    key = StepKey(task.key.job, task.key.occurrence, task.key.step)
    return state.advice.ticket_for(key, worker, now) or ''


def start_deadline(
    state: FleetState, run: Run, worker: Worker, now: float
) -> int | None:
    """Return when the lease of a start ends, on the worker's clock.

    The result is in ms. A start that is sent again does not extend the
    lease: if the worker has failed, its runs could otherwise be given up
    only later. Returns None if the worker's clock is unknown.
    """
    if run.send_count:
        return worker.lease_clock.deadline_ms
    return worker.lease_clock.deadline_after(state.timing.lease_s, now)


def handle_start_answer(
    state: FleetState, answer: OrderEnded, now: float
) -> None:
    """Handle the result of a start, which may be that it was not answered.

    The result is ignored if the task has a newer run, or if a poll has
    listed the run in the meantime. If the worker has restarted since, and the
    start was sent more than once, any answer leaves the run unresolved.
    """
    order = answer.order
    job = state.jobs.get(order.task.job)
    if job is not None and answer.result is OrderResult.DONE:
        record_job_begin(state, job, now)
    task = find_ordered_task(state, order)
    run = task.run if task else None
    if task is None or run is None:
        return
    record_begin(run, answer)
    if run.phase is not RunPhase.SENT:
        return
    worker = state.workers.get(run.worker)
    if answer.result is not OrderResult.DONE:
        log(
            Event.START_FAILED,
            task=task.key.name,
            run=run.number,
            worker=run.worker,
            result=answer.result.value,
        )
    if run.boot != order.target.boot and run.send_count > 1:
        # An earlier send may still be delivered to the worker's next boot.
        run.phase = RunPhase.UNRESOLVED
        run.unresolved_at = now
    elif answer.result is OrderResult.DONE:
        run.phase = RunPhase.RUNNING
        run.confirmed_at = answer.received_at
    elif answer.result is OrderResult.UNANSWERED:
        # It may have waited behind other orders before it was sent.
        run.sent_at = max(answer.sent_at, run.sent_at or 0.0)
        handle_unanswered_start(state, task, run, order.target, now)
    elif answer.result is OrderResult.OLD_RUN:
        # The worker knew the run already: it has ended or was stopped. The
        # lists of a later poll show which.
        run.phase = RunPhase.UNRESOLVED
        run.confirmed_at = answer.received_at
    elif run.send_count > 1:
        # An earlier send of the same start may have been carried out.
        handle_unanswered_start(state, task, run, order.target, now)
    else:
        handle_refused_start(state, task, worker, answer.result, now)


def find_ordered_task(state: FleetState, order: Order) -> Task | None:
    """Return the task, or the copy, whose present run an order is for.

    None is returned if it has another run by now, or none.
    """
    task = find_task(state, order.task, order.run_number)
    run = task.run if task else None
    if run is None or run.number != order.run_number:
        return None
    return task if run.worker == order.target.worker else None


def handle_unanswered_start(
    state: FleetState,
    task: Task,
    run: Run,
    target: Target,
    now: float,
) -> None:
    """Send an unanswered start again, up to ``MAX_START_SENDS`` times.

    Starting the same run again is idempotent. After the last send, or if the
    worker has restarted, the run is unresolved: if the next poll does not
    list it, it is stopped, as the start may still arrive late. In an evacuated
    zone, or if its worker's capacity has shrunk, it is not sent again, and
    stopped in any case.
    """
    worker = state.workers.get(run.worker)
    if worker is not None and find_start_problem(state, worker, task, now):
        state.request_stop(task)
        state.stop_other_members(task)
    may_send_again = (
        run.send_count < MAX_START_SENDS
        and run.boot == target.boot
        and worker is not None
    )
    if may_send_again and not run.is_stop_requested:
        send_start(state, task, now)
        return
    run.phase = RunPhase.UNRESOLVED
    run.unresolved_at = now


def handle_refused_start(
    state: FleetState,
    task: Task,
    worker: Worker | None,
    result: OrderResult,
    now: float,
) -> None:
    """Let a task wait for another start after its start was refused.

    If the ticket was refused, it is removed from the cache. Otherwise the
    worker gets no starts for ``START_COOLDOWN_S``. A start that the worker
    rejects as invalid also counts as a failed attempt of the task.
    """
    state.finish_run(task, now)
    if worker is not None and result is OrderResult.NO_TICKET:
        key = StepKey(task.key.job, task.key.occurrence, task.key.step)
        state.advice.drop_ticket(key, worker.id)
    elif worker is not None:
        worker.cooldown_until = now + START_COOLDOWN_S
    if result is OrderResult.INVALID:
        record_failed_attempt(state, task.original, now)


def send_requested_stops(
    state: FleetState, worker: Worker, now: float
) -> None:
    """Send the requested stops of runs on a worker.

    A stop is sent again after ``Timing.stop_retry_s`` until
    ``is_stop_confirmed``. Runs whose start is planned or in flight are
    left out. Nothing is sent to a worker that was never listed, as its
    address is unknown; its runs end with its lease.
    """
    if not worker.entry.address:
        return
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or not run.is_stop_requested:
            continue
        if run.phase is RunPhase.PLANNED or run.phase is RunPhase.SENT:
            continue
        sent_at = run.stop_sent_at
        if sent_at is not None and now < sent_at + state.timing.stop_retry_s:
            continue
        if is_stop_confirmed(run, now):
            continue
        run.stop_sent_at = now
        state.order_stop(worker, task.key, run.number, 'it was requested')


def is_stop_confirmed(run: Run, now: float) -> bool:
    """Return whether a stop was acknowledged and need not be sent again.

    It must be sent again if a poll lists the run more than
    ``MAX_STOP_DURATION_S`` after the stop was acknowledged.
    """
    answered_at = run.stop_answered_at
    if answered_at is None:
        return False
    was_listed_later = run.listed_at is not None and run.listed_at > (
        answered_at + MAX_STOP_DURATION_S
    )
    return not was_listed_later


def handle_stop_answer(
    state: FleetState, answer: OrderEnded, now: float
) -> None:
    """Handle the result of a stop.

    The run keeps its resources until a later poll lists its end, or lists
    neither the run nor its end.
    """
    task = find_task(state, answer.order.task, answer.order.run_number)
    run = task.run if task else None
    if run is None or run.number != answer.order.run_number:
        return
    if run.boot != answer.order.target.boot:
        # The next boot may not know of the stop.
        return
    is_stopped = answer.result in (OrderResult.DONE, OrderResult.OLD_RUN)
    if is_stopped and run.stop_answered_at is None:
        # Only the first answer counts. With a later one, polls sent before
        # it could no longer show that the run has ended.
        run.stop_answered_at = answer.received_at
        run.confirmed_at = answer.received_at
