"""The oracle of the fuzz of requests: what ran, and what callers were told."""

import collections
from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import RequestId
from primroseledge.requests.actions import Deliver
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import told_outcome
from tests.requests_records import Execution
from tests.requests_records import Sending


@dataclass
class Judge:
    """Compares runs and answers; ``problems`` are the broken rules."""

    sendings: dict[int, Sending] = field(default_factory=dict)
    problems: list[str] = field(default_factory=list)
    ran: collections.Counter[RequestId] = field(
        default_factory=collections.Counter
    )
    ran_for: collections.Counter[int] = field(
        default_factory=collections.Counter
    )
    told_not_run: dict[RequestId, float] = field(default_factory=dict)

    def check_run(self, execution: Execution, now: float) -> None:
        """Count a run: none twice, none of a refused sending."""
        request_id = execution.request_id
        self.ran[request_id] += 1
        self.ran_for[execution.handle] += 1
        sending = self.sendings[execution.handle]
        if sending.is_idempotent:
            return
        if self.ran[request_id] > 1:
            self.problems.append(f'{request_id} ran twice at {now}')
        if sending.began_at < self.told_not_run.get(request_id, -1.0):
            self.problems.append(f'{sending} ran after a refusal of its id')

    def check_answer(self, action: Deliver | RefuseCall, now: float) -> None:
        """Compare what a caller is told with the ledger."""
        sending = self.sendings[action.handle]
        if sending.is_over:
            self.problems.append(f'{action} is a second answer')
        sending.is_over = True
        ran = self.ran[sending.request_id]
        if sending.is_idempotent:
            ran = self.ran_for[action.handle]
        if isinstance(action, Deliver):
            outcome = Outcome.RAN
        else:
            outcome = told_outcome(
                action.reason, not sending.is_idempotent, action.is_checked
            )
        if outcome is Outcome.NOT_RUN:
            self.told_not_run[sending.request_id] = now
        if outcome is Outcome.NOT_RUN and ran:
            self.problems.append(f'{action} but it ran: {sending}')
        if outcome is Outcome.RAN and not ran:
            self.problems.append(f'{action} but it did not run: {sending}')
