"""Evacuate and return availability zones in the platform's store.

Both changes are idempotent. A write whose answer was lost is followed by a
read, and sent again if the read shows no effect.
"""

from collections.abc import Callable
from typing import Final

from primroseledge.cluster.evacuated_zones import EvacuatedZones
from primroseledge.cluster.fleet_store import FleetStore
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.platform_keys import read_evacuated_zones
from primroseledge.errors import ConflictError
from primroseledge.errors import DocumentError
from primroseledge.errors import OperatorError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId
from primroseledge.operators.applying import Result
from primroseledge.platform.decoding import decode_worker_zone
from primroseledge.platform.decoding import WORKER_PREFIX
from primroseledge.platform.store_keys import evacuation_key
from primroseledge.platform.store_keys import EVACUATION_VALUE
from primroseledge.platform.store_keys import StoreKeys

MAX_ATTEMPTS: Final = 3
"""How often a change is tried while its answer is lost or others write."""

Pause = Callable[[], None]
Attempt = Callable[[bool], Result | None]
"""Makes one attempt; is told whether an earlier answer was lost.

Returns None if another one is needed.
"""


def evacuate_zone(
    store: FleetStore,
    zone: ZoneId,
    known: frozenset[ZoneId],
    is_forced: bool,
    pause: Pause,
) -> Result:
    """Evacuate a zone.

    Raises OperatorError for a zone that is not ``known`` and for the last one
    in use, unless ``is_forced``.
    """
    key = evacuation_key(zone)

    def attempt(was_sent: bool) -> Result | None:
        evacuated = read_zones(store).zones
        if zone in evacuated:
            return Result.ACCEPTED if was_sent else Result.UNCHANGED
        expected = {key: Revision(0)}
        if not is_forced:
            left = find_zone_left(zone, known, evacuated)
            # Another operator may evacuate that zone at the same moment.
            expected[evacuation_key(left)] = Revision(0)
        send(store, Transaction(expected, (Put(key, EVACUATION_VALUE),)))
        return Result.ACCEPTED

    return change_safely(attempt, pause)


def find_zone_left(
    zone: ZoneId, known: frozenset[ZoneId], evacuated: frozenset[ZoneId]
) -> ZoneId:
    """Return a zone that stays in use; raises OperatorError if none does."""
    check_known(zone, known)
    left = known - evacuated - {zone}
    if not left:
        raise OperatorError(
            f'{zone} is the last zone in use: no job could start; '
            'use --force to evacuate it all the same'
        )
    return min(left)


def return_zone(
    store: FleetStore,
    zone: ZoneId,
    known: frozenset[ZoneId],
    is_forced: bool,
    pause: Pause,
) -> Result:
    """Return a zone to service.

    Raises OperatorError for a zone that is neither evacuated nor ``known``,
    unless ``is_forced``, and if another operator evacuated it again.
    """
    key = evacuation_key(zone)
    revisions = list[Revision]()

    def attempt(was_sent: bool) -> Result | None:
        item = store.read(key)
        if item is None:
            if not was_sent and not is_forced:
                check_known(zone, known)
            return Result.ACCEPTED if was_sent else Result.UNCHANGED
        if was_sent and item.revision not in revisions:
            raise OperatorError(f'{zone} was evacuated again meanwhile')
        revisions.append(item.revision)
        send(store, Transaction({key: item.revision}, removals=(key,)))
        return Result.ACCEPTED

    return change_safely(attempt, pause)


def change_safely(attempt: Attempt, pause: Pause) -> Result:
    """Attempt a change until its outcome is known.

    Raises StoreError if nothing was written. Once an answer was lost, any
    failure leaves the outcome unknown.
    """
    was_sent = False
    for _ in range(MAX_ATTEMPTS):
        try:
            result = attempt(was_sent)
        except ConflictError:
            result = None
        except StoreOutcomeUnknownError:
            was_sent = True
            result = None
        except (StoreError, OperatorError):
            if was_sent:
                return Result.UNKNOWN
            raise
        if result is not None:
            return result
        pause()
    return Result.UNKNOWN if was_sent else Result.CONFLICT


def send(store: FleetStore, transaction: Transaction) -> None:
    """Commit a transaction.

    Raises ConflictError or StoreUnavailableError if nothing was written, and
    StoreOutcomeUnknownError after any other failure.
    """
    try:
        store.commit(transaction)
    except (ConflictError, StoreUnavailableError):
        raise
    except StoreError as error:
        raise StoreOutcomeUnknownError(str(error)) from error


def check_known(zone: ZoneId, known: frozenset[ZoneId]) -> None:
    """Raise OperatorError unless a worker or an instance names a zone."""
    if zone not in known:
        names = ', '.join(sorted(known)) or 'none'
        raise OperatorError(
            f'no worker or instance names the zone {zone!r}; known: {names}; '
            'use --force if the name is right'
        )


def read_zones(store: FleetStore) -> EvacuatedZones:
    """Read the evacuated zones."""
    return read_evacuated_zones(store, StoreKeys())


def read_worker_zones(store: FleetStore) -> dict[WorkerId, ZoneId]:
    """Read the zone of each listed worker; leave out malformed entries."""
    zones = dict[WorkerId, ZoneId]()
    for item in store.read_all(WORKER_PREFIX).items:
        worker = WorkerId(item.key.removeprefix(WORKER_PREFIX))
        try:
            zones[worker] = decode_worker_zone(item)
        except DocumentError:
            continue
    return zones
