"""The settings of an entry instance on the platform.

The platform fills in ``deploy/node.json``, so the file has our own
names and form.
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
    """Where this process runs and whom it calls."""

    entry_id: Annotated[
        str, Meta(min_length=1, description='Name of this entry instance.')
    ]
    zone: Annotated[str, Meta(description='Its availability zone.')]
    caller_address: Annotated[
        str,
        Meta(pattern=ADDRESS_PATTERN, description='Where callers connect.'),
    ]
    ready_address: Annotated[
        str,
        Meta(
            pattern=ADDRESS_PATTERN,
            description='Where the platform asks for it.',
        ),
    ]
    peer_address: Annotated[
        str, Meta(pattern=ADDRESS_PATTERN, description='Where peers connect.')
    ]
    seed_hosts: Annotated[
        list[str],
        Meta(description='Peers to ask while the store is silent.'),
    ] = []
    store_address: Annotated[
        str, Meta(pattern=ADDRESS_PATTERN, description="The platform's store.")
    ]
    fleet_address: Annotated[
        str,
        Meta(pattern=ADDRESS_PATTERN, description='The service of instances.'),
    ]
    advice_address: Annotated[
        str,
        Meta(description='The advisory service; empty if there is none.'),
    ] = ''
    processor_share: Annotated[
        float,
        Meta(gt=0, description='Share of a processor that this one has.'),
    ] = 1.0
    processor_speed: Annotated[
        float,
        Meta(gt=0, description='How fast that processor is, 1 is usual.'),
    ] = 1.0
    metrics_address: Annotated[
        str,
        Meta(
            pattern=f'{ADDRESS_PATTERN}|^$',
            description='Where metrics are read; empty to serve none.',
        ),
    ] = ''
    grace_period_s: Annotated[
        float,
        Meta(gt=0, description='From SIGTERM until the process is killed.'),
    ] = 6.0
    server_threads: Annotated[
        int,
        Meta(ge=1, le=256, description='Threads that serve callers.'),
    ] = 24

    @property
    def processor_millis(self) -> int:
        """Return what this instance can compute, in thousandths."""
        return int(self.processor_share * self.processor_speed * 1000)

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """Return the addresses of peers to ask without the store."""
        port = self.peer_address.rpartition(':')[2]
        hosts = [seed.partition(':')[0] for seed in self.seed_hosts]
        return tuple(f'{host}:{port}' for host in hosts if host)


def settings_path() -> Path:
    """Return where the platform put the settings."""
    path = environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f'{SETTINGS_VARIABLE} is not set')
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read and check the settings; raises SettingsError."""
    try:
        return json.decode(path.read_bytes(), type=PlatformSettings)
    except OSError as error:
        raise SettingsError(f'{path}: {error.strerror}') from error
    except DecodeError as error:
        raise SettingsError(f'{path}: {error}') from error
