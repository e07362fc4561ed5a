"""How far each team's part of the running work is from its share."""

from collections.abc import Mapping
from collections.abc import Set

from primroseledge.ids import TeamId
from primroseledge.storage.documents import Team


def measure_distances(
    running: Mapping[TeamId, int],
    waiting: Set[TeamId],
    teams: Mapping[TeamId, Team],
) -> dict[TeamId, float]:
    """Return each team's distance from its share, 0 to 1.

    Shares count only while work waits, and among the teams that run or
    wait; a team that wants no more than it has is at its share when it
    is below it, and one at its limit can get no more.
    """
    active = {
        team for team in teams if team in waiting or running.get(team, 0) > 0
    }
    total = sum(running.get(team, 0) for team in active)
    if not waiting or not total:
        return dict.fromkeys(active, 0.0)
    shares = sum(teams[team].share for team in active)
    distances: dict[TeamId, float] = {}
    for team in active:
        has = running.get(team, 0)
        short = teams[team].share / shares - has / total
        is_content = team not in waiting or has >= teams[team].limit
        is_excused = is_content and short > 0
        distances[team] = 0.0 if is_excused else abs(short)
    return distances
