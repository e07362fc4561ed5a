"""Batches of changed records, of which one at a time is stored.

Starts of runs and answers to callers wait until the records that they depend
on are stored.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.dispatch.orders import send_start
from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.batch import Batch
from primroseledge.owner.record_packs import RecordId
from primroseledge.owner.record_packs import RecordKind
from primroseledge.owner.record_packs import RecordPacks
from primroseledge.owner.refused_calls import RefusedCalls
from primroseledge.owner.store_health import RETRY_AFTER_S
from primroseledge.owner.store_health import StoreHealth
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.fleet_state import FleetState

MAX_PACK_BYTES: Final = 150_000
"""Size of a batch's job records from which on no more are added, in bytes.

A link of 10 Mbit/s carries them in 0.2 s. One more job may be added below it;
the largest has 0.7 MB, and the store accepts values of 1 MB.
"""

MAX_REWRITTEN_BYTES: Final = MAX_PACK_BYTES // 4
"""Size of a batch's job records up to which unchanged ones are added."""

MAX_WAVES_PER_BATCH: Final = 5
"""Most waves per transaction; each takes two entries."""

MAX_REMOVALS_PER_BATCH: Final = 20
"""Most packs that a transaction removes.

The store accepts 32 entries in one; the ledger, a pack and waves take 12.
"""

URGENT_JOBS_IN_A_ROW: Final = 3
"""Number of urgent jobs in a batch before one that is not urgent."""

BATCH_LINGER_S: Final = 0.015
"""Delay after the first change, so that later ones share its transaction."""

SLOW_BATCH_S: Final = 0.15
"""Time to store a batch from which on the store counts as slow."""


