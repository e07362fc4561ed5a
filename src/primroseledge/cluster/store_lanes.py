"""One store thread for each lane in which an owner stores batches.

The first lane's thread also claims and releases the ownership. The others are
started when they are first needed: only an owner whose store is slow needs
them.
"""

from collections.abc import Callable
from contextlib import ExitStack
from threading import Lock

from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.store_failures import StoreCommand
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.ids import Epoch
from primroseledge.ids import LaneId
from primroseledge.owner.batch import FIRST_LANE

CreateThread = Callable[[ExitStack], StoreThread]
"""Returns a thread; the exit stack closes what it uses, once it is stopped."""


class StoreLanes:
    """The store threads of an instance, by lane."""

    def __init__(self, create_thread: CreateThread) -> None:
        self.create_thread = create_thread
        self.threads: dict[LaneId, StoreThread] = {}
        self.current_epoch = Epoch(0)
        self.lock = Lock()
        self.resources = ExitStack()
        self.is_stopped = False

    def submit(self, command: StoreCommand) -> None:
        """Queue a command for its lane's thread."""
        lane = FIRST_LANE
        if isinstance(command, StoreBatch):
            lane = command.batch.lane
        thread = self.thread_of(lane)
        if thread is not None:
            thread.submit(command)

    def thread_of(self, lane: LaneId) -> StoreThread | None:
        """Return a lane's running thread, or None once stopped."""
        with self.lock:
            if self.is_stopped:
                return None
            thread = self.threads.get(lane)
            if thread is None:
                thread = self.create_thread(self.resources)
                self.threads[lane] = thread
                thread.current_epoch = self.current_epoch
                self.resources.callback(thread.stop)
                thread.start()
            return thread

    def set_epoch(self, epoch: Epoch) -> None:
        """Set the epoch in which this instance is the owner, or 0."""
        self.current_epoch = epoch
        for thread in list(self.threads.values()):
            thread.current_epoch = epoch

    def stop(self) -> None:
        """Stop all threads after the commands that are queued."""
        with self.lock:
            self.is_stopped = True
            self.resources.close()
