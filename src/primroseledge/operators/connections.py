"""What an operator's command reaches: the store, entry instances, time."""

from collections.abc import Sequence
from contextlib import AbstractContextManager
from contextlib import closing
from time import monotonic
from time import sleep
from time import time
from typing import Protocol

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from msgspec import ValidationError

from primroseledge.errors import OperatorError
from primroseledge.errors import UnreachableError
from primroseledge.storage.store import Store


class EntryStatus(Struct, frozen=True):
    """What an entry instance's status page says; the rest is ignored."""

    entry: str
    revision: int
    fresh: bool
    members: list[str] = []
    owners: dict[str, str] = {}
    open_calls: int = 0


class RequestExplanation(Struct, frozen=True):
    """What ``/-/explain/ID`` says of a request or job, one of a list."""

    state: str
    explanation: str


class Connections(Protocol):
    """Opens what a command needs; tests hand in their own."""

    def open_store(
        self, urls: Sequence[str], timeout_s: float, credentials: str
    ) -> AbstractContextManager[Store]:
        """Open the store."""

    def fetch(self, url: str, operator_key: str, timeout_s: float) -> bytes:
        """Get a page of an entry instance; raises OperatorError."""

    def sleep(self, seconds: float) -> None:
        """Wait."""

    def now(self) -> float:
        """Return monotonic seconds."""

    def wall_clock(self) -> float:
        """Return seconds since the epoch."""


class NetworkConnections:
    """Connections over the network."""

    def open_store(
        self, urls: Sequence[str], timeout_s: float, credentials: str
    ) -> AbstractContextManager[Store]:
        """Open the store; the block closes it."""
        from primroseledge.storage.store_client import open_store

        return closing(open_store(urls, timeout_s, credentials))

    def fetch(self, url: str, operator_key: str, timeout_s: float) -> bytes:
        """Get a page of an entry instance with the operator's key."""
        from urllib3 import exceptions
        from urllib3 import PoolManager

        headers = {'Accept': 'application/json'}
        if operator_key:
            headers['Authorization'] = f'Bearer {operator_key}'
        try:
            with PoolManager(retries=False, timeout=timeout_s) as pool:
                response = pool.request('GET', url, headers=headers)
        except exceptions.HTTPError as error:
            raise UnreachableError(f'{url}: {error}') from error
        if response.status in (401, 403):
            raise OperatorError(
                f'{url}: not allowed; set PRIMROSELEDGE_OPERATOR_KEY to a '
                'key whose record stands in operator_keys of the settings'
            )
        if response.status != 200:
            raise OperatorError(f'{url}: status {response.status}')
        return response.data

    def sleep(self, seconds: float) -> None:
        """Wait."""
        sleep(seconds)

    def now(self) -> float:
        """Return monotonic seconds."""
        return monotonic()

    def wall_clock(self) -> float:
        """Return seconds since the epoch."""
        return time()


def decode_status(url: str, data: bytes) -> EntryStatus:
    """Decode a status page; raises OperatorError."""
    try:
        return json.decode(data, type=EntryStatus)
    except (ValidationError, DecodeError) as error:
        raise OperatorError(f'{url}: {error}') from error


def decode_explanations(url: str, data: bytes) -> list[RequestExplanation]:
    """Decode a page of explanations; raises OperatorError."""
    try:
        return json.decode(data, type=list[RequestExplanation])
    except (ValidationError, DecodeError) as error:
        raise OperatorError(f'{url}: {error}') from error
