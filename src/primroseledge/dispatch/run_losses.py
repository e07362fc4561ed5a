"""Give up runs that are over without an end that their worker listed.

A crash of the worker is held against each task that it had just started. A
worker that left, was removed by its owner, was cut off or fell silent says
nothing of its tasks, and neither does one of which too little is known.
"""

from primroseledge.dispatch.job_ends import end_job
from primroseledge.jobs.crash import Crash
from primroseledge.jobs.crash import describe_crashes
from primroseledge.jobs.crash import is_culprit
from primroseledge.jobs.crash import ISOLATION_CRASHES
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.ending import EndCause
from primroseledge.workers.ending import find_end_cause
from primroseledge.workers.worker import Worker


def record_worker_end(state: FleetState, worker: Worker, now: float) -> None:
    """Log the end of a worker; if it crashed, mark the runs that it had.

    The log line has all that is known of why the worker ended. A marked run
    is held against its task when it is given up; see ``lose_run``.
    """
    if not worker.tasks:
        return
    cause = find_end_cause(worker, state.workers_listed_at, now)
    silent_since = now if worker.silent_since is None else worker.silent_since
    log(
        Event.WORKER_ENDED,
        worker=worker.id,
        boot=worker.entry.boot,
        runs=len(worker.tasks),
        cause=cause.value,
        silent_age=round(now - silent_since, 3),
        closed=worker.has_closed_connection,
        state=worker.entry.state.value,
        list_age=round(now - state.workers_listed_at, 3),
    )
    if cause is EndCause.CRASHED:
        crashes = find_suspected_runs(state, worker, silent_since, now)
        for task in worker.tasks.values():
            if task.run is not None:
                task.run.crash = crashes.get(task.key)


def find_suspected_runs(
    state: FleetState, worker: Worker, crashed_at: float, now: float
) -> dict[TaskKey, Crash]:
    """Return the crash of a worker as it is held against each of its tasks.

    It had crashed at ``crashed_at`` at the latest. Tasks whose run can't be
    the cause are left out. Keys are the tasks' keys: a task and its copy are
    never on one worker.
    """
    suspected = [
        (task, task.run)
        for task in worker.tasks.values()
        if task.run is not None and may_have_crashed_worker(task.run)
    ]
    crashes = dict[TaskKey, Crash]()
    for task, run in suspected:
        since = run.running_since
        ran_s = 0.0 if since is None else max(0.0, crashed_at - since)
        crashes[task.key] = Crash(
            run.number,
            worker.id,
            state.wall_ms(now),
            int(ran_s * 1000),
            sum(other.key.job != task.key.job for other, _ in suspected),
        )
    return crashes


def may_have_crashed_worker(run: Run) -> bool:
    """Return whether a run may be the cause of a crash of its worker.

    Its start must have been sent, and it must not have been listed there
    for as long as ``PROVEN_RUN_S``.
    """
    return run.phase is not RunPhase.PLANNED and not run.is_proven


def lose_all_runs(
    state: FleetState, worker: Worker, reason: str, now: float
) -> None:
    """Give up all runs on a worker, none of which can be running any more.

    ``reason`` is written to the log with each run.
    """
    for task in list(worker.tasks.values()):
        lose_run(state, task, reason, now)


def lose_run(state: FleetState, task: Task, reason: str, now: float) -> None:
    """Give up a run that is over, and hold a crash of its worker against it.

    ``reason`` is written to the log.
    """
    crash = task.run.crash if task.run else None
    state.give_up_run(task, reason, now)
    if crash is not None:
        hold_against_task(state, task.original, crash, now)


def hold_against_task(
    state: FleetState, task: Task, crash: Crash, now: float
) -> None:
    """Record a crash under a task; give the task up if it was the cause."""
    job = state.jobs[task.key.job]
    if job.is_final or task.is_done:
        return
    task.crashes.append(crash)
    state.mark_dirty(job, now)
    log(
        Event.TASK_SUSPECTED,
        task=task.key.name,
        run=crash.run_number,
        worker=crash.worker,
        ran_ms=crash.ran_ms,
        others=crash.others,
        crashes=len(task.crashes),
    )
    if is_culprit(task.crashes):
        workers = describe_crashes(task.crashes)
        log(Event.TASK_GIVEN_UP, task=task.key.name, workers=workers)
        reason = f'task {task.key.name} crashed its workers: {workers}'
        end_job(state, job, JobState.FAILED, now, reason)
    elif len(task.crashes) >= ISOLATION_CRASHES:
        state.jobs_to_isolate.add(job.accepted.id)


def clear_crashes(
    state: FleetState, worker: Worker, task: Task, run: Run, now: float
) -> None:
    """Clear a task of crashes, as its worker has outlasted a run's start."""
    original = task.original
    if not original.crashes:
        return
    log(
        Event.TASK_CLEARED,
        task=task.key.name,
        run=run.number,
        worker=worker.id,
        crashes=len(original.crashes),
    )
    original.crashes.clear()
    worker.isolated_tasks.discard(task.key)
    state.mark_dirty(state.jobs[task.key.job], now)
