"""What one entry instance knows of the fleet from the store and peers.

This is the operators' configuration and waves, the evacuated zones, the
members' addresses, and whether the store answers. A value that cannot be
decoded is logged and ignored.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Final

from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.compression import compress_data
from primroseledge.cluster.compression import decompress_data
from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.evacuated_zones import find_evacuated_zones
from primroseledge.cluster.evacuated_zones import NO_ZONES
from primroseledge.cluster.fleet_ownership import FleetOwnership
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.keys import decode_member
from primroseledge.cluster.keys import decode_owner
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import PeerStateQuery
from primroseledge.cluster.messages import PeerStateReply
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Configuration
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.workers.worker import WorkerEntry

GOSSIP_INTERVAL_S: Final = 0.4
"""Interval between queries to peers, in seconds.

Peers are queried while the store does not answer.
"""

GOSSIP_FANOUT: Final = 2


@dataclass(frozen=True, slots=True)
class Decoders:
    """Decoders for the platform's keys and their values.

    Those of values raise DocumentError for a malformed one.
    ``find_evacuated_zone`` returns the zone that a key evacuates, if any.
    """

    configuration_key: str
    configuration: Callable[[bytes], Configuration]
    worker: Callable[[Item, Configuration], WorkerEntry]
    is_wave_key: Callable[[str], bool]
    wave: Callable[[Item], Wave]
    find_evacuated_zone: Callable[[str], ZoneId | None] = lambda _key: None
    check_evacuation: Callable[[Item], None] = lambda _item: None


@dataclass(slots=True)
class FleetView:
    """This instance's latest knowledge of the fleet.

    ``rejected_items`` maps the key of each malformed value to its revision,
    so that the same value is logged only once.
    """

    entry: EntryId
    address: str
    decoders: Decoders
    seed_addresses: tuple[str, ...] = ()
    random: Random = field(default_factory=Random)
    configuration: Configuration | None = None
    configuration_bytes: bytes = b''
    compressed_configuration: bytes = b''
    members: dict[EntryId, MemberRecord] = field(default_factory=dict)
    waves: dict[WaveNumber, Wave] = field(default_factory=dict)
    zones: EvacuatedZones = NO_ZONES
    is_store_unavailable: bool = False
    store_unavailable_since: float = 0.0
    gossiped_at: float = 0.0
    rejected_items: dict[str, int] = field(default_factory=dict)

    @property
    def evacuated_zones(self) -> frozenset[ZoneId]:
        """Return the zones in which nothing is to be started."""
        return self.zones.zones

    @property
    def zones_revision(self) -> Revision:
        """Return the store's revision at which the evacuated zones held."""
        return self.zones.revision

    def apply_keys(
        self, event: WatchedKeysRead, ownership: FleetOwnership, now: float
    ) -> None:
        """Apply watched keys to this view and to the ownership.

        If the event is complete, the owner, members and evacuated zones
        without a key in it are dropped.
        """
        self.record_store_available(now)
        self.apply_zone_keys(event)
        present_keys = set[str]()
        for item in event.items:
            present_keys.add(item.key)
            self.apply_key(item, ownership)
        if not event.is_complete:
            return
        if OWNER_KEY not in present_keys:
            ownership.apply_owner(None, event.revision)
        for entry in list(self.members):
            if f'{MEMBER_PREFIX}{entry}' not in present_keys:
                self.drop_member(entry)

    def apply_zone_keys(self, event: WatchedKeysRead) -> None:
        """Update the evacuated zones; the key counts, not its value."""
        find_zone = self.decoders.find_evacuated_zone
        if event.is_complete:
            found = find_evacuated_zones(
                event.items, event.revision, find_zone
            )
            self.zones = self.zones.newest(found)
        else:
            self.zones = self.zones.after_changes(
                event.items, event.revision, find_zone
            )

    def apply_key(self, item: Item, ownership: FleetOwnership) -> None:
        """Apply one key's value or deletion; log a malformed value."""
        try:
            if item.key == OWNER_KEY:
                owner = decode_owner(item) if item.value else None
                ownership.apply_owner(owner, item.revision)
            elif item.key.startswith(MEMBER_PREFIX):
                self.apply_member(item)
            elif self.decoders.is_wave_key(item.key):
                self.apply_wave(item)
            elif item.key == self.decoders.configuration_key and item.value:
                self.apply_configuration(item.value)
            elif item.value is not None:
                self.decoders.check_evacuation(item)
        except DocumentError as error:
            self.log_rejected(item, error)

    def log_rejected(self, item: Item, error: DocumentError) -> None:
        """Log a malformed value, once for each revision of its key."""
        if self.rejected_items.get(item.key) != item.revision:
            self.rejected_items[item.key] = item.revision
            log(Event.INPUT_SKIPPED, subject=item.key, problem=str(error))

    def apply_member(self, item: Item) -> None:
        """Add, update or drop a member according to its record."""
        entry = EntryId(item.key.removeprefix(MEMBER_PREFIX))
        if item.value is None:
            self.drop_member(entry)
            return
        member = decode_member(item)
        if self.members.get(entry) != member:
            log(Event.PEER_UP, peer=entry)
        self.members[entry] = member

    def drop_member(self, entry: EntryId) -> None:
        """Remove a member whose record no longer exists, if it is known."""
        if self.members.pop(entry, None) is not None:
            log(Event.PEER_LEFT, peer=entry)

    def apply_wave(self, item: Item) -> None:
        """Add or replace a wave that operators requested.

        The deletion of a wave's key has no effect.
        """
        if item.value is None:
            return
        wave = self.decoders.wave(item)
        self.waves[wave.number] = wave

    def apply_configuration(self, data: bytes) -> None:
        """Put a configuration in force if its version is newer."""
        try:
            configuration = self.decoders.configuration(data)
        except DocumentError as error:
            log(
                Event.INPUT_SKIPPED,
                subject='configuration',
                problem=str(error),
            )
            return
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            return
        self.configuration = configuration
        self.configuration_bytes = data
        self.compressed_configuration = b''
        log(
            Event.CONFIG_IN_FORCE,
            revision=configuration.version,
            bytes=len(data),
        )

    def decode_workers(self, items: tuple[Item, ...]) -> list[WorkerEntry]:
        """Return the valid worker entries; log each malformed one once.

        Without a configuration nothing can be decoded: the list is empty.
        """
        configuration = self.configuration
        if configuration is None:
            return []
        entries = list[WorkerEntry]()
        for item in items:
            try:
                entries.append(self.decoders.worker(item, configuration))
            except DocumentError as error:
                self.log_rejected(item, error)
        return entries

    def handle_store_unavailable(
        self, event: StoreUnavailable, now: float
    ) -> None:
        """Record that the store does not answer; log an outage's start."""
        if not self.is_store_unavailable:
            log(Event.STORE_UNAVAILABLE, problem=event.problem)
            self.store_unavailable_since = now
        self.is_store_unavailable = True

    def record_store_available(self, now: float) -> None:
        """Record that the store answers; log the end of an outage."""
        if self.is_store_unavailable:
            seconds = round(now - self.store_unavailable_since, 3)
            log(Event.STORE_AVAILABLE, seconds=seconds)
        self.is_store_unavailable = False

    def gossip(self, now: float) -> list[SendToPeer]:
        """Return the queries to peers that are due in an outage of the store.

        A few peers are chosen at random. Only the first is asked for a
        configuration, which may be large.
        """
        if (
            not self.is_store_unavailable
            or now < self.gossiped_at + GOSSIP_INTERVAL_S
        ):
            return []
        self.gossiped_at = now
        addresses = {m.address for m in self.members.values()}
        addresses.update(self.seed_addresses)
        addresses.discard(self.address)
        count = min(GOSSIP_FANOUT, len(addresses))
        version = self.configuration.version if self.configuration else 0
        peers = self.random.sample(sorted(addresses), count)
        return [
            SendToPeer(address, PeerStateQuery(version, index == 0))
            for index, address in enumerate(peers)
        ]

    def create_peer_state(
        self, query: PeerStateQuery, ownership: FleetOwnership
    ) -> PeerStateReply:
        """Return the reply to a peer's query.

        The reply contains the configuration only if the query asks for it
        and the peer's version is older.
        """
        configuration = self.configuration
        version = configuration.version if configuration else 0
        is_newer = version > query.configuration_version
        is_sent = is_newer and query.wants_configuration
        compressed = self.compress_configuration() if is_sent else b''
        return PeerStateReply(
            ownership.owner,
            version,
            compressed,
            tuple(sorted(self.evacuated_zones)),
            self.zones_revision,
        )

    def compress_configuration(self) -> bytes:
        """Return the configuration in compressed form; cache the result."""
        if not self.compressed_configuration:
            self.compressed_configuration = compress_data(
                self.configuration_bytes
            )
        return self.compressed_configuration

    def handle_peer_state(
        self, peer_state: PeerStateReply, ownership: FleetOwnership
    ) -> None:
        """Apply a peer's owner, zones and configuration if newer."""
        zones = EvacuatedZones(
            frozenset(peer_state.evacuated_zones), peer_state.zones_revision
        )
        self.zones = self.zones.newest(zones)
        if peer_state.owner is not None:
            ownership.apply_owner_from_peer(peer_state.owner)
        if not peer_state.compressed_configuration:
            return
        try:
            self.apply_configuration(
                decompress_data(peer_state.compressed_configuration)
            )
        except DocumentError as error:
            log(Event.INPUT_SKIPPED, subject='news', problem=str(error))
