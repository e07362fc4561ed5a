"""Stateful fuzzing of the agreement's cores against simple oracles."""

from functools import cache

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.strategies import booleans
from hypothesis.strategies import integers
from hypothesis.strategies import sampled_from
from hypothesis.strategies import sets

from primroseledge.agreement.configuration import MEMBERS_KEY
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.storage.documents import decode_document
from tests.agreement_fleet import Fleet
from tests.agreement_node import Node
from tests.agreement_node import RATE_SPREAD

SIZE = 5
RUNS = 200
STEPS = 100
RECOVERY_S = 20.0

entries = integers(0, SIZE - 1).map(lambda n: EntryId(f'e{n}'))
sides = sets(entries, min_size=1, max_size=SIZE - 1)
teams = sampled_from(['sales', 'yard', 'berths'])


class AgreementMachine(RuleBasedStateMachine):
    """Faults in any order; a node's view is compared with the store's."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet(SIZE, 0)
        self.revisions: dict[tuple[EntryId, int], int] = {}
        self.accepted: dict[int, float] = {}
        self.checked: set[tuple[EntryId, int, int]] = set()

    @initialize(seed=integers(0, 1000))
    def start(self, seed: int) -> None:
        """Begin with a fleet that has an owner."""
        self.fleet = Fleet(SIZE, seed)
        self.fleet.run(5.0)

    @rule(seconds=sampled_from([0.1, 0.5, 2.0, 6.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(team=teams, limit=integers(-1, 9))
    def edit(self, team: str, limit: int) -> None:
        value = f'{{"id": "{team}", "share": 1, "limit": {limit}}}'
        self.fleet.put(f'config/team/{team}', value)
        self.fleet.run(0.05)

    @rule(team=teams)
    def delete(self, team: str) -> None:
        self.fleet.put(f'config/team/{team}', None)

    @rule(seconds=sampled_from([0.5, 4.0]))
    def mend(self, seconds: float) -> None:
        self.fleet.mend()
        self.fleet.run(seconds)

    @rule(cut=sets(entries))
    def fail_store(self, cut: set[EntryId]) -> None:
        self.fleet.faults.store_cut = cut

    @rule(is_all=booleans())
    def toggle_store(self, is_all: bool) -> None:
        everyone = set(self.fleet.entries)
        self.fleet.faults.store_cut = everyone if is_all else set()

    @rule()
    def lose_answers(self) -> None:
        self.fleet.faults.lost_answers = 0.5

    @rule(side=sides, one_way=booleans())
    def split(self, side: set[EntryId], one_way: bool) -> None:
        self.fleet.split(side, one_way)

    @rule(
        how=sampled_from(['cut', 'in', 'out', 'with']),
        friend=entries,
        has_store=booleans(),
    )
    def part_owner(self, how: str, friend: EntryId, has_store: bool) -> None:
        """Cut the owner off, or hold what it sends or is sent."""
        for node in self.fleet.owners():
            side = {node.id}
            rest = set(self.fleet.entries) - side
            if how == 'cut':
                self.fleet.split(side)
            elif how == 'with':
                self.fleet.split(side | {friend})
            else:
                self.fleet.hold(side if how == 'out' else rest)
            if not has_store:
                self.fleet.faults.store_cut = side
        self.fleet.run(0.5)

    @rule(
        drop=sampled_from([0.0, 0.1, 0.3]),
        duplicate=sampled_from([0.0, 0.3]),
        delay_s=sampled_from([0.0, 0.04]),
    )
    def disturb(self, drop: float, duplicate: float, delay_s: float) -> None:
        faults = self.fleet.faults
        faults.drop, faults.duplicate = drop, duplicate
        faults.delay_s = delay_s

    @rule(entry=entries, seconds=sampled_from([1.0, 3.2, 8.0]))
    def pause(self, entry: EntryId, seconds: float) -> None:
        self.fleet.pause(entry, seconds)

    @rule(seconds=sampled_from([1.0, 5.0, 8.0]))
    def pause_owner(self, seconds: float) -> None:
        for node in self.fleet.owners():
            self.fleet.pause(node.id, seconds)
        self.fleet.run(seconds)

    @rule(entry=entries)
    def restart(self, entry: EntryId) -> None:
        self.fleet.restart(entry)

    @rule()
    def restart_owner(self) -> None:
        for node in self.fleet.owners():
            self.fleet.restart(node.id)

    @rule()
    def restart_followers(self) -> None:
        """Restart a majority, but not the owner."""
        owners = {node.id for node in self.fleet.owners()}
        others = [e for e in self.fleet.entries if e not in owners]
        for entry in others[: SIZE // 2 + 1]:
            self.fleet.restart(entry)

    @rule(entry=entries)
    def leave(self, entry: EntryId) -> None:
        node = self.fleet.nodes[entry]
        node.later(0.0, node.leave)
        self.fleet.at(0.5, lambda: self.replace(node))

    def replace(self, node: Node) -> None:
        """Start the next run of a node that left."""
        if self.fleet.nodes[node.id] is node:
            self.fleet.restart(node.id)

    @invariant()
    def views_move_up(self) -> None:
        for node in self.fleet.nodes.values():
            run = (node.id, node.incarnation)
            revision = node.configuration.revision
            assert revision >= self.revisions.get(run, 0)
            self.revisions[run] = revision

    @invariant()
    def views_are_the_stores(self) -> None:
        for node in self.fleet.nodes.values():
            run = (node.id, node.incarnation, node.configuration.revision)
            if run not in self.checked:
                check_view(self.fleet, node)
                self.checked.add(run)

    @invariant()
    def accepted_changes_hold(self) -> None:
        now = self.fleet.now
        for node in self.fleet.nodes.values():
            revision = node.configuration.revision
            if node.is_dead or not node.is_fresh():
                continue
            members = node.configuration.members
            if node.freshness.is_accepted(revision, members):
                change = newest_change(self.fleet, revision)
                self.accepted.setdefault(change, now)
            bound = node.freshness.freshness_s * (1 + 2 * RATE_SPREAD)
            late = [
                accepted
                for accepted, since in self.accepted.items()
                if accepted > revision and now > since + bound
            ]
            is_awake = now >= node.paused_until
            assert not (late and is_awake), (node.id, revision, late)

    def teardown(self) -> None:
        """Mend everything; the fleet must work again."""
        fleet = self.fleet
        fleet.mend()
        for node in [*fleet.nodes.values()]:
            node.paused_until = 0.0
            if node.membership.is_leaving:
                fleet.restart(node.id)
        deadline = fleet.now + RECOVERY_S
        while fleet.now < deadline and not self.has_recovered():
            fleet.run(0.5)
        assert self.has_recovered(), describe(fleet)

    def has_recovered(self) -> bool:
        """Return whether one owner acts and all have the same view."""
        nodes = self.fleet.nodes.values()
        revisions = {node.configuration.revision for node in nodes}
        owners = {node.ownership.owner for node in nodes}
        return (
            len(self.fleet.owners()) == 1
            and len(revisions) == len(owners) == 1
            and all(node.is_fresh() for node in nodes)
        )


def check_view(fleet: Fleet, node: Node) -> None:
    """Compare a node's documents with the store's at its revision."""
    view = node.configuration
    state = fleet.store.state_at('config/', view.revision)
    assert view.good.keys() <= state.keys(), (node.id, view.good)
    for key, value in state.items():
        if key == MEMBERS_KEY or is_valid(key, value):
            assert view.good[key].value == value, (node.id, key)
            assert key not in view.rejected
        else:
            assert key in view.rejected, (node.id, key)


def newest_change(fleet: Fleet, revision: int) -> int:
    """Return the newest change of a document up to a revision.

    A revision may be that of another record, which needs no acceptance.
    """
    return max(
        record.revision
        for record in fleet.store.log
        if record.revision <= revision and record.key.startswith('config/')
    )


@cache
def is_valid(key: str, value: str) -> bool:
    """Return whether a document is one that nodes accept."""
    try:
        decode_document(key, value)
    except DocumentError:
        return False
    return True


def describe(fleet: Fleet) -> list[tuple[object, ...]]:
    """Return what is to be known of a fleet that did not recover."""
    return [
        (
            node.id,
            node.ownership.state,
            node.ownership.record,
            node.configuration.revision,
            node.is_fresh(),
        )
        for node in fleet.nodes.values()
    ]


TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(
    max_examples=RUNS,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
