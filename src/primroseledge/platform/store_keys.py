"""Store keys that the platform defines, and the values under them.

They hold the workers' entries, and the operators' configuration, waves and
evacuations of availability zones.
"""

from dataclasses import dataclass
from typing import Any
from typing import Final

from msgspec import json

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import Put
from primroseledge.errors import DocumentError
from primroseledge.ids import InstanceId
from primroseledge.ids import ZoneId
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.platform.decoding import WORKER_PREFIX
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireWave

CONFIGURATION_KEY: Final = 'op/config'
WAVE_PREFIX: Final = 'op/wave/'
WAVE_STATUS_PREFIX: Final = 'status/wave/'
EVACUATION_PREFIX: Final = 'op/evacuate/'
EVACUATION_VALUE: Final = b'{}'

WATCHED_PREFIX: Final = 'o'
"""Common prefix of the operators' keys and those of the fleet's owner.

One watch covers both ``op/`` and ``owner/``.
"""


def evacuation_key(zone: ZoneId) -> str:
    """Return the key that evacuates a zone while it exists."""
    return f'{EVACUATION_PREFIX}{zone}'


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """The platform's keys in the form that the cluster package uses.

    Implements ``cluster.platform_keys.PlatformKeys``.
    """

    worker_prefix: str = WORKER_PREFIX
    watched_prefix: str = WATCHED_PREFIX
    configuration_key: str = CONFIGURATION_KEY
    evacuation_prefix: str = EVACUATION_PREFIX

    def encode_wave_status(self, wave: WaveRecord) -> Put:
        """Return the write that reports the state of a wave to operators."""
        value = {'wave': wave.number, 'state': wave.state.value}
        return Put(f'{WAVE_STATUS_PREFIX}{wave.number}', json.encode(value))

    def is_wave_key(self, key: str) -> bool:
        """Return whether a key holds a wave that operators requested."""
        return key.startswith(WAVE_PREFIX)

    def find_evacuated_zone(self, key: str) -> ZoneId | None:
        """Return the zone that a key evacuates, None for any other key."""
        if not key.startswith(EVACUATION_PREFIX):
            return None
        return ZoneId(key.removeprefix(EVACUATION_PREFIX)) or None

    def check_evacuation(self, item: Item) -> None:
        """Raise DocumentError if an evacuation names no zone or is malformed.

        A malformed value changes nothing else: its key counts.
        """
        if not item.key.startswith(EVACUATION_PREFIX):
            return
        if item.key == EVACUATION_PREFIX:
            raise DocumentError('the key names no zone')
        try:
            json.decode(item.value or b'', type=dict[str, Any])
        except MALFORMED_ERRORS as error:
            raise DocumentError(
                f'value ignored, the zone is evacuated: {error}'
            ) from error

    def decode_wave(self, item: Item) -> Wave:
        """Decode a maintenance wave that operators requested.

        Raises DocumentError if the value is missing or malformed.
        """
        try:
            wave = json.decode(item.value or b'', type=WireWave)
        except MALFORMED_ERRORS as error:
            raise DocumentError(f'invalid wave document: {error}') from error
        return Wave(
            WaveNumber(wave.wave),
            tuple(InstanceId(name) for name in wave.machines),
            wave.duration_s,
            wave.upper_bound,
        )
