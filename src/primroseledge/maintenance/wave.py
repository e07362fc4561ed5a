"""Waves of upkeep that operators ask for, and the list of instances."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from msgspec import Struct

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId

WaveNumber = NewType('WaveNumber', int)


class InstanceState(Enum):
    """What the platform says of an instance."""

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in_upkeep'
    DOWN = 'down'


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """A line of the platform's list of instances.

    ``worker`` is its present life, if it has one.
    """

    id: InstanceId
    pool: ServiceId
    state: InstanceState
    worker: WorkerId | None
    rack: str = ''


@dataclass(frozen=True, slots=True)
class Wave:
    """Each of these instances is to have its upkeep in time."""

    number: WaveNumber
    instances: tuple[InstanceId, ...]
    duration_s: float
    max_in_maintenance: int


class WaveState(Enum):
    """What operators are told of a wave."""

    RUNNING = 'running'
    COMPLETED = 'completed'


class WaveRecord(Struct, frozen=True, array_like=True):
    """How far a wave has come.

    ``started_instances`` have begun their upkeep.
    """

    number: WaveNumber
    state: WaveState
    started_instances: tuple[InstanceId, ...] = ()
    started_ms: int = 0
