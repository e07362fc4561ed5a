"""Loads of jobs whose demand rises and falls by turns, and what callers got.

Each service has its turn, in which several times its mean load arrives;
between its turns almost nothing does. In a turn more jobs arrive than the
service's own pool can run in time.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from random import Random
from statistics import fmean
from typing import Final

from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec

STANDBY: Final = ServiceId('standby')

LATE_FACTOR: Final = 3
"""A job is late, and not lost, up to this many times its objective."""

WINDOW_S: Final = 2.0
"""Length of the windows of which the worst are reported."""

WORST_SHARE: Final = 0.1
"""Share of the windows and workspaces that count as the worst ones."""


SIZE_SHAPE: Final = 2.8
"""Shape of the gamma distribution of the sizes of jobs."""


@dataclass(frozen=True)
class JobKind:
    """The jobs of one service.

    ``per_s`` is the mean rate of their arrivals. A job has one step, or with
    the probability ``two_steps`` a second one after it. ``tasks`` is the mean
    number of tasks of a step; each uses ``cores`` for ``seconds``.
    """

    service: ServiceId
    per_s: float
    tasks: int
    cores: float
    seconds: float
    two_steps: float


@dataclass(frozen=True)
class LoadShape:
    """A fleet and its load.

    ``workers`` is the number of instances of each pool at the beginning, and
    ``standby_workers`` that of the standby pool. A turn lasts ``turn_s``;
    ``peak`` and ``valley`` are the load in and between the turns, as
    multiples of the mean. ``store_s`` is how long the store takes to answer.
    ``store_outage`` is when it stops to answer, and when it answers again.
    Where ``images`` is not 0, each workspace uses so many images,
    ``copied_share`` of the jobs allow copies, and ``straggler_share`` of the
    runs are stragglers; see ``job_stragglers``.
    """

    name: str
    kinds: tuple[JobKind, ...]
    workers: int
    standby_workers: int
    cores_per_worker: int
    workspaces: int = 6
    long_running_jobs: int = 2
    turn_s: float = 4.0
    peak: float = 4.0
    valley: float = 0.05
    lead_s: float = 6.0
    length_s: float = 34.0
    store_s: float = 0.008
    store_outage: tuple[float, float] | None = None
    images: int = 0
    copied_share: float = 0.0
    straggler_share: float = 0.0


CALLER_DEADLINE_S: Final = 3.0
"""Time in which a caller tries to submit a job."""

MAX_RETRIES: Final = 4
"""Number of times that a caller submits a refused job again."""


@dataclass(frozen=True)
class Submission:
    """A job, when it is submitted, and how long each task really runs."""

    at: float
    job: AcceptedJob
    task_s: float


@dataclass
class Outcome:
    """What the callers of one load got, and what it cost.

    ``job_ratios`` are the times that jobs took as a multiple of their
    objective. ``refused`` are the jobs whose callers gave up after a refusal,
    ``held_s`` how long each refusal took to be sent. ``pool_s`` are the
    seconds of instances in pools, ``engine_s`` the processor time of the
    engine. ``copies`` counts the copies of tasks that were started.
    """

    submissions: list[Submission] = field(default_factory=list)
    job_ratios: dict[JobId, float] = field(default_factory=dict)
    refused: set[JobId] = field(default_factory=set)
    held_s: list[float] = field(default_factory=list)
    started_after: list[float] = field(default_factory=list)
    pool_s: float = 0.0
    moves: int = 0
    copies: int = 0
    engine_s: float = 0.0
    longest_reconcile_s: float = 0.0

    def is_in_time(self, submission: Submission) -> bool:
        return self.job_ratios.get(submission.job.id, LATE_FACTOR) <= 1

    def share_in_time(self, submissions: list[Submission]) -> float:
        """Return the share of jobs that met their objective."""
        if not submissions:
            return 1.0
        return fmean(self.is_in_time(s) for s in submissions)

    def worst_windows(self) -> float:
        """Return the share in time in the worst windows of the load."""
        windows = dict[int, list[Submission]]()
        for submission in self.submissions:
            number = int(submission.at / WINDOW_S)
            windows.setdefault(number, []).append(submission)
        return self.worst_of(list(windows.values()))

    def worst_workspaces(self) -> float:
        """Return the share in time of the worst-served workspaces."""
        groups = dict[WorkspaceId, list[Submission]]()
        for submission in self.submissions:
            groups.setdefault(submission.job.workspace, []).append(submission)
        return self.worst_of(list(groups.values()))

    def worst_of(self, groups: list[list[Submission]]) -> float:
        shares = sorted(self.share_in_time(group) for group in groups)
        count = max(1, int(len(shares) * WORST_SHARE))
        return fmean(shares[:count])

    def largest_jobs(self) -> float:
        """Return the share in time of the largest tenth of the jobs."""
        by_size = sorted(self.submissions, key=size_of)
        count = max(1, len(by_size) // 10)
        return self.share_in_time(by_size[-count:])

    def copied_jobs(self) -> list[Submission]:
        """Return the jobs that allow copies."""
        return [s for s in self.submissions if allows_copies(s)]

    def failed_share(
        self, submissions: list[Submission] | None = None
    ) -> float:
        """Return the share of jobs without an end within the late bound.

        It is that of all jobs if none are given.
        """
        if submissions is None:
            submissions = self.submissions
        if not submissions:
            return 0.0
        return fmean(
            self.job_ratios.get(s.job.id, LATE_FACTOR + 1) > LATE_FACTOR
            for s in submissions
        )

    def figures(self) -> dict[str, float]:
        """Return the measures of this outcome by name."""
        copied = self.copied_jobs()
        waits = sorted(self.started_after) or [0.0]
        return {
            'jobs': len(self.submissions),
            'in_time': round(self.share_in_time(self.submissions), 3),
            'worst_windows': round(self.worst_windows(), 3),
            'worst_workspaces': round(self.worst_workspaces(), 3),
            'largest_tenth': round(self.largest_jobs(), 3),
            'failed': round(self.failed_share(), 3),
            'copied_in_time': round(self.share_in_time(copied), 3),
            'copied_failed': round(self.failed_share(copied), 3),
            'first_start_p95_s': round(waits[int(len(waits) * 0.95)], 3),
            'pool_s': round(self.pool_s, 1),
            'moves': self.moves,
            'copies': self.copies,
            'engine_s': round(self.engine_s, 2),
            'longest_reconcile_s': round(self.longest_reconcile_s, 3),
        }


def allows_copies(submission: Submission) -> bool:
    """Return whether all steps of a job allow copies."""
    return all(step.allows_copies for step in submission.job.spec.steps)


def size_of(submission: Submission) -> int:
    """Return a job's size, the processors of all its tasks together."""
    return sum(
        step.count * step.resources.cpu_millis
        for step in submission.job.spec.steps
    )


