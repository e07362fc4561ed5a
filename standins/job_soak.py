"""A soak on the job path: real entry instances, and all that may go wrong.

Usage: ``python -m standins.job_soak [--seconds N] [--seed N]``. It prints
each fault, the verdict on each condition, and as its last line the counts
as JSON. It exits with 1 when a condition was broken or a process of ours
ended by itself; then the evidence and the logs are kept with ``--keep``.
"""

from collections import Counter
from contextlib import ExitStack
from contextlib import nullcontext
from pathlib import Path
from shutil import copytree
from signal import signal
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from typing import Any
from typing import Final

import click
from msgspec import DecodeError
from msgspec import json

from standins.job_soak_builds import BuildReplacer
from standins.job_soak_disturber import Disturber
from standins.job_soak_events import FAULTS
from standins.job_soak_fleet import JobFleet
from standins.job_soak_history import History
from standins.job_soak_history import read_history
from standins.job_soak_judge import judge
from standins.job_soak_load import JobLoad
from standins.job_soak_site import create_queues
from standins.job_soak_site import SCALES
from standins.job_soak_verdicts import render
from standins.job_soak_verdicts import Verdict

DEFAULT_SECONDS: Final = 40.0
WARNING: Final = 'WARNING'


@click.command()
@click.option('--seconds', default=DEFAULT_SECONDS, show_default=True)
@click.option('--seed', default=1, show_default=True)
@click.option('--only', default='', help='Names of faults, with commas.')
@click.option('--scale', type=click.Choice(sorted(SCALES)), default='small')
@click.option(
    '--builds',
    default='',
    help='Revisions, or present, that the entry instances run in turn.',
)
@click.option('--rate', default=0.0, help='Jobs a second; 0 for the scale.')
@click.option('--keep', type=Path, help='Folder for what a failure leaves.')
@click.option('--keep-passed', is_flag=True, help='Keep that of others too.')
def main(
    seconds: float,
    seed: int,
    only: str,
    scale: str,
    builds: str,
    rate: float,
    keep: Path | None,
    keep_passed: bool,
) -> None:
    """Run a soak and exit with 1 when a condition was broken."""
    signal(SIGTERM, lambda *_: sys.exit(1))
    names = only.split(',') if only else list(FAULTS)
    unknown = set(names) - set(FAULTS)
    if unknown:
        raise click.BadParameter(f'no such faults: {sorted(unknown)}')
    with TemporaryDirectory() as path:
        folder = Path(path)
        with ExitStack() as resources:
            fleet = JobFleet(resources, folder, SCALES[scale])
            disturber = Disturber(fleet, seed, names)
            replacer: BuildReplacer | None = None
            if builds:
                replacer = BuildReplacer(fleet, builds.split(','), seconds)
                replacer.prepare()
            soak(fleet, disturber, seconds, rate, replacer)
        history = read_history(folder)
        verdicts = judge(history)
        problems = fleet.entries.ended + find_errors(folder)
        print('\n'.join([*render(verdicts), *problems]))
        counts = summarize(history, verdicts, disturber, folder)
        counts['replaced'] = replacer.replaced if replacer else {}
        print(json.encode(counts | {'problems': problems}).decode())
        has_failed = bool(problems or counts['broken'])
        if keep and (has_failed or keep_passed):
            copytree(folder, keep / f'seed-{seed}', dirs_exist_ok=True)
    sys.exit(int(has_failed))


def soak(
    fleet: JobFleet,
    disturber: Disturber,
    seconds: float,
    rate: float,
    replacer: BuildReplacer | None = None,
) -> None:
    """Load and disturb a fleet, and let its jobs end.

    ``replacer`` replaces the builds of its entry instances meanwhile.
    """
    fleet.start()
    load = JobLoad(
        fleet.entries.callers(),
        create_queues(),
        fleet.folder,
        disturber.seed,
        rate or fleet.scale.jobs_per_s,
    )
    with load:
        load.start()
        with replacer or nullcontext():
            disturber.run(seconds)
    fleet.entries.stop_all()


def find_errors(folder: Path) -> list[str]:
    """Return the first words of tracebacks in the logs."""
    return [
        f'{path.name}: {line}'
        for path in sorted(folder.glob('entry-*.log'))
        for line in path.read_text(errors='replace').splitlines()
        if line.startswith('Traceback') or '"unhandled' in line
    ]


def summarize(
    history: History,
    verdicts: dict[str, Verdict],
    disturber: Disturber,
    folder: Path,
) -> dict[str, Any]:
    """Return the run's counts."""
    return {
        'seed': disturber.seed,
        'jobs': len(history.jobs),
        'calls': len(history.calls),
        'runs': len(history.runs),
        'lives': len(history.lives),
        'ends': Counter(run.how or 'running' for run in history.runs),
        'faults': Counter(name for _, name in disturber.struck),
        'not_struck': disturber.problems,
        'warnings': count_warnings(folder),
        'tested': sum(verdict.tested for verdict in verdicts.values()),
        'broken': {
            text: verdict.broken
            for text, verdict in verdicts.items()
            if verdict.broken
        },
    }


def count_warnings(folder: Path) -> dict[str, int]:
    """Return how often each event was logged as a warning or worse."""
    counts = Counter[str]()
    for path in folder.glob('entry-*.log'):
        for line in path.read_bytes().splitlines():
            try:
                fields = json.decode(line, type=dict[str, Any])
            except DecodeError:
                continue
            if fields.get('level') not in ('DEBUG', 'INFO'):
                counts[f'{fields.get("event")} {fields.get("name")}'] += 1
    return dict(sorted(counts.items()))


if __name__ == '__main__':
    main()
