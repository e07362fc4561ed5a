"""A job as the owner holds it."""

from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.jobs.progress import FINAL_STATES
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import restore_task
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey

DEFAULT_ESTIMATE_MS: Final = 1000


@dataclass(slots=True, eq=False)
class StepOccurrence:
    """One step in one occurrence of a job."""

    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task]
    due_at_ms: int = 0
    done_count: int = 0

    @property
    def is_done(self) -> bool:
        """Tell whether all its tasks are done."""
        return self.done_count == len(self.tasks)


@dataclass(slots=True, eq=False)
class Job:
    """A job, its tasks and what is to be stored of it.

    ``stored_state`` is what callers may be told: the state in the last
    record that the store has acknowledged.
    """

    accepted: AcceptedJob
    state: JobState = JobState.QUEUED
    stored_state: JobState | None = None
    steps: dict[tuple[int, int], StepOccurrence] = field(default_factory=dict)
    has_started: bool = False
    is_stored: bool = False
    updated_ms: int = 0

    @property
    def is_final(self) -> bool:
        """Tell whether nothing of it is to be started any more."""
        return self.state in FINAL_STATES

    @property
    def reported_state(self) -> JobState:
        """Return what callers are told of it."""
        if self.stored_state in FINAL_STATES:
            return self.stored_state
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def tasks(self) -> Iterator[Task]:
        """Yield all tasks of steps that were opened."""
        for step in self.steps.values():
            yield from step.tasks

    def open_due_steps(self, wall_ms: int) -> None:
        """Open the steps of occurrences that have become due."""
        spec = self.accepted.spec
        for occurrence in range(spec.occurrences):
            if (occurrence, 0) in self.steps:
                continue
            if spec.due_at_ms(occurrence) > wall_ms:
                return
            self.open_occurrence(occurrence)

    def open_occurrence(self, occurrence: int) -> None:
        """Open all steps of an occurrence."""
        spec = self.accepted.spec
        for number, step in enumerate(spec.steps):
            tasks = [
                Task(TaskKey(self.accepted.id, occurrence, number, i), step)
                for i in range(step.count)
            ]
            due_ms = spec.due_at_ms(occurrence)
            self.steps[occurrence, number] = StepOccurrence(
                occurrence, number, step, tasks, due_ms
            )

    def ready_steps(self) -> Iterator[StepOccurrence]:
        """Yield the steps whose earlier steps are done and that are not."""
        for step in self.steps.values():
            if step.is_done:
                continue
            if all(
                self.steps[step.occurrence, earlier].is_done
                for earlier in step.spec.after
            ):
                yield step

    @property
    def is_done(self) -> bool:
        """Tell whether every task of every occurrence is done."""
        spec = self.accepted.spec
        if len(self.steps) < spec.occurrences * len(spec.steps):
            return False
        return all(step.is_done for step in self.steps.values())

    @property
    def is_long_running(self) -> bool:
        """Tell whether a step of it runs until it is cancelled."""
        return any(s.is_long_running for s in self.accepted.spec.steps)

    def critical_path_ms(self) -> int:
        """Return the estimated time of its longest chain of steps."""
        ends = list[int]()
        for step in self.accepted.spec.steps:
            begin = max((ends[i] for i in step.after), default=0)
            ends.append(begin + (step.estimate_ms or DEFAULT_ESTIMATE_MS))
        return max(ends)

    def to_record(self) -> ProgressRecord:
        """Return what is to be stored of it."""
        tasks = tuple(
            task.to_record()
            for task in self.tasks()
            if task.last_run_number
            and (not self.is_final or task.run is not None)
        )
        return ProgressRecord(
            self.accepted.id, self.state, tasks, self.updated_ms
        )


def restore_job(
    accepted: AcceptedJob, progress: ProgressRecord | None, wall_ms: int
) -> Job:
    """Return a job as a predecessor stored it."""
    job = Job(accepted, is_stored=True)
    job.stored_state = JobState.QUEUED
    if progress is None:
        job.open_due_steps(wall_ms)
        return job
    job.state = progress.state
    job.stored_state = progress.state
    job.updated_ms = progress.updated_ms
    job.has_started = bool(progress.tasks)
    for occurrence in sorted({r.occurrence for r in progress.tasks}):
        job.open_occurrence(occurrence)
    for record in progress.tasks:
        step = job.steps[record.occurrence, record.step]
        key = TaskKey(
            accepted.id, record.occurrence, record.step, record.number
        )
        step.tasks[record.number] = restore_task(key, step.spec, record)
        step.done_count += record.is_done
    if not job.is_final:
        job.open_due_steps(wall_ms)
    return job
