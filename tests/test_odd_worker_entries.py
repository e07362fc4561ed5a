"""Tests of a list of workers with odd entries that another writer has left.

Guards against LOST, and against processes that end: on other systems one
entry, very deeply nested or with a number or a port out of range, ended each
instance that read the list, or kept it from following the list.
"""

from typing import Any
from typing import Final

from msgspec import json

from primroseledge.cluster.fleet_store import LeaseId
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.cluster.fleet_view import Decoders
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.ids import EntryId
from primroseledge.ids import WorkerId
from primroseledge.platform.daemon import decode_configured_worker
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import WORKER_PREFIX
from primroseledge.scheduling.actions import OrderResult
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import SERVICE
from tests.test_platform_adapter import PlatformTestCase

DEEP: Final = 200_000
LARGEST: Final = 2**63 - 1
SOUND: Final[dict[str, Any]] = {
    'service': SERVICE,
    'address': '10.0.0.1:8000',
    'zone': 'north',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'sequence': 1,
    'capacity': {'cpu': 16000, 'memory_request_mb': 64000, 'gpu': 0},
    'labels': ['a', 'rack-1'],
    'born': 1_796_440_764_872,
}


def encode_with(field: str, value: bytes) -> bytes:
    """Return an entry with one field that no encoder of ours would write."""
    fields = {name: json.encode(value) for name, value in SOUND.items()}
    fields[field] = value
    rows = (f'"{name}":'.encode() + value for name, value in fields.items())
    return b'{' + b','.join(rows) + b'}'


def encode_deep(field: str, opening: bytes, closing: bytes) -> bytes:
    """Return an entry with a very deeply nested field."""
    return encode_with(field, opening * DEEP + b'1' + closing * DEEP)


UNREADABLE: Final = {
    'deep list': encode_deep('x', b'[', b']'),
    'deep object': encode_deep('x', b'{"a":', b'}'),
    'deep capacity': encode_deep('capacity', b'{"cpu":', b'}'),
    'deep and open': encode_with('x', b'[' * DEEP),
    'deep alone': b'[' * DEEP,
    **{
        f'{field} {number[:8].decode()}': encode_with(field, number)
        for field in ('born', 'remaining_ms')
        for number in (b'1e400', b'9' * 20, b'9' * 5000, b'1.5', b'NaN')
    },
    **{
        f'cpu {number[:8].decode()}': encode_with(
            'capacity', b'{"cpu":' + number + b'}'
        )
        for number in (b'1e400', b'-1e400', b'9' * 20, b'9' * 5000)
    },
    **{
        f'port {port}': encode_with('address', f'"10.0.0.9:{port}"'.encode())
        for port in ('0', '-1', '65536', '99999', '1e3', '9' * 400, '')
    },
    'no host': encode_with('address', b'":8000"'),
    'not text': b'\xff\xfe\x00',
    'nothing': b'',
}

EXTREME: Final = {
    'most': encode_with(
        'capacity',
        json.encode(
            dict.fromkeys(('cpu', 'memory_request_mb', 'gpu'), LARGEST)
        ),
    ),
    'least': encode_with(
        'capacity',
        json.encode(
            dict.fromkeys(('cpu', 'memory_request_mb', 'gpu'), -LARGEST)
        ),
    ),
    'last born': encode_with('born', str(LARGEST).encode()),
    'first born': encode_with('born', str(-LARGEST).encode()),
    'odd address': encode_with('address', b'"999.1.1.1:65535"'),
}
"""Entries that can be read; nobody answers at their addresses."""


class OddEntriesTest(PlatformTestCase):
    def setUp(self) -> None:
        super().setUp()
        decoders = Decoders(
            'op/config',
            decode_configuration,
            decode_configured_worker,
            lambda _key: False,
            lambda item: self.fail(item.key),
        )
        self.view = FleetView(EntryId('entry-0'), '127.0.0.1:1', decoders)
        configuration = {
            'version': 1,
            'services': [{'name': SERVICE, 'admission_check': True}],
        }
        self.view.apply_configuration(json.encode(configuration))

    def write(self, name: str, value: bytes) -> None:
        """Write an entry of the list as another writer may."""
        put = Put(f'{WORKER_PREFIX}{name}', value, LeaseId(0))
        self.store.commit(Transaction(puts=(put,)))

    def read(self) -> dict[str, WorkerEntry]:
        """Return the entries that the list has for the owner.

        That of the stand-in's own worker is left out.
        """
        items = self.store.read_all(WORKER_PREFIX).items
        entries = {e.id: e for e in self.view.decode_workers(items)}
        del entries[WorkerId('worker-0')]
        return dict(entries)

    def test_an_unreadable_entry_names_no_worker_and_the_others_hold(
        self,
    ) -> None:
        self.write('sound', json.encode(SOUND))
        for number, (name, value) in enumerate(UNREADABLE.items()):
            with self.subTest(name):
                self.write(f'odd-{number}', value)
                self.assertEqual(['sound'], list(self.read()))

    def test_the_list_is_followed_beside_unreadable_entries(self) -> None:
        for number, value in enumerate(UNREADABLE.values()):
            self.write(f'odd-{number}', value)
        for state in ('ready', 'draining', 'ready'):
            self.write('sound', json.encode({**SOUND, 'state': state}))
            self.assertEqual(state, self.read()['sound'].state.value)

    # Another writer's entry under a worker's own id ends with the next one
    # that the worker writes, however late it says that it was born.
    def test_a_worker_outlasts_an_odd_entry_under_its_id(self) -> None:
        bench = EngineBench()
        for name, value in {**UNREADABLE, **EXTREME}.items():
            with self.subTest(name):
                self.write('sound', json.encode(SOUND))
                bench.list_workers(*self.read().values())
                self.write('sound', value)
                bench.list_workers(*self.read().values())
                self.write('sound', json.encode(SOUND))
                bench.list_workers(*self.read().values())
                [worker] = bench.engine.state.workers.values()
                self.assertTrue(worker.is_listed)
                self.assertEqual(SOUND['born'], worker.entry.boot)

    def test_work_is_done_beside_entries_with_extreme_values(self) -> None:
        for number, value in enumerate(EXTREME.values()):
            self.write(f'odd-{number}', value)
        self.write('sound', json.encode(SOUND))
        entries = self.read()
        self.assertEqual(len(EXTREME) + 1, len(entries))
        bench = EngineBench()
        bench.list_workers(*entries.values())
        for name in entries:
            if name == 'sound':
                bench.answer_poll(WorkerId(name))
            else:
                bench.fail_poll(WorkerId(name), OrderResult.NOT_SENT)
        starts = bench.run_job(make_job('a', make_step(4)))
        self.assertEqual(['sound'] * 4, [s.target.worker for s in starts])
