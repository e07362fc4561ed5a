"""Process the answers to polls: listed runs, ends, and unlisted runs.

A worker answers a poll with the runs that are running on it and the ends of
earlier ones. A run that should be in one of the two lists and is in neither
is lost, and its task is started again.
"""

from typing import Final

from primroseledge.dispatch.job_ends import finish_task
from primroseledge.dispatch.job_ends import record_failed_attempt
from primroseledge.dispatch.run_durations import record_job_begin
from primroseledge.dispatch.run_durations import record_runtime
from primroseledge.dispatch.run_losses import clear_crashes
from primroseledge.dispatch.run_losses import lose_run
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import FULL_SPEED_PERCENT
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.quarantine import STALL_TIMEOUT_S
from primroseledge.workers.worker import Worker

MAX_LISTED_ENDS: Final = 500
"""Largest number of ends in the answer to a poll, by the platform's protocol.

A list of this length may be incomplete. It is then unknown whether a run that
the worker does not list has ended, and no run is treated as lost.
"""


MAX_LISTING_GAP_S: Final = 1.3
"""Longest time between two lists of a worker that answers as usual, in s.

An answer to a poll comes within 1 s, and the next poll follows soon.
"""


def apply_poll_lists(
    state: FleetState, answer: PollAnswered, now: float
) -> None:
    """Update the state from the runs and ends that a worker listed.

    The worker must be in ``state``. Its ends are handled in the order of
    their numbers, each of them once.
    """
    worker = state.workers[answer.worker]
    ended_runs = set[tuple[TaskKey, int]]()
    for end in sorted(answer.ends, key=end_sort_key):
        ended_runs.add((end.task, end.run_number))
        if end.number > worker.handled_end_number:
            state.record_end(worker, end.number, end.task.job)
            handle_run_end(state, worker, end, answer.received_at, now)
    listed_runs = {(run.task, run.run_number): run for run in answer.running}
    unexpected = NO_RESOURCES
    for (key, run_number), listed_run in listed_runs.items():
        job = state.jobs.get(key.job)
        if job is not None:
            record_job_begin(state, job, now)
        task = find_task(state, key, run_number)
        run = task.run if task else None
        if run is None or run.number != run_number or run.worker != worker.id:
            stop_unknown_run(state, worker, key, run_number)
            unexpected = unexpected.plus(resources_of(state, key))
        elif task is not None:
            apply_listed_run(task, run, listed_run, answer.received_at)
            if run.is_proven:
                clear_crashes(state, worker, task, run, now)
            record_binding(state, worker, task, run, answer, now)
            stop_if_stalled(worker, task, run, answer.received_at)
    worker.unexpected_capacity = unexpected
    if len(answer.ends) < MAX_LISTED_ENDS:
        give_up_unlisted_runs(
            state, worker, answer, set(listed_runs) | ended_runs, now
        )


def record_binding(
    state: FleetState,
    worker: Worker,
    task: Task,
    run: Run,
    answer: PollAnswered,
    now: float,
) -> None:
    """Record, and store, that a listed run is bound to its worker's boot.

    That is done once its lease is known: it is the one that its owners gave.
    """
    if run.is_in_recorded_boot and is_settled_boot(state, answer):
        run.lease_unknown_until = 0.0
    if now >= worker.lease_unknown_until and run.is_binding_new(now):
        run.is_known_bound = True
        state.mark_dirty(state.jobs[task.key.job], now)


def is_settled_boot(state: FleetState, answer: PollAnswered) -> bool:
    """Return whether leases in a boot can't be longer than its owners gave.

    Only calls that were meant for the last boot extend them, soon after the
    boot began. A worker's clock begins anew with each boot.
    """
    age_s = answer.clock_ms / 1000
    return age_s >= state.timing.unknown_predecessor_lease_s


def end_sort_key(end: RunEnd) -> int:
    """Return the sort key of an end, which is its number."""
    return end.number


def find_task(state: FleetState, key: TaskKey, run_number: int) -> Task | None:
    """Return the task with this key, or its copy if that has the run.

    None is returned if there is no such task: its job is unknown, or the tasks
    of its occurrence were not created yet. The returned task may have another
    run or none.
    """
    job = state.jobs.get(key.job)
    step = job.steps.get((key.occurrence, key.step)) if job else None
    if step is None or not 0 <= key.number < len(step.tasks):
        return None
    task = step.tasks[key.number]
    for running in task.tasks_with_runs():
        if running.run is not None and running.run.number == run_number:
            return running
    return task


def resources_of(state: FleetState, key: TaskKey) -> Resources:
    """Return what a run uses of its worker's capacity, as far as is known.

    The task need not be expected there, and its job may have ended.
    """
    job = state.jobs.get(key.job)
    steps = job.accepted.spec.steps if job else ()
    if not 0 <= key.step < len(steps):
        return NO_RESOURCES
    return steps[key.step].counted_resources


def stop_unknown_run(
    state: FleetState, worker: Worker, key: TaskKey, run_number: int
) -> None:
    """Order a worker to stop a run that the owner does not expect there.

    Such a run can come from a start that was delivered after the owner had
    already given up the run.
    """
    state.order_stop(worker, key, run_number, 'it is not expected there')


