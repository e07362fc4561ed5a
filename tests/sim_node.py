"""An entry instance of a simulated fleet, and its store thread."""

import collections
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import LaneId
from primroseledge.ids import WorkerId
from primroseledge.scheduling.timing import Timing
from standins.worker_core import MAX_LEASE_MS
from tests.fleet_platform_keys import SimPlatformKeys
from tests.fleet_storage import SimStoreClient


def create_sim_node(view: FleetView) -> FleetNode:
    """Return a node that knows the longest lease of the simulated workers."""
    timing = Timing(longest_lease_s=MAX_LEASE_MS / 1000)
    return FleetNode(view, timing=timing)


class RetryLater(Exception):
    """Raised where the store thread would wait before it retries a call."""


@dataclass(eq=False)
class SimStoreThread:
    """The state of a store thread, passed to the handlers of its commands.

    ``wait_before_retry`` raises ``RetryLater`` instead of waiting; the world
    then schedules the retry in simulated time.
    """

    store: SimStoreClient
    entry: EntryId
    address: str
    keys: SimPlatformKeys = field(default_factory=SimPlatformKeys)
    current_epoch: Epoch = Epoch(0)

    def wait_before_retry(self, _began_at: float) -> bool:
        raise RetryLater


@dataclass(eq=False)
class SimNode:
    """A simulated entry instance's process, from one start to its end."""

    node: FleetNode
    thread: SimStoreThread
    incarnation: int = 0
    started_at: float = 0.0
    is_alive: bool = True
    frozen_until: float = 0.0
    unreachable_workers: set[WorkerId] = field(default_factory=set)
    queued_commands: dict[LaneId, list[Any]] = field(
        default_factory=lambda: collections.defaultdict(list)
    )
    lanes_in_flight: set[LaneId] = field(default_factory=set)
    lease: Any = None
    next_order_at: dict[WorkerId, float] = field(default_factory=dict)

    def handle_store_result(self, result: Any, now: float) -> None:
        """Pass the result of a store thread's command to the node."""
        node = self.node
        if isinstance(result, ClaimWon):
            node.handle_claim_won(result, now)
        elif isinstance(result, ClaimLost):
            node.handle_claim_lost(result)
        elif isinstance(result, JobsRestored):
            node.handle_jobs_restored(result, now)
        elif isinstance(result, BatchStored):
            node.handle_batch_stored(result, now)
        elif isinstance(result, OwnershipLost):
            node.handle_ownership_lost(result)
        elif isinstance(result, OwnerReleased):
            node.handle_owner_released(result)
        elif isinstance(result, WorkersListed):
            node.handle_workers_listed(result, now)
        elif isinstance(result, WorkerListFailed):
            node.handle_worker_list_failed(result, now)
