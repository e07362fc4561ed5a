"""Changes of the entry instances whose majority counts."""

from collections.abc import Collection

from primroseledge.agreement.freshness import majority
from primroseledge.errors import OperatorError
from primroseledge.fleet import Fleet
from primroseledge.operators.changes import Change
from primroseledge.operators.changes import plan
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Members

MEMBERS_ID = 'all'


def set_members(fleet: Fleet, entries: Collection[str]) -> Change:
    """Set the members; raises OperatorError when too many change.

    Each majority of the old members must share one with each majority
    of the new, or both could act in an outage of the store, each
    without the other's changes.
    """
    new = set(entries)
    if len(new) < len(entries):
        raise OperatorError('an entry instance is named twice')
    document = fleet.find(Members, 'members', MEMBERS_ID)
    old = set(document.entries) if document else set[str]()
    if old and not do_majorities_meet(old, new):
        raise OperatorError(
            f'from {", ".join(sorted(old))} too many change at once; '
            'add or remove one at a time'
        )
    key = document_key('members', MEMBERS_ID)
    return plan(fleet, key, Members(MEMBERS_ID, tuple(sorted(new))))


def do_majorities_meet(old: set[str], new: set[str]) -> bool:
    """Say whether each majority of one meets each of the other."""
    return majority(len(old)) + majority(len(new)) > len(old | new)