def apply_listed_run(
    task: Task, run: Run, listed: ListedRun, received_at: float
) -> None:
    """Record that a worker lists a run as running, its progress and load.

    ``received_at`` is when the worker's answer arrived. A busy owner handles
    it later, and what it lists may have changed since. A checkpoint that the
    worker lists becomes the task's checkpoint.
    """
    if run.listed_at is not None and run.progressed_at is not None:
        silent_s = received_at - run.listed_at
        if silent_s > MAX_LISTING_GAP_S:
            # A worker that was frozen made no progress, and is not stalled.
            run.progressed_at += silent_s
    run.phase = RunPhase.RUNNING
    run.crash = None
    run.unresolved_at = None
    run.listed_at = received_at
    if run.confirmed_at is None:
        run.confirmed_at = received_at
    run.reported_load = listed.reported_load
    if (
        listed.progress_percent != run.progress_percent
        or run.progressed_at is None
    ):
        run.progressed_at = received_at
    run.progress_percent = listed.progress_percent
    if listed.checkpoint:
        task.checkpoint = listed.checkpoint


def stop_if_stalled(
    worker: Worker, task: Task, run: Run, received_at: float
) -> None:
    """Request the stop of a run without progress for ``STALL_TIMEOUT_S``.

    ``received_at`` is when the answer that lists the run arrived. The stall
    is logged and counts as a failure of the worker. After the end of the run
    the task is started on another worker if there is one. Long-running tasks,
    members of gangs and throttled runs are not stopped.
    """
    if task.spec.is_long_running or run.is_stop_requested:
        return
    if run.progressed_at is None:
        return
    if received_at < run.progressed_at + STALL_TIMEOUT_S:
        return
    if task.spec.is_gang or run.speed_percent < FULL_SPEED_PERCENT:
        return
    log(
        Event.RUN_STALLED,
        task=task.key.name,
        run=run.number,
        worker=worker.id,
        percent=run.progress_percent,
    )
    run.is_stop_requested = True
    task.failed_workers.add(worker.id)
    worker.quarantine.record_failure(task.key.job, received_at)


def give_up_unlisted_runs(
    state: FleetState,
    worker: Worker,
    answer: PollAnswered,
    reported_runs: set[tuple[TaskKey, int]],
    now: float,
) -> None:
    """Give up the runs that a worker should have listed and did not.

    ``reported_runs`` are all runs and ends of the answer. A run that is not
    among them is lost if the poll was sent after ``Run.confirmed_at``. If
    the last send of its start was not answered, and the poll was sent after
    ``Run.unresolved_at``, a stop of the run is requested.
    """
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or (task.key, run.number) in reported_runs:
            continue
        unresolved_at = run.unresolved_at
        if unresolved_at is not None and answer.sent_at > unresolved_at:
            # The start may still be delivered; after a stop, the worker
            # refuses it.
            run.is_stop_requested = True
        if run.confirmed_at is None or answer.sent_at <= run.confirmed_at:
            continue
        lose_run(state, task, 'the worker does not list the run', now)


def handle_run_end(
    state: FleetState,
    worker: Worker,
    end: RunEnd,
    received_at: float,
    now: float,
) -> None:
    """Handle the end of a run that its worker listed.

    ``received_at`` is when the answer that lists the end arrived.

    The run's resources are released, and a task that is not done waits for
    its next start or goes on with its other run. A run that ended as done
    completes its task, unless the task is long-running, and its other run is
    stopped; the last completed task completes the job. A failed run counts as
    a failure of the worker and, unless the task is done, uses up one of its
    attempts.
    The end of any run but the task's current one is ignored.
    """
    task = find_task(state, end.task, end.run_number)
    if task is None:
        return
    record_job_begin(state, state.jobs[task.key.job], now)
    run = task.run
    if run is None or run.number != end.run_number or run.worker != worker.id:
        return
    job = state.jobs[task.key.job]
    log(
        Event.RUN_ENDED,
        task=task.key.name,
        run=run.number,
        worker=worker.id,
        how=end.kind.value,
    )
    if end.checkpoint and task.spec.saves_checkpoints:
        task.checkpoint = end.checkpoint
    rival = task.original if task.copy_of else task.copy
    rival_run = rival.run if rival else None
    if rival_run is not None and end.kind is EndKind.DONE:
        state.request_stop(task.original)
        state.hold_ends(task.original)
    state.finish_run(task, now)
    if job.is_final:
        return
    if rival_run is not None:
        log_end_beside(task, run, rival_run, end)
    if end.kind is EndKind.DONE:
        clear_crashes(state, worker, task, run, now)
        worker.quarantine.record_success()
        record_runtime(state, worker, task.original, run, received_at)
        if not task.spec.is_long_running:
            finish_task(state, job, task.original, now)
    elif end.kind is EndKind.FAILED:
        clear_crashes(state, worker, task, run, now)
        task.failed_workers.add(worker.id)
        worker.quarantine.record_failure(job.accepted.id, now)
        record_failed_attempt(state, task.original, now)


def log_end_beside(task: Task, run: Run, rival: Run, end: RunEnd) -> None:
    """Log which of a task's two runs completes it, or goes on.

    ``task`` is the one of the original and its copy whose ``run`` has ended,
    ``rival`` the other run.
    """
    is_copy = task.copy_of is not None
    event = Event.COPY_ENDED
    if end.kind is EndKind.DONE and not task.original.is_done:
        event = Event.COPY_WON if is_copy else Event.COPY_LOST
    elif not is_copy:
        return
    log(
        event,
        task=task.key.name,
        run=run.number,
        worker=run.worker,
        how=end.kind.value,
        other_run=rival.number,
        other_worker=rival.worker,
    )
