"""Which workers a pool that shrinks releases first, and which it keeps."""

from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.workers.worker import Worker


def find_required_labels(state: FleetState, members: list[Worker]) -> set[str]:
    """Return the labels that unfinished steps of a pool's jobs require."""
    services = {worker.entry.service for worker in members}
    return {
        step.spec.required_label
        for job in state.active_jobs.values()
        if state.service_of(job) in services
        for step in job.steps.values()
        if step.spec.required_label and not step.is_done
    }


def is_last_with_label(
    worker: Worker, members: list[Worker], labels: set[str]
) -> bool:
    """Return whether no other worker of a pool has one of the labels."""
    others = [
        other
        for other in members
        if other is not worker and not other.is_drained_by_owner
    ]
    return any(
        label in worker.entry.labels
        and not any(label in other.entry.labels for other in others)
        for label in labels
    )


def release_rank(worker: Worker) -> tuple[bool, int]:
    """Return a worker's sort key; the lowest is released first.

    Workers without long-running tasks come first, then those with few tasks.
    """
    return (worker.long_running_count > 0, len(worker.tasks))
