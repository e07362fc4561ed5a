"""Changes that are stored together."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import WorkerId
from primroseledge.jobs.actions import SendAnswer
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import Task
from primroseledge.maintenance.wave import WaveRecord


@dataclass(slots=True)
class Batch:
    """Changes to store together, and what follows once they are."""

    number: int
    accepted: list[AcceptedJob] = field(default_factory=list)
    progress: list[ProgressRecord] = field(default_factory=list)
    waves: list[WaveRecord] = field(default_factory=list)
    starts: list[Task] = field(default_factory=list)
    answers: list[SendAnswer] = field(default_factory=list)
    end_numbers: dict[WorkerId, int] = field(default_factory=dict)
    built_at: float = 0.0
