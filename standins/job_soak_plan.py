"""The jobs that a caller of a soak hands in, by its random numbers alone."""

from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Any
from typing import Final

from msgspec import json

from standins.job_evidence import JobEvidence
from standins.job_evidence import StepEvidence

SECONDS: Final = (0.2, 2.0)
CPU_MILLIS: Final = (500, 1000, 1000, 2000)
MEMORY_MB: Final = 100
MAX_TASKS: Final = 8
MAX_GANG: Final = 4
MAX_LONG_TASKS: Final = 3
LATE_DUPLICATE_SHARE: Final = 0.05
KEPT_SHARE: Final = 0.3
"""Of the long-running jobs; they run until the soak ends."""

LARGE_CPU_MILLIS: Final = (3000, 5000, 7000)
LABELS: Final = ('rack-0', 'rack-1', 'rack-2')
MAX_LARGE_TASKS: Final = 3
WEIGHTS: Final = {
    'plain': 36,
    'two_steps': 20,
    'gang': 8,
    'cancelled': 8,
    'long_running': 6,
    'failing': 4,
    'flaky': 6,
    'labelled': 6,
    'large': 6,
}
DEADLY_WEIGHT: Final = 10
DEADLY_AFTER_S: Final = (0.0, 0.01, 0.2)
"""In seconds after its start; then a deadly task crashes its worker."""


@dataclass(frozen=True, slots=True)
class JobQueue:
    """A queue of the fleet: where to submit, and what is allowed there."""

    pool: str
    host: str
    prefix: str
    key: str
    workspace: str
    max_attempts: int = 3


@dataclass(slots=True)
class PlannedJob:
    """A job, and what its caller means to do with it."""

    evidence: JobEvidence
    queue: JobQueue
    cancel_after_s: float | None = None
    again_after_s: float | None = None
    body: bytes = field(init=False)

    def __post_init__(self) -> None:
        self.body = render_job(self.evidence)

    @property
    def is_kept(self) -> bool:
        """Tell whether it runs until its caller cancels it at the end."""
        is_long = any(s.is_long_running for s in self.evidence.steps)
        return is_long and self.cancel_after_s is None


def render_job(job: JobEvidence) -> bytes:
    """Return a job's submission as it is written on the wire.

    What its tasks do is in the payload, for the workers' stand-ins.
    """
    steps = list[dict[str, Any]]()
    for step in job.steps:
        fields: dict[str, Any] = {
            'count': step.count,
            'cpu': step.cpu_millis,
            'memory_request_mb': MEMORY_MB,
        }
        if step.is_long_running:
            fields['long_running'] = True
        else:
            fields['estimated_duration_ms'] = int(step.seconds * 1000)
        if step.after:
            fields['after'] = list(step.after)
        if step.is_gang:
            fields['gang'] = True
        if step.label:
            fields['requirements'] = step.label
        steps.append(fields)
    needs = [
        {
            'seconds': None if step.is_long_running else step.seconds,
            'fails': step.fails,
            'failing_runs': step.failing_runs,
            'deadly_task': step.deadly_task,
            'deadly_after_s': step.deadly_after_s,
            'cpu': step.cpu_millis,
            'memory': MEMORY_MB,
        }
        for step in job.steps
    ]
    payload = {
        'seconds': needs[0]['seconds'],
        'fails': needs[0]['fails'],
        'steps': needs,
    }
    return json.encode(
        {'task_spec': json.encode(payload).decode(), 'steps': steps}
    )


def plan_job(
    random: Random, id: str, queue: JobQueue, may_be_deadly: bool = False
) -> PlannedJob:
    """Draw one job; some crash their workers if they may."""
    weights = WEIGHTS | {'deadly': DEADLY_WEIGHT if may_be_deadly else 0}
    kind = random.choices(list(weights), list(weights.values()))[0]
    steps = [plan_step(random)]
    cancel_after_s: float | None = None
    if kind == 'two_steps':
        steps.append(plan_step(random, after=(0,)))
    elif kind == 'gang':
        count = random.randint(2, MAX_GANG)
        steps = [plan_step(random, count=count, is_gang=True)]
    elif kind == 'cancelled':
        cancel_after_s = random.uniform(0.0, 2.0)
    elif kind == 'long_running':
        count = random.randint(1, MAX_LONG_TASKS)
        steps = [plan_step(random, count=count, is_long_running=True)]
        if random.random() >= KEPT_SHARE:
            cancel_after_s = random.uniform(4.0, 20.0)
    elif kind == 'failing':
        steps = [plan_step(random, count=random.randint(1, 3), fails=True)]
    else:
        steps = [plan_step(random, **plan_special(random, kind))]
    evidence = JobEvidence(
        id, queue.pool, queue.workspace, tuple(steps), queue.max_attempts
    )
    again_after_s = None
    if random.random() < LATE_DUPLICATE_SHARE:
        again_after_s = random.uniform(0.5, 4.0)
    return PlannedJob(evidence, queue, cancel_after_s, again_after_s)


def plan_special(random: Random, kind: str) -> dict[str, Any]:
    """Return what is fixed beforehand for the step of a kind of job."""
    fields = dict[str, Any]()
    if kind in ('flaky', 'large', 'labelled'):
        fields['failing_runs'] = random.choice((0, 1, 2))
    if kind == 'flaky':
        fields['failing_runs'] = 1
    if kind == 'large':
        fields['count'] = random.randint(1, MAX_LARGE_TASKS)
        fields['cpu_millis'] = random.choice(LARGE_CPU_MILLIS)
    if kind == 'deadly':
        fields['count'] = random.randint(1, MAX_LONG_TASKS)
        fields['deadly_task'] = random.randrange(fields['count'])
        fields['deadly_after_s'] = random.choice(DEADLY_AFTER_S)
    if kind == 'labelled':
        fields['label'] = random.choice(LABELS)
    return fields


def plan_step(random: Random, **fields: Any) -> StepEvidence:
    """Draw one step; ``fields`` are fixed beforehand."""
    drawn = {
        'count': random.randint(1, MAX_TASKS),
        'cpu_millis': random.choice(CPU_MILLIS),
        'seconds': round(random.uniform(*SECONDS), 2),
    }
    return StepEvidence(**drawn | fields)
