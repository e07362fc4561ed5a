"""A stand-in for the platform's key-value service.

The core keeps records, leases and counts, with the time passed in. The
server gives it HTTP. Faults are set over HTTP as well: down, slow, and
answers lost after a write took effect.
"""

from collections import Counter
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
from itertools import count
import sys
from threading import Condition
from time import monotonic
from time import sleep
from typing import Any

from msgspec import json

from standins.http_app import HttpError
from standins.http_app import JsonApplication
from standins.http_app import serve_until_stopped

MAX_VALUE_BYTES = 1_000_000


@dataclass(frozen=True, slots=True)
class Stored:
    """One version of a key; ``value`` is None in a deletion."""

    key: str
    value: str | None
    revision: int
    write_id: str
    lease: str | None


@dataclass(slots=True)
class Faults:
    """What is wrong with the service at present."""

    is_down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0


class Conflict(Exception):
    """The key has another revision than the expected one."""


class NoLease(Exception):
    """The lease does not exist or has lapsed."""


@dataclass(slots=True)
class KeyValueCore:
    """Records in order of change, and leases."""

    revision: int = 0
    records: dict[str, Stored] = field(default_factory=dict)
    log: list[Stored] = field(default_factory=list)
    leases: dict[str, tuple[float, float]] = field(default_factory=dict)
    calls: 'Counter[str]' = field(default_factory=Counter)
    faults: Faults = field(default_factory=Faults)
    lease_ids: 'count[int]' = field(default_factory=lambda: count(1))

    def read(self, prefix: str, now: float) -> list[Stored]:
        """Return the records under a prefix."""
        self.expire(now)
        return [r for k, r in self.records.items() if k.startswith(prefix)]

    def write(
        self,
        key: str,
        value: str | None,
        expected: int | None,
        write_id: str,
        lease: str | None,
        now: float,
    ) -> int:
        """Write or delete a key if its revision is the expected one."""
        self.expire(now)
        if lease is not None and lease not in self.leases:
            raise NoLease(lease)
        present = self.records.get(key)
        revision = present.revision if present else 0
        if expected is not None and revision != expected:
            raise Conflict(f'{key} is at revision {revision}')
        self.put(key, value, write_id, lease)
        return self.revision

    def put(
        self, key: str, value: str | None, write_id: str, lease: str | None
    ) -> None:
        """Set or delete a key and log the change."""
        self.revision += 1
        stored = Stored(key, value, self.revision, write_id, lease)
        if value is None:
            self.records.pop(key, None)
        else:
            self.records[key] = stored
        self.log.append(stored)

    def changes(self, prefix: str, after: int) -> list[Stored]:
        """Return the changes under a prefix after a revision."""
        return [
            change
            for change in reversed_until(self.log, after)
            if change.key.startswith(prefix)
        ]

    def grant_lease(self, ttl_s: float, now: float) -> str:
        """Create a lease that lapses unless it is kept alive."""
        lease = f'lease-{next(self.lease_ids)}'
        self.leases[lease] = (ttl_s, now + ttl_s)
        return lease

    def keep_alive(self, lease: str, now: float) -> None:
        """Renew a lease."""
        self.expire(now)
        if lease not in self.leases:
            raise NoLease(lease)
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, now + ttl_s)

    def expire(self, now: float) -> None:
        """Delete the keys of leases that have lapsed."""
        lapsed = {
            lease for lease, (_, until) in self.leases.items() if until < now
        }
        if not lapsed:
            return
        for lease in lapsed:
            del self.leases[lease]
        for key, record in list(self.records.items()):
            if record.lease in lapsed:
                self.put(key, None, '', None)


def reversed_until(log: list[Stored], after: int) -> list[Stored]:
    """Return the end of the log after a revision, oldest first."""
    found: list[Stored] = []
    for change in reversed(log):
        if change.revision <= after:
            break
        found.append(change)
    found.reverse()
    return found