def queue_of(service: ServiceId) -> QueueId:
    """Return the queue whose jobs a service runs."""
    return QueueId(f'queue-{service}')


def make_configuration(shape: LoadShape) -> Configuration:
    """Return a configuration with a queue and a pool for each kind."""
    queues = {
        queue_of(kind.service): Queue(
            queue_of(kind.service),
            'host',
            f'/{kind.service}/',
            kind.service,
            max_attempts=3,
            chain_factor=1.6,
            objective_s=0.6,
        )
        for kind in shape.kinds
    }
    services = {k.service: Service(k.service) for k in shape.kinds}
    services[STANDBY] = Service(STANDBY, is_standby=True)
    workspaces = {
        name: Workspace(name, frozenset({name}))
        for name in workspace_names(shape)
    }
    return Configuration(1, queues, services, workspaces)


def workspace_names(shape: LoadShape) -> list[WorkspaceId]:
    """Return the ids of the workspaces that submit jobs."""
    return [WorkspaceId(f'ws-{i}') for i in range(shape.workspaces)]


def load_factor(shape: LoadShape, number: int, at: float) -> float:
    """Return the load of the kind with this number, as multiple of its mean.

    ``at`` is in seconds from the start of the load.
    """
    turn = int(at / shape.turn_s) % len(shape.kinds)
    return shape.peak if turn == number else shape.valley


