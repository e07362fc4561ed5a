"""What goes wrong, or is planned, during a soak run."""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from subprocess import TimeoutExpired
from time import monotonic
from time import sleep
from typing import Final

from standins.soak_fleet import ENTRIES
from standins.soak_fleet import Fleet
from standins.soak_fleet import POOLS
from standins.soak_load import Load

STOP_S: Final = 15.0
CALM_S: Final = 1.0
MOVE_S: Final = 6.0


@dataclass(frozen=True, slots=True)
class Stop:
    """A planned stop of an entry instance and how it ended."""

    port: int
    began_at: float
    ended_at: float
    code: int | None


@dataclass(frozen=True, slots=True)
class Drain:
    """An upstream's drain, until it may get work again."""

    name: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class Move:
    """A drained upstream's move to another pool."""

    name: str
    old: str
    new: str
    drained_at: float
    moved_at: float


@dataclass(frozen=True, slots=True)
class Write:
    """A change of configuration that the store took."""

    revision: int
    ended_at: float


@dataclass(slots=True)
class Record:
    """What was done to the fleet, and when."""

    events: list[tuple[float, str]] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    drains: list[Drain] = field(default_factory=list)
    moves: list[Move] = field(default_factory=list)
    writes: list[Write] = field(default_factory=list)
    outages: list[tuple[float, float]] = field(default_factory=list)


@dataclass(slots=True)
class Disturber:
    """Carries out disturbances one after another in a random order."""

    fleet: Fleet
    load: Load
    random: Random
    record: Record = field(default_factory=Record)

    def run(self, seconds: float) -> None:
        """Disturb until the time is up."""
        deadline = monotonic() + seconds
        names: list[str] = []
        while monotonic() < deadline:
            if not names:
                names = sorted(EVENTS)
                self.random.shuffle(names)
            name = names.pop()
            at = round(monotonic() - self.load.began_at, 1)
            self.record.events.append((at, name))
            print(f'{at} s: {name}', flush=True)
            EVENTS[name](self)
            sleep(CALM_S)

    def any_entry(self) -> int:
        """Return the number of some entry instance."""
        return self.random.randrange(ENTRIES)

    def replace(self, numbers: list[int]) -> None:
        """Stop entry instances gracefully, and start them again."""
        began_at = monotonic()
        for number in numbers:
            self.fleet.terminate(number)
        for number in numbers:
            process = self.fleet.entries[number]
            try:
                code = process.wait(STOP_S)
            except TimeoutExpired:
                code = None
                self.fleet.kill(number)
            port = self.fleet.ports[number]
            stop = Stop(port, began_at, monotonic(), code)
            self.record.stops.append(stop)
        for number in numbers:
            self.fleet.start(number)
        self.fleet.wait_ready(numbers)

    def crash(self, numbers: list[int]) -> None:
        """Kill entry instances and start them again."""
        for number in numbers:
            self.fleet.kill(number)
        sleep(0.5)
        for number in numbers:
            self.fleet.start(number)
        self.fleet.wait_ready(numbers)

    def wrote(self) -> None:
        """Note a write that the store has just taken."""
        revision = int(self.fleet.store.read('config/').revision)
        self.record.writes.append(Write(revision, monotonic()))


Disturbance = Callable[[Disturber], None]
EVENTS: dict[str, Disturbance] = {}


def event(function: Disturbance) -> Disturbance:
    """Register a disturbance under its own name."""
    EVENTS[function.__name__] = function
    return function


@event
def replace_each(disturber: Disturber) -> None:
    """Replace every entry instance, one after another."""
    for number in range(ENTRIES):
        disturber.replace([number])


@event
def replace_three(disturber: Disturber) -> None:
    """Replace three entry instances at once."""
    disturber.replace(disturber.random.sample(range(ENTRIES), 3))


@event
def replace_owner(disturber: Disturber) -> None:
    """Replace the owner of the cell."""
    disturber.replace([disturber.fleet.owner()])


@event
def kill_owner(disturber: Disturber) -> None:
    """Kill the owner of the cell."""
    disturber.crash([disturber.fleet.owner()])


@event
def kill_two(disturber: Disturber) -> None:
    """Kill two entry instances at once."""
    disturber.crash(disturber.random.sample(range(ENTRIES), 2))


