"""Measure what the agreement between entry instances costs and takes.

Links and store are in memory with virtual time: 1 ms a message, 3 ms
each way to the store. Processor time is real. Prints JSON.
"""

from collections.abc import Callable
from functools import partial
from random import Random
from statistics import quantiles
import sys
from time import process_time
from typing import Final

from msgspec import json

from primroseledge.agreement.configuration import create_configuration
from primroseledge.agreement.configuration import snapshot_delta
from primroseledge.agreement.fanout import heartbeat_peers
from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.membership import HEARTBEAT_S
from primroseledge.agreement.membership import Membership
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.requests.messages import decode
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot
from tests.agreement_fleet import Fleet

SIZES: Final = (7, 70, 700)
ROUNDS: Final = 3
CHANGES: Final = 100
TRIALS: Final = 20
CHANGES_A_DAY: Final = 9_200
BURST: Final = 50
SECONDS_A_DAY: Final = 86_400
RUN = Incarnation(1_796_000_000_000)

Peers = Callable[[EntryId, tuple[EntryId, ...]], frozenset[EntryId]]
Figures = dict[str, float]


def all_peers(me: EntryId, entries: tuple[EntryId, ...]) -> frozenset[EntryId]:
    """Return all others."""
    return frozenset(entries) - {me}


def heartbeats(size: int, peers_of: Peers, has_all_echoes: bool) -> Figures:
    """Return what heartbeats cost a node: its mean and its worst."""
    entries = tuple(EntryId(f'entry-{n:04}') for n in range(size))
    nodes = {
        me: create_membership(me, RUN, peers_of(me, entries), 1000.0)
        for me in entries
    }
    sent = dict.fromkeys(entries, 0)
    began = process_time()
    for number in range(ROUNDS):
        now = 1000.0 + number * HEARTBEAT_S
        for me, node in nodes.items():
            for peer in node.peers:
                to = None if has_all_echoes else peer
                data = encode(envelope(me, beat(node, now, to)))
                sent[me] += len(data)
                hear(nodes[peer], data, now + 0.001)
    seconds = ROUNDS * HEARTBEAT_S
    return {
        'mean_bytes_s': round(sum(sent.values()) / size / seconds, 1),
        'worst_bytes_s': round(max(sent.values()) / seconds, 1),
        'cpu_fraction': round((process_time() - began) / size / seconds, 6),
    }


def beat(node: Membership, now: float, to: EntryId | None) -> Heartbeat:
    """Return a heartbeat as the daemon fills it."""
    epochs = {CellId('main'): Epoch(7)}
    return node.heartbeat(now, Revision(123456), 0.5, epochs, True, (), to)


def envelope(me: EntryId, message: Heartbeat) -> Envelope:
    """Return a message as it is sent."""
    return Envelope(PROTOCOL_VERSION, me, RUN, message)


def hear(node: Membership, data: bytes, now: float) -> None:
    """Decode a heartbeat and take it."""
    received = decode(data)
    assert isinstance(received.body, Heartbeat)
    node.hear(received.sender, received.incarnation, received.body, now)


def fan_out_bytes() -> Figures:
    """Return the bytes a second that configuration changes cost a node."""
    text = json.encode(
        {'id': 'sales', 'share': 3, 'limit': 40, 'keys': [KEY] * 4}
    ).decode()
    records = tuple(
        Record('config/team/sales', text, Revision(n + 1), WriteId(''))
        for n in range(BURST)
    )
    configuration = create_configuration()
    delta = snapshot_delta(Snapshot(Revision(BURST), records), Revision(0))
    began = process_time()
    configuration.apply(delta)
    data = len(encode(Envelope(PROTOCOL_VERSION, EntryId('e'), RUN, delta)))
    return {
        'bytes_a_change': round(data / BURST, 1),
        'bytes_s_a_receiver': round(
            data / BURST * CHANGES_A_DAY / SECONDS_A_DAY, 1
        ),
        'burst_bytes_a_receiver': data,
        'burst_cpu_s': round(process_time() - began, 6),
    }


KEY: Final = {'id': 'k', 'salt': 's' * 32, 'digest': 'd' * 64}


def in_force(size: int, is_partial: bool) -> Figures:
    """Return how long a change takes to be in force on all nodes.

    In a partial outage only the two watching nodes reach the store.
    """
    fleet = Fleet(size, 1)
    random = Random(1)
    fleet.run(6.0)
    if is_partial:
        fleet.faults.store_cut = set(fleet.entries) - fleet.watchers
    times = []
    for number in range(CHANGES):
        fleet.run(random.uniform(0.2, 1.0))
        value = f'{{"id": "sales", "share": 1, "limit": {number}}}'
        revision = fleet.put('config/team/sales', value)
        times.append(until(fleet, partial(is_everywhere, fleet, revision)))
    return spread(times)


