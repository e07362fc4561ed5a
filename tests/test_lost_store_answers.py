"""Tests of writes that the store carries out without answering them.

Guards against owners that wait for such an answer, and against a copy of a
write that is carried out late and undoes what came after it.
"""

from functools import partial
from random import Random
from typing import Any
import unittest

from primroseledge.cluster.adaptive_timeout import AdaptiveTimeout
from primroseledge.cluster.adaptive_timeout import MAX_TIMEOUT_S
from primroseledge.cluster.adaptive_timeout import MIN_TIMEOUT_S
from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimLost
from primroseledge.cluster.commands import ClaimOwner
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import ReleaseOwner
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import LEDGER_KEY
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.keys import OWNER_KEY
from primroseledge.cluster.store_thread import claim_owner
from primroseledge.cluster.store_thread import release_owner
from primroseledge.cluster.store_thread import store_batch
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.watch_threads import LEASE_TTL_S
from primroseledge.cluster.watch_threads import LeaseThread
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.owner.batch import Batch
from primroseledge.platform.store_keys import StoreKeys
from standins.storage_core import SimStorage
from tests.fleet_storage import SimStoreClient

ENTRY = EntryId('entry-1')
KEY = f'{MEMBER_PREFIX}{ENTRY}'
EPOCH = Epoch(1)
CARRIED_OUT = 'carried out'
LATE = 'late'
FINE = 'fine'


class ForgetfulClient(SimStoreClient):
    """A client whose next commits have the fates in ``fates``.

    Late ones are carried out by ``carry_out_late``. ``commits`` counts all.
    """

    def __init__(self, storage: SimStorage, *fates: str) -> None:
        self.late: list[Any] = []
        super().__init__(
            storage, Random(1), lambda _, call: self.late.append(call)
        )
        self.fates = list(fates)
        self.commits = 0

    def commit(self, transaction: Transaction) -> Revision:
        self.commits += 1
        fate = self.fates.pop(0) if self.fates else FINE
        if fate == FINE:
            return super().commit(transaction)
        if fate == LATE:
            self.late.append(partial(self.commit_late, transaction))
        else:
            self.storage.commit(transaction)
        raise StoreOutcomeUnknownError('the answer of a commit was lost')

    def carry_out_late(self) -> None:
        for call in self.late:
            call()


class LostAnswerTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.storage = SimStorage(lambda: self.now)

    def open(self, *fates: str) -> StoreThread:
        self.client = ForgetfulClient(self.storage, *fates)
        thread = StoreThread(
            None,  # type: ignore[arg-type]
            self.client,
            StoreKeys(),
            ENTRY,
            'host:1',
            create_fleet_metrics(),
        )
        thread.current_epoch = EPOCH
        return thread


class BatchTest(LostAnswerTestCase):
    def store(self, *fates: str) -> BatchStored:
        result = store_batch(
            self.open(*fates), StoreBatch(EPOCH, Revision(0), Batch(1))
        )
        assert isinstance(result, BatchStored)
        ledger = self.storage.items[LEDGER_KEY]
        self.assertEqual(ledger.revision, result.ledger_revision)
        return result

    def test_a_batch_that_is_stored_is_not_sent_again(self) -> None:
        self.store(CARRIED_OUT)
        self.assertEqual(1, self.client.commits)

    def test_a_batch_that_is_not_stored_yet_is_sent_again(self) -> None:
        self.store(LATE, LATE)
        self.assertEqual(3, self.client.commits)

    def test_late_copies_of_a_batch_have_no_effect(self) -> None:
        result = self.store(LATE, CARRIED_OUT)
        self.client.carry_out_late()
        ledger = self.storage.items[LEDGER_KEY]
        self.assertEqual(result.ledger_revision, ledger.revision)


