"""An operator at the command line."""

from os import environ
from subprocess import run
import sys
from tempfile import NamedTemporaryFile
from typing import Any
from typing import Final

from msgspec import json

from primroseledge.storage.documents import encode_document
from standins.deployment import Deployment
from standins.deployment import SERVICE
from standins.deployment import SLOTS
from standins.deployment import ZONES

TIMEOUT_S: Final = 30.0


class Operator:
    """Runs the product's command line against a deployment."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.key = ''

    def configure(self) -> None:
        """Create members, teams, keys, a pool, instances and a service."""
        deployment = self.deployment
        names = [settings['entry_id'] for settings in deployment.settings]
        self.run('fleet', 'members', *names)
        for team, share in (('dealers', '2'), ('yards', '1')):
            self.run('team', 'set', team, '--share', share, '--limit', '24')
        deployment.key_a = self.give_key('dealers')
        deployment.key_b = self.give_key('yards')
        deployment.key_old = self.give_key('yards')
        self.run('pool', 'set', 'copper')
        for number, port in enumerate(deployment.upstream_ports):
            self.add_instance(number, port)
        with NamedTemporaryFile('w', suffix='.json') as file:
            file.write(encode_document(SERVICE))
            file.flush()
            self.run('service', 'apply', file.name)

    def give_key(self, team: str) -> str:
        """Make a key for a team and return its text."""
        return str(self.run('key', 'give', team)['key'])

    def add_instance(self, number: int, port: int) -> None:
        """Put an upstream in the pool."""
        self.run(
            'pool',
            'add-instance',
            f'yard-{number}',
            '--pool',
            'copper',
            '--zone',
            ZONES[number % len(ZONES)],
            '--rack',
            f'rack-{number}',
            '--address',
            f'127.0.0.1:{port}',
            '--slots',
            str(SLOTS),
        )

    def run(self, *words: str) -> Any:
        """Run one command and return its JSON output."""
        store = f'http://127.0.0.1:{self.deployment.store_port}'
        command = [sys.executable, '-m', 'primroseledge', *words]
        command += ['--store', store, '--output', 'json']
        result = run(
            command,
            capture_output=True,
            env={
                **environ,
                'PRIMROSELEDGE_ENTRIES': '',
                'PRIMROSELEDGE_OPERATOR_KEY': self.key,
            },
            timeout=TIMEOUT_S,
            check=False,
        )
        if result.returncode != 0:
            text = (result.stdout + result.stderr).decode()
            raise SystemExit(f'{" ".join(words)}: {text}')
        return json.decode(result.stdout) if result.stdout else None
