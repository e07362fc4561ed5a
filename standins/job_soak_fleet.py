"""The processes of a soak on the job path, and what can be done to them."""

from base64 import b64decode
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT
from signal import SIGHUP
from signal import SIGKILL
from signal import SIGSTOP
from signal import SIGTERM
from subprocess import PIPE
from subprocess import Popen
from subprocess import TimeoutExpired
import sys
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import msgpack

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.job_evidence import EvidenceFile
from standins.job_evidence import EvidenceKind
from standins.job_evidence import FaultEvidence
from standins.job_evidence import WorkerEvidence
from standins.processes import free_port
from standins.processes import start_on_platform
from standins.processes import stop

POOLS: Final = ('copper', 'iron')
STANDBY_POOL: Final = 'spare'
READY_S: Final = 20.0
CONTROL_TIMEOUT_S: Final = 3.0
GRACE_PERIOD_S: Final = 6.0
KILL_AFTER_S: Final = 8.0


@dataclass(frozen=True, slots=True)
class Scale:
    """How many processes of each kind there are."""

    entries: int
    workers_per_pool: int
    standby_workers: int


SCALES: Final = {
    'small': Scale(entries=3, workers_per_pool=4, standby_workers=2),
    'large': Scale(entries=6, workers_per_pool=12, standby_workers=6),
}


@dataclass(eq=False)
class WorkerProcess:
    """A worker's process and how to reach it."""

    machine: str
    arguments: list[str]
    process: Popen[bytes]
    control: HttpClient
    has_started: bool = False


