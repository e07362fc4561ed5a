"""A small specification of freshness and configuration versions.

Three nodes, one change of the configuration, which withdraws a key.
Node 0 is observed; by symmetry it stands for each. Messages and calls
of the store need not happen, which covers outages, partitions, pauses
and loss; one heartbeat to the observer may lie in a buffer. Freshness
and what becomes of a delta are computed by the real cores.
"""

from functools import cache
from typing import Final
from typing import NamedTuple

from minicheck import Protocol

from primroseledge.agreement.configuration import create_configuration
from primroseledge.agreement.freshness import is_fresh
from primroseledge.agreement.freshness import majority
from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.freshness import View
from primroseledge.ids import EntryId
from primroseledge.ids import Revision
from primroseledge.requests.messages import ConfigDelta

NODES: Final = (0, 1, 2)
MEMBERS: Final = tuple(EntryId(str(node)) for node in NODES)
FRESH: Final = 1
STALE: Final = FRESH + 1
MAJORITY: Final = majority(len(MEMBERS))
NOTHING: Final = 0
WITH_KEY: Final = 1
WITHOUT_KEY: Final = 2


class Spec(NamedTuple):
    """Bounds, and the seeded faults that a check must find."""

    crashes: int = 1
    has_delays: bool = True
    needs_witness: bool = True
    accepts_by_majority: bool = True
    dates_by_echo: bool = True
    keeps_revision: bool = True


class Node(NamedTuple):
    """One node's view; ages are in ticks, STALE when too old."""

    revision: int = WITH_KEY
    is_witness: bool = True
    read_age: int = 0
    run_age: int = STALE


class Buffered(NamedTuple):
    """A heartbeat to the observer that has not arrived."""

    sender: int
    revision: int
    is_witness: bool
    age: int


class State(NamedTuple):
    """All that the specification knows.

    ``agreed`` dates what the observer heard of each peer; ``accepted``
    is how long ago the withdrawal was accepted, -1 when it was not.
    """

    nodes: tuple[Node, Node, Node] = (Node(), Node(), Node())
    store: int = WITH_KEY
    agreed: tuple[int, int, int] = (STALE, 0, 0)
    accepted: int = -1
    buffered: Buffered | None = None
    crashes: int = 0
    has_reverted: bool = False


Steps = list[tuple[str, State]]


@cache
def applied(revision: int, upto: int) -> int:
    """Return a real view's revision after a peer's full copy."""
    configuration = create_configuration()
    for wanted in (revision, upto):
        delta = ConfigDelta(Revision(0), Revision(wanted), (), is_whole=True)
        configuration.apply(delta)
    return configuration.revision


def put(state: State, index: int, node: Node) -> State:
    """Return a state with one node replaced, perhaps accepted by it."""
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=(nodes[0], nodes[1], nodes[2]))


def accept(spec: Spec, state: State) -> State:
    """Take the withdrawal as accepted when enough nodes have it."""
    holders = sum(
        node.revision == WITHOUT_KEY
        and (node.is_witness or not spec.needs_witness)
        for node in state.nodes
    )
    needed = MAJORITY if spec.accepts_by_majority else 1
    if state.accepted >= 0 or holders < needed:
        return state
    return state._replace(accepted=0)


def older(age: int) -> int:
    """Return an age one tick later."""
    return min(STALE, age + 1)


def tick(spec: Spec, state: State) -> Steps:
    """Let one tick pass for all."""
    nodes = [
        node._replace(
            read_age=older(node.read_age), run_age=older(node.run_age)
        )
        for node in state.nodes
    ]
    agreed = [older(age) for age in state.agreed]
    buffered = state.buffered
    if buffered is not None:
        buffered = buffered._replace(age=older(buffered.age))
    accepted = state.accepted
    return [
        (
            'tick',
            state._replace(
                nodes=(nodes[0], nodes[1], nodes[2]),
                agreed=(agreed[0], agreed[1], agreed[2]),
                accepted=accepted if accepted < 0 else older(accepted),
                buffered=buffered,
            ),
        )
    ]


def withdraw(spec: Spec, state: State) -> Steps:
    """Let an operator write the withdrawal to the store."""
    if state.store == WITHOUT_KEY:
        return []
    return [('withdraw', state._replace(store=WITHOUT_KEY))]


def read(spec: Spec, state: State) -> Steps:
    """Let a node read the store."""
    return [
        (
            f'read {index}',
            put(
                state,
                index,
                Node(state.store, True, 0, node.run_age),
            ),
        )
        for index, node in enumerate(state.nodes)
    ]


