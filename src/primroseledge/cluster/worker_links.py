"""Threads that send orders and polls to workers.

Each worker in use has one thread and connection for polls and another for
orders, because a worker delays its answer to a poll until a run ends. One
thread for all orders to a worker keeps them in sequence.
"""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final
from typing import Protocol

from primroseledge.clock import boot_time
from primroseledge.cluster.call_thread import CallThread
from primroseledge.cluster.call_thread import Inbox
from primroseledge.cluster.call_thread import log_call_failure
from primroseledge.cluster.commands import WorkerReport
from primroseledge.ids import Epoch
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.send_check import send_only_if

WORKER_IDLE_TIMEOUT_S: Final = 10.0
"""Idle time after which a worker's connections are closed, in seconds."""

MAX_ORDER_WAIT_S: Final = 1.0
"""Longest time in seconds between the decision for an order and its sending.

Behind orders that are not answered, each by 0.6 s, an order would leave long
after the owner has changed its mind, and even a worker that has restarted
would carry it out. What is still wanted then is ordered anew.
"""


@dataclass(frozen=True, slots=True)
class QueuedOrder:
    """An order, the owner's epoch, and until when it may be sent.

    The time is on this instance's boot clock, in seconds.
    """

    order: Order
    epoch: Epoch
    send_before: float


class SendRights(Protocol):
    """What an owner may send; threads ask just before they send."""

    def may_send_orders(self, epoch: Epoch) -> bool:
        """Return whether an order of this epoch may be sent now."""

    def may_poll(self, epoch: Epoch) -> bool:
        """Return whether a poll of this epoch may be sent now."""


class WorkerClient(Protocol):
    """The calls that the owner makes to one worker."""

    def send_order(self, order: Order, epoch: Epoch) -> OrderEnded:
        """Send an order and return its result."""

    def poll(self, poll: SendPoll, epoch: Epoch) -> PollAnswered | PollFailed:
        """Send a poll and return its result."""

    def close(self) -> None:
        """Close the connection to the worker."""


OpenWorker = Callable[[str], WorkerClient]


def report_failure(
    call: Order | SendPoll, epoch: Epoch, result: OrderResult
) -> WorkerReport:
    """Return the report of an order or poll that got no answer."""
    if isinstance(call, SendPoll):
        target = call.target
        failed = PollFailed(target.worker, target.boot, result)
        return WorkerReport(epoch, failed)
    now = boot_time()
    return WorkerReport(epoch, OrderEnded(call, result, None, now, now))


def fail_poll(
    queued: tuple[SendPoll, Epoch], _error: Exception
) -> WorkerReport:
    """Return the report of a poll that raised: it may have been sent."""
    return report_failure(*queued, OrderResult.UNANSWERED)


def fail_order(queued: QueuedOrder, _error: Exception) -> WorkerReport:
    """Return the report of an order that raised: it may have been sent."""
    return report_failure(queued.order, queued.epoch, OrderResult.UNANSWERED)


class WorkerLink:
    """The poll thread and the order thread of one worker's address."""

    def __init__(
        self,
        inbox: Inbox,
        open_worker: OpenWorker,
        rights: SendRights,
        address: str,
    ) -> None:
        self.rights = rights
        self.poll_client = open_worker(address)
        self.order_client = open_worker(address)
        self.poll_thread = CallThread(
            inbox,
            self.poll,
            fail_poll,
            self.poll_client.close,
            f'poll {address}',
        )
        try:
            self.order_thread = CallThread(
                inbox,
                self.send_order,
                fail_order,
                self.order_client.close,
                f'order {address}',
            )
        except RuntimeError:
            # The system starts no more threads; the first one goes too.
            self.poll_thread.stop()
            raise
        self.used_at = boot_time()

    def poll(self, call: tuple[SendPoll, Epoch]) -> WorkerReport:
        """Send a poll if the epoch may still renew leases of runs.

        One that is not sent is reported as NOT_SENT.
        """
        poll, epoch = call
        if not self.rights.may_poll(epoch):
            return report_failure(poll, epoch, OrderResult.NOT_SENT)
        with send_only_if(lambda: self.rights.may_poll(epoch)):
            return WorkerReport(epoch, self.poll_client.poll(poll, epoch))

    def send_order(self, queued: QueuedOrder) -> WorkerReport:
        """Send an order, if it is not too late and this is still the owner.

        An order that is not sent is reported as NOT_SENT.
        """
        order, epoch = queued.order, queued.epoch
        if not self.may_send(queued):
            return report_failure(order, epoch, OrderResult.NOT_SENT)
        with send_only_if(lambda: self.may_send(queued)):
            return WorkerReport(
                epoch, self.order_client.send_order(order, epoch)
            )

    def may_send(self, queued: QueuedOrder) -> bool:
        """Return whether an order may be sent now."""
        return (
            boot_time() < queued.send_before
            and self.rights.may_send_orders(queued.epoch)
        )

    def close(self) -> None:
        """End both threads after the calls that are already queued."""
        self.poll_thread.stop()
        self.order_thread.stop()


class WorkerLinks:
    """The links to all workers in use, by address."""

    def __init__(
        self,
        inbox: Inbox,
        open_worker: OpenWorker,
        rights: SendRights,
    ) -> None:
        self.inbox = inbox
        self.open_worker = open_worker
        self.rights = rights
        self.links: dict[str, WorkerLink] = {}
        self.resources = ExitStack()
        self.resources.callback(self.close_all)

    def submit(self, call: Order | SendPoll, epoch: Epoch) -> None:
        """Queue an order or poll; its result is posted to the inbox.

        If no link can be opened, that result is NOT_SENT: one address, or a
        system that starts no more threads, fails no other worker's calls.
        """
        address = call.target.address
        try:
            link = self.links.get(address) or self.open_link(address)
        except Exception as error:
            log_call_failure(f'link {address}', error)
            self.inbox.post(report_failure(call, epoch, OrderResult.NOT_SENT))
            return
        now = link.used_at = boot_time()
        if isinstance(call, SendPoll):
            link.poll_thread.submit((call, epoch))
        else:
            link.order_thread.submit(
                QueuedOrder(call, epoch, now + MAX_ORDER_WAIT_S)
            )

    def open_link(self, address: str) -> WorkerLink:
        """Open and return the link to an address; raises on a bad one."""
        link = WorkerLink(self.inbox, self.open_worker, self.rights, address)
        self.links[address] = link
        return link

    def close_idle(self, now: float) -> None:
        """Close the links that were idle for too long."""
        for address, link in list(self.links.items()):
            if now > link.used_at + WORKER_IDLE_TIMEOUT_S:
                del self.links[address]
                link.close()

    def close_all(self) -> None:
        """Close the links to all workers."""
        for link in self.links.values():
            link.close()
        self.links.clear()

    def close(self) -> None:
        """Close the links to all workers and release all resources."""
        self.resources.close()
