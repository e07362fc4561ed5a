"""The records that the owner writes to the store in one transaction."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import Boot
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import Task
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.scheduling.actions import SendAnswer


@dataclass(slots=True)
class Batch:
    """Records to store in one transaction, and the effects that wait for it.

    ``accepted``, ``progress`` and ``waves`` are the records. Once they are
    stored, the runs of ``starts`` are sent to their workers, ``answers`` to
    the callers, and each worker may discard the run ends that it has kept
    up to its number in ``end_numbers``, if it is still in the same boot.
    ``built_at`` is on the owner's monotonic clock, in seconds.
    """

    number: int
    accepted: list[AcceptedJob] = field(default_factory=list)
    progress: list[ProgressRecord] = field(default_factory=list)
    waves: list[WaveRecord] = field(default_factory=list)
    starts: list[Task] = field(default_factory=list)
    answers: list[SendAnswer] = field(default_factory=list)
    end_numbers: dict[tuple[WorkerId, Boot], int] = field(default_factory=dict)
    built_at: float = 0.0
