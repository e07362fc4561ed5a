"""Tests of the threads that make blocking calls for the loop.

Guards against a thread that ends, or a call whose result is never posted:
the loop would wait for it for ever, and what depends on it stand still.
"""

from contextlib import ExitStack
from queue import SimpleQueue
from time import sleep
from typing import Any
from typing import Final
import unittest

from primroseledge.clock import boot_time
from primroseledge.cluster.commands import LeaseRenewed
from primroseledge.cluster.commands import ListWorkers
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.commands import StoreUnavailable
from primroseledge.cluster.commands import WatchedKeysRead
from primroseledge.cluster.commands import WorkerListFailed
from primroseledge.cluster.commands import WorkerReport
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import ItemList
from primroseledge.cluster.fleet_store import Lease
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.watch_threads import LeaseThread
from primroseledge.cluster.watch_threads import WatchThread
from primroseledge.cluster.worker_links import MAX_ORDER_WAIT_S
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import Boot
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.jobs.task import TaskKey
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.owner.batch import Batch
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.worker_client import ORDER_TIMEOUT_S
from primroseledge.scheduling.actions import Order
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import Target

RESULT_WAIT_S: Final = 3.0
EPOCH: Final = Epoch(3)
TARGET: Final = Target(WorkerId('w'), Boot(1), '127.0.0.1:1')
TASK: Final = TaskKey(JobId('0' * 16), 0, 0, 0)
POLL: Final = SendPoll(TARGET, None, 0, 0.0)
STOP: Final = SendStop(TARGET, TASK, 1)
START: Final = SendStart(TARGET, TASK, 1, '', '', 1000)


class Results:
    """An inbox whose items the test takes out."""

    def __init__(self) -> None:
        self.items: SimpleQueue[Any] = SimpleQueue()

    def post(self, item: Any) -> None:
        self.items.put(item)

    def take(self) -> Any:
        return self.items.get(timeout=RESULT_WAIT_S)


class Rights:
    """Lets an owner send all."""

    def may_send_orders(self, epoch: Epoch) -> bool:
        return True

    def may_poll(self, epoch: Epoch) -> bool:
        return True


class DefectiveWorker:
    """A client of a worker that raises what nobody foresees."""

    def send_order(self, order: Order, epoch: Epoch) -> OrderEnded:
        raise OverflowError('defect')

    def poll(self, poll: SendPoll, epoch: Epoch) -> PollFailed:
        raise RecursionError('defect')

    def close(self) -> None:
        pass


class CallThreadTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.resources = self.enterContext(ExitStack())
        self.inbox = Results()

    def open_links(self, open_worker: Any) -> WorkerLinks:
        links = WorkerLinks(self.inbox, open_worker, Rights())
        self.resources.callback(links.close)
        return links


class WorkerCallTest(CallThreadTestCase):
    def test_a_poll_that_raises_is_reported_as_unanswered(self) -> None:
        links = self.open_links(lambda address: DefectiveWorker())
        for _ in range(2):
            links.submit(POLL, EPOCH)
            failed = PollFailed(
                TARGET.worker, TARGET.boot, OrderResult.UNANSWERED
            )
            self.assertEqual(WorkerReport(EPOCH, failed), self.inbox.take())

    def test_an_order_that_raises_is_reported_as_unanswered(self) -> None:
        links = self.open_links(lambda address: DefectiveWorker())
        for order in (START, STOP):
            links.submit(order, EPOCH)
            report = self.inbox.take().report
            self.assertIs(OrderResult.UNANSWERED, report.result)
            self.assertEqual(order, report.order)

    def test_a_link_that_cannot_be_opened_fails_its_calls_alone(
        self,
    ) -> None:
        def open_worker(address: str) -> DefectiveWorker:
            raise ValueError(address)

        links = self.open_links(open_worker)
        links.submit(POLL, EPOCH)
        links.submit(START, EPOCH)
        results = [self.inbox.take().report.result for _ in range(2)]
        self.assertEqual([OrderResult.NOT_SENT] * 2, results)