@event
def pause_owner(disturber: Disturber) -> None:
    """Pause the owner of the cell for longer than it takes to replace."""
    disturber.fleet.pause(disturber.fleet.owner(), 6.0)


@event
def pause_entry(disturber: Disturber) -> None:
    """Pause some entry instance for a short time."""
    disturber.fleet.pause(
        disturber.any_entry(), disturber.random.uniform(0.5, 3.0)
    )


@event
def store_outage(disturber: Disturber) -> None:
    """Take the store away for longer than a view stays fresh."""
    outage(disturber, 8.0, is_down=True)


@event
def store_outage_with_replacement(disturber: Disturber) -> None:
    """Replace an entry instance while the store is down."""
    began_at = monotonic()
    set_store(disturber, is_down=True)
    sleep(2.0)
    number = disturber.any_entry()
    disturber.fleet.kill(number)
    disturber.fleet.start(number)
    sleep(3.0)
    set_store(disturber, is_down=False)
    disturber.record.outages.append((began_at, monotonic()))
    disturber.fleet.wait_ready([number])


@event
def slow_store(disturber: Disturber) -> None:
    """Make the store slow."""
    outage(disturber, 4.0, delay_s=0.5)
    set_store(disturber, delay_s=0.0)


@event
def lost_store_answers(disturber: Disturber) -> None:
    """Lose the answers of writes that the store has taken."""
    set_store(disturber, lose_answers=2)
    sleep(2.0)
    set_store(disturber, lose_answers=0)


@event
def withdraw_key(disturber: Disturber) -> None:
    """Give a team a new key and withdraw the one it has."""
    fleet = disturber.fleet
    team = disturber.random.choice(sorted(fleet.teams))
    old = fleet.keys[team]
    fleet.give_key(team)
    sleep(2.0)
    fleet.set_keys(team, fleet.teams[team].keys[-1:])
    disturber.load.withdrawn[old] = monotonic()
    disturber.wrote()


@event
def drain_upstream(disturber: Disturber) -> None:
    """Drain an upstream for some seconds."""
    name = disturber.random.choice(sorted(disturber.fleet.instances))
    disturber.fleet.place(name, is_draining=True)
    began_at = monotonic()
    disturber.wrote()
    sleep(MOVE_S)
    drain = Drain(name, began_at, monotonic())
    disturber.record.drains.append(drain)
    disturber.fleet.place(name, is_draining=False)
    disturber.wrote()


@event
def move_upstream(disturber: Disturber) -> None:
    """Drain an upstream and move it to another pool."""
    fleet = disturber.fleet
    name = disturber.random.choice(sorted(fleet.instances))
    old = fleet.instances[name].pool
    new = disturber.random.choice([p for p in POOLS if p != old])
    fleet.place(name, is_draining=True)
    drained_at = monotonic()
    sleep(MOVE_S)
    moved_at = monotonic()
    disturber.record.drains.append(Drain(name, drained_at, moved_at))
    fleet.place(name, is_draining=False, pool=new)
    disturber.record.moves.append(Move(name, old, new, drained_at, moved_at))
    disturber.wrote()


@event
def cut_answers(disturber: Disturber) -> None:
    """Let upstreams lose answers of work that they have done."""
    for name in disturber.random.sample(sorted(disturber.fleet.instances), 4):
        port = disturber.fleet.upstream_ports[name]
        disturber.fleet.set_faults(port, cut_after_run=3)


@event
def fail_upstream(disturber: Disturber) -> None:
    """Let an upstream refuse all that it gets for some seconds."""
    name = disturber.random.choice(sorted(disturber.fleet.instances))
    port = disturber.fleet.upstream_ports[name]
    disturber.fleet.set_faults(port, is_failing=True)
    sleep(4.0)
    disturber.fleet.set_faults(port, is_failing=False)


def set_store(disturber: Disturber, **faults: object) -> None:
    """Set what is wrong with the store."""
    disturber.fleet.set_faults(disturber.fleet.store_port, **faults)


def outage(disturber: Disturber, seconds: float, **faults: object) -> None:
    """Keep faults of the store for some seconds and note the time."""
    began_at = monotonic()
    set_store(disturber, **faults)
    sleep(seconds)
    set_store(disturber, is_down=False)
    disturber.record.outages.append((began_at, monotonic()))