@dataclass(slots=True)
class Outbox:
    """Builds an owner's batches and carries out the effects of stored ones.

    ``number`` is that of the last batch built. ``batch_in_flight`` is the
    batch that is being stored and is not confirmed yet. ``is_store_slow``
    says that the last batch took ``SLOW_BATCH_S`` or longer. ``packs`` are
    the stored records.
    """

    number: int = 0
    packs: RecordPacks = field(default_factory=RecordPacks)
    batch_in_flight: Batch | None = None
    store_health: StoreHealth = field(default_factory=StoreHealth)
    is_store_slow: bool = False

    def next_batch(
        self, state: FleetState, instances: InstanceList, now: float
    ) -> Batch | None:
        """Return the next batch to store, or ``None``.

        There is none while another is in flight, without changed records,
        and until the first change has waited for ``BATCH_LINGER_S``. If
        there are no changed records and no batch in flight, all handled run
        ends are marked as stored.
        """
        if not self.may_build_batch(state, now):
            return None
        if not state.dirty_jobs and not instances.dirty_waves:
            ack_all_ends(state)
            return None
        batch = self.build_batch(state, instances, now)
        self.batch_in_flight = batch
        return batch

    def may_build_batch(self, state: FleetState, now: float) -> bool:
        """Return whether changed records may go into a batch now.

        They may not while another batch is in flight, and until the first
        change has waited for ``BATCH_LINGER_S``.
        """
        if self.batch_in_flight is not None:
            return False
        since = state.dirty_since
        return since is None or now >= since + BATCH_LINGER_S

    def build_batch(
        self, state: FleetState, instances: InstanceList, now: float
    ) -> Batch:
        """Build a batch of changed waves and as many changed jobs as fit in.

        A planned start goes into the batch of its job. Workers may discard a
        run end once the batch with its job, and those of the ends before it,
        are stored.
        """
        self.number += 1
        key = self.packs.key_of(self.number)
        batch = Batch(self.number, key, built_at=now)
        for number in list(instances.dirty_waves)[:MAX_WAVES_PER_BATCH]:
            batch.waves.append(instances.wave_records[number])
            del instances.dirty_waves[number]
        rewritten = dict.fromkeys(self.packs.find_jobs_to_rewrite())
        for job_id in order_changed_jobs(state):
            if batch.pack.size >= MAX_PACK_BYTES:
                break
            del state.dirty_jobs[job_id]
            self.add_job(batch, state.jobs[job_id], job_id in rewritten)
            batch.answers.extend(state.pending_answers.pop(job_id, ()))
        self.rewrite_jobs(batch, state, rewritten)
        batch.replaced_packs = self.packs.take_replaced(MAX_REMOVALS_PER_BATCH)
        included = {record.id for record in batch.progress}
        batch.starts = [
            t for t in state.planned_tasks if t.key.job in included
        ]
        state.planned_tasks = [
            t for t in state.planned_tasks if t.key.job not in included
        ]
        if not state.dirty_jobs:
            state.dirty_since = None
        batch.end_numbers = pop_stored_ends(state)
        return batch

    def add_job(self, batch: Batch, job: Job, is_rewritten: bool) -> None:
        """Add a job to a batch, with its acceptance where that is needed.

        It is if it isn't stored yet, or only in the pack to be replaced.
        """
        job_id = job.accepted.id
        is_moved = is_rewritten and self.packs.is_accepted_in_oldest(job_id)
        batch.add_job(job, not job.is_stored or is_moved)

    def rewrite_jobs(
        self, batch: Batch, state: FleetState, jobs: Iterable[JobId]
    ) -> None:
        """Add stored jobs to a batch as they are, if there is room for them.

        A job that is not restored from its records leaves the packs.
        """
        included = {record.id for record in batch.progress}
        for job_id in jobs:
            if batch.pack.size >= MAX_REWRITTEN_BYTES:
                return
            job = state.jobs.get(job_id)
            if job is None:
                for kind in RecordKind:
                    self.packs.drop(RecordId(kind, job_id))
            elif job_id not in included and job_id not in state.dirty_jobs:
                self.add_job(batch, job, True)

    def complete_batch(self, state: FleetState, now: float) -> None:
        """Carry out the effects of the batch that is now stored.

        Its jobs count as stored, workers may discard the run ends up to
        its ``end_numbers``, callers get their answers, and its starts are
        sent unless they were withdrawn meanwhile.
        """
        batch = self.batch_in_flight
        if batch is None:
            return
        self.batch_in_flight = None
        self.store_health.stored_batch_sent_at = batch.built_at
        if batch.progress:
            self.packs.add(batch.pack_key, batch.pack.sizes)
        self.log_slow_store(state, now - batch.built_at)
        for record in batch.progress:
            job = state.jobs.get(record.id)
            if job is not None:
                job.is_stored = True
                job.stored_state = record.state
        for (worker_id, boot), number in batch.end_numbers.items():
            worker = state.workers.get(worker_id)
            if worker is None or worker.entry.boot != boot:
                continue
            if worker.handled_end_number >= number:
                worker.stored_end_number = max(
                    worker.stored_end_number, number
                )
                state.workers_to_check.add(worker_id)
        state.actions.extend(batch.answers)
        for task in batch.starts:
            run = task.run
            if run is not None and run.phase is RunPhase.PLANNED:
                send_start(state, task, now)

    def log_slow_store(self, state: FleetState, took_s: float) -> None:
        """Log when batches begin to take long, and when they no longer do.

        ``took_s`` is how long the last batch took, in seconds.
        """
        is_slow = took_s >= SLOW_BATCH_S
        if is_slow == self.is_store_slow:
            return
        self.is_store_slow = is_slow
        log(
            Event.STORE_SLOW if is_slow else Event.STORE_FAST_AGAIN,
            seconds=round(took_s, 3),
            changed=len(state.dirty_jobs),
        )

    def refuse_unstored_jobs(
        self, state: FleetState, refused: RefusedCalls, now: float
    ) -> None:
        """Refuse new jobs while the store fails.

        Only jobs that are in no batch are refused, as the store certainly
        does not have them and they can never run.
        """
        batch = self.batch_in_flight
        built_at = batch.built_at if batch else None
        if not self.store_health.is_failing(built_at, now):
            return
        in_flight = {record.id for record in batch.accepted} if batch else ()
        for job_id in list(state.pending_answers):
            job = state.jobs[job_id]
            if job.is_stored or job_id in in_flight:
                continue
            refuse_job(state, refused, job, now)


