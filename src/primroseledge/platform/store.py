"""HTTP client of the platform's store; implements ``FleetStore``.

A call that fails without any effect raises StoreUnavailableError; one
whose response is malformed or has an unexpected status raises StoreError.
"""

from base64 import b64decode
from base64 import b64encode
from binascii import Error as Base64Error
from time import monotonic
from typing import Any
from typing import Final
from typing import TypeVar
from urllib.parse import urlencode

from msgspec import json

from primroseledge.cluster.adaptive_timeout import AdaptiveTimeout
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
from primroseledge.http_client import HttpAnswer
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.store_keys import EVACUATION_PREFIX
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireItem
from primroseledge.platform.wire import WireItemPage
from primroseledge.platform.wire import WireWatchResponse
from primroseledge.platform.wire import WireWriteResponse

READ_TIMEOUT_S: Final = 1.0
"""How long a read waits for its answer, in seconds.

It is longer than the wait of a write: the answer to a read shows whether the
store is slow or loses the answers of writes.
"""

OK: Final = 200
NOT_FOUND: Final = 404
GONE: Final = 410
CONFLICT: Final = 412
UNAVAILABLE_STATUSES: Final = (429, 503)

DecodedT = TypeVar('DecodedT')


class PlatformStore:
    """Client of the store with a connection of its own.

    ``adaptive_timeout`` may be shared by the clients of an instance: each
    learns from the calls of all how long the store takes.
    """

    def __init__(
        self, address: str, adaptive_timeout: AdaptiveTimeout | None = None
    ) -> None:
        self.client = HttpClient(address)
        self.adaptive_timeout = adaptive_timeout or AdaptiveTimeout()

    def close(self) -> None:
        """Close the connection to the store."""
        self.client.close()

    def read(self, key: str) -> Item | None:
        """Return the item under a key, or None if the key does not exist."""
        answer = self.get('/-/kv-key', {'key': key})
        if answer.status == NOT_FOUND:
            return None
        return to_item(decode_response(answer, WireItem))

    def read_all(self, prefix: str) -> ItemList:
        """Return all items whose keys begin with a prefix.

        Pages are read one after another, so this is not a snapshot. The
        revision returned is that of the first page: a watch from there
        misses no change.
        """
        items = list[Item]()
        last_key = ''
        first_revision: int | None = None
        while True:
            query = {'prefix': prefix}
            if last_key:
                query['after'] = last_key
            page = decode_response(
                self.get('/-/kv-range', query), WireItemPage
            )
            if first_revision is None:
                first_revision = page.at
            items.extend(to_items(page.items))
            if not page.has_more or not page.items:
                return ItemList(tuple(items), Revision(first_revision))
            last_key = page.items[-1].key

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        """Return changes under a prefix after a revision.

        Waits up to ``wait_s`` seconds for one. Deletions are items without
        a value. Raises HistoryLostError if the store no longer keeps the
        changes after that revision.
        """
        query = {
            'prefix': prefix,
            'after': after,
            'wait_ms': int(wait_s * 1000),
        }
        answer = self.get('/-/kv-watch', query, wait_s)
        if answer.status == GONE:
            raise HistoryLostError(
                f'changes after revision {after} are no longer kept'
            )
        response = decode_response(answer, WireWatchResponse)
        return ItemList(
            tuple(to_items(response.events)), Revision(response.at)
        )

    def commit(self, transaction: Transaction) -> Revision:
        """Apply a transaction as a whole and return its revision.

        Raises ConflictError if a key is not at its expected revision,
        LeaseEndedError if a lease in it has ended, and
        StoreOutcomeUnknownError if no answer came, so that it may have
        been applied.
        """
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
            raise ConflictError('a key was changed by another writer')
        if answer.status == NOT_FOUND:
            raise LeaseEndedError('a lease in the transaction has ended')
        return Revision(decode_response(answer, WireWriteResponse).revision)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Create a lease; keys written with it are removed at its end.

        Raises StoreOutcomeUnknownError if no answer came.
        """
        body = {'ttl_ms': int(ttl_s * 1000)}
        response = decode_response(
            self.post('/-/kv-lease', body), WireWriteResponse
        )
        return Lease(LeaseId(response.lease), response.ttl_ms / 1000)

    def renew_lease(self, lease: LeaseId) -> float:
        """Renew a lease and return its duration in seconds.

        Raises LeaseEndedError if it has ended, and
        StoreOutcomeUnknownError if no answer came.
        """
        answer = self.post(f'/-/kv-keep/{lease}', {})
        if answer.status == NOT_FOUND:
            raise LeaseEndedError(f'lease {lease} has ended')
        return decode_response(answer, WireWriteResponse).ttl_ms / 1000

    def get(
        self, path: str, query: dict[str, Any], wait_s: float = 0.0
    ) -> HttpAnswer:
        """Make a call that only reads, and check its status.

        ``wait_s`` is how long the store may delay its answer. Raises
        StoreUnavailableError also if no answer came, since a read changes
        nothing.
        """
        target = f'{path}?{urlencode(query)}'
        began_at = monotonic()
        try:
            answer = self.client.call(
                'GET', target, None, READ_TIMEOUT_S + wait_s
            )
        except (NotSentError, NoAnswerError) as error:
            raise StoreUnavailableError(str(error)) from error
        if not wait_s:
            self.adaptive_timeout.record_answer(monotonic() - began_at)
        return check_status(answer)

    def post(self, path: str, body: dict[str, Any]) -> HttpAnswer:
        """Make a call that may change the store, and check its status.

        Raises StoreOutcomeUnknownError if the call was sent and no answer
        came within the time in which this store usually answers.
        """
        data = json.encode(body)
        timeout_s = self.adaptive_timeout.timeout_s(len(data))
        began_at = monotonic()
        try:
            answer = self.client.call('POST', path, data, timeout_s)
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except NoAnswerError as error:
            if not error.was_closed:
                self.adaptive_timeout.record_unanswered()
            raise StoreOutcomeUnknownError(str(error)) from error
        self.adaptive_timeout.record_answer(monotonic() - began_at)
        return check_status(answer)


def check_status(answer: HttpAnswer) -> HttpAnswer:
    """Return the answer if its status is one that the client handles.

    Raises StoreUnavailableError if the store is busy or unavailable and
    did nothing, and StoreError for an unexpected status.
    """
    if answer.status in UNAVAILABLE_STATUSES:
        raise StoreUnavailableError(f'store answered {answer.status}')
    if answer.status not in (OK, NOT_FOUND, GONE, CONFLICT):
        text = answer.body[:200].decode(errors='replace')
        raise StoreError(f'store answered {answer.status}: {text}')
    return answer


def decode_response(
    answer: HttpAnswer, response_type: type[DecodedT]
) -> DecodedT:
    """Decode the body of an answer as ``response_type``.

    Raises StoreError if it is malformed.
    """
    try:
        return json.decode(answer.body, type=response_type)
    except MALFORMED_ERRORS as error:
        raise StoreError(f'malformed answer of the store: {error}') from error


def to_items(wire_items: list[WireItem]) -> list[Item]:
    """Convert items; log and skip those that cannot be decoded.

    An evacuation counts by its key: it is kept with an empty value.
    """
    items = list[Item]()
    for wire_item in wire_items:
        try:
            items.append(to_item(wire_item))
        except StoreError as error:
            if wire_item.key.startswith(EVACUATION_PREFIX):
                # The view logs it, once for each revision of the key.
                revision = Revision(wire_item.revision)
                items.append(Item(wire_item.key, b'', revision))
                continue
            log(Event.INPUT_SKIPPED, subject=wire_item.key, problem=str(error))
    return items


def to_item(item: WireItem) -> Item:
    """Convert an item; a deleted one gets the value None.

    Raises StoreError if the value is not base64.
    """
    if item.deleted:
        return Item(item.key, None, Revision(item.revision))
    try:
        value = b64decode(item.value, validate=True)
    except (Base64Error, ValueError) as error:
        raise StoreError(f'{item.key}: value is not base64') from error
    return Item(item.key, value, Revision(item.revision))
