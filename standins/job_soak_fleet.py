"""The processes of a soak on the job path, and what can be done to them."""

from base64 import b64decode
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from signal import SIGCONT
from signal import SIGSTOP
from socket import SO_REUSEADDR
from socket import socket
from socket import SOL_SOCKET
from subprocess import PIPE
from subprocess import Popen
import sys
from threading import Lock
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import msgpack

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from standins.fault_proxy import FaultProxy
from standins.fault_proxy import ProxyLoop
from standins.job_evidence import EvidenceFile
from standins.job_evidence import EvidenceKind
from standins.job_evidence import FaultEvidence
from standins.job_evidence import WorkerEvidence
from standins.job_soak_entries import EntryProcesses
from standins.job_soak_site import create_configuration
from standins.job_soak_site import POOLS
from standins.job_soak_site import Scale
from standins.job_soak_site import STANDBY_POOL
from standins.job_soak_site import UNGUARDED_POOL
from standins.processes import stop
from standins.worker_core import MAX_LEASE_MS

READY_S: Final = 20.0
CONTROL_TIMEOUT_S: Final = 3.0
GRACE_PERIOD_S: Final = 6.0
WORKER_CPU_MILLIS: Final = 8000
WORKER_MEMORY_MB: Final = 32000
WAVE_S: Final = 20.0


@dataclass(eq=False)
class WorkerProcess:
    """A worker's process and how to reach it."""

    machine: str
    arguments: list[str]
    control_port: int
    rack: str
    process: Popen[bytes]
    control: HttpClient
    proxy: FaultProxy | None
    lock: Lock = field(default_factory=Lock)