def is_everywhere(fleet: Fleet, revision: Revision) -> bool:
    """Return whether every node has a revision."""
    return all(
        node.configuration.revision >= revision
        for node in fleet.nodes.values()
    )


def has_owner(fleet: Fleet) -> bool:
    """Return whether a node acts as the owner."""
    return bool(fleet.owners())


def until(fleet: Fleet, condition: Callable[[], bool]) -> float:
    """Let time pass until a condition holds; return how long it took."""
    began = fleet.now
    while not condition():
        fleet.run(0.002)
    return fleet.now - began


def spread(times: list[float]) -> Figures:
    """Return the middle, the 99th hundredth and the worst."""
    cuts = quantiles(times, n=100, method='inclusive')
    return {
        'p50_s': round(cuts[49], 3),
        'p99_s': round(cuts[98], 3),
        'worst_s': round(max(times), 3),
    }


def joining(is_store_up: bool) -> Figures:
    """Return how long a restarted node takes to have a fresh view."""
    times = []
    for seed in range(TRIALS):
        fleet = Fleet(7, seed)
        fleet.run(6.0)
        if not is_store_up:
            fleet.faults.store_cut = set(fleet.entries)
            fleet.run(5.0)
        entry = fleet.entries[-1]
        fleet.restart(entry)
        times.append(until(fleet, fleet.nodes[entry].is_fresh))
    return spread(times)


def takeover(is_planned: bool) -> Figures:
    """Return how long a cell has no owner that acts."""
    times = []
    for seed in range(TRIALS):
        fleet = Fleet(7, seed)
        fleet.run(7.0 + seed * 0.037)
        owner = fleet.owners()[0]
        if is_planned:
            owner.leave()
        else:
            fleet.crash(owner.id)
        times.append(until(fleet, partial(has_owner, fleet)))
    return spread(times)


def store_calls(size: int) -> Figures:
    """Return the calls a second, and those of a fleet that polls."""
    fleet = Fleet(size, 1)
    fleet.run(10.0)
    before, seconds = fleet.store.calls, 20.0
    began = process_time()
    fleet.run(seconds)
    return {
        'calls_s': round((fleet.store.calls - before) / seconds, 2),
        'polling_calls_s': float(size),
        'harness_cpu_s_a_node': round(
            (process_time() - began) / size / seconds, 5
        ),
    }


def slope(figures: dict[str, Figures], name: str) -> float:
    """Return by how much a figure grows for each further node."""
    sizes = sorted(map(int, figures))
    rise = figures[str(sizes[-1])][name] - figures[str(sizes[0])][name]
    return round(rise / (sizes[-1] - sizes[0]), 8)


def main() -> None:
    """Measure all and print it."""
    flat = {str(n): heartbeats(n, all_peers, False) for n in SIZES}
    tree = {str(n): heartbeats(n, heartbeat_peers, False) for n in SIZES}
    calls = {str(n): store_calls(n) for n in (7, 21)}
    force = {str(n): in_force(n, False) for n in (7, 21)}
    result = {
        'heartbeats_flat': flat,
        'heartbeats_tree': tree,
        'heartbeats_flat_all_echoes': {
            str(n): heartbeats(n, all_peers, True) for n in SIZES[:2]
        },
        'changes': fan_out_bytes(),
        'in_force_store_up': force,
        'in_force_two_nodes_reach_store': in_force(7, True),
        'joining_store_up': joining(True),
        'joining_store_down': joining(False),
        'takeover_after_crash': takeover(False),
        'handover_planned': takeover(True),
        'store_calls': calls,
        'slopes_a_node': {
            'flat_mean_bytes_s': slope(flat, 'mean_bytes_s'),
            'tree_worst_bytes_s': slope(tree, 'worst_bytes_s'),
            'flat_cpu_fraction': slope(flat, 'cpu_fraction'),
            'tree_cpu_fraction': slope(tree, 'cpu_fraction'),
            'store_calls_s': slope(calls, 'calls_s'),
            'in_force_worst_s': slope(force, 'worst_s'),
        },
    }
    sys.stdout.write(json.format(json.encode(result)).decode() + '\n')


if __name__ == '__main__':
    main()