class JobFleet:
    """Store, instance service, workers and entry instances as processes."""

    def __init__(
        self, resources: ExitStack, folder: Path, scale: Scale
    ) -> None:
        self.resources = resources
        self.folder = folder
        self.scale = scale
        self.faults = EvidenceFile(folder / 'faults.jsonl')
        self.lives = EvidenceFile(folder / 'workers-killed.jsonl')
        self.workers: dict[str, WorkerProcess] = {}
        self.entries: dict[str, Popen[bytes]] = {}
        self.settings: dict[str, dict[str, Any]] = {}
        self.version = 0

    def start(self) -> None:
        """Start all processes, and wait for an owner."""
        self.start_store()
        self.configure()
        for pool in POOLS:
            for number in range(self.scale.workers_per_pool):
                self.start_worker(f'{pool}-{number}', pool, number)
        for number in range(self.scale.entries):
            self.define_entry(number)
        for name in self.settings:
            self.start_entry(name)
        self.wait_until(self.find_owner, 'an owner')
        self.wait_until(self.are_ready, 'ready entry instances')

    def start_standin(
        self, module: str, *arguments: str
    ) -> tuple[Popen[bytes], dict[str, Any]]:
        """Start a stand-in; return its process and what it says."""
        process = Popen(
            [sys.executable, '-m', module, *arguments], stdout=PIPE
        )
        self.resources.callback(stop, process)
        assert process.stdout is not None
        line: dict[str, Any] = json.decode(process.stdout.readline())
        return process, line

    def open_client(self, port: int, connections: int = 1) -> HttpClient:
        """Return a client of a port of ours."""
        client = HttpClient(f'127.0.0.1:{port}', connections)
        self.resources.callback(client.close)
        return client

    def start_store(self) -> None:
        """Start the store, with a port for each entry instance."""
        _, line = self.start_standin(
            'standins.job_store', str(self.scale.entries)
        )
        self.store_address = f'127.0.0.1:{line["port"]}'
        self.store_ports: list[int] = line['ports']
        self.store = self.open_client(line['port'], 4)

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        self.write('op/config', create_configuration(self.version))

    def write(self, key: str, value: dict[str, Any]) -> None:
        """Write a key as the operator."""
        self.tell(self.store, '/-/write', key=key, value=value)

    def tell(self, client: HttpClient, path: str, **fields: Any) -> Any:
        """Make a control call; return its answer."""
        body = json.encode(fields)
        answer = client.call('POST', path, body, CONTROL_TIMEOUT_S)
        if answer.status != 200:
            raise AssertionError(f'{path}: status {answer.status}')
        return json.decode(answer.body)

    def start_worker(self, machine: str, pool: str, number: int) -> None:
        """Start a worker's process with its first life."""
        port, control_port = free_port(), free_port()
        arguments = [
            f'--machine={machine}',
            f'--rack=rack-{number % 3}',
            f'--port={port}',
            f'--control-port={control_port}',
            f'--store={self.store_address}',
            f'--rate={1.0 - 0.005 * (number % 4)}',
            f'--evidence={self.folder / f"workers-{machine}.jsonl"}',
            f'--pool={pool}',
        ]
        process = self.run_worker(arguments, f'w-{machine}')
        client = self.open_client(control_port)
        self.workers[machine] = WorkerProcess(
            machine, arguments, process, client
        )

    def run_worker(self, arguments: list[str], worker: str) -> Popen[bytes]:
        """Run a worker's process."""
        process, _ = self.start_standin(
            'standins.job_worker', *arguments, f'--id={worker}'
        )
        return process

    def life_of(self, machine: str) -> dict[str, Any]:
        """Return what a worker's control port tells of its life."""
        client = self.workers[machine].control
        answer = client.call('GET', '/-/life', None, CONTROL_TIMEOUT_S)
        life: dict[str, Any] = json.decode(answer.body)
        return life

    def change_life(self, machine: str, **fields: Any) -> None:
        """End or begin a life of a worker by its control port."""
        self.tell(self.workers[machine].control, '/-/life', **fields)

    def kill_worker(self, machine: str) -> dict[str, Any]:
        """Kill a worker's process; return what its life was."""
        life = self.life_of(machine)
        process = self.workers[machine].process
        process.kill()
        process.wait()
        self.lives.append(
            WorkerEvidence(
                boot_time(),
                life['id'],
                life['boot'],
                EvidenceKind.LIFE_ENDED,
                how='killed',
            )
        )
        return life

    def restart_worker(self, machine: str, worker: str, pool: str) -> None:
        """Start a killed worker's process again at the same port."""
        held = self.workers[machine]
        arguments = [*held.arguments[:-1], f'--pool={pool}']
        held.process = self.run_worker(arguments, worker)

    def pause_worker(self, machine: str, seconds: float) -> None:
        """Stop a worker's process for a while."""
        life = self.life_of(machine)
        process = self.workers[machine].process
        process.send_signal(SIGSTOP)
        self.note_life(life, EvidenceKind.PAUSED)
        sleep(seconds)
        self.note_life(life, EvidenceKind.RESUMED)
        process.send_signal(SIGCONT)

    def note_life(self, life: dict[str, Any], kind: EvidenceKind) -> None:
        """Append evidence about a life that cannot do so."""
        self.lives.append(
            WorkerEvidence(boot_time(), life['id'], life['boot'], kind)
        )

    def define_entry(self, number: int) -> None:
        """Draw up the settings of an entry instance."""
        name = f'entry-{number}'
        self.settings[name] = {
            'entry_id': name,
            'zone': 'north',
            'caller_address': f'127.0.0.1:{free_port()}',
            'ready_address': f'127.0.0.1:{free_port()}',
            'peer_address': f'127.0.0.1:{free_port()}',
            'store_address': f'127.0.0.1:{self.store_ports[number]}',
            'fleet_address': self.store_address,
            'grace_period_s': GRACE_PERIOD_S,
        }

    def start_entry(self, name: str) -> None:
        """Start an entry instance."""
        with (self.folder / f'{name}.log').open('ab') as log:
            self.entries[name] = start_on_platform(
                self.resources, self.settings[name], self.folder, log.fileno()
            )

    def signal_entry(self, name: str, number: int) -> None:
        """Send a signal to an entry instance, if it still runs."""
        if self.entries[name].poll() is None:
            self.entries[name].send_signal(number)

    def kill_entry(self, name: str) -> None:
        """Kill an entry instance."""
        self.signal_entry(name, SIGKILL)
        self.entries[name].wait()

    def terminate_entry(self, name: str) -> int | None:
        """Let an entry instance leave; None if it had to be killed."""
        self.signal_entry(name, SIGTERM)
        try:
            return self.entries[name].wait(KILL_AFTER_S)
        except TimeoutExpired:
            self.kill_entry(name)
            return None

    def pause_entry(self, name: str, seconds: float) -> None:
        """Stop an entry instance for a while."""
        self.signal_entry(name, SIGSTOP)
        sleep(seconds)
        self.signal_entry(name, SIGCONT)

    def reload_entry(self, name: str) -> None:
        """Tell an entry instance that its settings have changed."""
        self.signal_entry(name, SIGHUP)

    def find_owner(self) -> str:
        """Return the owner's name, or an empty text."""
        path = '/-/kv-key?key=owner/record'
        answer = self.store.call('GET', path, None, CONTROL_TIMEOUT_S)
        if answer.status != 200:
            return ''
        value = b64decode(json.decode(answer.body)['value'])
        return str(msgpack.decode(value)[1])

    def are_ready(self) -> bool:
        """Tell whether all entry instances are ready."""
        return all(self.is_ready(name) for name in self.settings)

    def is_ready(self, name: str) -> bool:
        """Tell whether an entry instance takes callers."""
        client = HttpClient(self.settings[name]['ready_address'])
        try:
            return client.call('GET', '/-/readiness', None, 0.5).status == 200
        except (NotSentError, NoAnswerError):
            return False
        finally:
            client.close()

    def wait_until(self, check: Any, what: str) -> None:
        """Wait for something; raise AssertionError if it doesn't come."""
        until = monotonic() + READY_S
        while not check():
            if monotonic() > until:
                raise AssertionError(f'no {what} in {READY_S} s')
            sleep(0.05)

    def note_fault(self, name: str, began_at: float, subject: str) -> None:
        """Append evidence of a fault that is over."""
        self.faults.append(FaultEvidence(began_at, boot_time(), name, subject))


def create_configuration(version: int) -> dict[str, Any]:
    """Return the configuration: a queue and a pool of each kind."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'queue-{pool}',
                'host': f'{pool}.example',
                'prefix': f'/{pool}/',
                'service': pool,
                'timeout_ms': 3000,
                'target_completion_ms': 600,
                'slack_factor': 1.6,
                'max_attempts': 3,
            }
            for pool in POOLS
        ],
        'services': [
            *({'name': pool, 'admission_check': True} for pool in POOLS),
            {'name': STANDBY_POOL, 'standby': True},
        ],
        'tenants': [
            {'name': 'sales', 'api_keys': ['sales-key'], 'weight': 100},
            {'name': 'yards', 'api_keys': ['yards-key'], 'weight': 100},
        ],
        'limits': {'max_body_bytes': 262144},
    }
