"""Tests of a worker that is silent for just less and just more than it may.

They guard against work that is lost though its worker was back in time, and
against work that runs twice since its worker was given up too early.
"""

from typing import Final
import unittest

from primroseledge.platform.worker_client import POLL_TIMEOUT_S
from primroseledge.scheduling.actions import ListedRun
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.timing import Timing
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

STEP_S: Final = 0.01
PERCENT_PER_S: Final = 4
LEASE_S: Final = Timing().lease_s
MARGIN_S: Final = 0.15
"""Time in which the owner has to find out that the worker is back."""

WORKER: Final = make_worker_entry('worker-1')
OTHER: Final = make_worker_entry('worker-2')


class FrozenWorker:
    """A worker that takes no call while it is frozen, and keeps its lease.

    Calls that wait at its socket are answered once it goes on, if the caller
    still waits for them.
    """

    def __init__(self) -> None:
        self.bench = EngineBench(WORKER)
        [self.start] = self.bench.run_job(make_job('a', make_step(1)))
        self.deadline_ms = self.start.deadline_ms
        self.is_frozen = False
        self.is_lost = False
        self.ran_s = 0.0
        self.polls: list[tuple[SendPoll, float]] = []
        self.starts: list[SendStart] = []
        self.pass_time(2.0)
        self.bench.list_workers(WORKER, OTHER)
        self.bench.answer_poll(OTHER.id)

    def left_s(self) -> float:
        """Return how long its lease still lasts, in seconds."""
        return (self.deadline_ms - self.bench.clock_ms()) / 1000

    def freeze(self, seconds: float) -> None:
        self.is_frozen = True
        self.pass_time(seconds)
        self.is_frozen = False
        self.is_lost |= self.bench.clock_ms() > self.deadline_ms

    def pass_time(self, seconds: float) -> None:
        until = self.bench.now + seconds
        while self.bench.now < until:
            self.bench.reconcile(STEP_S)
            while self.bench.batch_in_flight is not None:
                self.bench.store_batch()
            self.starts += self.bench.pop_starts()
            self.polls += [
                (poll, self.bench.now)
                for poll in self.bench.pop_polls()
                if poll.target.worker == WORKER.id
            ]
            for poll, sent_at in list(self.polls):
                self.serve(poll, sent_at)
            if not self.is_frozen:
                self.ran_s += STEP_S
                self.is_lost |= self.bench.clock_ms() > self.deadline_ms

    def listed_runs(self) -> tuple[ListedRun, ...]:
        """Return its run, whose progress stood still while it was frozen."""
        run = make_listed_run(self.start, int(self.ran_s * PERCENT_PER_S))
        return () if self.is_lost else (run,)

    def serve(self, poll: SendPoll, sent_at: float) -> None:
        now = self.bench.now
        if not self.is_frozen and poll.deadline_ms is not None:
            self.deadline_ms = max(self.deadline_ms, poll.deadline_ms)
        if not self.is_frozen and now >= sent_at + poll.wait_s:
            self.polls.remove((poll, sent_at))
            self.bench.engine.handle_poll_answer(
                PollAnswered(
                    WORKER.id,
                    WORKER.boot,
                    self.bench.clock_ms(),
                    self.listed_runs(),
                    (),
                    0,
                    sent_at,
                    now,
                ),
                now,
            )
        elif now >= sent_at + poll.wait_s + POLL_TIMEOUT_S:
            self.polls.remove((poll, sent_at))
            failed = PollFailed(WORKER.id, WORKER.boot, OrderResult.UNANSWERED)
            self.bench.engine.handle_poll_failure(failed, now)


class SilentWorkerTest(unittest.TestCase):
    def test_a_worker_back_before_its_lease_ends_loses_nothing(self) -> None:
        for begin in range(11):
            for early_s in (MARGIN_S, 0.5, 1.0, 2.0, 4.0):
                with self.subTest(begin=begin, early_s=early_s):
                    worker = FrozenWorker()
                    worker.pass_time(begin / 10)
                    worker.freeze(worker.left_s() - early_s)
                    worker.pass_time(2 * LEASE_S)
                    self.assertFalse(worker.is_lost)
                    self.assertEqual([], worker.starts)
                    self.assertEqual([], worker.bench.pop_stops())

    def test_a_run_that_stood_still_with_its_worker_is_not_stalled(
        self,
    ) -> None:
        for begin in range(0, 110, 5):
            worker = FrozenWorker()
            worker.pass_time(begin / 100)
            worker.freeze(2.5)
            worker.pass_time(3.0)
            self.assertEqual([], worker.bench.pop_stops(), begin)

    def test_work_starts_elsewhere_only_after_the_lease_has_ended(
        self,
    ) -> None:
        for begin in range(11):
            worker = FrozenWorker()
            worker.pass_time(begin / 10)
            worker.freeze(worker.left_s())
            self.assertEqual([], worker.starts)
            worker.freeze(2.5)
            self.assertTrue(worker.is_lost)
            [again] = worker.starts
            self.assertEqual(OTHER.id, again.target.worker)
            self.assertEqual(worker.start.run_number + 1, again.run_number)
