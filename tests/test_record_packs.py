"""Tests of the packs in which the records of jobs are stored.

They guard against a record that is lost with the pack that held it, an older
record that is restored in place of a newer one, and packs of replaced records
that fill the store.
"""

from random import Random
import unittest
from unittest import mock

from msgspec import DecodeError
from msgspec import msgpack

from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import decode_ledger
from primroseledge.cluster.keys import EarlierLedgerRecord
from primroseledge.cluster.keys import encode_value
from primroseledge.cluster.keys import JOB_PREFIX
from primroseledge.cluster.keys import LEDGER_KEY
from primroseledge.cluster.keys import ledger_key
from primroseledge.cluster.keys import LedgerRecord
from primroseledge.cluster.keys import PROGRESS_PREFIX
from primroseledge.cluster.keys import RECORD_PREFIX
from primroseledge.cluster.store_thread import store_batch
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.stored_records import read_stored_records
from primroseledge.cluster.stored_records import StoredRecords
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import JobId
from primroseledge.ids import LaneId
from primroseledge.ids import Revision
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.owner.batch import Batch
from primroseledge.owner.batch import LANE_COUNT
from primroseledge.owner.outbox import Outbox
from primroseledge.owner.record_packs import MIN_PACK_COST_BYTES
from primroseledge.owner.record_packs import PACK_PREFIX
from primroseledge.owner.record_packs import RecordPacks
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import CallId
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.fleet_state import FleetState
from standins.storage_core import SimStorage
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.fleet_storage import SimStoreClient

SPARE_COST_BYTES = 4 * MIN_PACK_COST_BYTES


