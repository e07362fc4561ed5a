"""Stateful fuzzing of requests over several epochs of a cell's owner."""

from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as strategies

from primroseledge.ids import EntryId
from primroseledge.requests.running_work import RunningWork
from tests.requests_fleet import RequestsFleet
from tests.requests_records import Faults
from tests.requests_records import LIMITS
from tests.requests_records import SLOTS
from tests.requests_records import WALL_S

SIZE = 4
UPSTREAMS = 4
RUNS = 200
STEPS = 100
RECOVERY_S = 40.0

entries = strategies.integers(0, SIZE - 1).map(lambda n: EntryId(f'e{n}'))
teams = strategies.sampled_from(list(LIMITS))
sides = strategies.sets(entries, max_size=SIZE - 2)


class RequestsMachine(RuleBasedStateMachine):
    """Faults in any order; what callers are told is compared."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = RequestsFleet(SIZE, UPSTREAMS, 0)
        self.sent: list[tuple[str, float, str, bool]] = []

    @initialize(seed=strategies.integers(0, 1000))
    def start(self, seed: int) -> None:
        """Begin with a fleet that has an owner."""
        self.fleet = RequestsFleet(SIZE, UPSTREAMS, seed)

    @rule(seconds=strategies.sampled_from([0.003, 0.05, 0.3, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(
        entry=entries,
        team=teams,
        count=strategies.integers(1, 6),
        is_idempotent=strategies.booleans(),
    )
    def burst(
        self, entry: EntryId, team: str, count: int, is_idempotent: bool
    ) -> None:
        for _ in range(count):
            self.send_new([entry], team, is_idempotent)
        self.fleet.run(0.02)

    def send_new(
        self, targets: list[EntryId], team: str, is_idempotent: bool
    ) -> None:
        """Send a new id; each third has no time."""
        number = len(self.sent)
        issued_at = 0.0 if number % 3 == 2 else WALL_S + self.fleet.now
        self.sent.append((f'r{number}', issued_at, team, is_idempotent))
        for target in targets:
            self.send(target, number)

    def send(self, entry: EntryId, number: int, timeout_s: float = 6) -> None:
        request_id, issued_at, team, is_idempotent = self.sent[number]
        self.fleet.call(
            entry, request_id, issued_at, team, is_idempotent, timeout_s
        )

    @rule(
        entry=entries,
        back=strategies.integers(1, 12),
        timeout_s=strategies.sampled_from([0.3, 2.0, 6.0]),
    )
    def send_again(self, entry: EntryId, back: int, timeout_s: float) -> None:
        """Send an id again that was sent not long ago."""
        if back <= len(self.sent):
            self.send(entry, len(self.sent) - back, timeout_s)

    @rule(entry=entries, others=strategies.lists(entries, max_size=2))
    def send_at_once(self, entry: EntryId, others: list[EntryId]) -> None:
        """Send one new id through several entry instances."""
        self.send_new([entry, *others], 'yards', False)

    @rule(
        entry=entries,
        seconds=strategies.sampled_from([0.02, 0.3, 2.0]),
        is_idempotent=strategies.booleans(),
        is_lost=strategies.booleans(),
    )
    def lose_loaded_owner(
        self,
        entry: EntryId,
        seconds: float,
        is_idempotent: bool,
        is_lost: bool,
    ) -> None:
        """Load the owner, kill it or not, and send all again at once."""
        fleet = self.fleet
        first = len(self.sent)
        for team in LIMITS:
            for _ in range(4):
                self.send_new([fleet.owner], team, is_idempotent)
        fleet.run(seconds)
        if is_lost:
            fleet.crash(fleet.owner)
        fleet.take_over(entry)
        fleet.run(0.7)
        for number in range(first, first + 8):
            self.send(entry, number)
        fleet.run(0.3)

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

    @rule()
    def heal(self) -> None:
        self.fleet.faults = Faults()
        for host in self.fleet.hosts.values():
            host.paused_until = 0.0

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
        """Repeated runs are at most a tenth of the requests."""
        requests = len(self.fleet.sendings)
        repeated = sum(n - 1 for n in self.fleet.judge.ran_for.values())
        assert repeated <= 0.1 * requests

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
    for upstream, (instance, free) in work.slots.placed.items():
        assert free == instance.slots - work.slots.used.get(upstream, 0)


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
