"""The platform's store without a network: items, leases, transactions."""

from collections.abc import Callable

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import ConflictError
from primroseledge.ids import Revision

Listener = Callable[[Item], None]


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
        """Begin or end an outage; leases pause or lapse meanwhile."""
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
        """End the leases whose time is over, with their keys."""
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
        """Write a key at the present revision."""
        self.items[key] = Item(key, value, Revision(self.revision))
        self.lease_of.pop(key, None)
        if lease:
            self.lease_of[key] = lease
        self.notify(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key, as a change of its own."""
        if key in self.items:
            self.revision += 1
        self.drop(key)

    def drop(self, key: str) -> None:
        """Remove a key at the present revision."""
        self.lease_of.pop(key, None)
        if self.items.pop(key, None) is not None:
            self.notify(Item(key, None, Revision(self.revision)))

    def notify(self, item: Item) -> None:
        """Tell those who watch."""
        for listener in list(self.listeners):
            listener(item)

    def commit(self, transaction: Transaction) -> Revision:
        """Carry a transaction out; raises ConflictError."""
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
            self.drop(key)
        return Revision(self.revision)
