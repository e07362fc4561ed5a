"""What became of a request, as callers are told."""

from dataclasses import dataclass
from enum import Enum
from typing import Final


class Outcome(Enum):
    """Whether a request ran."""

    NOT_RUN = 'not_run'
    RAN = 'ran'
    UNKNOWN = 'unknown'


class Reason(Enum):
    """Why a request got no answer of an upstream."""

    BAD_REQUEST = 'bad_request'
    NO_KEY = 'no_key'
    BAD_KEY = 'bad_key'
    NOT_ALLOWED = 'not_allowed'
    NO_SERVICE = 'no_service'
    TOO_LARGE = 'too_large'
    QUEUE_FULL = 'queue_full'
    DEADLINE = 'deadline'
    NOT_FRESH = 'not_fresh'
    STOPPING = 'stopping'
    SERVER_BUSY = 'server_busy'
    NO_UPSTREAM = 'no_upstream'
    UPSTREAM_REFUSED = 'upstream_refused'
    IN_PROGRESS = 'in_progress'
    ALREADY_RAN = 'already_ran'
    ID_TOO_OLD = 'id_too_old'
    ID_IN_FUTURE = 'id_in_future'
    MEMORY_LOST = 'memory_lost'
    ANSWER_LOST = 'answer_lost'
    BAD_ANSWER = 'bad_answer'
    BREAKS_UPSTREAMS = 'breaks_upstreams'


@dataclass(frozen=True, slots=True)
class Verdict:
    """The HTTP status and the outcome that belong to a reason."""

    status: str
    outcome: Outcome
    has_retry_after: bool = False


def told_outcome(
    reason: Reason, is_guarded: bool, is_checked: bool
) -> Outcome:
    """Return what a refusal may say of the request.

    ``is_guarded`` marks a request that must not run twice and whose id
    the caller chose, so that it may have been sent before, by another
    way. Unless the owner of the cell has looked the id up, nobody here
    can prove that the request did not run.
    """
    outcome = VERDICTS[reason].outcome
    if outcome is Outcome.NOT_RUN and is_guarded and not is_checked:
        return Outcome.UNKNOWN
    return outcome


VERDICTS: Final[dict[Reason, Verdict]] = {
    Reason.BAD_REQUEST: Verdict('400 Bad Request', Outcome.NOT_RUN),
    Reason.NO_KEY: Verdict('401 Unauthorized', Outcome.NOT_RUN),
    Reason.BAD_KEY: Verdict('401 Unauthorized', Outcome.NOT_RUN),
    Reason.NOT_ALLOWED: Verdict('403 Forbidden', Outcome.NOT_RUN),
    Reason.NO_SERVICE: Verdict('404 Not Found', Outcome.NOT_RUN),
    Reason.TOO_LARGE: Verdict('413 Content Too Large', Outcome.NOT_RUN),
    Reason.QUEUE_FULL: Verdict('429 Too Many Requests', Outcome.NOT_RUN, True),
    Reason.DEADLINE: Verdict('503 Service Unavailable', Outcome.NOT_RUN, True),
    Reason.NOT_FRESH: Verdict(
        '503 Service Unavailable', Outcome.NOT_RUN, True
    ),
    Reason.STOPPING: Verdict('503 Service Unavailable', Outcome.NOT_RUN, True),
    Reason.SERVER_BUSY: Verdict(
        '503 Service Unavailable', Outcome.UNKNOWN, True
    ),
    Reason.NO_UPSTREAM: Verdict(
        '503 Service Unavailable', Outcome.NOT_RUN, True
    ),
    Reason.UPSTREAM_REFUSED: Verdict(
        '503 Service Unavailable', Outcome.NOT_RUN, True
    ),
    Reason.IN_PROGRESS: Verdict('409 Conflict', Outcome.UNKNOWN, True),
    Reason.ALREADY_RAN: Verdict('409 Conflict', Outcome.RAN),
    Reason.ID_TOO_OLD: Verdict('409 Conflict', Outcome.UNKNOWN),
    Reason.ID_IN_FUTURE: Verdict('400 Bad Request', Outcome.NOT_RUN),
    Reason.MEMORY_LOST: Verdict('409 Conflict', Outcome.UNKNOWN),
    Reason.ANSWER_LOST: Verdict('504 Gateway Timeout', Outcome.UNKNOWN),
    Reason.BAD_ANSWER: Verdict('502 Bad Gateway', Outcome.UNKNOWN),
    Reason.BREAKS_UPSTREAMS: Verdict('502 Bad Gateway', Outcome.UNKNOWN),
}
