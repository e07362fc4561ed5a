"""One worker as a process, as PROTOCOL.md describes it.

Usage: ``python3 -m review.standins_2.worker OPTIONS``, see ``main``. A job's
payload is JSON and says what each of its tasks needs: ``cpu`` and ``memory``,
``seconds`` of work (null: it lasts until it is stopped), and ``ticket`` if
its queue has an advisory service. What the worker sees is appended to a file,
a line of JSON each, with one write. While there is a file EVIDENCE.fails.ID
beside that, the worker fails all that it starts.
"""

from argparse import ArgumentParser
from argparse import Namespace
from dataclasses import dataclass
import http.client
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
import json
import os
from threading import Condition
from threading import Thread
import time
from typing import Any

HEARTBEAT_S = 1.5
STARTUP_S = 0.3
STOP_S = 0.05
FAIL_S = 0.05
STEP_S = 0.02
MAX_ENDS = 500

Reply = tuple[int, dict[str, Any]]


@dataclass
class Run:
    """A run; without ``ends_at`` it lasts."""

    task: str
    number: int
    needs: dict[str, Any]
    begun_at: float
    ends_at: float | None
    how: str = 'done'

    def percent(self, now: float) -> int:
        """Return the progress."""
        age_s = now - self.begun_at
        if self.ends_at is None:
            return 100 if age_s > STARTUP_S else 0
        total_s = max(0.001, self.ends_at - self.begun_at)
        return max(0, min(99, int(100 * age_s / total_s)))