class SilentWorker:
    """A client of a worker that answers no order within its time-out."""

    def __init__(self) -> None:
        self.sent = list[Order]()

    def send_order(self, order: Order, epoch: Epoch) -> OrderEnded:
        sent_at = boot_time()
        self.sent.append(order)
        sleep(ORDER_TIMEOUT_S)
        return OrderEnded(
            order, OrderResult.UNANSWERED, None, sent_at, boot_time()
        )

    def poll(self, poll: SendPoll, epoch: Epoch) -> PollFailed:
        return PollFailed(TARGET.worker, TARGET.boot, OrderResult.UNANSWERED)

    def close(self) -> None:
        pass


class OrderQueueTest(CallThreadTestCase):
    def test_an_order_behind_unanswered_ones_is_not_sent_late(self) -> None:
        worker = SilentWorker()
        links = self.open_links(lambda address: worker)
        orders = [SendStart(TARGET, TASK, n, '', '', 9) for n in range(6)]
        for order in orders:
            links.submit(order, EPOCH)
        began_at = boot_time()
        reports = [self.inbox.take().report for _ in orders]
        self.assertLess(boot_time() - began_at, 5 * ORDER_TIMEOUT_S)
        self.assertEqual(orders, [report.order for report in reports])
        for report in reports:
            was_sent = report.order in worker.sent
            self.assertEqual(was_sent, report.result is OrderResult.UNANSWERED)
            if was_sent:
                self.assertLess(report.sent_at - began_at, MAX_ORDER_WAIT_S)
        self.assertLess(len(worker.sent), len(orders))


class DefectiveStore:
    """A store that raises what nobody foresees, at first."""

    def __init__(self) -> None:
        self.failures = 2

    def fail(self) -> None:
        if self.failures:
            self.failures -= 1
            raise OverflowError('defect')

    def read(self, key: str) -> Item | None:
        self.fail()
        return None

    def read_all(self, prefix: str) -> ItemList:
        self.fail()
        return ItemList((), Revision(1))

    def watch(self, prefix: str, after: Revision, wait_s: float) -> ItemList:
        self.fail()
        return ItemList((), Revision(2))

    def commit(self, transaction: Any) -> Revision:
        self.fail()
        return Revision(2)

    def grant_lease(self, ttl_s: float) -> Lease:
        self.fail()
        return Lease(LeaseId(1), ttl_s)

    def renew_lease(self, lease: LeaseId) -> float:
        return 2.0


class StoreCallTest(CallThreadTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.store: Any = DefectiveStore()

    def start(self, thread: Any) -> None:
        self.resources.callback(thread.stop)
        thread.start()

    def test_a_store_command_that_raises_is_answered(self) -> None:
        thread = StoreThread(
            self.inbox,
            self.store,
            StoreKeys(),
            EntryId('entry-0'),
            '127.0.0.1:1',
            create_fleet_metrics(),
        )
        self.start(thread)
        thread.submit(ListWorkers(EPOCH))
        self.assertIsInstance(self.inbox.take(), WorkerListFailed)
        thread.current_epoch = EPOCH
        thread.submit(StoreBatch(EPOCH, Revision(1), Batch(1)))
        self.assertEqual(OwnershipLost(EPOCH), self.inbox.take())

    def test_a_watch_that_raises_is_made_again(self) -> None:
        self.start(WatchThread(self.inbox, self.store, ''))
        for _ in range(2):
            self.assertIsInstance(self.inbox.take(), StoreUnavailable)
        self.assertIsInstance(self.inbox.take(), WatchedKeysRead)

    def test_a_lease_call_that_raises_is_made_again(self) -> None:
        member = MemberRecord(EntryId('entry-0'), '127.0.0.1:1')
        began_at = boot_time()
        self.start(LeaseThread(self.inbox, self.store, member))
        renewed = self.inbox.take()
        self.assertIsInstance(renewed, LeaseRenewed)
        self.assertGreater(renewed.sent_at, began_at)


if __name__ == '__main__':
    unittest.main()
