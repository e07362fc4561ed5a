"""Restore a new owner's engine from the records of its predecessor."""

from collections.abc import Iterable

from primroseledge.ids import Boot
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import restore_job
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import Run
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.owner.engine import Engine
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState


def restore_engine(
    engine: Engine,
    accepted: Iterable[AcceptedJob],
    progress: Iterable[ProgressRecord],
    waves: Iterable[WaveRecord],
    entries: list[WorkerEntry],
    now: float,
    listed_at: float | None = None,
) -> None:
    """Restore jobs, runs and waves into a new engine from stored records.

    ``entries`` are of a list of workers whose read began at ``listed_at`` or
    later, None if that is now.
    Runs count as running until their worker's answer to a poll shows whether
    they are or, if the worker is unresponsive, until its lease has certainly
    expired.
    """
    state = engine.state
    engine.instance_list.wave_records = {
        record.number: record for record in waves
    }
    engine.apply_worker_entries(entries, now, listed_at)
    records = {record.id: record for record in progress}
    for job_record in accepted:
        job = restore_job(
            job_record, records.get(job_record.id), state.wall_ms(now)
        )
        state.jobs[job_record.id] = job
        if not job.is_final:
            state.active_jobs[job_record.id] = job
            if any(task.needs_isolation for task in job.tasks()):
                state.jobs_to_isolate.add(job_record.id)
        restore_runs(state, job, now)
    state.request_planning_of_all()


def restore_runs(state: FleetState, job: Job, now: float) -> None:
    """Assign a restored job's runs to their workers, as they may be running.

    If its worker has restarted since the record was stored, the next boot may
    have carried out the start. The runs of an unresponsive worker count as
    running until the leases that the predecessor gave have ended, and those
    that are not known to be bound to one boot as long as the longest lease of
    workers. Runs of a finished job are marked to be stopped, as is what still
    runs of a task that is done in a step that allows copies.
    """
    for task in list(job.tasks_with_runs()):
        run = task.run
        if run is None:
            continue
        run.confirmed_at = now
        is_superseded = task.is_done and task.spec.allows_copies
        run.is_stop_requested = job.is_final or is_superseded
        worker = find_or_add_worker(state, run)
        run.is_in_recorded_boot = run.boot == worker.entry.boot
        if not run.is_in_recorded_boot:
            # The list may lag behind the record, and have an earlier boot.
            run.boot = worker.entry.boot
            run.is_known_bound = False
        if not run.is_known_bound:
            wait_s = state.timing.unknown_predecessor_lease_s
            run.lease_unknown_until = now + wait_s
        state.add_run_usage(task, worker)
        wait_s = state.timing.predecessor_lease_s
        worker.predecessor_runs_expire_at = now + wait_s
        if task.copy_of is None:
            state.expect_copy(task, now)
        if is_superseded:
            state.hold_ends(task)


def find_or_add_worker(state: FleetState, run: Run) -> Worker:
    """Return a run's worker; add one marked as unlisted if it is unknown."""
    worker = state.workers.get(run.worker)
    if worker is None:
        worker = Worker(unlisted_entry(run.worker, run.boot))
        worker.is_listed = False
        state.workers[run.worker] = worker
    return worker


def unlisted_entry(worker: WorkerId, boot: Boot) -> WorkerEntry:
    """Return an entry for a worker of which only id and boot are known.

    It has no address and no capacity, so it is neither polled nor used.
    """
    return WorkerEntry(
        worker,
        boot,
        ServiceId(''),
        '',
        ZoneId(''),
        WorkerState.GONE,
        NO_RESOURCES,
        (),
    )
