"""Callers of a soak run: a steady load with bursts, and probes."""

from collections.abc import Callable
from concurrent.futures import Future
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from dataclasses import field
from random import Random
from threading import Event
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep
from typing import Final

from standins.caller import Balancer
from standins.caller import Caller
from standins.caller import Sent
from standins.soak_fleet import Fleet
from standins.soak_fleet import POOLS
from standins.soak_fleet import WORK_S

MEAN_S: Final = 7.0
BURST_FACTOR: Final = 5.0
BURST_S: Final = 5.0
QUIET_FACTOR: Final = 0.05
CALLER_THREADS: Final = 400
TIMEOUT_S: Final = 6.0
HEALTH_S: Final = 0.2
PROBE_S: Final = 0.2


@dataclass(frozen=True, slots=True)
class Request:
    """A request, and with which key it was sent."""

    sent: Sent
    team: str
    key: str


@dataclass(frozen=True, slots=True)
class Seen:
    """An entry instance's status when it was read."""

    number: int
    began_at: float
    started_at: float
    revision: int
    is_ready: bool
    is_paused: bool


@dataclass(slots=True)
class Load:
    """Sends requests until it is stopped, and keeps what came back."""

    fleet: Fleet
    seed: int
    requests: list[Request] = field(default_factory=list)
    seen: list[Seen] = field(default_factory=list)
    withdrawn: dict[str, float] = field(default_factory=dict)
    is_over: Event = field(default_factory=Event)
    lock: Lock = field(default_factory=Lock)
    futures: list[Future[None]] = field(default_factory=list)
    began_at: float = field(default_factory=monotonic)
    balancer: Balancer = field(init=False)
    callers: dict[str, Caller] = field(init=False)

    def __post_init__(self) -> None:
        self.balancer = Balancer(self.fleet.ports)
        self.callers = {
            pool: Caller(self.balancer, pool, self.seed + number, WORK_S)
            for number, pool in enumerate(POOLS)
        }

    def run(self, disturb: Callable[[], None]) -> None:
        """Send requests while disturbances are made; wait for the ends."""
        with ThreadPoolExecutor(CALLER_THREADS) as executor:
            threads = [Thread(target=self.watch), Thread(target=self.probe)]
            threads += [
                Thread(target=self.send_all, args=(executor, number))
                for number in range(len(POOLS))
            ]
            for thread in threads:
                thread.start()
            try:
                disturb()
            finally:
                self.is_over.set()
                for thread in threads:
                    thread.join()
            for future in self.futures:
                future.result()

    def send_all(self, executor: ThreadPoolExecutor, number: int) -> None:
        """Send requests of one queue, with bursts in its turn."""
        random = Random(self.seed * 100 + number)
        while not self.is_over.wait(
            random.expovariate(MEAN_S * self.factor(number))
        ):
            team = random.choice(list(self.fleet.teams))
            is_idempotent = random.random() < 0.5
            future = executor.submit(
                self.send,
                POOLS[number],
                team,
                self.fleet.keys[team],
                is_idempotent,
            )
            with self.lock:
                self.futures.append(future)

    def factor(self, number: int) -> float:
        """Return by how much a queue's rate differs from its mean now."""
        turn = int((monotonic() - self.began_at) / BURST_S) % len(POOLS)
        if turn == number:
            return BURST_FACTOR
        is_next = (turn + 1) % len(POOLS) == number
        return QUIET_FACTOR if is_next else 1.0

    def send(
        self, service: str, team: str, key: str, is_idempotent: bool
    ) -> None:
        """Send one request and keep it."""
        sent = self.callers[service].send(key, is_idempotent, TIMEOUT_S)
        with self.lock:
            self.requests.append(Request(sent, team, key))

    def probe(self) -> None:
        """Use withdrawn and forged keys, which must not be accepted."""
        number = 0
        while not self.is_over.wait(PROBE_S):
            number += 1
            keys = ['forged.0123456789abcdef', *self.withdrawn]
            key = keys[number % len(keys)]
            self.send(POOLS[number % len(POOLS)], '', key, True)

    def watch(self) -> None:
        """Read every entry instance's status, for balancer and judge."""
        while not self.is_over.is_set():
            for number in range(len(self.fleet.ports)):
                self.look(number)
            sleep(HEALTH_S)

    def look(self, number: int) -> None:
        """Read one entry instance's status."""
        fleet = self.fleet
        began_at, started_at = monotonic(), fleet.starts[number]
        is_ready = fleet.is_ready(number)
        if is_ready:
            self.balancer.unready.discard(fleet.ports[number])
        else:
            self.balancer.unready.add(fleet.ports[number])
        revision = fleet.status(number).get('revision')
        if revision is not None and fleet.starts[number] == started_at:
            is_paused = number in fleet.paused
            self.seen.append(
                Seen(
                    number, began_at, started_at, revision, is_ready, is_paused
                )
            )
