"""One node's calls of the store in simulated time, with faults."""

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
from standins.storagecore import SimStorage

Later = Callable[[float, Callable[[], None]], None]


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
