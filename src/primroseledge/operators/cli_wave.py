"""Commands about maintenance waves."""

from collections.abc import Callable
from collections.abc import Iterable
from secrets import token_hex
from typing import NoReturn

from click import argument
from click import get_current_context
from click import group
from click import option

from primroseledge.errors import OperatorError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.exit_codes import ExitCode
from primroseledge.fleet import Fleet
from primroseledge.fleet import read_fleet
from primroseledge.ids import PoolId
from primroseledge.ids import WriteId
from primroseledge.operators.changes import require
from primroseledge.operators.console import Console
from primroseledge.operators.console import operator_command
from primroseledge.operators.operators import command_wave
from primroseledge.operators.operators import start_pool_wave
from primroseledge.operators.rendering import Row
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import Wave
from primroseledge.policy.wave_status import find_plans
from primroseledge.policy.wave_status import show_plan
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.documents import Pool
from primroseledge.storage.records import Records
from primroseledge.storage.store import Store

UNKNOWN_NEXT = (
    'it may have taken effect; see primroseledge wave status, and run the '
    'command again if it did not'
)
REFUSED_NEXT = 'nothing was written; try again when the store answers'

ChangePlan = Callable[[Records, PoolId], Plan]


@group()
def wave() -> None:
    """Maintenance waves."""


@wave.command()
@argument('wave_id', metavar='WAVE')
@option('--image', required=True, help='What instances boot into.')
@option('--previous-image', required=True, help='What a rollback boots.')
@option('--pool', 'pool_id', default='', help='One pool; else all.')
@option('--width', type=int, default=0, help='Most in flight in a pool.')
@operator_command
def start(
    console: Console,
    wave_id: str,
    image: str,
    previous_image: str,
    pool_id: str,
    width: int,
) -> None:
    """Start a wave; availability budgets hold throughout."""
    planned = Wave(
        id=wave_id,
        image=image,
        previous_image=previous_image,
        max_width=width,
        started_at=console.connections.wall_clock(),
    )
    with console.open_store() as store:
        pools = pools_to_start(read_fleet(store.read(CONFIG_PREFIX)), pool_id)
        change_plans(
            console,
            store,
            pools,
            lambda records, pool: start_pool_wave(records, pool, planned),
        )


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def halt(console: Console, wave_id: str) -> None:
    """Start no further instance; those not yet rebooted return."""
    command(console, wave_id, 'halt')


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def resume(console: Console, wave_id: str) -> None:
    """Go on with a halted wave, one instance first."""
    command(console, wave_id, 'resume')


@wave.command()
@argument('wave_id', metavar='WAVE')
@operator_command
def rollback(console: Console, wave_id: str) -> None:
    """Return the wave's instances to the previous image."""
    command(console, wave_id, 'roll_back')


@wave.command()
@operator_command
def status(console: Console) -> None:
    """Show where each wave stands, and what it waits for."""
    with console.open_store() as store:
        fleet = read_fleet(store.read(CONFIG_PREFIX))
        plans = find_plans(store)
    rows = [
        row
        for pool, plan in sorted(plans.items())
        if (row := show_plan(console, fleet, pool, plan)) is not None
    ]
    console.show_table(
        rows, 'wave', 'pool', 'state', 'done', 'left', 'ends_in_s', 'waits_for'
    )


def pools_to_start(fleet: Fleet, pool_id: str) -> list[PoolId]:
    """Return the named pool, or every pool that has instances."""
    if pool_id:
        return [require(fleet, Pool, 'pool', pool_id).pool_id]
    pools = sorted({PoolId(item.pool) for item in fleet.instances()})
    if not pools:
        raise OperatorError('no pool has instances')
    return pools


def command(console: Console, wave_id: str, trigger: str) -> None:
    """Command the wave in every pool whose plan has it."""
    with console.open_store() as store:
        pools = [
            pool
            for pool, plan in find_plans(store).items()
            if plan.wave is not None and plan.wave.id == wave_id
        ]
        if not pools:
            raise OperatorError(
                f'there is no wave {wave_id!r}; see primroseledge wave status'
            )
        change_plans(
            console,
            store,
            sorted(pools),
            lambda records, pool: command_wave(
                records, pool, trigger, wave_id
            ),
        )


def change_plans(
    console: Console,
    store: Store,
    pools: Iterable[PoolId],
    change: ChangePlan,
) -> NoReturn:
    """Change each pool's plan, say what became of each, and exit.

    The exit code is that of the worst result, an unknown one first.
    """
    records = Records(store, lambda: WriteId(token_hex(16)))
    rows: list[Row] = []
    codes: list[ExitCode] = []
    for pool in pools:
        row, code = change_plan(records, pool, change)
        rows.append(row)
        codes.append(code)
    console.show_table(rows, 'pool', 'result', 'wave', 'state', 'detail')
    is_unknown = ExitCode.UNKNOWN in codes
    get_current_context().exit(ExitCode.UNKNOWN if is_unknown else max(codes))


def change_plan(
    records: Records, pool: PoolId, change: ChangePlan
) -> tuple[Row, ExitCode]:
    """Change one pool's plan; return what became of it."""
    try:
        plan = change(records, pool)
    except OperatorError as error:
        row: Row = {'pool': pool, 'result': 'refused', 'detail': str(error)}
        return row, ExitCode.REFUSED
    except StoreOutcomeUnknownError:
        row = {'pool': pool, 'result': 'unknown', 'detail': UNKNOWN_NEXT}
        return row, ExitCode.UNKNOWN
    except StoreError:
        row = {'pool': pool, 'result': 'refused', 'detail': REFUSED_NEXT}
        return row, ExitCode.UNREACHABLE
    assert plan.wave is not None
    row = {
        'pool': pool,
        'result': 'accepted',
        'wave': plan.wave.id,
        'state': plan.wave.state.value,
    }
    return row, ExitCode.OK
