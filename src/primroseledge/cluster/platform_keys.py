"""The store keys that the platform defines, as the cluster uses them."""

from typing import Protocol

from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.evacuated_zones import find_evacuated_zones
from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import Put
from primroseledge.ids import ZoneId
from primroseledge.maintenance.wave import WaveRecord


class PlatformKeys(Protocol):
    """The store keys that the platform defines."""

    @property
    def worker_prefix(self) -> str:
        """Return the common prefix of the keys of workers."""

    @property
    def evacuation_prefix(self) -> str:
        """Return the common prefix of the keys that evacuate zones."""

    def find_evacuated_zone(self, key: str) -> ZoneId | None:
        """Return the zone that a key evacuates, None for any other key."""

    def encode_wave_status(self, wave: WaveRecord) -> Put:
        """Return the write of a wave's status, which operators read."""


def read_evacuated_zones(
    store: FleetStore, keys: PlatformKeys
) -> EvacuatedZones:
    """Read the evacuated zones; raises StoreError if a page is missing."""
    listed = store.read_all(keys.evacuation_prefix)
    return find_evacuated_zones(
        listed.items, listed.revision, keys.find_evacuated_zone
    )
