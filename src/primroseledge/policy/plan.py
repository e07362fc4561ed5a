"""The plan of a pool: its wave, and the step of each instance in it.

The record ``plans/<pool>`` holds it. The states and their order stand
in charts/wave.json and charts/maintenance.json.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Final

from msgspec import field as struct_field
from msgspec import Struct
from msgspec.structs import replace

from primroseledge.chart import load_chart
from primroseledge.errors import ChartError
from primroseledge.errors import OperatorError
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.operators.explain import Explanation
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Service

PLANS_PREFIX: Final = 'plans/'


class StepState(Enum):
    """The states of charts/maintenance.json."""

    WAITING = 'waiting'
    CLAIMED = 'claimed'
    DRAINING = 'draining'
    REBOOTING = 'rebooting'
    COMMITTING = 'committing'
    RETURNING = 'returning'
    UNDOING = 'undoing'
    RETURNED = 'returned'
    SKIPPED = 'skipped'
    FAILED = 'failed'


class WaveState(Enum):
    """The states of charts/wave.json."""

    PLANNED = 'planned'
    CANARY = 'canary'
    WIDENING = 'widening'
    HALTED = 'halted'
    ROLLING_BACK = 'rolling_back'
    DONE = 'done'
    ROLLED_BACK = 'rolled_back'


IN_FLIGHT: Final = frozenset(
    {
        StepState.CLAIMED,
        StepState.DRAINING,
        StepState.REBOOTING,
        StepState.COMMITTING,
        StepState.RETURNING,
        StepState.UNDOING,
    }
)
SETTLED: Final = frozenset({StepState.RETURNED, StepState.SKIPPED})
FORWARD: Final = frozenset(
    {WaveState.PLANNED, WaveState.CANARY, WaveState.WIDENING}
)
ENDED: Final = frozenset({WaveState.DONE, WaveState.ROLLED_BACK})


class Step(Struct, frozen=True):
    """Where one instance stands in a wave, or in a move to ``pool``.

    ``boot_id`` is the boot that is to end; a reboot applies to it only.
    ``drain_revision`` is the store's revision of the drain mark.
    """

    state: StepState = StepState.WAITING
    boot_id: str = ''
    drain_revision: int = 0
    operation: str = ''
    pool: str = ''
    zone: str = ''


class Wave(Struct, frozen=True):
    """A maintenance wave over one pool.

    ``width`` is how many may be in flight; it doubles after as many
    successes, up to ``max_width`` if that is not 0. ``attempted`` and
    ``failed`` count reboots.
    ``started_at`` is wall-clock time; nothing is timed by it.
    """

    id: str
    image: str
    previous_image: str
    state: WaveState = WaveState.PLANNED
    width: int = 1
    succeeded: int = 0
    attempted: int = 0
    failed: int = 0
    excused: int = 0
    detail: str = ''
    started_at: float = 0.0
    max_width: int = 0


class Plan(Struct, frozen=True):
    """The wave of a pool and the steps of its instances."""

    wave: Wave | None = None
    steps: dict[str, Step] = struct_field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class WaveSettings:
    """Times in seconds, and the share of reboots that may fail."""

    window_s: float = 28 * 86_400.0
    settle_s: float = 6.0
    proof_s: float = 10.0
    reboot_timeout_s: float = 600.0
    expected_failure_rate: float = 0.02


@dataclass(frozen=True, slots=True)
class InstanceView:
    """What is known of one instance of the pool.

    ``running`` counts requests as the dispatchers know them, those of
    unknown end included, all of them at ``revision`` or later.
    ``tasks`` may be checkpointed and go on elsewhere; a job that may
    not, since it isn't idempotent, counts in ``running``.
    """

    instance: Instance
    boot_id: str
    boot_age_s: float
    is_up: bool
    image: str
    running: int
    revision: Revision
    tasks: tuple[str, ...] = ()


PoolView = Mapping[InstanceId, InstanceView]


class Kind(Enum):
    """What is to be done with an instance, or with the wave."""

    CLAIM = 'claim'
    CLAIM_FAILED = 'claim_failed'
    DRAIN = 'drain'
    EVICT = 'evict'
    REBOOT = 'reboot'
    REPEAT_REBOOT = 'repeat_reboot'
    COMMIT = 'commit'
    PROVE = 'prove'
    FINISH_RETURN = 'finish_return'
    UNDO = 'undo'
    FINISH_UNDO = 'finish_undo'
    SKIP = 'skip'
    FAIL = 'fail'
    DROP = 'drop'


@dataclass(frozen=True, slots=True)
class Action:
    """A thing to do with an instance."""

    kind: Kind
    instance: InstanceId


@dataclass(slots=True)
class Decision:
    """The wave as it goes on, what to do, and why the rest waits."""

    wave: Wave | None
    actions: list[Action] = field(default_factory=list)
    held: list[Explanation] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Situation:
    """All that one decision looks at.

    ``age_s`` is for how long each step has been in its state, as far
    as this holder has seen.
    """

    plan: Plan
    view: PoolView
    age_s: Mapping[InstanceId, float]
    settings: WaveSettings


@dataclass(frozen=True, slots=True)
class MoveRequest:
    """Asks to move an instance of this pool to another pool."""

    instance: InstanceId
    pool: PoolId


@dataclass(frozen=True, slots=True)
class PoolInput:
    """What a controller is given for one step.

    ``shards`` names the placement shard of each instance.
    """

    services: tuple[Service, ...]
    view: PoolView
    shards: Mapping[InstanceId, str]
    moves: Sequence[MoveRequest] = ()


@dataclass(slots=True)
class StepReport:
    """What a step did, and why the rest waits."""

    done: list[Action] = field(default_factory=list)
    held: list[Explanation] = field(default_factory=list)


def plan_key(pool: PoolId) -> str:
    """Return the store key of a pool's plan."""
    return f'{PLANS_PREFIX}{pool}'


