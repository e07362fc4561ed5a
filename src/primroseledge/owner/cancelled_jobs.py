"""Jobs that were cancelled before they were submitted."""

from typing import Final

from primroseledge.ids import WorkspaceId
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.scheduling.actions import CancelJob
from primroseledge.scheduling.fleet_state import FleetState

UNKNOWN_WORKSPACE: Final = WorkspaceId('')
CANCELLED_BEFORE_SUBMIT: Final = JobSpec(payload='', steps=())
"""Spec recorded for a job that was cancelled before its submission.

It has no steps, by which such a job is recognized: a submitted job has some.
"""


def record_cancelled_job(
    state: FleetState, event: CancelJob, now: float
) -> Job:
    """Record an unknown job as cancelled, and return it.

    If its submission arrives later, the record keeps it from running.
    """
    wall_ms = state.wall_ms(now)
    accepted = AcceptedJob(
        id=event.job,
        queue=event.queue,
        workspace=UNKNOWN_WORKSPACE,
        accepted_ms=wall_ms,
        spec=CANCELLED_BEFORE_SUBMIT,
    )
    job = Job(accepted, JobState.CANCELLED, updated_ms=wall_ms)
    state.jobs[event.job] = job
    state.mark_dirty(job, now)
    return job
