"""A whole deployment on loopback: stand-ins and entry instances."""

from contextlib import ExitStack
from pathlib import Path
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import structs
from urllib3.exceptions import HTTPError
from urllib3.poolmanager import PoolManager

from primroseledge.ids import WriteId
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key
from primroseledge.storage.store_client import HttpStore
from primroseledge.storage.store_client import open_store
from standins.caller import Balancer
from standins.caller import Caller
from standins.processes import entry_settings
from standins.processes import start_entry
from standins.processes import start_standin

SLOTS: Final = 8
WORK_S: Final = 0.2
ZONES: Final = ['north-1', 'north-2', 'north-3']
READY_TIMEOUT_S: Final = 15.0
SERVER_THREADS: Final = 100
LIST_LAG_S: Final = 0.5
OLD_IMAGE: Final = 'os-41'
BOOT_AGE_S: Final = 90 * 86_400.0
SERVICE: Final = Service('bulletin', 'dealers', 'copper', run_limit_s=2.0)


class Deployment:
    """The processes of one deployment with one service."""

    def __init__(
        self,
        resources: ExitStack,
        folder: Path,
        entries: int,
        upstreams: int,
        work_s: float = WORK_S,
        boot_s: float | None = None,
        **settings: Any,
    ) -> None:
        self.pool = PoolManager(retries=False)
        _, self.store_port = start_standin(resources, 'standins.kv_store')
        self.upstream_ports = [
            start_standin(
                resources, 'standins.upstream', str(SLOTS), str(work_s)
            )[1]
            for _ in range(upstreams)
        ]
        store_url = f'http://127.0.0.1:{self.store_port}'
        self.store = open_store([store_url], 2.0)
        resources.callback(self.store.close)
        settings = {'server_threads': SERVER_THREADS, **settings}
        if boot_s is not None:
            settings |= self.start_platform(resources, boot_s)
        self.settings = entry_settings(
            entries, ZONES, self.store_port, **settings
        )
        self.entries = [
            start_entry(resources, settings, folder)
            for settings in self.settings
        ]
        self.ports = [settings['http_port'] for settings in self.settings]
        self.caller = Caller(Balancer(self.ports), 'bulletin', 1, work_s)
        self.key_a, record_a = generate_key()
        self.key_b, record_b = generate_key()
        self.key_old, record_old = generate_key()
        self.teams = [
            Team(id='dealers', share=2, limit=24, keys=(record_a,)),
            Team(id='yards', share=1, limit=24, keys=(record_b, record_old)),
        ]

    def start_platform(
        self, resources: ExitStack, boot_s: float
    ) -> dict[str, Any]:
        """Start a platform that knows the upstreams; return its URLs."""
        _, self.platform_port = start_standin(
            resources, 'standins.platform_server', str(boot_s), str(LIST_LAG_S)
        )
        for number in range(len(self.upstream_ports)):
            self.tell_platform(
                'register',
                id=f'yard-{number}',
                image=OLD_IMAGE,
                boot_age_s=BOOT_AGE_S,
            )
        urls = [f'http://127.0.0.1:{self.platform_port}']
        return {'list_urls': urls, 'task_urls': urls}

    def tell_platform(self, operation: str, **fields: Any) -> None:
        """Register an instance with the platform, or set its faults."""
        response = self.pool.request(
            'POST',
            url_of(self.platform_port, f'/{operation}'),
            body=json.encode(fields),
        )
        if response.status != 200:
            raise SystemExit(f'{operation}: {response.data.decode()}')

    def reboots(self) -> list[dict[str, Any]]:
        """Return the reboots that the platform made, with their times."""
        response = self.pool.request(
            'GET', url_of(self.platform_port, '/reboots')
        )
        reboots: list[dict[str, Any]] = json.decode(response.data)['reboots']
        return reboots

    def placement(self) -> dict[str, Instance]:
        """Return where the instances stand, as the store has it."""
        record = self.store.read(document_key('placement', '0')).records[0]
        assert record.value is not None
        return dict(json.decode(record.value, type=Placement).instances)

    def configure(self) -> None:
        """Write the documents of the deployment."""
        members = Members('all', tuple(s['entry_id'] for s in self.settings))
        instances = {
            f'yard-{number}': Instance(
                id=f'yard-{number}',
                pool='copper',
                zone=ZONES[number % len(ZONES)],
                rack=f'rack-{number}',
                address=f'127.0.0.1:{port}',
                slots=SLOTS,
            )
            for number, port in enumerate(self.upstream_ports)
        }
        documents: list[tuple[str, Any]] = [
            ('members', members),
            ('pool', Pool('copper')),
            ('placement', Placement('0', instances)),
            ('service', SERVICE),
        ]
        documents += [('team', team) for team in self.teams]
        for kind, document in documents:
            put(self.store, kind, document)

    def wait_ready(self) -> None:
        """Wait until every entry instance serves with all documents."""
        deadline = monotonic() + READY_TIMEOUT_S
        waiting = set(self.ports)
        while waiting:
            if monotonic() > deadline:
                raise SystemExit(f'not ready in time: {waiting}')
            waiting -= {port for port in waiting if self.is_ready(port)}
            sleep(0.05)

    def is_ready(self, port: int) -> bool:
        """Tell whether an entry instance is ready and has its peers."""
        try:
            ready = self.pool.request('GET', url_of(port, '/-/ready'))
            status = self.pool.request('GET', url_of(port, '/-/status'))
        except HTTPError:
            return False
        members = json.decode(status.data).get('members', [])
        return ready.status == 200 and len(members) == len(self.ports)

    def drain(self, name: str) -> None:
        """Mark an upstream as draining."""
        instances = self.placement()
        instances[name] = structs.replace(instances[name], is_draining=True)
        put(self.store, 'placement', Placement('0', instances))

    def ledgers(self) -> list[dict[str, Any]]:
        """Return the upstreams' ledgers."""
        return [self.ledger(port) for port in self.upstream_ports]

    def ledger(self, port: int) -> dict[str, Any]:
        """Return an upstream's ledger."""
        response = self.pool.request('GET', url_of(port, '/ledger'))
        ledger: dict[str, Any] = json.decode(response.data)
        return ledger

    def set_upstream_faults(self, port: int, **faults: Any) -> None:
        """Set what is wrong with an upstream."""
        self.pool.request(
            'POST', url_of(port, '/faults'), body=json.encode(faults)
        )

    def set_store_faults(self, **faults: Any) -> None:
        """Set what is wrong with the key-value service."""
        self.pool.request(
            'POST',
            url_of(self.store_port, '/faults'),
            body=json.encode(faults),
        )

    def url(self, number: int, path: str) -> str:
        """Return a URL of an entry instance."""
        return url_of(self.ports[number], path)


def put(store: HttpStore, kind: str, document: Any) -> None:
    """Write a document whatever its present revision is."""
    key = document_key(kind, document.id)
    store.write(key, encode_document(document), None, WriteId('demo'))


def url_of(port: int, path: str) -> str:
    """Return a URL on this machine."""
    return f'http://127.0.0.1:{port}{path}'
