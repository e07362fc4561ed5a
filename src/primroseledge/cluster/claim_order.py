"""Order in which entry instances claim the ownership of the whole fleet.

The order applies while the fleet has no owner. It prefers instances with
more processor capacity, because the owner's work would slow a small one
down, and among equal ones the instance that started last: during a rolling
restart it has been restarted already, so the ownership need not move again.

``agreement/succession.py`` decides who takes over one cell in the product's
own protocol; that is another concept.

A member is an entry instance whose member record is in the store. It is weak
if it has less than ``WEAK_SHARE`` of the processor capacity of the strongest
member.
"""

from collections.abc import Mapping
from typing import Final

from primroseledge.cluster.keys import MemberRecord
from primroseledge.ids import EntryId

CLAIM_STAGGER_S: Final = 0.1
"""Delay between the claims of two adjacent members, in seconds."""

MAX_STAGGER_S: Final = 0.5
"""Longest delay of a claim by a member that is not weak, in seconds.

The members ahead may be gone although their records have not expired yet.
Without a bound a long list of members would delay the takeover.
"""

WEAK_CLAIM_WAIT_S: Final = 1.5
"""Delay of a claim by a weak member, in seconds.

It is longer than ``MAX_STAGGER_S``, so members that are not weak claim first.
"""

WEAK_SHARE: Final = 0.5
"""Share of the strongest member's capacity below which a member is weak."""


def claim_wait_s(
    members: Mapping[EntryId, MemberRecord], entry: EntryId
) -> float:
    """Return how long a member waits before it claims, in seconds.

    The time counts from when the member finds the fleet without an owner.
    A member whose own record has not been read yet cannot rank itself: it
    waits ``MAX_STAGGER_S`` if other members are known, else not at all.
    """
    own = members.get(entry)
    if own is None:
        return MAX_STAGGER_S if members else 0.0
    if is_weak(members, entry):
        return WEAK_CLAIM_WAIT_S
    own_rank = claim_rank(own)
    members_ahead = sum(
        1 for m in members.values() if claim_rank(m) < own_rank
    )
    return min(CLAIM_STAGGER_S * members_ahead, MAX_STAGGER_S)


def is_weak(members: Mapping[EntryId, MemberRecord], entry: EntryId) -> bool:
    """Return whether a member should leave the ownership to a stronger one.

    A member whose record has not been read yet does not count as weak.
    """
    own = members.get(entry)
    if own is None:
        return False
    strongest = max(member.processor_millis for member in members.values())
    return own.processor_millis < WEAK_SHARE * strongest


def claim_rank(member: MemberRecord) -> tuple[int, int, str]:
    """Return the sort key of a member; the smallest key claims first.

    Ties of capacity and start time are broken by the entry id.
    """
    return (-member.processor_millis, -member.started_ms, member.entry)
