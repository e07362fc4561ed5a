"""Tests of what a restart of a worker under its id can still do wrong."""

from dataclasses import replace
import unittest

from primroseledge.ids import Boot
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendStart
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.test_advice import AdviceBench

WORKER_1 = make_worker_entry('worker-1')
WORKER_2 = make_worker_entry('worker-2')
MAX_LEASE_S = 6.0 / 0.98


class RestartBench(EngineBench):
    """A bench with two workers of which one restarts."""

    def __init__(self) -> None:
        super().__init__(WORKER_1, WORKER_2)

    def start_task(self) -> SendStart:
        """Return the start of a job's only task, which is not answered."""
        self.submit(make_job('a', make_step(1)))
        self.store_changes()
        [start] = self.pop_starts()
        return start

    def list_boot(self, start: SendStart, boot: int) -> None:
        """List the start's worker with a later boot."""
        self.list_workers(
            *(
                replace(entry, boot=Boot(boot))
                if entry.id == start.target.worker
                else entry
                for entry in (WORKER_1, WORKER_2)
            )
        )
        self.store_changes()


class AcknowledgementTest(unittest.TestCase):
    def test_a_poll_of_an_idle_worker_acknowledges_nothing_again(self) -> None:
        bench = EngineBench(WORKER_1)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [start] = bench.pop_starts()
        bench.answer_start(start)
        bench.answer_poll(WORKER_1.id, ends=(make_run_end(start, number=7),))
        bench.store_changes()
        bench.reconcile(0.2)
        bench.answer_poll(WORKER_1.id)
        bench.reconcile(5.0)
        bench.pop_polls()
        # The worker may have restarted: its next end has the number 1.
        bench.run_job(make_job('b', make_step(1)))
        [poll] = bench.pop_polls()
        self.assertEqual(0, poll.acked_end_number)

    def test_a_batch_of_the_last_boot_stores_no_end_of_the_next(self) -> None:
        bench = RestartBench()
        first = bench.start_task()
        worker = first.target.worker
        bench.answer_start(first)
        bench.answer_poll(
            worker, ends=(make_run_end(first, EndKind.FAILED, number=3),)
        )
        bench.reconcile(0.02)
        self.assertIsNotNone(bench.batch_in_flight)
        bench.list_workers(
            *(
                replace(entry, boot=Boot(2)) if entry.id == worker else entry
                for entry in (WORKER_1, WORKER_2)
            )
        )
        key = first.task
        ends = tuple(
            RunEnd(number, key, 90 + number, EndKind.DONE, '')
            for number in range(1, 4)
        )
        bench.reconcile(0.1)
        bench.answer_poll(worker, ends=ends)
        known = bench.engine.state.workers[worker]
        self.assertEqual(3, known.handled_end_number)
        # The batch that was built for the last boot is stored only now.
        bench.store_batch()
        self.assertEqual(0, known.stored_end_number)


class LateAdviceTest(unittest.TestCase):
    def test_advice_about_the_last_boot_does_not_hold_for_the_next(
        self,
    ) -> None:
        bench = AdviceBench(WORKER_1)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        bench.list_workers(replace(WORKER_1, boot=Boot(2)))
        bench.answer_poll(WORKER_1.id)
        bench.answer_advice(request)
        bench.reconcile(5.0)
        self.assertEqual(1, len(bench.pop_advice_requests()))


class LateCopyTest(unittest.TestCase):
    def test_a_listed_run_with_a_late_copy_is_stopped_in_the_next_boot(
        self,
    ) -> None:
        bench = RestartBench()
        start = bench.start_task()
        worker = start.target.worker
        bench.answer_start(start, OrderResult.UNANSWERED)
        [again] = bench.pop_starts()
        bench.answer_start(again)
        bench.answer_poll(worker, running=(make_listed_run(start),))
        bench.list_boot(start, 2)
        # The first copy may still be delivered, to the next boot.
        self.assertEqual([], bench.pop_starts())

    def test_a_late_answer_does_not_rule_out_an_earlier_copy(self) -> None:
        bench = RestartBench()
        start = bench.start_task()
        bench.answer_start(start, OrderResult.UNANSWERED)
        [again] = bench.pop_starts()
        bench.list_boot(start, 2)
        bench.answer_start(again)
        bench.reconcile(0.1)
        bench.answer_poll(start.target.worker)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())

    def test_a_start_sent_once_is_stopped_in_each_further_boot(self) -> None:
        bench = RestartBench()
        start = bench.start_task()
        worker = start.target.worker
        bench.list_boot(start, 2)
        bench.answer_start(start, OrderResult.UNANSWERED)
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        [stop] = bench.pop_stops()
        bench.answer_stop(stop)
        bench.list_boot(start, 3)
        bench.reconcile(0.1)
        bench.answer_poll(worker)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        [stop] = bench.pop_stops()
        self.assertEqual(3, stop.target.boot)


class LeaseOfUnknownBootTest(unittest.TestCase):
    def test_a_boot_that_was_never_seen_may_hold_the_longest_lease(
        self,
    ) -> None:
        bench = RestartBench()
        start = bench.start_task()
        bench.answer_start(start)
        started_at = bench.now
        while bench.now < started_at + MAX_LEASE_S - 0.1:
            bench.fail_poll(start.target.worker)
            bench.reconcile(0.1)
            bench.store_changes()
            self.assertEqual([], bench.pop_starts(), bench.now - started_at)

    def test_the_clock_of_an_unseen_boot_does_not_delay_the_expiry(
        self,
    ) -> None:
        bench = RestartBench()
        bench.engine.state.workers.clear()
        bench.list_workers(WORKER_1, WORKER_2)
        for entry in (WORKER_1, WORKER_2):
            # Its clock shows 0.5 s since the boot.
            bench.engine.handle_poll_answer(
                PollAnswered(
                    entry.id, entry.boot, 500, (), (), 0, bench.now, bench.now
                ),
                bench.now,
            )
        bench.reconcile(100.0)
        start = bench.start_task()
        # The next boot, 0.8 s old, carries the start out.
        bench.engine.handle_order_ended(
            OrderEnded(start, OrderResult.DONE, 800, bench.now, bench.now),
            bench.now,
        )
        bench.reconcile()
        other = WORKER_2 if start.target.worker == WORKER_1.id else WORKER_1
        began = bench.now
        restarted = []
        while bench.now < began + 12.0 and not restarted:
            bench.list_workers(other)
            bench.fail_poll(start.target.worker)
            bench.reconcile(0.1)
            bench.store_changes()
            restarted = bench.pop_starts()
        self.assertEqual([2], [again.run_number for again in restarted])


if __name__ == '__main__':
    unittest.main()
