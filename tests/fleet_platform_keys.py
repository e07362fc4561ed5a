"""The names of the platform's keys in the simulated fleet."""

from primroseledge.cluster.fleet_store import Put
from primroseledge.ids import ZoneId
from primroseledge.maintenance.wave import WaveRecord

WORKER_PREFIX = 'workers/'
"""Key prefix of the workers' entries; the platform's has another value."""


class SimPlatformKeys:
    """Implements ``cluster.platform_keys.PlatformKeys``."""

    worker_prefix = WORKER_PREFIX
    evacuation_prefix = 'out/'

    def find_evacuated_zone(self, key: str) -> ZoneId | None:
        if not key.startswith(self.evacuation_prefix):
            return None
        return ZoneId(key.removeprefix(self.evacuation_prefix))

    def encode_wave_status(self, wave: WaveRecord) -> Put:
        return Put(f'wave/{wave.number}', b'')
