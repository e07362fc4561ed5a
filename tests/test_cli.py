"""The command line: results, exit codes and what they reveal."""

from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
import unittest

from click.testing import CliRunner
from msgspec import json

from primroseledge.cli import main
from primroseledge.fleet import read_fleet
from primroseledge.policy.placement_changes import set_draining
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import find_valid_key
from tests.fake_connections import FakeConnections
from tests.fake_store import LOST_AFTER
from tests.fake_store import LOST_BEFORE


class CommandLineTest(unittest.TestCase):
    def setUp(self) -> None:
        directory = TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.fleet = FakeConnections()
        self.run_json = self.fleet.run_json
        self.run_json('team', 'set', 'sales', '--share', '2', '--limit', '9')
        self.run_json('pool', 'set', 'copper')

    def write_service(self, **changes: Any) -> str:
        fields = {'id': 'copper', 'team': 'sales', 'pool': 'copper'}
        path = self.directory / 'copper.json'
        path.write_bytes(json.encode({**fields, **changes}))
        return str(path)

    def test_service_is_applied_shown_and_has_a_history(self) -> None:
        shown = self.run_json('service', 'apply', self.write_service())
        self.assertEqual(shown['result'], 'accepted')
        path = self.write_service(queue_limit=7)
        (row,) = self.run_json('service', 'diff', path)
        self.assertEqual(row['after'], 7)
        shown = self.run_json('service', 'apply', path)
        self.assertEqual(shown['changes'], ['queue_limit: 1000 -> 7'])
        document = self.run_json('service', 'show', 'copper')
        self.assertEqual(document['queue_limit'], 7)
        newest, first = self.run_json('service', 'history', 'copper')
        self.assertEqual(newest['changes'], ['queue_limit: 1000 -> 7'])
        self.assertEqual(first['by'], 'ann')
        self.assertIn('pool: absent -> "copper"', first['changes'])

    def test_nested_fields_are_shown_by_path(self) -> None:
        self.run_json('service', 'apply', self.write_service())
        shown = self.run_json('service', 'show', 'copper')
        self.assertEqual(shown['budget']['unavailable'], 1)
        result = self.fleet.run('service', 'show', 'copper')
        self.assertRegex(result.stdout, r'budget\.unavailable: +1\n')

    def test_wrong_document_writes_nothing(self) -> None:
        before = self.fleet.store.revision
        for changes, code, text in (
            ({'pool': 'iron'}, 1, "there is no pool 'iron'"),
            ({'queue_limit': 0}, 2, 'queue_limit'),
            ({'sise': 1}, 2, 'sise'),
        ):
            path = self.write_service(**changes)
            result = self.fleet.run('service', 'apply', path)
            self.assertEqual(result.exit_code, code, result.output)
            self.assertIn(text, result.stderr)
        self.assertEqual(self.fleet.store.revision, before)

    def test_lost_answer_is_read_back(self) -> None:
        self.fleet.store.faults.append(LOST_AFTER)
        shown = self.run_json('service', 'apply', self.write_service())
        self.assertEqual(shown['result'], 'accepted')

    def test_answers_lost_for_good_exit_with_3(self) -> None:
        self.fleet.store.faults.extend([LOST_BEFORE] * 9)
        path = self.write_service()
        shown = self.run_json('service', 'apply', path, code=3)
        self.assertEqual(shown['result'], 'unknown')
        self.assertIn('show the document', shown['next'])

    def test_store_down_exits_with_4(self) -> None:
        self.fleet.store.is_down = True
        result = self.fleet.run('team', 'set', 'sales', '--share', '3')
        self.assertEqual(result.exit_code, 4)
        self.assertIn('the store is down', result.stderr)

    def test_lost_race_shows_the_change_of_the_other(self) -> None:
        path = self.write_service(queue_limit=7)
        self.run_json('service', 'apply', self.write_service())
        rival = Service(
            id='copper', team='sales', pool='copper', queue_limit=5
        )
        store = self.fleet.store
        read, calls = store.read, list[str]()

        def read_then_lose(prefix: str) -> Any:
            snapshot = read(prefix)
            calls.append(prefix)
            if len(calls) == 1:
                key = 'config/service/copper'
                store.put(key, encode_document(rival), None, 'rival')
            return snapshot

        store.read = read_then_lose  # type: ignore[method-assign]
        self.write_service(queue_limit=7)
        shown = self.run_json('service', 'apply', path, code=1)
        self.assertEqual(shown['result'], 'conflict')
        self.assertEqual(
            shown['changed_meanwhile'], ['queue_limit: 1000 -> 5']
        )

    def add_two_instances(self) -> None:
        self.run_json('service', 'apply', self.write_service())
        for name in ('i1', 'i2'):
            self.run_json(
                *('pool', 'add-instance', name, '--pool', 'copper'),
                *(
                    '--zone',
                    'z',
                    '--rack',
                    'r',
                    '--address',
                    f'127.0.0.1:{name}',
                ),
            )

    def drain_while_rival_drains(self, goes_down: bool = False) -> Any:
        """Drain i1 while another drain is written between check and write."""
        self.add_two_instances()
        store = self.fleet.store
        rival = set_draining(read_fleet(store.read('config/')), 'i2', True)
        assert rival.after
        value, put = encode_document(rival.after), store.put

        def put_rival_first(
            key: str, new: str | None, expected: Any, write_id: str
        ) -> Any:
            if not key.startswith('config/'):
                return put(key, new, expected, write_id)
            store.put = put  # type: ignore[method-assign]
            put(rival.key, value, None, 'rival')
            store.is_down = goes_down
            return put(key, new, expected, write_id)

        store.put = put_rival_first  # type: ignore[method-assign]
        return self.fleet.run('pool', 'drain', 'i1')

    def draining(self) -> list[str]:
        rows = self.run_json('pool', 'instances', 'copper')
        return [row['instance'] for row in rows if row['draining']]

    def test_drains_that_race_do_not_overspend_a_budget(self) -> None:
        result = self.drain_while_rival_drains()
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertIn('accepted and taken back', result.stderr)
        self.assertEqual(self.draining(), ['i2'])

    def test_drain_that_cannot_be_reviewed_is_said(self) -> None:
        result = self.drain_while_rival_drains(goes_down=True)
        self.assertEqual(result.exit_code, 1, result.output)
        self.assertIn('was accepted, but', result.stderr)
        self.assertNotIn('nothing was written', result.stderr)

    def test_key_is_shown_once_and_only_its_hash_is_stored(self) -> None:
        shown = self.run_json('key', 'give', 'sales')
        secret = shown['key'].partition('.')[2]
        store = self.fleet.store
        stored = ' '.join(str(item) for item in store.records.values())
        self.assertNotIn(secret, stored)
        team = read_fleet(store.read('config/')).find(Team, 'team', 'sales')
        assert team
        self.assertIsNotNone(find_valid_key(team.keys, shown['key']))
        self.run_json('key', 'withdraw', 'sales', shown['key_id'])
        self.assertEqual(self.run_json('key', 'list', 'sales'), [])

    def test_key_of_a_refused_change_is_not_shown(self) -> None:
        self.fleet.store.faults.append('down')
        shown = self.run_json('key', 'give', 'sales', code=4)
        self.assertNotIn('key', shown)

    def test_change_waits_until_it_is_in_force(self) -> None:
        slow = self.fleet.add_entry('a', lag_s=1.0)
        shown = self.run_json(
            'team', 'set', 'sales', '--share', '3', '--entry', slow
        )
        self.assertEqual(shown['in_force'], 'in force')
        self.assertGreaterEqual(self.fleet.seconds, 1.0)

    def test_change_that_most_lack_is_not_in_force(self) -> None:
        entries = ['--entry', 'http://gone', '--entry', 'http://lost']
        shown = self.run_json(
            'team', 'set', 'sales', '--share', '3', *entries, code=5
        )
        self.assertEqual(shown['result'], 'accepted')

    def test_majority_is_enough_once_older_views_have_lapsed(self) -> None:
        options = ['--entry', 'http://gone']
        for name in ('a', 'b'):
            options += ['--entry', self.fleet.add_entry(name)]
        self.run_json('team', 'set', 'sales', '--share', '3', *options)
        self.assertGreaterEqual(self.fleet.seconds, 2.5)

    def test_fleet_status_shows_the_silent_one(self) -> None:
        options = ['--entry', self.fleet.add_entry('a')]
        options += ['--entry', 'http://gone']
        rows = self.run_json('fleet', 'status', *options, code=4)
        self.assertEqual([row['entry'] for row in rows], ['a', None])

    def test_explain_asks_with_the_operators_key(self) -> None:
        url = 'http://a'
        self.fleet.pages[f'{url}/-/explain/r%2F1'] = [
            {'state': 'queued', 'explanation': 'team limit 9 reached'}
        ]
        result = self.fleet.run(
            'explain', 'r/1', '--entry', url, PRIMROSELEDGE_OPERATOR_KEY='k.s'
        )
        self.assertIn('team limit 9 reached', result.stdout)
        self.assertEqual(self.fleet.keys_sent, ['k.s'])
        self.fleet.pages[f'{url}/-/explain/r2'] = []
        result = self.fleet.run('explain', 'r2', '--entry', url)
        self.assertEqual(result.exit_code, 1)

    def test_tables_are_for_people(self) -> None:
        result = self.fleet.run('team', 'list')
        self.assertEqual(
            result.stdout.splitlines(),
            [
                'TEAM   SHARE  LIMIT  KEYS  SERVICES',
                'sales  2      9      -     -',
            ],
        )

    def test_usage_and_version(self) -> None:
        result = CliRunner().invoke(main, ['team', 'list'], env={})
        self.assertEqual(result.exit_code, 2)
        self.assertIn('--store', result.stderr)
        result = CliRunner().invoke(main, ['--version'])
        self.assertEqual(result.stdout, 'primroseledge, version 0.1.0\n')

    def test_config_check(self) -> None:
        path = self.write_service(queue_limit='7')
        for kind, text in (
            ('service', 'queue_limit'),
            ('settings', 'id: unknown setting'),
        ):
            result = CliRunner().invoke(
                main, ['config', 'check', path, '--kind', kind]
            )
            self.assertEqual(result.exit_code, 2)
            self.assertEqual(len(result.stderr.splitlines()), 1)
            self.assertIn(text, result.stderr)
        path = self.write_service()
        result = CliRunner().invoke(
            main, ['config', 'check', path, '--kind', 'service']
        )
        self.assertEqual(result.exit_code, 0)

    def test_entry_refuses_wrong_settings_before_it_imports_sockets(
        self,
    ) -> None:
        path = self.directory / 'settings.json'
        path.write_text('{"entry_id": "a", "zone": 3}')
        result = CliRunner().invoke(main, ['entry', '--settings', str(path)])
        self.assertEqual(result.exit_code, 2)
        self.assertIn('zone: 3: expected `str`', result.stderr)
