"""The configuration of queues, services and workspaces."""

from msgspec import Struct

from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.resources import Resources


class AdviceConfig(Struct, frozen=True):
    """Settings of a queue whose workers the advisory service chooses.

    ``decision_s`` is the time that the service takes for each request,
    ``per_worker_s`` the time that each worker named in it adds, and
    ``validity_s`` how long a ticket is valid. The scheduler uses none of
    these values.
    """

    decision_s: float
    per_worker_s: float
    validity_s: float


class Queue(Struct, frozen=True):
    """A queue: the URL at which jobs are submitted, and how these are run.

    Requests to ``host`` whose path starts with ``prefix`` belong to the
    queue, and the workers of ``service`` run its jobs. A caller waits at most
    ``timeout_s`` for an answer. A job is to be completed within its critical
    path times ``chain_factor`` plus ``objective_s``. Queues with a smaller
    ``priority`` are served first. A job fails when one of its tasks has
    failed ``max_attempts`` times. If ``is_open``, no key is required.
    Without ``advice`` the jobs may run on every worker of the service.
    """

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
    """A service: a pool of workers that run the jobs of some queues.

    The instances of a standby pool are switched off until another pool needs
    them. Without ``checks_room`` they start whatever they are told to, whether
    it fits or not.
    """

    id: ServiceId
    checks_room: bool = True
    is_standby: bool = False


class Workspace(Struct, frozen=True):
    """A workspace, on whose behalf callers submit jobs.

    Requests with one of the API keys in ``keys`` belong to it. ``limit``
    bounds the resources of all its planned and running tasks together; an
    amount of 0 means no limit. ``weight`` is its share of a service that is
    short of capacity, in proportion to the weights of the others.
    """

    id: WorkspaceId
    keys: frozenset[str]
    weight: float = 1.0
    limit: Resources = Resources()


class Configuration(Struct, frozen=True):
    """One complete version of the configuration.

    ``max_body_bytes`` is the size of the largest request body accepted.
    """

    version: int
    queues: dict[QueueId, Queue]
    services: dict[ServiceId, Service]
    workspaces: dict[WorkspaceId, Workspace]
    max_body_bytes: int = 1 << 18

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request's host and path belong to, or None.

        If the prefixes of several queues match, the longest one wins.
        """
        best_match: Queue | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.prefix):
                continue
            if best_match is None or len(queue.prefix) > len(
                best_match.prefix
            ):
                best_match = queue
        return best_match

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that an API key belongs to, or None."""
        for workspace in self.workspaces.values():
            if key in workspace.keys:
                return workspace
        return None
