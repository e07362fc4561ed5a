"""The store's keys that the platform names, and what lies under them."""

from dataclasses import dataclass
from typing import Final

from msgspec import DecodeError
from msgspec import json

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import Put
from primroseledge.errors import DocumentError
from primroseledge.ids import InstanceId
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.platform.decoding import WORKER_PREFIX
from primroseledge.platform.wire import WireWave

CONFIGURATION_KEY: Final = 'op/config'
WAVE_PREFIX: Final = 'op/wave/'
WAVE_STATUS_PREFIX: Final = 'status/wave/'

WATCHED_PREFIX: Final = 'o'
"""Begins both the operators' keys and those of our owner."""


@dataclass(frozen=True, slots=True)
class StoreKeys:
    """The keys as the store's threads need them."""

    worker_prefix: str = WORKER_PREFIX
    watched_prefix: str = WATCHED_PREFIX
    configuration_key: str = CONFIGURATION_KEY

    def encode_wave_status(self, wave: WaveRecord) -> Put:
        """Return the record that tells operators of a wave."""
        value = {'wave': wave.number, 'state': wave.state.value}
        return Put(f'{WAVE_STATUS_PREFIX}{wave.number}', json.encode(value))

    def is_wave_key(self, key: str) -> bool:
        """Tell whether a key is that of a wave."""
        return key.startswith(WAVE_PREFIX)

    def decode_wave(self, item: Item) -> Wave:
        """Decode an operator's wave; raises DocumentError."""
        try:
            wave = json.decode(item.value or b'', type=WireWave)
        except DecodeError as error:
            raise DocumentError(f'not a wave: {error}') from error
        return Wave(
            WaveNumber(wave.wave),
            tuple(InstanceId(name) for name in wave.machines),
            wave.duration_s,
            wave.upper_bound,
        )
