"""The records that the owner writes to the store in one transaction."""

from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import Boot
from primroseledge.ids import PackKey
from primroseledge.ids import WorkerId
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.task import Task
from primroseledge.maintenance.wave import WaveRecord
from primroseledge.owner.record_packs import PackBuilder
from primroseledge.scheduling.actions import SendAnswer


@dataclass(slots=True)
class Batch:
    """Records to store in one transaction, and the effects that wait for it.

    ``accepted``, ``progress`` and ``waves`` are the records; those of jobs
    are stored as one value, ``pack``, under ``pack_key``. The same transaction
    removes the ``replaced_packs``. Once it is made, the runs of ``starts`` are
    sent to their workers, ``answers`` to the callers, and each worker may
    discard the run ends that it has kept up to its number in ``end_numbers``,
    if it is still in the same boot. ``built_at`` is on the owner's monotonic
    clock, in seconds.
    """

    number: int
    pack_key: PackKey = PackKey('')
    accepted: list[AcceptedJob] = field(default_factory=list)
    progress: list[ProgressRecord] = field(default_factory=list)
    pack: PackBuilder = field(default_factory=PackBuilder)
    replaced_packs: tuple[PackKey, ...] = ()
    waves: list[WaveRecord] = field(default_factory=list)
    starts: list[Task] = field(default_factory=list)
    answers: list[SendAnswer] = field(default_factory=list)
    end_numbers: dict[tuple[WorkerId, Boot], int] = field(default_factory=dict)
    built_at: float = 0.0

    def add_job(self, job: Job, with_accepted: bool) -> None:
        """Add the record of a job's progress, and that of its acceptance."""
        if with_accepted:
            self.accepted.append(job.accepted)
            self.pack.add_accepted(job.accepted)
        record = job.to_record()
        self.progress.append(record)
        self.pack.add_progress(record)
