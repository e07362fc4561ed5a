"""A small site of separate processes on loopback addresses.

The entry instances are the project's own program, started by the command of
the deploy file; the store is the project's stand-in ``standins.job_store``.
Workers and the other services are those of this package. All processes are
ended with the site, by their own handles.
"""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
import http.client
import json
import os
from pathlib import Path
from random import randrange
from shutil import rmtree
from signal import SIGKILL
import socket
import subprocess
import sys
from tempfile import mkdtemp
import time
import tomllib
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = 'copper.example'
PREFIX = '/copper/'
KEY = 'sales-key'
POOL = 'copper'
START_S = 30.0
FIRST_PORT, LAST_PORT = 20_000, 32_000

BROKEN, HELD, NOT_RUN = 1, 0, 2


class NotRunError(Exception):
    """The case could not run."""


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now.

    It is below those that the system gives to connections by itself, which
    could otherwise take it before it is bound.
    """
    while True:
        port = randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port


def entry_command() -> list[str]:
    """Return the command of the deploy file."""
    text = (REPOSITORY / 'deploy/system.toml').read_text()
    command: str = tomllib.loads(text)['roles']['entry']['run']
    return command.split()


@dataclass
class Record:
    """What was sent, answered and run, for ``record.txt``."""

    began_at: float = field(default_factory=time.monotonic)
    lines: list[tuple[float, str]] = field(default_factory=list)

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line; its time is on the steady clock."""
        self.lines.append((time.monotonic() if at is None else at, text))

    def write(self, path: Path) -> None:
        """Write all lines in the order of their times."""
        ordered = sorted(self.lines, key=lambda line: line[0])
        path.write_text(
            ''.join(
                f'{at - self.began_at:8.3f} {text}\n' for at, text in ordered
            )
        )


@dataclass
class WorkerProcess:
    """A worker's process, and how to start it again."""

    id: str
    command: list[str]
    process: subprocess.Popen[bytes]


