"""The records that the owner writes to the store in one transaction."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final
from typing import NamedTuple

from primroseledge.ids import Boot
from primroseledge.ids import LaneId
from primroseledge.ids import PackKey
from primroseledge.ids import WorkerId
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import Task
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.owner.record_packs import PackBuilder
from primroseledge.scheduling.actions import SendAnswer

FIRST_LANE: Final = LaneId(0)

LANE_COUNT: Final = 4
"""Most batches in flight, one in each lane.

A takeover writes the ledgers of all lanes in one transaction of 32 entries.
"""


class PlannedStart(NamedTuple):
    """A run to start once its record is stored, by its task and number."""

    task: Task
    run_number: int


@dataclass(slots=True)
class Batch:
    """Records to store in one transaction, and the effects that wait for it.

    ``accepted``, ``progress`` and ``waves`` are the records; those of jobs
    are stored as one value, ``pack``, under ``pack_key``. The same transaction
    removes the ``replaced_packs``. Once it is made, ``is_stored`` is set, the
    ``starts`` are sent to their workers and ``answers`` to the callers. Once
    the batches before it are stored too, each worker may discard the run ends
    that it has kept up to its number in ``end_numbers``, if it is still in the
    same boot. ``has_rewritten_jobs`` says that it has unchanged jobs of the
    oldest packs, so that these can be removed. Transactions of one ``lane``
    follow each other. ``built_at`` is on the owner's monotonic clock, in
    seconds.
    """

    number: int
    pack_key: PackKey = PackKey('')
    lane: LaneId = FIRST_LANE
    accepted: list[AcceptedJob] = field(default_factory=list)
    progress: list[ProgressRecord] = field(default_factory=list)
    pack: PackBuilder = field(default_factory=PackBuilder)
    replaced_packs: tuple[PackKey, ...] = ()
    has_rewritten_jobs: bool = False
    waves: list[WaveRecord] = field(default_factory=list)
    starts: list[PlannedStart] = field(default_factory=list)
    answers: list[SendAnswer] = field(default_factory=list)
    end_numbers: dict[tuple[WorkerId, Boot], int] = field(default_factory=dict)
    built_at: float = 0.0
    is_stored: bool = False

    def add_job(self, job: Job, with_accepted: bool) -> None:
        """Add the record of a job's progress, and that of its acceptance."""
        if with_accepted:
            self.accepted.append(job.accepted)
            self.pack.add_accepted(job.accepted)
        record = job.to_record()
        self.progress.append(record)
        self.pack.add_progress(record)
