"""A small specification of ownership and limits, for model checking.

Three nodes and one team with a limit of one; time passes in ticks.
Messages and calls of the store are steps that need not happen, so any
outage, partition, pause and loss is covered, any number of times; only
crashes and epochs are bounded. Evidence, majorities, waiting and states
are computed by the real cores' own functions and chart.
"""

from typing import Final
from typing import NamedTuple

from minicheck import Protocol

from primroseledge.agreement.epoch_evidence import EpochEvidence
from primroseledge.agreement.freshness import majority
from primroseledge.chart import load_chart
from primroseledge.ids import EntryId

NODES: Final = (0, 1, 2)
MEMBERS: Final = tuple(EntryId(str(node)) for node in NODES)
FRESH: Final = 1
STALE: Final = FRESH + 1
RUN: Final = 2
LIMIT: Final = 1
MAJORITY: Final = majority(len(MEMBERS))


class Spec(NamedTuple):
    """Bounds, and the seeded faults that a check must find."""

    epochs: int = 3
    crashes: int = 1
    has_releases: bool = True
    has_work: bool = True
    waits: bool = True
    checks_clock: bool = True
    reads_first: bool = True
    needs_majority: bool = True
    quarantines: bool = True
    knows_when_whole: bool = True


class Store(NamedTuple):
    """The record; ``is_present_run`` is false once its owner crashed."""

    epoch: int
    owner: int
    is_present_run: bool = True
    is_released: bool = False
    is_whole: bool = False


UNKNOWN: Final = Store(0, 0)


class Node(NamedTuple):
    """One node; ages are in ticks, STALE when too old to matter.

    ``past`` is the record that a taker replaced, and ``replaced`` what
    a write without an answer was to replace.
    """

    state: str = 'follower'
    epoch: int = 1
    has_read: bool = True
    read_age: int = STALE
    votes: tuple[int, int, int] = (STALE, STALE, STALE)
    reports: frozenset[int] = frozenset()
    waited: int = 0
    past: Store = UNKNOWN
    is_complete: bool = False
    held: int = 0
    quarantine: int = 0
    run: int = 0
    replaced: Store = UNKNOWN


class State(NamedTuple):
    """All that the specification knows.

    ``orphans`` are attempts whose entry instance crashed, by the ticks
    that they may still run; ``young`` is how long a crash can matter.
    """

    nodes: tuple[Node, Node, Node]
    store: Store
    orphans: tuple[int, ...] = ()
    crashes: int = 0
    young: tuple[int, int, int] = (0, 0, 0)


INITIAL: Final = State(
    (Node('owner', read_age=0), Node(), Node()), Store(1, 0)
)

Steps = list[tuple[str, State]]


def may_act(spec: Spec, state: State, index: int) -> bool:
    """Return whether a node acts, by the real core's evidence."""
    node = state.nodes[index]
    if node.state != 'owner':
        return False
    return not spec.checks_clock or has_evidence(node, index)


def has_evidence(node: Node, index: int) -> bool:
    """Return whether the evidence of a node's epoch is fresh."""
    evidence = EpochEvidence()
    if node.read_age < STALE:
        evidence.note_read(-node.read_age)
    for peer, age in enumerate(node.votes):
        if age < STALE:
            evidence.note_vote(MEMBERS[peer], -age)
    return evidence.latest(MEMBERS[index], MEMBERS) + FRESH >= 0


def advance(state: str, trigger: str) -> str:
    """Move along the real chart."""
    return load_chart('ownership').advance(state, trigger)


def put(state: State, index: int, node: Node) -> State:
    """Return a state with one node replaced."""
    nodes = list(state.nodes)
    nodes[index] = node
    return state._replace(nodes=(nodes[0], nodes[1], nodes[2]))


def obey(node: Node, epoch: int) -> Node:
    """Return a node that follows another's epoch."""
    state = node.state
    if state in ('owner', 'waiting'):
        state = advance(state, 'deposed')
    return Node(state, epoch, node.has_read, held=node.held, run=node.run)


def win(node: Node, index: int, epoch: int, past: Store) -> Node:
    """Return a taker whose write replaced a past record."""
    return Node(
        advance('candidate', 'written'),
        epoch,
        True,
        read_age=0,
        reports=frozenset([index]),
        past=past,
        held=node.run,
        run=node.run,
    )