class JobFleet:
    """Store, instance service, workers and entry instances as processes."""

    def __init__(
        self,
        resources: ExitStack,
        folder: Path,
        scale: Scale,
    ) -> None:
        self.resources = resources
        self.folder = folder
        self.scale = scale
        self.faults = EvidenceFile(folder / 'faults.jsonl')
        self.lives = EvidenceFile(folder / 'workers-killed.jsonl')
        self.workers: dict[str, WorkerProcess] = {}
        self.entries = EntryProcesses(resources, folder)
        self.store_proxies: dict[str, FaultProxy] = {}
        self.version = 0
        self.waves = 0

    def start(self) -> None:
        """Start all processes, and wait for an owner."""
        self.proxies = self.resources.enter_context(ProxyLoop())
        self.start_store()
        self.configure()
        for pool in POOLS:
            for number in range(self.scale.workers_per_pool):
                self.start_worker(f'{pool}-{number}', pool, number)
        for number in range(self.scale.standby_workers):
            self.start_worker(f'{STANDBY_POOL}-{number}', STANDBY_POOL, number)
        self.start_instances()
        for number in range(self.scale.entries):
            self.define_entry(number)
        for name in self.entries.settings:
            self.entries.start(name)
        self.wait_until(self.find_owner, 'an owner')
        self.wait_until(self.entries.are_ready, 'ready entry instances')

    def reserve_port(self) -> int:
        """Return a port that no connection takes while nobody listens."""
        guard = self.resources.enter_context(socket())
        guard.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        guard.bind(('127.0.0.1', 0))
        return int(guard.getsockname()[1])

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

    def start_wave(self, machines: list[str]) -> None:
        """Ask for the maintenance of machines, one at a time."""
        self.waves += 1
        wave = {
            'wave': self.waves,
            'machines': machines,
            'duration_s': WAVE_S,
            'upper_bound': 1,
        }
        self.write(f'op/wave/{self.waves}', wave)

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
        """Start a worker's process; one of the standby pool has no life.

        Calls to every other worker pass through a proxy.
        """
        port, control_port = self.reserve_port(), self.reserve_port()
        proxy = self.proxies.add_proxy(port) if number % 2 == 0 else None
        rack = f'rack-{number % 3}'
        arguments = [
            f'--machine={machine}',
            f'--rack={rack}',
            f'--port={port}',
            f'--control-port={control_port}',
            f'--advertised={proxy.address if proxy else ""}',
            f'--cpu={WORKER_CPU_MILLIS}',
            f'--memory={WORKER_MEMORY_MB}',
            f'--store={self.store_address}',
            f'--rate={1.0 - 0.005 * (number % 4)}',
            f'--unguarded={UNGUARDED_POOL}',
            f'--evidence={self.folder / f"workers-{machine}.jsonl"}',
        ]
        is_up = pool != STANDBY_POOL
        process = self.run_worker(arguments, f'w-{machine}', pool, is_up)
        client = self.open_client(control_port, 2)
        self.workers[machine] = WorkerProcess(
            machine, arguments, control_port, rack, process, client, proxy
        )

    def run_worker(
        self, arguments: list[str], worker: str, pool: str, is_up: bool
    ) -> Popen[bytes]:
        """Run a worker's process."""
        more = [f'--id={worker}', f'--pool={pool}']
        more += [] if is_up else ['--asleep']
        process, _ = self.start_standin(
            'standins.job_worker', *arguments, *more
        )
        return process

    def start_instances(self) -> None:
        """Start the service of instances for the workers' machines."""
        rows = list[dict[str, Any]]()
        for machine, worker in self.workers.items():
            pool = machine.rpartition('-')[0]
            is_up = pool != STANDBY_POOL
            rows.append(
                {
                    'machine': machine,
                    'pool': pool,
                    'rack': worker.rack,
                    'cpu': WORKER_CPU_MILLIS,
                    'memory': WORKER_MEMORY_MB,
                    'control_port': worker.control_port,
                    'id': f'w-{machine}' if is_up else None,
                }
            )
        path = self.folder / 'machines.json'
        path.write_bytes(json.encode(rows))
        _, line = self.start_standin(
            'standins.job_instances', str(path), STANDBY_POOL
        )
        self.instances = self.open_client(line['port'], 2)
        self.instances_address = f'127.0.0.1:{line["port"]}'

    def life_of(self, machine: str) -> dict[str, Any]:
        """Return what a worker's control port tells of its life."""
        client = self.workers[machine].control
        answer = client.call('GET', '/-/life', None, CONTROL_TIMEOUT_S)
        life: dict[str, Any] = json.decode(answer.body)
        return life

    def change_life(self, machine: str, **fields: Any) -> None:
        """End or begin a life of a worker by its control port."""
        self.tell(self.workers[machine].control, '/-/life', **fields)

    def crash_worker(
        self, machine: str, gap_s: float, worker: str = ''
    ) -> None:
        """Kill a worker's process, and start it again after a gap.

        It comes back under the same id at the same port, or as ``worker``.
        """
        held = self.workers[machine]
        with held.lock:
            life = self.life_of(machine)
            held.process.kill()
            held.process.wait()
            if life['is_up']:
                self.note_life(life, EvidenceKind.LIFE_ENDED, 'killed')
            is_up = life['is_up'] or life['is_beginning']
            sleep(gap_s)
            name = worker or life['id']
            if worker and is_up:
                self.rename_worker(machine, worker)
            held.process = self.run_worker(
                held.arguments, name, life['pool'], is_up
            )

    def rename_worker(self, machine: str, worker: str) -> None:
        """Tell the service of instances of a worker's new id."""
        self.tell(self.instances, '/-/worker', machine=machine, id=worker)

    def pause_worker(self, machine: str, seconds: float) -> None:
        """Stop a worker's process for a while."""
        life = self.life_of(machine)
        process = self.workers[machine].process
        process.send_signal(SIGSTOP)
        self.note_life(life, EvidenceKind.PAUSED)
        sleep(seconds)
        self.note_life(life, EvidenceKind.RESUMED)
        process.send_signal(SIGCONT)

    def note_life(
        self, life: dict[str, Any], kind: EvidenceKind, how: str = ''
    ) -> None:
        """Append evidence about a life that cannot do so."""
        self.lives.append(
            WorkerEvidence(
                boot_time(), life['id'], life['boot'], kind, how=how
            )
        )

    def define_entry(self, number: int) -> None:
        """Draw up the settings of an entry instance."""
        name = f'entry-{number}'
        proxy = self.proxies.add_proxy(self.store_ports[number])
        self.store_proxies[name] = proxy
        settings = {
            'entry_id': name,
            'zone': 'north',
            'caller_address': f'127.0.0.1:{self.reserve_port()}',
            'ready_address': f'127.0.0.1:{self.reserve_port()}',
            'peer_address': f'127.0.0.1:{self.reserve_port()}',
            'store_address': proxy.address,
            'fleet_address': self.instances_address,
            'grace_period_s': GRACE_PERIOD_S,
            'longest_lease_ms': MAX_LEASE_MS,
        }
        self.entries.add(name, settings)

    def find_owner(self) -> str:
        """Return the owner's name, or an empty text."""
        path = '/-/kv-key?key=owner/record'
        answer = self.store.call('GET', path, None, CONTROL_TIMEOUT_S)
        if answer.status != 200:
            return ''
        value = b64decode(json.decode(answer.body)['value'])
        return str(msgpack.decode(value)[1])

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
