"""One node's reads and writes of a cell's record, one at a time."""

from typing import Final

from primroseledge.agreement.freshness import NEVER
from primroseledge.agreement.owner_record import decode_owner
from primroseledge.agreement.owner_record import encode_owner
from primroseledge.agreement.owner_record import NO_OWNER
from primroseledge.agreement.owner_record import owner_key
from primroseledge.agreement.owner_record import OwnerRecord
from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.errors import DocumentError
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store import Record

RETRY_S: Final = 0.05
RELEASE_POLL_S: Final = 0.01


class RecordAccess:
    """What is under way, and when the next call may be made.

    ``pending`` is the write whose result is not known; it may be sent
    again, since the record's revision must still be ``expected``.
    """

    def __init__(
        self, cell: CellId, me: EntryId, incarnation: Incarnation
    ) -> None:
        self.cell = cell
        self.writer = f'{me}.{incarnation}'
        self.revision = Revision(0)
        self.has_read = False
        self.is_reading = False
        self.next_at = NEVER
        self.pending: WriteRecord | None = None
        self.is_writing = False
        self.write_began_at = NEVER
        self.write_count = 0

    def read(self, now: float, interval_s: float) -> list[ReadRecord]:
        """Start a read unless one is under way."""
        if self.is_reading:
            return []
        self.is_reading = True
        self.next_at = now + interval_s
        return [ReadRecord(self.cell)]

    def take(self, record: Record | None) -> None:
        """Take the result of a read."""
        self.has_read = True
        self.revision = record.revision if record else Revision(0)

    def write(self, record: OwnerRecord, now: float) -> WriteRecord:
        """Start to write a record on top of the one that was read."""
        self.write_count += 1
        self.pending = WriteRecord(
            self.cell,
            owner_key(self.cell),
            encode_owner(record),
            self.revision,
            WriteId(f'{self.writer}.{self.write_count}'),
        )
        return self.send(self.pending, now)

    def send(self, write: WriteRecord, now: float) -> WriteRecord:
        """Send a write, perhaps again; its write id makes that safe."""
        self.is_writing = True
        self.write_began_at = now
        return write

    def resend_due(self, now: float) -> WriteRecord | None:
        """Return the write that is to be sent again now, if any."""
        is_idle = not self.is_writing and now >= self.next_at
        return self.pending if is_idle else None

    def end_write(
        self,
        write_id: WriteId,
        result: WriteResult,
        revision: Revision,
        now: float,
    ) -> OwnerRecord | None:
        """Take a result; return the record once its fate is known.

        A conflict leaves it open, since an earlier try of the same
        write may have taken effect.
        """
        if self.pending is None or self.pending.write_id != write_id:
            return None
        self.is_writing = False
        if result is WriteResult.DONE:
            record = decode_owner(self.pending.value)
            self.revision = revision
            self.pending = None
            return record
        is_conflict = result is WriteResult.CONFLICT
        self.next_at = now if is_conflict else now + RETRY_S
        return None

    def drop(self) -> None:
        """Give up the pending write; its result is ignored."""
        self.pending = None
        self.is_writing = False


def parse_owner(record: Record | None) -> OwnerRecord:
    """Return the owner in a store's record; none if it is malformed."""
    if record is None or record.value is None:
        return NO_OWNER
    try:
        return decode_owner(record.value)
    except DocumentError:
        return NO_OWNER
