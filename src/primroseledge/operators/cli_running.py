"""``primroseledge running``: what a system on the platform holds now.

It reads the platform's store, so it works whichever instance is asked,
and while none answers.
"""

import collections
from collections.abc import Iterable
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any
from typing import Final

from click import echo
from click import get_current_context
from click import group
from click import option
from click import pass_obj
from msgspec import json

from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.keys import decode_ledger
from primroseledge.cluster.keys import decode_owner
from primroseledge.cluster.keys import decode_records
from primroseledge.cluster.keys import LEDGER_KEY
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.keys import WAVE_PREFIX
from primroseledge.cluster.stored_records import read_stored_records
from primroseledge.errors import PrimroseledgeError
from primroseledge.errors import StoreError
from primroseledge.exit_codes import code_of
from primroseledge.exit_codes import ExitCode
from primroseledge.ids import ZoneId
from primroseledge.jobs.crash import ISOLATION_CRASHES
from primroseledge.jobs.progress import FINAL_STATES
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import TaskKey
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.operators.workspace_shares import find_workspace_shares
from primroseledge.operators.zone_changes import read_worker_zones
from primroseledge.operators.zone_changes import read_zones
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import decode_worker_entry
from primroseledge.platform.decoding import WORKER_PREFIX
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.store_keys import CONFIGURATION_KEY

Row = dict[str, Any]
ADDRESS_HELP: Final = "HOST:PORT of the platform's store."


@dataclass(frozen=True, slots=True)
class Source:
    """The store that is read, and how rows are printed."""

    address: str
    as_json: bool

    @contextmanager
    def open(self) -> Iterator[FleetStore]:
        """Open the store; a failure ends the command with its code."""
        store = PlatformStore(self.address)
        try:
            yield store
        except StoreError as error:
            echo(f'store {self.address}: {error}', err=True)
            get_current_context().exit(ExitCode.UNREACHABLE)
        except PrimroseledgeError as error:
            echo(str(error), err=True)
            get_current_context().exit(code_of(error))
        finally:
            store.close()

    def show(self, rows: Iterable[Row]) -> None:
        """Print rows as text or as JSON, one a line."""
        for row in rows:
            if self.as_json:
                echo(json.encode(row).decode())
            else:
                echo('  '.join(f'{k}={v}' for k, v in row.items()))


@group()
@option('--store', 'address', required=True, help=ADDRESS_HELP)
@option('--json', 'as_json', is_flag=True, help='One JSON object a line.')
def running(address: str, as_json: bool) -> None:
    """Show jobs, owner, workers, waves and zones of a running system."""
    get_current_context().obj = Source(address, as_json)


@running.command()
@pass_obj
def owner(source: Source) -> None:
    """Show which entry instance decides; code 1 when there is none."""
    with source.open() as store:
        record = store.read(OWNER_KEY)
        ledger = store.read(LEDGER_KEY)
        if record is None:
            echo('no owner', err=True)
            get_current_context().exit(ExitCode.REFUSED)
        view = decode_owner(record)
        written = decode_ledger(ledger).number if ledger else 0
        row = {
            'entry': view.entry,
            'address': view.address,
            'epoch': view.epoch,
            'batches': written,
        }
        source.show([row])


@running.command()
@option('--all', 'has_ended', is_flag=True, help='Also those that ended.')
@pass_obj
def jobs(source: Source, has_ended: bool) -> None:
    """Show the jobs that have not ended, and where their tasks run."""
    with source.open() as store:
        records = read_stored_records(store)
        rows = (
            describe_job(job, records.progress.get(job.id))
            for job in records.accepted.values()
        )
        final = {state.value for state in FINAL_STATES}
        source.show(r for r in rows if has_ended or r['state'] not in final)


def describe_job(job: AcceptedJob, progress: ProgressRecord | None) -> Row:
    """Return a job's row."""
    tasks = progress.tasks if progress else ()
    steps = sum(step.count for step in job.spec.steps)
    return {
        'job': job.id,
        'queue': job.queue,
        'workspace': job.workspace,
        'state': progress.state.value if progress else 'queued',
        'tasks': steps * job.spec.occurrences,
        'done': sum(task.is_done for task in tasks),
        'may_run': sum(task.may_run for task in tasks),
        'failures': sum(task.failures for task in tasks),
        'crashes': sum(len(task.crashes) for task in tasks),
        'reason': progress.failure_reason if progress else '',
    }


