"""One worker as a process of its own, with a control port.

A life of the worker serves at a fixed port. ``POST /-/life`` at the control
port ends it, begins another one, or does both with a gap between; the calls
of ``worker_application`` say what a life answers. What it saw is appended
to a file of evidence.
"""

from pathlib import Path
from random import Random
from threading import Event
from threading import RLock
from threading import Thread
from time import sleep
from time import time
from typing import Any
from typing import Final

import click
from msgspec import convert
from msgspec import json
from msgspec import Struct

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from primroseledge.ids import Boot
from primroseledge.workers.worker import WorkerState
from standins.call_server import Call
from standins.call_server import CallServer
from standins.call_server import Reply
from standins.job_evidence import CRASH_S
from standins.job_evidence import CRASHED
from standins.job_evidence import EvidenceFile
from standins.job_life import Life
from standins.job_life import Options
from standins.job_process import serve_until_signal

HEARTBEAT_S: Final = 1.5
HEARTBEAT_RETRY_S: Final = 0.2
CALL_TIMEOUT_S: Final = 1.0
MAX_CLOCK_ERROR_MS: Final = 2500
"""Largest error in ms of a worker's time of day as it starts."""

STOP_S: Final = (0.02, 0.15)
"""In seconds; the least and the longest time that a stop takes."""


class LifeChange(Struct, frozen=True):
    """An order to a worker's control port.

    ``end`` says why the life ends; empty if it goes on. It drains for
    ``drain_s`` before. Another one begins after ``begin_after_s``, unless
    that is None, under ``id`` and in ``pool``, if they are given. Its entry
    follows ``entry_after_s`` later. With ``cpu_millis`` only the capacity of
    the life changes.
    """

    end: str = ''
    drain_s: float = 0.0
    begin_after_s: float | None = None
    id: str = ''
    pool: str = ''
    entry_after_s: float = 0.0
    cpu_millis: int | None = None


