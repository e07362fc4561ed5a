"""Callers behind the platform's balancer, and what they were told."""

from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from random import Random
from threading import Lock
from time import monotonic
from time import sleep
from time import time
from uuid import UUID

from msgspec import json
from urllib3.exceptions import HTTPError
from urllib3.exceptions import NewConnectionError
from urllib3.poolmanager import PoolManager
from urllib3.util import Timeout

CONNECT_S = 1.0
RESENDS = 8
RESEND_PAUSE_S = 0.3


class Told(Enum):
    """What a caller was told of a request."""

    ANSWERED = 'answered'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    RAN = 'ran'
    NOTHING = 'nothing'


@dataclass(frozen=True, slots=True)
class Cut:
    """A connection that broke before its answer was whole."""

    port: int
    began_at: float
    ended_at: float
    problem: str


@dataclass(slots=True)
class Sent:
    """A request of a caller and its end."""

    request_id: str
    is_idempotent: bool
    body: str
    began_at: float
    told: Told = Told.NOTHING
    is_whole: bool = True
    ended_at: float = 0.0
    reason: str = ''
    sends: int = 0
    service: str = ''
    cuts: list[Cut] = field(default_factory=list)


@dataclass(slots=True)
class Balancer:
    """Gives each request to the next ready entry instance in turn."""

    ports: Sequence[int]
    position: int = 0
    unready: set[int] = field(default_factory=set)
    lock: Lock = field(default_factory=Lock)

    def next_port(self) -> int:
        """Return the port of the next entry instance."""
        with self.lock:
            for _ in self.ports:
                self.position += 1
                port = self.ports[self.position % len(self.ports)]
                if port not in self.unready:
                    break
            return port


class Caller:
    """Sends requests; sends one again while its end is not known."""

    def __init__(
        self, balancer: Balancer, service: str, seed: int, work_s: float
    ) -> None:
        self.balancer = balancer
        self.service = service
        self.random = Random(seed)
        self.work_s = work_s
        self.pool = PoolManager(maxsize=200, retries=False, num_pools=50)

    def send(self, key: str, is_idempotent: bool, timeout_s: float) -> Sent:
        """Send a request and return what became of it."""
        request_id = uuid7(self.random)
        sent = Sent(request_id, is_idempotent, request_id[-8:], monotonic())
        sent.service = self.service
        for _ in range(RESENDS):
            sent.sends += 1
            if self.try_once(sent, key, timeout_s):
                break
            sleep(RESEND_PAUSE_S)
        sent.ended_at = monotonic()
        return sent

    def try_once(self, sent: Sent, key: str, timeout_s: float) -> bool:
        """Send once; return whether the caller has a final answer."""
        port, began_at = self.balancer.next_port(), monotonic()
        url = f'http://127.0.0.1:{port}'
        try:
            response = self.pool.request(
                'PUT' if sent.is_idempotent else 'POST',
                f'{url}/services/{self.service}/work',
                body=sent.body.encode(),
                headers={
                    'Authorization': f'Bearer {key}',
                    'Idempotency-Key': sent.request_id,
                    'Request-Timeout': str(timeout_s),
                    'X-Work-Seconds': str(self.work_s),
                },
                timeout=Timeout(connect=CONNECT_S, read=timeout_s + 2),
            )
        except NewConnectionError:
            return False
        except HTTPError as error:
            sent.told = Told.NOTHING
            cut = Cut(port, began_at, monotonic(), type(error).__name__)
            sent.cuts.append(cut)
            return False
        sent.reason = response.headers.get('X-Reason', '')
        sent.told = told_by(response.status, response.headers)
        if sent.told is Told.ANSWERED:
            answer = json.decode(response.data)
            sent.is_whole = answer == {
                'echo': sent.body,
                'id': sent.request_id,
            }
        return True


def told_by(status: int, headers: object) -> Told:
    """Return what an answer says of the request."""
    assert hasattr(headers, 'get')
    if status == 200:
        return Told.ANSWERED
    return Told(headers.get('X-Outcome', 'unknown'))


def uuid7(random: Random) -> str:
    """Return a version 7 UUID with the present time."""
    milliseconds = int(time() * 1000)
    value = (milliseconds << 80) | random.getrandbits(80)
    value &= ~((0xF << 76) | (0x3 << 62))
    value |= (0x7 << 76) | (0x2 << 62)
    return str(UUID(int=value))
