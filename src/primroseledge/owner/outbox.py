"""Batches of changed records, of which some may be in flight at a time.

Starts of runs and answers to callers wait until the records that they depend
on are stored. A slow store takes as many transactions a second as ever, so
batches don't wait for each other. Each is in a lane of its own, and records of
later batches replace those of earlier ones, whichever is stored first.
"""

import collections
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final

from primroseledge.dispatch.orders import send_start
from primroseledge.ids import JobId
from primroseledge.ids import LaneId
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.task import RunPhase
from primroseledge.jobs.task import Task
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.batch import Batch
from primroseledge.owner.batch import LANE_COUNT
from primroseledge.owner.batch import PlannedStart
from primroseledge.owner.record_packs import RecordId
from primroseledge.owner.record_packs import RecordKind
from primroseledge.owner.record_packs import RecordPacks
from primroseledge.owner.refused_calls import RefusedCalls
from primroseledge.owner.store_health import RETRY_AFTER_S
from primroseledge.owner.store_health import StoreHealth
from primroseledge.owner.stored_ends import ack_all_ends
from primroseledge.owner.stored_ends import ack_ends
from primroseledge.owner.stored_ends import pop_stored_ends
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.fleet_state import FleetState

MAX_PACK_BYTES: Final = 150_000
"""Size of a batch's job records from which on no more are added, in bytes.

A link of 10 Mbit/s carries them in 0.2 s. One more job may be added below it;
the largest has 0.7 MB, and the store accepts values of 1 MB.
"""

MAX_BYTES_IN_FLIGHT: Final = 2 * MAX_PACK_BYTES
"""Size of the job records in flight from which on no batch is built.

Transactions that share a link delay each other, and none may take 1 s.
"""

