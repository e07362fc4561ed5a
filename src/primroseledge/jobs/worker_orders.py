"""Send starts and stops, and take in how they ended."""

from typing import Final

from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.advice import StepKey
from primroseledge.jobs.ends import fail_job_without_attempts
from primroseledge.jobs.ends import find_task
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.worker import Worker
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

MAX_START_SENDS: Final = 3
"""How often an unanswered start is sent before it is stopped instead."""

MAX_STOP_DURATION_S: Final = 1.5
"""A run that is still listed this long after its stop is stopped again."""

START_COOLDOWN_S: Final = 1.0
"""No starts on a worker for this long after it refused one."""


def send_start(state: FleetState, task: Task, now: float) -> None:
    """Order a run that is stored, or drop it if nobody wants it now."""
    run = task.run
    if run is None:
        return
    worker = state.workers.get(run.worker)
    job = state.jobs[task.key.job]
    deadline_ms = None
    if worker is not None and worker.entry.boot == run.boot:
        deadline_ms = start_deadline(state, run, worker, now)
    if run.is_stop_requested or worker is None or deadline_ms is None:
        state.finish_run(task, now)
        return
    worker.clock.record_deadline(deadline_ms)
    run.phase = RunPhase.SENT
    run.send_count += 1
    if not job.has_started:
        job.has_started = True
        log(
            Event.JOB_STARTED,
            job=task.key.job,
            seconds=(state.wall_ms(now) - job.accepted.accepted_ms) / 1000,
        )
    log(
        Event.RUN_ORDERED,
        task=task.key.name,
        run=run.number,
        worker=run.worker,
        boot=run.boot,
        deadline_ms=deadline_ms,
        look_age=round(now - worker.polled_at, 3),
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
    """Return the ticket that lets a task start; empty if none is needed."""
    key = StepKey(task.key.job, task.key.occurrence, task.key.step)
    return state.advice.ticket_for(key, worker, now) or ''


def start_deadline(
    state: FleetState, run: Run, worker: Worker, now: float
) -> int | None:
    """Return when a start's lease ends, on the worker's clock.

    Sending it again does not lengthen the lease: the worker may be gone.
    """
    if run.send_count:
        return worker.clock.deadline_ms
    return worker.clock.deadline_after(state.timing.lease_s, now)


def handle_start_answer(
    state: FleetState, answer: OrderAnswered, now: float
) -> None:
    """Take in how a start ended."""
    order = answer.order
    task = find_task(state, order.task)
    run = task.run if task else None
    if task is None or run is None or run.number != order.run_number:
        return
    if run.worker != order.target.worker or run.phase is not RunPhase.SENT:
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
    if answer.result is OrderResult.DONE:
        run.phase = RunPhase.RUNNING
        run.confirmed_at = answer.received_at
    elif answer.result is OrderResult.UNANSWERED:
        handle_unanswered_start(state, task, run, worker, now)
    elif answer.result is OrderResult.OLD_RUN:
        # It ran and ended, or was stopped; a later look says which.
        run.phase = RunPhase.UNRESOLVED
        run.confirmed_at = answer.received_at
    elif run.send_count > 1:
        # An earlier send may still have been carried out.
        handle_unanswered_start(state, task, run, worker, now)
    else:
        handle_refused_start(state, task, worker, answer.result, now)


def handle_unanswered_start(
    state: FleetState,
    task: Task,
    run: Run,
    worker: Worker | None,
    now: float,
) -> None:
    """Send the same run again, which is idempotent, a few times.

    After that a look decides: a run that it doesn't list is stopped.
    """
    if worker is None:
        run.phase = RunPhase.UNRESOLVED
        return
    if run.send_count < MAX_START_SENDS and not run.is_stop_requested:
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
    """Plan a task anew whose start was not carried out."""
    state.finish_run(task, now)
    if worker is not None and result is OrderResult.NO_TICKET:
        key = StepKey(task.key.job, task.key.occurrence, task.key.step)
        state.advice.drop_ticket(key, worker.id)
    elif worker is not None:
        worker.cooldown_until = now + START_COOLDOWN_S
    if result is OrderResult.INVALID:
        task.failures += 1
        job = state.jobs[task.key.job]
        if not job.is_final:
            fail_job_without_attempts(state, job, task, now)


def send_requested_stops(
    state: FleetState, worker: Worker, now: float
) -> None:
    """Order the stops that are wanted and not under way.

    A worker that is not listed has no address; its lease ends its runs.
    """
    if not worker.entry.address:
        return
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or not run.is_stop_requested:
            continue
        if run.phase is RunPhase.PLANNED or run.phase is RunPhase.SENT:
            continue
        last = run.stop_sent_at
        if last is not None and now < last + state.timing.stop_retry_s:
            continue
        if is_stop_confirmed(run, now):
            continue
        run.stop_sent_at = now
        state.actions.append(SendStop(target_of(worker), task.key, run.number))


def is_stop_confirmed(run: Run, now: float) -> bool:
    """Tell whether a stop was obeyed and its end is to be listed soon."""
    answered_at = run.stop_answered_at
    if answered_at is None:
        return False
    seen_later = run.listed_at is not None and run.listed_at > (
        answered_at + MAX_STOP_DURATION_S
    )
    return not seen_later


def handle_stop_answer(
    state: FleetState, answer: OrderAnswered, now: float
) -> None:
    """Take in how a stop ended; a later look shows the run or not."""
    task = find_task(state, answer.order.task)
    run = task.run if task else None
    if run is None or run.number != answer.order.run_number:
        return
    is_stopped = answer.result in (OrderResult.DONE, OrderResult.OLD_RUN)
    if is_stopped and run.stop_answered_at is None:
        # The first answer settles it; a later one must not begin the
        # wait for a look anew.
        run.stop_answered_at = answer.received_at
        run.confirmed_at = answer.received_at