class Owners:
    """Owners in turn that store changes of jobs.

    ``expected`` has the time of the last change of each job that is stored,
    by the last batch with it, whenever that was stored. ``held`` are batches
    whose storing is delayed.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.storage = SimStorage(lambda: 100.0)
        self.client = SimStoreClient(self.storage, random, lambda *_: None)
        self.thread = StoreThread(
            None,  # type: ignore[arg-type]
            self.client,
            StoreKeys(),
            EntryId('a'),
            'host:1',
            create_fleet_metrics(),
        )
        self.epoch = Epoch(0)
        self.expected: dict[JobId, int] = {}
        self.order: dict[JobId, tuple[int, int]] = {}
        self.now = 100.0
        self.begin()

    def begin(self) -> None:
        """Let a new owner write all ledgers and restore what is stored."""
        self.epoch = Epoch(self.epoch + 1)
        self.thread.current_epoch = self.epoch
        record = encode_value(LedgerRecord(self.epoch, 0))
        lanes = [LaneId(lane) for lane in range(LANE_COUNT)]
        puts = tuple(Put(ledger_key(lane), record) for lane in lanes)
        revision = self.client.commit(Transaction(puts=puts))
        self.ledgers = dict.fromkeys(lanes, revision)
        self.held: list[Batch] = []
        self.outbox = Outbox()
        records = self.restored()
        self.outbox.packs = records.packs
        self.state = FleetState(make_configuration(), self.now)
        for accepted in records.accepted.values():
            job = Job(accepted, is_stored=True)
            job.updated_ms = records.progress[accepted.id].updated_ms
            self.state.jobs[accepted.id] = job

    def restored(self) -> StoredRecords:
        """Return what a new owner would restore now."""
        return read_stored_records(self.client, self.epoch)

    def change_jobs(self) -> None:
        """Accept some jobs, and change some of the others."""
        state = self.state
        for _ in range(self.random.randrange(3)):
            name = f'job-{self.epoch}-{len(state.jobs)}'
            accepted = make_job(name, make_step(1))
            state.jobs[accepted.id] = Job(accepted)
            state.mark_dirty(state.jobs[accepted.id], self.now)
        jobs = list(state.jobs.values())
        for job in self.random.sample(jobs, min(len(jobs), 3)):
            job.updated_ms += 1
            state.mark_dirty(job, self.now)
            call = CallId('', 1)
            reply = SendAnswer(call, Answer(Verdict.DONE))
            state.pending_answers[job.accepted.id] = [reply]

    def build(self) -> None:
        """Build a batch, if one may be built."""
        self.now += 1.0
        batch = self.outbox.next_batch(self.state, InstanceList(), self.now)
        if batch is not None:
            self.held.append(batch)

    def store(self) -> None:
        """Store one of the batches in flight, and note what it holds."""
        if not self.held:
            return
        batch = self.held.pop(self.random.randrange(len(self.held)))
        revision = self.ledgers[batch.lane]
        result = store_batch(
            self.thread, StoreBatch(self.epoch, revision, batch)
        )
        assert isinstance(result, BatchStored)
        self.ledgers[batch.lane] = result.ledger_revision
        self.outbox.complete_batch(batch.number, self.state, self.now)
        order = (self.epoch, batch.number)
        for record in batch.progress:
            if order > self.order.get(record.id, (0, 0)):
                self.order[record.id] = order
                self.expected[record.id] = record.updated_ms

    def stored_bytes(self) -> int:
        """Return what all stored packs cost."""
        return sum(
            max(len(item.value or b''), MIN_PACK_COST_BYTES)
            for key, item in self.storage.items.items()
            if key.startswith(PACK_PREFIX)
        )


class PackFuzzTest(unittest.TestCase):
    def setUp(self) -> None:
        self.enterContext(
            mock.patch(
                'primroseledge.owner.record_packs.SPARE_COST_BYTES',
                SPARE_COST_BYTES,
            )
        )

    def check(self, owners: Owners) -> None:
        """Check that all that was stored is restored as it was last."""
        records = owners.restored()
        stored = {id: r.updated_ms for id, r in records.progress.items()}
        self.assertEqual(owners.expected, stored)
        self.assertEqual(stored.keys(), records.accepted.keys())

    def play(self, seed: int) -> Owners:
        """Store 300 batches by some owners."""
        random = Random(seed)
        owners = Owners(random)
        for _ in range(300):
            owners.change_jobs()
            owners.build()
            while owners.held and random.random() < 0.6:
                owners.store()
            if random.random() < 0.02:
                owners.begin()
            self.check(owners)
        return owners

    def test_the_newest_records_are_restored(self) -> None:
        for seed in range(5):
            with self.subTest(seed=seed):
                self.play(seed)

    def test_replaced_records_do_not_fill_the_store(self) -> None:
        owners = self.play(7)
        packs = owners.outbox.packs
        # Two packs are added before a third of them is seen as replaced.
        slack = SPARE_COST_BYTES + 20 * MIN_PACK_COST_BYTES
        self.assertLess(owners.stored_bytes(), 2 * packs.newest_size + slack)

    def test_counts_are_those_of_the_packs(self) -> None:
        packs = self.play(3).outbox.packs
        held = packs.packs.values()
        self.assertEqual(sum(pack.cost for pack in held), packs.cost)
        newest = sum(sum(pack.newest.values()) for pack in held)
        self.assertEqual(newest, packs.newest_size)


class EarlierVersionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.owners = Owners(Random(1))
        self.job = make_job('old', make_step(1))

    def write(self, *records: AcceptedJob | ProgressRecord) -> None:
        """Write records as earlier versions did."""
        for record in records:
            is_job = isinstance(record, AcceptedJob)
            prefix = JOB_PREFIX if is_job else PROGRESS_PREFIX
            put = Put(f'{prefix}{record.id}', msgpack.encode(record))
            self.owners.client.commit(Transaction(puts=(put,)))

    def test_records_of_earlier_versions_are_restored(self) -> None:
        progress = ProgressRecord(self.job.id, JobState.RUNNING, (), 5)
        self.write(self.job, progress)
        records = self.owners.restored()
        self.assertEqual([self.job], list(records.accepted.values()))
        self.assertEqual([progress], list(records.progress.values()))

    def test_a_record_of_an_earlier_version_is_replaced(self) -> None:
        self.write(self.job, ProgressRecord(self.job.id, JobState.RUNNING))
        self.owners.begin()
        job = self.owners.state.jobs[self.job.id]
        for _ in range(2):
            job.updated_ms += 1
            self.owners.state.mark_dirty(job, 100.0)
            self.owners.build()
            self.owners.store()
        self.assertNotIn(
            f'{PROGRESS_PREFIX}{self.job.id}', self.owners.storage.items
        )
        [record] = self.owners.restored().progress.values()
        self.assertEqual(2, record.updated_ms)

    def test_an_earlier_version_cannot_take_over(self) -> None:
        value = encode_value(LedgerRecord(Epoch(3), 4, True))
        with self.assertRaises(DecodeError):
            msgpack.decode(value, type=EarlierLedgerRecord)

    def test_the_ledger_of_an_earlier_version_is_read(self) -> None:
        earlier = encode_value(EarlierLedgerRecord(Epoch(3), 4, True))
        ledger = LedgerRecord(Epoch(3), 4, True)
        for value in (earlier, encode_value(ledger)):
            item = Item(LEDGER_KEY, value, Revision(1))
            self.assertEqual(ledger, decode_ledger(item))


class MalformedRecordTest(unittest.TestCase):
    def test_a_malformed_record_hides_no_other_and_is_kept(self) -> None:
        owners = Owners(Random(1))
        batch = Batch(1)
        batch.add_job(Job(make_job('a', make_step(1))), True)
        raw = msgpack.encode([[{'id': 3}], list(batch.pack.progress)])
        key = RecordPacks(Epoch(1)).key_of(1)
        owners.client.commit(Transaction(puts=(Put(key, raw),)))
        records = owners.restored()
        self.assertEqual(['a'], list(records.progress))
        self.assertEqual({}, records.packs.packs)

    def test_a_malformed_pack_hides_no_other(self) -> None:
        owners = Owners(Random(1))
        owners.change_jobs()
        owners.build()
        owners.store()
        put = Put(f'{RECORD_PREFIX}packs/x', b'\xc1')
        owners.client.commit(Transaction(puts=(put,)))
        stored = owners.restored().progress
        self.assertEqual(owners.expected.keys(), stored.keys())


if __name__ == '__main__':
    unittest.main()
