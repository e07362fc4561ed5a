"""The platform over HTTP: its list of instances and its task service."""

from collections.abc import Sequence
from typing import Any
from typing import TypeVar

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from msgspec import to_builtins

from primroseledge.ids import InstanceId
from primroseledge.storage.json_call import JsonCaller
from primroseledge.storage.json_call import LostAnswerError
from primroseledge.storage.json_call import NotReachedError
from primroseledge.storage.json_call import StatusError
from primroseledge.storage.task_service import InstanceStatus
from primroseledge.storage.task_service import PlatformError
from primroseledge.storage.task_service import PlatformOutcomeUnknownError
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskSpec
from primroseledge.storage.task_service import TaskStatus

AnswerT = TypeVar('AnswerT', bound=Struct)


class InstanceList(Struct, frozen=True):
    """The answer with the list of instances."""

    instances: list[InstanceStatus]


class TaskList(Struct, frozen=True):
    """The answer with the list of tasks."""

    tasks: list[TaskStatus]


class Saved(Struct, frozen=True):
    """The answer that says where a task's progress is."""

    checkpoint: str


class Nothing(Struct, frozen=True):
    """An answer without fields."""


class HttpPlatform:
    """Calls the platform; one object is used by one thread.

    It is an ``InstanceService`` and a ``TaskService``.
    """

    def __init__(self, urls: Sequence[str], timeout_s: float) -> None:
        self.caller = JsonCaller(urls, timeout_s)

    def close(self) -> None:
        """Close the connections."""
        self.caller.close()

    # The instance service.

    def instances(self) -> list[InstanceStatus]:
        """Return the list of live and leaving instances; it lags."""
        return self.call('GET', 'instances', {}, InstanceList).instances

    def drain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance is leaving."""
        fields = {'instance': instance, 'operation': operation}
        self.call('POST', 'drain', fields, Nothing)

    def undrain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance stays, or has come back."""
        fields = {'instance': instance, 'operation': operation}
        self.call('POST', 'undrain', fields, Nothing)

    def reboot(self, instance: InstanceId, boot_id: str, image: str) -> None:
        """Reboot an instance if it still has this boot."""
        fields = {'instance': instance, 'boot_id': boot_id, 'image': image}
        self.call('POST', 'reboot', fields, Nothing)

    # The task service.

    def submit(self, spec: TaskSpec) -> None:
        """Start a task; the same task id again changes nothing."""
        self.call('POST', 'submit', to_builtins(spec), Nothing)

    def tasks(self) -> list[TaskStatus]:
        """Return all tasks, ended ones for a while too."""
        return self.call('GET', 'tasks', {}, TaskList).tasks

    def keep_alive(self, task_ids: list[str]) -> None:
        """Renew the leases of tasks."""
        self.call('POST', 'keep_alive', {'task_ids': task_ids}, Nothing)

    def checkpoint(self, task_id: str) -> str:
        """Save the task's progress and return where."""
        fields = {'task_id': task_id}
        return self.call('POST', 'checkpoint', fields, Saved).checkpoint

    def throttle(self, task_id: str, fraction: float) -> None:
        """Let the task grow and compute at this fraction of its speed."""
        fields = {'task_id': task_id, 'fraction': fraction}
        self.call('POST', 'throttle', fields, Nothing)

    def stop(self, task_id: str) -> None:
        """Stop a task for good; an id not seen yet never starts."""
        self.call('POST', 'stop', {'task_id': task_id}, Nothing)

    # Calls.

    def call(
        self,
        method: str,
        operation: str,
        fields: dict[str, Any],
        answer_type: type[AnswerT],
    ) -> AnswerT:
        """Make one call and return its decoded answer."""
        try:
            data = self.caller.call(method, operation, fields)
            return json.decode(data, type=answer_type)
        except NotReachedError as error:
            text = f'{operation}: {error}'
            raise PlatformUnavailableError(text) from error
        except StatusError as error:
            raise PlatformError(f'{operation}: {error}') from error
        except (LostAnswerError, DecodeError) as error:
            is_read = method == 'GET'
            raise lost_answer(is_read, f'{operation}: {error}') from error


def lost_answer(is_read: bool, text: str) -> PlatformError:
    """Return the error for a call whose answer did not come whole."""
    if is_read:
        return PlatformUnavailableError(text)
    return PlatformOutcomeUnknownError(text)


def open_platform(urls: Sequence[str], timeout_s: float) -> HttpPlatform:
    """Return a client of the platform; the caller closes it."""
    return HttpPlatform(urls, timeout_s)
