"""Steps on requests that are repeated or meet a full upstream."""

from threading import Thread
from time import sleep
from typing import Any

from behave import given
from behave import then
from behave import when

from standins.deployment import SLOTS
from standins.deployment import url_of

TIMEOUT_S = 8.0


@when('requests: one POST with the same id goes to every entry instance')
def send_everywhere(context: Any) -> None:
    deployment = context.deployment
    context.responses = [
        deployment.pool.request(
            'POST',
            deployment.url(number, '/services/bulletin/work'),
            headers={
                'Authorization': f'Bearer {deployment.key_a}',
                'Idempotency-Key': 'crew-7',
            },
            timeout=TIMEOUT_S,
        )
        for number in range(len(deployment.ports))
    ]


@then('requests: one sending is answered and the others are told "{told}"')
def check_answers_told(context: Any, told: str) -> None:
    statuses = sorted(response.status for response in context.responses)
    assert statuses == [200] + [409] * (len(statuses) - 1), statuses
    outcomes = {r.headers['X-Outcome'] for r in context.responses}
    assert outcomes == {told}, outcomes


@then('requests: the ledger shows {count:d} execution')
def check_executions(context: Any, count: int) -> None:
    (ledger,) = context.deployment.ledgers()
    assert len(ledger['executions']) == count, ledger


@given(
    "requests: the upstream's slots are taken for {seconds:d} second by others"
)
def take_slots(context: Any, seconds: int) -> None:
    deployment = context.deployment
    port = deployment.upstream_ports[0]

    def occupy() -> None:
        deployment.pool.request(
            'PUT',
            url_of(port, '/other'),
            headers={'X-Work-Seconds': str(seconds)},
        )

    for _ in range(SLOTS):
        thread = Thread(target=occupy)
        thread.start()
        context.resources.callback(thread.join)
    while deployment.ledger(port)['running'] < SLOTS:
        sleep(0.01)
