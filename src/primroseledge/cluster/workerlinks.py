"""Threads that carry orders and looks to workers.

Each worker in use has one thread and connection for looks, which wait
for ends, and one for orders, which so keep their sequence.
"""

from collections.abc import Callable
from contextlib import ExitStack
from queue import SimpleQueue
from threading import Thread
from typing import Final
from typing import Protocol

from primroseledge.clock import boot_time
from primroseledge.cluster.storethread import Inbox
from primroseledge.ids import Epoch
from primroseledge.jobs.actions import LookAnswered
from primroseledge.jobs.actions import LookFailed
from primroseledge.jobs.actions import Order
from primroseledge.jobs.actions import OrderAnswered
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.actions import SendLook

IDLE_CLOSE_S: Final = 30.0
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
Task = tuple[Order | SendLook, Epoch]


class CallThread:
    """Makes one call after another to one address."""

    def __init__(
        self,
        inbox: Inbox,
        port: WorkerPort,
        may_order: Callable[[Epoch], bool],
        name: str,
    ) -> None:
        self.inbox = inbox
        self.port = port
        self.may_order = may_order
        self.tasks: SimpleQueue[Task | None] = SimpleQueue()
        self.thread = Thread(target=self.run, name=name, daemon=True)
        self.thread.start()

    def run(self) -> None:
        """Make calls until told to end."""
        while True:
            task = self.tasks.get()
            if task is None:
                self.port.close()
                return
            call, epoch = task
            if isinstance(call, SendLook):
                self.inbox.post(self.port.look(call, epoch))
            elif self.may_order(epoch):
                self.inbox.post(self.port.order(call, epoch))
            else:
                now = boot_time()
                self.inbox.post(
                    OrderAnswered(call, OrderResult.NOT_SENT, None, now, now)
                )


class WorkerLink:
    """The two threads of one worker's address."""

    def __init__(
        self,
        inbox: Inbox,
        open_worker: OpenWorker,
        may_order: Callable[[Epoch], bool],
        address: str,
    ) -> None:
        self.looks = CallThread(
            inbox, open_worker(address), may_order, f'look {address}'
        )
        self.orders = CallThread(
            inbox, open_worker(address), may_order, f'order {address}'
        )
        self.used_at = boot_time()

    def close(self) -> None:
        """End both threads after their call under way."""
        self.looks.tasks.put(None)
        self.orders.tasks.put(None)


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
        thread.tasks.put((call, epoch))

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
