"""JSON messages of the platform, with the field names used on the wire.

``cpu`` is in thousandths of a processor, ``memory_request_mb`` in MB and
``gpu`` a number of accelerators. A comment says what a field holds where
its name misleads.
"""

from typing import Annotated
from typing import Final

from msgspec import DecodeError
from msgspec import field
from msgspec import Meta
from msgspec import Struct

MAX_NUMBER: Final = 2**63 - 1
"""Greatest number from outside that records and log lines hold.

Leases are passed back to the store as they came.
"""

Number = Annotated[int, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]

MALFORMED_ERRORS: Final = (DecodeError, RecursionError)
"""What decoding a body raises; the second if it is nested too deeply."""


class WireStep(Struct):
    """A step of a job that a caller submits."""

    count: Number = 1
    cpu: Number = 0
    memory_request_mb: Number = 0
    gpu: Number = 0
    estimated_duration_ms: Number = 0
    after: list[Number] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    # The one label that a worker must have.
    requirements: str = ''
    # The rack that holds the data; it relates no tasks to each other.
    affinity: str = ''
    # The most tasks of the step on one worker; 0 for no limit.
    anti_affinity: Number = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    # Objective for response times of the tasks; 0 for none.
    target_ms: Number = 0
    # Best effort: the tasks use processor time that others leave unused.
    fills: bool = False
    # How many tasks may be unavailable, not how many ends may be missed.
    may_miss: Number = 0


class WireJob(Struct):
    """A job that a caller submits."""

    # Passed to workers unchanged.
    task_spec: str
    steps: list[WireStep]
    repetitions: Number = 0
    first_run_ms: Number = 0
    interval_ms: Number = 0


class WireResources(Struct):
    """Amounts of processor, memory and accelerators."""

    cpu: Number = 0
    memory_request_mb: Number = 0
    gpu: Number = 0


class WireWorkerEntry(Struct):
    """The entry that a worker keeps in the store about itself."""

    service: str
    address: str
    zone: str
    state: str
    capacity: WireResources
    labels: list[str]
    # Number of the worker's boot.
    born: Number
    # Only while it drains: the least time until it leaves.
    remaining_ms: Number | None = None


class WireAdviceTiming(Struct):
    """Timing of the advisory service for a queue."""

    # Time that the service needs for a decision.
    decision_ms: float = 0
    # Time per worker that a call names; not an interval.
    period_ms: float = 0
    # How long tickets are valid.
    validity_ms: float = 0


class WireQueue(Struct):
    """A queue in the operators' configuration."""

    name: str
    host: str
    prefix: str
    service: str
    timeout_ms: float = 3000
    # The constant part of the objective for a job's completion time.
    target_completion_ms: float = 0
    # Multiplies the job's critical path; added to the constant part.
    slack_factor: float = 1.0
    priority: Number = 0
    max_attempts: Number = 1
    allow_anonymous: bool = False
    recommendation: WireAdviceTiming | None = None


class WireService(Struct):
    """A pool of workers in the operators' configuration."""

    name: str
    # Whether its workers themselves refuse starts beyond their capacity.
    admission_check: bool = False
    standby: bool = False


class WireWorkspace(Struct):
    """A workspace in the operators' configuration."""

    name: str
    api_keys: list[str] = []
    weight: float = 1
    # Limit of the workspace; an amount of 0 is unlimited.
    upper_bound: WireResources = field(default_factory=WireResources)


class WireLimits(Struct):
    """Limits on callers' requests."""

    max_body_bytes: Number = 262144


class WireConfiguration(Struct):
    """The configuration document that operators store."""

    version: Number
    # The queues, each with the host and path prefix that callers use.
    routes: list[WireQueue] = []
    services: list[WireService] = []
    # The workspaces.
    tenants: list[WireWorkspace] = []
    limits: WireLimits = field(default_factory=WireLimits)


class WireWave(Struct):
    """A wave: an operator's request for maintenance of some instances."""

    wave: Number
    # Ids of instances.
    machines: list[str]
    duration_s: float
    # The most instances that may be down at once for this wave.
    upper_bound: Number = 1


class WireWorkerResponse(Struct):
    """A worker's answer to a poll or to an order.

    Only an answer to a poll has lists. ``running`` has rows of task name,
    run number, checkpoint, progress in percent and load; ``finished`` of end
    number, task name, run number, kind of end and checkpoint.
    """

    clock_ms: Number
    # Number of the worker's boot; 0 if it is not stated.
    born: Number = 0
    running: list[tuple[str, Number, str, Number, Number]] = []
    finished: list[tuple[Number, str, Number, str, str]] = []
    # Why an order was refused.
    reason: str = ''


class WireInstance(Struct):
    """An instance in the platform's list of instances."""

    # Id of the instance.
    machine: str
    # The service whose workers run on it.
    pool: str
    state: str
    zone: str = ''
    # The second label, if any, is the rack.
    labels: list[str] = []
    capacity: WireResources = field(default_factory=WireResources)
    # Id of the worker that now runs on the instance, not the instance's.
    id: str | None = None


class WireInstancePage(Struct):
    """A page of the platform's list of instances."""

    machines: list[WireInstance]
    next_page_token: str | None = None


class WireAdviceResponse(Struct):
    """The advisory service's answer: rows of worker id and ticket."""

    allowed: list[tuple[str, str]]
    validity_ms: float = 0


class WireItem(Struct):
    """An item of the store, or its deletion as a watch reports it."""

    key: str
    revision: Number
    # Encoded in base64.
    value: str = ''
    created: int = 0
    lease: int = 0
    deleted: bool = False


class WireItemPage(Struct):
    """A page of items, read at the store revision ``at``."""

    items: list[WireItem]
    at: Number
    has_more: bool = False


class WireWatchResponse(Struct):
    """The answer to a watch; the next watch starts after ``at``."""

    events: list[WireItem]
    at: Number


class WireWriteResponse(Struct):
    """The answer to a transaction or a call about a lease.

    A transaction gives ``revision``, a grant of a lease ``lease`` and
    ``ttl_ms``, a renewal ``ttl_ms``.
    """

    revision: int = 0
    lease: int = 0
    ttl_ms: int = 0


class WireRefusal(Struct):
    """The body with which the instance service refuses a call."""

    reason: str = ''
