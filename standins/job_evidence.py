"""Evidence of a soak on the job path: what workers and callers saw.

Each process appends its own lines to a file, so that the lines before a
kill are kept. All times are those of ``boot_time``, which the processes of
one machine share.
"""

from enum import Enum
from os import O_APPEND
from os import O_CREAT
from os import O_WRONLY
from os import open as open_file
from os import write
from pathlib import Path
from typing import TypeVar

from msgspec import DecodeError
from msgspec import json
from msgspec import Struct

NOT_SENT = 'not sent'
"""The cause of a call that was not made, for want of a connection."""

CRASHED = 'crashed by a task'
"""Why a life ended of which a task was the cause."""

CRASH_S = (0.2, 3.0)
"""In seconds; for how long a worker is down that a task crashed."""

Line = TypeVar('Line', bound=Struct)


class EvidenceKind(Enum):
    """What a worker saw.

    A life is the time of a worker's boot. ``LIFE_ENDED`` is written for it
    when it crashes, is killed, leaves, or is moved or maintained. ``ACKED``
    says that the owner acknowledged an end; it isn't written if the lease
    ran out between the two. After ``DRAINING`` a life gets no new runs. An
    ``ENDED`` by an expired lease has the time at which it expired.
    ``CAPACITY`` states what a life has from then on.
    """

    LIFE_BEGAN = 'life_began'
    LIFE_ENDED = 'life_ended'
    DRAINING = 'draining'
    PAUSED = 'paused'
    RESUMED = 'resumed'
    STARTED = 'started'
    STOP_ORDERED = 'stop_ordered'
    ENDED = 'ended'
    ACKED = 'acked'
    REFUSED = 'refused'
    CAPACITY = 'capacity'


class WorkerEvidence(Struct, frozen=True):
    """One thing that a worker saw.

    ``task`` is the task's name on the wire, ``how`` how a run ended, why a
    start was refused or why a life ended. ``pool``, ``cpu_millis``,
    ``checks_room`` and ``labels`` are stated when a life begins.
    """

    at: float
    worker: str
    boot: int
    kind: EvidenceKind
    task: str = ''
    run: int = 0
    epoch: int = 0
    how: str = ''
    pool: str = ''
    cpu_millis: int = 0
    labels: tuple[str, ...] = ()
    checks_room: bool = True


class CallKind(Enum):
    """What a caller asked for."""

    SUBMIT = 'submit'
    CANCEL = 'cancel'
    STATE = 'state'


class Outcome(Enum):
    """What the answer to a call says.

    ``UNKNOWN`` stands for no answer, a broken connection, 502 and 504.
    ``MISSING`` says that there is no such job or queue.
    """

    DONE = 'done'
    REFUSED = 'refused'
    MISSING = 'missing'
    UNKNOWN = 'unknown'


class CallEvidence(Struct, frozen=True):
    """One call and its answer; ``state`` is the job's, if it was told.

    ``deadline_at`` is the time until which the caller waits, 0 if it isn't
    known. ``cause`` is the status, or why there is no answer.
    """

    sent_at: float
    ended_at: float
    entry: str
    job: str
    kind: CallKind
    outcome: Outcome
    state: str = ''
    deadline_at: float = 0.0
    cause: str = ''


class StepEvidence(Struct, frozen=True):
    """A step of a submitted job; ``after`` are numbers of earlier steps.

    ``label`` is one that a worker must have. The first ``failing_runs`` of
    a task fail, or all of them if it ``fails``. Each run of the task
    ``deadly_task`` crashes its worker after ``deadly_after_s``.
    """

    count: int
    cpu_millis: int
    seconds: float
    after: tuple[int, ...] = ()
    is_long_running: bool = False
    is_gang: bool = False
    fails: bool = False
    label: str = ''
    failing_runs: int = 0
    deadly_task: int = -1
    deadly_after_s: float = 0.0


class JobEvidence(Struct, frozen=True):
    """A job that a caller handed in, with what its tasks need.

    It is given up when a task has failed ``max_attempts`` times.
    """

    id: str
    pool: str
    workspace: str
    steps: tuple[StepEvidence, ...]
    max_attempts: int = 3


class FaultEvidence(Struct, frozen=True):
    """A fault from outside; ``subject`` names what it struck."""

    began_at: float
    ended_at: float
    name: str
    subject: str = ''


class EvidenceFile:
    """A file to which one process appends lines, each with one write."""

    def __init__(self, path: Path) -> None:
        self.fd = open_file(path, O_WRONLY | O_CREAT | O_APPEND)

    def append(self, line: Struct) -> None:
        """Append one line; it is kept even if the process is killed next."""
        write(self.fd, json.encode(line) + b'\n')


def read_evidence(path: Path, kind: type[Line]) -> list[Line]:
    """Return the lines of a file; one cut short by a kill is left out."""
    lines = list[Line]()
    for line in path.read_bytes().splitlines():
        try:
            lines.append(json.decode(line, type=kind))
        except DecodeError:
            continue
    return lines
