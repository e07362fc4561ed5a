"""Stateful fuzzing of requests over several epochs of a cell's owner."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as strategies

from primroseledge.ids import EntryId
from primroseledge.runningwork import RunningWork
from tests.requests_fleet import LIMITS
from tests.requests_fleet import RequestsFleet
from tests.requests_fleet import SLOTS
from tests.requests_fleet import WALL_S

SIZE = 4
UPSTREAMS = 4
RUNS = 200
STEPS = 100
IDS = 30
RECOVERY_S = 40.0

entries = strategies.integers(0, SIZE - 1).map(lambda n: EntryId(f'e{n}'))
teams = strategies.sampled_from(list(LIMITS))
numbers = strategies.integers(1, IDS)
sides = strategies.sets(entries, max_size=SIZE - 2)


class RequestsMachine(RuleBasedStateMachine):
    """Faults in any order; what callers are told is compared."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = RequestsFleet(SIZE, UPSTREAMS, 0)
        self.issued: dict[int, float] = {}
        self.fresh = IDS

    @initialize(seed=strategies.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Begin with a fleet that has an owner."""
        self.fleet = RequestsFleet(SIZE, UPSTREAMS, seed)

    @rule(seconds=strategies.sampled_from([0.003, 0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(entry=entries, team=teams, count=strategies.integers(1, 6))
    def burst(self, entry: EntryId, team: str, count: int) -> None:
        for number in range(count):
            self.fresh += 1
            self.fleet.call(
                entry,
                f'r{self.fresh}',
                WALL_S + self.fleet.now,
                team,
                number % 2 == 0,
                6.0,
            )
        self.fleet.run(0.02)

    @rule(
        entry=entries,
        number=numbers,
        timeout_s=strategies.sampled_from([0.3, 2.0, 6.0]),
        is_renewed=strategies.booleans(),
    )
    def send_again(
        self, entry: EntryId, number: int, timeout_s: float, is_renewed: bool
    ) -> None:
        """Send one of a few ids, which may have been sent before.

        A third of them have no time.
        """
        if is_renewed and number not in self.issued:
            self.issued[number] = WALL_S + self.fleet.now
        issued_at = self.issued.get(number, 0.0)
        if number % 3 == 0:
            issued_at = 0.0
        elif not issued_at:
            return
        self.fleet.call(
            entry, f'r{number}', issued_at, 'dealers', False, timeout_s
        )

    @rule(entry=entries, others=strategies.lists(entries, max_size=2))
    def send_at_once(self, entry: EntryId, others: list[EntryId]) -> None:
        """Send one new id through several entry instances."""
        self.fresh += 1
        for target in [entry, *others]:
            self.fleet.call(
                target,
                f'r{self.fresh}',
                WALL_S + self.fleet.now,
                'yards',
                False,
                4.0,
            )

    @rule(entry=entries)
    def take_over(self, entry: EntryId) -> None:
        self.fleet.take_over(entry)

    @rule(entry=entries)
    def lose_owner(self, entry: EntryId) -> None:
        """Kill the owner; another follows without its memory."""
        fleet = self.fleet
        fleet.crash(fleet.owner)
        fleet.take_over(entry)

    @rule(entry=entries)
    def crash(self, entry: EntryId) -> None:
        if entry == self.fleet.owner:
            return
        self.fleet.crash(entry)

    @rule(entry=entries, seconds=strategies.sampled_from([0.5, 1.6, 5.0]))
    def pause(self, entry: EntryId, seconds: float) -> None:
        host = self.fleet.hosts[entry]
        host.paused_until = self.fleet.now + seconds

    @rule(side=sides)
    def cut(self, side: set[EntryId]) -> None:
        self.fleet.faults.cut = side

    @rule(
        drop=strategies.sampled_from([0.0, 0.1, 0.4]),
        duplicate=strategies.sampled_from([0.0, 0.3]),
        jitter_s=strategies.sampled_from([0.0, 0.05, 0.5]),
    )
    def disturb(self, drop: float, duplicate: float, jitter_s: float) -> None:
        faults = self.fleet.faults
        faults.drop, faults.duplicate = drop, duplicate
        faults.jitter_s = jitter_s

    @rule(
        lost=strategies.sampled_from([0.0, 0.2, 0.9]),
        no_connection=strategies.sampled_from([0.0, 0.2]),
    )
    def fail_upstreams(self, lost: float, no_connection: float) -> None:
        faults = self.fleet.faults
        faults.lost_answers, faults.no_connection = lost, no_connection

    @rule(number=strategies.integers(0, UPSTREAMS - 1))
    def drain(self, number: int) -> None:
        fleet = self.fleet
        name = fleet.upstreams[number]
        if fleet.draining.pop(name, None) is None and not fleet.draining:
            fleet.draining[name] = fleet.now
        fleet.configure()

    @rule(team=teams)
    def delete_team(self, team: str) -> None:
        """Delete a team for a moment, with all of its keys."""
        self.fleet.configure(without=team)
        self.fleet.run(0.1)
        self.fleet.configure()

    @invariant()
    def answers_are_true(self) -> None:
        """No request ran twice, no limit passed, no caller misled."""
        assert not self.fleet.problems, self.fleet.problems

    @invariant()
    def counts_agree(self) -> None:
        """The owner's index of slots and teams is what it granted."""
        for host in self.fleet.hosts.values():
            if host.dispatcher is not None:
                check_counts(host.dispatcher.work)

    @invariant()
    def retries_are_bounded(self) -> None:
        """Runs are at most 1.1 times the requests."""
        requests = len(self.fleet.sendings)
        assert len(self.fleet.executions) <= 1.1 * requests

    def teardown(self) -> None:
        """Mend everything; every caller must have an answer."""
        fleet = self.fleet
        faults = fleet.faults
        faults.cut = set()
        faults.drop = faults.duplicate = faults.jitter_s = 0.0
        faults.lost_answers = faults.no_connection = 0.0
        fleet.draining.clear()
        fleet.configure()
        for host in fleet.hosts.values():
            host.paused_until = 0.0
        fleet.run(RECOVERY_S)
        self.answers_are_true()
        open_calls = [s for s in fleet.sendings.values() if not s.is_over]
        assert not open_calls, open_calls
        for host in fleet.hosts.values():
            assert not host.core.unacked, host.core.unacked
        dispatcher = fleet.hosts[fleet.owner].dispatcher
        assert dispatcher is not None
        assert not dispatcher.work.ledger.grants
        assert not dispatcher.admission.queue.by_ask
        assert not dispatcher.work.limits.hidden


def check_counts(work: RunningWork) -> None:
    """Compare the indexes with the ledger."""
    grants = work.ledger.grants.values()
    for team, count in work.limits.running.items():
        assert count == sum(r.team == team for r in grants)
    for upstream, count in work.slots.used.items():
        assert 0 <= count <= SLOTS + len(LIMITS) * SIZE
        assert count == sum(r.upstream == upstream for r in grants)
    for pool in work.slots.pools.values():
        free = sum(f for _, f in work.slots.placed.values())
        assert pool.free == free


TestRequests = RequestsMachine.TestCase
TestRequests.settings = settings(
    max_examples=RUNS,
    stateful_step_count=STEPS,
    derandomize=True,
    database=None,
    deadline=None,
    print_blob=True,
    suppress_health_check=list(HealthCheck),
)
