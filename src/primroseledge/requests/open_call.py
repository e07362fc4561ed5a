"""A caller's request at the entry instance that it reached."""

from dataclasses import dataclass
from typing import Final

from primroseledge.constants import GRANT_VALID_S
from primroseledge.ids import CellId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import InstanceId
from primroseledge.ids import KeyId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.messages import Carried
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant

NO_EPOCH: Final = Epoch(0)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request whose key and service have been checked."""

    handle: int
    request_id: RequestId
    team: TeamId
    service: ServiceId
    cell: CellId
    is_idempotent: bool
    is_urgent: bool
    deadline: float
    issued_at: float = 0.0
    key_id: KeyId = KeyId('')


@dataclass(frozen=True, slots=True)
class OwnerMark:
    """When an epoch's owner sent the newest heartbeat that was heard.

    The time is of the owner's clock.
    """

    epoch: Epoch
    sent_at: float


NO_MARK: Final = OwnerMark(NO_EPOCH, float('-inf'))


@dataclass(slots=True)
class Call:
    """An arrival and what has become of it.

    ``ask_at`` is when to ask next, unless an answer comes before.
    ``not_run`` is its last grant if that is proved not run;
    ``may_have_run`` that the end of an earlier attempt is not known, and
    ``broken_attempts`` how many of them upstreams broke off.
    It began after the owner's ``mark``.
    """

    arrival: Arrival
    ask_id: str
    ask_at: float
    mark: OwnerMark = NO_MARK
    attempt: int = 1
    excluded: tuple[InstanceId, ...] = ()
    grant: Grant | None = None
    granted_at: float = 0.0
    not_run: GrantId = GrantId('')
    may_have_run: bool = False
    broken_attempts: int = 0


def run_ends_at(call: Call) -> float:
    """Return when the attempt of a call has ended in any case.

    It may start as late as the grant is valid.
    """
    assert call.grant is not None
    return call.granted_at + GRANT_VALID_S + call.grant.run_limit_s


def carried_of(
    call: Call, end: EndState | None, was_broken: bool = False
) -> Carried:
    """Return what is to be reported of a call's attempt."""
    assert call.grant is not None
    return Carried(
        grant_id=call.grant.grant_id,
        request_id=call.arrival.request_id,
        team=call.arrival.team,
        service=call.arrival.service,
        upstream=call.grant.upstream,
        is_idempotent=call.arrival.is_idempotent,
        end=end,
        remaining_s=0.0,
        issued_at=call.arrival.issued_at,
        was_broken=was_broken,
    )
