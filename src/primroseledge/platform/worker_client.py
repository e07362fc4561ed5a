"""Orders to one worker and looks at it, over HTTP."""

from collections.abc import Callable
from typing import Any
from typing import Final

from msgspec import DecodeError
from msgspec import json

from primroseledge.clock import boot_time
from primroseledge.httpclient import HttpAnswer
from primroseledge.httpclient import HttpClient
from primroseledge.httpclient import NoAnswerError
from primroseledge.httpclient import NotSentError
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import ListedRun
from primroseledge.jobs.actions import Order
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import PollAnswered
from primroseledge.jobs.actions import PollFailed
from primroseledge.jobs.actions import RunEnd
from primroseledge.jobs.actions import SendPoll
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import SendThrottle
from primroseledge.jobs.actions import Target
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.wire import WireWorkerResponse
from primroseledge.platform.wire_names import END_KINDS
from primroseledge.platform.wire_names import format_task_name
from primroseledge.platform.wire_names import parse_task_name

ORDER_TIMEOUT_S: Final = 0.6
"""A worker in the same region answers within milliseconds."""

POLL_TIMEOUT_S: Final = 0.7

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
    """Register how a kind of order is written on the wire."""

    def register(render: OrderRenderer) -> OrderRenderer:
        ORDER_RENDERERS[order_type] = render
        return render

    return register


@register_renderer(SendStart)
def render_start(order: SendStart, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of a start."""
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
    """Return path and body of a stop."""
    return '/-/run-stop', {
        'task': format_task_name(order.task),
        'run': order.run_number,
        'fencing_token': epoch,
    }


@register_renderer(SendThrottle)
def render_throttle(
    order: SendThrottle, epoch: Epoch
) -> tuple[str, dict[str, Any]]:
    """Return path and body of a change of pace."""
    return '/-/pace', {
        'task': format_task_name(order.task),
        'run': order.run_number,
        'percentage': order.speed_percent,
        'fencing_token': epoch,
    }


class PlatformWorkerClient:
    """Speaks to one worker; looks and orders use separate connections."""

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address)

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def send_order(self, order: Order, epoch: Epoch) -> OrderAnswered:
        """Send an order and return how it ended."""
        path, body = ORDER_RENDERERS[type(order)](order, epoch)
        sent_at = boot_time()
        result, lists = self.post(order.target, path, body, ORDER_TIMEOUT_S)
        return OrderAnswered(
            order,
            result,
            lists.clock_ms if lists else None,
            sent_at,
            boot_time(),
        )

    def poll(self, poll: SendPoll, epoch: Epoch) -> PollAnswered | PollFailed:
        """Look at the worker."""
        body: dict[str, Any] = {
            'fencing_token': epoch,
            'last_seen': poll.acked_end_number,
        }
        if poll.deadline_ms is not None:
            body['deadline_ms'] = poll.deadline_ms
        if poll.wait_s:
            body['wait_ms'] = int(poll.wait_s * 1000)
        sent_at = boot_time()
        timeout_s = POLL_TIMEOUT_S + poll.wait_s
        target = poll.target
        result, lists = self.post(target, '/-/hold', body, timeout_s)
        if result is not OrderResult.DONE or lists is None:
            return PollFailed(target.worker, target.boot, result)
        if lists.born and lists.born != target.boot:
            return PollFailed(
                target.worker, target.boot, OrderResult.OTHER_BOOT
            )
        return PollAnswered(
            target.worker,
            target.boot,
            lists.clock_ms,
            tuple(decode_running_runs(lists, target)),
            tuple(decode_run_ends(lists, target)),
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
    ) -> tuple[OrderResult, WireWorkerResponse | None]:
        """Make a call; return what became of it, and the decoded answer."""
        try:
            answer = self.client.call(
                'POST',
                path,
                json.encode(body),
                timeout_s,
                {EXPECTED_INSTANCE_HEADER: target.worker},
            )
        except NotSentError:
            return OrderResult.NOT_SENT, None
        except NoAnswerError:
            return OrderResult.UNANSWERED, None
        return classify_response(answer, target)


def classify_response(
    answer: HttpAnswer, target: Target
) -> tuple[OrderResult, WireWorkerResponse | None]:
    """Return what an answer says of an order."""
    if answer.status == OTHER_BOOT_STATUS:
        return OrderResult.OTHER_BOOT, None
    if answer.status in UNAVAILABLE_STATUSES:
        return OrderResult.UNHEALTHY, None
    if answer.status == INVALID_STATUS:
        return OrderResult.INVALID, None
    try:
        lists = json.decode(answer.body, type=WireWorkerResponse)
    except DecodeError as error:
        log(
            Event.INPUT_SKIPPED,
            subject=f'answer of {target.worker}',
            problem=str(error),
        )
        return OrderResult.UNANSWERED, None
    if answer.status == OK:
        return OrderResult.DONE, lists
    if answer.status == REFUSAL_STATUS and lists.reason in RESULT_BY_REASON:
        return RESULT_BY_REASON[lists.reason], lists
    log(
        Event.INPUT_SKIPPED,
        subject=f'answer of {target.worker}',
        problem=f'status {answer.status}, reason {lists.reason!r}',
    )
    return OrderResult.UNANSWERED, None


def decode_running_runs(
    response: WireWorkerResponse, target: Target
) -> list[ListedRun]:
    """Return the runs of a list; a malformed one is logged."""
    found = list[ListedRun]()
    for name, run, checkpoint, percent, load in response.running:
        task = parse_task_name(name)
        if task is None:
            log_malformed_task(name, target)
            continue
        found.append(ListedRun(task, run, checkpoint, percent, load))
    return found


def decode_run_ends(
    response: WireWorkerResponse, target: Target
) -> list[RunEnd]:
    """Return the ends of a list; a malformed one is logged."""
    found = list[RunEnd]()
    for number, name, run, how, checkpoint in response.finished:
        task = parse_task_name(name)
        kind = END_KINDS.get(how)
        if task is None or kind is None:
            log_malformed_task(f'{name} {how}', target)
            continue
        found.append(RunEnd(number, task, run, kind, checkpoint))
    return found


def log_malformed_task(name: str, target: Target) -> None:
    """Log a row that names no task."""
    log(
        Event.INPUT_SKIPPED,
        subject=f'list of {target.worker}',
        problem=f'not a task: {name[:80]!r}',
    )
