"""The set of evacuated availability zones, ordered by the store's revision.

Pure functions: a set of zones is known from complete reads, from changes that
a watch reports, and from peers, in any order. The newest knowledge wins.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from primroseledge.cluster.fleet_store import Item
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId

FindZone = Callable[[str], ZoneId | None]
"""Returns the zone that a store key evacuates, None for any other key."""


@dataclass(frozen=True, slots=True)
class EvacuatedZones:
    """The evacuated zones, as they were at a revision of the store.

    Revision 0 means that nothing is known yet.
    """

    zones: frozenset[ZoneId] = frozenset()
    revision: Revision = Revision(0)

    def newest(self, other: 'EvacuatedZones') -> 'EvacuatedZones':
        """Return whichever of the two has the larger revision."""
        return other if other.revision > self.revision else self

    def after_changes(
        self, items: Iterable[Item], revision: Revision, find_zone: FindZone
    ) -> 'EvacuatedZones':
        """Return the zones after the changes up to a revision.

        Changes up to the own revision are contained in the zones already. An
        item without a value is a removed key.
        """
        zones = set(self.zones)
        for item in sorted(items, key=revision_of):
            zone = find_zone(item.key)
            if zone is None or item.revision <= self.revision:
                continue
            if item.value is None:
                zones.discard(zone)
            else:
                zones.add(zone)
        return EvacuatedZones(frozenset(zones), max(self.revision, revision))


def find_evacuated_zones(
    items: Iterable[Item], revision: Revision, find_zone: FindZone
) -> EvacuatedZones:
    """Return the zones that a complete read of the keys shows.

    The key counts, whatever its value.
    """
    zones = (find_zone(item.key) for item in items if item.value is not None)
    return EvacuatedZones(
        frozenset(zone for zone in zones if zone is not None), revision
    )


def revision_of(item: Item) -> Revision:
    """Return an item's revision, by which changes are put in order."""
    return item.revision


NO_ZONES: Final = EvacuatedZones()
