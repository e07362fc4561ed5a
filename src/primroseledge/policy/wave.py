"""Decisions of maintenance waves and of each instance's steps.

``decide`` is a pure function from a pool's plan and a view of the pool
to actions; the controller records each before it carries it out.
"""

from collections.abc import Callable
from collections.abc import Collection
from math import ceil
from math import floor
from math import sqrt
from typing import Final

from msgspec.structs import replace

from primroseledge.ids import InstanceId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.plan import Action
from primroseledge.policy.plan import Decision
from primroseledge.policy.plan import ENDED
from primroseledge.policy.plan import FORWARD
from primroseledge.policy.plan import IN_FLIGHT
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import Kind
from primroseledge.policy.plan import move_wave
from primroseledge.policy.plan import operation_id
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import SETTLED
from primroseledge.policy.plan import Situation
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.plan import WaveState

MAX_WIDTH: Final = 64


def decide(situation: Situation) -> Decision:
    """Return what to do next for the wave and every step of a pool."""
    decision = Decision(_next_wave(situation))
    for name, step in situation.plan.steps.items():
        item = situation.view.get(InstanceId(name))
        if item is None:
            _decide_gone(InstanceId(name), step, decision)
        else:
            _decide_step(step, item, situation, decision)
    wave = decision.wave
    if wave is None or wave.state in ENDED:
        return decision
    if wave.state is WaveState.HALTED:
        decision.held.append(_explain_halt(wave))
        return decision
    _decide_new(wave, situation, decision)
    return decision


def allowed_failures(
    attempted: int, rate: float, has_canary_passed: bool
) -> int:
    """Return how many of the attempts may fail before a wave halts.

    The expectation plus two standard deviations, rounded down. The
    canary may not fail at all; after it, one failure is no pattern.
    """
    if not has_canary_passed:
        return 0
    expected = rate * attempted
    return max(floor(expected + 2 * sqrt(expected)), 1)


def count_success(wave: Wave) -> Wave:
    """Return the wave after one more instance has been maintained."""
    succeeded = wave.succeeded + 1
    attempted = wave.attempted + 1
    if succeeded < wave.width:
        return replace(wave, succeeded=succeeded, attempted=attempted)
    width = min(wave.width * 2, wave.max_width or MAX_WIDTH)
    return replace(wave, succeeded=0, attempted=attempted, width=width)


def estimate_s(
    plan: Plan,
    names: Collection[InstanceId],
    allowed: int,
    seconds_each: float,
) -> float:
    """Return how long the rest of a wave takes if nothing fails.

    ``names`` are the pool's instances, ``allowed`` the budget's number
    of them, and
    ``seconds_each`` the mean time of one from claim to return.
    """
    wave = plan.wave
    if wave is None or wave.state in ENDED:
        return 0.0
    settled = sum(
        plan.steps.get(name, Step()).state in SETTLED for name in names
    )
    left = len(names) - settled
    width, rounds = wave.width, 0
    while left > 0 and width < allowed:
        left, rounds, width = left - width, rounds + 1, width * 2
    rounds += ceil(max(left, 0) / max(min(width, allowed), 1))
    return rounds * seconds_each


def _next_wave(situation: Situation) -> Wave | None:
    wave = situation.plan.wave
    if wave is None or wave.state is WaveState.HALTED or wave.state in ENDED:
        return wave
    if wave.state is WaveState.PLANNED:
        return move_wave(wave, 'start')
    allowed = allowed_failures(
        wave.attempted,
        situation.settings.expected_failure_rate,
        wave.state is WaveState.WIDENING,
    )
    counted = wave.failed - wave.excused
    if wave.state in FORWARD and counted > allowed:
        return move_wave(
            wave,
            'halt',
            f'{counted} of {wave.attempted} failed, {allowed} allowed',
        )
    if wave.state is WaveState.CANARY and wave.width > 1:
        return move_wave(wave, 'canary_passed')
    if _is_complete(wave, situation):
        return move_wave(wave, 'finish')
    return wave


def _is_complete(wave: Wave, situation: Situation) -> bool:
    steps = situation.plan.steps
    if wave.state is WaveState.ROLLING_BACK:
        return all(
            item.image == wave.previous_image
            and steps.get(name, Step()).state not in IN_FLIGHT
            for name, item in situation.view.items()
        )
    return all(
        steps.get(name, Step()).state in SETTLED for name in situation.view
    )


StepRule = Callable[[Step, InstanceView, Situation], Kind | None]
STEP_RULES: dict[StepState, StepRule] = {}


def step_rule(state: StepState) -> Callable[[StepRule], StepRule]:
    """Register what to do with an instance whose step is in a state."""

    def register(function: StepRule) -> StepRule:
        STEP_RULES[state] = function
        return function

    return register


def _decide_step(
    step: Step, item: InstanceView, situation: Situation, decision: Decision
) -> None:
    rule = STEP_RULES.get(step.state)
    kind = rule(step, item, situation) if rule else None
    instance = item.instance.instance_id
    if kind is not None:
        decision.actions.append(Action(kind, instance))
    elif step.state is StepState.DRAINING:
        numbers = {
            'running': item.running + len(item.tasks),
            'settle_s': situation.settings.settle_s,
        }
        decision.held.append(Explanation(instance, Rule.NOT_DRAINED, numbers))


def _decide_gone(instance: InstanceId, step: Step, decision: Decision) -> None:
    """End the step of an instance that has left the pool."""
    if step.state is StepState.COMMITTING:
        decision.actions.append(Action(Kind.FINISH_RETURN, instance))
    elif step.state in IN_FLIGHT or step.state is StepState.FAILED:
        decision.actions.append(Action(Kind.DROP, instance))