class OwnershipTest(LostAnswerTestCase):
    def claim(self, *fates: str) -> ClaimWon | ClaimLost:
        thread = self.open(*fates)
        lease = self.client.grant_lease(LEASE_TTL_S).id
        return claim_owner(thread, ClaimOwner(lease))

    def test_a_claim_that_is_not_stored_yet_is_made_again(self) -> None:
        self.assertIsInstance(self.claim(LATE, CARRIED_OUT), ClaimWon)
        owner = self.storage.items[OWNER_KEY]
        self.client.carry_out_late()
        self.assertEqual(owner, self.storage.items[OWNER_KEY])

    def test_a_claim_beside_another_owner_is_not_repeated(self) -> None:
        self.assertIsInstance(self.claim(), ClaimWon)
        self.assertIsInstance(self.claim(), ClaimLost)
        self.assertEqual(1, self.client.commits)

    def test_a_claim_of_an_earlier_process_is_not_taken_for_this_one(
        self,
    ) -> None:
        self.assertIsInstance(self.claim(LATE, LATE, LATE, LATE), ClaimLost)
        earlier = self.client

        class Successor(ForgetfulClient):
            """Its ledger changes between its read and its commit."""

            def commit(self, transaction: Transaction) -> Revision:
                earlier.carry_out_late()
                return super().commit(transaction)

        thread = self.open()
        client = Successor(self.storage)
        client.last_lease_number += 1000
        thread.store = client
        lease = client.grant_lease(LEASE_TTL_S).id
        result = claim_owner(thread, ClaimOwner(lease))
        self.assertIsInstance(result, ClaimLost)

    def test_a_release_that_is_not_stored_yet_is_made_again(self) -> None:
        won = self.claim()
        assert isinstance(won, ClaimWon)
        thread = self.open(LATE, LATE)
        release_owner(
            thread, ReleaseOwner(won.owner.epoch, won.ledger_revision)
        )
        self.assertNotIn(OWNER_KEY, self.storage.items)
        self.assertIsInstance(self.claim(), ClaimWon)
        owner = self.storage.items[OWNER_KEY]
        for call in self.client.late:
            call()
        self.assertEqual(owner, self.storage.items[OWNER_KEY])


class LeaseTest(LostAnswerTestCase):
    def test_a_late_member_record_does_not_end_with_an_older_lease(
        self,
    ) -> None:
        inbox: Any = Inbox()
        client = ForgetfulClient(self.storage, LATE)
        member = MemberRecord(ENTRY, 'host:1')
        thread = LeaseThread(inbox, client, member)
        thread.advance()
        self.now += LEASE_TTL_S / 2
        thread.advance()
        client.carry_out_late()
        for _ in range(5):
            self.now += LEASE_TTL_S / 2
            thread.advance()
        self.storage.expire()
        self.assertIn(KEY, self.storage.items)


class Inbox:
    def post(self, item: Any) -> None:
        """No test needs it."""


class AdaptiveTimeoutTest(unittest.TestCase):
    def test_a_lost_answer_is_not_waited_for_much_longer_than_others(
        self,
    ) -> None:
        times = AdaptiveTimeout()
        for _ in range(10):
            times.record_answer(0.004)
        self.assertEqual(MIN_TIMEOUT_S, times.timeout_s())

    def test_a_store_that_is_slow_is_waited_for(self) -> None:
        times = AdaptiveTimeout()
        times.record_answer(0.004)
        for _ in range(20):
            times.record_answer(0.3)
            self.assertGreaterEqual(times.timeout_s(), 0.6)

    def test_a_slow_answer_after_a_fast_one_is_waited_for(self) -> None:
        times = AdaptiveTimeout()
        for took_s in (0.004, 0.3, 0.004, 0.3):
            times.record_answer(took_s)
        self.assertGreater(times.timeout_s(), 0.35)

    def test_a_store_that_is_down_gets_few_calls(self) -> None:
        times = AdaptiveTimeout()
        times.record_answer(0.004)
        for _ in range(1000):
            times.record_unanswered()
        self.assertEqual(MAX_TIMEOUT_S, times.timeout_s())

    def test_the_wait_covers_a_large_body_on_a_slow_link(self) -> None:
        times = AdaptiveTimeout()
        times.record_answer(0.004)
        self.assertGreater(times.timeout_s(100_000), 0.2)


if __name__ == '__main__':
    unittest.main()
