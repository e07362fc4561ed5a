"""Tests of several batches in flight.

They guard against an earlier owner's batch that is stored after a takeover, a
start whose own record is not stored yet, an end that its worker discards too
early, and a final state that an older record hides.
"""

from random import Random
import unittest
from unittest import mock

from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import OwnershipLost
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.store_lanes import StoreLanes
from primroseledge.cluster.store_thread import claim_owner
from primroseledge.cluster.store_thread import store_batch
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.owner.batch import Batch
from primroseledge.owner.batch import LANE_COUNT
from primroseledge.platform.store_keys import StoreKeys
from standins.storage_core import SimStorage
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.fleet_storage import SimStoreClient

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(2)]
STORE_S = 0.4


class FencingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.storage = SimStorage(lambda: 100.0)
        self.client = SimStoreClient(self.storage, Random(1), lambda *_: None)

    def claim(self) -> tuple[StoreThread, ClaimWon]:
        """Take over as a new instance, once the owner's lease has ended."""
        self.storage.remove('owner/record')
        thread = StoreThread(
            None,  # type: ignore[arg-type]
            self.client,
            StoreKeys(),
            EntryId('a'),
            'host:1',
            create_fleet_metrics(),
        )
        won = claim_owner(thread, ClaimOwner(self.client.grant_lease(2.0).id))
        assert isinstance(won, ClaimWon)
        thread.current_epoch = won.owner.epoch
        return thread, won

    def test_no_lane_of_an_earlier_owner_can_write(self) -> None:
        thread, won = self.claim()
        self.claim()
        before = dict(self.storage.items)
        for lane in range(LANE_COUNT):
            batch = Batch(1, lane=LaneId(lane))
            command = StoreBatch(Epoch(1), won.ledger_revision, batch)
            result = store_batch(thread, command)
            self.assertEqual(OwnershipLost(Epoch(1)), result)
        self.assertEqual(before, self.storage.items)

    def test_lanes_of_one_owner_are_stored_in_any_order(self) -> None:
        thread, won = self.claim()
        for number, lane in enumerate(reversed(range(LANE_COUNT)), 1):
            batch = Batch(number, lane=LaneId(lane))
            command = StoreBatch(Epoch(1), won.ledger_revision, batch)
            self.assertNotIsInstance(
                store_batch(thread, command), OwnershipLost
            )


class EffectTest(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = EngineBench(*WORKERS)
        self.bench.submit(make_job('a', make_step(1)))
        self.bench.store_changes()

    def store(self, batch: Batch) -> None:
        """Store a batch in flight, whatever was built before it."""
        self.bench.engine.handle_batch_stored(batch.number, self.bench.now)
        self.bench.reconcile()

    def batches_for(self, *jobs: str) -> list[Batch]:
        """Submit a job each, and return the batches with them."""
        begin = len(self.bench.batches)
        for job in jobs:
            self.bench.submit(make_job(job, make_step(1)))
            self.bench.reconcile(0.05)
            self.bench.reconcile(0.05)
        return self.bench.batches[begin:]

    def test_a_slow_store_keeps_no_new_job_waiting(self) -> None:
        batches = self.batches_for('b', 'c', 'd')
        self.assertEqual(3, len(batches))
        self.assertEqual(3, len({batch.lane for batch in batches}))

    def test_lanes_are_limited(self) -> None:
        names = [f'job-{number}' for number in range(3 * LANE_COUNT)]
        self.assertEqual(LANE_COUNT, len(self.batches_for(*names)))

    def test_large_batches_are_not_sent_side_by_side(self) -> None:
        """They would share the link, and none would be answered in time."""
        with mock.patch('primroseledge.owner.outbox.MAX_BYTES_IN_FLIGHT', 100):
            self.assertEqual(1, len(self.batches_for('b', 'c', 'd')))

    def test_changes_for_which_nothing_waits_wait_for_a_batch(self) -> None:
        bench = self.bench
        self.batches_for('b')
        job = bench.engine.state.jobs[JobId('a')]
        bench.engine.state.mark_dirty(job, bench.now)
        bench.reconcile(STORE_S)
        self.assertEqual(1, len(bench.engine.outbox.in_flight))

    def test_a_caller_is_answered_by_its_own_batch(self) -> None:
        _, second = self.batches_for('b', 'c')
        self.store(second)
        jobs = self.bench.engine.state.jobs
        self.assertFalse(jobs[JobId('b')].is_stored)
        self.assertTrue(jobs[JobId('c')].is_stored)
        starts = self.bench.pop_starts()
        self.assertIn('c', [start.task.job for start in starts])
        self.assertNotIn('b', [start.task.job for start in starts])

    def test_a_run_is_not_sent_with_the_record_of_an_earlier_one(self) -> None:
        bench = self.bench
        bench.pop_starts()
        [batch] = self.batches_for('b')
        [(task, _)] = batch.starts
        state = bench.engine.state
        state.give_up_run(task, 'a test', bench.now)
        bench.reconcile(STORE_S)
        assert task.run is not None
        self.assertEqual(2, task.run.number)
        self.store(batch)
        self.assertEqual([], bench.pop_starts())
        bench.store_changes()
        [start] = bench.pop_starts()
        self.assertEqual(2, start.run_number)

    def test_an_end_is_kept_until_all_batches_before_it_are_stored(
        self,
    ) -> None:
        bench = self.bench
        [start] = bench.pop_starts()
        [first] = self.batches_for('b')
        bench.answer_poll(start.target.worker, ends=(make_run_end(start),))
        bench.reconcile(STORE_S)
        second = bench.batch_in_flight
        assert second is not None
        worker = bench.engine.state.workers[WorkerId(start.target.worker)]
        self.store(second)
        self.assertEqual(0, worker.stored_end_number)
        self.store(first)
        self.assertEqual(1, worker.stored_end_number)

    def test_an_older_record_hides_no_final_state(self) -> None:
        bench = self.bench
        bench.pop_starts()
        [first] = self.batches_for('b')
        bench.cancel(make_job('b', make_step(1)))
        bench.reconcile(STORE_S)
        second = bench.batch_in_flight
        assert second is not None
        job = bench.engine.state.jobs[JobId('b')]
        self.store(second)
        self.store(first)
        self.assertIs(JobState.CANCELLED, job.stored_state)


class ThreadsTest(unittest.TestCase):
    def test_threads_are_started_when_their_lane_is_needed(self) -> None:
        threads = [mock.Mock(), mock.Mock()]
        lanes = StoreLanes(mock.Mock(side_effect=list(threads)))
        lanes.set_epoch(Epoch(3))
        command = StoreBatch(Epoch(3), Revision(1), Batch(1, lane=LaneId(2)))
        lanes.submit(command)
        threads[0].start.assert_called_once_with()
        threads[0].submit.assert_called_once_with(command)
        self.assertEqual(Epoch(3), threads[0].current_epoch)
        lanes.set_epoch(Epoch(0))
        self.assertEqual(Epoch(0), threads[0].current_epoch)
        lanes.submit(ClaimOwner(self.client_lease()))
        threads[1].start.assert_called_once_with()
        lanes.stop()
        for thread in threads:
            thread.stop.assert_called_once_with()
        lanes.submit(command)
        threads[0].submit.assert_called_once_with(command)

    def client_lease(self) -> int:
        """Return the id of some lease."""
        storage = SimStorage(lambda: 100.0)
        client = SimStoreClient(storage, Random(1), lambda *_: None)
        return client.grant_lease(2.0).id


if __name__ == '__main__':
    unittest.main()
