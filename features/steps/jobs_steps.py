from types import SimpleNamespace

from behave import given
from behave import then
from behave import when

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.policy.job import Job
from standins.platform import Program
from tests.job_world import JobWorld
from tests.policy_fake import CrashError


@given('a job fleet of 4 workers in 2 racks')
def step_fleet(context: SimpleNamespace) -> None:
    context.world = JobWorld(4)
    context.controller = context.world.controller()


@given('the job service loses its next {count:d} answers')
def step_lose(context: SimpleNamespace, count: int) -> None:
    context.world.platform.answers_to_lose = count


@given('job worker "{name}" fails all it starts')
def step_bad_worker(context: SimpleNamespace, name: str) -> None:
    machine = context.world.platform.machines[InstanceId(name)]
    machine.is_failing_tasks = True


@when('job "{name}" is submitted')
def step_submit(context: SimpleNamespace, name: str) -> None:
    context.world.submit(Job(name, 'big'))


@when('non-idempotent job "{name}" is submitted')
def step_submit_once(context: SimpleNamespace, name: str) -> None:
    context.world.submit(Job(name, 'big', is_idempotent=False))


@when('urgent job "{name}" is submitted')
def step_submit_urgent(context: SimpleNamespace, name: str) -> None:
    context.world.submit(Job(name, 'small', is_urgent=True))


@when('job "{name}" asks for {cores:d} cores')
def step_submit_large(context: SimpleNamespace, name: str, cores: int) -> None:
    context.world.submit(Job(name, 'big', cores=float(cores)))


@when('job "{name}" that always fails is submitted')
def step_submit_failing(context: SimpleNamespace, name: str) -> None:
    context.world.submit(Job(name, 'big'), Program(is_failing=True))


@when('{count:d} jobs are submitted')
def step_submit_many(context: SimpleNamespace, count: int) -> None:
    for number in range(count):
        context.world.submit(Job(f'j{number:03}', 'big'))


@when('all jobs are cancelled')
def step_cancel_all(context: SimpleNamespace) -> None:
    for job in context.world.jobs():
        context.controller.cancel(JobId(job.id))


@when('jobs run for {seconds:d} seconds')
def step_run(context: SimpleNamespace, seconds: int) -> None:
    context.world.run(context.controller, seconds)


@when('the job controller crashes after {writes:d} writes')
def step_crash(context: SimpleNamespace, writes: int) -> None:
    context.world.store.writes_left = writes
    try:
        context.world.run(context.controller, 10)
        raise AssertionError('it did not crash')
    except CrashError:
        context.world.store.writes_left = None
        context.controller = context.world.controller()


@when('the worker of job "{name}" is lost')
def step_lose_worker(context: SimpleNamespace, name: str) -> None:
    worker = context.world.job(name).workers[0]
    context.world.break_worker(int(worker[1:]))


@when('job rack {rack:d} is lost')
def step_lose_rack(context: SimpleNamespace, rack: int) -> None:
    context.world.break_worker(2 * rack)
    context.world.break_worker(2 * rack + 1)


@when('the job store is down for {seconds:d} seconds')
def step_outage(context: SimpleNamespace, seconds: int) -> None:
    context.world.store.is_down = True
    context.world.outage_ends = context.world.now + seconds
    context.world.run(context.controller, seconds)


@then('job "{name}" is "{state}"')
def step_state(context: SimpleNamespace, name: str, state: str) -> None:
    job = context.world.job(name)
    assert job.state.value == state, job


@then('job "{name}" was started {count:d} times')
def step_started(context: SimpleNamespace, name: str, count: int) -> None:
    starts = context.world.starts(name)
    assert len(starts) == count, starts


@then('job "{name}" says "{reason}"')
def step_reason(context: SimpleNamespace, name: str, reason: str) -> None:
    assert reason in context.world.job(name).reason


@then('all jobs are "{state}"')
def step_all(context: SimpleNamespace, state: str) -> None:
    states = {job.state.value for job in context.world.jobs()}
    assert states == {state}, context.world.jobs()


@then('job worker "{name}" alone is quarantined')
def step_quarantined(context: SimpleNamespace, name: str) -> None:
    assert context.controller.report.suspects == {name}
