"""What operators may do to a pool's wave.

Each command is one compare-and-swap on the plan as it is at that
moment, so of two operators, or an operator and the controller, the
later one gets a clear answer from the state that the earlier one left.
"""

from collections.abc import Callable
from typing import Final

from msgspec.structs import replace

from primroseledge.errors import ConflictError
from primroseledge.errors import OperatorError
from primroseledge.ids import PoolId
from primroseledge.policy.plan import command
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import start_wave
from primroseledge.policy.plan import Wave
from primroseledge.storage.records import Records

MAX_TRIES: Final = 5


def start_pool_wave(records: Records, pool: PoolId, wave: Wave) -> Plan:
    """Start a wave; raise OperatorError while another is open.

    A start whose answer was lost is found in the plan, however far the
    wave has come since; ``started_at`` tells it from another start.
    """

    def change(plan: Plan) -> Plan:
        before = plan.wave
        if before is None or before.id != wave.id:
            return start_wave(plan, wave)
        if wave.started_at and before.started_at == wave.started_at:
            return plan
        raise OperatorError(
            f'wave {wave.id} is {before.state.value}; choose another id'
        )

    return _change(records, pool, change)


def command_wave(
    records: Records, pool: PoolId, trigger: str, wave_id: str = ''
) -> Plan:
    """Halt, resume or roll back a pool's wave.

    Raises OperatorError when there is no wave, it is not the one that
    ``wave_id`` names, or it is in a state in which the command is not
    possible.
    """

    def change(plan: Plan) -> Plan:
        if plan.wave is None:
            raise OperatorError(f'pool {pool} has no wave')
        if wave_id and plan.wave.id != wave_id:
            raise OperatorError(f'pool {pool} has wave {plan.wave.id} now')
        return replace(plan, wave=command(plan.wave, trigger))

    return _change(records, pool, change)


def _change(
    records: Records, pool: PoolId, change: Callable[[Plan], Plan]
) -> Plan:
    key = plan_key(pool)
    for _ in range(MAX_TRIES):
        plan = records.load(key, Plan())
        try:
            return records.swap(key, change(plan.value), plan.revision).value
        except ConflictError:
            continue
    raise OperatorError(
        f'pool {pool}: the plan changed {MAX_TRIES} times meanwhile; nothing'
        ' was done'
    )
