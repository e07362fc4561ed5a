"""A thread that makes one call after another and posts the results."""

from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import Any
from typing import Protocol


class Inbox(Protocol):
    """Where threads post what they found out."""

    def post(self, item: Any) -> None:
        """Hand something to the loop; any thread may call it."""


class CallThread:
    """Makes calls through a function; closes its port at the end."""

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
        """Queue a call; its result is posted to the loop."""
        self.calls.put(call)

    def stop(self) -> None:
        """End the thread after the call under way."""
        self.calls.put(None)

    def run(self) -> None:
        """Make calls until told to end."""
        while True:
            call = self.calls.get()
            if call is None:
                self.close()
                return
            self.inbox.post(self.make_call(call))
