"""A small deployment: the project's own processes amid the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
import json
import os
from pathlib import Path
import random
import shlex
import signal
import socket
import subprocess
import sys
from tempfile import TemporaryDirectory
import tomllib
from typing import Any

from standins.http_link import call
from standins.platform_store import Platform
from standins.worker import Worker

REPOSITORY = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST = 'sheets.example'
PREFIX = '/sheets/'
KEY = 'key-of-sales'
RACK_WORKERS = 4
PORTS = (20_000, 30_000)
MAX_HOLD_MS = 10_000
"""``max_hold_ms`` of the deployment ``further/arusha-bootfit.toml``."""


class CannotRunError(Exception):
    """The case could not be brought about."""


@dataclass
class Record:
    """What was sent, answered and run, with times in seconds."""

    path: Path
    rows: list[tuple[float, str, dict[str, Any]]] = field(default_factory=list)
    began_at: float = 0.0

    def note(self, what: str, **fields: Any) -> None:
        """Add a line."""
        now = asyncio.get_running_loop().time()
        self.rows.append((now, what, fields))
        words = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self.path.open('a') as file:
            file.write(f'{now - self.began_at:9.3f} {what} {words}\n')

    def find(
        self, what: str, **wanted: Any
    ) -> Iterator[tuple[float, dict[str, Any]]]:
        """Yield the lines of a kind whose fields have these values."""
        for at, kind, fields in self.rows:
            if kind == what and all(
                fields.get(name) == value for name, value in wanted.items()
            ):
                yield at, fields


@dataclass
class Fleet:
    """The processes and stand-ins of one case."""

    record: Record
    folder: Path
    resources: ExitStack
    entry_count: int = 3
    has_trouble: bool = True
    platform: Platform = field(default_factory=Platform)
    workers: dict[str, Worker] = field(default_factory=dict)
    addresses: list[str] = field(default_factory=list)
    processes: list[subprocess.Popen[bytes]] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)
    version: int = 0
    used: set[str] = field(default_factory=set)

    @property
    def now(self) -> float:
        """Return the steady time, in seconds."""
        return asyncio.get_running_loop().time()

    async def start_platform(self) -> None:
        """Start the store."""
        await self.platform.server.open()
        self.run_beside(self.platform.expire())

    def close(self) -> None:
        """End the stand-ins; the processes end with the resources."""
        for task in self.tasks:
            task.cancel()
        for worker in self.workers.values():
            worker.server.close()
        self.platform.server.close()

    def run_beside(self, work: Any) -> None:
        """Run a coroutine until the end of the case."""
        self.tasks.append(asyncio.create_task(work))

    async def add_worker(self, worker: Worker) -> None:
        """Start a worker on a machine of its own."""
        self.workers[worker.id] = worker
        machine = f'machine-{worker.id}'
        await worker.begin()
        self.platform.machines[machine] = {
            'machine': machine,
            'pool': worker.service,
            'state': 'up',
            'zone': worker.zone,
            'labels': worker.labels,
            'capacity': vars(worker.room),
            'id': worker.id,
        }
        self.run_beside(worker.live())

    def configure(self, config: dict[str, Any]) -> None:
        """Have the operator write a new version of the config."""
        self.version += 1
        value = {'version': self.version, **config}
        self.platform.write_json('op/config', value)
        names = [route['name'] for route in config['routes']]
        self.record.note('config', version=self.version, routes=names)

    async def start_workers(
        self, service: str, kinds: list[str], max_hold_ms: int = MAX_HOLD_MS
    ) -> None:
        """Start a worker of each kind in the list, four in a rack."""
        for number, kind in enumerate(kinds):
            await self.add_worker(
                Worker(
                    f'{service}-{number}',
                    service,
                    self.platform,
                    self.record.note,
                    [kind, f'r1-{number // RACK_WORKERS}'],
                    max_hold_ms=max_hold_ms,
                )
            )

    def start_entries(self) -> None:
        """Start the entry instances by the deploy file."""
        for number in range(self.entry_count):
            self.start_entry(number)

    def start_entry(self, number: int) -> None:
        """Start one process with settings like a deployment's."""
        deploy = tomllib.loads((REPOSITORY / 'deploy/system.toml').read_text())
        caller, ready, peer, metrics = free_addresses(4, self.used)
        settings = {
            'entry_id': f'frontend-{number}',
            'zone': f'north-{number + 1}',
            'caller_address': caller,
            'ready_address': ready,
            'peer_address': peer,
            'seed_hosts': [],
            'store_address': self.platform.server.address,
            'fleet_address': self.platform.server.address,
            'advice_address': '',
            'processor_share': 0.537,
            'processor_speed': 2,
            'metrics_address': metrics,
            'grace_period_s': 6,
        }
        path = self.folder / f'node-{number}.json'
        path.write_text(json.dumps(settings))
        words = shlex.split(deploy['roles']['entry']['run'])
        with (self.folder / f'node-{number}.log').open('ab') as log:
            process = subprocess.Popen(
                words,
                cwd=REPOSITORY,
                env={
                    **os.environ,
                    'PYTHONPATH': str(REPOSITORY / 'target/deps'),
                    'PRIMROSELEDGE_NODE_FILE': str(path),
                },
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.resources.callback(end_process, process)
        self.processes.append(process)
        self.addresses.append(caller)

    async def wait_until_ready(self, limit_s: float = 20.0) -> None:
        """Wait until each entry instance answers a count."""
        for address in self.addresses:
            await self.wait_for(
                lambda address=address: self.answers(address), limit_s
            )

    async def answers(self, address: str) -> bool:
        """Tell whether an entry instance serves callers."""
        status, _ = await call(
            address, 'GET', PREFIX, None, self.headers(), 1.0
        )
        return status == 200

    async def wait_for(
        self, check: Callable[[], Awaitable[Any]], limit_s: float
    ) -> None:
        """Wait until a check is true; raises CannotRunError if it is not."""
        ends_at = self.now + limit_s
        while self.now < ends_at:
            if await check():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError('waited in vain')

    def note_processes(self) -> None:
        """Write down how the processes are, and what they logged last."""
        for number, process in enumerate(self.processes):
            path = self.folder / f'node-{number}.log'
            lines = path.read_text(errors='replace').splitlines()
            self.record.note(
                'process', node=number, ended=process.poll(), lines=lines[-3:]
            )

    def headers(self) -> dict[str, str]:
        """Return the headers of a caller."""
        return {
            'Host': HOST,
            'X-Api-Key': KEY,
            'Remaining-Time': '3000',
        }

    async def ask(
        self,
        method: str,
        name: str,
        body: dict[str, Any] | None = None,
        entry: int = 0,
    ) -> tuple[int, dict[str, Any]]:
        """Make a caller's call, and write down what was answered."""
        self.record.note('sent', method=method, name=name, entry=entry)
        status, fields = await call(
            self.addresses[entry],
            method,
            f'{PREFIX}{name}',
            body,
            self.headers(),
        )
        self.record.note(
            'answered',
            method=method,
            name=name,
            entry=entry,
            status=status,
            body=json.dumps(fields),
        )
        return status, fields

    async def submit(
        self,
        job: str,
        steps: list[dict[str, Any]],
        spec: dict[str, Any],
        entry: int = 0,
    ) -> bool:
        """Hand a job in, at one node after another; tell if it was taken."""
        body = {'task_spec': json.dumps(spec), 'steps': steps}
        for attempt in range(6):
            node = (entry + attempt) % len(self.addresses)
            status, _ = await self.ask('POST', job, body, node)
            if status == 200:
                return True
            await asyncio.sleep(0.3)
        return False


def create_config(service: str, max_attempts: int) -> dict[str, Any]:
    """Return a config with one queue, one service and one tenant."""
    return {
        'routes': [
            {
                'name': 'sheets',
                'host': HOST,
                'prefix': PREFIX,
                'service': service,
                'timeout_ms': 3000,
                'max_attempts': max_attempts,
            }
        ],
        'services': [{'name': service, 'admission_check': True}],
        'tenants': [{'name': 'sales', 'api_keys': [KEY], 'weight': 1}],
        'limits': {'max_body_bytes': 262144},
    }


def free_addresses(count: int, used: set[str]) -> list[str]:
    """Return addresses of 127.0.0.1 that are free now, and not ``used``.

    Their ports are below those that the system gives to outgoing connections.
    The addresses are added to ``used``.
    """
    with ExitStack() as resources:
        found = []
        for port in random.sample(range(*PORTS), PORTS[1] - PORTS[0]):
            probe = resources.enter_context(socket.socket())
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            address = f'127.0.0.1:{port}'
            if address not in used:
                found.append(address)
            if len(found) == count:
                used.update(found)
                return found
    raise CannotRunError('no free ports')


def end_process(process: subprocess.Popen[bytes]) -> None:
    """End a process that this case started."""
    if process.poll() is not None:
        return
    process.send_signal(signal.SIGCONT)
    process.kill()
    process.wait()


Case = Callable[[Fleet], Awaitable[str]]
"""Plays a case; returns how the rule was broken, or ''."""


def run_case(case: Case, script: str, limit_s: float = 110.0) -> int:
    """Play a case; return the exit status of its script."""
    path = Path(script).resolve().parent / 'record.txt'
    path.write_text('')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    return asyncio.run(play(case, path, has_trouble, limit_s))


async def play(
    case: Case, path: Path, has_trouble: bool, limit_s: float
) -> int:
    """Play a case in a temporary folder, and end all that it started."""
    record = Record(path, began_at=asyncio.get_running_loop().time())
    record.note('begins', trouble=int(has_trouble))
    with ExitStack() as resources:
        folder = resources.enter_context(TemporaryDirectory())
        if 'KEEP' in os.environ:
            folder = os.environ['KEEP']
        fleet = Fleet(record, Path(folder), resources, has_trouble=has_trouble)
        try:
            async with asyncio.timeout(limit_s):
                problem = await case(fleet)
        except (CannotRunError, TimeoutError) as error:
            record.note('could-not-run', problem=f'{error!r}')
            fleet.note_processes()
            print(f'could not run: {error!r}')
            return COULD_NOT_RUN
        finally:
            fleet.close()
    record.note('rule-broken' if problem else 'rule-held', why=problem)
    print(problem or 'the rule held')
    return BROKEN if problem else HELD


def main(case: Case, script: str) -> None:
    """Run a case as a program."""
    sys.exit(run_case(case, script))