def pull(spec: Spec, state: State) -> Steps:
    """Let a node get a full copy of a peer, newer or old."""
    steps: Steps = []
    for index, node in enumerate(state.nodes):
        for sender, peer in enumerate(state.nodes):
            if sender == index or peer.revision == node.revision:
                continue
            revision = applied(node.revision, peer.revision)
            if not spec.keeps_revision:
                revision = peer.revision
            after = put(state, index, node._replace(revision=revision))
            after = after._replace(
                has_reverted=state.has_reverted or revision < node.revision
            )
            steps.append((f'pull {index} from {sender}', after))
    return steps


def beat(spec: Spec, state: State) -> Steps:
    """Let a heartbeat reach a node that has what its sender has."""
    steps: Steps = []
    for index, node in enumerate(state.nodes):
        for sender, peer in enumerate(state.nodes):
            if sender == index or peer.revision > node.revision:
                continue
            steps.append(
                (
                    f'beat {sender} to {index}',
                    hear(spec, state, index, sender, peer, 0),
                )
            )
    return steps


def hear(
    spec: Spec, state: State, index: int, sender: int, peer: Node, age: int
) -> State:
    """Return the state after a heartbeat of a given age."""
    node = state.nodes[index]
    read_age = min(node.read_age, peer.read_age)
    is_covered = read_age < min(STALE, node.run_age)
    heard = node._replace(
        read_age=read_age, is_witness=node.is_witness or is_covered
    )
    after = put(state, index, heard)
    counts = peer.is_witness or not spec.needs_witness
    if index or not counts:
        return after
    agreed = list(state.agreed)
    agreed[sender] = min(agreed[sender], age)
    return after._replace(agreed=(agreed[0], agreed[1], agreed[2]))


def delay(spec: Spec, state: State) -> Steps:
    """Let a heartbeat to the observer stay in a buffer."""
    if state.buffered is not None or not spec.has_delays:
        return []
    return [
        (
            f'delay beat of {sender}',
            state._replace(
                buffered=Buffered(
                    sender,
                    state.nodes[sender].revision,
                    state.nodes[sender].is_witness,
                    0,
                )
            ),
        )
        for sender in NODES[1:]
    ]


def arrive(spec: Spec, state: State) -> Steps:
    """Let the buffered heartbeat arrive, or be lost."""
    late = state.buffered
    if late is None:
        return []
    lost = state._replace(buffered=None)
    if late.revision > state.nodes[0].revision:
        return [('lose beat', lost)]
    peer = Node(late.revision, late.is_witness, STALE)
    age = late.age if spec.dates_by_echo else 0
    after = hear(spec, lost, 0, late.sender, peer, age)
    return [('lose beat', lost), (f'late beat of {late.sender}', after)]


def crash(spec: Spec, state: State) -> Steps:
    """Let a node crash and start again with nothing."""
    if state.crashes >= spec.crashes:
        return []
    steps: Steps = []
    for index in NODES:
        after = put(state, index, Node(NOTHING, False, STALE, 0))
        if index == 0:
            after = after._replace(agreed=(STALE, STALE, STALE))
        steps.append(
            (f'crash {index}', after._replace(crashes=state.crashes + 1))
        )
    return steps


STEPS: Final = (tick, withdraw, read, pull, beat, delay, arrive, crash)


def observer_is_fresh(spec: Spec, state: State) -> bool:
    """Return whether the observer would act, by the real core."""
    node = state.nodes[0]
    agreed = {
        MEMBERS[peer]: float(-age)
        for peer, age in enumerate(state.agreed)
        if peer and age < STALE
    }
    read_at = -node.read_age if node.read_age < STALE else NEVER
    is_witness = node.is_witness or not spec.needs_witness
    view = View(MEMBERS[0], is_witness, MEMBERS, read_at, agreed)
    return is_fresh(view, 0.0, FRESH)


def protocol(spec: Spec) -> Protocol:
    """Return the specification for the model checker."""

    def transitions(values: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [
            (label, (accept(spec, after),))
            for step in STEPS
            for label, after in step(spec, values[0])
        ]

    def has_no_late_work(fields: dict[str, State]) -> bool:
        state = fields['state']
        if state.accepted <= FRESH or state.nodes[0].revision != WITH_KEY:
            return True
        return not observer_is_fresh(spec, state)

    return Protocol(
        name='views',
        candidate=False,
        fields=('state',),
        initial=(State(),),
        transitions=transitions,
        invariants={
            'no work for a withdrawn key': has_no_late_work,
            'no version reverts': lambda f: not f['state'].has_reverted,
        },
    )
