"""Steps of waves over real processes on loopback."""

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from datetime import datetime
from pathlib import Path
from tempfile import TemporaryDirectory
from threading import Event as Flag
from threading import Thread
from time import monotonic
from time import sleep
from time import time
from typing import Any

from behave import given
from behave import then
from behave import when
from msgspec import json
from msgspec import structs
from msgspec import to_builtins

from primroseledge.storage.documents import Budget
from primroseledge.storage.keys import generate_key
from standins.caller import Sent
from standins.caller import Told
from standins.deployment import Deployment
from standins.deployment import put
from standins.deployment import SERVICE
from standins.operator import Operator

CALLERS = 4
PAUSE_S = 0.05
TIMEOUT_S = 10.0
PATIENCE_S = 60.0
LEAVING_S = 3.0
ID_SKEW_S = 2.0
BOOT_S = 1.0
WAVE = 'os-42'


@dataclass
class Load:
    """Callers that send requests until stopped, and a watcher."""

    deployment: Deployment
    sent: list[Sent] = field(default_factory=list)
    draining: list[Counter[str]] = field(default_factory=list)
    stopped: Flag = field(default_factory=Flag)
    threads: list[Thread] = field(default_factory=list)

    def start(self) -> None:
        self.threads = [Thread(target=self.watch)]
        self.threads += [
            Thread(target=self.call, args=(number % 2 == 0,))
            for number in range(CALLERS)
        ]
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def call(self, is_idempotent: bool) -> None:
        deployment = self.deployment
        while not self.stopped.wait(PAUSE_S):
            self.sent.append(
                deployment.caller.send(
                    deployment.key_a, is_idempotent, TIMEOUT_S
                )
            )

    def watch(self) -> None:
        """Sample how many instances are stopped in each zone."""
        while not self.stopped.wait(PAUSE_S):
            instances = self.deployment.placement().values()
            zones = Counter(i.zone for i in instances if i.is_draining)
            self.draining.append(zones)


def wait_for(what: str, condition: Any) -> Any:
    deadline = monotonic() + PATIENCE_S
    while not (found := condition()):
        assert monotonic() < deadline, what
        sleep(PAUSE_S)
    return found


def wave_status(context: Any) -> dict[str, Any]:
    (row,) = context.operator.run('wave', 'status')
    return dict(row)


@given(
    'wave: {entries:d} entry instances and {upstreams:d} upstreams'
    ' on a platform'
)
def start_deployment(context: Any, entries: int, upstreams: int) -> None:
    folder = context.resources.enter_context(TemporaryDirectory())
    key, record = generate_key()
    context.deployment = Deployment(
        context.resources,
        Path(folder),
        entries,
        upstreams,
        work_s=0.1,
        boot_s=BOOT_S,
        freshness_s=1.0,
        maintenance={'proof_s': 0.5},
        operator_keys=[to_builtins(record)],
    )
    context.deployment.configure()
    context.deployment.wait_ready()
    context.operator = Operator(context.deployment)
    context.operator.key = key
    context.folder = Path(folder)


@given('wave: the budget allows {most:d} stops at once and {zone:d} in a zone')
def set_budget(context: Any, most: int, zone: int) -> None:
    budget = Budget(most, zone, window_s=1.0)
    service = structs.replace(SERVICE, budget=budget)
    put(context.deployment.store, 'service', service)
    context.budget = budget


@given('wave: callers send requests that run for {seconds:f} seconds')
def start_load(context: Any, seconds: float) -> None:
    context.deployment.caller.work_s = seconds
    context.load = Load(context.deployment)
    context.load.start()
    context.resources.callback(context.load.stop)
    wait_for('a first answer', lambda: len(context.load.sent) > CALLERS)


@when('wave: an operator starts a wave')
def start_wave(context: Any) -> None:
    images = ('--image', WAVE, '--previous-image', 'os-41')
    (row,) = context.operator.run('wave', 'start', WAVE, *images)
    assert row['result'] == 'accepted', row


@when('wave: the owner is killed when an instance has returned')
def kill_owner(context: Any) -> None:
    wait_for('a return', lambda: wave_status(context)['done'] > 0)
    deployment = context.deployment
    page = deployment.pool.request('GET', deployment.url(0, '/-/status'))
    owner = json.decode(page.data)['owners']['main']
    number = [s['entry_id'] for s in deployment.settings].index(owner)
    context.killed_at = monotonic()
    deployment.entries[number].kill()
    assert wave_status(context)['left'] > 0, 'the wave had ended before'


