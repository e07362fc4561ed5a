"""Events that the node of an entry instance handles, by their types.

Other threads post them to the loop, which passes them on.
"""

from collections.abc import Callable
from typing import Any
from typing import Final

from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import InstanceReported
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import LeaseLost
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import MemberLeft
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkerReport
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.scheduling.advice import AdviceAnswered
from primroseledge.scheduling.advice import AdviceFailed

Handler = Callable[[FleetNode, Any, float], None]
HANDLERS: Final[dict[type, Handler]] = {}


def register_handler(*kinds: type) -> Callable[[Handler], Handler]:
    """Register the decorated function as handler of kinds of events."""

    def register(handler: Handler) -> Handler:
        for kind in kinds:
            HANDLERS[kind] = handler
        return handler

    return register


def handle_event(node: FleetNode, event: Any, now: float) -> None:
    """Let a node handle an event that was posted to its loop."""
    HANDLERS[type(event)](node, event, now)


@register_handler(WatchedKeysRead)
def handle_keys(node: FleetNode, item: WatchedKeysRead, now: float) -> None:
    """Pass watched keys to the node."""
    node.apply_keys(item, now)


@register_handler(StoreUnavailable)
def handle_store_unavailable(
    node: FleetNode, item: StoreUnavailable, now: float
) -> None:
    """Pass an outage of the store to the node's view."""
    node.view.handle_store_unavailable(item, now)


@register_handler(LeaseRenewed)
def handle_lease_renewed(
    node: FleetNode, item: LeaseRenewed, now: float
) -> None:
    """Pass a lease renewal to the node."""
    node.handle_lease_renewed(item)


@register_handler(LeaseLost)
def handle_lease_lost(node: FleetNode, item: LeaseLost, now: float) -> None:
    """Pass the loss of the lease to the node."""
    node.handle_lease_lost()


@register_handler(ClaimWon)
def handle_claim_won(node: FleetNode, item: ClaimWon, now: float) -> None:
    """Pass a successful claim to the node."""
    node.handle_claim_won(item, now)


@register_handler(ClaimLost)
def handle_claim_lost(node: FleetNode, item: ClaimLost, now: float) -> None:
    """Pass a failed claim to the node."""
    node.handle_claim_lost(item)


@register_handler(JobsRestored)
def handle_jobs_restored(
    node: FleetNode, item: JobsRestored, now: float
) -> None:
    """Pass the restored records to the node."""
    node.handle_jobs_restored(item, now)


@register_handler(BatchStored)
def handle_batch_stored(
    node: FleetNode, item: BatchStored, now: float
) -> None:
    """Pass the result of a stored batch to the node."""
    node.handle_batch_stored(item, now)


@register_handler(OwnershipLost)
def handle_ownership_lost(
    node: FleetNode, item: OwnershipLost, now: float
) -> None:
    """Pass the loss of the ownership to the node."""
    node.handle_ownership_lost(item)


@register_handler(OwnerReleased)
def handle_owner_released(
    node: FleetNode, item: OwnerReleased, now: float
) -> None:
    """Pass the result of a release to the node."""
    node.handle_owner_released(item)


@register_handler(MemberLeft)
def handle_member_left(node: FleetNode, item: MemberLeft, now: float) -> None:
    """Ignore that the member record was removed: nothing depends on it."""


@register_handler(WorkersListed)
def handle_workers_listed(
    node: FleetNode, item: WorkersListed, now: float
) -> None:
    """Pass the list of workers to the node."""
    node.handle_workers_listed(item, now)


@register_handler(WorkerListFailed)
def handle_worker_list_failed(
    node: FleetNode, item: WorkerListFailed, now: float
) -> None:
    """Pass a failure to list the workers to the node."""
    node.handle_worker_list_failed(item, now)


@register_handler(WorkerReport)
def handle_worker_report(
    node: FleetNode, item: WorkerReport, now: float
) -> None:
    """Pass the result of an order or poll to the node."""
    node.handle_worker_report(item, now)


@register_handler(InstanceReported)
def handle_instance_report(
    node: FleetNode, item: InstanceReported, now: float
) -> None:
    """Pass the result of a platform call about instances to the node."""
    node.handle_instance_report(item, now)


@register_handler(AdviceAnswered, AdviceFailed)
def handle_advice_answer(
    node: FleetNode, item: AdviceAnswered | AdviceFailed, now: float
) -> None:
    """Pass the advisory service's answer or failure to the node."""
    node.handle_advice_answer(item, now)
