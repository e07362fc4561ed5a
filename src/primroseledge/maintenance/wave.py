"""Waves of upkeep that operators ask for, and the list of instances."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId

WaveNumber = NewType('WaveNumber', int)


class InstanceState(Enum):
    """What the platform says of an instance."""

    UP = 'up'
    MOVING = 'moving'
    IN_UPKEEP = 'in_upkeep'
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


@dataclass(frozen=True, slots=True)
class Wave:
    """Each of these instances is to have its upkeep in time."""

    number: WaveNumber
    instances: tuple[InstanceId, ...]
    duration_s: float
    max_down: int


class WaveState(Enum):
    """What operators are told of a wave."""

    RUNNING = 'running'
    COMPLETED = 'completed'


@dataclass(frozen=True, slots=True)
class WaveStatus:
    """A wave's state as it is stored for operators."""

    wave: WaveNumber
    state: WaveState
