"""The platform's messages, field by field as it spells them."""

from msgspec import field
from msgspec import Struct


class WireStep(Struct):
    """A step of a job as callers hand it in."""

    count: int = 1
    cpu: int = 0
    memory_request_mb: int = 0
    gpu: int = 0
    estimated_duration_ms: int = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # A label that the worker must have.
    requirements: str = ''
    # The rack where the data lies, not a preference among tasks.
    affinity: str = ''
    # The most tasks of the step on one worker.
    anti_affinity: int = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: int = 0
    fills: bool = False
    # How many tasks may be unavailable, not how many ends may be missed.
    may_miss: int = 0


class WireJob(Struct):
    """A job as callers hand it in."""

    task_spec: str
    steps: list[WireStep]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


class WireResources(Struct):
    """Amounts of resources."""

    cpu: int = 0
    memory_request_mb: int = 0
    gpu: int = 0


class WireWorkerEntry(Struct):
    """What a worker writes about itself."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireResources
    labels: list[str]
    born: int
    # Only while it drains: the time that is left at least.
    remaining_ms: int | None = None


class WireAdviceTiming(Struct):
    """How long the advisory service takes and its answer holds."""

    decision_ms: float = 0
    period_ms: float = 0
    validity_ms: float = 0


class WireQueue(Struct):
    """A queue in the operators' configuration."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 3000
    # The part of the objective that doesn't depend on the job's length.
    target_completion_ms: float = 0
    slack_factor: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    allow_anonymous: bool = False
    recommendation: WireAdviceTiming | None = None


class WireService(Struct):
    """A pool of workers in the operators' configuration."""

    name: str
    # Whether its workers themselves refuse what doesn't fit.
    admission_check: bool = False
    standby: bool = False


class WireWorkspace(Struct):
    """A workspace in the operators' configuration."""

    name: str
    api_keys: list[str] = []
    weight: float = 1
    upper_bound: WireResources = field(default_factory=WireResources)


class WireLimits(Struct):
    """Bounds on callers' requests."""

    max_body_bytes: int = 262144


class WireConfiguration(Struct):
    """The operators' whole configuration."""

    version: int
    routes: list[WireQueue] = []
    services: list[WireService] = []
    tenants: list[WireWorkspace] = []
    limits: WireLimits = field(default_factory=WireLimits)


class WireWave(Struct):
    """An operator's request for upkeep."""

    wave: int
    machines: list[str]
    duration_s: float
    # The most instances that may be down for it at once.
    upper_bound: int = 1


class WireWorkerResponse(Struct):
    """A worker's answer to a hold, or to an order without lists."""

    clock_ms: int
    born: int = 0
    running: list[tuple[str, int, str, int, int]] = []
    finished: list[tuple[int, str, int, str, str]] = []
    reason: str = ''


class WireInstance(Struct):
    """An instance in the platform's list."""

    machine: str
    pool: str
    state: str
    zone: str = ''
    labels: list[str] = []
    capacity: WireResources = field(default_factory=WireResources)
    # The worker that is the instance's present life.
    id: str | None = None


class WireInstancePage(Struct):
    """A page of the platform's list of instances."""

    machines: list[WireInstance]
    next_page_token: str | None = None


class WireAdviceResponse(Struct):
    """The advisory service's answer."""

    allowed: list[tuple[str, str]]
    validity_ms: float = 0


class WireItem(Struct):
    """An item of the store, or a deletion in a watch."""

    key: str
    revision: int
    # Base64 text.
    value: str = ''
    created: int = 0
    lease: int = 0
    deleted: bool = False


class WireItemPage(Struct):
    """A page of items; ``at`` is the store's revision."""

    items: list[WireItem]
    at: int
    has_more: bool = False


class WireWatchResponse(Struct):
    """The answer to a watch; go on from ``at``."""

    events: list[WireItem]
    at: int


class WireWriteResponse(Struct):
    """The answer to a transaction or a lease."""

    revision: int = 0
    lease: int = 0
    ttl_ms: int = 0


class WireRefusal(Struct):
    """Why a call about an instance was refused."""

    reason: str = ''
