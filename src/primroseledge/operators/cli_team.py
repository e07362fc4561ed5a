"""Commands about teams."""

from click import argument
from click import group
from click import option

from primroseledge.fleet import Fleet
from primroseledge.operators.changes import delete_team
from primroseledge.operators.changes import require
from primroseledge.operators.changes import set_team
from primroseledge.operators.console import Console
from primroseledge.operators.console import operator_command
from primroseledge.operators.rendering import Row
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team


@group()
def team() -> None:
    """Teams, with share and limit."""


@team.command('set')
@argument('team_id', metavar='TEAM')
@option('--share', type=int, help='Weight among teams that wait.')
@option('--limit', type=int, help='Most running in the whole fleet.')
@operator_command
def set_(
    console: Console, team_id: str, share: int | None, limit: int | None
) -> None:
    """Create a team, or change its share or limit."""
    console.apply(lambda fleet: set_team(fleet, team_id, share, limit))


@team.command()
@argument('team_id', metavar='TEAM')
@operator_command
def delete(console: Console, team_id: str) -> None:
    """Delete a team that owns no service; its keys stop working."""
    console.apply(lambda fleet: delete_team(fleet, team_id))


@team.command()
@argument('team_id', metavar='TEAM')
@operator_command
def show(console: Console, team_id: str) -> None:
    """Show a team."""
    fleet = console.read_fleet()
    console.show(describe(fleet, require(fleet, Team, 'team', team_id)))


@team.command('list')
@operator_command
def list_(console: Console) -> None:
    """List all teams."""
    fleet = console.read_fleet()
    rows = [describe(fleet, item) for item in fleet.each(Team)]
    console.show_table(rows, 'team', 'share', 'limit', 'keys', 'services')


def describe(fleet: Fleet, item: Team) -> Row:
    """Return a team as a row."""
    return {
        'team': item.id,
        'share': item.share,
        'limit': item.limit,
        'keys': [record.id for record in item.keys],
        'services': [
            service.id
            for service in fleet.each(Service)
            if service.team == item.id
        ],
    }
