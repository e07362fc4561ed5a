"""Take in what workers list: runs, ends, and runs that are missing."""

from typing import Final

from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.actions import ListedRun
from primroseledge.jobs.actions import PollAnswered
from primroseledge.jobs.actions import RunEnd
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import target_of
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.quarantine import STALL_TIMEOUT_S
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey
from primroseledge.jobs.worker import Worker
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

FULL_SPEED_PERCENT: Final = 100
MAX_LISTED_ENDS: Final = 500
"""A list of ends this long may be cut off; from PROTOCOL."""


def apply_poll_lists(
    state: FleetState, answer: PollAnswered, now: float
) -> None:
    """Take in a worker's lists of runs and ends."""
    worker = state.workers[answer.worker]
    ended = set[tuple[TaskKey, int]]()
    for end in sorted(answer.ends, key=end_number):
        ended.add((end.task, end.run_number))
        if end.number > worker.handled_end_number:
            worker.handled_end_number = end.number
            handle_run_end(state, worker, end, now)
    listed = {(run.task, run.run_number): run for run in answer.running}
    for (key, number), running in listed.items():
        task = find_task(state, key)
        run = task.run if task else None
        if run is None or run.number != number or run.worker != worker.id:
            stop_unknown_run(state, worker, key, number)
        elif task is not None:
            apply_listed_run(task, run, running, now)
            stop_if_stalled(worker, task, run, now)
    if len(answer.ends) < MAX_LISTED_ENDS:
        lose_unlisted_runs(state, worker, answer, set(listed) | ended, now)


def end_number(end: RunEnd) -> int:
    """Return an end's number."""
    return end.number


def find_task(state: FleetState, key: TaskKey) -> Task | None:
    """Return a task by its key."""
    job = state.jobs.get(key.job)
    step = job.steps.get((key.occurrence, key.step)) if job else None
    if step is None or not 0 <= key.number < len(step.tasks):
        return None
    return step.tasks[key.number]


def stop_unknown_run(
    state: FleetState, worker: Worker, key: TaskKey, number: int
) -> None:
    """Stop a run that is not wanted, such as one that started late."""
    state.actions.append(SendStop(target_of(worker), key, number))


def apply_listed_run(
    task: Task, run: Run, listed: ListedRun, now: float
) -> None:
    """Note that a run is there, and how far it is."""
    run.phase = RunPhase.RUNNING
    run.unresolved_at = None
    run.listed_at = now
    if run.confirmed_at is None:
        run.confirmed_at = now
    run.reported_load = listed.reported_load
    if (
        listed.progress_percent != run.progress_percent
        or run.progressed_at is None
    ):
        run.progressed_at = now
    run.progress_percent = listed.progress_percent
    if listed.checkpoint:
        task.checkpoint = listed.checkpoint


def stop_if_stalled(worker: Worker, task: Task, run: Run, now: float) -> None:
    """Stop a task that makes no progress, to start it elsewhere."""
    if task.spec.is_long_running or run.is_stop_requested:
        return
    if run.progressed_at is None or now < run.progressed_at + STALL_TIMEOUT_S:
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
    task.failed_on.add(worker.id)
    worker.quarantine.record_failure(task.key.job, now)


def lose_unlisted_runs(
    state: FleetState,
    worker: Worker,
    answer: PollAnswered,
    listed_runs: set[tuple[TaskKey, int]],
    now: float,
) -> None:
    """Give up runs that the worker should list and does not."""
    for task in list(worker.tasks.values()):
        run = task.run
        if run is None or (task.key, run.number) in listed_runs:
            continue
        doubt_since = run.unresolved_at
        if doubt_since is not None and answer.sent_at > doubt_since:
            # It may still arrive late; a stop keeps it from starting.
            run.is_stop_requested = True
        if run.confirmed_at is None or answer.sent_at <= run.confirmed_at:
            continue
        state.lose_run(task, 'not listed', now)


def handle_run_end(
    state: FleetState, worker: Worker, end: RunEnd, now: float
) -> None:
    """Take in one end of a run."""
    task = find_task(state, end.task)
    if task is None:
        return
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
    state.finish_run(task, now)
    if job.is_final:
        return
    if end.kind is EndKind.DONE:
        worker.quarantine.record_success()
    if end.kind is EndKind.DONE and not task.spec.is_long_running:
        finish_task(state, job, task, now)
    elif end.kind is EndKind.FAILED:
        task.failures += 1
        task.failed_on.add(worker.id)
        worker.quarantine.record_failure(job.accepted.id, now)
        fail_job_without_attempts(state, job, task, now)


def finish_task(state: FleetState, job: Job, task: Task, now: float) -> None:
    """Count a task as done; in a gang, one end is that of all."""
    step = job.steps[task.key.occurrence, task.key.step]
    done = step.tasks if task.spec.is_gang else [task]
    for member in done:
        if not member.is_done:
            member.is_done = True
            step.done_count += 1
    if job.is_done:
        end_job(state, job, JobState.COMPLETED, now)


def fail_job_without_attempts(
    state: FleetState, job: Job, task: Task, now: float
) -> None:
    """Fail a job whose task, or gang, has no attempt left."""
    if task.spec.is_long_running:
        return
    queue = state.queue_of(job)
    if queue is None:
        return
    step = job.steps[task.key.occurrence, task.key.step]
    failures = task.failures
    if task.spec.is_gang:
        failures = sum(member.failures for member in step.tasks)
    if failures >= queue.max_attempts:
        end_job(state, job, JobState.FAILED, now)


def end_job(state: FleetState, job: Job, final: JobState, now: float) -> None:
    """End a job for good and stop what still runs of it."""
    job.state = final
    wall_ms = state.wall_ms(now)
    log(
        Event.JOB_ENDED,
        job=job.accepted.id,
        state=final.value,
        seconds=(wall_ms - job.accepted.accepted_ms) / 1000,
    )
    job.updated_ms = state.wall_ms(now)
    state.active_jobs.pop(job.accepted.id, None)
    state.advice.drop_job(job.accepted.id)
    state.mark_dirty(job, now)
    for task in job.tasks():
        state.request_stop(task)


def lose_all_runs(
    state: FleetState, worker: Worker, reason: str, now: float
) -> None:
    """Give up all runs on a worker that has ended for certain."""
    for task in list(worker.tasks.values()):
        state.lose_run(task, reason, now)
