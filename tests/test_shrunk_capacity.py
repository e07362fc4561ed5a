"""Tests of workers whose capacity shrinks and grows while they run."""

from dataclasses import replace
import unittest

from msgspec import structs

from primroseledge.dispatch.withdrawals import withdraw_kept_starts
from primroseledge.jobs.resources import Resources
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.actions import OrderResult
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE

WORKER = make_worker_entry('worker-1')
SHRUNK = replace(WORKER, capacity=Resources(2_000, 64_000, 0))


class ShrunkCapacityTest(unittest.TestCase):
    def make_unguarded_bench(self, *workers: WorkerEntry) -> EngineBench:
        """Return a bench whose workers start whatever they are told to."""
        bench = EngineBench(*workers)
        configuration = make_configuration()
        service = structs.replace(
            configuration.services[SERVICE], checks_room=False
        )
        bench.engine.apply_configuration(
            structs.replace(
                configuration,
                services={**configuration.services, SERVICE: service},
            )
        )
        return bench

    def test_no_start_is_sent_over_a_capacity_that_has_shrunk(self) -> None:
        bench = EngineBench(WORKER)
        bench.submit(make_job('a', make_step(4)))
        bench.reconcile(0.02)
        bench.list_workers(SHRUNK)
        bench.store_changes()
        self.assertEqual(2, len(bench.pop_starts()))

    def test_an_unanswered_start_is_not_sent_again_over_the_capacity(
        self,
    ) -> None:
        bench = EngineBench(WORKER)
        bench.submit(make_job('a', make_step(1, 4000)))
        bench.store_changes()
        [start] = bench.pop_starts()
        bench.list_workers(SHRUNK)
        bench.answer_start(start, OrderResult.UNANSWERED)
        self.assertEqual([], bench.pop_starts())
        self.assertEqual(1, len(bench.pop_stops()))

    def test_a_run_that_is_being_stopped_still_counts(self) -> None:
        bench = EngineBench(WORKER)
        [start] = bench.run_job(make_job('a', make_step(1, 12_000)))
        bench.cancel(make_job('a'))
        bench.store_changes()
        bench.run_job(make_job('b', make_step(1, 8000)))
        running = make_listed_run(start)
        bench.answer_poll(WORKER.id, running=(running,))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(WORKER.id, ends=(make_run_end(start),))
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_an_unexpected_run_counts_until_it_is_gone(self) -> None:
        bench = EngineBench(WORKER)
        [start] = bench.run_job(make_job('a', make_step(1, 12_000)))
        bench.answer_poll(WORKER.id, ends=(make_run_end(start),))
        bench.store_changes()
        late = make_listed_run(replace(start, run_number=9))
        bench.answer_poll(WORKER.id, running=(late,))
        bench.submit(make_job('b', make_step(1, 8000)))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.answer_poll(WORKER.id)
        bench.reconcile(0.2)
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_no_member_of_a_gang_starts_when_one_lost_its_room(self) -> None:
        bench = EngineBench(WORKER)
        bench.submit(make_job('a', make_step(4, is_gang=True)))
        bench.reconcile(0.02)
        bench.list_workers(replace(WORKER, capacity=Resources()))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())

    def test_an_unguarded_worker_is_not_filled_by_an_old_list(self) -> None:
        bench = self.make_unguarded_bench(WORKER)
        bench.reconcile(3.0)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.list_workers(WORKER)
        bench.reconcile(0.2)
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_a_new_owner_counts_how_long_it_was_restored(self) -> None:
        bench = self.make_unguarded_bench(WORKER)
        job = make_job('a', make_step(1))
        restore_engine(
            bench.engine, [job], [], [], [WORKER], bench.now, bench.now - 3.0
        )
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        bench.list_workers(WORKER)
        bench.reconcile(0.2)
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_a_guarded_worker_is_filled_by_an_old_list(self) -> None:
        bench = EngineBench(WORKER)
        bench.reconcile(3.0)
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_a_start_that_a_slow_store_held_waits_for_a_new_list(self) -> None:
        bench = self.make_unguarded_bench(WORKER)
        bench.submit(make_job('a', make_step(1)))
        bench.reconcile(0.02)
        bench.now += 4.0
        bench.store_batch()
        bench.reconcile()
        self.assertEqual([], bench.pop_starts())

    def test_a_kept_start_of_a_run_that_was_given_up_is_dropped(self) -> None:
        bench = EngineBench(WORKER)
        [start] = bench.run_job(make_job('a', make_step(1)))
        state = bench.engine.state
        state.actions = [start, replace(start, run_number=9)]
        withdraw_kept_starts(state, bench.now)
        self.assertEqual([start], state.actions)

    def test_a_capacity_that_grows_again_is_used(self) -> None:
        bench = EngineBench(SHRUNK)
        bench.submit(make_job('a', make_step(4)))
        bench.store_changes()
        self.assertEqual(2, len(bench.pop_starts()))
        bench.list_workers(WORKER)
        bench.reconcile(0.2)
        bench.store_changes()
        self.assertEqual(2, len(bench.pop_starts()))


if __name__ == '__main__':
    unittest.main()
