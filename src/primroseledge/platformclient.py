"""The platform over HTTP, as ``InstanceService`` and ``TaskService``."""

from collections.abc import Mapping
from contextlib import ExitStack
from typing import Any
from typing import TypeVar

from msgspec import convert
from msgspec import DecodeError
from msgspec import json
from msgspec import to_builtins
from msgspec import ValidationError
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.poolmanager import PoolManager
from urllib3.util import Timeout

from primroseledge.ids import InstanceId
from primroseledge.platform import InstanceStatus
from primroseledge.platform import PlatformError
from primroseledge.platform import PlatformOutcomeUnknownError
from primroseledge.platform import PlatformUnavailableError
from primroseledge.platform import TaskSpec
from primroseledge.platform import TaskStatus

ValueT = TypeVar('ValueT')


class HttpPlatform:
    """Calls the platform; each call is one HTTP request, never resent.

    Raises PlatformUnavailableError when nothing was done, and
    PlatformOutcomeUnknownError when the answer did not come whole.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self.url = url.rstrip('/')
        self.timeout = Timeout(connect=timeout_s, read=timeout_s)
        self.resources = ExitStack()
        self.pool = PoolManager(retries=False)
        self.resources.callback(self.pool.clear)

    def close(self) -> None:
        """Close the connections."""
        self.resources.close()

    def instances(self) -> list[InstanceStatus]:
        """Return the list of live and leaving instances; it lags."""
        return _typed(self.call('GET', 'instances'), list[InstanceStatus])

    def drain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance is leaving."""
        fields = {'instance': instance, 'operation': operation}
        self.call('POST', 'instances/drain', fields)

    def undrain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance stays, or has come back."""
        fields = {'instance': instance, 'operation': operation}
        self.call('POST', 'instances/undrain', fields)

    def reboot(self, instance: InstanceId, boot_id: str, image: str) -> None:
        """Reboot an instance if it still has this boot."""
        fields = {'instance': instance, 'boot_id': boot_id, 'image': image}
        self.call('POST', 'instances/reboot', fields)

    def tasks(self) -> list[TaskStatus]:
        """Return all tasks, ended ones for a while too."""
        return _typed(self.call('GET', 'tasks'), list[TaskStatus])

    def submit(self, spec: TaskSpec) -> None:
        """Start a task; the same task id again changes nothing."""
        self.call('POST', 'tasks/submit', to_builtins(spec))

    def keep_alive(self, task_ids: list[str]) -> None:
        """Renew the leases of tasks."""
        self.call('POST', 'tasks/keep-alive', {'task_ids': task_ids})

    def checkpoint(self, task_id: str) -> str:
        """Save the task's progress and return where."""
        return str(self.call('POST', 'tasks/checkpoint', {'task_id': task_id}))

    def throttle(self, task_id: str, fraction: float) -> None:
        """Let the task compute at this fraction of its speed."""
        fields = {'task_id': task_id, 'fraction': fraction}
        self.call('POST', 'tasks/throttle', fields)

    def stop(self, task_id: str) -> None:
        """Stop a task for good; an id not seen yet never starts."""
        self.call('POST', 'tasks/stop', {'task_id': task_id})

    def call(
        self,
        method: str,
        operation: str,
        fields: Mapping[str, Any] | None = None,
    ) -> Any:
        """Make one call and return the value of its answer."""
        is_read = method == 'GET'
        try:
            response = self.pool.request(
                method,
                f'{self.url}/v1/{operation}',
                body=None if is_read else json.encode(fields),
                timeout=self.timeout,
            )
            data = response.data
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise PlatformUnavailableError(f'{operation}: {error}') from error
        except HTTPError as error:
            raise _lost(is_read, f'{operation}: {error}') from error
        if response.status == 503:
            raise PlatformUnavailableError(f'{operation}: status 503')
        if response.status != 200:
            raise PlatformError(f'{operation}: status {response.status}')
        try:
            return json.decode(data)['value']
        except (DecodeError, KeyError, TypeError) as error:
            raise _lost(is_read, f'{operation}: {error!r}') from error


def _lost(is_read: bool, text: str) -> PlatformError:
    if is_read:
        return PlatformUnavailableError(text)
    return PlatformOutcomeUnknownError(text)


def _typed(value: Any, kind: type[ValueT]) -> ValueT:
    try:
        return convert(value, kind)
    except ValidationError as error:
        raise PlatformError(f'malformed answer: {error}') from error