def _is_held(step: Step, situation: Situation) -> bool:
    wave = situation.plan.wave
    if step.pool:
        return False
    if wave is None or wave.state is WaveState.HALTED or wave.state in ENDED:
        return True
    return step.operation != operation_id(wave)


@step_rule(StepState.CLAIMED)
def _claimed(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    if _is_held(step, situation):
        return Kind.UNDO
    return Kind.DRAIN


@step_rule(StepState.DRAINING)
def _draining(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    if _is_held(step, situation):
        return Kind.UNDO
    has_mark = step.drain_revision > 0
    has_seen_mark = has_mark and item.revision >= step.drain_revision
    if not has_mark or (has_seen_mark and not item.instance.is_draining):
        return Kind.DRAIN
    if item.boot_id != step.boot_id and not step.pool:
        return Kind.PROVE if item.is_up else None
    instance = item.instance.instance_id
    age_s = situation.age_s.get(instance, 0.0)
    if age_s < situation.settings.settle_s:
        return None
    if not has_seen_mark:
        return None
    if item.tasks:
        return Kind.EVICT
    if item.running > 0:
        return None
    return Kind.COMMIT if step.pool else Kind.REBOOT


@step_rule(StepState.REBOOTING)
def _rebooting(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    if _is_proved(step, item, situation.settings):
        return Kind.PROVE
    age_s = situation.age_s.get(item.instance.instance_id, 0.0)
    if age_s > situation.settings.reboot_timeout_s:
        return Kind.FAIL
    return Kind.REPEAT_REBOOT if item.boot_id == step.boot_id else None


@step_rule(StepState.FAILED)
def _failed(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    if _is_proved(step, item, situation.settings):
        return Kind.PROVE
    if item.boot_id == step.boot_id:
        return Kind.REPEAT_REBOOT
    wave = situation.plan.wave
    if wave is None or wave.state is not WaveState.ROLLING_BACK:
        return None
    is_old = item.image == wave.previous_image
    return None if is_old else Kind.CLAIM_FAILED


@step_rule(StepState.RETURNED)
def _returned(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    wave = situation.plan.wave
    is_running = wave is not None and wave.state in FORWARD
    return Kind.FAIL if is_running and not item.is_up else None


@step_rule(StepState.RETURNING)
@step_rule(StepState.COMMITTING)
def _returning(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    return Kind.FINISH_RETURN


@step_rule(StepState.UNDOING)
def _undoing(
    step: Step, item: InstanceView, situation: Situation
) -> Kind | None:
    return Kind.FINISH_UNDO


def _is_proved(step: Step, item: InstanceView, settings: WaveSettings) -> bool:
    return (
        item.is_up
        and item.boot_id != step.boot_id
        and item.boot_age_s >= settings.proof_s
    )


def _decide_new(wave: Wave, situation: Situation, decision: Decision) -> None:
    """Skip what was replaced; claim more, up to the wave's width."""
    steps = situation.plan.steps
    flying = [
        InstanceId(name)
        for name, step in steps.items()
        if step.state in IN_FLIGHT and not step.pool
    ]
    room = wave.width - len(flying)
    for item in _candidates(wave, situation, flying):
        instance = item.instance.instance_id
        if _is_replaced(wave, item, situation.settings):
            decision.actions.append(Action(Kind.SKIP, instance))
            ages = {
                'boot_age_s': item.boot_age_s,
                'window_s': situation.settings.window_s,
            }
            decision.held.append(
                Explanation(instance, Rule.RECENTLY_REPLACED, ages)
            )
        elif room > 0:
            decision.actions.append(Action(Kind.CLAIM, instance))
            room -= 1
        else:
            numbers = {'width': wave.width, 'succeeded': wave.succeeded}
            decision.held.append(
                Explanation(instance, Rule.WAVE_WIDTH, numbers)
            )


def _is_replaced(
    wave: Wave, item: InstanceView, settings: WaveSettings
) -> bool:
    if wave.state is WaveState.ROLLING_BACK:
        return False
    return item.boot_age_s < settings.window_s


def _candidates(
    wave: Wave, situation: Situation, flying: list[InstanceId]
) -> list[InstanceView]:
    """Return who may be next, the first ones first.

    Racks with nothing in flight go first, then zones with most left,
    so that none remains for the end; in a zone, the longest up.
    """
    view = situation.view
    racks = {view[name].instance.rack for name in flying if name in view}
    waiting = [
        item
        for name, item in view.items()
        if _is_due(wave, situation.plan.steps.get(name, Step()), item)
    ]
    waiting.sort(key=lambda item: (-item.boot_age_s, item.instance.id))
    left = dict[str, int]()
    for item in waiting:
        left[item.instance.zone] = left.get(item.instance.zone, 0) + 1
    keyed = list[tuple[bool, int, str, InstanceView]]()
    for item in waiting:
        zone = item.instance.zone
        has_rack = item.instance.rack in racks
        keyed.append((has_rack, -left[zone], zone, item))
        left[zone] -= 1
    keyed.sort(key=lambda entry: entry[:3])
    return [entry[3] for entry in keyed]


def _is_due(wave: Wave, step: Step, item: InstanceView) -> bool:
    if not item.is_up:
        return False
    if wave.state is WaveState.ROLLING_BACK:
        return (
            step.state in SETTLED | {StepState.WAITING}
            and item.image != wave.previous_image
        )
    return step.state is StepState.WAITING


def _explain_halt(wave: Wave) -> Explanation:
    numbers = {'attempted': wave.attempted, 'failed': wave.failed}
    return Explanation(wave.id, Rule.WAVE_HALTED, numbers, wave.detail)
