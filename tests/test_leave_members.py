"""Tests of the removal of a member record by an instance that leaves."""

from random import Random
import unittest

from primroseledge.cluster.commands import LeaveMembers
from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.keys import MEMBER_PREFIX
from primroseledge.cluster.store_thread import leave_members
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import EntryId
from primroseledge.ids import Revision
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.platform.store_keys import StoreKeys
from standins.storage_core import SimStorage
from tests.fleet_storage import SimStoreClient

ENTRY = EntryId('entry-1')
KEY = f'{MEMBER_PREFIX}{ENTRY}'


class LateClient(SimStoreClient):
    """A client whose next removal is carried out late, without an answer."""

    def commit(self, transaction: Transaction) -> Revision:
        if not transaction.removals:
            return super().commit(transaction)
        self.schedule_after(1.0, lambda: self.commit_late(transaction))
        raise StoreOutcomeUnknownError('the answer of a commit was lost')


class LeaveMembersTest(unittest.TestCase):
    def test_a_late_removal_spares_the_record_of_the_next_process(
        self,
    ) -> None:
        storage = SimStorage(lambda: 100.0)
        late_calls = []
        client = LateClient(
            storage, Random(1), lambda _, call: late_calls.append(call)
        )
        thread = StoreThread(
            None,  # type: ignore[arg-type]
            client,
            StoreKeys(),
            ENTRY,
            'host:1',
            create_fleet_metrics(),
        )
        put_member(client, b'first process')
        leave_members(thread, LeaveMembers())
        put_member(client, b'next process')
        for call in late_calls:
            call()
        self.assertEqual(b'next process', storage.items[KEY].value)


def put_member(client: SimStoreClient, value: bytes) -> None:
    client.commit(Transaction(puts=(Put(KEY, value, LeaseId(0)),)))


if __name__ == '__main__':
    unittest.main()