def move_step(step: Step, trigger: str) -> Step:
    """Return the step after a trigger; raise ChartError."""
    state = load_chart('maintenance').advance(step.state.value, trigger)
    return replace(step, state=StepState(state))


def move_wave(wave: Wave, trigger: str, detail: str = '') -> Wave:
    """Return the wave after a trigger; raise ChartError."""
    state = load_chart('wave').advance(wave.state.value, trigger)
    return replace(wave, state=WaveState(state), detail=detail)


def command(wave: Wave, trigger: str) -> Wave:
    """Return the wave after an operator's command.

    Raises OperatorError, naming the present state, when it cannot be
    carried out; so the later of two racing operators learns of it.
    """
    if trigger not in ('resume', 'roll_back', 'halt', 'start'):
        raise OperatorError(f'{trigger!r} is not a command for waves')
    try:
        moved = move_wave(wave, trigger, 'by operator')
    except ChartError as error:
        raise OperatorError(
            f'{trigger} is not possible when {wave.state.value}'
        ) from error
    if trigger == 'resume':
        return replace(moved, width=1, succeeded=0, excused=wave.failed)
    if trigger == 'roll_back':
        return replace(moved, width=1, succeeded=0)
    return moved


def operation_id(wave: Wave) -> str:
    """Return the id under which the wave claims from budgets."""
    if wave.state is WaveState.ROLLING_BACK:
        return f'{wave.id}/back'
    return wave.id


def start_wave(plan: Plan, wave: Wave) -> Plan:
    """Return the plan with a new wave; raise OperatorError.

    Steps of moves stay; those of the wave before are forgotten.
    """
    if plan.wave is not None and plan.wave.state not in ENDED:
        raise OperatorError(
            f'wave {plan.wave.id} is {plan.wave.state.value}; it has to end'
            ' before another starts'
        )
    steps = {
        name: step
        for name, step in plan.steps.items()
        if step.state in IN_FLIGHT or step.state is StepState.FAILED
    }
    return Plan(wave, steps)
