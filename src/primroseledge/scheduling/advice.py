"""Ask the advisory service which workers may run the tasks of a step.

The service handles one request at a time and takes longer with each worker
named in it. A request therefore names few workers (``advice_requests`` chooses
them), and the answers are cached: whether a worker is allowed does not change
within one of its boots; only its tickets expire.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.job import StepOccurrence
from primroseledge.scheduling.actions import Action
from primroseledge.workers.worker import Worker

ADVICE_RETRY_S: Final = 0.5
"""Time in s after a failed request before it is retried."""

TICKET_MARGIN_S: Final = 0.3
"""Time in s before the expiry of a ticket from which on it is not used.

It could otherwise expire before the start that carries it reaches the worker.
"""


class StepKey(NamedTuple):
    """The key of a step within one occurrence of a job."""

    job: JobId
    occurrence: int
    step: int


@dataclass(frozen=True, slots=True)
class RequestAdvice(Action):
    """Action: ask the advisory service which workers may run a step.

    ``boots`` are those of the workers at that time: the answer says nothing
    about later ones.
    """

    step: StepKey
    workers: tuple[WorkerId, ...]
    boots: tuple[Boot, ...]


@dataclass(frozen=True, slots=True)
class AdviceAnswered:
    """Event: the advisory service answered a request.

    ``tickets`` has a ticket for each worker that may run the step's tasks; the
    other workers of the request may not. A ticket is valid for ``validity_s``
    from ``sent_at``, the time when the request was sent.
    """

    request: RequestAdvice
    tickets: dict[WorkerId, str]
    validity_s: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class AdviceFailed:
    """Event: the advisory service gave no usable answer to a request."""

    request: RequestAdvice
    problem: str


@dataclass(frozen=True, slots=True)
class Ticket:
    """The permission to start tasks of a step on one boot of a worker.

    ``text`` is sent to the worker with each start.
    """

    text: str
    boot: Boot
    expires_at: float


@dataclass(slots=True)
class StepAdvice:
    """The cached answers of the advisory service about one step.

    No request is made for the step before ``retry_at``, a time of this
    instance's clock.
    """

    tickets: dict[WorkerId, Ticket] = field(default_factory=dict)
    disallowed_workers: set[tuple[WorkerId, Boot]] = field(default_factory=set)
    retry_at: float = 0.0


@dataclass(slots=True)
class AdviceCache:
    """The cached answers for all steps, and the one request in flight."""

    steps: dict[StepKey, StepAdvice] = field(default_factory=dict)
    request_in_flight: RequestAdvice | None = None

    def ticket_for(
        self, step: StepKey, worker: Worker, now: float
    ) -> str | None:
        """Return the valid ticket for a step on a worker, or None.

        A ticket for an earlier boot of the worker is not valid.
        """
        advice = self.steps.get(step)
        ticket = advice.tickets.get(worker.id) if advice else None
        if ticket is None or ticket.boot != worker.entry.boot:
            return None
        if now >= ticket.expires_at - TICKET_MARGIN_S:
            return None
        return ticket.text

    def is_disallowed(self, step: StepKey, worker: Worker) -> bool:
        """Return whether the service has disallowed a step on a worker."""
        advice = self.steps.get(step)
        boot = (worker.id, worker.entry.boot)
        return advice is not None and boot in advice.disallowed_workers

    def was_allowed(self, step: StepKey, worker: Worker) -> bool:
        """Return whether a worker had a ticket, which may have expired."""
        advice = self.steps.get(step)
        ticket = advice.tickets.get(worker.id) if advice else None
        return ticket is not None and ticket.boot == worker.entry.boot

    def is_unasked(self, step: StepKey, worker: Worker, now: float) -> bool:
        """Return whether it is open if a worker may run a step.

        It has no valid ticket, and is not disallowed. One whose ticket has
        expired counts as unasked again.
        """
        return (
            not self.is_disallowed(step, worker)
            and self.ticket_for(step, worker, now) is None
        )

    def may_request(self, step: StepKey, now: float) -> bool:
        """Return whether a request about a step may be sent now.

        None may while another request is in flight, and for
        ``ADVICE_RETRY_S`` after a failed one about the step.
        """
        advice = self.steps.get(step)
        is_retry_due = advice is None or now >= advice.retry_at
        return self.request_in_flight is None and is_retry_due

    def begin_request(
        self, step: StepKey, workers: Iterable[Worker]
    ) -> RequestAdvice:
        """Return the request to send, and record it as being in flight."""
        named = list(workers)
        self.request_in_flight = RequestAdvice(
            step,
            tuple(worker.id for worker in named),
            tuple(worker.entry.boot for worker in named),
        )
        return self.request_in_flight

    def handle_answer(
        self,
        answer: AdviceAnswered | AdviceFailed,
        now: float,
    ) -> None:
        """Cache the answer to the request in flight, or schedule its retry."""
        self.request_in_flight = None
        advice = self.steps.setdefault(answer.request.step, StepAdvice())
        if isinstance(answer, AdviceFailed):
            advice.retry_at = now + ADVICE_RETRY_S
            return
        expires_at = answer.sent_at + answer.validity_s
        request = answer.request
        for worker_id, boot in zip(
            request.workers, request.boots, strict=True
        ):
            text = answer.tickets.get(worker_id)
            if text is None:
                advice.disallowed_workers.add((worker_id, boot))
            else:
                advice.tickets[worker_id] = Ticket(text, boot, expires_at)

    def drop_ticket(self, step: StepKey, worker: WorkerId) -> None:
        """Remove a ticket from the cache, because the worker refused it."""
        advice = self.steps.get(step)
        if advice is not None:
            advice.tickets.pop(worker, None)

    def drop_job(self, job: JobId) -> None:
        """Remove the cached answers for all steps of a job."""
        for key in [key for key in self.steps if key.job == job]:
            del self.steps[key]


def step_key(job: JobId, step: StepOccurrence) -> StepKey:
    """Return the key under which the advice for a job's step is cached."""
    return StepKey(job, step.occurrence, step.number)
