"""Thread that reads and writes the store for the node.

One call is in flight at a time. A write without an answer is sent again
unchanged unless the ledger shows that it has happened; see
``ledger_write``.
"""

from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from queue import SimpleQueue
from threading import Event as ThreadEvent
from threading import Thread
from typing import Any
from typing import Final

from primroseledge.clock import boot_time
from primroseledge.cluster.call_thread import Inbox
from primroseledge.cluster.call_thread import log_call_failure
from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import MemberLeft
from primroseledge.cluster.commands import outer_name
from primroseledge.cluster.commands import OwnerReleased
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.commands import RestoreJobs
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkersListed
from primroseledge.cluster.evacuated_zones import NO_ZONES
from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import decode_ledger
from primroseledge.cluster.keys import decode_owner
from primroseledge.cluster.keys import encode_value
from primroseledge.cluster.keys import LEDGER_KEY
from primroseledge.cluster.keys import ledger_key
from primroseledge.cluster.keys import LedgerRecord
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.ledger_write import try_ledger_write
from primroseledge.cluster.ledger_write import write_ledger
from primroseledge.cluster.messages import OwnerView
from primroseledge.cluster.platform_keys import PlatformKeys
from primroseledge.cluster.platform_keys import read_evacuated_zones
from primroseledge.cluster.store_failures import fail_command
from primroseledge.cluster.store_failures import StoreCommand
from primroseledge.cluster.stored_records import encode_batch
from primroseledge.cluster.stored_records import read_stored_records
from primroseledge.errors import ConflictError
from primroseledge.errors import DocumentError
from primroseledge.errors import StoreError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.observability.events import Event
from primroseledge.observability.fleet_metrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.owner.batch import LANE_COUNT
from primroseledge.send_check import send_only_if

STORE_RETRY_S: Final = 0.12
"""Least time between the beginnings of two tries of a call, in seconds."""

RELEASE_WRITE_NUMBER: Final = -1
"""Write number in the ledger record that releases the ownership.

No batch has it: batches are numbered from 1.
"""


