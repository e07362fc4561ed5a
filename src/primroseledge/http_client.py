"""Calls over HTTP to one address, and what is known when one fails."""

from collections.abc import Mapping
from dataclasses import dataclass
from socket import IPPROTO_TCP
from socket import SO_KEEPALIVE
from socket import SOL_SOCKET
from socket import TCP_NODELAY
from socket import TCP_USER_TIMEOUT
from typing import Final

from urllib3.connectionpool import HTTPConnectionPool
from urllib3.connectionpool import HTTPSConnectionPool
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.util import Timeout

from primroseledge.errors import PrimroseledgeError

JSON_HEADERS: Final = {'Content-Type': 'application/json'}
CONNECT_TIMEOUT_S: Final = 0.6
"""A connection within a region opens in milliseconds."""

UNSENT_DATA_TIMEOUT_MS: Final = 2000
"""After this long without acknowledgement, TCP gives a connection up."""

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


class NotSentError(PrimroseledgeError):
    """No connection could be opened, so the call was not made."""


class NoAnswerError(PrimroseledgeError):
    """The call was made, and no whole answer came."""


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """A status and a body."""

    status: int
    body: bytes


class HttpClient:
    """Keeps a few connections to one address, by TLS if asked to."""

    def __init__(
        self, address: str, connections: int = 1, is_secure: bool = False
    ) -> None:
        host, _, port = address.rpartition(':')
        kind = HTTPSConnectionPool if is_secure else HTTPConnectionPool
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
        """Make one call; raises NotSentError and NoAnswerError."""
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
            raise NotSentError(str(error)) from error
        except UNANSWERED_ERRORS as error:
            raise NoAnswerError(str(error)) from error
        return HttpAnswer(response.status, response.data)

    def close(self) -> None:
        """Close the connections."""
        self.pool.close()