@running.command()
@pass_obj
def suspects(source: Source) -> None:
    """Show the tasks under which workers have crashed, one crash a row."""
    with source.open() as store:
        source.show(
            row
            for record in read_stored_records(store).progress.values()
            for row in find_crashes(record)
        )


def find_crashes(record: ProgressRecord) -> Iterator[Row]:
    """Return a row for each crash that is held against a job's tasks."""
    for task in record.tasks:
        key = TaskKey(record.id, task.occurrence, task.step, task.number)
        for crash in task.crashes:
            yield {
                'task': key.name,
                'run': crash.run_number,
                'worker': crash.worker,
                'at_ms': crash.at_ms,
                'ran_ms': crash.ran_ms,
                'others': crash.others,
                'runs_alone': len(task.crashes) >= ISOLATION_CRASHES,
            }


@running.command()
@pass_obj
def workers(source: Source) -> None:
    """Show the workers that the platform lists."""
    with source.open() as store:
        item = store.read(CONFIGURATION_KEY)
        if item is None or item.value is None:
            echo('no configuration', err=True)
            get_current_context().exit(ExitCode.REFUSED)
        services = decode_configuration(item.value).services
        for entry_item in store.read_all(WORKER_PREFIX).items:
            try:
                entry = decode_worker_entry(entry_item, services)
            except PrimroseledgeError as error:
                echo(f'{entry_item.key}: {error}', err=True)
                continue
            row = {
                'worker': entry.id,
                'service': entry.service,
                'state': entry.state.value,
                'address': entry.address,
                'zone': entry.zone,
                'boot': entry.boot,
            }
            source.show([row])


@running.command()
@pass_obj
def shares(source: Source) -> None:
    """Show each workspace's weight, share and usage, as parts of 1."""
    with source.open() as store:
        item = store.read(CONFIGURATION_KEY)
        if item is None or item.value is None:
            echo('no configuration', err=True)
            get_current_context().exit(ExitCode.REFUSED)
        configuration = decode_configuration(item.value)
        capacity = NO_RESOURCES
        for entry_item in store.read_all(WORKER_PREFIX).items:
            try:
                entry = decode_worker_entry(entry_item, configuration.services)
            except PrimroseledgeError as error:
                echo(f'{entry_item.key}: {error}', err=True)
                continue
            capacity = capacity.plus(entry.capacity)
        records = read_stored_records(store)
        rows = find_workspace_shares(
            configuration,
            list(records.accepted.values()),
            list(records.progress.values()),
            capacity,
        )
        source.show(
            {
                'workspace': row.workspace,
                'weight': row.weight,
                'share': round(row.share, 4),
                'usage': round(row.usage, 4),
                'tasks': row.tasks,
            }
            for row in rows
        )


@running.command()
@pass_obj
def waves(source: Source) -> None:
    """Show how far the waves of upkeep have come."""
    with source.open() as store:
        for wave in decode_records(
            store.read_all(WAVE_PREFIX).items, WAVE_PREFIX, WaveRecord
        ):
            row = {
                'wave': wave.number,
                'state': wave.state.value,
                'begun': len(wave.started_instances),
            }
            source.show([row])


@running.command()
@pass_obj
def zones(source: Source) -> None:
    """Show which zones are evacuated, and what is left in them.

    The row without a zone counts the tasks on workers that are not listed.
    """
    with source.open() as store:
        source.show(describe_zones(store))


def describe_zones(store: FleetStore) -> list[Row]:
    """Return a row for each zone that a worker or an evacuation names."""
    evacuated = read_zones(store).zones
    zone_of = read_worker_zones(store)
    workers = collections.Counter(zone_of.values())
    tasks = collections.Counter(
        zone_of.get(task.worker, ZoneId(''))
        for record in read_stored_records(store).progress.values()
        for task in record.tasks
        if task.may_run
    )
    return [
        {
            'zone': zone,
            'evacuated': zone in evacuated,
            'workers': workers[zone],
            'tasks': tasks[zone],
        }
        for zone in sorted(evacuated | workers.keys() | tasks.keys())
    ]
