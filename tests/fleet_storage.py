"""A simulated store client whose connection can fail and lose answers."""

from collections.abc import Callable
from random import Random

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import ItemList
from primroseledge.cluster.fleet_store import Lease
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import ConflictError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from standins.storage_core import SimStorage

ScheduleAfter = Callable[[float, Callable[[], None]], None]


class SimStoreClient:
    """One node's client of the simulated store.

    ``is_disconnected`` makes every call fail. ``lost_answer_share`` is the
    share of commits whose outcome the node does not learn; such a commit
    takes effect at once, takes effect up to 6 s later, or is lost.
    """

    def __init__(
        self,
        storage: SimStorage,
        random: Random,
        schedule_after: ScheduleAfter,
    ) -> None:
        self.storage = storage
        self.random = random
        self.schedule_after = schedule_after
        self.is_disconnected = False
        self.lost_answer_share = 0.0
        self.last_lease_number = random.randrange(1, 10**6) * 1000

    def check_available(self) -> None:
        if self.is_disconnected or self.storage.is_down:
            raise StoreUnavailableError('the store cannot be reached')
        self.storage.expire()

    def read(self, key: str) -> Item | None:
        self.check_available()
        return self.storage.items.get(key)

    def read_all(self, prefix: str) -> ItemList:
        self.check_available()
        items = tuple(
            self.storage.items[key]
            for key in sorted(self.storage.items)
            if key.startswith(prefix)
        )
        return ItemList(items, Revision(self.storage.revision))

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        raise StoreUnavailableError('World.deliver_change replaces watches')

    def commit(self, transaction: Transaction) -> Revision:
        self.check_available()
        if self.random.random() >= self.lost_answer_share:
            return self.storage.commit(transaction)
        outcome = self.random.random()
        if outcome < 0.4:
            self.storage.commit(transaction)
        elif outcome < 0.8:
            self.schedule_after(
                self.random.uniform(0.2, 6),
                lambda: self.commit_late(transaction),
            )
        raise StoreOutcomeUnknownError('the answer of a commit was lost')

    def commit_late(self, transaction: Transaction) -> None:
        try:
            self.storage.commit(transaction)
        except (ConflictError, LeaseEndedError):
            return

    def grant_lease(self, ttl_s: float) -> Lease:
        self.check_available()
        self.last_lease_number += 1
        lease = LeaseId(self.last_lease_number)
        self.storage.leases[lease] = (self.storage.clock() + ttl_s, ttl_s)
        return Lease(lease, ttl_s)

    def renew_lease(self, lease: LeaseId) -> float:
        self.check_available()
        stored_lease = self.storage.leases.get(lease)
        if stored_lease is None:
            raise LeaseEndedError('the lease ended')
        ttl_s = stored_lease[1]
        self.storage.leases[lease] = (self.storage.clock() + ttl_s, ttl_s)
        return ttl_s
