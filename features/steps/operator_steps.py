"""Steps of an operator at the command line."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any

from behave import given
from behave import then
from behave import when
from click.testing import CliRunner
from msgspec import json
from urllib3 import PoolManager

from primroseledge.cli import main
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Service
from standins.processes import start_standin
from tests.fake_connections import FakeConnections
from tests.fake_store import LOST_AFTER
from tests.fake_store import LOST_BEFORE

KEY = 'config/service/copper'


def run(context: Any, *arguments: str) -> None:
    context.result = context.fleet.run(*arguments, '--output', 'json')


def run_over_network(context: Any, *arguments: str) -> None:
    store = ('--store', context.store_url, '--output', 'json')
    context.result = CliRunner().invoke(main, [*arguments, *store])


def set_store_faults(context: Any, **faults: Any) -> None:
    with PoolManager(retries=False) as pool:
        url = f'{context.store_url}/faults'
        answer = pool.request('POST', url, body=json.encode(faults))
        assert answer.status == 200, answer.status


def write_document(context: Any, queue_limit: int) -> None:
    service = Service(
        id='copper', team='sales', pool='copper', queue_limit=queue_limit
    )
    context.path.write_text(encode_document(service))


@given('an operator with team "{team}" and pool "{pool}"')
def step_fleet(context: Any, team: str, pool: str) -> None:
    context.fleet = FakeConnections()
    run(context, 'team', 'set', team, '--share', '1', '--limit', '9')
    run(context, 'pool', 'set', pool)
    directory = TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.path = Path(directory.name) / 'service.json'


@given('an operator\'s document of service "copper" with queue limit {n:d}')
def step_document(context: Any, n: int) -> None:
    write_document(context, n)


@given("the operator's next write loses its answer {when} it took effect")
def step_lost(context: Any, when: str) -> None:
    fault = LOST_AFTER if when == 'after' else LOST_BEFORE
    context.fleet.store.faults.append(fault)


@given("the operator's writes lose all answers before they take effect")
def step_lost_all(context: Any) -> None:
    context.fleet.store.faults.extend([LOST_BEFORE] * 9)


@given('the operator has applied the document')
@when('the operator applies the document')
def step_apply(context: Any) -> None:
    run(context, 'service', 'apply', str(context.path))


@given('another operator sets queue limit {n:d} while this one sets {m:d}')
def step_race(context: Any, n: int, m: int) -> None:
    write_document(context, m)
    store = context.fleet.store
    read = store.read
    rival = Service(id='copper', team='sales', pool='copper', queue_limit=n)

    def read_then_lose(prefix: str) -> Any:
        snapshot = read(prefix)
        if store.records[KEY].write_id != 'rival':
            store.put(KEY, encode_document(rival), None, 'rival')
        return snapshot

    store.read = read_then_lose


@given('the operator has added instances "{a}" and "{b}" to pool "{pool}"')
def step_instances(context: Any, a: str, b: str, pool: str) -> None:
    for port, name in enumerate((a, b), 9000):
        run(
            context,
            *('pool', 'add-instance', name, '--pool', pool),
            *('--zone', 'z1', '--rack', 'r1'),
            *('--address', f'127.0.0.1:{port}'),
        )
        assert context.result.exit_code == 0, context.result.output


@when('the operator drains "{name}"')
def step_drain(context: Any, name: str) -> None:
    run(context, 'pool', 'drain', name)


@given('the operator has given team "{team}" a key')
def step_give_key(context: Any, team: str) -> None:
    run(context, 'key', 'give', team)
    context.key = json.decode(context.result.stdout)['key']


@when('the operator withdraws that key')
def step_withdraw_key(context: Any) -> None:
    run(context, 'key', 'withdraw', 'sales', context.key.partition('.')[0])


@then('the operator is told "{result}" with exit code {code:d}')
def step_told(context: Any, result: str, code: int) -> None:
    assert context.result.exit_code == code, context.result.output
    assert json.decode(context.result.stdout)['result'] == result


@then('the operator is refused with "{text}" and exit code {code:d}')
def step_refused(context: Any, text: str, code: int) -> None:
    assert context.result.exit_code == code, context.result.output
    assert text in context.result.stderr, context.result.stderr


@then('the operator sees the other\'s change "{line}"')
def step_other(context: Any, line: str) -> None:
    shown = json.decode(context.result.stdout)
    assert shown['changed_meanwhile'] == [line], shown


@then('the operator finds queue limit {n:d} in the store')
def step_in_store(context: Any, n: int) -> None:
    value = json.decode(context.fleet.store.records[KEY].value)
    assert value.get('queue_limit', 1000) == n, value


@then("the store holds nothing of the operator's key")
def step_no_key(context: Any) -> None:
    team = context.fleet.store.records['config/team/sales'].value
    for part in context.key.split('.'):
        assert part not in team, team


@given('the operator uses a store in another process')
def step_network(context: Any) -> None:
    _, port = start_standin(context.resources, 'standins.kv_store')
    context.store_url = f'http://127.0.0.1:{port}'


@given("the operator's store loses its next {n:d} answers after the writes")
def step_store_loses(context: Any, n: int) -> None:
    set_store_faults(context, lose_answers=n)


@given("the operator's store is down")
def step_store_down(context: Any) -> None:
    set_store_faults(context, is_down=True)


@when('the operator sets team "{team}" with share {n:d} and limit {m:d}')
def step_set_team(context: Any, team: str, n: int, m: int) -> None:
    numbers = ('--share', str(n), '--limit', str(m))
    run_over_network(context, 'team', 'set', team, *numbers)


@then('the operator\'s store holds team "{team}" with share {n:d}')
def step_holds_team(context: Any, team: str, n: int) -> None:
    run_over_network(context, 'team', 'show', team)
    assert json.decode(context.result.stdout)['share'] == n
