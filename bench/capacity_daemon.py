"""Measures real entry daemons on loopback, with small stand-ins."""

from collections.abc import Callable
from contextlib import ExitStack
from os import sysconf
from pathlib import Path
from statistics import median
from subprocess import Popen
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import Struct
from urllib3.exceptions import HTTPError
from urllib3.poolmanager import PoolManager

from bench.capacity_fleet import documents
from bench.capacity_fleet import SHARD_SIZE
from bench.capacity_fleet import shards
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import Pool
from primroseledge.storage.store_client import HttpStore
from primroseledge.storage.store_client import open_store
from standins.deployment import put
from standins.deployment import url_of
from standins.processes import entry_settings
from standins.processes import start_entry
from standins.processes import start_standin

ENTRIES: Final = 7
ZONES: Final = ['north-1', 'north-2', 'north-3', 'north-4']
READY_S: Final = 30.0
SETTLE_S: Final = 3.0
WATCHED_S: Final = 10.0
CHANGES: Final = 5
BURST: Final = 50
TICKS: Final = sysconf('SC_CLK_TCK')


class Situation(Struct, frozen=True):
    """A fleet as the daemons of a measurement see it."""

    name: str
    instances: int
    pools: int
    teams: int


SITUATIONS: Final = (
    Situation('empty', 0, 1, 1),
    Situation('today', 40, 5, 6),
    Situation('half', 15_500, 59, 145),
    Situation('letter', 31_000, 118, 290),
)


class Figures(Struct, frozen=True):
    """What was measured of seven entry daemons in one situation.

    Shares of a core are in percent, memory in MB of 1,000,000 bytes,
    times in seconds, calls a second of all daemons together.
    """

    situation: str
    memory_mb: tuple[float, ...]
    core_percent: tuple[float, ...]
    store_calls_s: float
    change_s: tuple[float, ...]
    burst_s: float
    burst_core_percent: float
    outage_calls_s: float
    herd_calls: int
    herd_s: float


class Bench:
    """The processes of one measurement."""

    def __init__(self, resources: ExitStack, situation: Situation) -> None:
        folder = Path(resources.enter_context(TemporaryDirectory()))
        self.situation = situation
        self.pool = PoolManager(retries=False)
        _, self.store_port = start_standin(resources, 'standins.kv_store')
        url = f'http://127.0.0.1:{self.store_port}'
        self.store: HttpStore = open_store([url], 5.0)
        resources.callback(self.store.close)
        settings = entry_settings(ENTRIES, ZONES, self.store_port)
        names = tuple(str(item['entry_id']) for item in settings)
        self.write(
            documents(
                situation.instances, situation.pools, situation.teams, names
            )
        )
        self.entries: list[Popen[bytes]] = [
            start_entry(resources, item, folder) for item in settings
        ]
        self.ports = [int(item['http_port']) for item in settings]

    def write(self, items: list[tuple[str, Document]]) -> int:
        """Write documents; return the revision of the last."""
        for kind, document in items:
            put(self.store, kind, document)
        return int(self.store.read('config/members').revision)

    def measure(self) -> Figures:
        """Measure everything in turn."""
        self.wait(lambda status: len(status['members']) == ENTRIES)
        sleep(SETTLE_S)
        calls, used = self.calls(), self.processor_s()
        sleep(WATCHED_S)
        calls_s = (self.calls() - calls) / WATCHED_S
        core = [
            100 * (after - before) / WATCHED_S
            for before, after in zip(used, self.processor_s(), strict=True)
        ]
        changes = [self.change(1) for _ in range(CHANGES)]
        used = self.processor_s()
        burst_s = self.change(BURST)
        busy = max(
            after - before
            for before, after in zip(used, self.processor_s(), strict=True)
        )
        memory = [memory_mb(process.pid) for process in self.entries]
        outage_s, herd, herd_s = self.outage()
        return Figures(
            situation=self.situation.name,
            memory_mb=spread(memory),
            core_percent=spread(core),
            store_calls_s=round(calls_s, 2),
            change_s=spread(changes),
            burst_s=round(burst_s, 3),
            burst_core_percent=round(100 * busy / max(burst_s, 0.001), 1),
            outage_calls_s=round(outage_s, 2),
            herd_calls=herd,
            herd_s=round(herd_s, 3),
        )

    def change(self, count: int) -> float:
        """Change so many documents; return the time until in force."""
        began_at = monotonic()
        if self.situation.instances:
            items = shards(SHARD_SIZE * count)
        else:
            items = [('pool', Pool(f'pool-{n}')) for n in range(count)]
        revision = self.write(items)
        self.wait(lambda status: status['revision'] >= revision - 1)
        return monotonic() - began_at

    def outage(self) -> tuple[float, int, float]:
        """Return calls a second in an outage, and those of the herd."""
        self.set_faults(is_down=True)
        sleep(SETTLE_S)
        calls = self.calls()
        sleep(WATCHED_S)
        outage_s = (self.calls() - calls) / WATCHED_S
        calls, began_at = self.calls(), monotonic()
        self.set_faults(is_down=False)
        revision = self.write([('pool', Pool('pool-0', buffer=1))])
        self.wait(lambda status: status['revision'] >= revision - 1)
        return outage_s, self.calls() - calls, monotonic() - began_at

    def wait(self, has_arrived: Callable[[dict[str, Any]], bool]) -> None:
        """Wait until the status of every daemon satisfies a predicate."""
        deadline = monotonic() + READY_S
        waiting = list(self.ports)
        while waiting:
            if monotonic() > deadline:
                raise SystemExit(f'not in time: {waiting}')
            waiting = [p for p in waiting if not self.has(p, has_arrived)]
            sleep(0.01)

    def has(
        self, port: int, has_arrived: Callable[[dict[str, Any]], bool]
    ) -> bool:
        """Tell whether a daemon's status satisfies a predicate."""
        try:
            page = self.pool.request('GET', url_of(port, '/-/status'))
            status = json.decode(page.data)
        except HTTPError:
            return False
        return 'members' in status and has_arrived(status)

    def calls(self) -> int:
        """Return how many calls the store has had."""
        page = self.pool.request('GET', url_of(self.store_port, '/counts'))
        return sum(json.decode(page.data).values())

    def set_faults(self, **faults: Any) -> None:
        """Set what is wrong with the store."""
        self.pool.request(
            'POST',
            url_of(self.store_port, '/faults'),
            body=json.encode(faults),
        )

    def processor_s(self) -> list[float]:
        """Return the processor time of each daemon in seconds."""
        return [processor_s(process.pid) for process in self.entries]


def memory_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * 1024 / 1_000_000
    raise SystemExit(f'no memory figure of process {pid}')


def processor_s(pid: int) -> float:
    """Return a process's user and system time in seconds."""
    fields = Path(f'/proc/{pid}/stat').read_text().rsplit(')', 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def spread(values: list[float]) -> tuple[float, ...]:
    """Return least, median and greatest."""
    found = (min(values), median(values), max(values))
    return tuple(round(value, 3) for value in found)


def measure_daemons(situation: Situation) -> Figures:
    """Start daemons and stand-ins, measure, and end them."""
    with ExitStack() as resources:
        return Bench(resources, situation).measure()
