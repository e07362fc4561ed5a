"""Runs whose worker fell silent for good, until it is known why."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.jobs.crash import Crash
from primroseledge.jobs.task import Task

VERDICT_WAIT_S: Final = 30.0
"""Time in s after which a worker that fell silent counts as gone for good.

A crashed worker is back after some seconds.
"""


class SuspectedRun(NamedTuple):
    """A task, and the crash to hold against it if its worker has crashed."""

    task: Task
    crash: Crash


@dataclass(slots=True)
class SilentLoss:
    """The runs of a worker whose lease expired while it was silent.

    Its address refused or broke off connections meanwhile. Another boot there
    shows that it has crashed, an answer of ``boot`` that it has not.
    ``lost_at`` is when the runs were given up.
    """

    boot: Boot
    lost_at: float
    runs: list[SuspectedRun] = field(default_factory=list)
