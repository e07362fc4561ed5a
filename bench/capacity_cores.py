"""Probes of requests, rights and configuration, on the real cores."""

from itertools import count
from typing import Final

from bench.capacity import allocated_bytes
from bench.capacity import Probe
from bench.capacity import probe
from bench.capacity import PROBES
from bench.capacity import time_us
from bench.capacity_fleet import delta
from bench.capacity_fleet import documents
from bench.capacity_fleet import instance
from bench.capacity_fleet import ME
from bench.capacity_fleet import RUN
from bench.capacity_fleet import SHARD_SIZE
from bench.capacity_fleet import shards
from bench.capacity_fleet import team
from bench.capacity_fleet import wire_bytes
from primroseledge.agreement.configuration import Configuration
from primroseledge.agreement.configuration import create_configuration
from primroseledge.ids import CellId
from primroseledge.ids import Epoch
from primroseledge.ids import KeyId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.keyring import Keyring
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import decode
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.requests.open_call import Arrival
from primroseledge.requests.retry_budget import RetryBudget
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Placement
from primroseledge.storage.keys import generate_key

CELL: Final = CellId('main')
SERVICE: Final = ServiceId('service-0')


def core_probes() -> dict[str, Probe]:
    """Return the probes of this module by name."""
    return PROBES


def configured(instances: int, pools: int, teams: int) -> Configuration:
    """Return a view with all documents of a fleet in force."""
    view = create_configuration()
    view.apply(delta(documents(instances, pools, teams), is_whole=True))
    return view


def open_dispatcher(view: Configuration) -> Dispatcher:
    """Return the dispatcher of a cell's first epoch, granting."""
    dispatcher = create_dispatcher(CELL, Epoch(1), view)
    dispatcher.begin({}, (), 0.0, 1.0, 1.0)
    dispatcher.heard(ME, 1.0, 1.0)
    return dispatcher


def ask(number: int, team_number: int = 0) -> Ask:
    """Return the Ask of one request."""
    return Ask(
        cell=CELL,
        ask_id=f'entry-0.{RUN}.{number}',
        request_id=RequestId(f'018f0000-0000-7000-8000-{number:012x}'),
        team=TeamId(f'team-{team_number}'),
        service=SERVICE,
        is_idempotent=False,
        is_urgent=False,
        remaining_s=10.0,
        zone='zone-0',
    )


def request_us(dispatcher: Dispatcher, repeats: int) -> float:
    """Return the time of one request's Ask and Done at the owner."""
    numbers = count(1)

    def serve() -> None:
        actions = dispatcher.asked(ME, ask(next(numbers)), 1.0)
        grant = actions[-1].message
        assert isinstance(grant, Grant)
        done = Done(CELL, grant.grant_id, EndState.ENDED)
        dispatcher.done(ME, done, 1.0)

    return time_us(serve, repeats)


@probe('µs', 'instance in the fleet', (250, 1000, 4000))
def dispatch_by_fleet_us(size: int) -> float:
    """Ask and Done at a cell's owner that sees the whole fleet."""
    view = configured(size, 118, 6)
    return request_us(open_dispatcher(view), 60)


@probe('µs', 'instance in the pool', (40, 160, 640))
def dispatch_by_pool_us(size: int) -> float:
    """Ask and Done at an owner whose fleet is one pool."""
    view = configured(size, 1, 6)
    return request_us(open_dispatcher(view), 100)


@probe('µs', 'waiting team', (6, 60, 290))
def dispatch_by_teams_us(size: int) -> float:
    """Ask and Done while so many teams wait at their limits."""
    view = configured(40, 1, size + 1)
    dispatcher = open_dispatcher(view)
    for number in range(1, size + 1):
        name = TeamId(f'team-{number}')
        dispatcher.work.limits.running[name] = view.teams[name].limit
        dispatcher.asked(ME, ask(1_000_000 + number, number), 1.0)
    return request_us(dispatcher, 100)


@probe('µs', 'waiting request', (100, 300, 900))
def dispatch_by_queue_us(size: int) -> float:
    """Ask and Done while so many requests of a team at its limit wait."""
    view = configured(40, 1, 2)
    dispatcher = open_dispatcher(view)
    blocked = TeamId('team-1')
    dispatcher.work.limits.running[blocked] = view.teams[blocked].limit
    for number in range(size):
        dispatcher.asked(ME, ask(1_000_000 + number, 1), 1.0)
    return request_us(dispatcher, 100)


@probe('bytes', 'waiting request', (100, 300, 900))
def waiting_bytes(size: int) -> float:
    """Memory of the queue."""
    view = configured(1, 1, 1)

    def build() -> Dispatcher:
        dispatcher = open_dispatcher(view)
        dispatcher.work.limits.running[TeamId('team-0')] = 1_000_000
        for number in range(size):
            dispatcher.asked(ME, ask(number), 1.0)
        return dispatcher

    return allocated_bytes(build)