def tick(spec: Spec, state: State) -> Steps:
    """Let one tick pass for all."""
    first, second, third = (
        node._replace(
            read_age=min(STALE, node.read_age + 1),
            votes=older(node.votes),
            waited=min(STALE, node.waited + 1) if node.reports else 0,
            held=max(0, node.held - 1),
            quarantine=max(0, node.quarantine - 1),
            run=max(0, node.run - 1),
        )
        for node in state.nodes
    )
    orphans = tuple(left - 1 for left in state.orphans if left > 1)
    one, two, three = (max(0, left - 1) for left in state.young)
    after = state._replace(
        nodes=(first, second, third),
        orphans=orphans,
        young=(one, two, three),
    )
    return [('tick', after)]


def older(ages: tuple[int, int, int]) -> tuple[int, int, int]:
    """Return ages one tick later."""
    one, two, three = (min(STALE, age + 1) for age in ages)
    return one, two, three


def read(spec: Spec, state: State) -> Steps:
    """Let a node read the record."""
    steps = []
    store = state.store
    for index, node in enumerate(state.nodes):
        is_ours = store.owner == index and store.is_present_run
        is_ours = is_ours and not store.is_released
        read_node = node._replace(has_read=True)
        if store.epoch > node.epoch and node.state == 'resigned':
            read_node = obey(read_node, store.epoch)
        elif store.epoch > node.epoch and is_ours:
            read_node = win(read_node, index, store.epoch, read_node.replaced)
        elif store.epoch > node.epoch:
            read_node = obey(read_node, store.epoch)
        elif is_ours and node.state in ('owner', 'waiting'):
            read_node = read_node._replace(read_age=0)
        if read_node != node:
            steps.append((f'read {index}', put(state, index, read_node)))
    return steps


def take(spec: Spec, state: State) -> Steps:
    """Let a follower write the next epoch; the answer may be lost."""
    steps: Steps = []
    store = state.store
    for index, node in enumerate(state.nodes):
        knows = node.has_read and node.epoch == store.epoch
        if node.state != 'follower' or not knows:
            continue
        if store.epoch >= spec.epochs:
            continue
        taken = state._replace(store=Store(store.epoch + 1, index))
        taker = win(node, index, store.epoch + 1, store)
        steps.append((f'take {index}', put(taken, index, taker)))
        unsure = put(taken, index, node._replace(replaced=store))
        steps.append((f'take {index}, answer lost', unsure))
    return steps


def report(spec: Spec, state: State) -> Steps:
    """Let a peer obey a taker's epoch and report to it."""
    steps: Steps = []
    for index, taker in enumerate(state.nodes):
        if taker.state != 'waiting':
            continue
        for sender, peer in enumerate(state.nodes):
            is_known = sender in taker.reports
            if is_known or peer.epoch > taker.epoch or sender == index:
                continue
            if spec.reads_first and not peer.has_read:
                continue
            is_past = sender == taker.past.owner and taker.past.is_present_run
            resigned = is_past and peer.state == 'resigned'
            carried = max(peer.run, peer.held if resigned else 0)
            reports = taker.reports | {sender}
            has_majority = len(reports) == MAJORITY
            heard = taker._replace(
                reports=reports,
                waited=0 if has_majority else taker.waited,
                held=max(taker.held, carried),
                is_complete=taker.is_complete
                or (resigned and taker.past.is_whole),
            )
            after = put(state, sender, obey(peer, taker.epoch))
            after = put(after, index, heard)
            steps.append((f'report {sender} to {index}', after))
    return steps


def vote(spec: Spec, state: State) -> Steps:
    """Let a heartbeat tell an owner or taker that its epoch is obeyed."""
    steps: Steps = []
    for index, node in enumerate(state.nodes):
        if node.state not in ('owner', 'waiting'):
            continue
        for sender, peer in enumerate(state.nodes):
            is_heard = peer.has_read or not spec.reads_first
            if sender == index or peer.epoch != node.epoch or not is_heard:
                continue
            votes = list(node.votes)
            votes[sender] = 0
            heard = node._replace(votes=(votes[0], votes[1], votes[2]))
            if heard != node:
                steps.append(
                    (f'vote {sender} for {index}', put(state, index, heard))
                )
    return steps


