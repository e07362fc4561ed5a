"""The states of the ownership chart."""

from enum import Enum


class OwnerState(Enum):
    """The states of the ownership chart."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    WAITING = 'waiting'
    OWNER = 'owner'
    RESIGNED = 'resigned'