MAX_REWRITTEN_BYTES: Final = MAX_PACK_BYTES // 4
"""Size of the unchanged records from which on no more are added, in bytes."""

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

    ``number`` is that of the last batch built, ``last_built_at`` its time.
    ``in_flight`` are the batches that are being stored and not confirmed yet,
    by their numbers. ``unacked`` are the last batches, from the first that is
    in flight on. ``store_s`` is how long the last stored one took, and
    ``is_store_slow`` says that it was ``SLOW_BATCH_S`` or longer. ``packs``
    are the stored records.
    """

    number: int = 0
    last_built_at: float = -inf
    packs: RecordPacks = field(default_factory=RecordPacks)
    in_flight: dict[int, Batch] = field(default_factory=dict)
    unacked: collections.deque[Batch] = field(
        default_factory=collections.deque
    )
    store_s: float = 0.0
    store_health: StoreHealth = field(default_factory=StoreHealth)
    is_store_slow: bool = False

    def next_batch(
        self, state: FleetState, instances: InstanceList, now: float
    ) -> Batch | None:
        """Return the next batch to store, or ``None``.

        There is none without changed records, and while none may be built.
        Beside others in flight there is only one for which something waits.
        If there are no changed records and no batch in flight, all handled
        run ends are marked as stored.
        """
        if not self.may_build_batch(state, now):
            return None
        if self.in_flight:
            if not has_urgent_change(state):
                return None
        elif not state.dirty_jobs and not instances.dirty_waves:
            ack_all_ends(state)
            return None
        batch = self.build_batch(state, instances, now)
        self.in_flight[batch.number] = batch
        self.unacked.append(batch)
        return batch

    def may_build_batch(self, state: FleetState, now: float) -> bool:
        """Return whether changed records may go into a batch now.

        They may not while a batch is in flight in each lane or
        ``MAX_BYTES_IN_FLIGHT`` are, and until the first change has waited for
        ``BATCH_LINGER_S``. Batches are spread over the time that the store
        takes for one.
        """
        if len(self.in_flight) >= LANE_COUNT:
            return False
        sizes = (batch.pack.size for batch in self.in_flight.values())
        if sum(sizes) >= MAX_BYTES_IN_FLIGHT:
            return False
        if self.in_flight:
            oldest_s = now - next(iter(self.in_flight.values())).built_at
            spacing_s = max(self.store_s, oldest_s) / LANE_COUNT
            if now < self.last_built_at + spacing_s:
                return False
        if state.is_planning_cut:
            # Other starts wait until those that are planned are in a batch.
            return True
        since = state.dirty_since
        return since is None or now >= since + BATCH_LINGER_S

    def free_lane(self) -> LaneId:
        """Return the first lane without a batch in flight."""
        used = {batch.lane for batch in self.in_flight.values()}
        lanes = map(LaneId, range(LANE_COUNT))
        return next(lane for lane in lanes if lane not in used)

    def build_batch(
        self, state: FleetState, instances: InstanceList, now: float
    ) -> Batch:
        """Build a batch of changed waves and as many changed jobs as fit in.

        A planned start goes into the batch of its job. Workers may discard a
        run end once the batch with its job, and those of the ends before it,
        are stored. A wave has one key, so that its records can't be in two
        batches in flight.
        """
        self.number += 1
        self.last_built_at = now
        key = self.packs.key_of(self.number)
        batch = Batch(self.number, key, self.free_lane(), built_at=now)
        others = self.in_flight.values()
        if not any(other.waves for other in others):
            for number in list(instances.dirty_waves)[:MAX_WAVES_PER_BATCH]:
                batch.waves.append(instances.wave_records[number])
                del instances.dirty_waves[number]
        rewritten = dict[RecordId, None]()
        if not any(other.has_rewritten_jobs for other in others):
            rewritten = dict.fromkeys(
                self.packs.find_records_to_rewrite(MAX_REWRITTEN_BYTES)
            )
        for job_id in order_changed_jobs(state):
            if batch.pack.size >= MAX_PACK_BYTES:
                break
            del state.dirty_jobs[job_id]
            add_job(batch, state.jobs[job_id], rewritten)
            batch.answers.extend(state.pending_answers.pop(job_id, ()))
        self.rewrite_jobs(batch, state, rewritten)
        batch.has_rewritten_jobs = bool(rewritten)
        batch.replaced_packs = self.packs.take_replaced(MAX_REMOVALS_PER_BATCH)
        included = {record.id for record in batch.progress}
        batch.starts = [
            PlannedStart(task, task.run.number)
            for task in state.planned_tasks
            if task.key.job in included and task.run is not None
        ]
        state.planned_tasks = [
            t for t in state.planned_tasks if t.key.job not in included
        ]
        if not state.dirty_jobs:
            state.dirty_since = None
        batch.end_numbers = pop_stored_ends(state)
        return batch

    def rewrite_jobs(
        self, batch: Batch, state: FleetState, rewritten: Collection[RecordId]
    ) -> None:
        """Add the jobs of some records to a batch as they are.

        A job that is not restored from its records leaves the packs.
        """
        included = {record.id for record in batch.progress}
        for job_id in dict.fromkeys(record.job for record in rewritten):
            job = state.jobs.get(job_id)
            if job is None:
                for kind in RecordKind:
                    self.packs.drop(RecordId(kind, job_id))
            elif job_id not in included and job_id not in state.dirty_jobs:
                add_job(batch, job, rewritten)

    def complete_batch(
        self, number: int, state: FleetState, now: float
    ) -> None:
        """Carry out the effects of the batch that is now stored.

        Its jobs count as stored, callers get their answers, and its starts
        are sent unless they were withdrawn meanwhile. Workers may discard the
        run ends up to the ``end_numbers`` of it and of the batches before it,
        as far as all of these are stored.
        """
        batch = self.in_flight.pop(number, None)
        if batch is None:
            return
        batch.is_stored = True
        health = self.store_health
        health.stored_batch_sent_at = max(
            health.stored_batch_sent_at, batch.built_at
        )
        health.last_stored_at = now
        if batch.progress:
            self.packs.add(batch.pack_key, batch.pack.sizes)
        self.store_s = now - batch.built_at
        self.log_slow_store(state)
        for record in batch.progress:
            job = state.jobs.get(record.id)
            if job is not None:
                job.record_stored(record, number)
        while self.unacked and self.unacked[0].is_stored:
            ack_ends(state, self.unacked.popleft())
        state.actions.extend(batch.answers)
        for task, run_number in batch.starts:
            run = task.run
            if run is None or run.number != run_number:
                continue
            if run.phase is RunPhase.PLANNED:
                send_start(state, task, now)

    def log_slow_store(self, state: FleetState) -> None:
        """Log when batches begin to take long, and when they no longer do."""
        is_slow = self.store_s >= SLOW_BATCH_S
        if is_slow == self.is_store_slow:
            return
        self.is_store_slow = is_slow
        log(
            Event.STORE_SLOW if is_slow else Event.STORE_FAST_AGAIN,
            seconds=round(self.store_s, 3),
            changed=len(state.dirty_jobs),
        )

    def refuse_unstored_jobs(
        self, state: FleetState, refused: RefusedCalls, now: float
    ) -> None:
        """Refuse new jobs while the store fails.

        Only jobs that are in no batch are refused, as the store certainly
        does not have them and they can never run.
        """
        batches = self.in_flight.values()
        built_at = min((batch.built_at for batch in batches), default=None)
        if not self.store_health.is_failing(built_at, now):
            return
        in_flight = {job.id for batch in batches for job in batch.accepted}
        for job_id in list(state.pending_answers):
            job = state.jobs[job_id]
            if job.is_stored or job_id in in_flight:
                continue
            refuse_job(state, refused, job, now)


def add_job(batch: Batch, job: Job, rewritten: Collection[RecordId]) -> None:
    """Add a job to a batch, with its acceptance where that is needed.

    It is if it isn't stored yet, or if it is to be stored again.
    """
    accepted = RecordId(RecordKind.ACCEPTED, job.accepted.id)
    batch.add_job(job, not job.is_stored or accepted in rewritten)


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
        has_start = job_id in with_starts
        is_first = has_start or is_awaited(state, job_id)
        (urgent if is_first else others).append(job_id)
    ordered = list[JobId]()
    for number, job_id in enumerate(urgent, 1):
        ordered.append(job_id)
        if others and number % URGENT_JOBS_IN_A_ROW == 0:
            ordered.append(others.popleft())
    return [*ordered, *others]


def is_awaited(state: FleetState, job_id: JobId) -> bool:
    """Return whether a job's record is to be stored for a caller.

    One waits for an answer, or may be told the job's final state after that.
    """
    job = state.jobs[job_id]
    return job_id in state.pending_answers or (
        job.is_final and job.stored_state is not job.state
    )


def has_urgent_change(state: FleetState) -> bool:
    """Return whether something waits for one of the changed records.

    That is a planned start, a caller, or the report of a final state.
    """
    return bool(state.planned_tasks) or any(
        is_awaited(state, job_id) for job_id in state.dirty_jobs
    )


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