@probe('bytes', 'remembered id', (1000, 2000, 4000))
def remembered_bytes(size: int) -> float:
    """Memory of the ids of non-idempotent requests that have ended."""
    view = configured(40, 1, 1)

    def build() -> Dispatcher:
        dispatcher = open_dispatcher(view)
        request_us(dispatcher, size)
        return dispatcher

    return allocated_bytes(build)


@probe('µs', 'open call', (64, 256, 1024))
def entry_request_us(size: int) -> float:
    """Arrival, grant and end of a request at its entry instance."""
    core = entry_core(size)
    numbers = count(10_000)

    def serve() -> None:
        number = next(numbers)
        core.arrive(arrival(number), 1.0)
        call = core.by_handle[number]
        core.forget(call)

    return time_us(serve, 200)


@probe('bytes', 'open call', (64, 256, 1024))
def open_call_bytes(size: int) -> float:
    """Memory of the calls that an entry instance has open."""
    return allocated_bytes(lambda: entry_core(size))


def entry_core(calls: int) -> EntryCore:
    """Return an entry core with open calls."""
    core = EntryCore(ME, RUN, 'zone-0', RetryBudget(0.1))
    for number in range(calls):
        core.arrive(arrival(number), 1.0)
    return core


def arrival(number: int) -> Arrival:
    """Return one checked request."""
    return Arrival(
        handle=number,
        request_id=RequestId(f'018f0000-0000-7000-8000-{number:012x}'),
        team=TeamId('team-0'),
        service=SERVICE,
        cell=CELL,
        is_idempotent=False,
        is_urgent=False,
        deadline=100.0,
    )


@probe('µs', 'team', (6, 60, 290))
def key_check_us(size: int) -> float:
    """Find the team of a key, the index being up to date."""
    text, record = generate_key()
    view = create_configuration()
    found = [team(number) for number in range(size)]
    view.teams = {item.team_id: item for item in found}
    keyring = Keyring(view)
    keyring.rebuild()
    keyring.records[KeyId(record.id)] = (TeamId('team-0'), record)
    return time_us(lambda: keyring.find_team(text), 200)


@probe('µs', 'team', (60, 290, 580))
def keyring_rebuild_us(size: int) -> float:
    """Index all keys again, as after each change of a document."""
    view = configured(1, 1, size)
    return time_us(Keyring(view).rebuild, 50)


@probe('bytes', 'instance', (1000, 2000, 4000))
def instance_bytes(size: int) -> float:
    """Memory of the placement in force, documents and texts."""
    changes = delta(shards(size), is_whole=True)

    def build() -> Configuration:
        view = create_configuration()
        view.apply(copied(changes))
        return view

    return allocated_bytes(build)


def copied(changes: ConfigDelta) -> ConfigDelta:
    """Return a delta as it comes off the wire, sharing no text."""
    data = encode(Envelope(PROTOCOL_VERSION, ME, RUN, changes))
    body = decode(data).body
    assert isinstance(body, ConfigDelta)
    return body


@probe('bytes', 'team', (60, 290, 580))
def team_bytes(size: int) -> float:
    """Memory of the teams' documents with two keys each."""
    items = [('team', team(number)) for number in range(size)]
    changes = delta([*items], is_whole=True)

    def build() -> Configuration:
        view = create_configuration()
        view.apply(copied(changes))
        return view

    return allocated_bytes(build)


@probe('µs', 'instance in the fleet', (1000, 4000, 16_000))
def placement_change_us(size: int) -> float:
    """Apply a change of one placement shard to the view in force."""
    view = configured(size, 118, 6)
    item = shards(SHARD_SIZE)[0]

    def change() -> None:
        view.apply(delta([item], int(view.revision)))

    return time_us(change, 15)


@probe('bytes', 'instance in the shard', (25, 100, 400))
def shard_delta_bytes(size: int) -> float:
    """Length of the message that carries one shard's change."""
    return float(wire_bytes(delta(shards(size, size=size))))


@probe('bytes', 'instance in the shard', (100, 400, 1600))
def shard_value_bytes(size: int) -> float:
    """Length of a shard's value in the store."""
    items = (instance(number) for number in range(size))
    value = Placement('s0', {item.id: item for item in items})
    return float(len(encode_document(value)))


@probe('bytes', 'request', (1, 2, 4))
def request_bytes(size: int) -> float:
    """Length of Ask, Grant, Done and DoneAck of so many requests."""
    dispatcher = open_dispatcher(configured(40, 1, 1))
    total = 0
    for number in range(size):
        request = ask(number)
        grant = dispatcher.asked(ME, request, 1.0)[-1].message
        assert isinstance(grant, Grant)
        done = Done(CELL, grant.grant_id, EndState.ENDED)
        ack = DoneAck(CELL, (grant.grant_id,))
        total += sum(wire_bytes(m) for m in (request, grant, done, ack))
    return float(total)


@probe('bytes', 'team', (1, 10, 100))
def team_delta_bytes(size: int) -> float:
    """Length of the message that carries teams' changes."""
    items = [('team', team(number)) for number in range(size)]
    return float(wire_bytes(delta([*items])))
