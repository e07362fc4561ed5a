"""Tests of the commands that evacuate and return zones.

They guard against an untrue report after a lost answer, and against taking the
last zone or a misspelled one out of use.
"""

from random import Random
from typing import Any
import unittest
from unittest.mock import Mock

from click.testing import CliRunner
from msgspec import json

from primroseledge.cli import main
from primroseledge.cluster.fleet_store import Put
from primroseledge.cluster.fleet_store import Transaction
from primroseledge.errors import OperatorError
from primroseledge.errors import StoreError
from primroseledge.errors import StoreOutcomeUnknownError
from primroseledge.ids import Revision
from primroseledge.ids import ZoneId
from primroseledge.operators.applying import Result
from primroseledge.operators.zone_changes import evacuate_zone
from primroseledge.operators.zone_changes import read_zones
from primroseledge.operators.zone_changes import return_zone
from primroseledge.platform.store_keys import evacuation_key
from standins.storage_core import SimStorage
from tests.fleet_storage import SimStoreClient
from tests.test_platform_adapter import PlatformTestCase

NORTH, SOUTH = ZoneId('north'), ZoneId('south')
KNOWN = frozenset({NORTH, SOUTH})


class LossyStore(SimStoreClient):
    """Loses the answers of commits: 'done' and 'lost' ones, in order."""

    def __init__(self, *losses: str) -> None:
        self.losses = list(losses)
        self.others: list[Transaction] = []
        super().__init__(SimStorage(lambda: 0.0), Random(1), lambda *_: None)

    def commit(self, transaction: Transaction) -> Revision:
        if self.others:
            super().commit(self.others.pop())
        loss = self.losses.pop(0) if self.losses else ''
        if loss == 'failed':
            raise StoreError('store answered 500')
        if loss != 'lost':
            revision = super().commit(transaction)
        if loss:
            raise StoreOutcomeUnknownError('no answer')
        return revision

    def change(self, change: Any, zone: ZoneId = NORTH) -> Result:
        result: Result = change(self, zone, KNOWN, False, lambda: None)
        return result


class LostAnswerTest(unittest.TestCase):
    def test_the_result_is_what_the_store_holds(self) -> None:
        for losses, expected in (
            (('done',), Result.ACCEPTED),
            (('lost',), Result.ACCEPTED),
            (('lost', 'done'), Result.ACCEPTED),
            (('failed', 'done'), Result.ACCEPTED),
            (('lost', 'lost', 'lost'), Result.UNKNOWN),
        ):
            for change in (evacuate_zone, return_zone):
                store = LossyStore()
                if change is return_zone:
                    store.change(evacuate_zone)
                store.losses = list(losses)
                self.assertEqual(expected, store.change(change), losses)
                is_evacuated = NORTH in read_zones(store).zones
                is_done = expected is Result.ACCEPTED
                self.assertEqual(
                    is_done == (change is evacuate_zone), is_evacuated
                )

    def test_a_failed_read_is_no_unknown_outcome(self) -> None:
        store: Any = LossyStore()
        failure = StoreError('malformed answer')
        store.read = store.read_all = Mock(side_effect=failure)
        for change in (evacuate_zone, return_zone):
            with self.assertRaises(StoreError):
                store.change(change)

    def test_two_operators_do_not_evacuate_the_last_zones(self) -> None:
        store = LossyStore()
        # The other operator's write arrives between the read and the write.
        put = Put(evacuation_key(SOUTH), b'{}')
        store.others.append(Transaction(puts=(put,)))
        with self.assertRaisesRegex(OperatorError, 'last zone'):
            store.change(evacuate_zone)
        self.assertEqual({SOUTH}, read_zones(store).zones)


class CommandTest(PlatformTestCase):
    def invoke(self, *arguments: str) -> tuple[int, str]:
        command, *others = arguments
        result = CliRunner().invoke(
            main, [command, '--store', self.address, '--json', *others]
        )
        return result.exit_code, result.output

    def test_exit_codes_and_what_is_shown(self) -> None:
        for arguments, code, text in (
            (('evacuate', 'nowhere'), 1, 'known: north'),
            (('evacuate', 'north'), 1, 'last zone'),
            (('return', 'nowhere'), 1, 'known: north'),
            (('evacuate', ''), 2, 'empty'),
            (('evacuate', 'north', '--force'), 0, 'accepted'),
            (('evacuate', 'north', '--force'), 0, 'unchanged'),
            (('return', 'north'), 0, 'accepted'),
            (('return', 'north'), 0, 'unchanged'),
            (('evacuate', 'south', '--force'), 0, 'accepted'),
            (('evacuate', 'x', '--instances', '127.0.0.1:1'), 4, 'instances'),
        ):
            with self.subTest(arguments):
                exit_code, output = self.invoke('zone', *arguments)
                self.assertEqual((code, True), (exit_code, text in output))
        rows = self.invoke('running', 'zones')[1].splitlines()
        self.assertEqual(
            [('north', False, 1, 0), ('south', True, 0, 0)],
            [tuple(json.decode(row).values()) for row in rows],
        )
        self.address = '127.0.0.1:1'
        self.assertEqual(4, self.invoke('zone', 'return', 'north')[0])


if __name__ == '__main__':
    unittest.main()
