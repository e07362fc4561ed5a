"""The settings of an entry instance on the platform.

The platform fills in the template ``deploy/node.json``. The template is
part of this project, so the settings have this project's names.
"""

from os import environ
from pathlib import Path
from typing import Annotated
from typing import Final

from msgspec import DecodeError
from msgspec import json
from msgspec import Meta
from msgspec import Struct

from primroseledge.errors import SettingsError

SETTINGS_VARIABLE: Final = 'PRIMROSELEDGE_NODE_FILE'
ADDRESS_PATTERN: Final = r'^[0-9.]+:[0-9]+$'


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """Where an entry instance runs, listens, and finds its services."""

    entry_id: Annotated[
        str, Meta(min_length=1, description='Name of this entry instance.')
    ]
    zone: Annotated[
        str, Meta(description='Availability zone of this entry instance.')
    ]
    caller_address: Annotated[
        str,
        Meta(pattern=ADDRESS_PATTERN, description='Address for callers.'),
    ]
    ready_address: Annotated[
        str,
        Meta(
            pattern=ADDRESS_PATTERN,
            description='Address for readiness probes of the platform.',
        ),
    ]
    peer_address: Annotated[
        str, Meta(pattern=ADDRESS_PATTERN, description='Address for peers.')
    ]
    seed_hosts: Annotated[
        list[str],
        Meta(description='Peers to ask while the store is unavailable.'),
    ] = []
    store_address: Annotated[
        str,
        Meta(
            pattern=ADDRESS_PATTERN,
            description="Address of the platform's store.",
        ),
    ]
    fleet_address: Annotated[
        str,
        Meta(
            pattern=ADDRESS_PATTERN,
            description='Address of the instance service.',
        ),
    ]
    advice_address: Annotated[
        str,
        Meta(description='Address of the advisory service; empty for none.'),
    ] = ''
    processor_share: Annotated[
        float,
        Meta(
            gt=0,
            description='Share of a processor given to this instance.',
        ),
    ] = 1.0
    processor_speed: Annotated[
        float,
        Meta(
            gt=0,
            description='Speed of that processor; 1 for a standard one.',
        ),
    ] = 1.0
    metrics_address: Annotated[
        str,
        Meta(
            pattern=f'{ADDRESS_PATTERN}|^$',
            description='Address for metrics; empty to serve none.',
        ),
    ] = ''
    grace_period_s: Annotated[
        float,
        Meta(
            gt=0, description='Time from SIGTERM until the process is killed.'
        ),
    ] = 6.0
    longest_lease_ms: Annotated[
        int,
        Meta(
            gt=0,
            description='Longest lease of runs that workers grant, in ms.',
        ),
    ] = 10_000
    server_threads: Annotated[
        int,
        Meta(ge=1, le=256, description='Threads that serve callers.'),
    ] = 24

    @property
    def processor_millis(self) -> int:
        """Return the capacity in thousandths of a standard processor.

        Entry instances with a higher capacity claim the fleet's ownership
        first.
        """
        return int(self.processor_share * self.processor_speed * 1000)

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return the addresses of peers to query if the store is unavailable.

        Their port is that of this instance's ``peer_address``; a port in
        ``seed_hosts`` is ignored.
        """
        port = self.peer_address.rpartition(':')[2]
        hosts = [seed.partition(':')[0] for seed in self.seed_hosts]
        return tuple(f'{host}:{port}' for host in hosts if host)


def settings_path() -> Path:
    """Return the settings file that the environment variable names.

    Raises SettingsError if the variable is not set.
    """
    path = environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f'{SETTINGS_VARIABLE} is not set in the environment'
        )
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings file.

    Raises SettingsError if it cannot be read or has a wrong value.
    """
    try:
        return json.decode(path.read_bytes(), type=PlatformSettings)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except DecodeError as error:
        raise SettingsError(f'{path}: {error}') from error
