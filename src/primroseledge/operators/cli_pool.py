"""Commands about pools and the instances in them."""

from collections.abc import Sequence

from click import argument
from click import group
from click import option
from msgspec import convert
from msgspec import ValidationError

from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.operators.changes import set_pool
from primroseledge.operators.console import Console
from primroseledge.operators.console import operator_command
from primroseledge.operators.rendering import Row
from primroseledge.policy.placement_changes import add_instance
from primroseledge.policy.placement_changes import move_instance
from primroseledge.policy.placement_changes import review_drain
from primroseledge.policy.placement_changes import set_draining
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service


@group()
def pool() -> None:
    """Pools and their instances."""


@pool.command('set')
@argument('pool_id', metavar='POOL')
@option('--buffer', type=int, help='Standing spare instances.')
@option('--spare/--no-spare', 'is_spare', default=None, help='Lends to all.')
@operator_command
def set_(
    console: Console, pool_id: str, buffer: int | None, is_spare: bool | None
) -> None:
    """Create a pool, or change it."""
    console.apply(lambda fleet: set_pool(fleet, pool_id, buffer, is_spare))


@pool.command('list')
@operator_command
def list_(console: Console) -> None:
    """List all pools."""
    fleet = console.read_fleet()
    rows = [describe_pool(fleet, item) for item in fleet.each(Pool)]
    console.show_table(
        rows, 'pool', 'services', 'instances', 'draining', 'buffer', 'spare'
    )


@pool.command()
@argument('pool_id', metavar='POOL')
@operator_command
def instances(console: Console, pool_id: str) -> None:
    """List the instances of a pool."""
    members = find_members(console.read_fleet(), pool_id)
    rows = [describe_instance(item) for item in members]
    console.show_table(
        rows, 'instance', 'zone', 'rack', 'address', 'slots', 'draining'
    )


@pool.command('add-instance')
@argument('instance_id', metavar='INSTANCE')
@option('--pool', 'pool_id', required=True, help='Pool that it joins.')
@option('--zone', required=True, help='Its availability zone.')
@option('--rack', required=True, help='Its rack.')
@option('--address', required=True, help='IP:PORT where it serves.')
@option('--slots', type=int, default=8, show_default=True)
@option('--connections', type=int, default=64, show_default=True)
@option('--cores', type=int, default=0)
@option('--memory-mb', type=int, default=0)
@option('--accelerators', type=int, default=0)
@operator_command
def add(
    console: Console, /, instance_id: str, pool_id: str, **values: object
) -> None:
    """Put a new instance in a pool."""
    try:
        instance = convert(
            {'id': instance_id, 'pool': pool_id, **values}, Instance
        )
    except ValidationError as error:
        raise OperatorError(f'instance {instance_id!r}: {error}') from error
    console.apply(lambda fleet: add_instance(fleet, instance))


@pool.command()
@argument('instance_id', metavar='INSTANCE')
@operator_command
def drain(console: Console, instance_id: str) -> None:
    """Give an instance no new requests; running ones finish."""
    console.apply(
        lambda fleet: set_draining(fleet, instance_id, True),
        lambda fleet: review_drain(fleet, instance_id),
    )


@pool.command('return')
@argument('instance_id', metavar='INSTANCE')
@operator_command
def return_(console: Console, instance_id: str) -> None:
    """Let a drained instance take requests again."""
    console.apply(lambda fleet: set_draining(fleet, instance_id, False))


@pool.command()
@argument('instance_id', metavar='INSTANCE')
@argument('pool_id', metavar='POOL')
@operator_command
def move(console: Console, instance_id: str, pool_id: str) -> None:
    """Move a drained instance to another pool."""
    console.apply(lambda fleet: move_instance(fleet, instance_id, pool_id))


def describe_pool(fleet: Fleet, item: Pool) -> Row:
    """Return a pool as a row."""
    members = find_members(fleet, item.id)
    return {
        'pool': item.id,
        'services': [
            service.id
            for service in fleet.each(Service)
            if service.pool == item.id
        ],
        'instances': len(members),
        'draining': sum(member.is_draining for member in members),
        'buffer': item.buffer,
        'spare': item.spare,
    }


def describe_instance(item: Instance) -> Row:
    """Return an instance as a row."""
    return {
        'instance': item.id,
        'pool': item.pool,
        'zone': item.zone,
        'rack': item.rack,
        'address': item.address,
        'slots': item.slots,
        'draining': item.is_draining,
    }


def find_members(fleet: Fleet, pool_id: str) -> Sequence[Instance]:
    """Return the instances of a pool."""
    return [item for item in fleet.instances() if item.pool == pool_id]
