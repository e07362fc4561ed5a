"""The platform's store in simulated time, with faults."""

from collections.abc import Callable
from random import Random

from primroseledge.cluster.fleetstore import Item
from primroseledge.cluster.fleetstore import ItemList
from primroseledge.cluster.fleetstore import Lease
from primroseledge.cluster.fleetstore import LeaseEndedError
from primroseledge.cluster.fleetstore import LeaseId
from primroseledge.cluster.fleetstore import Transaction
from primroseledge.errors import ConflictError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision

Listener = Callable[[Item], None]
Later = Callable[[float, Callable[[], None]], None]


class SimStorage:
    """Items, leases and those who watch them."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.items: dict[str, Item] = {}
        self.lease_of: dict[str, LeaseId] = {}
        self.leases: dict[LeaseId, tuple[float, float]] = {}
        self.revision = 100
        self.listeners: list[Listener] = []
        self.is_down = False
        self.down_since = 0.0
        self.does_lapse = False

    def set_down(self, is_down: bool, does_lapse: bool = False) -> None:
        now = self.clock()
        if is_down:
            self.down_since = now
            self.does_lapse = does_lapse
        elif not self.does_lapse:
            paused_s = now - self.down_since
            self.leases = {
                lease: (until + paused_s, ttl)
                for lease, (until, ttl) in self.leases.items()
            }
        self.is_down = is_down

    def expire(self) -> None:
        if self.is_down and not self.does_lapse:
            return
        now = self.clock()
        for lease, (until, _) in list(self.leases.items()):
            if until >= now:
                continue
            del self.leases[lease]
            for key, holder in list(self.lease_of.items()):
                if holder == lease:
                    self.remove(key)

    def put(self, key: str, value: bytes, lease: LeaseId) -> None:
        self.items[key] = Item(key, value, Revision(self.revision))
        self.lease_of.pop(key, None)
        if lease:
            self.lease_of[key] = lease
        self.notify(self.items[key])

    def remove(self, key: str) -> None:
        self.lease_of.pop(key, None)
        if self.items.pop(key, None) is None:
            return
        self.revision += 1
        self.notify(Item(key, None, Revision(self.revision)))

    def notify(self, item: Item) -> None:
        for listener in list(self.listeners):
            listener(item)

    def commit(self, transaction: Transaction) -> Revision:
        self.expire()
        for key, revision in transaction.expected.items():
            held = self.items.get(key)
            if (held.revision if held else 0) != revision:
                raise ConflictError(key)
        for put in transaction.puts:
            if put.lease and put.lease not in self.leases:
                raise LeaseEndedError('ended')
        self.revision += 1
        for put in transaction.puts:
            self.put(put.key, put.value, put.lease)
        for key in transaction.removals:
            self.remove(key)
        return Revision(self.revision)


class SimStorePort:
    """One node's calls of the store; ``is_cut`` and rates give faults."""

    def __init__(
        self, storage: SimStorage, random: Random, later: Later
    ) -> None:
        self.storage = storage
        self.random = random
        self.later = later
        self.is_cut = False
        self.lost_share = 0.0
        self.next_lease = random.randrange(1, 10**6) * 1000

    def check(self) -> None:
        if self.is_cut or self.storage.is_down:
            raise StoreUnavailableError('down')
        self.storage.expire()

    def read(self, key: str) -> Item | None:
        self.check()
        return self.storage.items.get(key)

    def read_all(self, prefix: str) -> ItemList:
        self.check()
        items = tuple(
            self.storage.items[key]
            for key in sorted(self.storage.items)
            if key.startswith(prefix)
        )
        return ItemList(items, Revision(self.storage.revision))

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        raise StoreUnavailableError('the world delivers changes itself')

    def commit(self, transaction: Transaction) -> Revision:
        self.check()
        if self.random.random() >= self.lost_share:
            return self.storage.commit(transaction)
        fate = self.random.random()
        if fate < 0.4:
            self.storage.commit(transaction)
        elif fate < 0.8:
            self.later(
                self.random.uniform(0.2, 6),
                lambda: self.commit_late(transaction),
            )
        raise StoreOutcomeUnknownError('lost')

    def commit_late(self, transaction: Transaction) -> None:
        try:
            self.storage.commit(transaction)
        except (ConflictError, LeaseEndedError):
            return

    def grant_lease(self, ttl_s: float) -> Lease:
        self.check()
        self.next_lease += 1
        lease = LeaseId(self.next_lease)
        self.storage.leases[lease] = (self.storage.clock() + ttl_s, ttl_s)
        return Lease(lease, ttl_s)

    def renew_lease(self, lease: LeaseId) -> float:
        self.check()
        held = self.storage.leases.get(lease)
        if held is None:
            raise LeaseEndedError('ended')
        ttl_s = held[1]
        self.storage.leases[lease] = (self.storage.clock() + ttl_s, ttl_s)
        return ttl_s
