"""Carries one attempt to an upstream and judges how it ended.

Runs on server threads. It decides nothing: it sends what it is told
to send and reports what it can prove.
"""

from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

from urllib3._collections import HTTPHeaderDict
from urllib3.connectionpool import HTTPConnectionPool
from urllib3.exceptions import ConnectTimeoutError
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.poolmanager import PoolManager
from urllib3.response import BaseHTTPResponse
from urllib3.util import Timeout

from primroseledge.clock import boot_time
from primroseledge.http_client import is_closed
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.send_check import CheckedConnection
from primroseledge.send_check import send_only_if
from primroseledge.send_check import SendForbiddenError

MAX_ADDRESSES: Final = 200
"""Fewer than the pools that the pool manager keeps open."""

CONNECT_TIMEOUT_S: Final = 0.5
REQUEST_ID_HEADER: Final = 'X-Request-Id'
ATTEMPT_ID_HEADER: Final = 'X-Attempt-Id'
TEAM_HEADER: Final = 'X-Team'
EXECUTION_HEADER: Final = 'X-Execution'
NOT_RUN_VALUE: Final = 'not-run'
FIRST_FAILURE_STATUS: Final = 500


@dataclass(frozen=True, slots=True)
class Outbound:
    """A caller's request as it goes to an upstream."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer of an upstream."""

    status: int
    reason: str
    headers: HTTPHeaderDict
    body: bytes


class CheckedPool(HTTPConnectionPool):
    """A pool whose connections check the right to send before each send."""

    ConnectionCls = CheckedConnection


class Carrier:
    """Keeps connections to upstreams and carries attempts over them."""

    def __init__(self, connections: int, max_answer_bytes: int) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.by_address: dict[str, HTTPConnectionPool] = {}
        self.resources = ExitStack()
        self.pool = PoolManager(
            num_pools=256, maxsize=connections, block=False, retries=False
        )
        self.pool.pool_classes_by_scheme = {'http': CheckedPool}
        self.resources.callback(self.pool.clear)

    def close(self) -> None:
        """Close all connections."""
        self.resources.close()

    def carry(
        self, start: StartAttempt, outbound: Outbound
    ) -> tuple[AttemptEnd, Answer | None]:
        """Make an attempt; return how it ended, and the answer if whole.

        NOT_SENT and TOO_LATE mean that no byte of the request left,
        REFUSED that the upstream says that it did not run it, BROKEN that it
        broke the connection off.
        """
        if boot_time() >= start.start_by:
            return AttemptEnd.TOO_LATE, None
        try:
            with send_only_if(lambda: boot_time() < start.start_by):
                response = self.send(start, outbound)
        except SendForbiddenError as error:
            is_unsent = not error.has_begun
            return AttemptEnd.TOO_LATE if is_unsent else AttemptEnd.LOST, None
        except (NewConnectionError, ConnectTimeoutError):
            return AttemptEnd.NOT_SENT, None
        except HTTPError as error:
            return end_of(error), None
        return self.judge(start, response)

    def send(
        self, start: StartAttempt, outbound: Outbound
    ) -> BaseHTTPResponse:
        """Send the request and read the whole answer."""
        headers = dict(outbound.headers)
        headers[REQUEST_ID_HEADER] = start.request_id
        headers[ATTEMPT_ID_HEADER] = start.grant_id
        headers[TEAM_HEADER] = start.team
        return self.connections_to(start.address).urlopen(
            outbound.method,
            outbound.target,
            body=outbound.body or None,
            headers=headers,
            redirect=False,
            retries=False,
            preload_content=False,
            decode_content=False,
            enforce_content_length=True,
            timeout=Timeout(
                connect=min(CONNECT_TIMEOUT_S, start.timeout_s),
                total=start.timeout_s,
            ),
        )

    def connections_to(self, address: str) -> HTTPConnectionPool:
        """Return the connections to an upstream."""
        known = self.by_address.get(address)
        if known is None:
            known = self.pool.connection_from_url(f'http://{address}')
            self.by_address[address] = known
            if len(self.by_address) > MAX_ADDRESSES:
                del self.by_address[next(iter(self.by_address))]
        return known

    def judge(
        self, start: StartAttempt, response: BaseHTTPResponse
    ) -> tuple[AttemptEnd, Answer | None]:
        """Read the answer and check that it is whole and ours."""
        try:
            body = response.read(self.max_answer_bytes + 1)
            is_long = len(body) > self.max_answer_bytes
        except HTTPError as error:
            response.close()
            return end_of(error), None
        is_ours = response.headers.get(ATTEMPT_ID_HEADER) == start.grant_id
        if is_long or not is_ours:
            response.close()
            return AttemptEnd.BAD_ANSWER, None
        response.release_conn()
        if response.headers.get(EXECUTION_HEADER) == NOT_RUN_VALUE:
            return AttemptEnd.REFUSED, None
        end = AttemptEnd.ANSWERED
        if response.status >= FIRST_FAILURE_STATUS:
            end = AttemptEnd.FAILED
        return end, Answer(
            response.status, response.reason or '', response.headers, body
        )


def end_of(error: HTTPError) -> AttemptEnd:
    """Return how an attempt ended that has no whole answer."""
    return AttemptEnd.BROKEN if is_closed(error) else AttemptEnd.LOST
