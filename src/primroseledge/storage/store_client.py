"""The key-value service over HTTP, as a ``Store``."""

from collections.abc import Sequence
from typing import Any
from typing import Final
from typing import TypeVar

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from urllib3.util import make_headers

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.json_call import JsonCaller
from primroseledge.storage.json_call import LostAnswerError
from primroseledge.storage.json_call import NotReachedError
from primroseledge.storage.json_call import StatusError
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot

CONFLICT: Final = 409
NOT_ALLOWED: Final = (401, 403)


class Found(Struct, frozen=True):
    """The answer to a read or a watch."""

    revision: Revision
    records: tuple[Record, ...]


class Written(Struct, frozen=True):
    """The answer to a write."""

    revision: Revision


class Leased(Struct, frozen=True):
    """The answer to a request for a lease."""

    lease: str


AnswerT = TypeVar('AnswerT', Written, Leased)


class HttpStore:
    """Calls the key-value service; each call is one HTTP request.

    The URLs are tried in turn for reads. A write goes to one URL, and
    to the next only when the first could not be reached at all.
    """

    def __init__(
        self, urls: Sequence[str], timeout_s: float, credentials: str = ''
    ) -> None:
        headers = make_headers(basic_auth=credentials) if credentials else None
        self.caller = JsonCaller(urls, timeout_s, headers)

    def close(self) -> None:
        """Close the connections."""
        self.caller.close()

    def read(self, prefix: str) -> Snapshot:
        """Return the records under a prefix."""
        data = self.call('GET', 'kv', {'prefix': prefix})
        return decode_snapshot(data)

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
        lease: str | None = None,
    ) -> Revision:
        """Write or delete a key; see ``Store.write``."""
        answer = self.call(
            'POST',
            'cas',
            {
                'key': key,
                'value': value,
                'expected': expected,
                'write_id': write_id,
                'lease': lease,
            },
        )
        return decode_answer(answer, Written).revision

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Snapshot:
        """Wait for changes; see ``Store.watch``."""
        fields = {'prefix': prefix, 'after': after, 'wait_s': wait_s}
        return decode_snapshot(self.call('GET', 'watch', fields, wait_s))

    def grant_lease(self, ttl_s: float) -> str:
        """Create a lease."""
        answer = self.call('POST', 'lease', {'ttl_s': ttl_s})
        return decode_answer(answer, Leased).lease

    def keep_alive(self, lease: str) -> None:
        """Renew a lease."""
        self.call('POST', 'keepalive', {'lease': lease})

    def call(
        self,
        method: str,
        operation: str,
        fields: dict[str, Any],
        wait_s: float = 0.0,
    ) -> bytes:
        """Make one call and return its answer."""
        try:
            return self.caller.call(method, f'v1/{operation}', fields, wait_s)
        except NotReachedError as error:
            text = f'{operation}: {error}'
            raise StoreUnavailableError(text) from error
        except LostAnswerError as error:
            text = f'{operation}: {error}'
            raise StoreOutcomeUnknownError(text) from error
        except StatusError as error:
            raise refusal(operation, error) from error


def refusal(operation: str, error: StatusError) -> StoreError:
    """Return the error for a call that the store refused."""
    if error.status == CONFLICT:
        return ConflictError(error.text)
    if error.status in NOT_ALLOWED:
        text = f'{operation}: the store refused the credentials'
        return StoreError(text)
    return StoreError(f'{operation}: {error}')


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the records in an answer.

    They are decoded straight to their type, since a whole
    configuration in bare maps takes several times its memory.
    """
    try:
        found = json.decode(data, type=Found)
    except DecodeError as error:
        raise StoreUnavailableError(f'malformed answer: {error}') from error
    return Snapshot(found.revision, found.records)


def decode_answer(data: bytes, answer_type: type[AnswerT]) -> AnswerT:
    """Return the typed answer to a write, or say that it was lost."""
    try:
        return json.decode(data, type=answer_type)
    except DecodeError as error:
        raise StoreOutcomeUnknownError(f'malformed answer: {error}') from error


def open_store(
    urls: Sequence[str], timeout_s: float, credentials: str = ''
) -> HttpStore:
    """Return a store client; the caller closes it."""
    return HttpStore(urls, timeout_s, credentials)
