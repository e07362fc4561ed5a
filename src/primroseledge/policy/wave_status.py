"""Where a wave stands, from its plan, for the command line."""

from urllib.parse import quote

from msgspec import json
from msgspec import MsgspecError

from primroseledge.errors import OperatorError
from primroseledge.errors import PrimroseledgeError
from primroseledge.fleet import Fleet
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.operators.connections import decode_explanations
from primroseledge.operators.console import Console
from primroseledge.operators.rendering import Row
from primroseledge.policy.plan import ENDED
from primroseledge.policy.plan import FORWARD
from primroseledge.policy.plan import IN_FLIGHT
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import PLANS_PREFIX
from primroseledge.policy.plan import SETTLED
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveState
from primroseledge.policy.sizing import rounds
from primroseledge.policy.wave import estimate_s
from primroseledge.storage.documents import Service
from primroseledge.storage.store import Store


def find_plans(store: Store) -> dict[PoolId, Plan]:
    """Return the plan of each pool; raise OperatorError when invalid."""
    plans: dict[PoolId, Plan] = {}
    for record in store.read(PLANS_PREFIX).records:
        if record.value is None:
            continue
        try:
            plan = json.decode(record.value, type=Plan)
        except MsgspecError as error:
            raise OperatorError(f'{record.key}: {error}') from error
        plans[PoolId(record.key.removeprefix(PLANS_PREFIX))] = plan
    return plans


def show_plan(
    console: Console, fleet: Fleet, pool: PoolId, plan: Plan
) -> Row | None:
    """Return a plan's wave as a row, None when it has none."""
    wave = plan.wave
    if wave is None:
        return None
    names = {
        item.instance_id for item in fleet.instances() if item.pool == pool
    }
    done = sum(plan.steps.get(name, Step()).state in SETTLED for name in names)
    elapsed_s = console.connections.wall_clock() - wave.started_at
    return {
        'wave': wave.id,
        'pool': pool,
        'state': wave.state.value,
        'image': wave.image,
        'previous_image': wave.previous_image,
        'width': wave.width,
        'done': done,
        'left': len(names) - done,
        'failed': wave.failed,
        'ends_in_s': ends_in_s(
            plan, names, done, allowed_in(fleet, pool), elapsed_s
        ),
        'waits_for': [
            *waits_for(plan, wave),
            *explanations(console, pool, wave),
        ],
    }


def allowed_in(fleet: Fleet, pool: PoolId) -> int:
    """Return how many instances the budgets of a pool let stop at once."""
    return min(
        (
            service.budget.unavailable
            for service in fleet.each(Service)
            if service.pool == pool
        ),
        default=len(list(fleet.instances())),
    )


def ends_in_s(
    plan: Plan,
    names: set[InstanceId],
    done: int,
    allowed: int,
    elapsed_s: float,
) -> int | None:
    """Return the estimated seconds to a wave's end, None if unknown.

    A round of instances is taken to last as long as those until now.
    """
    wave = plan.wave
    if wave is None or wave.state in ENDED:
        return 0
    if wave.state not in FORWARD or not done or not wave.started_at:
        return None
    each_s = elapsed_s / rounds(done, allowed)
    return round(estimate_s(plan, names, allowed, each_s))


def waits_for(plan: Plan, wave: Wave) -> list[str]:
    """Return what a wave waits for, as far as its plan says."""
    if wave.state in ENDED:
        return []
    if wave.state is WaveState.HALTED:
        return [f'an operator ({wave.detail})']
    flying = [
        f'{name} {step.state.value}'
        for name, step in sorted(plan.steps.items())
        if step.state in IN_FLIGHT
    ]
    if flying or wave.state is not WaveState.PLANNED:
        return flying
    return ['the owner of the pool to take it up']


def explanations(console: Console, pool: PoolId, wave: Wave) -> list[str]:
    """Return why the pool's wave waits, from entry instances if named.

    Without an answer nothing is known: the rest of the status stands.
    """
    if wave.state in ENDED:
        return []
    lines: dict[str, None] = {}
    for url in console.entries:
        try:
            page = console.fetch(url, f'/-/explain/{quote(pool, safe="")}')
            found = decode_explanations(url, page)
        except PrimroseledgeError:
            continue
        lines |= dict.fromkeys(item.explanation for item in found)
    return list(lines)
