"""Loads of jobs whose demand rises and falls by turns.

Each service has its turn, in which several times its mean load arrives;
between its turns almost nothing does. In a turn more jobs arrive than the
service's own pool can run in time.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from random import Random
from typing import Final

from msgspec import structs

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
class Flood:
    """A workspace that sends ``factor`` times its usual load for a time.

    ``begin`` and ``end`` are in seconds from the start of the load.
    """

    workspace: WorkspaceId
    factor: float
    begin: float
    end: float


@dataclass(frozen=True)
class LoadShape:
    """A fleet and its load.

    ``workers`` is the number of instances of each pool at the beginning, and
    ``standby_workers`` that of the standby pool. A turn lasts ``turn_s``;
    ``peak`` and ``valley`` are the load in and between the turns, as
    multiples of the mean. ``store_s`` is how long the store takes to answer.
    ``store_outage`` is when it stops to answer, and when it answers again.
    ``weights`` are those of the first workspaces; the others have 1.
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
    weights: tuple[float, ...] = ()
    flood: Flood | None = None
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
        name: Workspace(name, frozenset({name}), weight)
        for name, weight in workspace_weights(shape).items()
    }
    return Configuration(1, queues, services, workspaces)


def workspace_names(shape: LoadShape) -> list[WorkspaceId]:
    """Return the ids of the workspaces that submit jobs."""
    return [WorkspaceId(f'ws-{i}') for i in range(shape.workspaces)]


def workspace_weights(shape: LoadShape) -> dict[WorkspaceId, float]:
    """Return the weights of the workspaces that submit jobs."""
    weights = dict.fromkeys(workspace_names(shape), 1.0)
    weights.update(zip(weights, shape.weights, strict=False))
    return weights


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
        if shape.flood is not None:
            found.extend(make_flood(shape, shape.flood, number, seed))
    found.sort(key=lambda submission: submission.at)
    return found


def make_flood(
    shape: LoadShape, flood: Flood, number: int, seed: int
) -> Iterator[Submission]:
    """Yield what a workspace sends of a kind beyond its usual load.

    The other submissions of the load are the same as without it.
    """
    kind = shape.kinds[number]
    random = Random(f'{seed} {kind.service} flood')
    added = (flood.factor - 1) / shape.workspaces
    faster = replace(kind, per_s=kind.per_s * added)
    kinds = (*shape.kinds[:number], faster, *shape.kinds[number + 1 :])
    for at in arrival_times(replace(shape, kinds=kinds), number, random):
        submission = make_submission(shape, kind, at, random)
        job = structs.replace(submission.job, workspace=flood.workspace)
        if flood.begin <= at < flood.end:
            yield replace(submission, job=job)


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


def crowded_shape(name: str = 'crowded') -> LoadShape:
    """Return a fleet without spare workers, and a workspace that floods it.

    There are 20 workspaces, one of which has weight 3.
    """
    return replace(
        small_shape(name),
        workers=3,
        standby_workers=0,
        peak=2.6,
        valley=0.3,
        workspaces=20,
        weights=(3.0,),
        flood=Flood(WorkspaceId('ws-7'), 7.0, 4.0, 30.0),
    )


def slow_store_shape(name: str = 'slow store') -> LoadShape:
    """Return the large fleet with a store that is some 60 times slower."""
    return replace(large_shape(name), store_s=0.24, length_s=14.0)


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
