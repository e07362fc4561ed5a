"""Weight, share and usage of each workspace, from records in the store."""

import collections
from collections.abc import Iterable
from dataclasses import dataclass

from primroseledge.ids import JobId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.scheduling.share_level import dominant_share
from primroseledge.scheduling.share_state import ShareWeights


@dataclass(frozen=True, slots=True)
class WorkspaceShare:
    """What a workspace may have and has, as fractions of all workers.

    ``share`` is its part when every configured workspace wants more than it
    gets. ``usage`` is the largest of its parts of processors, memory and
    accelerators, with ``tasks`` tasks that may be running.
    """

    workspace: WorkspaceId
    weight: float
    share: float
    usage: float
    tasks: int


def find_workspace_shares(
    configuration: Configuration,
    accepted: Iterable[AcceptedJob],
    progress: Iterable[ProgressRecord],
    capacity: Resources,
) -> list[WorkspaceShare]:
    """Return the shares of all workspaces that are configured or have jobs.

    ``capacity`` is that of all listed workers. Raises no error for a record
    without a job: its tasks are left out.
    """
    weights = ShareWeights(configuration)
    jobs = {job.id: job for job in accepted}
    used, tasks = count_usage(jobs, progress)
    workspaces = sorted(configuration.workspaces.keys() | used.keys())
    total_weight = sum(
        weights.weight_of(workspace) for workspace in configuration.workspaces
    )
    return [
        WorkspaceShare(
            workspace,
            weights.weight_of(workspace),
            weights.weight_of(workspace) / total_weight
            if workspace in configuration.workspaces
            else 0.0,
            dominant_share(used.get(workspace, NO_RESOURCES), capacity),
            tasks[workspace],
        )
        for workspace in workspaces
    ]


def count_usage(
    jobs: dict[JobId, AcceptedJob], progress: Iterable[ProgressRecord]
) -> tuple[dict[WorkspaceId, Resources], collections.Counter[WorkspaceId]]:
    """Return resources and number of each workspace's tasks that may run."""
    used = dict[WorkspaceId, Resources]()
    tasks = collections.Counter[WorkspaceId]()
    for record in progress:
        job = jobs.get(record.id)
        if job is None:
            continue
        for task in record.tasks:
            if not task.may_run or task.step >= len(job.spec.steps):
                continue
            needed = job.spec.steps[task.step].counted_resources
            previous = used.get(job.workspace, NO_RESOURCES)
            used[job.workspace] = previous.plus(needed)
            tasks[job.workspace] += 1
    return used, tasks
