"""The interface to the platform's key-value service.

Every adapter, and every fake in a test, implements ``Store``. A write
carries a write id, so that a lost answer can be read back: the record
holds the id of the write that made it.
"""

from dataclasses import dataclass
from typing import Protocol

from primroseledge.ids import Revision
from primroseledge.ids import WriteId


@dataclass(frozen=True, slots=True)
class Record:
    """A key's value; ``value`` is None in a change that deleted it."""

    key: str
    value: str | None
    revision: Revision
    write_id: WriteId = WriteId('')


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Records under a prefix, as they stood at ``revision``."""

    revision: Revision
    records: tuple[Record, ...]


class Store(Protocol):
    """Compare-and-swap, leases and watches.

    Each call raises StoreUnavailableError when nothing was done, and
    StoreOutcomeUnknownError when a write's answer was lost.
    """

    def read(self, prefix: str) -> Snapshot:
        """Return the records under a prefix."""

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
        lease: str | None = None,
    ) -> Revision:
        """Write a value, or delete the key when the value is None.

        ``expected`` is the revision that the key must have, 0 for a
        key that must not exist, None for any. Raises ConflictError
        when the revision differs.
        """

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Snapshot:
        """Wait for changes later than a revision; none after wait_s."""

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease; its keys go when it is not kept alive."""

    def keep_alive(self, lease: str) -> None:
        """Renew a lease; raises StoreError when it has lapsed."""
