"""HTTP client of one worker: sends it orders and polls it.

Orders start, stop and throttle runs. Every call carries the owner's
epoch, by which a worker rejects calls of an earlier owner.
"""

from collections.abc import Callable
from typing import Any
from typing import Final
from typing import NamedTuple

from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.http_client import HttpAnswer
from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from primroseledge.ids import Boot
from primroseledge.ids import Epoch
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.wire import MALFORMED_ERRORS
from primroseledge.platform.wire import WireWorkerResponse
from primroseledge.platform.wire_names import END_KINDS
from primroseledge.platform.wire_names import format_task_name
from primroseledge.platform.wire_names import parse_task_name
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.scheduling.actions import Target

ORDER_TIMEOUT_S: Final = 0.6
"""In seconds; a worker in the same region answers within milliseconds."""

POLL_TIMEOUT_S: Final = 0.7
"""In seconds; added to the time that the worker may wait for a run to end."""

OK: Final = 200
OTHER_BOOT_STATUS: Final = 421
REFUSAL_STATUS: Final = 409
INVALID_STATUS: Final = 400
UNAVAILABLE_STATUSES: Final = (429, 503)
EXPECTED_INSTANCE_HEADER: Final = 'Expected-Instance'

RESULT_BY_REASON: Final = {
    'fence': OrderResult.FENCED,
    'old': OrderResult.OLD_RUN,
    'late': OrderResult.TOO_LATE,
    'room': OrderResult.NO_CAPACITY,
    'ticket': OrderResult.NO_TICKET,
}

OrderRenderer = Callable[[Any, Epoch], tuple[str, dict[str, Any]]]
ORDER_RENDERERS: Final[dict[type, OrderRenderer]] = {}


def register_renderer(
    order_type: type,
) -> Callable[[OrderRenderer], OrderRenderer]:
    """Register the function that renders orders of a type as HTTP calls.

    It returns the path and the body of the call.
    """

    def register(render: OrderRenderer) -> OrderRenderer:
        ORDER_RENDERERS[order_type] = render
        return render

    return register


