"""Maintenance waves that operators request, and rows of the instance list."""

from dataclasses import dataclass
from enum import Enum
from typing import NewType

from msgspec import Struct

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import ZoneId

WaveNumber = NewType('WaveNumber', int)


class InstanceState(Enum):
    """The state of an instance, as the platform lists it.

    ``UNKNOWN`` stands for any other: the instance exists, and is not used.
    """

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in_upkeep'
    DOWN = 'down'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class InstanceRow:
    """A row of the platform's list of instances.

    ``worker`` is the worker that runs on the instance now, if there is one.
    """

    id: InstanceId
    pool: ServiceId
    state: InstanceState
    worker: WorkerId | None
    rack: str = ''
    zone: ZoneId = ZoneId('')


@dataclass(frozen=True, slots=True)
class Wave:
    """An operator's request for maintenance of the given instances.

    The fleet's owner carries it out by calls to the platform, while
    ``policy.plan.Wave`` is the rollout of an image by reboots over one pool.

    At most ``max_in_maintenance`` may be drained or down at once, and all are
    to be done ``duration_s`` seconds after the wave started.
    """

    number: WaveNumber
    instances: tuple[InstanceId, ...]
    duration_s: float
    max_in_maintenance: int


class WaveState(Enum):
    """The state of a wave, as it is reported to operators."""

    RUNNING = 'running'
    COMPLETED = 'completed'


class WaveRecord(Struct, frozen=True, array_like=True):
    """The stored progress of a wave.

    ``started_instances`` have started maintenance. ``started_ms`` is the
    wall-clock time, in ms since 1970, at which the wave started.
    """

    number: WaveNumber
    state: WaveState
    started_instances: tuple[InstanceId, ...] = ()
    started_ms: int = 0
