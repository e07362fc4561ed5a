"""Which entry instances exchange heartbeats when there are many.

Up to ``FLAT_LIMIT`` all do. Beyond, they form a tree of groups: each
exchanges heartbeats with its group, and each group's first entry with
a group of such entries one level up. Entries are grouped in the order
that is given, so that order by region and zone keeps groups near.
"""

from typing import Final

from primroseledge.ids import EntryId

FLAT_LIMIT: Final = 16
GROUP_SIZE: Final = 8


def heartbeat_peers(
    me: EntryId, entries: tuple[EntryId, ...]
) -> frozenset[EntryId]:
    """Return with whom an entry instance exchanges heartbeats."""
    if len(entries) <= FLAT_LIMIT:
        return frozenset(entries) - {me}
    peers: set[EntryId] = set()
    level = entries
    while me in level and len(level) > 1:
        start = level.index(me) // GROUP_SIZE * GROUP_SIZE
        peers.update(level[start : start + GROUP_SIZE])
        level = level[::GROUP_SIZE]
    return frozenset(peers) - {me}
