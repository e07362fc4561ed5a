"""Lets faults strike a soak on the job path, in series that overlap.

Each fault draws from random numbers of its own, so that what is drawn
depends on the seed alone.
"""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from random import Random
from threading import Thread
from time import sleep
from typing import Any
from typing import Final

from primroseledge.clock import boot_time
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.job_soak_fleet import JobFleet

SERIES: Final = (1, 2, 2, 3)
OFFSET_S: Final = 1.5
SHORT_CALM_S: Final = 1.0
LONG_CALM_S: Final = 9.0
"""In seconds; jobs that stand still are only judged after calm."""

LONG_CALM_SHARE: Final = 0.5
ENTRY_AFTER_S: Final = (0.0, 0.0, 0.4, 1.5)


@dataclass(frozen=True, slots=True)
class Disturbance:
    """One fault as it strikes: the fleet, and its random numbers."""

    fleet: JobFleet
    random: Random

    def some(self, names: list[str], most: int) -> list[str]:
        """Return some of the names."""
        count = self.random.randint(1, min(most, len(names)))
        return self.random.sample(sorted(names), count)

    def machine(self) -> str:
        """Return some machine."""
        return self.random.choice(sorted(self.fleet.workers))

    def machine_by_load(self, is_busy: bool) -> str:
        """Return the machine with the most runs of some, or the fewest."""
        drawn = self.random.sample(sorted(self.fleet.workers), 4)
        loads = [(self.load_of(machine), machine) for machine in drawn]
        loads = [load for load in loads if load[0] >= 0] or loads
        return max(loads)[1] if is_busy else min(loads)[1]

    def load_of(self, machine: str) -> int:
        """Return how many runs a machine has, -1 if it has no life."""
        life = self.fleet.life_of(machine)
        return int(life['runs']) if life['is_up'] else -1

    def entry(self) -> str:
        """Return some entry instance."""
        return self.random.choice(sorted(self.fleet.entries.settings))

    def owner(self) -> str:
        """Return the owner; some entry instance, if there is none."""
        drawn = self.entry()
        return self.fleet.find_owner() or drawn

    def gap_s(self) -> float:
        """Return how long a worker is away; mostly for a moment."""
        longest_s = self.random.choice((0.3, 0.3, 3.0))
        return self.random.uniform(0.05, longest_s)

    @contextmanager
    def struck(self, name: str, subject: str) -> Iterator[None]:
        """Note a fault for as long as it lasts."""
        began_at = boot_time()
        try:
            yield
        finally:
            self.fleet.note_fault(name, began_at, subject)

    def hold(
        self, name: str, subject: str, client: Any, **faults: Any
    ) -> None:
        """Keep faults of the store or of the instances for a while."""
        seconds = self.random.uniform(1.0, 4.0)
        with self.struck(name, subject):
            self.fleet.tell(client, '/-/faults', **faults)
            sleep(seconds)
            self.fleet.tell(client, '/-/faults')

    def restart(self, machine: str, gap_s: float) -> None:
        """Let a worker crash and start again in place.

        The entry of the next life follows at once or a moment later.
        """
        with self.struck('restart', machine):
            self.fleet.change_life(
                machine,
                end='crash',
                begin_after_s=gap_s,
                entry_after_s=self.random.choice(ENTRY_AFTER_S),
            )
            sleep(gap_s + 0.02)


Fault = Callable[[Disturbance], None]
FAULTS: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault under its own name."""
    FAULTS[function.__name__] = function
    return function


def run_all(calls: list[tuple[Callable[..., Any], tuple[Any, ...]]]) -> None:
    """Make calls at once, and wait for all."""
    threads = [Thread(target=call, args=given) for call, given in calls]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class Disturber:
    """Lets faults strike in series of up to three at once."""

    def __init__(self, fleet: JobFleet, seed: int, names: list[str]) -> None:
        self.fleet = fleet
        self.seed = seed
        self.random = Random(seed)
        self.names = sorted(names)
        self.queue: list[str] = []
        self.struck: list[tuple[float, str]] = []
        self.problems: list[str] = []
        self.began_at = boot_time()

    def run(self, seconds: float) -> None:
        """Disturb until the time is up, with calm between the series."""
        self.began_at = boot_time()
        until = self.began_at + seconds
        while boot_time() < until:
            self.run_series()
            is_long = self.random.random() < LONG_CALM_SHARE
            calm_s = LONG_CALM_S if is_long else SHORT_CALM_S
            sleep(min(calm_s, max(0.0, until - boot_time())))

    def run_series(self) -> None:
        """Let the next faults strike, each a moment after the other."""
        calls = list[tuple[Callable[..., Any], tuple[Any, ...]]]()
        offset_s = 0.0
        for _ in range(self.random.choice(SERIES)):
            calls.append((self.strike, (self.next_name(), offset_s)))
            offset_s += self.random.uniform(0.0, OFFSET_S)
        run_all(calls)

    def next_name(self) -> str:
        """Return the next fault; each comes once before any repeats."""
        if not self.queue:
            self.queue = self.random.sample(self.names, len(self.names))
        return self.queue.pop()

    def strike(self, name: str, offset_s: float) -> None:
        """Let one fault strike after a while."""
        number = len(self.struck)
        random = Random(f'{self.seed} {name} {number}')
        sleep(offset_s)
        at = boot_time()
        self.struck.append((at - self.began_at, name))
        print(f'{at - self.began_at:.1f} s ({at:.3f}): {name}', flush=True)
        try:
            FAULTS[name](Disturbance(self.fleet, random))
        except (NoAnswerError, NotSentError) as error:
            # A stand-in that another fault has struck can't be told.
            self.problems.append(f'{name}: {error}')
