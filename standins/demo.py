"""The demo: a burst of requests through three entry instances.

A key is withdrawn, an upstream drained and an entry instance killed
while the burst runs. The upstreams' own ledgers decide the result,
which is the last line, as JSON. Exits with 1 when a request was lost,
doubled or cut.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack
from pathlib import Path
from signal import signal
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from threading import Event
from threading import Lock
from time import monotonic
from time import sleep
from typing import Any

from msgspec import json

from standins.caller import Sent
from standins.caller import Told
from standins.deployment import Deployment
from standins.jobs_demo import run_jobs
from standins.operator import Operator

ENTRIES = 3
UPSTREAMS = 5

REQUESTS = 500
CALLERS = 80


TIMEOUT_S = 10.0

WITHDRAW_AT = 150
DRAIN_AT = 200
KILL_AT = 250


def main() -> int:
    """Run the demo and return the exit code."""
    signal(SIGTERM, lambda *_: sys.exit(1))
    with ExitStack() as resources:
        folder = Path(resources.enter_context(TemporaryDirectory()))
        deployment = Deployment(resources, folder, ENTRIES, UPSTREAMS)
        result = Demo(deployment).run()
    say('jobs: the same program on a stand-in of the platform')
    result.update(run_jobs())
    print(json.encode(result).decode(), flush=True)
    broken = ('lost', 'doubled', 'cut_by_drain', 'tasks_lost', 'tasks_doubled')
    is_broken = any(result[name] for name in broken)
    return 1 if is_broken or not result['jobs_completed'] else 0


class Demo:
    """The burst on a deployment, and what happens during it."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.finished: list[Sent] = []
        self.lock = Lock()
        self.withdrawn_at = 0.0
        self.last_accepted = 0.0
        self.drained_at = 0.0
        self.is_over = Event()

    def run(self) -> dict[str, Any]:
        """Run the whole demo and return its result."""
        Operator(self.deployment).configure()
        self.deployment.wait_ready()
        say(f'{ENTRIES} entry instances are ready; {REQUESTS} requests')
        with ThreadPoolExecutor(CALLERS + 1) as executor:
            probe = executor.submit(self.probe_old_key)
            burst = [
                executor.submit(self.send, number)
                for number in range(REQUESTS)
            ]
            self.disturb()
            for future in burst:
                future.result()
            sleep(max(0.0, self.withdrawn_at + 3.0 - monotonic()))
            self.is_over.set()
            probe.result()
        return self.judge()

    def send(self, number: int) -> None:
        """Send one request of the burst."""
        keys = (
            self.deployment.key_a,
            self.deployment.key_b,
            self.deployment.key_a,
            self.deployment.key_b,
            self.deployment.key_old,
        )
        key = keys[number % len(keys)]
        sent = self.deployment.caller.send(key, number % 10 != 3, TIMEOUT_S)
        with self.lock:
            self.finished.append(sent)

    def probe_old_key(self) -> None:
        """Use the key that is withdrawn, on every instance in turn."""
        while not self.is_over.is_set():
            began_at = monotonic()
            sent = self.deployment.caller.send(
                self.deployment.key_old, True, TIMEOUT_S
            )
            with self.lock:
                self.finished.append(sent)
                if sent.told is Told.ANSWERED and sent.sends == 1:
                    self.last_accepted = max(self.last_accepted, began_at)

    def disturb(self) -> None:
        """Withdraw a key, drain an upstream and kill an instance."""
        self.wait_for(WITHDRAW_AT)
        say('withdrawing a key of team yards')
        key_id = self.deployment.key_old.partition('.')[0]
        operator = Operator(self.deployment)
        operator.run('key', 'withdraw', 'yards', key_id)
        self.withdrawn_at = monotonic()
        self.wait_for(DRAIN_AT)
        say('draining upstream yard-4')
        operator.run('pool', 'drain', 'yard-4')
        self.drained_at = monotonic()
        self.wait_for(KILL_AT)
        say('killing entry-0')
        self.deployment.entries[0].kill()

    def wait_for(self, count: int) -> None:
        """Wait until so many requests have ended."""
        while True:
            with self.lock:
                if len(self.finished) >= count:
                    return
            sleep(0.01)

    def judge(self) -> dict[str, Any]:
        """Compare what callers were told with the upstreams' ledgers."""
        ledgers = self.deployment.ledgers()
        runs = collections.Counter(
            execution['request_id']
            for ledger in ledgers
            for execution in ledger['executions']
        )
        say(f'reasons: {collections.Counter(s.reason for s in self.finished)}')
        told = collections.Counter(sent.told for sent in self.finished)
        late = [
            execution
            for execution in ledgers[4]['executions']
            if execution['began_at'] > self.drained_at + 3.0
        ]
        return {
            'sent': len(self.finished),
            'answered': told[Told.ANSWERED],
            'refused_not_run': told[Told.NOT_RUN],
            'outcome_unknown': told[Told.UNKNOWN],
            'lost': count_lost(self.finished, runs),
            'doubled': count_doubled(self.finished, runs),
            'key_withdrawn_seconds': round(
                max(0.0, self.last_accepted - self.withdrawn_at), 3
            ),
            'cut_by_drain': ledgers[4]['running'] + len(late),
        }


def count_lost(finished: Iterable[Sent], runs: Mapping[str, int]) -> int:
    """Count requests without an answer or with an untrue one."""
    lost = 0
    for sent in finished:
        said_run = sent.told in (Told.ANSWERED, Told.RAN)
        is_untrue = said_run and not runs[sent.request_id]
        is_false_refusal = (
            sent.told is Told.NOT_RUN
            and not sent.is_idempotent
            and runs[sent.request_id] > 0
        )
        has_none = sent.told is Told.NOTHING
        if is_untrue or is_false_refusal or has_none or not sent.is_whole:
            lost += 1
    return lost


def count_doubled(finished: Iterable[Sent], runs: Mapping[str, int]) -> int:
    """Count non-idempotent requests that ran more than once."""
    return sum(
        not sent.is_idempotent and runs[sent.request_id] > 1
        for sent in finished
    )


def say(text: str) -> None:
    """Tell what the demo does."""
    print(text, flush=True)


if __name__ == '__main__':
    sys.exit(main())
