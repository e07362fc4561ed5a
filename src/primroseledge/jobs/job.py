"""A job in the owner's memory, and how it is stored and restored."""

from collections.abc import Iterator
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.jobs.progress import FINAL_STATES
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import restore_task
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey

DEFAULT_ESTIMATE_MS: Final = 1000
"""Duration in ms assumed for a task if its job gives no estimate."""


@dataclass(slots=True, eq=False)
class StepOccurrence:
    """A step within one occurrence of a job, with its tasks.

    ``due_at_ms`` is when the occurrence is due, in ms since 1970, or 0 if it
    may start immediately. ``done_count`` is the number of tasks that are done.
    ``had_turn`` is set while the step waits for others to be tried, see
    ``capacity_shortage``. ``rack_wait_began_at`` is since when it has found
    no room in a rack, see ``rack_spread``.
    """

    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task]
    due_at_ms: int = 0
    done_count: int = 0
    had_turn: bool = False
    rack_wait_began_at: float | None = None

    @property
    def is_done(self) -> bool:
        """Return whether all tasks of the step are done."""
        return self.done_count == len(self.tasks)


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job with its state and the steps of its opened occurrences.

    An occurrence is opened, which creates its tasks, once it is due.

    ``steps`` is keyed by occurrence and number of the step. ``stored_state``
    is the state in the newest record that the store has acknowledged, which
    was in the owner's batch ``stored_batch``, or 0 for an earlier owner's.
    ``has_started`` is set once a worker has begun a task, ``is_stored`` once
    the job's acceptance is stored. ``failure_reason`` says why it failed.
    """

    accepted: AcceptedJob
    state: JobState = JobState.QUEUED
    stored_state: JobState | None = None
    steps: dict[tuple[int, int], StepOccurrence] = field(default_factory=dict)
    has_started: bool = False
    is_stored: bool = False
    stored_batch: int = 0
    updated_ms: int = 0
    failure_reason: str = ''

    @property
    def is_final(self) -> bool:
        """Return whether the job is completed, failed or cancelled.

        No task of such a job is started any more.
        """
        return self.state in FINAL_STATES

    @property
    def reported_state(self) -> JobState:
        """Return the state of the job to report to callers.

        A final state is reported only after it is stored.
        """
        if self.stored_state in FINAL_STATES:
            return self.stored_state
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def record_stored(self, record: ProgressRecord, batch: int) -> None:
        """Note that a record of this job is stored, with an owner's batch.

        That of a later batch may have been stored before it.
        """
        self.is_stored = True
        if batch > self.stored_batch:
            self.stored_batch = batch
            self.stored_state = record.state

    def tasks(self) -> Iterator[Task]:
        """Iterate over the tasks of all opened occurrences."""
        for step in self.steps.values():
            yield from step.tasks

    def tasks_with_runs(self) -> Iterator[Task]:
        """Iterate over the tasks and copies that may be running."""
        for task in self.tasks():
            yield from task.tasks_with_runs()

    def open_due_steps(self, wall_ms: int) -> None:
        """Create the tasks of the occurrences that have become due."""
        spec = self.accepted.spec
        for occurrence in range(spec.occurrences):
            if (occurrence, 0) in self.steps:
                continue
            if spec.due_at_ms(occurrence) > wall_ms:
                return
            self.open_occurrence(occurrence)

    def open_occurrence(self, occurrence: int) -> None:
        """Create the steps of an occurrence with their tasks."""
        spec = self.accepted.spec
        for number, step in enumerate(spec.steps):
            tasks = [
                Task(TaskKey(self.accepted.id, occurrence, number, i), step)
                for i in range(step.count)
            ]
            due_at_ms = spec.due_at_ms(occurrence)
            self.steps[occurrence, number] = StepOccurrence(
                occurrence, number, step, tasks, due_at_ms
            )

    def ready_steps(self) -> Iterator[StepOccurrence]:
        """Iterate over the unfinished steps whose tasks may start.

        These are the steps whose preceding steps are all done.
        """
        for step in self.steps.values():
            if step.is_done:
                continue
            if all(
                self.steps[step.occurrence, preceding].is_done
                for preceding in step.spec.after
            ):
                yield step

    def waiting_steps(self) -> Iterator[StepOccurrence]:
        """Iterate over the steps that have tasks to start now."""
        if self.is_final:
            return
        for step in self.ready_steps():
            if any(task.is_waiting for task in step.tasks):
                yield step

    @property
    def is_done(self) -> bool:
        """Return whether every task of every occurrence is done."""
        spec = self.accepted.spec
        if len(self.steps) < spec.occurrences * len(spec.steps):
            return False
        return all(step.is_done for step in self.steps.values())

    @property
    def is_long_running(self) -> bool:
        """Return whether the job has a long-running step.

        The tasks of such a step run until the job is cancelled.
        """
        return any(step.is_long_running for step in self.accepted.spec.steps)

    def critical_path_ms(self, estimates_ms: Sequence[int]) -> int:
        """Return the estimated duration of the critical path, in ms.

        This is the longest chain of steps in which each waits for the
        previous one, within one occurrence. ``estimates_ms`` are the expected
        runtimes of the tasks of each step; 0 means that there is none.
        """
        ends_ms = list[int]()
        for step, estimate_ms in zip(
            self.accepted.spec.steps, estimates_ms, strict=True
        ):
            begin_ms = max((ends_ms[i] for i in step.after), default=0)
            ends_ms.append(begin_ms + (estimate_ms or DEFAULT_ESTIMATE_MS))
        return max(ends_ms)

    def to_record(self) -> ProgressRecord:
        """Return the record of the job's progress that is to be stored.

        It contains the tasks for which a run was ever planned. Once the job
        is final, it contains only those that may still be running.
        """
        tasks = tuple(
            task.to_record()
            for task in self.tasks()
            if task.last_run_number
            and (not self.is_final or task.run is not None)
        )
        return ProgressRecord(
            self.accepted.id,
            self.state,
            tasks,
            self.updated_ms,
            self.failure_reason,
            self.has_started,
        )


def shows_begin(record: TaskRecord) -> bool:
    """Return whether a stored task shows that a worker has begun it.

    Records of earlier versions don't say whether their job has started.
    """
    return bool(
        record.is_done
        or record.failures
        or record.checkpoint
        or record.is_bound
    )


def restore_job(
    accepted: AcceptedJob, progress: ProgressRecord | None, wall_ms: int
) -> Job:
    """Return a job restored from the records that a predecessor stored.

    Without ``progress`` the job is restored as queued. ``wall_ms`` is the
    wall-clock time in ms since 1970; the occurrences due by then are opened.
    """
    job = Job(accepted, is_stored=True)
    job.stored_state = JobState.QUEUED
    if progress is None:
        job.open_due_steps(wall_ms)
        return job
    job.state = progress.state
    job.stored_state = progress.state
    job.updated_ms = progress.updated_ms
    job.failure_reason = progress.failure_reason
    job.has_started = progress.has_started or any(
        map(shows_begin, progress.tasks)
    )
    for occurrence in sorted({task.occurrence for task in progress.tasks}):
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
