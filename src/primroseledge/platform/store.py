"""The platform's store as a ``FleetStore``."""

from base64 import b64decode
from base64 import b64encode
from binascii import Error as Base64Error
from typing import Any
from typing import Final
from typing import TypeVar
from urllib.parse import urlencode

from msgspec import DecodeError
from msgspec import json

from primroseledge.cluster.fleet_store import HistoryLostError
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import ItemList
from primroseledge.cluster.fleet_store import Lease
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.httpclient import HttpAnswer
from primroseledge.httpclient import HttpClient
from primroseledge.httpclient import NoAnswerError
from primroseledge.httpclient import NotSentError
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.wire import WireItem
from primroseledge.platform.wire import WireItemPage
from primroseledge.platform.wire import WireWatchResponse
from primroseledge.platform.wire import WireWriteResponse

CALL_TIMEOUT_S: Final = 1.0
"""The store answers in 4 ms, and in 0.3 s when it is slow."""

OK: Final = 200
NOT_FOUND: Final = 404
GONE: Final = 410
CONFLICT: Final = 412
UNAVAILABLE_STATUSES: Final = (429, 503)

DecodedT = TypeVar('DecodedT')


class PlatformStore:
    """Calls the store over a connection of its own."""

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address)

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def read(self, key: str) -> Item | None:
        """Return an item, or nothing if there is none."""
        answer = self.get('/-/kv-key', {'key': key})
        if answer.status == NOT_FOUND:
            return None
        return to_item(decode_response(answer, WireItem))

    def read_all(self, prefix: str) -> ItemList:
        """Return all items under a prefix; not a snapshot."""
        items = list[Item]()
        after = ''
        first_at: int | None = None
        while True:
            query = {'prefix': prefix}
            if after:
                query['after'] = after
            page = decode_response(
                self.get('/-/kv-range', query), WireItemPage
            )
            if first_at is None:
                first_at = page.at
            items.extend(to_items(page.items))
            if not page.has_more or not page.items:
                return ItemList(tuple(items), Revision(first_at))
            after = page.items[-1].key

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        """Wait for changes; raises HistoryLostError."""
        query = {
            'prefix': prefix,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        answer = self.get('/-/kv-watch', query, wait_s)
        if answer.status == GONE:
            raise HistoryLostError(f'changes after {after} are gone')
        events = decode_response(answer, WireWatchResponse)
        return ItemList(tuple(to_items(events.events)), Revision(events.at))

    def commit(self, transaction: Transaction) -> Revision:
        """Carry a transaction out; raises ConflictError."""
        body = {
            'expect': [
                {'key': key, 'revision': revision}
                for key, revision in transaction.expected.items()
            ],
            'put': [
                {
                    'key': put.key,
                    'value': b64encode(put.value).decode(),
                    'lease': put.lease,
                }
                for put in transaction.puts
            ],
            'remove': list(transaction.removals),
        }
        answer = self.post('/-/kv-txn', body)
        if answer.status == CONFLICT:
            raise ConflictError('another writer was first')
        if answer.status == NOT_FOUND:
            raise LeaseEndedError('a lease in the transaction has ended')
        return Revision(decode_response(answer, WireWriteResponse).revision)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Begin a lease."""
        body = {'ttl_ms': int(ttl_s * 1000)}
        granted = decode_response(
            self.post('/-/kv-lease', body), WireWriteResponse
        )
        return Lease(LeaseId(granted.lease), granted.ttl_ms / 1000)

    def renew_lease(self, lease: LeaseId) -> float:
        """Renew a lease; return its time; raises LeaseEndedError."""
        answer = self.post(f'/-/kv-keep/{lease}', {})
        if answer.status == NOT_FOUND:
            raise LeaseEndedError(f'lease {lease} has ended')
        return decode_response(answer, WireWriteResponse).ttl_ms / 1000

    def get(
        self, path: str, query: dict[str, Any], wait_s: float = 0.0
    ) -> HttpAnswer:
        """Make a reading call; without an answer nothing was done."""
        target = f'{path}?{urlencode(query)}'
        try:
            answer = self.client.call(
                'GET', target, None, CALL_TIMEOUT_S + wait_s
            )
        except (NotSentError, NoAnswerError) as error:
            raise StoreUnavailableError(str(error)) from error
        return check_status(answer)

    def post(self, path: str, body: dict[str, Any]) -> HttpAnswer:
        """Make a call that may change something."""
        try:
            answer = self.client.call(
                'POST', path, json.encode(body), CALL_TIMEOUT_S
            )
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except NoAnswerError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        return check_status(answer)


def check_status(answer: HttpAnswer) -> HttpAnswer:
    """Return the answer unless the store says that it did nothing."""
    if answer.status in UNAVAILABLE_STATUSES:
        raise StoreUnavailableError(f'status {answer.status}')
    if answer.status not in (OK, NOT_FOUND, GONE, CONFLICT):
        text = answer.body[:200].decode(errors='replace')
        raise StoreError(f'status {answer.status}: {text}')
    return answer


def decode_response(
    answer: HttpAnswer, response_type: type[DecodedT]
) -> DecodedT:
    """Decode a body; raises StoreError when it is malformed."""
    try:
        return json.decode(answer.body, type=response_type)
    except DecodeError as error:
        raise StoreError(f'malformed answer: {error}') from error


def to_items(items: list[WireItem]) -> list[Item]:
    """Return the items that can be read; the rest is logged."""
    found = list[Item]()
    for item in items:
        try:
            found.append(to_item(item))
        except StoreError as error:
            log(Event.INPUT_SKIPPED, subject=item.key, problem=str(error))
    return found


def to_item(item: WireItem) -> Item:
    """Return an item with its value decoded; raises StoreError."""
    if item.deleted:
        return Item(item.key, None, Revision(item.revision))
    try:
        value = b64decode(item.value, validate=True)
    except (Base64Error, ValueError) as error:
        raise StoreError(f'{item.key}: value is not base64') from error
    return Item(item.key, value, Revision(item.revision))