def make_submissions(shape: LoadShape, seed: int) -> list[Submission]:
    """Return the jobs of a load in the order of their submission."""
    found = list[Submission]()
    for number, kind in enumerate(shape.kinds):
        random = Random(f'{seed} {kind.service}')
        for at in arrival_times(shape, number, random):
            found.append(make_submission(shape, kind, at, random))
    found.sort(key=lambda submission: submission.at)
    return found


def arrival_times(
    shape: LoadShape, number: int, random: Random
) -> Iterator[float]:
    """Yield the times of a Poisson process with the kind's varying rate."""
    kind = shape.kinds[number]
    at = 0.0
    while True:
        at += random.expovariate(kind.per_s * shape.peak)
        if at >= shape.length_s:
            return
        if random.random() * shape.peak < load_factor(shape, number, at):
            yield at


def make_submission(
    shape: LoadShape, kind: JobKind, at: float, random: Random
) -> Submission:
    """Return a job of a kind, of random size and a rough estimate."""
    size = random.gammavariate(SIZE_SHAPE, 1 / SIZE_SHAPE)
    count = round(kind.tasks * size)
    first = StepSpec(
        count=max(1, count),
        resources=Resources(int(kind.cores * 1000), 64, 0),
        estimate_ms=int(kind.seconds * 1000 * random.uniform(0.7, 1.4)),
    )
    steps = [first]
    if random.random() < kind.two_steps:
        steps.append(
            StepSpec(
                count=first.count,
                resources=first.resources,
                estimate_ms=first.estimate_ms,
                after=(0,),
            )
        )
    job = AcceptedJob(
        id=JobId(f'{random.getrandbits(64):016x}'),
        queue=queue_of(kind.service),
        workspace=random.choice(workspace_names(shape)),
        accepted_ms=0,
        spec=JobSpec(payload='', steps=tuple(steps)),
    )
    return Submission(at, job, kind.seconds * random.uniform(0.9, 1.1))


def make_long_running(shape: LoadShape) -> list[Submission]:
    """Return the long-running jobs, which are submitted before the load."""
    step = StepSpec(
        count=5,
        resources=Resources(1_000, 512, 0),
        is_long_running=True,
        max_unavailable=2,
    )
    return [
        Submission(
            -shape.lead_s / 2,
            AcceptedJob(
                id=JobId(f'long-{kind.service}-{number}'),
                queue=queue_of(kind.service),
                workspace=workspace_names(shape)[0],
                accepted_ms=0,
                spec=JobSpec(payload='', steps=(step,)),
            ),
            float('inf'),
        )
        for kind in shape.kinds
        for number in range(shape.long_running_jobs)
    ]


def objective_s(submission: Submission, queue: Queue) -> float:
    """Return the time within which a job should complete, in seconds.

    It is counted from the real durations of its tasks, not from estimates.
    """
    chain_s = submission.task_s * len(submission.job.spec.steps)
    return queue.chain_factor * chain_s + queue.objective_s


def small_shape(name: str = 'small') -> LoadShape:
    """Return a fleet of 40 workers with small and with wide jobs."""
    return LoadShape(
        name,
        (
            JobKind(ServiceId('scan'), 3.6, 6, 1.8, 0.8, 0.6),
            JobKind(ServiceId('mould'), 0.7, 8, 3.8, 1.3, 1.0),
            JobKind(ServiceId('rental'), 4.5, 6, 1.8, 0.8, 0.6),
            JobKind(ServiceId('clinic'), 0.9, 8, 3.8, 1.3, 1.0),
        ),
        workers=10,
        standby_workers=8,
        cores_per_worker=32,
    )


def large_shape(name: str = 'large') -> LoadShape:
    """Return a fleet of 270 workers whose turns ask for more than a pool."""
    return LoadShape(
        name,
        (
            JobKind(ServiceId('copper'), 14.3, 8, 2.3, 0.64, 0.6),
            JobKind(ServiceId('ferrous'), 3.0, 8, 4.9, 1.3, 1.0),
            JobKind(ServiceId('aluminium'), 17.9, 8, 2.3, 0.64, 0.6),
            JobKind(ServiceId('brass'), 3.6, 8, 4.9, 1.3, 1.0),
        ),
        workers=57,
        standby_workers=44,
        cores_per_worker=16,
        workspaces=29,
        long_running_jobs=8,
    )
