"""Steps over real processes on loopback."""

from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
from typing import Any

from behave import given
from behave import then
from behave import when
from msgspec import json
from msgspec import structs

from standins.caller import Told
from standins.deployment import Deployment
from standins.deployment import put

TIMEOUT_S = 5.0


@given(
    'path: a deployment with {entries:d} entry instances'
    ' and {upstreams:d} upstreams'
)
def start_deployment(context: Any, entries: int, upstreams: int) -> None:
    folder = context.resources.enter_context(TemporaryDirectory())
    context.deployment = Deployment(
        context.resources, Path(folder), entries, upstreams
    )
    context.deployment.configure()
    context.deployment.wait_ready()
    context.sent = []


@given('path: every upstream loses its next answer after the run')
def lose_answers(context: Any) -> None:
    for port in context.deployment.upstream_ports:
        context.deployment.set_upstream_faults(port, cut_after_run=1)


@when("path: {count:d} idempotent requests are sent with the team's key")
def send_idempotent(context: Any, count: int) -> None:
    send_all(context, count, True)


@when("path: {count:d} non-idempotent request is sent with the team's key")
def send_non_idempotent(context: Any, count: int) -> None:
    send_all(context, count, False)


def send_all(context: Any, count: int, is_idempotent: bool) -> None:
    deployment = context.deployment
    context.sent = [
        deployment.caller.send(deployment.key_a, is_idempotent, TIMEOUT_S)
        for _ in range(count)
    ]


@when("path: the team's key is withdrawn")
def withdraw_key(context: Any) -> None:
    team = context.deployment.teams[0]
    put(context.deployment.store, 'team', structs.replace(team, keys=()))


@when('path: a request is sent with the key "{key}"')
def send_with_key(context: Any, key: str) -> None:
    context.response = context.deployment.pool.request(
        'PUT',
        context.deployment.url(0, '/services/bulletin/work'),
        headers={'Authorization': f'Bearer {key}'},
        timeout=TIMEOUT_S,
    )


@then('path: every request is answered whole')
def check_answers(context: Any) -> None:
    for sent in context.sent:
        assert sent.told is Told.ANSWERED, sent
        assert sent.is_whole, sent


@then('path: the ledgers show each request once')
def check_ledgers(context: Any) -> None:
    runs = Counter(
        execution['request_id']
        for ledger in context.deployment.ledgers()
        for execution in ledger['executions']
    )
    assert runs == {sent.request_id: 1 for sent in context.sent}, runs


@then('path: within {seconds:d} seconds every entry instance refuses the key')
def check_withdrawn(context: Any, seconds: int) -> None:
    deployment = context.deployment
    deadline = monotonic() + seconds
    for number in range(len(deployment.ports)):
        while True:
            response = deployment.pool.request(
                'PUT',
                deployment.url(number, '/services/bulletin/work'),
                headers={'Authorization': f'Bearer {deployment.key_a}'},
                timeout=TIMEOUT_S,
            )
            if response.status == 401:
                break
            assert monotonic() < deadline, response.status
            sleep(0.05)


@then('path: it is refused with status {status:d} and outcome "{outcome}"')
def check_refused(context: Any, status: int, outcome: str) -> None:
    assert context.response.status == status, context.response.status
    body = json.decode(context.response.data)
    assert body['outcome'] == outcome, body


@then('path: the caller is told "{told}"')
def check_told(context: Any, told: str) -> None:
    assert [sent.told.value for sent in context.sent] == [told], context.sent