@when('wave: the wave has ended')
def wait_end(context: Any) -> None:
    wait_for('the end', lambda: wave_status(context)['state'] == 'done')


@when('wave: the callers stop')
def stop_load(context: Any) -> None:
    context.load.stop()


@when('wave: the platform announces that an upstream leaves')
def announce(context: Any) -> None:
    context.deployment.tell_platform('faults', leaving='yard-0')
    context.announced_at = monotonic()


@when('wave: the callers stop after {seconds:d} seconds')
def stop_later(context: Any, seconds: int) -> None:
    sleep(seconds)
    context.load.stop()


@then('wave: each instance was rebooted once')
def check_reboots(context: Any) -> None:
    reboots = Counter(r['instance'] for r in context.deployment.reboots())
    names = context.deployment.placement()
    assert reboots == dict.fromkeys(names, 1), reboots


@then('wave: no reboot cut a request')
def check_cuts(context: Any) -> None:
    ledgers = context.deployment.ledgers()
    for reboot in context.deployment.reboots():
        number = int(reboot['instance'].removeprefix('yard-'))
        for run in ledgers[number]['executions']:
            is_before = run['ended_at'] <= reboot['at']
            assert is_before or run['began_at'] >= reboot['back_at'], run


@then('wave: the budget was never exceeded')
def check_budget(context: Any) -> None:
    samples = context.load.draining
    assert any(samples), 'no drain was seen'
    for zones in samples:
        assert zones.total() <= context.budget.unavailable, zones
        most = max(zones.values(), default=0)
        assert most <= context.budget.unavailable_per_zone, zones


@then('wave: every request is answered')
def check_answered(context: Any) -> None:
    for sent in context.load.sent:
        assert sent.told is Told.ANSWERED and sent.is_whole, sent


@then('wave: every idempotent request is answered')
def check_idempotent(context: Any) -> None:
    sent = [item for item in context.load.sent if item.is_idempotent]
    assert sent
    for item in sent:
        assert item.told is Told.ANSWERED and item.is_whole, item


@then('wave: others are too, but those whose ids the takeover lost')
def check_others(context: Any) -> None:
    """Ids from before the takeover, by a skewed clock, may be unknown."""
    lost_until = taken_at(context) + ID_SKEW_S
    others = [item for item in context.load.sent if not item.is_idempotent]
    assert any(item.began_at > lost_until for item in others), 'too short'
    for item in others:
        is_lost = item.began_at < lost_until
        if is_lost and item.ended_at > context.killed_at:
            continue
        assert item.told is Told.ANSWERED and item.is_whole, item


def taken_at(context: Any) -> float:
    """Return when the second epoch began, in monotonic seconds."""
    for path in context.folder.glob('*.log'):
        for line in path.read_text().splitlines():
            event = json.decode(line)
            fields = event['fields']
            if event['name'] == 'owner_taken' and fields['epoch'] > 1:
                wall = datetime.fromisoformat(event['time']).timestamp()
                return wall - (time() - monotonic())
    raise AssertionError('nobody took over')


@then('wave: every answer agrees with the ledgers')
def check_ledgers(context: Any) -> None:
    runs = Counter(
        run['request_id']
        for ledger in context.deployment.ledgers()
        for run in ledger['executions']
    )
    for sent in context.load.sent:
        count = runs[sent.request_id]
        assert sent.is_idempotent or count <= 1, sent
        if sent.told is Told.ANSWERED:
            assert count >= 1, sent
        elif sent.told is Told.NOT_RUN:
            assert count == 0, sent


@then('wave: the upstream got work before and none after 3 seconds')
def check_left(context: Any) -> None:
    runs = context.deployment.ledgers()[0]['executions']
    times = [run['began_at'] - context.announced_at for run in runs]
    assert min(times) < 0, times
    assert max(times) <= LEAVING_S, times


@then('wave: every entry instance explains to an operator that it leaves')
def check_explained(context: Any) -> None:
    entries = [
        word
        for number in range(len(context.deployment.ports))
        for word in ('--entry', context.deployment.url(number, ''))
    ]
    rows = context.operator.run('explain', 'yard-0', *entries)
    states = [row['state'] for row in rows]
    assert states == ['leaving'] * len(context.deployment.ports), rows


@then('wave: without an operator key nothing is explained')
def check_guarded(context: Any) -> None:
    page = context.deployment.pool.request(
        'GET', context.deployment.url(0, '/-/explain/yard-0')
    )
    assert page.status == 401, page.status
