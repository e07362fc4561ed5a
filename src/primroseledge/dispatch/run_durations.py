"""Record when runs and jobs began, and how long runs took."""

from primroseledge.jobs.job import Job
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import Task
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.runtimes import is_learned
from primroseledge.workers.worker import Worker


def record_job_begin(state: FleetState, job: Job, now: float) -> None:
    """Record that a worker has begun a task of a job, if it is the first.

    A start that was sent does not show that: the worker may have refused it,
    or never got it.
    """
    if job.has_started:
        return
    job.has_started = True
    log(
        Event.JOB_STARTED,
        job=job.accepted.id,
        seconds=(state.wall_ms(now) - job.accepted.accepted_ms) / 1000,
    )


def record_begin(run: Run, answer: OrderEnded) -> None:
    """Record when a run began, if the answer to its start shows that.

    A start that was sent more than once may have been carried out earlier. A
    run that resumed from a checkpoint is shorter than others and is left out.
    """
    order = answer.order
    if not isinstance(order, SendStart) or order.checkpoint:
        return
    if answer.result is not OrderResult.DONE or run.send_count != 1:
        return
    if run.boot == order.target.boot:
        run.begun_at = answer.received_at


def record_runtime(
    state: FleetState,
    worker: Worker,
    task: Task,
    run: Run,
    received_at: float,
) -> None:
    """Record the runtime of a run that ended as done.

    ``received_at`` is when the poll answer that lists the end arrived. It is
    not the end if a poll of the worker has failed in the meantime. Steps for
    which ``is_learned`` is false are left out.
    """
    spec = task.spec
    begun_at = run.begun_at
    if begun_at is None or not is_learned(spec):
        return
    if worker.last_poll_failed_at >= begun_at:
        return
    job = state.jobs[task.key.job]
    service = state.service_of(job)
    if service is None:
        return
    actual_ms = (received_at - begun_at) * 1000
    learned = state.runtimes.record(
        spec, job.accepted, service, actual_ms, received_at
    )
    if learned.take_report():
        log(
            Event.RUNTIME_LEARNED,
            workspace=job.accepted.workspace,
            kind=spec.image or job.accepted.queue,
            cpu=spec.resources.cpu_millis,
            ratio=round(learned.median, 3),
            high=round(learned.high_quantile, 3),
            runs=len(learned.ratios),
        )
