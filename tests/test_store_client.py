"""The store's client against its stand-in over loopback."""

from contextlib import ExitStack
from threading import Thread
import unittest

from primroseledge.errors import ConflictError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.errors import StoreUnavailableError
from primroseledge.ids import Revision
from primroseledge.ids import WriteId
from primroseledge.storage.store_client import HttpStore
from primroseledge.storage.store_client import open_store
from standins.http_app import create_server
from standins.kv_store import KeyValueService

TIMEOUT_S = 5.0
CREDENTIALS = 'operator:secret'
ABSENT = Revision(0)


class StoreClientTest(unittest.TestCase):
    def setUp(self) -> None:
        resources = ExitStack()
        self.addCleanup(resources.close)
        self.service = KeyValueService()
        server = create_server(self.service.routes(CREDENTIALS), threads=2)
        thread = Thread(target=server.serve, daemon=True)
        thread.start()
        resources.callback(thread.join)
        resources.callback(server.stop)
        self.url = f'http://127.0.0.1:{server.bind_addr[1]}'
        self.store = self.open(CREDENTIALS)

    def open(self, credentials: str) -> HttpStore:
        store = open_store([self.url], TIMEOUT_S, credentials)
        self.addCleanup(store.close)
        return store

    def write(self, store: HttpStore, write_id: str = 'w1') -> Revision:
        return store.write('config/x', 'text', ABSENT, WriteId(write_id))

    def test_written_record_is_read_back(self) -> None:
        revision = self.write(self.store)
        (record,) = self.store.read('config/').records
        self.assertEqual(
            ('config/x', 'text', revision, 'w1'),
            (record.key, record.value, record.revision, record.write_id),
        )

    def test_call_without_the_credentials_is_refused(self) -> None:
        for credentials in ('', 'operator:guess'):
            with self.assertRaisesRegex(StoreError, 'credentials'):
                self.write(self.open(credentials))
        self.assertEqual((), self.store.read('config/').records)

    def test_second_writer_of_a_revision_gets_a_conflict(self) -> None:
        self.write(self.store)
        with self.assertRaises(ConflictError):
            self.write(self.store, 'w2')

    def test_lost_answer_is_unknown_and_the_write_stands(self) -> None:
        self.service.core.faults.lose_answers = 1
        with self.assertRaises(StoreOutcomeUnknownError):
            self.write(self.store)
        (record,) = self.store.read('config/').records
        self.assertEqual('w1', record.write_id)

    def test_store_that_is_down_wrote_nothing(self) -> None:
        self.service.core.faults.is_down = True
        with self.assertRaises(StoreUnavailableError):
            self.write(self.store)
        self.service.core.faults.is_down = False
        self.assertEqual((), self.store.read('config/').records)
