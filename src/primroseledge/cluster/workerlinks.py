"""Threads that carry orders and looks to workers.

Each worker in use has one thread and connection for looks, which wait
for ends, and one for orders, which so keep their sequence.
"""

from collections.abc import Callable
from contextlib import ExitStack
from typing import Final
from typing import Protocol

from primroseledge.clock import boot_time
from primroseledge.cluster.callthread import CallThread
from primroseledge.cluster.callthread import Inbox
from primroseledge.cluster.steps import WorkerReport
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import Order
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import SendLook

IDLE_CLOSE_S: Final = 10.0
"""A worker's connections close after this long without use."""


class WorkerPort(Protocol):
    """The calls of one worker."""

    def order(self, order: Order, epoch: Epoch) -> OrderAnswered:
        """Send an order and return how it ended."""

    def look(self, look: SendLook, epoch: Epoch) -> LookAnswered | LookFailed:
        """Look at the worker."""

    def close(self) -> None:
        """Close the connection."""


OpenWorker = Callable[[str], WorkerPort]


class WorkerLink:
    """The two threads of one worker's address."""

    def __init__(
        self,
        inbox: Inbox,
        open_worker: OpenWorker,
        may_order: Callable[[Epoch], bool],
        address: str,
    ) -> None:
        self.may_order = may_order
        self.look_port = open_worker(address)
        self.order_port = open_worker(address)
        self.looks = CallThread(
            inbox, self.look, self.look_port.close, f'look {address}'
        )
        self.orders = CallThread(
            inbox, self.order, self.order_port.close, f'order {address}'
        )
        self.used_at = boot_time()

    def look(self, task: tuple[SendLook, Epoch]) -> WorkerReport:
        """Look at the worker."""
        look, epoch = task
        return WorkerReport(epoch, self.look_port.look(look, epoch))

    def order(self, task: tuple[Order, Epoch]) -> WorkerReport:
        """Send an order, unless we are not the owner any more."""
        order, epoch = task
        if self.may_order(epoch):
            return WorkerReport(epoch, self.order_port.order(order, epoch))
        now = boot_time()
        unsent = OrderAnswered(order, OrderResult.NOT_SENT, None, now, now)
        return WorkerReport(epoch, unsent)

    def close(self) -> None:
        """End both threads after their call under way."""
        self.looks.stop()
        self.orders.stop()


class WorkerLinks:
    """The links to all workers in use."""

    def __init__(
        self,
        inbox: Inbox,
        open_worker: OpenWorker,
        may_order: Callable[[Epoch], bool],
    ) -> None:
        self.inbox = inbox
        self.open_worker = open_worker
        self.may_order = may_order
        self.links: dict[str, WorkerLink] = {}
        self.resources = ExitStack()
        self.resources.callback(self.close_all)

    def submit(self, call: Order | SendLook, epoch: Epoch) -> None:
        """Queue a call; its result is posted to the loop."""
        address = call.target.address
        link = self.links.get(address)
        if link is None:
            link = WorkerLink(
                self.inbox, self.open_worker, self.may_order, address
            )
            self.links[address] = link
        link.used_at = boot_time()
        thread = link.looks if isinstance(call, SendLook) else link.orders
        thread.submit((call, epoch))

    def close_idle(self, now: float) -> None:
        """Close the links that were not used for long."""
        for address, link in list(self.links.items()):
            if now > link.used_at + IDLE_CLOSE_S:
                del self.links[address]
                link.close()

    def close_all(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()
        self.links.clear()

    def close(self) -> None:
        """Close all links."""
        self.resources.close()
