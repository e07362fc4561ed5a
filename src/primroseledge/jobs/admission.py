"""Refuse a job that cannot be served, before anything of it is stored."""

from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.spec import AcceptedJob


def find_refusal(state: FleetState, job: AcceptedJob) -> Answer | None:
    """Return the refusal of a job, or nothing if it is to be accepted."""
    if job.queue not in state.configuration.queues:
        return Answer(Verdict.NO_SUCH_QUEUE)
    return None
