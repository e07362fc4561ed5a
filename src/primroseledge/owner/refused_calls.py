"""Refused submissions: a refusal holds for all that are on their way.

The same job may have been submitted through several entry instances, and a
message may wait in a queue for long. So the owner remembers what it refused,
and refuses each submission of the job that began before its caller knew.
``refused_ids`` says how it tells these from a new attempt of the caller.
"""

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final

from primroseledge.ids import JobId
from primroseledge.refused_ids import RefusedIds
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SubmitJob
from primroseledge.scheduling.actions import Verdict

MAX_CALL_WAIT_S: Final = 10.0
"""Longest time for which a caller waits for an answer, in seconds."""

REFUSAL_WINDOW_S: Final = 600.0
"""Time for which a refused job is remembered, in seconds.

A submission can lie in the queue of a broken connection for as long as that
lasts, and is delivered when the connection is back.
"""

FORGOTTEN: Final = Answer(
    Verdict.REFUSED, retry_after_s=1.0, reason='may have been refused before'
)


@dataclass(slots=True)
class RefusedCalls:
    """The jobs that an owner has refused, and whether callers know."""

    ids: RefusedIds[Answer] = field(
        default_factory=lambda: RefusedIds(REFUSAL_WINDOW_S)
    )

    def refuse(
        self, call: CallId, job: JobId, refusal: Answer, now: float
    ) -> SendAnswer:
        """Return the answer that refuses a submission, and remember it.

        It has an effect at once on a caller of this instance; a peer
        confirms that it has told its caller.
        """
        if call.peer_identity:
            self.ids.refuse(job, key_of(call), refusal, MAX_CALL_WAIT_S, now)
        else:
            self.ids.record(job, refusal, now)
        return SendAnswer(call, refusal)

    def find_refusal(self, event: SubmitJob, now: float) -> Answer | None:
        """Return the earlier refusal that holds for a submission, if any."""
        self.ids.expire(now)
        begun_after = event.begun_after
        if begun_after is None:
            # Peers of the previous version don't say when it began. Callers
            # of this instance know of a refusal at once.
            begun_after = -inf if event.call.peer_identity else inf
        elif self.ids.is_forgotten(begun_after):
            return FORGOTTEN
        return self.ids.find(event.job.id, begun_after, now)

    def confirm(self, call: CallId, job: JobId, now: float) -> None:
        """Note that the caller of a refused submission has been told."""
        self.ids.confirm(job, key_of(call), now)


def key_of(call: CallId) -> str:
    """Return a key that identifies a call at the owner."""
    return f'{call.number}@{call.peer_identity}'