def become_owner(spec: Spec, state: State) -> Steps:
    """Let a taker act once it may."""
    steps: Steps = []
    for index, node in enumerate(state.nodes):
        if node.state != 'waiting' or not has_evidence(node, index):
            continue
        if spec.needs_majority and len(node.reports) < MAJORITY:
            continue
        has_waited = node.waited > FRESH or not spec.waits
        if not node.past.is_released and not has_waited:
            continue
        is_partial = len(node.reports) < len(NODES) or any(state.young)
        is_unsure = is_partial and not node.is_complete
        quarantine = RUN if is_unsure and spec.quarantines else 0
        owner = node._replace(
            state=advance(node.state, 'ready'),
            reports=frozenset(),
            waited=0,
            quarantine=quarantine,
        )
        steps.append((f'become owner {index}', put(state, index, owner)))
    return steps


def grant(spec: Spec, state: State) -> Steps:
    """Let an acting owner have a request run at some node."""
    steps: Steps = []
    for index, owner in enumerate(state.nodes):
        is_free = not owner.quarantine and not owner.held
        if not spec.has_work or not is_free:
            continue
        if not may_act(spec, state, index):
            continue
        for runner, peer in enumerate(state.nodes):
            # What a node carries besides is another team's.
            if peer.epoch != owner.epoch or peer.run:
                continue
            after = put(state, index, owner._replace(held=RUN))
            node = after.nodes[runner]._replace(run=RUN)
            steps.append(
                (f'grant {index} to {runner}', put(after, runner, node))
            )
    return steps


def leave(spec: Spec, state: State) -> Steps:
    """Let the recorded owner stop and release the record."""
    index = state.store.owner
    node = state.nodes[index]
    is_recorded = state.store.epoch == node.epoch
    is_recorded = is_recorded and state.store.is_present_run
    if not spec.has_releases or node.state != 'owner' or not is_recorded:
        return []
    gone = Node(
        advance(node.state, 'leave'),
        node.epoch,
        node.has_read,
        held=node.held,
        run=node.run,
    )
    is_whole = not node.quarantine or not spec.knows_when_whole
    released = state.store._replace(is_released=True, is_whole=is_whole)
    after = put(state, index, gone)._replace(store=released)
    return [(f'leave {index}', after)]


def crash(spec: Spec, state: State) -> Steps:
    """Let a node crash and start again with nothing."""
    if state.crashes >= spec.crashes:
        return []
    steps: Steps = []
    for index, node in enumerate(state.nodes):
        after = put(state, index, Node(epoch=0, has_read=False))
        orphans = (*state.orphans, node.run) if node.run else state.orphans
        young = list(state.young)
        young[index] = RUN
        store = state.store
        if store.owner == index:
            store = store._replace(is_present_run=False)
        after = after._replace(
            orphans=tuple(sorted(orphans)),
            store=store,
            crashes=state.crashes + 1,
            young=(young[0], young[1], young[2]),
        )
        steps.append((f'crash {index}', after))
    return steps


STEPS: Final = (
    tick,
    read,
    take,
    report,
    vote,
    become_owner,
    grant,
    leave,
    crash,
)


def running(state: State) -> int:
    """Return how many requests run."""
    return sum(node.run > 0 for node in state.nodes) + len(state.orphans)


def protocol(spec: Spec) -> Protocol:
    """Return the specification for the model checker."""

    def transitions(values: tuple[State]) -> list[tuple[str, tuple[State]]]:
        return [
            (label, (after,))
            for step in STEPS
            for label, after in step(spec, values[0])
        ]

    def has_one_owner(fields: dict[str, State]) -> bool:
        state = fields['state']
        return sum(may_act(spec, state, index) for index in NODES) <= 1

    def is_within_limit(fields: dict[str, State]) -> bool:
        return running(fields['state']) <= LIMIT

    return Protocol(
        name='ownership',
        candidate=False,
        fields=('state',),
        initial=(INITIAL,),
        transitions=transitions,
        invariants={
            'one acting owner': has_one_owner,
            'running <= limit': is_within_limit,
        },
    )
