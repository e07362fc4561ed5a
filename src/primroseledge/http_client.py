"""Calls over HTTP to one address, and what is known when one fails."""

from collections.abc import Mapping
from dataclasses import dataclass
from http.client import HTTPResponse
from io import BufferedReader
from io import RawIOBase
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import socket
from socket import SOL_SOCKET
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from time import monotonic
from typing import Any
from typing import Final

from urllib3.connectionpool import HTTPConnectionPool
from urllib3.connectionpool import HTTPSConnectionPool
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.util import Timeout

from primroseledge.errors import PrimroseledgeError
from primroseledge.send_check import CheckedConnection
from primroseledge.send_check import CheckedSecureConnection
from primroseledge.send_check import SendForbiddenError

JSON_HEADERS: Final = {'Content-Type': 'application/json'}
CONNECT_TIMEOUT_S: Final = 0.6
"""A connection within a region opens in milliseconds."""

UNSENT_DATA_TIMEOUT_MS: Final = 2000
"""After this long without acknowledgement, TCP gives a connection up."""

SLOW_ANSWER_S: Final = 1.0
"""How much longer than a call's time-out a whole answer may take.

A page of the store of a megabyte may need it on a slow link.
"""

UNANSWERED_ERRORS: Final = (
    HTTPError,
    OSError,
    ArithmeticError,
    MemoryError,
    ValueError,
)
"""What a call raises when no whole answer came.

The last three come from lengths of a body or chunk that no memory holds.
"""


class CallError(PrimroseledgeError):
    """A call got no whole answer.

    ``was_closed`` says that the other end refused the connection or broke it
    off; otherwise nothing may have come back from there.
    """

    def __init__(self, problem: str = '', was_closed: bool = False) -> None:
        super().__init__(problem)
        self.was_closed = was_closed


class NotSentError(CallError):
    """The call was not made.

    No connection could be opened, or the right to send it had ended.
    """


class NoAnswerError(CallError):
    """The call was made, and no whole answer came."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A status and a body."""

    status: int
    body: bytes


class TimedReader(RawIOBase):
    """Reads from a socket, each read within its time-out, and all in time.

    Together they may take ``SLOW_ANSWER_S`` longer than one. The time-out of
    a socket alone begins anew with each read, so that a server which sends
    byte by byte could hold a call for hours.
    """

    def __init__(self, connection: socket, source: RawIOBase) -> None:
        self.connection = connection
        self.source = source
        self.timeout_s = connection.gettimeout() or 0.0
        self.ends_at = monotonic() + self.timeout_s + SLOW_ANSWER_S

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Read into a buffer; raises TimeoutError when the time is over."""
        left_s = self.ends_at - monotonic()
        if left_s <= 0:
            raise TimeoutError('timed out')
        self.connection.settimeout(min(self.timeout_s, left_s))
        return self.source.readinto(buffer)

    def close(self) -> None:
        """Close the source."""
        self.source.close()
        super().close()


class TimedAnswer(HTTPResponse):
    """An answer that must be whole soon after the socket's time-out."""

    def __init__(
        self, connection: socket, *arguments: Any, **options: Any
    ) -> None:
        super().__init__(connection, *arguments, **options)
        self.fp = BufferedReader(TimedReader(connection, self.fp.detach()))


class TimedConnection(CheckedConnection):
    """A connection whose answers are read in bounded time."""

    response_class = TimedAnswer


class TimedSecureConnection(CheckedSecureConnection):
    """The same by TLS."""

    response_class = TimedAnswer


class TimedPool(HTTPConnectionPool):
    """A pool of connections whose answers are read in bounded time."""

    ConnectionCls = TimedConnection


class TimedSecurePool(HTTPSConnectionPool):
    """The same by TLS."""

    ConnectionCls = TimedSecureConnection


class HttpClient:
    """Keeps a few connections to one address, by TLS if asked to."""

    def __init__(
        self, address: str, connections: int = 1, is_secure: bool = False
    ) -> None:
        host, _, port = address.rpartition(':')
        kind = TimedSecurePool if is_secure else TimedPool
        self.pool = kind(
            host,
            int(port),
            maxsize=connections,
            block=True,
            socket_options=[
                (IPPROTO_TCP, TCP_NODELAY, 1),
                (SOL_SOCKET, SO_KEEPALIVE, 1),
                (IPPROTO_TCP, TCP_USER_TIMEOUT, UNSENT_DATA_TIMEOUT_MS),
            ],
        )

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
    ) -> HttpAnswer:
        """Make one call; raises NotSentError and NoAnswerError.

        An answer must begin within ``timeout_s`` after the call was sent and
        be whole ``SLOW_ANSWER_S`` later; opening a connection takes at most
        ``CONNECT_TIMEOUT_S`` more.
        """
        all_headers = dict(JSON_HEADERS) if body is not None else {}
        all_headers.update(headers or {})
        try:
            response = self.pool.urlopen(
                method,
                path,
                body=body,
                headers=all_headers,
                retries=False,
                redirect=False,
                timeout=Timeout(
                    connect=min(CONNECT_TIMEOUT_S, timeout_s), read=timeout_s
                ),
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise NotSentError(str(error), is_closed(error)) from error
        except SendForbiddenError as error:
            failure = NoAnswerError if error.has_begun else NotSentError
            raise failure(str(error)) from error
        except UNANSWERED_ERRORS as error:
            raise NoAnswerError(str(error), is_closed(error)) from error
        return HttpAnswer(response.status, response.data)

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()


def is_closed(error: BaseException) -> bool:
    """Return whether an error says that the other end closed a connection.

    urllib3 keeps the error of the socket as the cause or as an argument.
    """
    found = (error, error.__cause__, *error.args)
    return any(isinstance(part, ConnectionError) for part in found)