@register_renderer(SendStart)
def render_start(order: SendStart, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of the call that starts a run."""
    body = {
        'task': format_task_name(order.task),
        'run': order.run_number,
        'task_spec': order.payload,
        'deadline_ms': order.deadline_ms,
        'fencing_token': epoch,
    }
    if order.checkpoint:
        body['checkpoint'] = order.checkpoint
    if order.ticket:
        body['ticket'] = order.ticket
    return '/-/run-start', body


@register_renderer(SendStop)
def render_stop(order: SendStop, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of the call that stops a run."""
    return '/-/run-stop', {
        'task': format_task_name(order.task),
        'run': order.run_number,
        'fencing_token': epoch,
    }


@register_renderer(SendThrottle)
def render_throttle(
    order: SendThrottle, epoch: Epoch
) -> tuple[str, dict[str, Any]]:
    """Return path and body of the call that changes a run's speed."""
    return '/-/pace', {
        'task': format_task_name(order.task),
        'run': order.run_number,
        'percentage': order.speed_percent,
        'fencing_token': epoch,
    }


class CallResult(NamedTuple):
    """The result of a call to a worker, and its decoded answer if any.

    ``was_closed`` says that the worker's address refused the connection or
    broke it off.
    """

    result: OrderResult
    response: WireWorkerResponse | None
    was_closed: bool = False


class PlatformWorkerClient:
    """Client of one worker with a connection of its own.

    A poll may wait at the worker, so polls and orders to the same worker
    need separate clients.
    """

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address)

    def close(self) -> None:
        """Close the connection to the worker."""
        self.client.close()

    def send_order(self, order: Order, epoch: Epoch) -> OrderEnded:
        """Send an order with the owner's epoch and return its result."""
        path, body = ORDER_RENDERERS[type(order)](order, epoch)
        sent_at = boot_time()
        ended = self.post(order.target, path, body, ORDER_TIMEOUT_S)
        return OrderEnded(
            order,
            ended.result,
            ended.response.clock_ms if ended.response else None,
            sent_at,
            boot_time(),
        )

    def poll(self, poll: SendPoll, epoch: Epoch) -> PollAnswered | PollFailed:
        """Renew the lease of the worker's runs and list its runs and ends.

        Return PollFailed if the worker refused, did not answer, or is not
        in the boot that the poll was for.
        """
        body: dict[str, Any] = {
            'fencing_token': epoch,
            # Acknowledges the ends up to this number.
            'last_seen': poll.acked_end_number,
        }
        if poll.deadline_ms is not None:
            body['deadline_ms'] = poll.deadline_ms
        if poll.wait_s:
            body['wait_ms'] = int(poll.wait_s * 1000)
        sent_at = boot_time()
        timeout_s = POLL_TIMEOUT_S + poll.wait_s
        target = poll.target
        result, response, was_closed = self.post(
            target, '/-/hold', body, timeout_s
        )
        if result is not OrderResult.DONE or response is None:
            return PollFailed(
                target.worker, target.boot, result, was_closed=was_closed
            )
        if response.born and response.born != target.boot:
            return PollFailed(
                target.worker,
                target.boot,
                OrderResult.OTHER_BOOT,
                Boot(response.born),
            )
        return PollAnswered(
            target.worker,
            target.boot,
            response.clock_ms,
            tuple(decode_running_runs(response, target)),
            tuple(decode_run_ends(response, target)),
            poll.acked_end_number,
            sent_at,
            boot_time(),
        )

    def post(
        self,
        target: Target,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> CallResult:
        """Make a call; return its result and the worker's decoded answer.

        The answer is None unless the worker accepted the call or refused
        it for a known reason. The header with the worker's id lets another
        worker at the same address reject the call.
        """
        try:
            answer = self.client.call(
                'POST',
                path,
                json.encode(body),
                timeout_s,
                {EXPECTED_INSTANCE_HEADER: target.worker},
            )
        except NotSentError as error:
            return CallResult(OrderResult.NOT_SENT, None, error.was_closed)
        except NoAnswerError as error:
            return CallResult(OrderResult.UNANSWERED, None, error.was_closed)
        return CallResult(*classify_response(answer, target))


def classify_response(
    answer: HttpAnswer, target: Target
) -> tuple[OrderResult, WireWorkerResponse | None]:
    """Return the result that an HTTP answer stands for, and its body.

    An answer that cannot be interpreted is logged and gives UNANSWERED:
    the call may have been carried out.
    """
    if answer.status == OTHER_BOOT_STATUS:
        return OrderResult.OTHER_BOOT, None
    if answer.status in UNAVAILABLE_STATUSES:
        return OrderResult.UNHEALTHY, None
    if answer.status == INVALID_STATUS:
        return OrderResult.INVALID, None
    try:
        response = json.decode(answer.body, type=WireWorkerResponse)
    except MALFORMED_ERRORS as error:
        log(
            Event.INPUT_SKIPPED,
            subject=f'answer of worker {target.worker}',
            problem=str(error),
        )
        return OrderResult.UNANSWERED, None
    if answer.status == OK:
        return OrderResult.DONE, response
    if answer.status == REFUSAL_STATUS and response.reason in RESULT_BY_REASON:
        return RESULT_BY_REASON[response.reason], response
    log(
        Event.INPUT_SKIPPED,
        subject=f'answer of worker {target.worker}',
        problem=f'status {answer.status}, reason {response.reason!r}',
    )
    return OrderResult.UNANSWERED, None


def decode_running_runs(
    response: WireWorkerResponse, target: Target
) -> list[ListedRun]:
    """Return the runs that a worker lists.

    A run whose task name is malformed is logged and left out.
    """
    runs = list[ListedRun]()
    for name, run_number, checkpoint, percent, load in response.running:
        task = parse_task_name(name)
        if task is None:
            log_malformed_task(name, target)
            continue
        runs.append(ListedRun(task, run_number, checkpoint, percent, load))
    return runs


def decode_run_ends(
    response: WireWorkerResponse, target: Target
) -> list[RunEnd]:
    """Return the run ends that a worker lists.

    An end with a malformed task name or an unknown kind is logged and
    left out.
    """
    ends = list[RunEnd]()
    for number, name, run_number, kind_name, checkpoint in response.finished:
        task = parse_task_name(name)
        kind = END_KINDS.get(kind_name)
        if task is None or kind is None:
            log_malformed_task(f'{name} {kind_name}', target)
            continue
        ends.append(RunEnd(number, task, run_number, kind, checkpoint))
    return ends


def log_malformed_task(text: str, target: Target) -> None:
    """Log that a row of a worker's list is left out as malformed."""
    log(
        Event.INPUT_SKIPPED,
        subject=f'row in the list of worker {target.worker}',
        problem=f'unknown task name or kind of end: {text[:80]!r}',
    )
