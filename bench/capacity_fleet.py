"""Documents of a fleet of any size, for the capacity measurements."""

from typing import Final

from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.requests.messages import AnyMessage
from primroseledge.requests.messages import ConfigChange
from primroseledge.requests.messages import ConfigDelta
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.storage.documents import Document
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import KeyRecord
from primroseledge.storage.documents import Members
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team

ME: Final = EntryId('entry-0')
RUN: Final = Incarnation(1_764_000_000_000)
SHARD_SIZE: Final = 121
ZONES: Final = 27
PER_RACK: Final = 4
KEYS_PER_TEAM: Final = 2


def instance(number: int, pools: int = 118) -> Instance:
    """Return one instance of the fleet."""
    zone = f'zone-{number % ZONES}'
    return Instance(
        id=f'worker-{number}',
        pool=f'pool-{number % pools}',
        zone=zone,
        rack=f'{zone}-rack-{number // ZONES // PER_RACK}',
        address=f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}:8080',
        cores=64,
        memory_mb=262_144,
        accelerators=2,
    )


def shard(number: int, size: int = SHARD_SIZE, pools: int = 118) -> Placement:
    """Return one placement shard."""
    first = number * size
    members = (instance(first + offset, pools) for offset in range(size))
    return Placement(f's{number}', {item.id: item for item in members})


def shards(
    instances: int, size: int = SHARD_SIZE, pools: int = 118
) -> list[tuple[str, Document]]:
    """Return the placement shards of so many instances."""
    count = (instances + size - 1) // size
    return [
        ('placement', shard(number, size, pools)) for number in range(count)
    ]


def team(number: int) -> Team:
    """Return a team with its keys."""
    records = tuple(
        KeyRecord(f'k{number}-{key}', f'{number:032x}', f'{key:064x}')
        for key in range(KEYS_PER_TEAM)
    )
    return Team(f'team-{number}', share=1 + number % 5, limit=64, keys=records)


def documents(
    instances: int, pools: int, teams: int, entries: tuple[str, ...] = ()
) -> list[tuple[str, Document]]:
    """Return all documents of a fleet, with one service for each pool."""
    found: list[tuple[str, Document]] = [('members', Members('all', entries))]
    found += [('pool', Pool(f'pool-{number}')) for number in range(pools)]
    found += [('team', team(number)) for number in range(teams)]
    found += [
        (
            'service',
            Service(f'service-{number}', f'team-{number % teams}', name),
        )
        for number, name in enumerate(f'pool-{n}' for n in range(pools))
    ]
    return found + shards(instances, pools=pools)


def delta(
    items: list[tuple[str, Document]], after: int = 0, is_whole: bool = False
) -> ConfigDelta:
    """Return documents as the changes after a revision."""
    changes = tuple(
        ConfigChange(
            document_key(kind, str(getattr(document, 'id', ''))),
            encode_document(document),
            Revision(after + number),
        )
        for number, (kind, document) in enumerate(items, 1)
    )
    return ConfigDelta(
        Revision(after), Revision(after + len(items)), changes, is_whole
    )


def wire_bytes(message: AnyMessage) -> int:
    """Return the length of a message between entry instances."""
    return len(encode(Envelope(PROTOCOL_VERSION, ME, RUN, message)))
