"""The processes and documents of a soak run."""

from contextlib import ExitStack
from pathlib import Path
from signal import SIGCONT
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from subprocess import Popen
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import structs
from urllib3.exceptions import HTTPError
from urllib3.poolmanager import PoolManager
from urllib3.util import Timeout

from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key
from primroseledge.storage.store_client import open_store
from standins.deployment import put
from standins.deployment import url_of
from standins.processes import entry_settings
from standins.processes import start_entry
from standins.processes import start_standin
from standins.processes import start_upstreams

ENTRIES: Final = 7
PER_PROCESS: Final = 8
SLOTS: Final = 2
WORK_S: Final = 0.4
SERVER_THREADS: Final = 120
ZONES: Final = ['north-1', 'north-2', 'north-3', 'north-4']
POOLS: Final = ('copper', 'brass', 'steel', 'aluminium', 'office')
LIMITS: Final = {'dealers': 24, 'yards': 12, 'office': 30}
READY_S: Final = 20.0
STATUS_TIMEOUT_S: Final = 0.5


class Fleet:
    """Five services with a pool each, behind seven entry instances."""

    def __init__(self, resources: ExitStack, folder: Path) -> None:
        self.resources = resources
        self.folder = folder
        self.pool = PoolManager(retries=False, num_pools=64, maxsize=4)
        _, self.store_port = start_standin(resources, 'standins.kv_store')
        url = f'http://127.0.0.1:{self.store_port}'
        self.store = open_store([url], 2.0)
        resources.callback(self.store.close)
        self.instances: dict[str, Instance] = {}
        self.upstream_ports: dict[str, int] = {}
        for pool in POOLS:
            self.start_pool(pool)
        self.settings = entry_settings(
            ENTRIES, ZONES, self.store_port, server_threads=SERVER_THREADS
        )
        self.ports = [int(item['http_port']) for item in self.settings]
        self.entries: list[Popen[bytes]] = [
            start_entry(resources, item, folder) for item in self.settings
        ]
        self.paused: set[int] = set()
        self.starts = [monotonic()] * ENTRIES
        self.keys: dict[str, str] = {}
        self.teams: dict[str, Team] = {}

    def start_pool(self, pool: str) -> None:
        """Start the upstreams of a pool in one process."""
        ports = start_upstreams(self.resources, PER_PROCESS, SLOTS, WORK_S)
        for number, port in enumerate(ports):
            name = f'{pool}-{number}'
            self.upstream_ports[name] = port
            self.instances[name] = Instance(
                id=name,
                pool=pool,
                zone=ZONES[number % len(ZONES)],
                rack=f'rack-{number // 4}',
                address=f'127.0.0.1:{port}',
                slots=SLOTS,
            )

    def configure(self) -> None:
        """Write all documents and wait until they are in force."""
        names = tuple(str(item['entry_id']) for item in self.settings)
        put(self.store, 'members', Members('all', names))
        for pool in POOLS:
            put(self.store, 'pool', Pool(pool))
            service = Service(pool, 'dealers', pool, run_limit_s=4.0)
            put(self.store, 'service', service)
        put(self.store, 'placement', Placement('0', self.instances))
        for share, (name, limit) in enumerate(LIMITS.items(), 1):
            self.teams[name] = Team(id=name, share=share, limit=limit)
            self.give_key(name)
        self.wait_ready(range(ENTRIES))

    def give_key(self, team: str) -> str:
        """Give a team a new key besides those that it has."""
        text, record = generate_key()
        keys = (*self.teams[team].keys, record)
        self.set_keys(team, keys)
        self.keys[team] = text
        return text

    def set_keys(self, team: str, keys: tuple[KeyRecord, ...]) -> None:
        """Write a team's document with other keys."""
        self.teams[team] = structs.replace(self.teams[team], keys=keys)
        put(self.store, 'team', self.teams[team])

    def place(self, name: str, **fields: Any) -> None:
        """Change an instance in the placement."""
        key = document_key('placement', '0')
        record = self.store.read(key).records[0]
        assert record.value is not None
        placement = json.decode(record.value, type=Placement)
        instances = dict(placement.instances)
        instances[name] = structs.replace(instances[name], **fields)
        self.instances = instances
        put(self.store, 'placement', Placement('0', instances))

    def wait_ready(self, numbers: Any) -> None:
        """Wait until entry instances serve."""
        deadline = monotonic() + READY_S
        waiting = set(numbers)
        while waiting:
            if monotonic() > deadline:
                raise SystemExit(f'not ready in time: {waiting}')
            waiting = {n for n in waiting if not self.is_ready(n)}
            sleep(0.05)

    def is_ready(self, number: int) -> bool:
        """Tell whether an entry instance takes callers."""
        try:
            page = self.get(url_of(self.ports[number], '/-/ready'))
        except HTTPError:
            return False
        return bool(page.status == 200)

    def status(self, number: int) -> dict[str, Any]:
        """Return an entry instance's status page, empty without one."""
        try:
            page = self.get(url_of(self.ports[number], '/-/status'))
            found: dict[str, Any] = json.decode(page.data)
        except (HTTPError, ValueError):
            return {}
        return found

    def get(self, url: str) -> Any:
        """Read a page with a short timeout."""
        return self.pool.request(
            'GET', url, timeout=Timeout(total=STATUS_TIMEOUT_S)
        )

    def owner(self) -> int:
        """Return the number of the entry instance that owns the cell."""
        for number in range(ENTRIES):
            owners = self.status(number).get('owners', {})
            names = [str(item['entry_id']) for item in self.settings]
            for owner in owners.values():
                if owner in names:
                    return names.index(owner)
        return 0

    def terminate(self, number: int) -> None:
        """Ask an entry instance to stop."""
        self.entries[number].send_signal(SIGTERM)

    def kill(self, number: int) -> None:
        """Kill an entry instance."""
        self.entries[number].send_signal(SIGKILL)
        self.entries[number].wait()

    def start(self, number: int) -> None:
        """Start an entry instance again, as a new incarnation."""
        self.starts[number] = monotonic()
        self.entries[number] = start_entry(
            self.resources, self.settings[number], self.folder
        )

    def pause(self, number: int, seconds: float) -> None:
        """Stop an entry instance's clock for some seconds."""
        self.paused.add(number)
        self.entries[number].send_signal(SIGSTOP)
        sleep(seconds)
        self.entries[number].send_signal(SIGCONT)
        self.paused.discard(number)

    def ledgers(self) -> dict[str, dict[str, Any]]:
        """Return each upstream's ledger by the instance's name."""
        found: dict[str, dict[str, Any]] = {}
        for name, port in self.upstream_ports.items():
            response = self.pool.request('GET', url_of(port, '/ledger'))
            found[name] = json.decode(response.data)
        return found

    def set_faults(self, port: int, **faults: Any) -> None:
        """Set what is wrong with a stand-in."""
        self.pool.request(
            'POST', url_of(port, '/faults'), body=json.encode(faults)
        )
