"""Calls to the platform's service of instances, and their answers."""

from dataclasses import dataclass
from enum import Enum

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.jobs.actions import Action
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import WaveNumber


@dataclass(frozen=True, slots=True)
class ListInstances(Action):
    """Read the list of instances."""


@dataclass(frozen=True, slots=True)
class StartMaintenance(Action):
    """Take an instance down for its upkeep; all that runs on it ends."""

    instance: InstanceId
    wave: WaveNumber


@dataclass(frozen=True, slots=True)
class MoveInstance(Action):
    """Move an instance to another pool; all that runs on it ends."""

    instance: InstanceId
    pool: ServiceId


class InstanceResult(Enum):
    """What became of a call about an instance.

    After ``UNANSWERED`` it may have been carried out, also later.
    """

    DONE = 'done'
    BUSY = 'busy'
    FENCED = 'fenced'
    NOT_IN_WAVE = 'not_in_wave'
    NO_SUCH_INSTANCE = 'no_such_instance'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


@dataclass(frozen=True, slots=True)
class InstancesListed:
    """The list of instances, as read by a call sent then."""

    rows: tuple[InstanceRow, ...]
    sent_at: float


@dataclass(frozen=True, slots=True)
class ListFailed:
    """The list of instances could not be read."""

    problem: str


@dataclass(frozen=True, slots=True)
class InstanceAnswered:
    """How a call about an instance ended."""

    call: StartMaintenance | MoveInstance
    result: InstanceResult
    received_at: float


InstanceCall = ListInstances | StartMaintenance | MoveInstance
InstanceReport = InstancesListed | ListFailed | InstanceAnswered
