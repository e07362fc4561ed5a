"""The commands about waves act on the plans of pools."""

from typing import Any
import unittest

from primroseledge.ids import PoolId
from primroseledge.ids import WriteId
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveState
from primroseledge.storage.documents import Budget
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.records import Records
from tests.fake_connections import FakeConnections
from tests.fake_store import LOST_AFTER
from tests.fake_store import LOST_BEFORE

COPPER = PoolId('copper')
IMAGES = ('--image', 'new', '--previous-image', 'old')


class WaveCommandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = FakeConnections()
        self.run_json = self.fleet.run_json
        budget = Budget(2, 2)
        self.put('pool', Pool('copper'))
        self.put('pool', Pool('spare'))
        self.put('service', Service('copper', 's', 'copper', budget=budget))
        instances = {
            name: Instance(name, pool, 'z1', 'r1', '127.0.0.1:1')
            for pool, count in (('copper', 4), ('spare', 1))
            for number in range(count)
            for name in (f'{pool}-{number}',)
        }
        self.put('placement', Placement('0', instances))

    def put(self, kind: str, document: Any) -> None:
        key = document_key(kind, document.id)
        self.fleet.store.put(key, encode_document(document), None, 'setup')

    def start(self, *options: str, code: int = 0) -> Any:
        return self.run_json(
            'wave', 'start', 'w1', *IMAGES, *options, code=code
        )

    def plan(self, pool: str = COPPER) -> Plan:
        return self.records().load(plan_key(PoolId(pool)), Plan()).value

    def set_plan(self, plan: Plan) -> None:
        key = plan_key(COPPER)
        held = self.records().load(key, Plan())
        self.records().swap(key, plan, held.revision)

    def records(self) -> Records:
        return Records(self.fleet.store, lambda: WriteId('controller'))

    def test_start_plans_the_wave_in_every_pool(self) -> None:
        rows = self.start()
        self.assertEqual([row['pool'] for row in rows], ['copper', 'spare'])
        self.assertEqual({row['result'] for row in rows}, {'accepted'})
        for pool in ('copper', 'spare'):
            wave = self.plan(pool).wave
            assert wave is not None
            self.assertEqual((wave.image, wave.previous_image), ('new', 'old'))
            self.assertIs(wave.state, WaveState.PLANNED)

    def test_start_of_one_pool_leaves_others(self) -> None:
        self.start('--pool', 'copper', '--width', '3')
        self.assertIsNone(self.plan('spare').wave)
        wave = self.plan().wave
        assert wave is not None
        self.assertEqual(wave.max_width, 3)
        result = self.fleet.run('wave', 'start', 'w2', *IMAGES, '--pool', 'x')
        self.assertEqual(result.exit_code, 1)
        self.assertIn("there is no pool 'x'", result.stderr)

    def test_second_start_is_refused(self) -> None:
        self.start('--pool', 'copper')
        self.fleet.seconds = 5.0
        (row,) = self.start('--pool', 'copper', code=1)
        self.assertIn('choose another id', row['detail'])
        arguments = ('wave', 'start', 'w2', *IMAGES, '--pool', 'copper')
        (row,) = self.run_json(*arguments, code=1)
        self.assertIn('it has to end', row['detail'])

    def test_lost_answers_are_told_truthfully(self) -> None:
        self.fleet.store.faults.append(LOST_AFTER)
        (row,) = self.start('--pool', 'copper')
        self.assertEqual(row['result'], 'accepted')
        self.fleet.store.faults += [LOST_BEFORE] * 9
        (row,) = self.run_json('wave', 'halt', 'w1', code=3)
        self.assertEqual(row['result'], 'unknown')

    def test_lost_start_that_the_owner_took_up_is_accepted(self) -> None:
        def take_up() -> None:
            wave = self.plan().wave
            assert wave is not None
            self.set_plan(Plan(canary(wave)))

        self.fleet.store.faults.append(LOST_AFTER)
        self.fleet.store.others.append(take_up)
        (row,) = self.start('--pool', 'copper')
        self.assertEqual((row['result'], row['state']), ('accepted', 'canary'))

    def test_commands_move_the_wave_or_are_refused(self) -> None:
        self.start()
        for command, state in (
            ('halt', WaveState.HALTED),
            ('resume', WaveState.CANARY),
            ('rollback', WaveState.ROLLING_BACK),
        ):
            self.run_json('wave', command, 'w1')
            wave = self.plan().wave
            assert wave is not None
            self.assertIs(wave.state, state)
        rows = self.run_json('wave', 'resume', 'w1', code=1)
        self.assertEqual({row['result'] for row in rows}, {'refused'})
        result = self.fleet.run('wave', 'halt', 'other')
        self.assertIn("there is no wave 'other'", result.stderr)

    def test_status_shows_progress_and_the_end(self) -> None:
        self.start('--pool', 'copper')
        (row,) = self.run_json('wave', 'status')
        self.assertEqual((row['done'], row['left']), (0, 4))
        self.assertIsNone(row['ends_in_s'])
        self.assertIn('owner', row['waits_for'][0])
        wave = self.plan().wave
        assert wave is not None
        steps = {
            'copper-0': Step(StepState.RETURNED),
            'copper-1': Step(StepState.DRAINING),
        }
        self.set_plan(Plan(canary(wave), steps))
        self.fleet.seconds = 20.0
        (row,) = self.run_json('wave', 'status')
        self.assertEqual((row['done'], row['left']), (1, 3))
        self.assertEqual(row['waits_for'], ['copper-1 draining'])
        self.assertEqual(row['ends_in_s'], 40)

    def test_status_asks_entry_instances_why(self) -> None:
        self.start('--pool', 'copper')
        entry = self.fleet.add_entry('e1')
        self.fleet.pages[f'{entry}/-/explain/copper'] = [
            {'state': 'waiting', 'explanation': 'copper-2: budget'}
        ]
        arguments = ('wave', 'status', '--entry', entry)
        (row,) = self.run_json(*arguments, '--entry', 'http://gone')
        self.assertEqual(row['waits_for'][1:], ['copper-2: budget'])


def canary(wave: Wave) -> Wave:
    return Wave(
        wave.id,
        wave.image,
        wave.previous_image,
        WaveState.CANARY,
        width=2,
        started_at=wave.started_at,
    )
