"""A small platform for jobs: store, workers and instances over HTTP.

Usage: ``python -m standins.fleet_platform WORKERS``. It prints one JSON
line with the addresses, and serves until SIGTERM. A task's payload says
what it does: ``{"seconds": 0.5, "fails": false}``; every task takes one
core. ``GET /-/ledger`` at the store's address tells what really ran.
"""

import collections
from collections.abc import Iterable
from contextlib import ExitStack
import sys
from threading import Thread
from time import monotonic
from time import time
from typing import Any

from msgspec import json

from primroseledge.ids import Boot
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from primroseledge.platform.wire_names import format_task_name
from primroseledge.platform.wire_names import parse_task_name
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import SendStart
from standins.call_server import Reply
from standins.http_app import create_server
from standins.http_app import fields_of
from standins.http_app import respond
from standins.http_app import serve_until_stopped
from standins.http_app import StartResponse
from standins.store_application import StoreApplication
from standins.worker_application import WorkerCalls
from standins.worker_core import SimWorker

POOL = 'copper'
HEARTBEAT_S = 0.5
WORKER_THREADS = 16
TASK_RESOURCES = Resources(1000, 100, 0)
WORKER_CAPACITY = Resources(8000, 32000, 0)


class TaskLedger:
    """What really ran, and what each task's payload asks for."""

    def __init__(self) -> None:
        self.payloads: dict[str, dict[str, Any]] = {}
        self.running: dict[TaskKey, set[int]] = collections.defaultdict(set)
        self.done: dict[TaskKey, set[int]] = collections.defaultdict(set)
        self.doubled = 0
        self.starts = 0

    def resources_of(self, task: TaskKey) -> Resources:
        """Return what a task takes; all take the same."""
        return TASK_RESOURCES

    def fate_of(self, task: TaskKey, run: int) -> tuple[float | None, EndKind]:
        """Return how long a run takes, and how it ends."""
        payload = self.payloads.get(task.job, {})
        how = EndKind.FAILED if payload.get('fails') else EndKind.DONE
        return payload.get('seconds', 0.2), how

    def started(self, order: SendStart, worker: WorkerId, now: float) -> None:
        """Note a start; one beside another run, or after an end, is two."""
        self.starts += 1
        if self.running[order.task] or self.done[order.task]:
            self.doubled += 1
        self.running[order.task].add(order.run_number)

    def ended(
        self,
        task: TaskKey,
        run: int,
        worker: WorkerId,
        how: EndKind,
        now: float,
    ) -> None:
        """Note an end."""
        self.running[task].discard(run)
        if how is EndKind.DONE:
            self.done[task].add(run)

    def lost(
        self, task: TaskKey, run: int, worker: WorkerId, now: float
    ) -> None:
        """Note that a run ended with its worker."""
        self.running[task].discard(run)

    def noted(self, task: TaskKey, run: int, now: float) -> None:
        """The demo does not judge which ends were taken note of."""

    def report(self) -> dict[str, Any]:
        """Return the counts, and which tasks are done."""
        done = sorted(
            format_task_name(t) for t, runs in self.done.items() if runs
        )
        return {'starts': self.starts, 'doubled': self.doubled, 'done': done}


class DemoStore(StoreApplication):
    """The store, and the ledger, as a WSGI application."""

    def __init__(self, ledger: TaskLedger) -> None:
        super().__init__()
        self.ledger = ledger

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        status, answer = self.answer(environ['PATH_INFO'], fields_of(environ))
        return respond(start_response, status, answer)

    def do_ledger(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return what really ran."""
        return 200, self.ledger.report()


class WorkerApplication(WorkerCalls):
    """One worker as a WSGI application."""

    def __init__(self, core: SimWorker, ledger: TaskLedger) -> None:
        super().__init__(core)
        self.ledger = ledger

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one order or look."""
        fields = fields_of(environ)
        task = parse_task_name(fields.get('task', ''))
        if task is not None and 'task_spec' in fields:
            payload = json.decode(fields['task_spec'])
            self.ledger.payloads[task.job] = payload
        expected = environ.get('HTTP_EXPECTED_INSTANCE', '')
        status, answer = self.answer(environ['PATH_INFO'], fields, expected)
        return respond(start_response, status, answer)


class InstancesApplication:
    """The service of instances: each worker's instance stays up."""

    def __init__(self, workers: list[SimWorker]) -> None:
        self.workers = workers

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Return the list; refuse to take an instance away."""
        if environ['REQUEST_METHOD'] != 'GET':
            return respond(start_response, 409, {'reason': 'busy'})
        rows = [
            {
                'machine': f'm-{worker.id}',
                'pool': POOL,
                'state': 'up',
                'labels': list(worker.labels),
                'id': worker.id,
            }
            for worker in self.workers
        ]
        answer = {'machines': rows, 'next_page_token': None}
        return respond(start_response, 200, answer)


CONFIGURATION: dict[str, Any] = {
    'version': 1,
    'routes': [
        {
            'name': 'sheets',
            'host': 'sheets.example',
            'prefix': '/sheets/',
            'service': POOL,
            'timeout_ms': 3000,
            'target_completion_ms': 600,
            'slack_factor': 1.6,
            'max_attempts': 2,
        }
    ],
    'services': [{'name': POOL, 'admission_check': True}],
    'tenants': [{'name': 'sales', 'api_keys': ['demo-key']}],
    'limits': {'max_body_bytes': 262144},
}


class FleetPlatform:
    """All parts of the platform in one process."""

    def __init__(self, worker_count: int, resources: ExitStack) -> None:
        self.ledger = TaskLedger()
        self.store = DemoStore(self.ledger)
        self.workers = [
            SimWorker(
                self.ledger,
                WorkerId(f'worker-{number}'),
                ServiceId(POOL),
                WORKER_CAPACITY,
                ('a', f'rack-{number % 2}'),
                Boot(int(time() * 1000)),
                monotonic(),
            )
            for number in range(worker_count)
        ]
        self.addresses = [
            self.serve(WorkerApplication(worker, self.ledger), resources)
            for worker in self.workers
        ]
        self.fleet_address = self.serve(
            InstancesApplication(self.workers), resources
        )
        self.store.write('op/config', CONFIGURATION)
        self.heartbeat()

    def serve(self, application: Any, resources: ExitStack) -> str:
        """Serve an application on its own port; return the address."""
        server = create_server(application, WORKER_THREADS)
        thread = Thread(target=server.serve, daemon=True)
        thread.start()
        resources.callback(server.stop)
        return f'127.0.0.1:{server.bind_addr[1]}'

    def heartbeat(self) -> None:
        """Write every worker's entry."""
        for worker, address in zip(self.workers, self.addresses, strict=True):
            entry = {
                'service': POOL,
                'address': address,
                'zone': 'north',
                'version': 'v1',
                'slots': 8,
                'state': worker.state.value,
                'capacity': {
                    'cpu': worker.capacity.cpu_millis,
                    'memory_request_mb': worker.capacity.memory_mb,
                    'gpu': 0,
                },
                'labels': list(worker.labels),
                'born': worker.boot,
            }
            self.store.write(f'servers/{worker.id}', entry)


def main() -> int:
    """Serve until stopped."""
    with ExitStack() as resources:
        platform = FleetPlatform(int(sys.argv[1]), resources)

        def announce(port: int) -> None:
            line = {
                'port': port,
                'fleet_address': platform.fleet_address,
            }
            print(json.encode(line).decode())

        serve_until_stopped(platform.store, announce, resources)
    return 0


if __name__ == '__main__':
    sys.exit(main())