def order_changed_jobs(state: FleetState) -> list[JobId]:
    """Return the changed jobs in the order in which to store them.

    When the store is slow, not all fit in a batch. First come those for which
    something waits: a caller, a start, or the report of a final state. One of
    the others follows on every ``URGENT_JOBS_IN_A_ROW`` of them, so that
    workers can discard the ends of their runs.
    """
    with_starts = {task.key.job for task in state.planned_tasks}
    urgent = list[JobId]()
    others = collections.deque[JobId]()
    for job_id in state.dirty_jobs:
        job = state.jobs[job_id]
        is_urgent = (
            job_id in with_starts
            or job_id in state.pending_answers
            or (job.is_final and job.stored_state is not job.state)
        )
        (urgent if is_urgent else others).append(job_id)
    ordered = list[JobId]()
    for number, job_id in enumerate(urgent, 1):
        ordered.append(job_id)
        if others and number % URGENT_JOBS_IN_A_ROW == 0:
            ordered.append(others.popleft())
    return [*ordered, *others]


def pop_stored_ends(state: FleetState) -> dict[tuple[WorkerId, Boot], int]:
    """Return the last end of each worker's boot that is stored with a batch.

    To be called when the batch is built. An end is stored with it if neither
    its own job nor that of an earlier end of the worker is left to store, and
    if none of these jobs' ends are held.
    """
    stored = dict[tuple[WorkerId, Boot], int]()
    for worker_id, ends in list(state.unstored_ends.items()):
        worker = state.workers.get(worker_id)
        while ends and is_effect_final(state, ends[0].job):
            number = ends.popleft().number
            if worker is not None:
                stored[worker_id, worker.entry.boot] = number
        if not ends:
            del state.unstored_ends[worker_id]
    return stored


def is_effect_final(state: FleetState, job: JobId) -> bool:
    """Return whether ends of a job may be acknowledged once it is stored.

    They may not while the job's record is still to be put into a batch, or
    while a start of a task that is done may be delivered.
    """
    return job not in state.dirty_jobs and not state.are_ends_held(job)


def ack_all_ends(state: FleetState) -> None:
    """Mark handled run ends as stored, so that workers may discard them.

    To be called when no record is changed and no batch in flight: all
    effects of the ends are stored then, and some ends had none. Only ends
    that are held are left.
    """
    for (worker_id, _), number in pop_stored_ends(state).items():
        worker = state.workers.get(worker_id)
        if worker is not None:
            worker.stored_end_number = number
            state.workers_to_check.add(worker_id)


def refuse_job(
    state: FleetState, refused: RefusedCalls, job: Job, now: float
) -> None:
    """Refuse a job that is in no batch, and remove it.

    Its planned starts are discarded, and its callers are asked to retry
    after ``RETRY_AFTER_S``.
    """
    job_id = job.accepted.id
    log(Event.JOB_REFUSED, job=job_id, reason='the store does not answer')
    for task in job.tasks():
        discard_planned_start(state, task, now)
    job.state = JobState.CANCELLED
    for reply in state.pending_answers.pop(job_id, ()):
        refusal = Answer(
            Verdict.REFUSED, retry_after_s=RETRY_AFTER_S, reason='store'
        )
        state.actions.append(refused.refuse(reply.call, job_id, refusal, now))
    state.dirty_jobs.pop(job_id, None)
    state.active_jobs.pop(job_id, None)
    del state.jobs[job_id]


def discard_planned_start(state: FleetState, task: Task, now: float) -> None:
    """Discard a task's planned start, which was never stored or sent."""
    if task in state.planned_tasks:
        state.planned_tasks.remove(task)
    state.finish_run(task, now)
