"""Checks a request's service and key, before it is taken."""

from dataclasses import dataclass

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import CellId
from primroseledge.ids import KeyId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.keyring import Keyring
from primroseledge.requests.open_call import Arrival
from primroseledge.requests.outcomes import Reason
from primroseledge.storage.documents import Service
from primroseledge.storage.keys import parse_key


@dataclass(frozen=True, slots=True)
class RequestHead:
    """What the loop sees of a request: everything but headers and body.

    ``key`` is the text of the caller's key, None without one;
    ``timeout_s`` is how long the caller waits, in seconds.
    """

    handle: int
    service: ServiceId
    key: str | None
    request_id: RequestId
    is_idempotent: bool
    is_urgent: bool
    timeout_s: float
    issued_at: float = 0.0


def check_request(
    head: RequestHead,
    configuration: Configuration,
    keyring: Keyring,
    now: float,
) -> Arrival | Reason:
    """Return the checked request, or the reason against it."""
    service = configuration.services.get(head.service)
    if service is None:
        return Reason.NO_SERVICE
    team = team_of(head, service, keyring)
    if isinstance(team, Reason):
        return team
    return Arrival(
        handle=head.handle,
        request_id=head.request_id,
        team=team,
        service=head.service,
        cell=CellId(service.cell),
        is_idempotent=head.is_idempotent,
        is_urgent=head.is_urgent,
        deadline=now + head.timeout_s,
        issued_at=head.issued_at,
        key_id=key_id_of(head.key),
    )


def team_of(
    head: RequestHead, service: Service, keyring: Keyring
) -> TeamId | Reason:
    """Return the team for which a request works.

    That is the team of its key. A request without a key works for the
    service's own team when the service is open.
    """
    if head.key is None:
        return TeamId(service.team) if service.open else Reason.NO_KEY
    return keyring.find_team(head.key) or Reason.BAD_KEY


def key_id_of(text: str | None) -> KeyId:
    """Return the id in a key's text, empty without a key."""
    presented = None if text is None else parse_key(text)
    return KeyId('') if presented is None else presented.id
