"""Jobs: their record, their states, and evidence of what is at fault.

The record ``jobs/<id>`` is written before each act on the job. A task
id names job, attempt and member; the task service starts an id once.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from msgspec import Struct
from msgspec.structs import replace

from primroseledge.chart import load_chart
from primroseledge.errors import ChartError
from primroseledge.errors import OperatorError
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import TeamId

JOBS_PREFIX: Final = 'jobs/'
MAX_ATTEMPTS: Final = 8
DISTINCT_PAIRS: Final = 3
QUARANTINE_PART: Final = 0.2


class JobState(Enum):
    """The states of charts/job.json."""

    WAITING = 'waiting'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    CANCELLING = 'cancelling'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    IMPOSSIBLE = 'impossible'
    UNKNOWN = 'unknown'


ACTIVE: Final = frozenset(
    {
        JobState.STARTING,
        JobState.RUNNING,
        JobState.STOPPING,
        JobState.CANCELLING,
    }
)
ENDED: Final = frozenset(
    {
        JobState.SUCCEEDED,
        JobState.FAILED,
        JobState.CANCELLED,
        JobState.IMPOSSIBLE,
        JobState.UNKNOWN,
    }
)


class Job(Struct, frozen=True):
    """A job as declared, and where it stands.

    ``members`` tasks run at once, each with the declared sizes; more
    than one make a gang, which stands in one rack. ``workers`` are
    those of the present attempt; ``failed_on`` are workers on which an
    attempt failed; ``losses`` counts attempts lost with their worker,
    which says nothing of the job by itself. ``kind`` groups jobs whose
    usage is alike.
    """

    id: str
    team: str
    kind: str = ''
    cores: float = 1.0
    memory_mb: float = 1000.0
    accelerators: int = 0
    members: int = 1
    is_idempotent: bool = True
    is_urgent: bool = False
    state: JobState = JobState.WAITING
    attempt: int = 0
    workers: tuple[str, ...] = ()
    failed_on: tuple[str, ...] = ()
    losses: int = 0
    checkpoint: str = ''
    result: str = ''
    reason: str = ''

    @property
    def job_id(self) -> JobId:
        """Return the id, typed."""
        return JobId(self.id)

    @property
    def team_id(self) -> TeamId:
        """Return the team, typed."""
        return TeamId(self.team)

    @property
    def task_ids(self) -> tuple[str, ...]:
        """Return the ids of the present attempt's tasks."""
        return tuple(
            f'{self.id}/{self.attempt}/{member}'
            for member in range(len(self.workers))
        )


def job_key(job: JobId) -> str:
    """Return the store key of a job."""
    return f'{JOBS_PREFIX}{job}'


def move_job(job: Job, trigger: str, reason: str = '') -> Job:
    """Return the job after a trigger; raise ChartError."""
    state = JobState(load_chart('job').advance(job.state.value, trigger))
    return replace(job, state=state, reason=reason)


def cancel_job(job: Job) -> Job:
    """Return the job after its submitter cancels it.

    Raises OperatorError, naming the state, when it has ended.
    """
    if job.state is JobState.CANCELLING:
        return job
    try:
        return move_job(job, 'cancel', 'by submitter')
    except ChartError as error:
        raise OperatorError(
            f'job {job.id} cannot be cancelled when {job.state.value}'
        ) from error


def next_attempt(job: Job, workers: tuple[str, ...]) -> Job:
    """Return the job placed on workers, before its tasks are started."""
    placed = move_job(job, 'place')
    return replace(placed, attempt=job.attempt + 1, workers=workers)


@dataclass(slots=True)
class Evidence:
    """Which jobs failed and succeeded on which workers.

    Only distinct pairs count: one job that fails ten times on one
    worker says no more than once.
    """

    failed: dict[InstanceId, set[JobId]] = field(default_factory=dict)
    succeeded: dict[InstanceId, set[JobId]] = field(default_factory=dict)

    def add_failure(self, job: JobId, worker: InstanceId) -> None:
        """Record that a job failed on a worker."""
        self.failed.setdefault(worker, set()).add(job)

    def add_success(self, job: JobId, worker: InstanceId) -> None:
        """Record that a job succeeded on a worker."""
        self.succeeded.setdefault(worker, set()).add(job)

    def bad_jobs(self) -> set[JobId]:
        """Return jobs that failed on enough workers that are sound.

        A worker speaks against a job unless it has failed more
        distinct jobs than could all be bad by themselves.
        """
        counts = dict[JobId, int]()
        for worker, jobs in self.failed.items():
            if len(jobs) < DISTINCT_PAIRS or self.succeeded.get(worker):
                for job in jobs:
                    counts[job] = counts.get(job, 0) + 1
        return {job for job, n in counts.items() if n >= DISTINCT_PAIRS}

    def suspects(self, pool_size: int) -> set[InstanceId]:
        """Return workers to quarantine, the worst, within the bound."""
        bad = self.bad_jobs()
        counts = {
            worker: len(jobs - bad)
            for worker, jobs in self.failed.items()
            if not self.succeeded.get(worker)
        }
        worst = sorted(
            (worker for worker, n in counts.items() if n >= DISTINCT_PAIRS),
            key=lambda worker: (-counts[worker], worker),
        )
        return set(worst[: quarantine_bound(pool_size)])


def quarantine_bound(pool_size: int) -> int:
    """Return how many workers of a pool may be quarantined."""
    return max(int(pool_size * QUARANTINE_PART), 1)


def is_hopeless(job: Job, suspects: Iterable[InstanceId]) -> bool:
    """Tell whether a job failed on enough distinct sound workers."""
    return len(set(job.failed_on) - set(suspects)) >= DISTINCT_PAIRS


def running_by_team(jobs: Iterable[Job]) -> Mapping[TeamId, int]:
    """Count each team's active jobs, gangs by their members."""
    counts = dict[TeamId, int]()
    for job in jobs:
        if job.state in ACTIVE:
            counts[job.team_id] = counts.get(job.team_id, 0) + job.members
    return counts