class Site:
    """The processes of one run."""

    def __init__(self, resources: ExitStack, record: Record) -> None:
        self.resources = resources
        self.record = record
        self.folder = Path(mkdtemp(prefix='review-'))
        resources.callback(rmtree, self.folder, ignore_errors=True)
        self.workers: dict[str, WorkerProcess] = {}
        self.killed: list[tuple[str, float]] = []
        self.entries: list[tuple[str, int]] = []
        self.version = 0
        if not (REPOSITORY / 'target/deps/primroseledge').exists():
            raise NotRunError('the deploy file has not been built')
        path = [str(REPOSITORY / 'target/deps'), str(REPOSITORY)]
        self.environment = {**os.environ, 'PYTHONPATH': ':'.join(path)}
        self.store_port, self.caller_ports = self.start_store()

    def run(self, command: list[str], **more: Any) -> subprocess.Popen[bytes]:
        """Start a process that ends with the site."""
        environment = {**self.environment, **more.pop('environment', {})}
        process = subprocess.Popen(
            command, cwd=REPOSITORY, env=environment, **more
        )
        self.resources.callback(end_process, process)
        return process

    def start_store(self) -> tuple[int, list[int]]:
        """Start the store; return the operator's and the callers' ports."""
        process = self.run(
            [sys.executable, '-m', 'standins.job_store', '4'],
            stdout=subprocess.PIPE,
        )
        assert process.stdout is not None
        line = json.loads(process.stdout.readline())
        return line['port'], line['ports']

    def start_services(self, fields: dict[str, Any]) -> int:
        """Start the advisory and the instance service; return their port."""
        self.services_path = self.folder / 'services.json'
        self.services_path.write_text(json.dumps(fields))
        port = free_port()
        command = [sys.executable, '-m', 'review.standins_2.services']
        self.run([*command, str(port), str(self.services_path)])
        self.services_port = port
        return port

    def control_services(self, **fields: Any) -> None:
        """Change the rows of the list of instances."""
        body = json.dumps(fields)
        call(self.services_port, 'POST', '/-/control', body)
        self.record.note(f'the list of instances changes: {fields}')

    def start_worker(
        self,
        worker: str,
        *,
        labels: str = 'a,rack-1',
        pool: str = POOL,
        port: int = 0,
        **options: Any,
    ) -> None:
        """Start a worker, at a free port if none is given."""
        command = [
            sys.executable,
            '-m',
            'review.standins_2.worker',
            f'--id={worker}',
            f'--pool={pool}',
            f'--labels={labels}',
            f'--port={port or free_port()}',
            f'--store=127.0.0.1:{self.store_port}',
            f'--evidence={self.folder / "workers.jsonl"}',
        ]
        for name, value in options.items():
            command.append(f'--{name.replace("_", "-")}={value}')
        self.workers[worker] = WorkerProcess(
            worker, command, self.run(command)
        )
        self.record.note(f'worker {worker} starts, labels {labels}')

    def kill_worker(self, worker: str) -> None:
        """End a worker's process with SIGKILL."""
        self.workers[worker].process.send_signal(SIGKILL)
        self.workers[worker].process.wait()
        self.killed.append((worker, time.monotonic()))
        self.record.note(f'worker {worker} gets SIGKILL')

    def restart_worker(self, worker: str) -> None:
        """Start a worker again under its id, at its port."""
        held = self.workers[worker]
        held.process = self.run(held.command)
        self.record.note(f'worker {worker} starts again')

    def fail_all(self, worker: str, is_failing: bool) -> None:
        """Let a worker fail all that it starts, or end that."""
        path = self.folder / f'workers.jsonl.fails.{worker}'
        path.touch() if is_failing else path.unlink()
        verb = 'fails' if is_failing else 'no longer fails'
        self.record.note(f'worker {worker} {verb} all that it starts')

    def start_entries(self, count: int, **settings: Any) -> None:
        """Start entry instances."""
        peers = [free_port() for _ in range(count)]
        for number in range(count):
            name = f'entry-{number}'
            caller_port, ready_port = free_port(), free_port()
            fields = {
                'entry_id': name,
                'zone': 'north-1',
                'caller_address': f'127.0.0.1:{caller_port}',
                'ready_address': f'127.0.0.1:{ready_port}',
                'peer_address': f'127.0.0.1:{peers[number]}',
                'seed_hosts': [],
                'store_address': f'127.0.0.1:{self.caller_ports[number]}',
                'fleet_address': f'127.0.0.1:{self.services_port}',
                'grace_period_s': 6,
                **settings,
            }
            path = self.folder / f'{name}.json'
            path.write_text(json.dumps(fields))
            log = (self.folder / f'{name}.log').open('wb')
            self.resources.callback(log.close)
            self.run(
                entry_command(),
                environment={'PRIMROSELEDGE_NODE_FILE': str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
            self.entries.append((name, caller_port))

    def configure(
        self, routes: list[dict[str, Any]], standby: str = ''
    ) -> None:
        """Write a config as the operator does."""
        self.version += 1
        services = [{'name': POOL, 'admission_check': True}]
        if standby:
            services.append({'name': standby, 'standby': True})
        value = {
            'version': self.version,
            'routes': routes,
            'services': services,
            'tenants': [{'name': 'sales', 'api_keys': [KEY], 'weight': 100}],
            'limits': {'max_body_bytes': 262144},
        }
        body = json.dumps({'key': 'op/config', 'value': value})
        status, _ = call(self.store_port, 'POST', '/-/write', body)
        if status != 200:
            raise NotRunError('the store took no config')
        self.record.note(f'config {self.version} is acknowledged')

    def request(
        self, method: str, job: str, body: Any = None, entry: int = 0
    ) -> tuple[int, dict[str, Any]]:
        """Make a requester's call, and note it."""
        name, port = self.entries[entry]
        data = None if body is None else json.dumps(body)
        try:
            status, answer = call(port, method, PREFIX + job, data)
        except OSError as error:
            status, answer = 0, {'error': str(error)}
        self.record.note(f'{method} {job} by {name}: {status} {answer}')
        return status, answer

    def wait_until_ready(self) -> None:
        """Wait until each entry instance answers a query."""
        until = time.monotonic() + START_S
        for name, port in self.entries:
            while True:
                try:
                    if call(port, 'GET', PREFIX, None)[0] == 200:
                        break
                except OSError:
                    pass
                if time.monotonic() > until:
                    raise NotRunError(f'{name} does not serve')
                time.sleep(0.1)

    def seen(self) -> list[dict[str, Any]]:
        """Return what the workers have seen until now."""
        path = self.folder / 'workers.jsonl'
        if not path.exists():
            return []
        lines = path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def seen_by_services(self) -> list[dict[str, Any]]:
        """Return what the advisory and the instance service have seen."""
        path = self.folder / 'services.seen'
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines()]

    def starts_of(self, job: str) -> list[dict[str, Any]]:
        """Return the starts of a job's tasks."""
        return [
            line
            for line in self.seen()
            if line['what'] == 'start' and line['task'].startswith(job)
        ]

    def wait_for(
        self, what: str, check: Callable[[], Any], seconds: float
    ) -> Any:
        """Return the first true result of a check; None in vain."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = check()
            if found:
                return found
            time.sleep(0.02)
        self.record.note(f'not seen in {seconds} s: {what}')
        return None

    def add_evidence(self) -> None:
        """Add what workers and services saw to the record."""
        for line in self.seen():
            text = ' '.join(
                f'{key} {value}'
                for key, value in line.items()
                if key not in ('at', 'born', 'worker', 'what')
            )
            text = f'worker {line["worker"]}: {line["what"]} {text}'
            self.record.note(text, line['at'])
        for line in self.seen_by_services():
            text = ' '.join(
                f'{key} {value}'
                for key, value in line.items()
                if key not in ('at', 'what')
            )
            self.record.note(f'services: {line["what"]} {text}', line['at'])


def call(
    port: int, method: str, path: str, body: str | None
) -> tuple[int, dict[str, Any]]:
    """Make one call; raises OSError without an answer."""
    link = http.client.HTTPConnection('127.0.0.1', port, timeout=4)
    headers = {
        'Host': HOST,
        'X-Api-Key': KEY,
        'Remaining-Time': '3000',
        'Content-Type': 'application/json',
    }
    try:
        link.request(method, path, body, headers)
        answer = link.getresponse()
        data = answer.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        link.close()
    try:
        return answer.status, json.loads(data or b'{}')
    except json.JSONDecodeError:
        return answer.status, {}


def route(**more: Any) -> dict[str, Any]:
    """Return the route of the site's one queue."""
    return {
        'name': 'r-copper',
        'host': HOST,
        'prefix': PREFIX,
        'service': POOL,
        'kind': 'non_idempotent',
        'timeout_ms': 3000,
        'target_completion_ms': 2500,
        'slack_factor': 1.6,
        'max_attempts': 4,
        **more,
    }


def end_process(process: subprocess.Popen[bytes]) -> None:
    """End a process that this program started."""
    if process.poll() is None:
        process.kill()
    process.wait()
    if process.stdout is not None:
        process.stdout.close()


def is_troubled() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


def main(case: Callable[[Site], str | None], folder: Path) -> int:
    """Run a case; it returns how the rule was broken, or None.

    Writes ``record.txt``; returns 1 if the rule was broken, 0 if it held,
    and 2 if the case couldn't run.
    """
    record = Record()
    result = NOT_RUN
    with ExitStack() as resources:
        try:
            site = Site(resources, record)
            problem = case(site)
            site.add_evidence()
            record.note(f'BROKEN: {problem}' if problem else 'the rule held')
            result = BROKEN if problem else HELD
        except (NotRunError, OSError, subprocess.SubprocessError) as error:
            record.note(f'could not run: {error}')
    record.write(folder / 'record.txt')
    print(f'{folder.name}: {record.lines[-1][1]}')
    return result
