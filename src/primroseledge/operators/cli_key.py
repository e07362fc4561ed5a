"""Commands about keys of teams and operators."""

from click import argument
from click import echo
from click import group
from msgspec import json
from msgspec import to_builtins

from primroseledge.operators.changes import give_key
from primroseledge.operators.changes import require
from primroseledge.operators.changes import withdraw_key
from primroseledge.operators.console import Console
from primroseledge.operators.console import operator_command
from primroseledge.storage.documents import Team
from primroseledge.storage.keys import generate_key


@group()
def key() -> None:
    """Keys, given and withdrawn."""


@key.command()
@argument('team_id', metavar='TEAM')
@operator_command
def give(console: Console, team_id: str) -> None:
    """Make a key for a team and show it, this once."""
    text, record = generate_key()
    console.apply(
        lambda fleet: give_key(fleet, team_id, record),
        key_id=record.id,
        key=text,
    )


@key.command()
@argument('team_id', metavar='TEAM')
@argument('key_id', metavar='KEY_ID')
@operator_command
def withdraw(console: Console, team_id: str, key_id: str) -> None:
    """Withdraw a key; it stops working within seconds."""
    console.apply(lambda fleet: withdraw_key(fleet, team_id, key_id))


@key.command('list')
@argument('team_id', metavar='TEAM')
@operator_command
def list_(console: Console, team_id: str) -> None:
    """List the ids of a team's keys."""
    team = require(console.read_fleet(), Team, 'team', team_id)
    rows = [{'team': team.id, 'key_id': record.id} for record in team.keys]
    console.show_table(rows, 'team', 'key_id')


@key.command()
def operator() -> None:
    """Make an operator's key and its record for ``operator_keys``."""
    text, record = generate_key()
    made = {'key': text, 'operator_keys': [to_builtins(record)]}
    echo(json.encode(made).decode())
