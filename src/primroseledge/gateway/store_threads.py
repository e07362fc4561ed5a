"""The threads that call the key-value service for the loop."""

from dataclasses import dataclass
from queue import SimpleQueue
from random import uniform
from threading import Event as Flag
from threading import Thread
from typing import Final

from primroseledge.agreement.configuration import snapshot_delta
from primroseledge.agreement.owner_record import owner_key
from primroseledge.agreement.ownership_actions import ReadRecord
from primroseledge.agreement.ownership_actions import WriteRecord
from primroseledge.agreement.ownership_actions import WriteResult
from primroseledge.clock import boot_time
from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.gateway.loop import Loop
from primroseledge.gateway.node import Node
from primroseledge.ids import CellId
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.metrics import Metrics
from primroseledge.requests.actions import Action
from primroseledge.requests.messages import ConfigDelta
from primroseledge.storage.documents import CONFIG_PREFIX
from primroseledge.storage.store import Record
from primroseledge.storage.store import Store

WATCH_WAIT_S: Final = 0.7
"""How long one watch waits; a node's evidence is renewed as often."""

RETRY_S: Final = 0.3
MAX_RETRY_S: Final = 1.0
BACKOFF: Final = 1.5
IDLE_S: Final = 0.1


@dataclass(frozen=True, slots=True)
class ConfigRead:
    """A read or watch of the configuration."""

    delta: ConfigDelta
    store_revision: Revision
    began_at: float

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give it to the node."""
        return node.config_read(
            self.delta, self.store_revision, self.began_at, now
        )


@dataclass(frozen=True, slots=True)
class RecordRead:
    """A read of a cell's record; ``has_failed`` when it gave nothing."""

    cell: CellId
    record: Record | None
    began_at: float
    has_failed: bool = False

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give it to the node."""
        if self.has_failed:
            node.record_read_failed(self.cell)
            return []
        return node.record_read(self.cell, self.record, self.began_at, now)


@dataclass(frozen=True, slots=True)
class RecordWritten:
    """The result of a write of a cell's record."""

    write: WriteRecord
    result: WriteResult
    revision: Revision = Revision(0)

    def deliver(self, node: Node, now: float) -> list[Action]:
        """Give it to the node."""
        return node.record_written(self.write, self.result, self.revision, now)


class ConfigWatcher:
    """Reads the configuration, and watches it while the loop wants it."""

    def __init__(self, loop: Loop, store: Store, metrics: Metrics) -> None:
        self.loop = loop
        self.store = store
        self.metrics = metrics
        self.stopped = Flag()
        self.failing_since: float | None = None
        self.retry_s = RETRY_S
        self.thread = Thread(target=self.run, name='store-watch', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Ask the thread to end; it may still wait for an answer."""
        self.stopped.set()

    def run(self) -> None:
        """Watch until stopped; read all anew after a failure."""
        revision: Revision | None = None
        while not self.stopped.is_set():
            if revision is not None and not self.loop.is_watcher:
                revision = None
                self.stopped.wait(IDLE_S)
            elif revision is None and not self.loop.is_watcher:
                self.stopped.wait(IDLE_S)
            else:
                revision = self.call(revision)

    def call(self, revision: Revision | None) -> Revision | None:
        """Make one call; return the revision to go on from."""
        began_at = boot_time()
        try:
            if revision is None:
                snapshot = self.store.read(CONFIG_PREFIX)
            else:
                snapshot = self.store.watch(
                    CONFIG_PREFIX, revision, WATCH_WAIT_S
                )
        except StoreError as error:
            self.metrics.store_called('watch', False, boot_time() - began_at)
            self.failed(began_at, error)
            # Jitter spreads the calls of all instances after an outage.
            self.stopped.wait(self.retry_s * uniform(0.5, 1.0))
            self.retry_s = min(MAX_RETRY_S, self.retry_s * BACKOFF)
            return None
        self.retry_s = RETRY_S
        self.metrics.store_called('watch', True, boot_time() - began_at)
        self.succeeded(began_at)
        delta = snapshot_delta(snapshot, revision)
        self.loop.post(ConfigRead(delta, snapshot.revision, began_at))
        # Not the store's own counter, which other keys raise as well.
        return delta.upto

    def failed(self, began_at: float, error: StoreError) -> None:
        """Log the first failure after a success."""
        if self.failing_since is None:
            self.failing_since = began_at
            log(Event.STORE_UNAVAILABLE, problem=str(error))

    def succeeded(self, began_at: float) -> None:
        """Log the first success after a failure."""
        if self.failing_since is not None:
            seconds = round(began_at - self.failing_since, 1)
            log(Event.STORE_AVAILABLE, seconds=seconds)
            self.failing_since = None


class RecordThread:
    """Reads and writes cells' records in the order asked for."""

    def __init__(self, loop: Loop, store: Store, metrics: Metrics) -> None:
        self.loop = loop
        self.store = store
        self.metrics = metrics
        self.queue: SimpleQueue[ReadRecord | WriteRecord | None] = (
            SimpleQueue()
        )
        self.thread = Thread(target=self.run, name='store-calls', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def submit(self, step: ReadRecord | WriteRecord) -> None:
        """Queue a call."""
        self.queue.put(step)

    def stop(self) -> None:
        """Ask the thread to end after what is queued."""
        self.queue.put(None)

    def run(self) -> None:
        """Make the calls until stopped."""
        while (step := self.queue.get()) is not None:
            began_at = boot_time()
            if isinstance(step, ReadRecord):
                read = self.read(step, began_at)
                self.count('read', not read.has_failed, began_at)
                self.loop.post(read)
            else:
                written = self.write(step)
                is_done = written.result is WriteResult.DONE
                self.count('write', is_done, began_at)
                self.loop.post(written)

    def count(self, operation: str, is_done: bool, began_at: float) -> None:
        """Count a call."""
        took_s = boot_time() - began_at
        self.metrics.store_called(operation, is_done, took_s)

    def read(self, step: ReadRecord, began_at: float) -> RecordRead:
        """Read a record."""
        key = owner_key(step.cell)
        try:
            snapshot = self.store.read(key)
        except StoreError:
            return RecordRead(step.cell, None, began_at, has_failed=True)
        found = [record for record in snapshot.records if record.key == key]
        return RecordRead(step.cell, found[0] if found else None, began_at)

    def write(self, step: WriteRecord) -> RecordWritten:
        """Write a record."""
        try:
            revision = self.store.write(
                step.key, step.value, step.expected, step.write_id
            )
        except ConflictError:
            return RecordWritten(step, WriteResult.CONFLICT)
        except StoreOutcomeUnknownError:
            return RecordWritten(step, WriteResult.UNKNOWN)
        except StoreError:
            return RecordWritten(step, WriteResult.REFUSED)
        return RecordWritten(step, WriteResult.DONE, revision)
