"""What an instance holds at a moment, to be shown as gauges."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId


@dataclass(frozen=True, slots=True)
class TaskCount:
    """Tasks of a workspace at a service."""

    workspace: WorkspaceId
    service: ServiceId
    state: str
    tasks: int


@dataclass(frozen=True, slots=True)
class WorkerCount:
    """Workers of a service in a state."""

    service: ServiceId
    state: str
    workers: int


@dataclass(frozen=True, slots=True)
class EstimateError:
    """By what mean factor estimates of a service's runtimes were wrong.

    ``source`` is ``caller`` or ``learned``; ``factor`` is at least 1.
    """

    service: ServiceId
    source: str
    factor: float


@dataclass(frozen=True, slots=True)
class FleetFigures:
    """Figures of an entry instance.

    Only an owner has jobs, workers and evacuated zones.
    """

    epoch: int = 0
    is_owner: bool = False
    is_ready: bool = False
    configuration_version: int = 0
    open_calls: int = 0
    active_jobs: int = 0
    unstored_jobs: int = 0
    evacuated_zones: int = 0
    tasks: tuple[TaskCount, ...] = field(default_factory=tuple)
    workers: tuple[WorkerCount, ...] = field(default_factory=tuple)
    estimate_errors: tuple[EstimateError, ...] = field(default_factory=tuple)
