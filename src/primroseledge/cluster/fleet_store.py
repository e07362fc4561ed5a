"""Interface of a key-value store with leases, watches and transactions.

Calls raise StoreUnavailableError if nothing was done. They raise
StoreOutcomeUnknownError if no answer arrived: the change may have been
made, or may still be made later if its condition holds then.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import NewType
from typing import Protocol

from primroseledge.errors import StoreError
from primroseledge.ids import Revision

LeaseId = NewType('LeaseId', int)


class LeaseEndedError(StoreError):
    """A call named a lease that has expired."""


class HistoryLostError(StoreError):
    """The store no longer keeps the changes after a revision."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key with its value; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ItemList:
    """The items of a read or watch, as of ``revision`` or later."""

    items: tuple[Item, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write; the store deletes it when its lease expires.

    Lease 0 stands for none: the value stays.
    """

    key: str
    value: bytes
    lease: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made atomically if all keys are as expected.

    ``expected`` maps keys to the revisions they must have; revision 0
    means that the key must not exist.
    """

    expected: dict[str, Revision] = field(default_factory=dict)
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease; ``ttl_s`` counts from when the store received the call."""

    id: LeaseId
    ttl_s: float


class FleetStore(Protocol):
    """The calls that the cluster makes to the store."""

    def read(self, key: str) -> Item | None:
        """Return the item of a key, or None if the key does not exist."""

    def read_all(self, prefix: str) -> ItemList:
        """Return all items whose keys begin with a prefix.

        The items may have been read at different revisions.
        """

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        """Return the changes after a revision.

        Waits up to ``wait_s`` seconds for the first change.

        Raises HistoryLostError if the store no longer keeps them all.
        """

    def commit(self, transaction: Transaction) -> Revision:
        """Commit a transaction and return the store's new revision.

        Raises ConflictError, with nothing changed, if a key is not at its
        expected revision.
        """

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease with the given time to live."""

    def renew_lease(self, lease: LeaseId) -> float:
        """Renew a lease and return its time to live, in seconds.

        Raises LeaseEndedError if the lease has expired.
        """
