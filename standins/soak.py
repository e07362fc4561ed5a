"""A soak run: a fleet under load while everything goes wrong in turn.

Usage: ``python -m standins.soak [--seconds N] [--seed N]``. The
upstreams' ledgers decide. Prints each condition with how often it was
tested and broken, and as its last line the counts as JSON. Exits with
1 when a condition was broken.
"""

from collections import Counter
from contextlib import ExitStack
from pathlib import Path
from random import Random
from signal import signal
from signal import SIGTERM
from statistics import quantiles
import sys
from tempfile import TemporaryDirectory
from typing import Any
from typing import Final

import click
from msgspec import json

from standins.caller import Told
from standins.soak_events import Disturber
from standins.soak_events import EVENTS
from standins.soak_fleet import Fleet
from standins.soak_judge import Evidence
from standins.soak_judge import judge
from standins.soak_judge import Verdict
from standins.soak_load import Load

DEFAULT_SECONDS: Final = 180.0


@click.command()
@click.option('--seconds', default=DEFAULT_SECONDS, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--only', default='', help='Names of events, with commas.')
def main(seconds: float, seed: int, only: str) -> None:
    """Run a soak and exit with 1 when a condition was broken."""
    signal(SIGTERM, lambda *_: sys.exit(1))
    for name in set(EVENTS) - set(only.split(',')) if only else ():
        del EVENTS[name]
    with ExitStack() as resources:
        folder = Path(resources.enter_context(TemporaryDirectory()))
        evidence = soak(Fleet(resources, folder), seconds, seed)
    verdicts = judge(evidence)
    for text, verdict in verdicts.items():
        report(text, verdict)
    print(json.encode(summary(evidence, verdicts, seed)).decode(), flush=True)
    sys.exit(int(any(verdict.broken for verdict in verdicts.values())))


def soak(fleet: Fleet, seconds: float, seed: int) -> Evidence:
    """Load and disturb a fleet; return the evidence."""
    fleet.configure()
    load = Load(fleet, seed)
    disturber = Disturber(fleet, load, Random(seed))
    load.run(lambda: disturber.run(seconds))
    return Evidence(load, disturber.record, fleet.ledgers())


def report(text: str, verdict: Verdict) -> None:
    """Print the verdict on one condition."""
    if verdict.tested:
        print(f'{text}: tested {verdict.tested}, broken {verdict.broken}')
    else:
        print(f'{text}: not tested')
    for example in verdict.examples:
        print(f'  {example}')


def summary(
    evidence: Evidence, verdicts: dict[str, Verdict], seed: int
) -> dict[str, Any]:
    """Return the run's counts."""
    requests = evidence.load.requests
    good = [request for request in requests if request.team]
    told = Counter(request.sent.told for request in good)
    waits = [
        request.sent.ended_at - request.sent.began_at
        for request in good
        if request.sent.told is Told.ANSWERED
    ]
    cuts = quantiles(waits, n=100) if len(waits) > 1 else [0.0] * 99
    return {
        'seed': seed,
        'sent': len(requests),
        'told': {item.value: told[item] for item in Told},
        'reasons': Counter(
            request.sent.reason
            for request in good
            if request.sent.told is not Told.ANSWERED
        ),
        'executions': len(evidence.executions),
        'events': Counter(name for _, name in evidence.record.events),
        'answered_p50_s': round(cuts[49], 3),
        'answered_p99_s': round(cuts[98], 3),
        'tested': sum(verdict.tested for verdict in verdicts.values()),
        'broken': {
            text: verdict.broken
            for text, verdict in verdicts.items()
            if verdict.broken
        },
    }


if __name__ == '__main__':
    main()
