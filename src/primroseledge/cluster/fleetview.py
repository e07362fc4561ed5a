"""What one entry instance knows of the fleet from the store and peers.

Operators' configuration and waves, members' addresses, and whether the
store answers. What cannot be read is logged and names nothing to use.
"""

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from random import Random
from typing import Final

from primroseledge.cluster.fleetstore import Item
from primroseledge.cluster.keys import decode_member
from primroseledge.cluster.keys import decode_owner
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.messages import News
from primroseledge.cluster.messages import NewsQuery
from primroseledge.cluster.packing import pack
from primroseledge.cluster.packing import unpack
from primroseledge.cluster.steps import KeysSeen
from primroseledge.cluster.steps import SendToPeer
from primroseledge.cluster.steps import StoreSilent
from primroseledge.cluster.tenure import Tenure
from primroseledge.errors import DocumentError
from primroseledge.ids import EntryId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

GOSSIP_S: Final = 0.4
"""How often peers are asked while the store does not answer us."""

GOSSIP_PEERS: Final = 2


@dataclass(frozen=True, slots=True)
class Decoders:
    """Decode what the platform's keys hold; each raises DocumentError."""

    configuration_key: str
    configuration: Callable[[bytes], Configuration]
    worker: Callable[[Item, Configuration], WorkerEntry]
    is_wave: Callable[[str], bool]
    wave: Callable[[Item], Wave]


@dataclass(slots=True)
class FleetView:
    """The fleet as this instance last heard of it."""

    entry: EntryId
    address: str
    decoders: Decoders
    seeds: tuple[str, ...] = ()
    random: Random = field(default_factory=Random)
    configuration: Configuration | None = None
    configuration_bytes: bytes = b''
    packed_configuration: bytes = b''
    members: dict[EntryId, MemberRecord] = field(default_factory=dict)
    waves: dict[WaveNumber, Wave] = field(default_factory=dict)
    is_store_silent: bool = False
    silent_since: float = 0.0
    gossiped_at: float = 0.0
    bad_entries: dict[str, int] = field(default_factory=dict)

    def take_keys(self, seen: KeysSeen, tenure: Tenure, now: float) -> None:
        """Take in the operators' keys and those of owner and members."""
        self.store_answered(now)
        found = set[str]()
        for item in seen.items:
            found.add(item.key)
            self.take_key(item, tenure)
        if not seen.is_whole:
            return
        if OWNER_KEY not in found:
            tenure.see_owner(None, seen.revision)
        for entry in list(self.members):
            if f'{MEMBER_PREFIX}{entry}' not in found:
                self.drop_member(entry)

    def take_key(self, item: Item, tenure: Tenure) -> None:
        """Take in one key; what cannot be read is logged."""
        try:
            if item.key == OWNER_KEY:
                owner = decode_owner(item) if item.value else None
                tenure.see_owner(owner, item.revision)
            elif item.key.startswith(MEMBER_PREFIX):
                self.take_member(item)
            elif self.decoders.is_wave(item.key):
                self.take_wave(item)
            elif item.key == self.decoders.configuration_key and item.value:
                self.take_configuration(item.value)
        except DocumentError as error:
            log(Event.INPUT_SKIPPED, subject=item.key, problem=str(error))

    def take_member(self, item: Item) -> None:
        """Take in where a member is reached, or that it is gone."""
        entry = EntryId(item.key.removeprefix(MEMBER_PREFIX))
        if item.value is None:
            self.drop_member(entry)
            return
        member = decode_member(item)
        if self.members.get(entry) != member:
            log(Event.PEER_UP, peer=entry)
        self.members[entry] = member

    def drop_member(self, entry: EntryId) -> None:
        """Forget a member whose record is gone."""
        if self.members.pop(entry, None) is not None:
            log(Event.PEER_LEFT, peer=entry)

    def take_wave(self, item: Item) -> None:
        """Take in a wave that operators ask for."""
        if item.value is None:
            return
        wave = self.decoders.wave(item)
        self.waves[wave.number] = wave

    def take_configuration(self, data: bytes) -> None:
        """Use a configuration if it is newer; never an older one."""
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
        self.packed_configuration = b''
        log(
            Event.CONFIG_IN_FORCE,
            revision=configuration.version,
            bytes=len(data),
        )

    def decode_workers(self, items: tuple[Item, ...]) -> list[WorkerEntry]:
        """Return the entries that can be read; log others once each."""
        configuration = self.configuration
        if configuration is None:
            return []
        entries = list[WorkerEntry]()
        for item in items:
            try:
                entries.append(self.decoders.worker(item, configuration))
            except DocumentError as error:
                if self.bad_entries.get(item.key) != item.revision:
                    self.bad_entries[item.key] = item.revision
                    log(
                        Event.INPUT_SKIPPED,
                        subject=item.key,
                        problem=str(error),
                    )
        return entries

    def store_silent(self, event: StoreSilent, now: float) -> None:
        """Note that the store does not answer our watch."""
        if not self.is_store_silent:
            log(Event.STORE_UNAVAILABLE, problem=event.problem)
            self.silent_since = now
        self.is_store_silent = True

    def store_answered(self, now: float) -> None:
        """Note that the store has answered our watch."""
        if self.is_store_silent:
            seconds = round(now - self.silent_since, 3)
            log(Event.STORE_AVAILABLE, seconds=seconds)
        self.is_store_silent = False

    def gossip(self, now: float) -> list[SendToPeer]:
        """Return the questions to peers while the store is silent."""
        if not self.is_store_silent or now < self.gossiped_at + GOSSIP_S:
            return []
        self.gossiped_at = now
        others = {m.address for m in self.members.values()}
        others.update(self.seeds)
        others.discard(self.address)
        count = min(GOSSIP_PEERS, len(others))
        version = self.configuration.version if self.configuration else 0
        asked = self.random.sample(sorted(others), count)
        return [
            SendToPeer(address, NewsQuery(version, number == 0))
            for number, address in enumerate(asked)
        ]

    def news_for(self, query: NewsQuery, tenure: Tenure) -> News:
        """Return what we know that the asker may not."""
        configuration = self.configuration
        version = configuration.version if configuration else 0
        is_newer = version > query.configuration_version
        is_sent = is_newer and query.wants_configuration
        packed = self.pack_configuration() if is_sent else b''
        return News(tenure.owner, version, packed)

    def pack_configuration(self) -> bytes:
        """Return the configuration as peers get it, packed once."""
        if not self.packed_configuration:
            self.packed_configuration = pack(self.configuration_bytes)
        return self.packed_configuration

    def take_news(self, news: News, tenure: Tenure) -> None:
        """Use what a peer knows."""
        if news.owner is not None:
            tenure.hear_of_owner(news.owner)
        if not news.configuration:
            return
        try:
            self.take_configuration(unpack(news.configuration))
        except DocumentError as error:
            log(Event.INPUT_SKIPPED, subject='news', problem=str(error))
