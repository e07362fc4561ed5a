"""Who claims the fleet first when it has no owner.

It answers two loads: a fleet whose instances are restarted in turn, where
the youngest has its restart behind it, and one of unequal instances, where
the owner's work would slow a small one down.
"""

from collections.abc import Mapping
from typing import Final

from primroseledge.cluster.keys import MemberRecord
from primroseledge.ids import EntryId

CLAIM_STAGGER_S: Final = 0.1
"""How long each member lets the one before it claim first."""

MAX_STAGGER_S: Final = 0.5
"""The longest that a member waits for others that may be gone."""

WEAK_CLAIM_WAIT_S: Final = 1.5
"""The wait of a member that is weak beside others."""

WEAK_SHARE: Final = 0.5
"""A member with less than this share of the strongest one's is weak."""


def claim_wait_s(
    members: Mapping[EntryId, MemberRecord], entry: EntryId
) -> float:
    """Return how long a member lets others claim, in seconds."""
    own = members.get(entry)
    if own is None:
        return MAX_STAGGER_S if members else 0.0
    if is_weak(members, entry):
        return WEAK_CLAIM_WAIT_S
    own_rank = claim_rank(own)
    before = sum(1 for m in members.values() if claim_rank(m) < own_rank)
    return min(CLAIM_STAGGER_S * before, MAX_STAGGER_S)


def is_weak(members: Mapping[EntryId, MemberRecord], entry: EntryId) -> bool:
    """Tell whether a member should leave the fleet to a stronger one."""
    own = members.get(entry)
    if own is None:
        return False
    strongest = max(member.processor_millis for member in members.values())
    return own.processor_millis < WEAK_SHARE * strongest


def claim_rank(member: MemberRecord) -> tuple[int, int, str]:
    """Return what members are ordered by; the smallest claims first."""
    return (-member.processor_millis, -member.started_ms, member.entry)
