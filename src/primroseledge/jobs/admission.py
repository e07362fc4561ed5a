"""Refuse a job at once when it could not be served.

It answers bursts of several times what a pool holds: a job that would
complete long after its objective is refused while its caller can still
go elsewhere or come back after the burst. Long-running and repeated
jobs are always accepted, as their time is not now.
"""

from typing import Final

from primroseledge.jobs.actions import Answer
from primroseledge.jobs.actions import Verdict
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.fleetstate import FleetState
from primroseledge.jobs.spec import AcceptedJob

MAX_LATENESS: Final = 3.0
"""Refuse what is expected to take this many times its objective."""


def find_refusal(
    state: FleetState, job: AcceptedJob, now: float
) -> Answer | None:
    """Return the refusal of a job, or nothing if it is to be accepted."""
    queue = state.configuration.queues.get(job.queue)
    if queue is None:
        return Answer(Verdict.NO_SUCH_QUEUE)
    return None


def expected_wait_s(state: FleetState, queue: Queue) -> float:
    """Return how long the work before a new job takes, in seconds."""
    capacity = 0
    for worker in state.workers.values():
        if worker.entry.service == queue.service and worker.is_listed:
            capacity += worker.entry.capacity.cpu_millis
    if not capacity:
        return 0.0
    work = 0.0
    for job in state.active.values():
        if state.service_of(job) != queue.service or job.is_long_running:
            continue
        for number, step in enumerate(job.accepted.spec.steps):
            opened = job.steps.get((0, number))
            done = opened.done_count if opened else 0
            left = step.count - done
            work += left * step.counted.cpu_millis * step.estimate_ms / 1000
    return work / capacity
