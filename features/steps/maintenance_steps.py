from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from primroseledge.errors import OperatorError
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.operators.explain import explain_subject
from primroseledge.operators.operators import command_wave
from primroseledge.operators.operators import start_pool_wave
from primroseledge.policy.plan import MoveRequest
from primroseledge.policy.plan import WaveState
from tests.policy_fake import CrashError
from tests.policy_world import PolicyWorld
from tests.policy_world import POOL
from tests.policy_world import SERVICES

MAX_SECONDS = 2000


@given('a maintenance pool of 9 instances in 3 zones with a wave')
def step_pool(context: SimpleNamespace) -> None:
    context.world = PolicyWorld(3, 3)
    context.controller = context.world.controller()
    context.moves = ()
    start_pool_wave(context.world.records(), POOL, context.world.new_wave())


def run_second(context: SimpleNamespace) -> None:
    world = context.world
    world.advance(1.0)
    report = context.controller.step(world.now, world.given(context.moves))
    context.held = report.held


@given('maintenance runs for {seconds:d} seconds')
@when('maintenance runs for {seconds:d} seconds')
def step_run(context: SimpleNamespace, seconds: int) -> None:
    for _ in range(seconds):
        run_second(context)


@when('maintenance runs until the wave is done')
def step_run_until_done(context: SimpleNamespace) -> None:
    for _ in range(MAX_SECONDS):
        if context.world.wave().state is WaveState.HALTED:
            command_wave(context.world.records(), POOL, 'resume')
        if context.world.wave().state is WaveState.DONE:
            return
        run_second(context)
    raise AssertionError(f'not done: {context.world.plan()}')


@given('maintenance requests that run on every instance')
def step_requests(context: SimpleNamespace) -> None:
    for instance in context.world.running:
        assert context.world.start_request(instance)


@when('the maintenance controller crashes after {writes:d} writes')
def step_crash(context: SimpleNamespace, writes: int) -> None:
    context.world.store.writes_left = writes
    try:
        step_run(context, 30)
        raise AssertionError('it did not crash')
    except CrashError:
        context.world.store.writes_left = None
        context.controller = context.world.controller()


@when('the maintenance controller is paused while another works on')
def step_pause(context: SimpleNamespace) -> None:
    paused, context.controller = (
        context.controller,
        context.world.controller(),
    )
    world = context.world
    world.interrupt(8, lambda: step_run(context, 60))
    world.advance(1.0)
    paused.step(world.now, world.given())
    assert world.interruption is None
    world.was_interrupted = False


@when('the maintenance store is down for {seconds:d} seconds')
def step_outage(context: SimpleNamespace, seconds: int) -> None:
    context.world.take_store_down(seconds + 0.5)
    step_run(context, seconds)


@when('the next {count:d} answers of the maintenance store are lost')
def step_lost(context: SimpleNamespace, count: int) -> None:
    context.world.store.lost_after = count


@when('the next {count:d} answers of the maintenance platform are lost')
def step_platform_lost(context: SimpleNamespace, count: int) -> None:
    context.world.platform.answers_to_lose = count


@when('maintenance zone {zone:d} is lost')
def step_zone(context: SimpleNamespace, zone: int) -> None:
    for number in range(3):
        context.world.fail(InstanceId(f'i{zone}{number}'))


@given('the maintenance image does not come up')
def step_bad_image(context: SimpleNamespace) -> None:
    context.world.platform.bad_images = {'new'}


@given('maintenance instance "{name}" was replaced a moment ago')
def step_replaced(context: SimpleNamespace, name: str) -> None:
    context.world.replace(InstanceId(name))


@when('the maintenance operator says "{trigger}"')
def step_operator(context: SimpleNamespace, trigger: str) -> None:
    command_wave(context.world.records(), POOL, trigger)


@when('a maintenance move of "{name}" to "{pool}" is asked for')
def step_move(context: SimpleNamespace, name: str, pool: str) -> None:
    context.moves = (MoveRequest(InstanceId(name), PoolId(pool)),)


@then('the maintenance operator is refused "{trigger}" because "{reason}"')
def step_refused(context: SimpleNamespace, trigger: str, reason: str) -> None:
    try:
        command_wave(context.world.records(), POOL, trigger)
    except OperatorError as error:
        assert reason in str(error), error
        return
    raise AssertionError('not refused')


@then('every maintained instance was rebooted once')
def step_once(context: SimpleNamespace) -> None:
    names = [name for name, _ in context.world.platform.reboots]
    assert sorted(names) == sorted(context.world.running), names


@then('maintenance has rebooted {count:d} instances')
def step_count(context: SimpleNamespace, count: int) -> None:
    reboots = context.world.platform.reboots
    assert len(reboots) == count, reboots


@then('maintenance explains "{subject}" with "{rule}"')
def step_explains(context: SimpleNamespace, subject: str, rule: str) -> None:
    lines = explain_subject(context.held, subject)
    assert any(rule in line for line in lines), context.held


@then('no maintenance claim is left')
def step_no_claim(context: SimpleNamespace) -> None:
    for service in SERVICES:
        ledger = context.world.ledger(service.id)
        assert not ledger.claims, ledger
    placed = context.world.truth().values()
    assert not any(instance.is_draining for instance in placed)


@then('the maintenance wave is "{state}"')
def step_state(context: SimpleNamespace, state: str) -> None:
    assert context.world.wave().state.value == state, context.world.wave()


@then('maintenance instance "{name}" is in pool "{pool}"')
def step_in_pool(context: SimpleNamespace, name: str, pool: str) -> None:
    assert context.world.truth()[name].pool == pool
