"""Threads that keep this instance's lease and watch the store's keys."""

from threading import Event as ThreadEvent
from threading import Thread
from typing import Final

from primroseledge.clock import boot_time
from primroseledge.cluster.call_thread import Inbox
from primroseledge.cluster.call_thread import log_call_failure
from primroseledge.cluster.commands import LeaseLost
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import HistoryLostError
from primroseledge.cluster.fleet_store import Lease
from primroseledge.cluster.fleet_store import LeaseEndedError
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import encode_value
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.errors import StoreError
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

LEASE_TTL_S: Final = 2.0
"""Time to live of the lease, in seconds.

An owner that has not renewed it for this time may be replaced.
"""

LEASE_RENEW_INTERVAL_S: Final = 0.5
LEASE_RETRY_S: Final = 0.1
"""Time from the beginning of a failed renewal to the next, in seconds."""

MAX_LEASE_RETRY_FACTOR: Final = 4
"""Greatest delay between failed renewals, in units of LEASE_RETRY_S."""

WATCH_TIMEOUT_S: Final = 1.5
"""Longest wait of one watch call, in seconds.

It bounds how long a connection that was dropped without a reset goes
unnoticed.
"""

WATCH_RETRY_S: Final = 0.15

FIRST_WATCH_TIMEOUT_S: Final = 0.1
"""Longest wait of a watch call after a failed one, in seconds.

A store without changes to report shows so that it answers again.
"""


class LeaseThread:
    """Keeps a lease, with this instance's member record bound to it.

    ``lease`` was requested at ``granted_at`` on the boot clock; the record is
    bound to it once ``is_registered``. ``failures`` counts the calls that
    failed since the last success.
    """

    def __init__(
        self, inbox: Inbox, store: FleetStore, member: MemberRecord
    ) -> None:
        self.inbox = inbox
        self.store = store
        self.member = member
        self.lease: Lease | None = None
        self.granted_at = 0.0
        self.is_registered = False
        self.failures = 0
        self.is_stopped = ThreadEvent()
        self.thread = Thread(target=self.run, name='lease', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread."""
        self.is_stopped.set()

    def run(self) -> None:
        """Acquire a lease and renew it until stopped."""
        while not self.is_stopped.is_set():
            self.is_stopped.wait(self.advance())

    def advance(self) -> float:
        """Make the next call; return how long to wait after it, in seconds.

        A lease that has expired is replaced by a new one. The member record
        is written until the answer shows that it is stored under the lease.
        """
        began_at = boot_time()
        try:
            if self.lease is None:
                self.lease = self.store.grant_lease(LEASE_TTL_S)
                self.granted_at = began_at
            if not self.is_registered:
                self.register(self.lease)
            else:
                self.renew(self.lease)
        except LeaseEndedError:
            self.lease = None
            self.is_registered = False
            self.inbox.post(LeaseLost())
            return 0.0
        except Exception as error:
            if not isinstance(error, StoreError):
                log_call_failure(self.thread.name, error)
            elif not self.failures:
                log(Event.STORE_RETRIED, step='lease', problem=str(error))
            self.failures += 1
            pause_s = LEASE_RETRY_S * min(
                self.failures, MAX_LEASE_RETRY_FACTOR
            )
            return max(0.0, began_at + pause_s - boot_time())
        self.failures = 0
        return LEASE_RENEW_INTERVAL_S

    def register(self, lease: Lease) -> None:
        """Store the member record under a new lease, and post the lease.

        The write depends on the present record: a copy of it that the store
        carries out late must not bind the record to a lease that has ended.
        """
        key = f'{MEMBER_PREFIX}{self.member.entry}'
        item = self.store.read(key)
        revision = item.revision if item else Revision(0)
        put = Put(key, encode_value(self.member), lease.id)
        self.store.commit(Transaction({key: revision}, (put,)))
        self.is_registered = True
        self.inbox.post(LeaseRenewed(lease.id, self.granted_at, lease.ttl_s))

    def renew(self, lease: Lease) -> None:
        """Renew the lease and post its new time to live."""
        sent_at = boot_time()
        ttl_s = self.store.renew_lease(lease.id)
        self.inbox.post(LeaseRenewed(lease.id, sent_at, ttl_s))


class WatchThread:
    """Posts all keys under a prefix, and then their changes."""

    def __init__(self, inbox: Inbox, store: FleetStore, prefix: str) -> None:
        self.inbox = inbox
        self.store = store
        self.prefix = prefix
        self.is_stopped = ThreadEvent()
        self.thread = Thread(target=self.run, name='watch', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """End the thread after the call in flight."""
        self.is_stopped.set()

    def run(self) -> None:
        """Watch the keys until stopped.

        All keys are read again if the store no longer keeps the changes.
        """
        after: Revision | None = None
        timeout_s = WATCH_TIMEOUT_S
        while not self.is_stopped.is_set():
            try:
                after = self.read_or_watch(after, timeout_s)
                timeout_s = WATCH_TIMEOUT_S
            except HistoryLostError:
                after = None
            except Exception as error:
                if not isinstance(error, StoreError):
                    log_call_failure(self.thread.name, error)
                timeout_s = FIRST_WATCH_TIMEOUT_S
                self.inbox.post(StoreUnavailable(str(error)))
                self.is_stopped.wait(WATCH_RETRY_S)

    def read_or_watch(
        self, after: Revision | None, timeout_s: float
    ) -> Revision:
        """Post all keys, or the changes after a revision.

        The store waits up to ``timeout_s`` for a change. Returns the revision
        after which to watch next.
        """
        if after is None:
            listed = self.store.read_all(self.prefix)
            self.inbox.post(
                WatchedKeysRead(listed.items, listed.revision, True)
            )
            return listed.revision
        changed = self.store.watch(self.prefix, after, timeout_s)
        self.inbox.post(
            WatchedKeysRead(changed.items, changed.revision, False)
        )
        return max(after, changed.revision)
