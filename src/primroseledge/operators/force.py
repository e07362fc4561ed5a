"""Whether an accepted change is in force on the entry instances."""

from collections.abc import Sequence
from enum import Enum
from typing import Final

from primroseledge.ids import Revision
from primroseledge.operators.connections import EntryStatus

LAPSE_S: Final = 2.5
"""Evidence for a view without the change has lapsed after this time."""


class Force(Enum):
    """Where an accepted change is in force."""

    IN_FORCE = 'in force'
    PENDING = 'not yet in force'
    NOT_CHECKED = 'not checked'


def judge_force(
    revision: Revision,
    statuses: Sequence[EntryStatus | None],
    elapsed_s: float,
) -> Force:
    """Say whether a revision is in force.

    It is when all named entry instances have it, or when a majority
    has it and a view without it has lapsed, so that whoever lacks it
    refuses requests until it has it. None stands for one that did not
    answer.
    """
    if not statuses:
        return Force.NOT_CHECKED
    count = sum(
        status is not None and status.revision >= revision
        for status in statuses
    )
    if count == len(statuses):
        return Force.IN_FORCE
    has_majority = count * 2 > len(statuses)
    if has_majority and elapsed_s >= LAPSE_S:
        return Force.IN_FORCE
    return Force.PENDING
