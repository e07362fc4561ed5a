"""How an attempt ended at the carrier, and what that proves."""

from enum import Enum
from typing import Final

from primroseledge.requests.messages import EndState
from primroseledge.requests.outcomes import Reason


class AttemptEnd(Enum):
    """How an attempt ended, as the carrier saw it.

    FAILED is a whole answer that says that the upstream failed; the
    caller gets it. TOO_LATE and NOT_SENT mean that no byte left, BROKEN that
    the upstream broke the connection off before it had answered.
    """

    ANSWERED = 'answered'
    FAILED = 'failed'
    REFUSED = 'refused'
    TOO_LATE = 'too_late'
    NOT_SENT = 'not_sent'
    BAD_ANSWER = 'bad_answer'
    LOST = 'lost'
    BROKEN = 'broken'


END_STATES: Final = {
    AttemptEnd.ANSWERED: EndState.ENDED,
    AttemptEnd.FAILED: EndState.ENDED,
    AttemptEnd.REFUSED: EndState.NOT_RUN,
    AttemptEnd.TOO_LATE: EndState.NOT_RUN,
    AttemptEnd.NOT_SENT: EndState.NOT_RUN,
    AttemptEnd.BAD_ANSWER: EndState.UNKNOWN,
    AttemptEnd.LOST: EndState.UNKNOWN,
    AttemptEnd.BROKEN: EndState.UNKNOWN,
}

FAILURE_REASONS: Final = {
    AttemptEnd.REFUSED: Reason.UPSTREAM_REFUSED,
    AttemptEnd.TOO_LATE: Reason.DEADLINE,
    AttemptEnd.NOT_SENT: Reason.NO_UPSTREAM,
    AttemptEnd.BAD_ANSWER: Reason.BAD_ANSWER,
    AttemptEnd.LOST: Reason.ANSWER_LOST,
    AttemptEnd.BROKEN: Reason.ANSWER_LOST,
}

DELIVERED: Final = frozenset({AttemptEnd.ANSWERED, AttemptEnd.FAILED})

UPSTREAM_FAILURES: Final = frozenset(
    {
        AttemptEnd.FAILED,
        AttemptEnd.NOT_SENT,
        AttemptEnd.BAD_ANSWER,
        AttemptEnd.LOST,
        AttemptEnd.BROKEN,
    }
)
