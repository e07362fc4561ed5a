"""The interfaces of the platform: instances and the task service.

Each call that changes something carries an id chosen by the caller,
and the same id again has no further effect; so a call whose answer was
lost can be repeated. Calls raise PlatformUnavailableError when nothing
was done and PlatformOutcomeUnknownError when an answer was lost.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from primroseledge.errors import PrimroseledgeError
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId


class PlatformError(PrimroseledgeError):
    """The platform could not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """The platform refused or could not be reached; nothing was done."""


class PlatformOutcomeUnknownError(PlatformError):
    """The answer was lost; the call may or may not have taken effect."""


class Life(Enum):
    """What the platform's list says of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@dataclass(frozen=True, slots=True)
class InstanceStatus:
    """A line of the platform's list; the list lags.

    ``boot_id`` differs after every boot. ``is_healthy`` is the answer
    of the instance's own health check, ``image`` what it booted.
    """

    instance: InstanceId
    life: Life
    boot_id: str
    boot_age_s: float
    is_healthy: bool
    image: str


class TaskState(Enum):
    """What became of a task; ``LOST`` ones ran on a failed worker."""

    RUNNING = 'running'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LOST = 'lost'


@dataclass(frozen=True, slots=True)
class TaskSpec:
    """A task to run; the task id says which job and which attempt.

    The service starts a task id at most once, and stops the task when
    its lease has lapsed. ``checkpoint`` is where to go on from.
    """

    task_id: str
    job: JobId
    worker: InstanceId
    cores: float
    memory_mb: float
    accelerators: int
    lease_s: float
    checkpoint: str = ''


@dataclass(frozen=True, slots=True)
class TaskStatus:
    """A task as the task service reports it; usage lags."""

    task_id: str
    job: JobId
    worker: InstanceId
    state: TaskState
    cores: float = 0.0
    memory_mb: float = 0.0
    usage_age_s: float = 0.0
    checkpoint: str = ''
    result: str = ''
    has_started: bool = True


class TaskService(Protocol):
    """Tasks under leases."""

    def submit(self, spec: TaskSpec) -> None:
        """Start a task; the same task id again changes nothing."""

    def tasks(self) -> list[TaskStatus]:
        """Return all tasks, ended ones for a while too."""

    def keep_alive(self, task_ids: list[str]) -> None:
        """Renew the leases of tasks."""

    def checkpoint(self, task_id: str) -> str:
        """Save the task's progress and return where."""

    def throttle(self, task_id: str, fraction: float) -> None:
        """Let the task grow and compute at this fraction of its speed."""

    def stop(self, task_id: str) -> None:
        """Stop a task for good; an id not seen yet never starts."""


class InstanceService(Protocol):
    """Instances that drain and reboot."""

    def instances(self) -> list[InstanceStatus]:
        """Return the list of live and leaving instances; it lags."""

    def drain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance is leaving."""

    def reboot(self, instance: InstanceId, boot_id: str, image: str) -> None:
        """Reboot an instance if it still has this boot; else do nothing."""

    def undrain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance stays, or has come back."""