class Worker:
    """The state of one boot."""

    def __init__(self, options: Namespace) -> None:
        self.options = options
        self.born = int(time.time() * 1000)
        self.born_at = time.monotonic()
        self.changed = Condition()
        self.fence = 0
        self.deadline_ms = 0
        self.runs: dict[str, Run] = {}
        self.over: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.evidence = os.open(options.evidence, flags)
        self.note('born')

    def note(self, what: str, **fields: Any) -> None:
        """Append what was seen; times are those of the steady clock."""
        line = {
            'at': round(time.monotonic(), 3),
            'worker': self.options.id,
            'born': self.born,
            'what': what,
            **fields,
        }
        os.write(self.evidence, json.dumps(line).encode() + b'\n')

    def clock_ms(self) -> int:
        """Return the time on the worker's own clock."""
        return int((time.monotonic() - self.born_at) * 1000)

    def advance(self) -> None:
        """End the runs that are over, and all whose lease is."""
        now = time.monotonic()
        for run in list(self.runs.values()):
            if run.ends_at is not None and run.ends_at <= now:
                self.end(run, run.how)
        if self.runs and self.clock_ms() > self.deadline_ms:
            for run in list(self.runs.values()):
                self.end(run, 'lapsed')

    def end(self, run: Run, how: str) -> None:
        """List the end of a run."""
        del self.runs[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how, ''])
        self.note('end', task=run.task, run=run.number, how=how)
        self.changed.notify_all()

    def extend(self, deadline_ms: int | None) -> None:
        """Lengthen the lease, up to the longest that is granted."""
        if deadline_ms is not None:
            longest_ms = self.clock_ms() + self.options.hold_ms
            granted_ms = min(deadline_ms, longest_ms)
            self.deadline_ms = max(self.deadline_ms, granted_ms)

    def used(self, what: str) -> int:
        """Return what the runs use of a resource."""
        return sum(int(run.needs[what]) for run in self.runs.values())

    def has_room(self, needs: dict[str, Any]) -> bool:
        """Return whether one more task fits."""
        cpu = self.used('cpu') + int(needs['cpu'])
        memory = self.used('memory') + int(needs['memory'])
        return cpu <= self.options.cpu and memory <= self.options.memory

    def has_ticket(self, fields: dict[str, Any]) -> bool:
        """Return whether a start carries a valid ticket of the service."""
        step = fields['task'].rpartition('.')[0]
        worker, _, rest = str(fields.get('ticket', '')).partition('/')
        named_step, _, until = rest.partition('/')
        if (worker, named_step) != (self.options.id, step):
            return False
        return time.monotonic() <= float(until)

    def answer(self, path: str, fields: dict[str, Any]) -> Reply:
        """Answer a call that was meant for this worker."""
        with self.changed:
            if int(fields.get('fencing_token', 0)) < self.fence:
                return self.refuse('fence')
            self.fence = int(fields.get('fencing_token', 0))
            self.advance()
            if path == '/-/hold':
                return self.hold(fields)
            if path == '/-/run-start':
                return self.start(fields)
            if path == '/-/run-stop':
                return self.stop(fields)
            if path == '/-/pace':
                return 200, {'clock_ms': self.clock_ms()}
        return 400, {'clock_ms': self.clock_ms()}

    def refuse(self, reason: str) -> Reply:
        """Return a refusal."""
        return 409, {'clock_ms': self.clock_ms(), 'reason': reason}

    def hold(self, fields: dict[str, Any]) -> Reply:
        """Renew the lease, and return the lists once there is an end."""
        self.extend(fields.get('deadline_ms'))
        seen = int(fields.get('last_seen', 0))
        noted = [end[1:3] for end in self.ends if end[0] <= seen]
        if noted:
            self.note('acknowledged', runs=noted)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = time.monotonic() + int(fields.get('wait_ms', 0)) / 1000
        while not self.ends and time.monotonic() < until:
            self.changed.wait(STEP_S)
            self.advance()
        now = time.monotonic()
        running = [
            [run.task, run.number, '', run.percent(now), 0]
            for run in self.runs.values()
        ]
        return 200, {
            'clock_ms': self.clock_ms(),
            'born': self.born,
            'running': running,
            'finished': self.ends[:MAX_ENDS],
        }

    def start(self, fields: dict[str, Any]) -> Reply:
        """Start a run, or say why not."""
        task, number = fields['task'], int(fields['run'])
        run = self.runs.get(task)
        if run is not None and run.number == number:
            return 200, {'clock_ms': self.clock_ms()}
        if int(fields['deadline_ms']) <= self.clock_ms():
            return self.refuse('late')
        self.extend(int(fields['deadline_ms']))
        if run is not None or number <= self.over.get(task, 0):
            return self.refuse('old')
        needs = json.loads(fields['task_spec'])
        if not self.has_room(needs):
            return self.refuse('room')
        if needs.get('ticket') and not self.has_ticket(fields):
            return self.refuse('ticket')
        now = time.monotonic()
        seconds = needs['seconds']
        ends_at = None if seconds is None else now + float(seconds)
        run = Run(task, number, needs, now, ends_at)
        if os.path.exists(f'{self.options.evidence}.fails.{self.options.id}'):
            run.ends_at, run.how = now + FAIL_S, 'failed'
        self.runs[task] = run
        self.note('start', task=task, run=number, fence=self.fence)
        return 200, {'clock_ms': self.clock_ms()}

    def stop(self, fields: dict[str, Any]) -> Reply:
        """Stop a run, soon; one that isn't there won't start any more."""
        task, number = fields['task'], int(fields['run'])
        self.over[task] = max(self.over.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            run.ends_at = time.monotonic() + STOP_S
            run.how = 'stopped'
        self.note('stop', task=task, run=number)
        return 200, {'clock_ms': self.clock_ms()}

    def entry(self) -> dict[str, Any]:
        """Return what the worker says of itself in the store."""
        options = self.options
        return {
            'service': options.pool,
            'address': options.advertised or f'127.0.0.1:{options.port}',
            'zone': options.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'capacity': {
                'cpu': options.cpu,
                'memory_request_mb': options.memory,
                'gpu': 0,
            },
            'labels': options.labels.split(','),
            'born': self.born,
        }

    def run_heartbeats(self) -> None:
        """Write the entry at each interval."""
        while True:
            key = f'servers/{self.options.id}'
            body = json.dumps({'key': key, 'value': self.entry()})
            try:
                host, _, port = self.options.store.rpartition(':')
                link = http.client.HTTPConnection(host, int(port), timeout=1)
                link.request('POST', '/-/entry', body)
                link.getresponse().read()
                link.close()
                time.sleep(HEARTBEAT_S)
            except OSError:
                time.sleep(STEP_S)

    def run_timers(self) -> None:
        """End runs in time, also without calls."""
        while True:
            time.sleep(STEP_S)
            with self.changed:
                self.advance()


class Handler(BaseHTTPRequestHandler):
    """Reads calls and answers them."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    worker: Worker

    def do_POST(self) -> None:
        """Answer one call."""
        length = int(self.headers.get('Content-Length') or 0)
        fields = json.loads(self.rfile.read(length) or b'{}')
        expected = self.headers.get('Expected-Instance', '')
        if expected and expected != self.worker.options.id:
            status, answer = 421, dict[str, Any]()
        else:
            status, answer = self.worker.answer(self.path, fields)
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        """Log nothing."""


class Server(ThreadingHTTPServer):
    """Serves each connection with a thread."""

    request_queue_size = 128
    daemon_threads = True


def main() -> None:
    """Serve until the process is ended."""
    parser = ArgumentParser()
    for name in ('id', 'pool', 'labels', 'store', 'evidence'):
        parser.add_argument(f'--{name}', required=True)
    parser.add_argument('--zone', default='north-1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--advertised', default='')
    parser.add_argument('--cpu', type=int, default=16000)
    parser.add_argument('--memory', type=int, default=65536)
    parser.add_argument('--hold-ms', type=int, default=6000)
    worker = Worker(parser.parse_args())
    Handler.worker = worker
    server = Server(('127.0.0.1', worker.options.port), Handler)
    for target in (worker.run_heartbeats, worker.run_timers):
        Thread(target=target, daemon=True).start()
    server.serve_forever(0.05)


if __name__ == '__main__':
    main()
