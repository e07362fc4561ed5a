"""Check a sender's right to send as the last step before a socket.

A process can be paused or suspended between its decision and the send, for
longer than its right lasts. So the connection asks once more, after it was
opened and before each part of a call goes out. Between that answer and the
system call it may be paused too; the receiver has to refuse what comes then.
"""

from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import Any
from typing import Final

from urllib3.connection import HTTPConnection
from urllib3.connection import HTTPSConnection

from primroseledge.errors import PrimroseledgeError

MaySend = Callable[[], bool]


class SendForbiddenError(PrimroseledgeError):
    """The right to send has ended; the rest of the call was not sent.

    ``has_begun`` says that a part of it was. No receiver carries it out
    without the rest.
    """

    def __init__(self, has_begun: bool) -> None:
        super().__init__('the right to send has ended')
        self.has_begun = has_begun


class SendCheck:
    """The right to send one call."""

    def __init__(self, may_send: MaySend) -> None:
        self.may_send = may_send
        self.has_begun = False

    def check(self) -> None:
        """Raise SendForbiddenError unless the next part may be sent."""
        if not self.may_send():
            raise SendForbiddenError(self.has_begun)
        self.has_begun = True


CURRENT_CHECK: Final[ContextVar[SendCheck | None]] = ContextVar(
    'current_check', default=None
)


@contextmanager
def send_only_if(may_send: MaySend) -> Iterator[None]:
    """Check each send of this thread's call by this function."""
    token = CURRENT_CHECK.set(SendCheck(may_send))
    try:
        yield
    finally:
        CURRENT_CHECK.reset(token)


def check_before_send(connection: HTTPConnection) -> None:
    """Open a connection if need be, then check the right to send."""
    check = CURRENT_CHECK.get()
    if check is None:
        return
    if connection.sock is None:
        connection.connect()
    check.check()


class CheckedConnection(HTTPConnection):
    """A connection that checks the right to send before each send."""

    def send(self, data: Any) -> None:
        """Send a part of a call; raises SendForbiddenError."""
        check_before_send(self)
        super().send(data)


class CheckedSecureConnection(HTTPSConnection):
    """The same by TLS."""

    def send(self, data: Any) -> None:
        """Send a part of a call; raises SendForbiddenError."""
        check_before_send(self)
        super().send(data)
