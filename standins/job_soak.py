"""A crude soak on the job path: workers restart in place under their id."""

from contextlib import ExitStack
from pathlib import Path
from random import Random
import sys
from threading import Thread
from time import monotonic
from time import sleep
from typing import Any

import click
from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.job_evidence import EvidenceKind
from standins.job_evidence import read_evidence
from standins.job_evidence import WorkerEvidence
from standins.job_soak_fleet import JobFleet
from standins.job_soak_fleet import POOLS
from standins.job_soak_fleet import SCALES


def submit_jobs(
    fleet: JobFleet, seed: int, until: float, per_s: float
) -> None:
    """Submit short jobs, and two that are long-running."""
    random = Random(seed)
    clients = [
        HttpClient(s['caller_address']) for s in fleet.settings.values()
    ]
    number = 0
    while monotonic() < until:
        number += 1
        pool = random.choice(POOLS)
        needs = {
            'seconds': round(random.uniform(0.3, 2.0), 2),
            'cpu': 1000,
        }
        step: dict[str, Any] = {
            'count': 6,
            'cpu': 1000,
            'memory_request_mb': 100,
            'estimated_duration_ms': int(needs['seconds'] * 1000),
        }
        if number <= 2:
            needs['seconds'] = None  # type: ignore[assignment]
            step['estimated_duration_ms'] = 0
            step['long_running'] = True
        body = {
            'task_spec': json.encode({'steps': [needs]}).decode(),
            'steps': [step],
        }
        path = f'/{pool}/{seed:08x}{number:08x}'
        headers = {'Host': f'{pool}.example', 'X-Api-Key': 'sales-key'}
        for client in random.sample(clients, len(clients)):
            try:
                answer = client.call(
                    'POST', path, json.encode(body), 3.0, headers
                )
            except (NotSentError, NoAnswerError):
                continue
            if answer.status == 200:
                break
            print(path, answer.status, answer.body[:200], flush=True)
            break
        sleep(random.expovariate(per_s))
    for client in clients:
        client.close()


def restart_workers(fleet: JobFleet, seed: int, until: float) -> None:
    """Restart workers in place, one after another."""
    random = Random(seed + 1)
    machines = sorted(fleet.workers)
    while monotonic() < until:
        machine = random.choice(machines)
        began_at = boot_time()
        runs = fleet.life_of(machine)['runs']
        gap_s = random.uniform(0.05, 0.3)
        fleet.change_life(machine, end='crash', begin_after_s=gap_s)
        sleep(gap_s + 0.05)
        fleet.note_fault(f'restart {runs} runs', began_at, machine)
        sleep(random.uniform(0.1, 0.5))


def find_doubles(folder: Path) -> list[str]:
    """Return where two runs of a task were at work at once."""
    lines = [
        line
        for path in sorted(folder.glob('workers-*.jsonl'))
        for line in read_evidence(path, WorkerEvidence)
    ]
    lines.sort(key=lambda line: line.at)
    counts = {kind: 0 for kind in EvidenceKind}
    running: dict[str, dict[tuple[str, int], WorkerEvidence]] = {}
    doubles = list[str]()
    for line in lines:
        counts[line.kind] += 1
        life = (line.worker, line.boot)
        held = running.setdefault(line.task, {})
        if line.kind is EvidenceKind.STARTED:
            for other in held.values():
                doubles.append(
                    f'{line.task} run {other.run} since {other.at:.3f} on '
                    f'{other.worker} {other.boot}, run {line.run} at '
                    f'{line.at:.3f} on {line.worker} {line.boot}'
                )
            held[life] = line
        elif line.kind is EvidenceKind.ENDED:
            held.pop(life, None)
        elif line.kind is EvidenceKind.LIFE_ENDED:
            for others in running.values():
                others.pop(life, None)
    print({kind.value: count for kind, count in counts.items()})
    return doubles


@click.command()
@click.option('--seconds', default=20.0)
@click.option('--seed', default=1)
@click.option('--scale', default='small')
@click.option('--rate', default=4.0)
@click.option('--keep', type=Path, required=True)
def main(
    seconds: float, seed: int, scale: str, rate: float, keep: Path
) -> None:
    """Run, and exit with 1 when a task ran twice."""
    keep.mkdir(parents=True)
    with ExitStack() as resources:
        fleet = JobFleet(resources, keep, SCALES[scale])
        fleet.start()
        print('started, owner', fleet.find_owner(), flush=True)
        until = monotonic() + seconds
        threads = [
            Thread(target=submit_jobs, args=(fleet, seed, until, rate)),
            Thread(target=restart_workers, args=(fleet, seed, until)),
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        sleep(5.0)
        print('owner', fleet.find_owner(), flush=True)
    doubles = find_doubles(keep)
    print(f'{len(doubles)} doubles')
    for double in doubles[:10]:
        print(' ', double)
    sys.exit(1 if doubles else 0)


if __name__ == '__main__':
    main()
