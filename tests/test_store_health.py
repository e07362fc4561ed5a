"""Tests of refusing new jobs while the store fails.

They guard against callers that wait for a store which is known to be down,
against refusals while jobs could be stored, and against a time to retry that
takes most of a caller's tries. The last test plays an outage of the store
under load and checks what the callers got.
"""

from dataclasses import replace
import unittest
from unittest import mock

from bench.job_fleet import JobFleet
from bench.job_fleet import TICK_S
from bench.job_load import small_shape
from bench.job_outcome import Outcome
from primroseledge.owner.outbox import SLOW_BATCH_S
from primroseledge.owner.store_health import MAX_STORE_WAIT_S
from primroseledge.owner.store_health import MIN_OUTAGE_S
from primroseledge.owner.store_health import RETRY_AFTER_S
from primroseledge.owner.store_health import StoreHealth
from primroseledge.scheduling.actions import Verdict
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

WORKER = make_worker_entry('worker-1')


class StoreHealthTest(unittest.TestCase):
    def test_a_store_that_answers_does_not_fail(self) -> None:
        self.assertFalse(StoreHealth().is_failing(None, 10.0))
        self.assertFalse(StoreHealth().is_failing(9.9, 10.0))

    def test_a_batch_without_an_answer_shows_a_failure(self) -> None:
        health = StoreHealth()
        self.assertFalse(health.is_failing(10.0, 9.9 + MAX_STORE_WAIT_S))
        self.assertTrue(health.is_failing(10.0, 10.0 + MAX_STORE_WAIT_S))

    def test_a_connection_that_was_reset_is_no_failure(self) -> None:
        health = StoreHealth(unavailable_since=10.0)
        self.assertFalse(health.is_failing(None, 10.0 + MIN_OUTAGE_S / 2))
        self.assertTrue(health.is_failing(None, 10.0 + MIN_OUTAGE_S))

    def test_a_batch_sent_before_the_outage_proves_nothing(self) -> None:
        health = StoreHealth(unavailable_since=10.0, stored_batch_sent_at=9.99)
        self.assertTrue(health.is_failing(None, 15.0))

    def test_a_stored_batch_shows_that_only_the_watch_is_cut(self) -> None:
        health = StoreHealth(unavailable_since=10.0, stored_batch_sent_at=10.1)
        self.assertFalse(health.is_failing(None, 15.0))


class RefusalTest(unittest.TestCase):
    def test_a_job_is_refused_at_once_in_a_known_outage(self) -> None:
        bench = EngineBench(WORKER)
        bench.engine.outbox.store_health.unavailable_since = bench.now
        bench.reconcile(MIN_OUTAGE_S)
        bench.submit(make_job('a', make_step(1)))
        bench.reconcile()
        [reply] = bench.pop_answers()
        self.assertEqual(Verdict.REFUSED, reply.answer.verdict)
        self.assertEqual(RETRY_AFTER_S, reply.answer.retry_after_s)
        self.assertIsNone(bench.batch_in_flight)

    def test_a_refused_job_is_accepted_after_the_outage(self) -> None:
        bench = EngineBench(WORKER)
        health = bench.engine.outbox.store_health
        health.unavailable_since = bench.now
        bench.reconcile(MIN_OUTAGE_S)
        job = make_job('a', make_step(1))
        bench.submit(job)
        bench.reconcile()
        bench.pop_answers()
        health.unavailable_since = None
        self.assertEqual(1, len(bench.run_job(job)))

    def test_a_job_that_may_be_stored_is_not_refused(self) -> None:
        bench = EngineBench(WORKER)
        bench.submit(make_job('a', make_step(1)))
        bench.reconcile(0.02)
        self.assertIsNotNone(bench.batch_in_flight)
        bench.engine.outbox.store_health.unavailable_since = bench.now
        bench.reconcile(MAX_STORE_WAIT_S)
        self.assertEqual([], bench.pop_answers())

    def test_a_batch_that_is_stored_ends_the_refusals(self) -> None:
        """The others are sent again only when their timeouts have passed."""
        bench = EngineBench(WORKER)
        for name in ('a', 'b'):
            bench.submit(make_job(name, make_step(1)))
            bench.reconcile(0.05)
            bench.reconcile(0.05)
        self.assertEqual(2, len(bench.engine.outbox.in_flight))
        newest = bench.batch_in_flight
        assert newest is not None
        bench.reconcile(MAX_STORE_WAIT_S)
        bench.engine.handle_batch_stored(newest.number, bench.now)
        bench.reconcile()
        bench.pop_answers()
        bench.submit(make_job('c', make_step(1)))
        bench.reconcile()
        self.assertEqual([], bench.pop_answers())

    def test_a_slow_store_is_logged_once(self) -> None:
        bench = EngineBench(WORKER)
        with self.assertLogs('primroseledge', 'WARNING') as logged:
            for name in ('a', 'b'):
                bench.submit(make_job(name, make_step(1)))
                bench.reconcile(0.02)
                bench.now += SLOW_BATCH_S
                bench.store_changes()
        self.assertEqual(1, len(logged.records))


class OutageLoadTest(unittest.TestCase):
    def play(self, retry_after_s: float) -> Outcome:
        shape = replace(small_shape(), store_outage=(9.0, 13.2))
        with mock.patch(
            'primroseledge.owner.outbox.RETRY_AFTER_S', retry_after_s
        ):
            return JobFleet(shape, seed=2).play()

    def test_callers_are_refused_at_once_and_return_in_time(self) -> None:
        outcome = self.play(RETRY_AFTER_S)
        later = self.play(2 * RETRY_AFTER_S)
        self.assertLess(len(outcome.refused), len(later.refused))
        # Only those wait that come before the outage is known.
        self.assertLess(max(outcome.held_s), MIN_OUTAGE_S + 2 * TICK_S)


if __name__ == '__main__':
    unittest.main()
