"""A small platform for jobs: store, workers and instances over HTTP.

Usage: ``python -m standins.fleet_platform WORKERS``. It prints one JSON
line with the addresses, and serves until SIGTERM. A task's payload says
what it does: ``{"seconds": 0.5, "fails": false}``; every task takes one
core. ``GET /-/ledger`` at the store's address tells what really ran.
"""

from base64 import b64decode
from base64 import b64encode
import collections
from collections.abc import Callable
from collections.abc import Iterable
from contextlib import ExitStack
import sys
from threading import Condition
from threading import Thread
from time import monotonic
from time import sleep
from time import time
from typing import Any
from urllib.parse import parse_qsl

from msgspec import json

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import ConflictError
from primroseledge.ids import Boot
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.actions import EndKind
from primroseledge.jobs.actions import Order
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import PollFailed
from primroseledge.jobs.actions import SendPoll
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import SendThrottle
from primroseledge.jobs.actions import Target
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.task import TaskKey
from primroseledge.platform.wire_names import END_KINDS
from primroseledge.platform.wire_names import format_task_name
from primroseledge.platform.wire_names import parse_task_name
from primroseledge.platform.worker_client import RESULT_BY_REASON
from standins.http_app import create_server
from standins.http_app import serve_until_stopped
from standins.storage_core import SimStorage
from standins.worker_core import SimWorker

POOL = 'copper'
HEARTBEAT_S = 0.5
LOOK_STEP_S = 0.02
WORKER_THREADS = 16
TASK_RESOURCES = Resources(1000, 100, 0)
WORKER_CAPACITY = Resources(8000, 32000, 0)

END_NAMES = {kind: name for name, kind in END_KINDS.items()}
REASON_NAMES = {result: name for name, result in RESULT_BY_REASON.items()}
STATUS_OF = {
    OrderResult.DONE: 200,
    OrderResult.OTHER_BOOT: 421,
    OrderResult.INVALID: 400,
}
StartResponse = Callable[[str, list[tuple[str, str]]], Any]
Reply = tuple[int, dict[str, Any]]


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


class StoreApplication:
    """The store, and the ledger, as a WSGI application."""

    def __init__(self, ledger: TaskLedger) -> None:
        self.ledger = ledger
        self.changed = Condition()
        self.storage = SimStorage(monotonic)
        self.storage.listeners.append(self.note_change)
        self.history: list[Item] = []
        self.next_lease = 1000

    def note_change(self, item: Item) -> None:
        """Keep a change for watches."""
        self.history.append(item)
        self.changed.notify_all()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one call."""
        path = str(environ['PATH_INFO'])
        name, _, argument = path.removeprefix('/-/').partition('/')
        with self.changed:
            self.storage.expire()
            handler = getattr(self, 'do_' + name.replace('-', '_'))
            status, answer = handler(read_fields(environ), argument)
        return respond(start_response, status, answer)

    def do_ledger(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return what really ran."""
        return 200, self.ledger.report()

    def do_kv_key(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return one item."""
        item = self.storage.items.get(fields['key'])
        return (404, {}) if item is None else (200, render(item))

    def do_kv_range(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return the items under a prefix."""
        prefix = fields['prefix']
        items = [
            render(self.storage.items[key])
            for key in sorted(self.storage.items)
            if key.startswith(prefix)
        ]
        at = self.storage.revision
        return 200, {'items': items, 'at': at, 'has_more': False}

    def do_kv_watch(self, fields: dict[str, Any], argument: str) -> Reply:
        """Wait for changes under a prefix."""
        until = monotonic() + int(fields['wait_ms']) / 1000
        while True:
            self.storage.expire()
            events = [
                render(item)
                for item in self.history
                if item.revision > int(fields['after'])
                and item.key.startswith(fields['prefix'])
            ]
            left_s = until - monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.storage.revision}
            self.changed.wait(min(0.1, left_s))

    def do_kv_txn(self, fields: dict[str, Any], argument: str) -> Reply:
        """Carry a transaction out."""
        transaction = Transaction(
            {
                row['key']: Revision(row['revision'])
                for row in fields.get('expect', [])
            },
            tuple(
                Put(
                    row['key'],
                    b64decode(row['value']),
                    LeaseId(row.get('lease', 0)),
                )
                for row in fields.get('put', [])
            ),
            tuple(fields.get('remove', [])),
        )
        try:
            return 200, {'revision': self.storage.commit(transaction)}
        except ConflictError:
            return 412, {'items': []}
        except LeaseEndedError:
            return 404, {}

    def do_kv_lease(self, fields: dict[str, Any], argument: str) -> Reply:
        """Begin a lease."""
        self.next_lease += 1
        lease = LeaseId(self.next_lease)
        ttl_s = fields['ttl_ms'] / 1000
        self.storage.leases[lease] = (monotonic() + ttl_s, ttl_s)
        return 200, {'lease': lease, 'ttl_ms': fields['ttl_ms']}

    def do_kv_keep(self, fields: dict[str, Any], argument: str) -> Reply:
        """Renew a lease."""
        lease = LeaseId(int(argument))
        held = self.storage.leases.get(lease)
        if held is None:
            return 404, {}
        self.storage.leases[lease] = (monotonic() + held[1], held[1])
        return 200, {'ttl_ms': int(held[1] * 1000)}

    def write(self, key: str, value: dict[str, Any]) -> None:
        """Write a key as an operator or a worker does."""
        with self.changed:
            self.storage.revision += 1
            self.storage.put(key, json.encode(value), LeaseId(0))


