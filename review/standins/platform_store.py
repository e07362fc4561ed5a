"""The platform's store and its list of machines, without failures."""

import asyncio
from base64 import b64encode
from dataclasses import dataclass
from dataclasses import field
import json
from typing import Any

from standins.http_link import Call
from standins.http_link import Reply
from standins.http_link import Server

PAGE_ITEMS = 500
ENTRY_TTL_S = 4.5
"""Three check-in intervals of silence, after which an entry is removed."""


@dataclass
class Stored:
    """An item of the store."""

    value: str
    revision: int
    created: int
    lease: int = 0

    def row(self, key: str) -> dict[str, Any]:
        """Return the item as it is sent."""
        return {
            'key': key,
            'value': self.value,
            'revision': self.revision,
            'created': self.created,
            'lease': self.lease,
        }


@dataclass(eq=False)
class Platform:
    """The store, the list of machines, and the entries of workers."""

    items: dict[str, Stored] = field(default_factory=dict)
    history: list[tuple[int, dict[str, Any]]] = field(default_factory=list)
    revision: int = 1
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    entry_ends: dict[str, float] = field(default_factory=dict)
    machines: dict[str, dict[str, Any]] = field(default_factory=dict)
    last_lease: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.server = Server(self.serve)

    def now(self) -> float:
        """Return the time of the store's clock, in seconds."""
        return asyncio.get_running_loop().time()

    # Changes

    def write(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write one key as a change of its own."""
        self.revision += 1
        self.put(key, b64encode(value).decode(), lease)
        self.notify()

    def write_json(self, key: str, value: Any) -> None:
        """Write a value in JSON, as operators and workers do."""
        self.write(key, json.dumps(value).encode())

    def put(self, key: str, value: str, lease: int) -> None:
        """Put a value at the present revision."""
        before = self.items.get(key)
        created = before.created if before else self.revision
        item = Stored(value, self.revision, created, lease)
        self.items[key] = item
        self.history.append((self.revision, item.row(key)))

    def drop(self, key: str) -> None:
        """Remove a key at the present revision."""
        if self.items.pop(key, None) is not None:
            row = {'key': key, 'revision': self.revision, 'deleted': True}
            self.history.append((self.revision, row))

    def remove(self, key: str) -> None:
        """Remove a key as a change of its own."""
        if key in self.items:
            self.revision += 1
            self.drop(key)
            self.notify()

    def notify(self) -> None:
        """Wake the watches."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def expire(self) -> None:
        """End leases, and entries of silent workers, for ever."""
        while True:
            await asyncio.sleep(0.05)
            now = self.now()
            for lease, (ends_at, _) in list(self.leases.items()):
                if ends_at < now:
                    self.end_lease(lease)
            for key, ends_at in list(self.entry_ends.items()):
                if ends_at < now:
                    del self.entry_ends[key]
                    self.remove(key)

    def end_lease(self, lease: int) -> None:
        """End a lease with its keys."""
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)

    def check_in(self, worker: str, entry: dict[str, Any]) -> None:
        """Take a worker's report; it is written if it has changed."""
        key = f'servers/{worker}'
        self.entry_ends[key] = self.now() + ENTRY_TTL_S
        value = b64encode(json.dumps(entry).encode()).decode()
        known = self.items.get(key)
        if known is None or known.value != value:
            self.revision += 1
            self.put(key, value, 0)
            self.notify()

    # Calls

    async def serve(self, call: Call) -> Reply:
        """Answer a call."""
        name = call.path.removeprefix('/-/').split('/')[0]
        action = getattr(self, f'do_{name.replace("-", "_")}', None)
        if action is None:
            return 400, {}
        result: Reply = await action(call)
        return result

    async def do_kv_key(self, call: Call) -> Reply:
        """Return one item."""
        key = call.query['key']
        item = self.items.get(key)
        return (404, {}) if item is None else (200, item.row(key))

    async def do_kv_range(self, call: Call) -> Reply:
        """Return a page of items."""
        prefix, after = call.query['prefix'], call.query.get('after', '')
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page = keys[:PAGE_ITEMS]
        return 200, {
            'items': [self.items[key].row(key) for key in page],
            'at': self.revision,
            'has_more': len(keys) > len(page),
        }

    async def do_kv_watch(self, call: Call) -> Reply:
        """Return the changes after a revision, as soon as there is one."""
        prefix, after = call.query['prefix'], int(call.query['after'])
        ends_at = self.now() + int(call.query.get('wait_ms', 0)) / 1000
        while True:
            events = [
                row
                for revision, row in self.history
                if revision > after and row['key'].startswith(prefix)
            ]
            left_s = ends_at - self.now()
            if events or left_s <= 0:
                return 200, {'events': events, 'at': self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def do_kv_txn(self, call: Call) -> Reply:
        """Make a transaction, or say why not."""
        expected = call.fields.get('expect', [])
        puts = call.fields.get('put', [])
        for row in expected:
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                known = [
                    self.items[r['key']].row(r['key'])
                    for r in expected
                    if r['key'] in self.items
                ]
                return 412, {'items': known}
        for row in puts:
            if row.get('lease') and row['lease'] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in puts:
            self.put(row['key'], row['value'], row.get('lease', 0))
        for key in call.fields.get('remove', []):
            self.drop(key)
        self.notify()
        return 200, {'revision': self.revision}

    async def do_kv_lease(self, call: Call) -> Reply:
        """Grant a lease."""
        self.last_lease += 1
        ttl_s = max(1.0, call.fields['ttl_ms'] / 1000)
        self.leases[self.last_lease] = (self.now() + ttl_s, ttl_s)
        return 200, {'lease': self.last_lease, 'ttl_ms': int(ttl_s * 1000)}

    async def do_kv_keep(self, call: Call) -> Reply:
        """Renew a lease."""
        lease = int(call.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        ttl_s = self.leases[lease][1]
        self.leases[lease] = (self.now() + ttl_s, ttl_s)
        return 200, {'lease': lease, 'ttl_ms': int(ttl_s * 1000)}

    async def do_kv_lease_end(self, call: Call) -> Reply:
        """End a lease."""
        lease = int(call.path.rpartition('/')[2])
        if lease not in self.leases:
            return 404, {}
        self.end_lease(lease)
        return 200, {}

    async def do_machines(self, call: Call) -> Reply:
        """Return the list of machines, in one page."""
        return 200, {'machines': list(self.machines.values())}

    async def do_machine_move(self, call: Call) -> Reply:
        """Refuse to move a machine: the cases have one pool."""
        return 400, {}

    async def do_machine_upkeep(self, call: Call) -> Reply:
        """Refuse an upkeep: the cases have no waves."""
        return 409, {'reason': 'wave'}
