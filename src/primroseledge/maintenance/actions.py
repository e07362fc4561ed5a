"""Calls to the platform's instance service, and their results."""

from dataclasses import dataclass
from enum import Enum

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.scheduling.actions import Action


@dataclass(frozen=True, slots=True)
class ListInstances(Action):
    """A call that reads the platform's list of instances."""


@dataclass(frozen=True, slots=True)
class StartMaintenance(Action):
    """A call that takes an instance down for maintenance in a wave.

    All runs on the instance end.
    """

    instance: InstanceId
    wave: WaveNumber


@dataclass(frozen=True, slots=True)
class MoveInstance(Action):
    """A call that moves an instance to another pool.

    All runs on the instance end.
    """

    instance: InstanceId
    pool: ServiceId


class InstanceResult(Enum):
    """The result of a maintenance or move call.

    After ``UNANSWERED`` the call may have been carried out, or may still be
    carried out later.
    ``FENCED`` means that a newer owner has called the platform.
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
    """The platform's list of instances.

    ``sent_at`` is when the call was sent; later changes may be missing.
    """

    rows: tuple[InstanceRow, ...]
    sent_at: float


@dataclass(frozen=True, slots=True)
class ListFailed:
    """A failed call for the list of instances."""

    problem: str


@dataclass(frozen=True, slots=True)
class InstanceAnswered:
    """The result of a maintenance or move call, also if it got no answer."""

    call: StartMaintenance | MoveInstance
    result: InstanceResult
    received_at: float


InstanceCall = ListInstances | StartMaintenance | MoveInstance
InstanceReport = InstancesListed | ListFailed | InstanceAnswered
