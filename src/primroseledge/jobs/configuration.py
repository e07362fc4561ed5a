"""The operators' configuration of queues, services and workspaces."""

from msgspec import Struct

from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.resources import Resources


class AdviceConfig(Struct, frozen=True):
    """Says that the advisory service chooses a queue's workers."""

    decision_s: float
    per_worker_s: float
    validity_s: float


class Queue(Struct, frozen=True):
    """A queue: where callers reach it and how its jobs are run."""

    id: QueueId
    host: str
    prefix: str
    service: ServiceId
    timeout_s: float = 3.0
    objective_s: float = 0.0
    chain_factor: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    is_open: bool = False
    advice: AdviceConfig | None = None


class Service(Struct, frozen=True):
    """A pool of workers; ``is_standby`` ones are off and free."""

    id: ServiceId
    checks_room: bool = True
    is_standby: bool = False


class Workspace(Struct, frozen=True):
    """Who hands jobs in; a limit's amount of 0 bounds nothing."""

    id: WorkspaceId
    keys: frozenset[str]
    weight: float = 1.0
    limit: Resources = Resources()


class Configuration(Struct, frozen=True):
    """A whole version of the configuration."""

    version: int
    queues: dict[QueueId, Queue]
    services: dict[ServiceId, Service]
    workspaces: dict[WorkspaceId, Workspace]
    max_body_bytes: int = 1 << 18

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        found: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if found is None or len(queue.prefix) > len(found.prefix):
                found = queue
        return found

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that a key belongs to."""
        for workspace in self.workspaces.values():
            if key in workspace.keys:
                return workspace
        return None
