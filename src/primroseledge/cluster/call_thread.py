"""A thread that makes blocking calls for the node loop, one at a time.

The loop waits for the result of each call. So an error that nobody foresaw
is logged and posted as a result too, which says that the outcome is unknown;
it never ends the thread.
"""

from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import Any
from typing import Protocol

from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.logs import LOGGER


class Inbox(Protocol):
    """The queue through which threads post results to the node loop."""

    def post(self, item: Any) -> None:
        """Queue an item for the loop; safe to call from any thread."""


def log_call_failure(thread: str, error: Exception) -> None:
    """Log an error that a thread's call should not have raised."""
    problem = f'{type(error).__name__}: {error}'
    log(Event.CALL_FAILED, thread=thread, problem=problem)
    LOGGER.error('defect', exc_info=error)


class CallThread:
    """Passes queued calls to ``make_call`` and posts each result.

    The calls run one at a time, in the order in which they were submitted.
    If ``make_call`` raises, the result is that of ``fail_call``, which gets
    the call and the error. ``close`` runs in the thread when it ends.
    """

    def __init__(
        self,
        inbox: Inbox,
        make_call: Callable[[Any], Any],
        fail_call: Callable[[Any, Exception], Any],
        close: Callable[[], None],
        name: str,
    ) -> None:
        self.inbox = inbox
        self.make_call = make_call
        self.fail_call = fail_call
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
            self.inbox.post(self.result_of(call))

    def result_of(self, call: Any) -> Any:
        """Make a call; return its result, or that of its failure."""
        try:
            return self.make_call(call)
        except Exception as error:
            log_call_failure(self.thread.name, error)
            return self.fail_call(call, error)
