"""Jobs through real entry instances, with the owner killed midway.

Three processes serve callers on loopback in front of a stand-in of the
platform. Jobs of several kinds are handed in; what callers were told is
compared with what the workers ran.
"""

from base64 import b64decode
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from subprocess import Popen
from tempfile import TemporaryDirectory
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json
from msgspec import msgpack

from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.processes import free_port
from standins.processes import start_on_platform
from standins.processes import start_standin

ENTRIES: Final = 3
WORKERS: Final = 4
JOBS: Final = 24
KILL_AFTER: Final = 10
FINISH_S: Final = 40.0
CALL_TIMEOUT_S: Final = 3.0
HEADERS: Final = {'Host': 'sheets.example', 'X-Api-Key': 'demo-key'}


@dataclass
class HandedIn:
    """A job of the demo and what its caller was told."""

    id: str
    kind: str
    task_count: int
    is_accepted: bool = False
    state: str = ''


@dataclass
class JobsDemo:
    """The processes of the demo and its callers."""

    resources: ExitStack
    folder: Path
    jobs: list[HandedIn] = field(default_factory=list)
    entries: dict[str, Popen[bytes]] = field(default_factory=dict)
    clients: list[HttpClient] = field(default_factory=list)

    def start(self) -> None:
        """Start the platform's stand-in and the entry instances."""
        process, port = start_standin(
            self.resources, 'standins.fleet_platform', str(WORKERS)
        )
        self.store = HttpClient(f'127.0.0.1:{port}')
        self.resources.callback(self.store.close)
        for number in range(ENTRIES):
            self.start_entry(f'entry-{number}', f'127.0.0.1:{port}')
        self.wait_until(self.find_owner, 15.0)

    def start_entry(self, name: str, store: str) -> None:
        """Start one entry instance."""
        caller = f'127.0.0.1:{free_port()}'
        settings = {
            'entry_id': name,
            'zone': 'north',
            'caller_address': caller,
            'ready_address': f'127.0.0.1:{free_port()}',
            'peer_address': f'127.0.0.1:{free_port()}',
            'store_address': store,
            'fleet_address': store,
        }
        with (self.folder / f'{name}.log').open('wb') as log:
            process = start_on_platform(
                self.resources, settings, self.folder, log.fileno()
            )
        self.entries[name] = process
        client = HttpClient(caller)
        self.resources.callback(client.close)
        self.clients.append(client)

    def find_owner(self) -> str:
        """Return the owner's name, or an empty text."""
        answer = self.store.call('GET', '/-/kv-key?key=owner/record', None, 2)
        if answer.status != 200:
            return ''
        value = b64decode(json.decode(answer.body)['value'])
        return str(msgpack.decode(value)[1])

    def wait_until(self, check: Any, limit_s: float) -> bool:
        """Wait for something; tell whether it came in time."""
        until = monotonic() + limit_s
        while monotonic() < until:
            if check():
                return True
            sleep(0.05)
        return False

    def call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> tuple[int, dict[str, Any]]:
        """Call one entry instance after another until one answers."""
        data = None if body is None else json.encode(body)
        for attempt in range(3 * ENTRIES):
            client = self.clients[attempt % len(self.clients)]
            try:
                answer = client.call(
                    method, path, data, CALL_TIMEOUT_S, HEADERS
                )
            except (NotSentError, NoAnswerError):
                continue
            if answer.status not in (502, 503, 504):
                return answer.status, json.decode(answer.body or b'{}')
            sleep(0.3)
        return 0, {}

    def hand_in(self, number: int) -> None:
        """Hand one job in; every sixth is of a special kind."""
        kinds = ('steps', 'gang', 'lasting', 'cancelled', 'hopeless', 'steps')
        kind = kinds[number % len(kinds)]
        payload: dict[str, Any] = {'seconds': 0.4, 'fails': kind == 'hopeless'}
        step: dict[str, Any] = {
            'count': 2,
            'cpu': 1000,
            'memory_request_mb': 100,
            'estimated_duration_ms': 400,
        }
        if kind == 'gang':
            step['gang'] = True
        if kind == 'lasting':
            step['long_running'] = True
            payload['seconds'] = None
        steps = [step]
        if kind == 'steps':
            steps.append({**step, 'after': [0]})
        job = HandedIn(f'{number:016x}', kind, 2 * len(steps))
        body = {'task_spec': json.encode(payload).decode(), 'steps': steps}
        status, _ = self.call('POST', f'/sheets/{job.id}', body)
        job.is_accepted = status == 200
        self.jobs.append(job)
        if kind == 'cancelled':
            self.call('DELETE', f'/sheets/{job.id}')

    def ask(self, job: HandedIn) -> str:
        """Return what a caller is told of a job."""
        status, body = self.call('GET', f'/sheets/{job.id}')
        job.state = str(body.get('state', f'status {status}'))
        return job.state

    def kill_owner(self) -> None:
        """Kill the owner's process."""
        owner = self.find_owner()
        print(f'killing the owner {owner}', flush=True)
        self.entries[owner].kill()

    def finish(self) -> None:
        """Wait until every job has come to its end."""
        wanted = {
            'steps': 'completed',
            'gang': 'completed',
            'lasting': 'running',
            'cancelled': 'cancelled',
            'hopeless': 'failed',
        }

        def all_ended() -> bool:
            return all(self.ask(job) == wanted[job.kind] for job in self.jobs)

        self.wait_until(all_ended, FINISH_S)

    def judge(self) -> dict[str, int]:
        """Compare what callers were told with the workers' ledger."""
        answer = self.store.call('GET', '/-/ledger', None, 2)
        ledger = json.decode(answer.body)
        done = set(ledger['done'])
        completed = [job for job in self.jobs if job.state == 'completed']
        per_job = {
            job.id: sum(name.startswith(f'{job.id}.') for name in done)
            for job in self.jobs
        }
        lost = sum(
            job.task_count - per_job[job.id]
            for job in completed
            if job.kind == 'steps'
        )
        unfinished = [
            job
            for job in self.jobs
            if job.kind in ('steps', 'gang') and job.state != 'completed'
        ]
        lost += sum(job.task_count for job in unfinished if job.is_accepted)
        return {
            'jobs_accepted': sum(job.is_accepted for job in self.jobs),
            'jobs_completed': len(completed),
            'tasks_lost': lost,
            'tasks_doubled': ledger['doubled'],
        }


def run_jobs() -> dict[str, int]:
    """Run the demo of jobs; return its counts."""
    with TemporaryDirectory() as name, ExitStack() as resources:
        demo = JobsDemo(resources, Path(name))
        demo.start()
        for number in range(JOBS):
            if number == KILL_AFTER:
                demo.kill_owner()
            demo.hand_in(number)
        demo.finish()
        return demo.judge()


if __name__ == '__main__':
    print(json.encode(run_jobs()).decode())
