"""The platform's store: its calls over a storage without a network."""

from base64 import b64decode
from base64 import b64encode
from bisect import bisect_right
from collections.abc import Callable
from threading import Condition
from time import monotonic
from typing import Any
from typing import Final

from msgspec import json

from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import ConflictError
from primroseledge.ids import Revision
from standins.call_server import Reply
from standins.storage_core import SimStorage

WATCH_STEP_S: Final = 0.1
MAX_HISTORY: Final = 20_000


class StoreApplication:
    """Answers the store's calls; each ``do_`` method is one of them."""

    def __init__(self, clock: Callable[[], float] = monotonic) -> None:
        self.clock = clock
        self.changed = Condition()
        self.storage = SimStorage(clock)
        self.storage.listeners.append(self.note_change)
        self.history: list[Item] = []
        self.history_after = 0
        self.next_lease = 1000

    def note_change(self, item: Item) -> None:
        """Keep a change for watches."""
        self.history.append(item)
        if len(self.history) > MAX_HISTORY:
            del self.history[: MAX_HISTORY // 2]
            self.history_after = self.history[0].revision
        self.changed.notify_all()

    def drop_history(self) -> None:
        """Forget all changes up to now."""
        with self.changed:
            self.history.clear()
            self.history_after = self.storage.revision

    def answer(self, path: str, fields: dict[str, Any]) -> Reply:
        """Answer one call."""
        name, _, argument = path.removeprefix('/-/').partition('/')
        handler = getattr(self, 'do_' + name.replace('-', '_'), None)
        if handler is None:
            return 404, {}
        with self.changed:
            self.expire()
            reply: Reply = handler(fields, argument)
        return reply

    def expire(self) -> None:
        """End what is over."""
        self.storage.expire()

    def do_kv_key(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return one item."""
        item = self.storage.items.get(fields['key'])
        return (404, {}) if item is None else (200, render(item))

    def do_kv_range(self, fields: dict[str, Any], argument: str) -> Reply:
        """Return the items under a prefix."""
        prefix = fields['prefix']
        items = [
            render(self.storage.items[key])
            for key in sorted(self.storage.items)
            if key.startswith(prefix)
        ]
        at = self.storage.revision
        return 200, {'items': items, 'at': at, 'has_more': False}

    def do_kv_watch(self, fields: dict[str, Any], argument: str) -> Reply:
        """Wait for changes under a prefix."""
        until = self.clock() + int(fields['wait_ms']) / 1000
        after = int(fields['after'])
        while True:
            if after < self.history_after:
                return 410, {}
            self.expire()
            events = self.changes(fields['prefix'], after)
            left_s = until - self.clock()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.storage.revision}
            self.changed.wait(min(WATCH_STEP_S, left_s))

    def changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        """Return the changes under a prefix after a revision."""
        first = bisect_right(self.history, after, key=lambda i: i.revision)
        return [
            render(item)
            for item in self.history[first:]
            if item.key.startswith(prefix)
        ]

    def do_kv_txn(self, fields: dict[str, Any], argument: str) -> Reply:
        """Carry a transaction out."""
        transaction = Transaction(
            {
                row['key']: Revision(row['revision'])
                for row in fields.get('expect', [])
            },
            tuple(
                Put(
                    row['key'],
                    b64decode(row['value']),
                    LeaseId(row.get('lease', 0)),
                )
                for row in fields.get('put', [])
            ),
            tuple(fields.get('remove', [])),
        )
        try:
            return 200, {'revision': self.storage.commit(transaction)}
        except ConflictError:
            return 412, {'items': []}
        except LeaseEndedError:
            return 404, {}

    def do_kv_lease(self, fields: dict[str, Any], argument: str) -> Reply:
        """Begin a lease."""
        self.next_lease += 1
        lease = LeaseId(self.next_lease)
        ttl_s = fields['ttl_ms'] / 1000
        self.storage.leases[lease] = (self.clock() + ttl_s, ttl_s)
        return 200, {'lease': lease, 'ttl_ms': fields['ttl_ms']}

    def do_kv_keep(self, fields: dict[str, Any], argument: str) -> Reply:
        """Renew a lease."""
        lease = LeaseId(int(argument))
        held = self.storage.leases.get(lease)
        if held is None:
            return 404, {}
        self.storage.leases[lease] = (self.clock() + held[1], held[1])
        return 200, {'ttl_ms': int(held[1] * 1000)}

    def do_kv_lease_end(self, fields: dict[str, Any], argument: str) -> Reply:
        """End a lease, and remove its keys."""
        lease = LeaseId(int(argument))
        held = self.storage.leases.get(lease)
        if held is None:
            return 404, {}
        self.storage.leases[lease] = (self.clock() - 1.0, held[1])
        self.expire()
        return 200, {}

    def write(self, key: str, value: dict[str, Any]) -> None:
        """Write a key as an operator or a worker does."""
        with self.changed:
            self.storage.revision += 1
            self.storage.put(key, json.encode(value), LeaseId(0))


def render(item: Item) -> dict[str, Any]:
    """Return an item, or a deletion, as the store writes it."""
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'deleted': True}
    return {
        'key': item.key,
        'value': b64encode(item.value).decode(),
        'revision': item.revision,
        'created': item.revision,
        'lease': 0,
    }
