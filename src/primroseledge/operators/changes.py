"""Changes of documents that operators ask for, as plain functions.

Each takes the fleet as read and returns a ``Change``, to be written by
compare-and-swap. Each raises OperatorError when it must not be done.
"""

from dataclasses import dataclass
from difflib import get_close_matches
from typing import TypeVar

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct
from msgspec import structs
from msgspec import ValidationError

from primroseledge.errors import DocumentError
from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.ids import KeyId
from primroseledge.ids import Revision
from primroseledge.storage.documents import decode_document
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team

DocumentT = TypeVar('DocumentT', bound=Document)


class Identified(Struct):
    """What every document has."""

    id: str


@dataclass(frozen=True, slots=True)
class Change:
    """A document before and after; None where it does not exist."""

    key: str
    before: Document | None
    after: Document | None
    expected: Revision


def plan(fleet: Fleet, key: str, after: Document | None) -> Change:
    """Return the change of a key to a document, checked as stored."""
    held = fleet.held.get(key)
    return Change(
        key, held.document if held else None, after, fleet.revision_of(key)
    )


def set_team(
    fleet: Fleet, team_id: str, share: int | None, limit: int | None
) -> Change:
    """Create a team, or change its share or limit; keys stay."""
    team = fleet.find(Team, 'team', team_id)
    if team is None:
        if share is None or limit is None:
            raise OperatorError(
                f'team {team_id!r} is new: give both --share and --limit'
            )
        team = Team(id=team_id, share=share, limit=limit)
    changed = structs.replace(
        team,
        share=team.share if share is None else share,
        limit=team.limit if limit is None else limit,
    )
    return plan(fleet, document_key('team', team_id), changed)


def delete_team(fleet: Fleet, team_id: str) -> Change:
    """Delete a team that owns no service."""
    require(fleet, Team, 'team', team_id)
    owned = [item.id for item in fleet.each(Service) if item.team == team_id]
    if owned:
        raise OperatorError(
            f'team {team_id!r} owns {", ".join(owned)}; give these to '
            'another team first'
        )
    return plan(fleet, document_key('team', team_id), None)


def give_key(fleet: Fleet, team_id: str, record: KeyRecord) -> Change:
    """Add a key to a team."""
    team = require(fleet, Team, 'team', team_id)
    changed = structs.replace(team, keys=(*team.keys, record))
    return plan(fleet, document_key('team', team_id), changed)


def withdraw_key(fleet: Fleet, team_id: str, key_id: str) -> Change:
    """Remove a key from a team."""
    team = require(fleet, Team, 'team', team_id)
    if team.find_key(KeyId(key_id)) is None:
        raise OperatorError(
            f'team {team_id!r} has no key {key_id!r}; see '
            f'primroseledge key list {team_id}'
        )
    kept = tuple(key for key in team.keys if key.id != key_id)
    return plan(
        fleet, document_key('team', team_id), structs.replace(team, keys=kept)
    )


def set_pool(
    fleet: Fleet, pool_id: str, buffer: int | None, is_spare: bool | None
) -> Change:
    """Create a pool, or change its buffer or whether it is spare."""
    pool = fleet.find(Pool, 'pool', pool_id) or Pool(id=pool_id)
    changed = structs.replace(
        pool,
        buffer=pool.buffer if buffer is None else buffer,
        spare=pool.spare if is_spare is None else is_spare,
    )
    return plan(fleet, document_key('pool', pool_id), changed)


def apply_service(fleet: Fleet, text: str) -> Change:
    """Return the change to a service's document given as JSON text."""
    service = decode_service(text)
    require(fleet, Team, 'team', service.team)
    require(fleet, Pool, 'pool', service.pool)
    return plan(fleet, document_key('service', service.id), service)


def decode_service(text: str) -> Service:
    """Decode and check a service's document; raises DocumentError."""
    document_id = read_id(text)
    document = decode_document(document_key('service', document_id), text)
    assert isinstance(document, Service)
    return document


def read_id(text: str) -> str:
    """Return the id that a document's text gives."""
    try:
        return json.decode(text, type=Identified).id
    except (ValidationError, DecodeError) as error:
        raise DocumentError(f'document: {error}') from error


def require(
    fleet: Fleet, document_type: type[DocumentT], kind: str, document_id: str
) -> DocumentT:
    """Return a document; raises OperatorError when there is none."""
    document = fleet.find(document_type, kind, document_id)
    if document is not None:
        return document
    problem = fleet.problems.get(document_key(kind, document_id))
    if problem:
        raise OperatorError(f'{kind} {document_id!r} is invalid: {problem}')
    known = [getattr(item, 'id', '') for item in fleet.each(document_type)]
    close = get_close_matches(document_id, known, n=1)
    hint = f'; did you mean {close[0]!r}?' if close else ''
    raise OperatorError(f'there is no {kind} {document_id!r}{hint}')
