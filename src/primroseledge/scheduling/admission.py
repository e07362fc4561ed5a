"""Admission of jobs: refuse those whose queue is not configured."""

from primroseledge.jobs.spec import AcceptedJob
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.fleet_state import FleetState


def find_refusal(state: FleetState, job: AcceptedJob) -> Answer | None:
    """Return the answer that refuses a job, or None to accept the job.

    Call it before any record of the job is stored.
    """
    if job.queue not in state.configuration.queues:
        return Answer(Verdict.NO_SUCH_QUEUE)
    return None
