"""``primroseledge zone``: evacuate and return availability zones.

It writes to the platform's store, so it works whichever entry instance is
asked, and while none answers.
"""

from time import sleep
from typing import Final

from click import argument
from click import echo
from click import get_current_context
from click import group
from click import option
from click import pass_obj
from click import UsageError

from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.errors import StoreUnavailableError
from primroseledge.exit_codes import RESULT_CODES
from primroseledge.ids import EntryId
from primroseledge.ids import ZoneId
from primroseledge.maintenance.actions import ListFailed
from primroseledge.operators.applying import Result
from primroseledge.operators.cli_running import ADDRESS_HELP
from primroseledge.operators.cli_running import Source
from primroseledge.operators.zone_changes import evacuate_zone
from primroseledge.operators.zone_changes import read_worker_zones
from primroseledge.operators.zone_changes import return_zone
from primroseledge.platform.instance_client import PlatformInstanceClient

RETRY_PAUSE_S: Final = 0.5
INSTANCES_HELP: Final = (
    "HOST:PORT of the instance service. Without it only workers' zones are "
    'known, not those of instances that are off.'
)
FORCE_HELP: Final = 'Also an unknown zone, or the last one in use.'

TEXTS: Final = {
    Result.UNKNOWN: (
        'outcome unknown: an answer was lost; look at `running zones` and '
        'give the command again'
    ),
    Result.CONFLICT: 'others changed zones meanwhile; nothing was written',
}


@group()
@option('--store', 'address', required=True, help=ADDRESS_HELP)
@option('--json', 'as_json', is_flag=True, help='One JSON object a line.')
def zone(address: str, as_json: bool) -> None:
    """Evacuate an availability zone, and return it to service."""
    get_current_context().obj = Source(address, as_json)


@zone.command()
@argument('zone_id', metavar='ZONE')
@option('--force', 'is_forced', is_flag=True, help=FORCE_HELP)
@option('--instances', default='', help=INSTANCES_HELP)
@pass_obj
def evacuate(
    source: Source, zone_id: str, is_forced: bool, instances: str
) -> None:
    """Start nothing in ZONE from now on, and move its tasks elsewhere."""
    name = check_name(zone_id)
    with source.open() as store:
        known = read_known_zones(store, instances)
        result = evacuate_zone(store, name, known, is_forced, pause)
        report(source, name, 'evacuated', result)


@zone.command('return')
@argument('zone_id', metavar='ZONE')
@option('--force', 'is_forced', is_flag=True, help='Also an unknown zone.')
@option('--instances', default='', help=INSTANCES_HELP)
@pass_obj
def return_(
    source: Source, zone_id: str, is_forced: bool, instances: str
) -> None:
    """Use ZONE again."""
    name = check_name(zone_id)
    with source.open() as store:
        known = read_known_zones(store, instances)
        result = return_zone(store, name, known, is_forced, pause)
        report(source, name, 'in use', result)


def check_name(zone_id: str) -> ZoneId:
    """Return a zone's name; raises UsageError if it is empty."""
    if not zone_id:
        raise UsageError('the name of the zone is empty')
    return ZoneId(zone_id)


def read_known_zones(store: FleetStore, instances: str) -> frozenset[ZoneId]:
    """Return the zones that a worker or an instance names.

    ``instances`` is the address of the instance service; it may be empty.
    """
    zones = set(read_worker_zones(store).values())
    if instances:
        client = PlatformInstanceClient(instances, EntryId('operator'))
        try:
            listed = client.list_instances()
        finally:
            client.close()
        if isinstance(listed, ListFailed):
            raise StoreUnavailableError(f'instances: {listed.problem}')
        zones.update(row.zone for row in listed.rows)
    return frozenset(zone for zone in zones if zone)


def report(source: Source, name: ZoneId, state: str, result: Result) -> None:
    """Print what became of a change, and exit with its code."""
    if result in TEXTS:
        echo(f'zone {name}: {TEXTS[result]}', err=True)
    else:
        row = {'zone': name, 'state': state, 'result': result.value}
        source.show([row])
    get_current_context().exit(RESULT_CODES[result])


def pause() -> None:
    """Wait before a change is tried again."""
    sleep(RETRY_PAUSE_S)