class WorkerApplication:
    """One worker as a WSGI application."""

    def __init__(self, core: SimWorker, ledger: TaskLedger) -> None:
        self.core = core
        self.ledger = ledger
        self.changed = Condition()

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one order or look."""
        fields = read_fields(environ)
        expected = environ.get('HTTP_EXPECTED_INSTANCE', self.core.id)
        target = Target(WorkerId(expected), self.core.boot, '')
        path = str(environ['PATH_INFO'])
        if path == '/-/hold':
            status, answer = self.look(fields, target)
        else:
            status, answer = self.order(path, fields, target)
        return respond(start_response, status, answer)

    def order(
        self, path: str, fields: dict[str, Any], target: Target
    ) -> Reply:
        """Carry an order out."""
        task = parse_task_name(fields['task'])
        if task is None:
            return 400, {}
        order: Order
        if path == '/-/run-start':
            payload = fields['task_spec']
            self.ledger.payloads[task.job] = json.decode(payload)
            deadline_ms = fields['deadline_ms']
            order = SendStart(
                target, task, fields['run'], payload, '', deadline_ms
            )
        elif path == '/-/run-stop':
            order = SendStop(target, task, fields['run'])
        else:
            percent = fields['percentage']
            order = SendThrottle(target, task, fields['run'], percent)
        with self.changed:
            now = monotonic()
            result = self.core.obey(order, fields['fencing_token'], now)
            answer: dict[str, Any] = {'clock_ms': self.core.clock_ms(now)}
        status = STATUS_OF.get(result, 409)
        if status == 409:
            answer['reason'] = REASON_NAMES[result]
        return status, answer

    def look(self, fields: dict[str, Any], target: Target) -> Reply:
        """Renew the lease and return the lists, once there is an end."""
        look = SendPoll(
            target, fields.get('deadline_ms'), fields['last_seen'], 0.0
        )
        until = monotonic() + fields.get('wait_ms', 0) / 1000
        epoch = fields['fencing_token']
        while True:
            with self.changed:
                now = monotonic()
                seen = self.core.look(look, epoch, now, now)
            if isinstance(seen, PollFailed):
                status = STATUS_OF.get(seen.result, 409)
                return status, {
                    'clock_ms': self.core.clock_ms(now),
                    'reason': REASON_NAMES.get(seen.result, ''),
                }
            if seen.ends or now >= until:
                break
            sleep(LOOK_STEP_S)
        return 200, {
            'clock_ms': seen.clock_ms,
            'born': seen.boot,
            'running': [
                [
                    format_task_name(r.task),
                    r.run_number,
                    r.checkpoint,
                    r.progress_percent,
                    r.reported_load,
                ]
                for r in seen.running
            ],
            'finished': [
                [
                    e.number,
                    format_task_name(e.task),
                    e.run_number,
                    END_NAMES[e.kind],
                    e.checkpoint,
                ]
                for e in seen.ends
            ],
        }


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


def read_fields(environ: dict[str, Any]) -> dict[str, Any]:
    """Return the fields of a call's query or body."""
    if environ['REQUEST_METHOD'] == 'GET':
        return dict(parse_qsl(environ.get('QUERY_STRING', '')))
    length = int(environ.get('CONTENT_LENGTH') or 0)
    fields: dict[str, Any] = json.decode(
        environ['wsgi.input'].read(length) or b'{}'
    )
    return fields


def respond(
    start_response: StartResponse, status: int, answer: dict[str, Any]
) -> Iterable[bytes]:
    """Send an answer as JSON."""
    body = json.encode(answer)
    start_response(
        f'{status} Status',
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
        ],
    )
    return [body]


def render(item: Item) -> dict[str, Any]:
    """Return an item, or a deletion, as the store writes it."""
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {
        'key': item.key,
        'value': b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': 0,
    }


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
        self.store = StoreApplication(self.ledger)
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