class KeyValueService:
    """The core behind HTTP, with its faults."""

    def __init__(self) -> None:
        self.core = KeyValueCore()
        self.changed = Condition()

    def routes(self, credentials: str = '') -> JsonApplication:
        """Return the service's routes, for those with credentials."""
        return JsonApplication(
            {
                ('GET', '/v1/kv'): self.guard(self.read),
                ('POST', '/v1/cas'): self.guard(self.cas),
                ('GET', '/v1/watch'): self.guard(self.watch),
                ('POST', '/v1/lease'): self.guard(self.lease),
                ('POST', '/v1/keepalive'): self.guard(self.keepalive),
                ('POST', '/faults'): self.set_faults,
                ('GET', '/counts'): self.counts,
            },
            credentials,
        )

    def guard(self, operation: Any) -> Any:
        """Count a call and apply the present faults to it."""

        def guarded(fields: dict[str, Any]) -> dict[str, Any]:
            faults = self.core.faults
            with self.changed:
                self.core.calls[operation.__name__] += 1
            if faults.is_down:
                raise HttpError(503, 'down')
            if faults.delay_s:
                sleep(faults.delay_s)
            answer: dict[str, Any] = operation(fields)
            if faults.is_down:
                raise HttpError(0, 'the answer is lost')
            if operation.__name__ == 'cas' and faults.lose_answers > 0:
                faults.lose_answers -= 1
                raise HttpError(0, 'the answer is lost')
            return answer

        return guarded

    def read(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Answer a read."""
        with self.changed:
            records = self.core.read(str(fields['prefix']), monotonic())
            return answer_of(self.core.revision, records)

    def cas(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Answer a write."""
        value = fields['value']
        if value is not None and len(value) > MAX_VALUE_BYTES:
            raise HttpError(413, 'the value is too long')
        with self.changed:
            try:
                revision = self.core.write(
                    fields['key'],
                    value,
                    fields.get('expected'),
                    fields.get('write_id', ''),
                    fields.get('lease'),
                    monotonic(),
                )
            except Conflict as error:
                raise HttpError(409, str(error)) from error
            except NoLease as error:
                raise HttpError(410, 'no such lease') from error
            self.changed.notify_all()
        return {'revision': revision}

    def watch(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Answer a watch when there is a change, or after its wait."""
        prefix, after = str(fields['prefix']), int(fields['after'])
        deadline = monotonic() + float(fields['wait_s'])
        with self.changed:
            while True:
                changes = self.core.changes(prefix, after)
                left = deadline - monotonic()
                if changes or left <= 0 or self.core.faults.is_down:
                    return answer_of(self.core.revision, changes)
                self.changed.wait(left)

    def lease(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Answer a request for a lease."""
        with self.changed:
            ttl_s = float(fields['ttl_s'])
            return {'lease': self.core.grant_lease(ttl_s, monotonic())}

    def keepalive(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Answer a renewal of a lease."""
        with self.changed:
            try:
                self.core.keep_alive(fields['lease'], monotonic())
            except NoLease as error:
                raise HttpError(410, 'no such lease') from error
        return {}

    def set_faults(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Set faults; those not named stay."""
        with self.changed:
            for name, value in fields.items():
                setattr(self.core.faults, name, value)
            self.changed.notify_all()
        return {}

    def counts(self, fields: dict[str, Any]) -> dict[str, Any]:
        """Return how often each call was made."""
        with self.changed:
            return dict(self.core.calls)


def answer_of(revision: int, records: list[Stored]) -> dict[str, Any]:
    """Return records as the service's JSON."""
    return {
        'revision': revision,
        'records': [
            {
                'key': record.key,
                'value': record.value,
                'revision': record.revision,
                'write_id': record.write_id,
            }
            for record in records
        ],
    }


def main(arguments: list[str]) -> None:
    """Serve on 127.0.0.1; print the port as one line of JSON.

    The argument, if any, is ``USER:PASSWORD`` that callers need.
    """
    with ExitStack() as resources:
        application = KeyValueService().routes(*arguments[:1])
        serve_until_stopped(
            application,
            lambda port: print(json.encode({'port': port}).decode()),
            resources,
        )


if __name__ == '__main__':
    main(sys.argv[1:])