class JobWorker:
    """The lives of one worker, one after another."""

    def __init__(
        self, options: Options, worker: str, pool: str, evidence: Path
    ) -> None:
        self.options = options
        self.worker = worker
        self.pool = pool
        self.file = EvidenceFile(evidence)
        self.random = Random(worker)
        self.lock = RLock()
        self.life: Life | None = None
        self.entry_at = 0.0
        self.boot = 0
        self.changes = 0
        self.is_beginning = False
        self.beat_now = Event()
        self.store = HttpClient(options.store)

    def next_boot(self) -> int:
        """Return the time of day of a start; the clock may have been set."""
        boot = int(time() * 1000)
        boot += self.random.randint(-MAX_CLOCK_ERROR_MS, MAX_CLOCK_ERROR_MS)
        return boot + 1 if boot == self.boot else boot

    def begin(self, entry_after_s: float = 0.0) -> None:
        """Begin a life."""
        with self.lock:
            self.boot = self.next_boot()
            self.life = Life(
                self.options,
                self.worker,
                self.pool,
                self.boot,
                self.file,
                lambda: self.random.uniform(*STOP_S),
                self.crash,
            )
            self.entry_at = boot_time() + entry_after_s
        self.beat_now.set()

    def end(self, how: str) -> None:
        """End the life, if there is one."""
        with self.lock:
            life, self.life = self.life, None
            if life is not None:
                life.end(how)

    def crash(self, boot: Boot) -> None:
        """Crash as a task made it, and begin another life after a while."""
        if self.life is not None and self.boot == boot:
            gap_s = self.random.uniform(*CRASH_S)
            self.change(LifeChange(end=CRASHED, begin_after_s=gap_s))

    def resize(self, cpu_millis: int) -> None:
        """Change the capacity of the life, and say so at once."""
        with self.lock:
            if self.life is not None:
                self.life.resize(cpu_millis)
        self.beat_now.set()

    def serve_control(self, call: Call) -> Reply:
        """Change the life, or tell about it."""
        if call.method == 'POST':
            change = convert(call.fields, LifeChange)
            if change.cpu_millis is not None:
                self.resize(change.cpu_millis)
            elif change.begin_after_s is None:
                self.change(change)
            else:
                Thread(target=self.change, args=(change,)).start()
        life = self.life
        runs = len(life.core.runs) if life else 0
        return 200, {
            'id': self.worker,
            'pool': self.pool,
            'boot': self.boot,
            'is_up': life is not None,
            'is_beginning': self.is_beginning,
            'runs': runs,
        }

    def change(self, change: LifeChange) -> None:
        """Carry out what the control port was told.

        A life that isn't there doesn't start again, and one that was ended
        again meanwhile doesn't begin.
        """
        with self.lock:
            is_restart = change.end and change.begin_after_s is not None
            if is_restart and self.life is None:
                return
            self.changes += 1
            number = self.changes
        if change.drain_s:
            self.drain(change.drain_s)
        if change.end:
            self.end(change.end)
        if change.begin_after_s is None:
            return
        self.is_beginning = True
        sleep(change.begin_after_s)
        with self.lock:
            self.is_beginning = False
            if number != self.changes:
                return
            self.end('replaced')
            self.worker = change.id or self.worker
            self.pool = change.pool or self.pool
            self.begin(change.entry_after_s)

    def drain(self, seconds: float) -> None:
        """Announce that the life will end, and wait so long."""
        if self.life is not None:
            self.life.drain()
        self.beat_now.set()
        sleep(seconds)

    def run_heartbeats(self) -> None:
        """Write the entry at each interval, and when a life begins."""
        next_at = 0.0
        while True:
            self.beat_now.wait(0.05)
            if self.beat_now.is_set():
                self.beat_now.clear()
                next_at = 0.0
            now = boot_time()
            if self.life is None or now < max(next_at, self.entry_at):
                continue
            took = self.beat()
            next_at = now + (HEARTBEAT_S if took else HEARTBEAT_RETRY_S)

    def beat(self) -> bool:
        """Write the entry; tell whether the store took it."""
        body = {'key': f'servers/{self.worker}', 'value': self.entry()}
        try:
            answer = self.store.call(
                'POST', '/-/entry', json.encode(body), CALL_TIMEOUT_S
            )
        except (NotSentError, NoAnswerError):
            return False
        return answer.status == 200

    def entry(self) -> dict[str, Any]:
        """Return the worker's entry."""
        options, life = self.options, self.life
        state = WorkerState.READY if life is None else life.core.state
        return {
            'service': self.pool,
            'address': options.advertised,
            'zone': 'north',
            'version': 'v1',
            'slots': 8,
            'state': state.value,
            'capacity': {
                'cpu': life.core.capacity.cpu_millis if life else 0,
                'memory_request_mb': options.memory_mb,
                'gpu': 0,
            },
            'labels': ['a', options.rack],
            'born': self.boot,
        }


@click.command()
@click.option('--id', 'worker', required=True)
@click.option('--machine', required=True)
@click.option('--pool', required=True)
@click.option('--rack', default='rack-0')
@click.option('--port', type=int, required=True)
@click.option('--control-port', type=int, required=True)
@click.option('--advertised', default='', help='Address in the entry.')
@click.option('--cpu', default=8000)
@click.option('--memory', default=32000)
@click.option('--rate', default=1.0, help="Speed of the worker's clock.")
@click.option('--store', required=True)
@click.option('--evidence', type=Path, required=True)
@click.option('--unguarded', default='', help='Pool that checks no room.')
@click.option('--asleep', is_flag=True, help='Begin without a life.')
def main(worker: str, pool: str, evidence: Path, **others: Any) -> None:
    """Serve until stopped."""
    options = Options(
        others['machine'],
        others['rack'],
        others['port'],
        others['advertised'] or f'127.0.0.1:{others["port"]}',
        others['cpu'],
        others['memory'],
        others['rate'],
        others['store'],
        others['unguarded'],
    )
    process = JobWorker(options, worker, pool, evidence)
    if not others['asleep']:
        process.begin()
    Thread(target=process.run_heartbeats, daemon=True).start()
    CallServer(process.serve_control, others['control_port'])
    serve_until_signal(json.encode({'port': others['port']}).decode())
    process.end('left')


if __name__ == '__main__':
    main()
