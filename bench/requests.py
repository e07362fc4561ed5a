"""Compares policies for requests, and what a grant and a request cost.

Usage: ``python -m bench.requests [policies|grant|retries|request]``; prints
JSON. Policies run in virtual time, the costs in processor time.
"""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from os import sysconf
from pathlib import Path
from random import Random
import sys
from tempfile import TemporaryDirectory
from time import process_time
from typing import Any
from typing import Final

from msgspec import json
from urllib3.poolmanager import PoolManager

from bench.request_load import PERIOD_S
from bench.request_load import SERVICES
from bench.request_load import SHARES
from bench.request_load import TIMEOUT_S
from bench.request_load import World
from bench.request_policies import CELL
from bench.request_policies import configuration_of
from bench.request_policies import POLICIES
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.actions import EntryAction
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant
from primroseledge.requests.open_call import Arrival
from primroseledge.requests.retry_budget import RetryBudget
from standins.deployment import Deployment
from standins.processes import start_standin

SEED: Final = 7
GRANTS: Final = 20_000
DRAIN_S: Final = 30.0
REQUESTS: Final = 3000
RETRY_RATIO: Final = 0.1
WARM_UP: Final = 300
CALLERS: Final = 4

PARTS: dict[str, Callable[[], Any]] = {}


def part(name: str) -> Callable[[Callable[[], Any]], Callable[[], Any]]:
    """Register a part of the bench."""

    def register(function: Callable[[], Any]) -> Callable[[], Any]:
        PARTS[name] = function
        return function

    return register


@part('policies')
def compare_policies() -> dict[str, Any]:
    """Run every policy on the same load."""
    results: dict[str, Any] = {}
    for name, create in POLICIES.items():
        world = World(Random(SEED))
        policy = create(world)
        world.load(policy)
        began_at = process_time()
        world.run(SERVICES * PERIOD_S + DRAIN_S)
        results[name] = world.result()
        results[name]['processor_s'] = round(process_time() - began_at, 2)
    return results


@part('grant')
def measure_grants() -> dict[str, Any]:
    """Measure processor time for a grant with its Ask and Done."""
    return {
        f'{upstreams} upstreams': grant_cost(upstreams, SERVICES)
        for upstreams in (5, 263)
    }


def grant_cost(upstreams: int, services: int) -> dict[str, float]:
    """Keep queues full and measure the cost of each grant."""
    dispatcher = create_dispatcher(
        CELL, Epoch(1), configuration_of(services, upstreams, 8)
    )
    dispatcher.begin({}, (), 0.0, 0.0, 0.0)
    entries = [EntryId(f'e{n}') for n in range(7)]
    for entry in entries:
        dispatcher.heard(entry, 0.0, 0.0)
    open_grants: list[tuple[EntryId, Grant]] = []
    teams = list(SHARES)
    began_at = process_time()
    for number in range(GRANTS):
        entry = entries[number % 7]
        ask = Ask(
            CELL,
            str(number),
            RequestId(str(number)),
            TeamId(teams[number % 3]),
            ServiceId(f's{number % services}'),
            True,
            False,
            9.0,
        )
        actions = dispatcher.asked(entry, ask, 0.0)
        if len(open_grants) > 30:
            done_entry, grant = open_grants.pop(0)
            done = Done(CELL, grant.grant_id, EndState.ENDED)
            actions += dispatcher.done(done_entry, done, 0.0)
        for action in actions:
            if isinstance(action.message, Grant):
                open_grants.append((action.entry, action.message))
    spent = process_time() - began_at
    return {'microseconds': round(spent / dispatcher.counter * 1e6, 1)}


@part('retries')
def measure_retries() -> dict[str, float]:
    """Measure attempts a request at one entry core when answers get lost.

    Every request is idempotent, so that retries are at their most.
    """
    return {
        f'{part:.0%} lost': amplification(part) for part in (0.1, 0.5, 1.0)
    }


def amplification(lost_part: float) -> float:
    """Return attempts for one request when a part of the answers is lost."""
    random = Random(SEED)
    core = EntryCore(
        EntryId('e0'), Incarnation(1), 'zone-0', RetryBudget(RETRY_RATIO)
    )
    attempts = 0
    for handle in range(REQUESTS):
        arrival = Arrival(
            handle,
            RequestId(str(handle)),
            TeamId('quotes'),
            ServiceId('s0'),
            CELL,
            True,
            False,
            TIMEOUT_S,
        )
        actions = core.arrive(arrival, 0.0)
        while ask := ask_in(actions):
            attempts += 1
            grant = Grant(
                CELL,
                Epoch(1),
                ask.ask_id,
                GrantId(f'main.1.{attempts}'),
                InstanceId('u0'),
                'u0',
                TIMEOUT_S,
                0.0,
            )
            core.granted(grant, 0.0)
            is_lost = random.random() < lost_part
            end = AttemptEnd.LOST if is_lost else AttemptEnd.ANSWERED
            actions = core.attempt_ended(handle, end, 0.0)
    return round(attempts / REQUESTS, 4)


def ask_in(actions: list[EntryAction]) -> Ask | None:
    """Return the Ask among actions, if there is one."""
    for action in actions:
        if isinstance(action, SendToOwner) and isinstance(action.message, Ask):
            return action.message
    return None


@part('request')
def measure_requests() -> dict[str, Any]:
    """Compare an entry instance with a bare forwarder."""
    with ExitStack() as resources:
        folder = Path(resources.enter_context(TemporaryDirectory()))
        deployment = Deployment(resources, folder, 1, 2, 0.0)
        deployment.configure()
        deployment.wait_ready()
        upstream = f'127.0.0.1:{deployment.upstream_ports[0]}'
        forwarder, port = start_standin(resources, 'bench.forwarder', upstream)
        entry_s = request_cost(
            deployment.entries[0].pid,
            deployment.url(0, '/services/bulletin/work'),
            {'Authorization': f'Bearer {deployment.key_a}'},
        )
        bare_s = request_cost(
            forwarder.pid, f'http://127.0.0.1:{port}/work', {}
        )
    return {
        'entry_ms': round(entry_s * 1000, 3),
        'forwarder_ms': round(bare_s * 1000, 3),
        'ratio': round(entry_s / bare_s, 2),
    }


def request_cost(pid: int, url: str, headers: dict[str, str]) -> float:
    """Return a process's processor time for one request, in seconds."""
    pool = PoolManager(maxsize=CALLERS, retries=False)

    def send(_: int) -> None:
        response = pool.request('PUT', url, body=b'load', headers=headers)
        assert response.status == 200, response.data

    with ThreadPoolExecutor(CALLERS) as executor:
        list(executor.map(send, range(WARM_UP)))
        before = processor_s(pid)
        list(executor.map(send, range(REQUESTS)))
        return (processor_s(pid) - before) / REQUESTS


def processor_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    text = Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / sysconf('SC_CLK_TCK')


def main(names: list[str]) -> None:
    """Run the named parts, or all."""
    results = {name: PARTS[name]() for name in names or PARTS}
    print(json.format(json.encode(results)).decode())


if __name__ == '__main__':
    main(sys.argv[1:])
