"""Changes of where instances are and whether they drain.

Each function takes the fleet as read and returns a ``Change``; each
raises OperatorError when it must not be done.
"""

from msgspec.structs import replace

from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.fleet import shard_of
from primroseledge.operators.changes import Change
from primroseledge.operators.changes import plan
from primroseledge.operators.changes import require
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service


def add_instance(fleet: Fleet, instance: Instance) -> Change:
    """Put a new instance in a pool."""
    require(fleet, Pool, 'pool', instance.pool)
    present = fleet.find_shard(instance.id)
    if present is not None:
        pool = present.instances[instance.id].pool
        raise OperatorError(
            f'instance {instance.id!r} is in pool {pool!r} already; use '
            'primroseledge pool move'
        )
    for other in fleet.instances():
        if other.address == instance.address:
            raise OperatorError(
                f'address {instance.address} belongs to instance {other.id!r}'
            )
    shard = shard_of(instance.id)
    placement = fleet.find(Placement, 'placement', shard)
    return place(fleet, placement or Placement(id=shard), instance)


def set_draining(fleet: Fleet, instance_id: str, is_draining: bool) -> Change:
    """Drain an instance, or let it take requests again."""
    placement, instance = require_instance(fleet, instance_id)
    if is_draining and not instance.is_draining:
        check_budgets(fleet, instance)
    return place(fleet, placement, replace(instance, is_draining=is_draining))


def move_instance(fleet: Fleet, instance_id: str, pool_id: str) -> Change:
    """Move a drained instance to another pool, in one write."""
    placement, instance = require_instance(fleet, instance_id)
    require(fleet, Pool, 'pool', pool_id)
    if instance.pool != pool_id and not instance.is_draining:
        raise OperatorError(
            f'instance {instance_id!r} takes requests; first run '
            f'primroseledge pool drain {instance_id}'
        )
    return place(fleet, placement, replace(instance, pool=pool_id))


def place(fleet: Fleet, placement: Placement, instance: Instance) -> Change:
    """Return the change that puts an instance in a shard."""
    instances = {**placement.instances, instance.id: instance}
    key = document_key('placement', placement.id)
    return plan(fleet, key, replace(placement, instances=instances))


def review_drain(fleet: Fleet, instance_id: str) -> Change | None:
    """Return the change that takes a drain back, if a budget is overspent.

    Two drains of different instances are written to different shards,
    so each may pass its check before the other is written. Whoever
    reads both afterwards takes its own back.
    """
    placement, instance = require_instance(fleet, instance_id)
    if not instance.is_draining or not find_excess(fleet, instance):
        return None
    return place(fleet, placement, replace(instance, is_draining=False))


def check_budgets(fleet: Fleet, instance: Instance) -> None:
    """Check that each service's budget lets an instance be drained."""
    draining = replace(instance, is_draining=True)
    excess = find_excess(fleet, draining)
    if excess:
        raise OperatorError(f'{excess}; return one first')


def find_excess(fleet: Fleet, instance: Instance) -> str:
    """Say which budget a draining instance overspends, or nothing.

    Other instances that drain count; failures that only the entry
    instances see do not.
    """
    others = [
        other
        for other in fleet.instances()
        if other.pool == instance.pool
        and other.is_draining
        and other.id != instance.id
    ]
    in_zone = [other for other in others if other.zone == instance.zone]
    for service in fleet.each(Service):
        if service.pool != instance.pool:
            continue
        budget = service.budget
        for name, used, allowed in (
            ('unavailable', others, budget.unavailable),
            ('unavailable_per_zone', in_zone, budget.unavailable_per_zone),
        ):
            if len(used) + 1 > allowed:
                ids = ', '.join(other.id for other in used) or 'none'
                return (
                    f'budget.{name} of service {service.id!r} is {allowed}; '
                    f'draining already: {ids}'
                )
    return ''


def require_instance(
    fleet: Fleet, instance_id: str
) -> tuple[Placement, Instance]:
    """Return an instance and its shard; raises OperatorError."""
    placement = fleet.find_shard(instance_id)
    if placement is None:
        raise OperatorError(
            f'there is no instance {instance_id!r}; see '
            'primroseledge pool list'
        )
    return placement, placement.instances[instance_id]
