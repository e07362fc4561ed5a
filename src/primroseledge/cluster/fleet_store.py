"""The interface to a store with leases, watches and transactions.

Calls raise StoreUnavailableError when nothing was done, and
StoreOutcomeUnknownError when the answer was lost, so that a change may
have been made or may be made later if its condition still holds.
"""

from dataclasses import dataclass
from dataclasses import field
from typing import NewType
from typing import Protocol

from primroseledge.errors import StoreError
from primroseledge.ids import Revision

LeaseId = NewType('LeaseId', int)


class LeaseEndedError(StoreError):
    """The lease that was named has ended."""


class HistoryLostError(StoreError):
    """The changes after a revision are not kept any more."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key and its value, or with ``value`` None its deletion."""

    key: str
    value: bytes | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class ItemList:
    """Items as they stood at ``revision`` or later."""

    items: tuple[Item, ...]
    revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """A value to write; it goes when its lease ends."""

    key: str
    value: bytes
    lease: LeaseId = LeaseId(0)


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes made together if all expected revisions hold.

    Revision 0 expects that the key does not exist.
    """

    expected: dict[str, Revision] = field(default_factory=dict)
    puts: tuple[Put, ...] = ()
    removals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Lease:
    """A lease and how long it lasts from when the call arrived."""

    id: LeaseId
    ttl_s: float


class FleetStore(Protocol):
    """The calls of the store."""

    def read(self, key: str) -> Item | None:
        """Return an item, or nothing if there is none."""

    def read_all(self, prefix: str) -> ItemList:
        """Return all items under a prefix; not a snapshot."""

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        """Wait for changes; raises HistoryLostError."""

    def commit(self, transaction: Transaction) -> Revision:
        """Carry a transaction out; raises ConflictError."""

    def grant_lease(self, ttl_s: float) -> Lease:
        """Begin a lease."""

    def renew_lease(self, lease: LeaseId) -> float:
        """Renew a lease; return its time; raises LeaseEndedError."""