class StoreThread:
    """Executes commands one at a time and posts their results.

    The loop sets ``current_epoch`` to the epoch in which this instance is
    the owner, or to 0; a batch of another epoch is not retried. A batch is
    sent only while ``may_write`` is true of its epoch.
    """

    def __init__(
        self,
        inbox: Inbox,
        store: FleetStore,
        keys: PlatformKeys,
        entry: EntryId,
        address: str,
        metrics: FleetMetrics,
    ) -> None:
        self.metrics = metrics
        self.inbox = inbox
        self.store = store
        self.keys = keys
        self.entry = entry
        self.address = address
        self.commands: SimpleQueue[StoreCommand | None] = SimpleQueue()
        self.is_stopped = ThreadEvent()
        self.current_epoch = Epoch(0)
        self.may_write: Callable[[Epoch], bool] = lambda _epoch: True
        self.resources = ExitStack()
        self.thread = Thread(target=self.run, name='store', daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Stop retries, and end the thread after the queued commands."""
        self.is_stopped.set()
        self.commands.put(None)

    def submit(self, command: StoreCommand) -> None:
        """Queue a command; its result is posted to the inbox."""
        self.commands.put(command)

    def run(self) -> None:
        """Execute queued commands until stopped."""
        while True:
            command = self.commands.get()
            if command is None:
                return
            began_at = boot_time()
            result = self.execute(command)
            self.metrics.store_step_ended(
                outer_name(command),
                outer_name(result),
                boot_time() - began_at,
            )
            self.inbox.post(result)

    def execute(self, command: StoreCommand) -> Any:
        """Return a command's result, or that of its failure if it raises."""
        try:
            return HANDLERS[type(command)](self, command)
        except Exception as error:
            log_call_failure(self.thread.name, error)
            return fail_command(command, error)

    def wait_before_retry(self, began_at: float) -> bool:
        """Wait until ``STORE_RETRY_S`` after a try began.

        Returns False if the thread was stopped. ``began_at`` is on the boot
        clock, in seconds.
        """
        pause_s = max(0.0, began_at + STORE_RETRY_S - boot_time())
        return not self.is_stopped.wait(pause_s)


Handler = Callable[[StoreThread, Any], Any]
HANDLERS: Final[dict[type, Handler]] = {}


def register_handler(kind: type) -> Callable[[Handler], Handler]:
    """Register the decorated function as handler of a kind of command."""

    def register(handler: Handler) -> Handler:
        HANDLERS[kind] = handler
        return handler

    return register


@register_handler(ClaimOwner)
def claim_owner(
    thread: StoreThread, command: ClaimOwner
) -> ClaimWon | ClaimLost:
    """Write this instance's owner record if there is none.

    The same transaction begins a new epoch in the ledgers of all lanes.
    """
    store = thread.store
    try:
        item = store.read(LEDGER_KEY)
        ledger = decode_ledger(item) if item else None
    except (StoreError, DocumentError) as error:
        return ClaimLost(str(error))
    epoch = Epoch(ledger.epoch + 1 if ledger else 1)
    revision = item.revision if item else Revision(0)
    is_idle = ledger is not None and ledger.has_no_calls_in_flight
    owner = OwnerView(epoch, thread.entry, thread.address)
    first_record = LedgerRecord(epoch, 0)
    transaction = Transaction(
        {OWNER_KEY: Revision(0), LEDGER_KEY: revision},
        (
            Put(OWNER_KEY, encode_value(owner), command.lease),
            *(
                Put(ledger_key(LaneId(lane)), encode_value(first_record))
                for lane in range(LANE_COUNT)
            ),
        ),
    )
    try:
        won_at = write_ledger(
            store, transaction, lambda _ledger: is_stored_owner(store, owner)
        )
    except (StoreError, DocumentError) as error:
        return ClaimLost(str(error))
    return ClaimWon(owner, won_at, is_idle)


def is_stored_owner(store: FleetStore, owner: OwnerView) -> bool:
    """Return whether the store holds this owner record.

    Raises StoreError if it does not answer, and DocumentError if the record
    is malformed.
    """
    item = store.read(OWNER_KEY)
    return item is not None and decode_owner(item) == owner


@register_handler(RestoreJobs)
def restore_jobs(
    thread: StoreThread, command: RestoreJobs
) -> JobsRestored | OwnershipLost:
    """Read what a new owner needs, with retries until the store answers.

    Evacuated zones are read last, so that they are as new as possible when
    the owner begins to plan. The result is OwnershipLost if the thread is
    stopped before all was read.
    """
    while True:
        began_at = boot_time()
        try:
            records = read_stored_records(thread.store, command.epoch)
            workers = thread.store.read_all(thread.keys.worker_prefix).items
            zones = read_evacuated_zones(thread.store, thread.keys)
        except StoreError as error:
            log(Event.STORE_RETRIED, step='restore', problem=str(error))
            if not thread.wait_before_retry(began_at):
                return OwnershipLost(command.epoch)
            continue
        return JobsRestored(
            command.epoch,
            tuple(records.accepted.values()),
            tuple(records.progress.values()),
            tuple(records.waves),
            workers,
            zones,
            records.packs,
        )


@register_handler(StoreBatch)
def store_batch(
    thread: StoreThread, command: StoreBatch
) -> BatchStored | OwnershipLost:
    """Store a batch exactly once, with retries.

    The result is OwnershipLost if another instance has written the lane's
    ledger, or if the thread was stopped or the epoch ended before a retry.
    """
    lane = command.batch.lane
    key = ledger_key(lane)
    ledger = LedgerRecord(command.epoch, command.batch.number)
    transaction = Transaction(
        {key: command.ledger_revision},
        (
            Put(key, encode_value(ledger)),
            *encode_batch(command.batch, thread.keys),
        ),
        removals=command.batch.replaced_packs,
    )
    number = command.batch.number
    failures = 0
    while True:
        began_at = boot_time()
        try:
            revision = try_ledger_write(
                thread.store,
                transaction,
                partial(commit_as_owner, thread, command.epoch),
                lambda item: decode_ledger(item) == ledger,
                lane=lane,
            )
            if revision is not None:
                return BatchStored(command.epoch, number, revision, lane)
            problem = 'no answer, and nothing is stored yet'
        except ConflictError as error:
            log(Event.STORE_RETRIED, step='ledger', problem=str(error))
            return OwnershipLost(command.epoch)
        except (StoreError, DocumentError) as error:
            problem = str(error)
        if not failures:
            log(Event.STORE_RETRIED, step='batch', problem=problem)
        failures += 1
        if (
            not thread.wait_before_retry(began_at)
            or thread.current_epoch != command.epoch
        ):
            return OwnershipLost(command.epoch)


def commit_as_owner(
    thread: StoreThread, epoch: Epoch, transaction: Transaction
) -> Revision:
    """Send a transaction only while the right to write in an epoch lasts.

    Raises the errors of ``FleetStore.commit``.
    """
    with send_only_if(lambda: thread.may_write(epoch)):
        return thread.store.commit(transaction)


@register_handler(ReleaseOwner)
def release_owner(thread: StoreThread, command: ReleaseOwner) -> OwnerReleased:
    """Remove this instance's owner record.

    If that fails, the record is removed when its lease expires.
    """
    try:
        revision = command.ledger_revision or read_ledger_revision(
            thread, command
        )
        last_write = LedgerRecord(
            command.epoch, RELEASE_WRITE_NUMBER, command.has_no_calls_in_flight
        )
        write_ledger(
            thread.store,
            Transaction(
                {LEDGER_KEY: revision},
                (Put(LEDGER_KEY, encode_value(last_write)),),
                removals=(OWNER_KEY,),
            ),
            lambda item: decode_ledger(item) == last_write,
        )
    except (StoreError, DocumentError) as error:
        log(Event.STORE_RETRIED, step='release', problem=str(error))
    return OwnerReleased(command.epoch)


@register_handler(LeaveMembers)
def leave_members(thread: StoreThread, _command: LeaveMembers) -> MemberLeft:
    """Remove this instance's member record.

    Only the present record is removed, as a removal that the store carries
    out late may find that of the next process. If that fails, the record is
    removed when its lease expires.
    """
    key = f'{MEMBER_PREFIX}{thread.entry}'
    try:
        item = thread.store.read(key)
        if item is not None:
            thread.store.commit(
                Transaction({key: item.revision}, removals=(key,))
            )
    except StoreError as error:
        log(Event.STORE_RETRIED, step='leave', problem=str(error))
    return MemberLeft()


def read_ledger_revision(
    thread: StoreThread, command: ReleaseOwner
) -> Revision:
    """Return the ledger's revision if the last write is of this epoch.

    Raises ConflictError if it is of another epoch, StoreError if the store
    does not answer, and DocumentError if the ledger is malformed.
    """
    item = thread.store.read(LEDGER_KEY)
    if item is None or decode_ledger(item).epoch != command.epoch:
        raise ConflictError('another instance has written the ledger')
    return item.revision


@register_handler(ListWorkers)
def list_workers(
    thread: StoreThread, command: ListWorkers
) -> WorkersListed | WorkerListFailed:
    """Read the evacuated zones and the list of workers, without retries.

    So an owner learns of an evacuation also while its watch is interrupted,
    or a page of a long list can't be read.
    """
    zones = NO_ZONES
    try:
        zones = read_evacuated_zones(thread.store, thread.keys)
        listed = thread.store.read_all(thread.keys.worker_prefix)
    except StoreError as error:
        return WorkerListFailed(str(error), command.epoch, zones)
    return WorkersListed(listed.items, command.epoch, zones)
