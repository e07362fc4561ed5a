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
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import Order
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import RunEnd
from primroseledge.jobs.actions import RunningRun
from primroseledge.jobs.actions import SendLook
from primroseledge.jobs.actions import SendPace
from primroseledge.jobs.actions import SendStart
from primroseledge.jobs.actions import SendStop
from primroseledge.jobs.actions import Target
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.platform.names import END_KINDS
from primroseledge.platform.names import format_task
from primroseledge.platform.names import parse_task
from primroseledge.platform.wire import WireLists

ORDER_TIMEOUT_S: Final = 0.6
"""A worker in the same region answers within milliseconds."""

LOOK_TIMEOUT_S: Final = 0.7

OK: Final = 200
OTHER_BOOT_STATUS: Final = 421
REFUSAL_STATUS: Final = 409
INVALID_STATUS: Final = 400
BUSY: Final = (429, 503)
EXPECTED_INSTANCE: Final = 'Expected-Instance'

REASONS: Final = {
    'fence': OrderResult.FENCED,
    'old': OrderResult.OLD_RUN,
    'late': OrderResult.TOO_LATE,
    'room': OrderResult.NO_ROOM,
    'ticket': OrderResult.NO_TICKET,
}

Render = Callable[[Any, Epoch], tuple[str, dict[str, Any]]]
RENDERERS: Final[dict[type, Render]] = {}


def renders(kind: type) -> Callable[[Render], Render]:
    """Register how a kind of order is written on the wire."""

    def register(render: Render) -> Render:
        RENDERERS[kind] = render
        return render

    return register


@renders(SendStart)
def render_start(order: SendStart, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of a start."""
    body = {
        'task': format_task(order.task),
        'run': order.run,
        'task_spec': order.payload,
        'deadline_ms': order.deadline_ms,
        'fencing_token': epoch,
    }
    if order.checkpoint:
        body['checkpoint'] = order.checkpoint
    if order.ticket:
        body['ticket'] = order.ticket
    return '/-/run-start', body


@renders(SendStop)
def render_stop(order: SendStop, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of a stop."""
    return '/-/run-stop', {
        'task': format_task(order.task),
        'run': order.run,
        'fencing_token': epoch,
    }


@renders(SendPace)
def render_pace(order: SendPace, epoch: Epoch) -> tuple[str, dict[str, Any]]:
    """Return path and body of a change of pace."""
    return '/-/pace', {
        'task': format_task(order.task),
        'run': order.run,
        'percentage': order.percent,
        'fencing_token': epoch,
    }


class PlatformWorker:
    """Speaks to one worker; looks and orders use separate connections."""

    def __init__(self, address: str) -> None:
        self.client = HttpClient(address)

    def close(self) -> None:
        """Close the connection."""
        self.client.close()

    def order(self, order: Order, epoch: Epoch) -> OrderAnswered:
        """Send an order and return how it ended."""
        path, body = RENDERERS[type(order)](order, epoch)
        sent_at = boot_time()
        result, lists = self.post(order.target, path, body, ORDER_TIMEOUT_S)
        return OrderAnswered(
            order,
            result,
            lists.clock_ms if lists else None,
            sent_at,
            boot_time(),
        )

    def look(self, look: SendLook, epoch: Epoch) -> LookAnswered | LookFailed:
        """Look at the worker."""
        body: dict[str, Any] = {
            'fencing_token': epoch,
            'last_seen': look.stored_end,
        }
        if look.deadline_ms is not None:
            body['deadline_ms'] = look.deadline_ms
        if look.wait_s:
            body['wait_ms'] = int(look.wait_s * 1000)
        sent_at = boot_time()
        timeout_s = LOOK_TIMEOUT_S + look.wait_s
        target = look.target
        result, lists = self.post(target, '/-/hold', body, timeout_s)
        if result is not OrderResult.DONE or lists is None:
            return LookFailed(target.worker, target.boot, result)
        if lists.born and lists.born != target.boot:
            return LookFailed(
                target.worker, target.boot, OrderResult.OTHER_BOOT
            )
        return LookAnswered(
            target.worker,
            target.boot,
            lists.clock_ms,
            tuple(decode_running(lists, target)),
            tuple(decode_ends(lists, target)),
            look.stored_end,
            sent_at,
            boot_time(),
        )

    def post(
        self,
        target: Target,
        path: str,
        body: dict[str, Any],
        timeout_s: float,
    ) -> tuple[OrderResult, WireLists | None]:
        """Make a call; return what became of it, and the decoded answer."""
        try:
            answer = self.client.call(
                'POST',
                path,
                json.encode(body),
                timeout_s,
                {EXPECTED_INSTANCE: target.worker},
            )
        except NotSentError:
            return OrderResult.NOT_SENT, None
        except NoAnswerError:
            return OrderResult.UNANSWERED, None
        return classify(answer, target)


def classify(
    answer: HttpAnswer, target: Target
) -> tuple[OrderResult, WireLists | None]:
    """Return what an answer says of an order."""
    if answer.status == OTHER_BOOT_STATUS:
        return OrderResult.OTHER_BOOT, None
    if answer.status in BUSY:
        return OrderResult.UNHEALTHY, None
    if answer.status == INVALID_STATUS:
        return OrderResult.INVALID, None
    try:
        lists = json.decode(answer.body, type=WireLists)
    except DecodeError as error:
        log(
            Event.INPUT_SKIPPED,
            subject=f'answer of {target.worker}',
            problem=str(error),
        )
        return OrderResult.UNANSWERED, None
    if answer.status == OK:
        return OrderResult.DONE, lists
    if answer.status == REFUSAL_STATUS and lists.reason in REASONS:
        return REASONS[lists.reason], lists
    log(
        Event.INPUT_SKIPPED,
        subject=f'answer of {target.worker}',
        problem=f'status {answer.status}, reason {lists.reason!r}',
    )
    return OrderResult.UNANSWERED, None


def decode_running(lists: WireLists, target: Target) -> list[RunningRun]:
    """Return the runs of a list; a malformed one is logged."""
    found = list[RunningRun]()
    for name, run, checkpoint, percent, load in lists.running:
        task = parse_task(name)
        if task is None:
            log_bad_task(name, target)
            continue
        found.append(RunningRun(task, run, checkpoint, percent, load))
    return found


def decode_ends(lists: WireLists, target: Target) -> list[RunEnd]:
    """Return the ends of a list; a malformed one is logged."""
    found = list[RunEnd]()
    for number, name, run, how, checkpoint in lists.finished:
        task = parse_task(name)
        kind = END_KINDS.get(how)
        if task is None or kind is None:
            log_bad_task(f'{name} {how}', target)
            continue
        found.append(RunEnd(number, task, run, kind, checkpoint))
    return found


def log_bad_task(name: str, target: Target) -> None:
    """Log a row that names no task."""
    log(
        Event.INPUT_SKIPPED,
        subject=f'list of {target.worker}',
        problem=f'not a task: {name[:80]!r}',
    )
