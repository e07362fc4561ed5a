"""Which waiting jobs start now, where, and why the others wait.

A pure function of the jobs as recorded and the workers as seen. Urgent
jobs go first, then teams furthest below their share.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from msgspec.structs import replace

from primroseledge.ids import InstanceId
from primroseledge.ids import TeamId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.job import ACTIVE
from primroseledge.policy.job import Job
from primroseledge.policy.job import JobState
from primroseledge.policy.job import next_attempt
from primroseledge.policy.job import running_by_team
from primroseledge.policy.placing import Estimator
from primroseledge.policy.placing import find_impossible
from primroseledge.policy.placing import place
from primroseledge.policy.placing import URGENT_PART
from primroseledge.policy.placing import Worker
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Team

MAX_STARTS_PER_STEP: Final = 50


@dataclass(frozen=True, slots=True)
class JobInput:
    """The teams, and the workers that may take jobs now.

    ``fleet`` is every worker, up or not, on which a job could ever be
    placed.
    """

    teams: Mapping[TeamId, Team]
    workers: Sequence[Instance]
    fleet: Sequence[Instance]


@dataclass(frozen=True, slots=True)
class Situation:
    """What admission looks at; ``peaks`` is memory seen, by task id."""

    now: float
    jobs: Sequence[Job]
    given: JobInput
    estimator: Estimator
    peaks: Mapping[str, float]
    suspects: Set[InstanceId]
    retry_at: Mapping[str, float]


@dataclass(slots=True)
class Admission:
    """Jobs as placed, those that can never run, and what waits.

    ``moved`` is a running job that makes room for an urgent one.
    """

    starts: list[Job] = field(default_factory=list)
    impossible: list[tuple[Job, Explanation]] = field(default_factory=list)
    held: list[Explanation] = field(default_factory=list)
    moved: Job | None = None


def admit(situation: Situation) -> Admission:
    """Return what to start, in order, up to the bound of one step."""
    admission = Admission()
    counts = dict(running_by_team(situation.jobs))
    workers = _promised(situation)
    waiting = [j for j in situation.jobs if j.state is JobState.WAITING]
    while waiting and len(admission.starts) < MAX_STARTS_PER_STEP:
        job = min(waiting, key=lambda j: _order(j, counts, situation))
        waiting.remove(job)
        if _admit_one(job, workers, counts, situation, admission):
            team = job.team_id
            counts[team] = counts.get(team, 0) + job.members
    return admission


def _order(
    job: Job, counts: Mapping[TeamId, int], situation: Situation
) -> tuple[bool, float, str]:
    team = situation.given.teams.get(job.team_id)
    share = team.share if team else 1
    return (not job.is_urgent, counts.get(job.team_id, 0) / share, job.id)


def _promised(situation: Situation) -> list[Worker]:
    """Return the ready workers with what active jobs hold."""
    ready = situation.given.workers
    workers = {worker.id: Worker(worker) for worker in ready}
    for job in situation.jobs:
        if job.state not in ACTIVE:
            continue
        memory_mb = situation.estimator.memory_mb(job)
        for task_id, name in zip(job.task_ids, job.workers, strict=True):
            if name in workers:
                peak_mb = situation.peaks.get(task_id, 0.0)
                workers[name].add(job, max(memory_mb, peak_mb))
    return list(workers.values())


def _admit_one(
    job: Job,
    workers: list[Worker],
    counts: Mapping[TeamId, int],
    situation: Situation,
    admission: Admission,
) -> bool:
    given = situation.given
    impossible = find_impossible(job, given.fleet)
    if impossible is not None and given.fleet:
        admission.impossible.append((job, impossible))
        return False
    refusal = _refusal(job, counts, situation)
    if refusal is not None:
        admission.held.append(refusal)
        return False
    avoided = situation.suspects | _tried(job, given.fleet)
    left = [w for w in given.fleet if w.instance_id not in avoided]
    memory_mb = _size(job, left, situation.estimator)
    chosen = place(job, workers, memory_mb, avoided)
    if isinstance(chosen, Explanation):
        admission.held.append(chosen)
        if job.is_urgent and admission.moved is None:
            admission.moved = _find_moved(job, situation, avoided)
        return False
    names = tuple(worker.instance.id for worker in chosen)
    admission.starts.append(next_attempt(job, names))
    return True


def _tried(job: Job, fleet: Sequence[Instance]) -> set[InstanceId]:
    """Return workers on which the job failed, while others are left.

    When none is left that could take it, it may try those again; the
    count of attempts is bounded all the same.
    """
    tried = {InstanceId(name) for name in job.failed_on}
    left = [worker for worker in fleet if worker.instance_id not in tried]
    return tried if find_impossible(job, left) is None else set()


def _size(job: Job, fleet: Sequence[Instance], estimator: Estimator) -> float:
    """Return the estimate, or less when nothing could ever hold it.

    So a wild estimate delays a job, but can't keep it out for good.
    """
    largest = max((worker.memory_mb for worker in fleet), default=0)
    part = 1.0 if job.is_urgent else 1.0 - URGENT_PART
    estimate_mb = min(estimator.memory_mb(job), largest * part)
    sized = replace(job, memory_mb=estimate_mb)
    is_possible = find_impossible(sized, fleet) is None
    return estimate_mb if is_possible else job.memory_mb


def _refusal(
    job: Job, counts: Mapping[TeamId, int], situation: Situation
) -> Explanation | None:
    team = situation.given.teams.get(job.team_id)
    limit = team.limit if team else 0
    count = counts.get(job.team_id, 0)
    if count + job.members > limit:
        numbers = {'running': count, 'limit': limit}
        return Explanation(job.id, Rule.JOB_TEAM_LIMIT, numbers)
    at = situation.retry_at.get(job.id, situation.now)
    if at > situation.now:
        wait = {'remaining_s': at - situation.now}
        return Explanation(job.id, Rule.JOB_BACKOFF, wait)
    return None


def _find_moved(
    job: Job, situation: Situation, avoided: Set[InstanceId]
) -> Job | None:
    """Return a job whose room is enough and that can go on elsewhere."""
    active = [other for other in situation.jobs if other.state in ACTIVE]
    if any(other.state is JobState.STOPPING for other in active):
        return None
    ready = {w.id for w in situation.given.workers} - avoided
    able = [
        other
        for other in active
        if other.state is JobState.RUNNING
        and other.is_idempotent
        and not other.is_urgent
        and other.members == 1
        and other.workers[0] in ready
        and _is_as_large(other, job)
    ]
    return min(able, key=lambda other: (other.cores, other.id), default=None)


def _is_as_large(other: Job, job: Job) -> bool:
    return (
        other.cores >= job.cores
        and other.memory_mb >= job.memory_mb
        and other.accelerators >= job.accelerators
    )
