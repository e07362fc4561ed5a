"""End tasks and jobs: completed, failed or given up."""

from primroseledge.jobs.attempts import count_failed_attempts
from primroseledge.jobs.attempts import has_attempts_left
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState


def finish_task(state: FleetState, job: Job, task: Task, now: float) -> None:
    """Mark a task as done, and complete its job if it was the last one.

    If the task is a member of a gang, all members are marked as done: a gang
    is done when one of its members is.
    """
    step = job.steps[task.key.occurrence, task.key.step]
    done_tasks = step.tasks if task.spec.is_gang else [task]
    for member in done_tasks:
        if not member.is_done:
            member.is_done = True
            step.done_count += 1
    if job.is_done:
        end_job(state, job, JobState.COMPLETED, now)


def record_failed_attempt(state: FleetState, task: Task, now: float) -> None:
    """Count a failed attempt of a task, and fail its job if it was the last.

    A task that is done needs no attempts: a member of a gang may fail after
    another one has completed the gang.
    """
    if task.is_done:
        return
    task.failures += 1
    job = state.jobs[task.key.job]
    if not job.is_final:
        fail_job_without_attempts(state, job, task, now)


def fail_job_without_attempts(
    state: FleetState, job: Job, task: Task, now: float
) -> None:
    """Fail a job if the given task has no attempt left.

    While the job's queue is not configured, nobody knows how many it has. The
    planning of its next start decides then; see ``fail_exhausted_jobs``.
    """
    queue = state.queue_of(job)
    if queue is None:
        return
    step = job.steps[task.key.occurrence, task.key.step]
    if not has_attempts_left(step, task, queue.max_attempts):
        failures = count_failed_attempts(step, task)
        reason = f'task {task.key.name}: {failures} attempts failed'
        end_job(state, job, JobState.FAILED, now, reason)


def fail_exhausted_jobs(state: FleetState, now: float) -> None:
    """Fail the jobs of which planning found a task without an attempt."""
    exhausted = state.exhausted_tasks
    state.exhausted_tasks = []
    for task in exhausted:
        job = state.jobs[task.key.job]
        if not job.is_final:
            fail_job_without_attempts(state, job, task, now)


def end_job(
    state: FleetState,
    job: Job,
    final_state: JobState,
    now: float,
    reason: str = '',
) -> None:
    """Put a job into a final state and request the stop of all its runs.

    ``reason`` says why a job failed, to callers and operators.
    """
    job.state = final_state
    job.failure_reason = reason
    wall_ms = state.wall_ms(now)
    log(
        Event.JOB_ENDED,
        job=job.accepted.id,
        state=final_state.value,
        seconds=(wall_ms - job.accepted.accepted_ms) / 1000,
    )
    job.updated_ms = state.wall_ms(now)
    state.active_jobs.pop(job.accepted.id, None)
    state.jobs_to_isolate.discard(job.accepted.id)
    state.advice.drop_job(job.accepted.id)
    state.mark_dirty(job, now)
    for task in job.tasks():
        state.request_stop(task)
