"""The calls of one worker, over a worker without a network."""

from threading import Condition
from time import monotonic
from typing import Any
from typing import Final

from primroseledge.ids import WorkerId
from primroseledge.platform.wire_names import END_KINDS
from primroseledge.platform.wire_names import format_task_name
from primroseledge.platform.wire_names import parse_task_name
from primroseledge.platform.worker_client import RESULT_BY_REASON
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SendThrottle
from primroseledge.scheduling.actions import Target
from standins.call_server import DropCall
from standins.call_server import Reply
from standins.worker_core import SimWorker

LOOK_STEP_S: Final = 0.5
END_NAMES: Final = {kind: name for name, kind in END_KINDS.items()}
REASON_NAMES: Final = {
    result: name for name, result in RESULT_BY_REASON.items()
}
STATUS_OF: Final = {
    OrderResult.DONE: 200,
    OrderResult.OTHER_BOOT: 421,
    OrderResult.INVALID: 400,
}


class WorkerCalls:
    """Answers orders and polls of one life of a worker.

    ``changed`` guards the worker; who waits for it sees each end and the
    end of the life.
    """

    def __init__(self, core: SimWorker, clock: Any = monotonic) -> None:
        self.core = core
        self.clock = clock
        self.changed = Condition()

    def answer(
        self, path: str, fields: dict[str, Any], expected: str
    ) -> Reply:
        """Answer one call; ``expected`` is the id that it was meant for.

        The id is all that is compared: calls that were meant for an
        earlier life under the same id are carried out.
        """
        worker = WorkerId(expected or self.core.id)
        target = Target(worker, self.core.boot, '')
        if path == '/-/hold':
            return self.look(fields, target)
        return self.order(path, fields, target)

    def order(
        self, path: str, fields: dict[str, Any], target: Target
    ) -> Reply:
        """Carry an order out."""
        order = parse_order(path, fields, target)
        if order is None:
            return 400, {}
        with self.changed:
            now = self.clock()
            result = self.obey(order, fields['fencing_token'], now)
            answer: dict[str, Any] = {'clock_ms': self.core.clock_ms(now)}
            self.changed.notify_all()
        status = STATUS_OF.get(result, 409)
        if status == 409:
            answer['reason'] = REASON_NAMES[result]
        return status, answer

    def obey(self, order: Order, epoch: int, now: float) -> OrderResult:
        """Let the worker carry an order out."""
        if not self.core.is_alive:
            raise DropCall
        return self.core.obey(order, epoch, now)

    def look(self, fields: dict[str, Any], target: Target) -> Reply:
        """Renew the lease and return the lists, once there is an end."""
        look = SendPoll(
            target, fields.get('deadline_ms'), fields['last_seen'], 0.0
        )
        until = self.clock() + fields.get('wait_ms', 0) / 1000
        epoch = fields['fencing_token']
        with self.changed:
            while True:
                if not self.core.is_alive:
                    raise DropCall
                now = self.clock()
                seen = self.core.look(look, epoch, now, now)
                if isinstance(seen, PollFailed):
                    return STATUS_OF.get(seen.result, 409), {
                        'clock_ms': self.core.clock_ms(now),
                        'reason': REASON_NAMES.get(seen.result, ''),
                    }
                if seen.ends or now >= until:
                    return 200, render_lists(seen)
                self.wait(now, until)

    def wait(self, now: float, until: float) -> None:
        """Wait for a change, or until the next run is over."""
        due = self.core.next_end_at()
        next_at = min(until, due if due is not None else until)
        self.changed.wait(max(0.001, min(LOOK_STEP_S, next_at - now)))


def parse_order(
    path: str, fields: dict[str, Any], target: Target
) -> Order | None:
    """Return the order that a call gives; None if it is malformed."""
    task = parse_task_name(fields.get('task', ''))
    if task is None:
        return None
    if path == '/-/run-start':
        return SendStart(
            target,
            task,
            fields['run'],
            fields['task_spec'],
            fields.get('checkpoint', ''),
            fields['deadline_ms'],
        )
    if path == '/-/run-stop':
        return SendStop(target, task, fields['run'])
    if path == '/-/pace':
        return SendThrottle(target, task, fields['run'], fields['percentage'])
    return None


def render_lists(seen: PollAnswered) -> dict[str, Any]:
    """Return the answer to a poll."""
    return {
        'clock_ms': seen.clock_ms,
        'born': seen.boot,
        'running': [
            [
                format_task_name(run.task),
                run.run_number,
                run.checkpoint,
                run.progress_percent,
                run.reported_load,
            ]
            for run in seen.running
        ],
        'finished': [
            [
                end.number,
                format_task_name(end.task),
                end.run_number,
                END_NAMES[end.kind],
                end.checkpoint,
            ]
            for end in seen.ends
        ],
    }
