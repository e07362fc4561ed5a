"""A thread that makes blocking calls for the node loop, one at a time."""

from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import Any
from typing import Protocol


class Inbox(Protocol):
    """The queue through which threads post results to the node loop."""

    def post(self, item: Any) -> None:
        """Queue an item for the loop; safe to call from any thread."""


class CallThread:
    """Passes queued calls to ``make_call`` and posts each result.

    The calls run one at a time, in the order in which they were submitted.
    ``close`` runs in the thread when it ends.
    """

    def __init__(
        self,
        inbox: Inbox,
        make_call: Callable[[Any], Any],
        close: Callable[[], None],
        name: str,
    ) -> None:
        self.inbox = inbox
        self.make_call = make_call
        self.close = close
        self.calls: SimpleQueue[Any] = SimpleQueue()
        self.thread = Thread(target=self.run, name=name, daemon=True)
        self.thread.start()

    def submit(self, call: Any) -> None:
        """Queue a call; its result is posted to the inbox."""
        self.calls.put(call)

    def stop(self) -> None:
        """End the thread after the calls that are already queued."""
        self.calls.put(None)

    def run(self) -> None:
        """Make queued calls until ``stop`` is called, then close."""
        while True:
            call = self.calls.get()
            if call is None:
                self.close()
                return
            self.inbox.post(self.make_call(call))
