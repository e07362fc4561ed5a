"""The owner's decisions, as a state machine without input or output.

The engine neither uses the network nor reads a clock: callers pass the time
and the events in. ``Engine.reconcile`` is called after events; it plans,
polls workers, and returns the actions to carry out and the batch to store.
Times are on the monotonic clock, in seconds.
"""

from math import inf
from typing import Final

from primroseledge.dispatch.job_ends import end_job
from primroseledge.dispatch.job_ends import fail_exhausted_jobs
from primroseledge.dispatch.orders import handle_start_answer
from primroseledge.dispatch.orders import handle_stop_answer
from primroseledge.dispatch.polls import handle_poll_answer
from primroseledge.dispatch.polls import handle_poll_failure
from primroseledge.dispatch.polls import poll_workers
from primroseledge.dispatch.throttling import handle_throttle_answer
from primroseledge.dispatch.throttling import throttle_workers
from primroseledge.dispatch.withdrawals import withdraw_kept_starts
from primroseledge.dispatch.worker_list import apply_worker_entries
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.job import Job
from primroseledge.jobs.progress import JobState
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import InstancesListed
from primroseledge.maintenance.actions import ListFailed
from primroseledge.maintenance.actions import MoveInstance
from primroseledge.maintenance.actions import StartMaintenance
from primroseledge.maintenance.drained_workers import apply_instance_list
from primroseledge.maintenance.drained_workers import keep_living_worker
from primroseledge.maintenance.evacuation import evacuate_leaving_workers
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.list_refresh import refresh_list
from primroseledge.maintenance.pool_moves import handle_move_answer
from primroseledge.maintenance.pools import size_pools
from primroseledge.maintenance.rolling_maintenance import advance_waves
from primroseledge.maintenance.rolling_maintenance import handle_wave_answer
from primroseledge.maintenance.zone_evacuation import apply_evacuated_zones
from primroseledge.maintenance.zone_evacuation import check_evacuations
from primroseledge.maintenance.zone_evacuation import EvacuationProgress
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.owner.batch import Batch
from primroseledge.owner.cancelled_jobs import record_cancelled_job
from primroseledge.owner.outbox import Outbox
from primroseledge.owner.refused_calls import RefusedCalls
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import CancelJob
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import PollFailed
from primroseledge.scheduling.actions import SendAnswer
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import SendStop
from primroseledge.scheduling.actions import SubmitJob
from primroseledge.scheduling.actions import Verdict
from primroseledge.scheduling.admission import find_refusal
from primroseledge.scheduling.advice import AdviceAnswered
from primroseledge.scheduling.advice import AdviceFailed
from primroseledge.scheduling.demand import record_arrival
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.planning import plan_services
from primroseledge.scheduling.speculation import plan_copies
from primroseledge.scheduling.timing import Timing
from primroseledge.scheduling.wait_report import WaitReport
from primroseledge.workers.worker import WorkerEntry

REPLAN_INTERVAL_S: Final = 0.2
SWEEP_INTERVAL_S: Final = 0.015
"""Least time between two passes over all jobs and instances.

Events arrive much more often on a large fleet. The interval is shorter than
the tick of the loop, so that an idle owner sweeps with each tick.
"""


class Engine:
    """Makes the decisions of the owner about jobs, workers and instances.

    ``is_fenced`` becomes true once a worker or the platform has refused a
    call because a newer owner has called it; the ownership is lost then.
    ``handover_started_at`` is when a handover to another instance began, or
    ``None``; nothing new is planned during it.
    """

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.outbox = Outbox()
        self.instance_list = InstanceList()
        self.refused_calls = RefusedCalls()
        self.wait_report = WaitReport()
        self.evacuation_progress = EvacuationProgress()
        self.is_fenced = False
        self.handover_started_at: float | None = None
        self.swept_at = -inf

    def apply_configuration(self, configuration: Configuration) -> None:
        """Replace the configuration and plan all services again."""
        self.swept_at = -inf
        self.state.configuration = configuration
        self.state.recount_share_usage()
        self.state.request_planning_of_all()

    def apply_evacuated_zones(
        self, zones: frozenset[ZoneId], now: float
    ) -> None:
        """Replace the set of zones in which nothing may be started."""
        apply_evacuated_zones(self.state, self.evacuation_progress, zones, now)
        withdraw_kept_starts(self.state, now)

    def submit(self, event: SubmitJob, now: float) -> None:
        """Accept or refuse a submitted job, and answer the caller.

        Idempotent: submitting a known job again only answers again. A job
        that was cancelled before it was submitted is answered with
        ``NO_SUCH_JOB``. A submission that began before a refusal of the job
        was told is refused too.
        """
        state = self.state
        job_id = event.job.id
        job = state.jobs.get(job_id)
        if job is None:
            refusal = self.refused_calls.find_refusal(event, now)
            if refusal is None:
                refusal = find_refusal(state, event.job)
            if refusal is not None:
                log(Event.JOB_REFUSED, job=job_id, reason=refusal.reason)
                state.actions.append(
                    self.refused_calls.refuse(event.call, job_id, refusal, now)
                )
                return
            job = Job(event.job, updated_ms=state.wall_ms(now))
            job.open_due_steps(state.wall_ms(now))
            log(
                Event.JOB_ACCEPTED,
                job=job_id,
                workspace=event.job.workspace,
                queue=event.job.queue,
                tasks=sum(step.count for step in event.job.spec.steps),
                revision=state.configuration.version,
            )
            state.jobs[job_id] = job
            state.active_jobs[job_id] = job
            state.mark_dirty(job, now)
            state.request_planning(job)
            record_arrival(state, job, now)
        self.answer_when_stored(event, job)

    def cancel(self, event: CancelJob, now: float) -> None:
        """Cancel a job, and answer the caller once that is stored.

        For an unknown job a record is kept, so that it does not run if its
        submission arrives later.
        """
        state = self.state
        job = state.jobs.get(event.job)
        if job is None:
            job = record_cancelled_job(state, event, now)
        if not job.is_final:
            end_job(state, job, JobState.CANCELLED, now)
        self.answer_when_stored(event, job)

    def answer_when_stored(
        self, event: SubmitJob | CancelJob, job: Job
    ) -> None:
        """Answer the caller once the job's state is in the store.

        If it is stored already, the answer is sent at once; otherwise the
        job is written with the next batch, and the answer follows that. An
        answered submission only needs the job stored, an answered
        cancellation also its present state. A job that was cancelled before
        it was submitted is answered with ``NO_SUCH_JOB``.
        """
        state = self.state
        is_cancel = isinstance(event, CancelJob)
        answer = Answer(Verdict.DONE)
        if not job.accepted.spec.steps:
            reason = '' if is_cancel else 'cancelled before'
            answer = Answer(Verdict.NO_SUCH_JOB, reason=reason)
        reply = SendAnswer(event.call, answer)
        is_state_stored = job.stored_state is job.state or not is_cancel
        if job.is_stored and is_state_stored:
            state.actions.append(reply)
            return
        state.pending_answers.setdefault(job.accepted.id, []).append(reply)
        self.state.dirty_jobs.setdefault(job.accepted.id, None)

    def find_state(self, job_id: JobId) -> Answer:
        """Return the answer to a caller that asks for a job's state.

        A final state is reported only once it is stored. The answer for a job
        that is not stored yet, or was cancelled before it was submitted, is
        ``NO_SUCH_JOB``.
        """
        job = self.state.jobs.get(job_id)
        if job is None or not job.is_stored or not job.accepted.spec.steps:
            return Answer(Verdict.NO_SUCH_JOB)
        state = job.reported_state
        reason = job.failure_reason if state is JobState.FAILED else ''
        return Answer(Verdict.DONE, state=state, reason=reason)

    def count_pending(self, queue: QueueId) -> Answer:
        """Return the answer with the number of a queue's pending jobs.

        A job is pending when it is stored and none of its tasks has started.
        """
        count = sum(
            1
            for job in self.state.active_jobs.values()
            if job.accepted.queue == queue
            and job.is_stored
            and not job.has_started
        )
        return Answer(Verdict.DONE, pending=count)

    def apply_worker_entries(
        self,
        entries: list[WorkerEntry],
        now: float,
        listed_at: float | None = None,
    ) -> None:
        """Update the known workers from a newly read list of workers.

        ``listed_at`` is when the read began, or None if that was now.
        """
        self.swept_at = -inf
        begun_at = now if listed_at is None else listed_at
        apply_worker_entries(self.state, entries, now, begun_at)
        withdraw_kept_starts(self.state, now)

    def handle_poll_answer(self, answer: PollAnswered, now: float) -> None:
        """Apply the runs and run ends that a worker's poll answer lists."""
        handle_poll_answer(self.state, answer, now)
        keep_living_worker(self.state, self.instance_list, answer)

    def handle_poll_failure(self, failure: PollFailed, now: float) -> None:
        """Record a failed poll of a worker.

        If the worker refused it because a newer owner has called, the engine
        is marked as fenced.
        """
        self.is_fenced |= failure.result is OrderResult.FENCED
        handle_poll_failure(self.state, failure, now)

    def handle_order_ended(self, answer: OrderEnded, now: float) -> None:
        """Act on the result of an order (a start, a stop or a throttle).

        The worker's clock is read from polls alone: an answer to an order
        does not say which boot of the worker it comes from.
        """
        self.is_fenced |= answer.result is OrderResult.FENCED
        if isinstance(answer.order, SendStart):
            handle_start_answer(self.state, answer, now)
        elif isinstance(answer.order, SendStop):
            handle_stop_answer(self.state, answer, now)
        else:
            handle_throttle_answer(self.state, answer)

    def handle_advice_answer(
        self, answer: AdviceAnswered | AdviceFailed, now: float
    ) -> None:
        """Record the advisory service's answer about a step; plan again."""
        state = self.state
        if isinstance(answer, AdviceFailed):
            log(Event.ADVICE_FAILED, problem=answer.problem)
        state.advice.handle_answer(answer, now)
        state.services_to_plan.update(state.configuration.services)

    def handle_instance_report(
        self, report: InstanceReport, now: float
    ) -> None:
        """Act on the platform's answer to a list, maintenance or move call."""
        instances = self.instance_list
        self.swept_at = -inf
        if isinstance(report, InstancesListed):
            apply_instance_list(self.state, instances, report)
        elif isinstance(report, ListFailed):
            instances.is_list_in_flight = False
            log(Event.LIST_FAILED, problem=report.problem)
        else:
            instances.calls_in_flight -= 1
            self.is_fenced |= report.result is InstanceResult.FENCED
            handle_wave_answer(self.state, instances, report, now)
            handle_move_answer(self.state, instances, report)

    def handle_batch_stored(self, number: int, now: float) -> None:
        """Carry out the effects that waited for the batch now stored."""
        self.outbox.complete_batch(number, self.state, now)

    def reconcile(self, now: float) -> tuple[list[Action], Batch | None]:
        """Plan work and poll workers; return actions and a batch to store.

        The caller carries the actions out. The batch is ``None`` while
        another is in flight, or if there is nothing to store yet. During a
        handover nothing is planned.
        """
        state = self.state
        if self.handover_started_at is None:
            self.plan(now)
        throttle_workers(state, now)
        self.outbox.refuse_unstored_jobs(state, self.refused_calls, now)
        batch = self.outbox.next_batch(state, self.instance_list, now)
        poll_workers(state, now)
        actions = state.actions
        state.actions = []
        self.instance_list.calls_in_flight += sum(
            isinstance(a, StartMaintenance | MoveInstance) for a in actions
        )
        return actions, batch

    def plan(self, now: float) -> None:
        """Plan starts of tasks, maintenance and moves of instances."""
        state = self.state
        if now >= self.swept_at + SWEEP_INTERVAL_S:
            self.swept_at = now
            self.sweep(now)
        if now >= state.replanned_at + REPLAN_INTERVAL_S:
            # The end of a worker's cooldown or quarantine is no event, so
            # all services are planned again from time to time.
            state.replanned_at = now
            state.services_to_plan.update(state.configuration.services)
        if self.outbox.may_build_batch(state, now):
            # A start that is planned earlier waits for the same batch.
            unplaced = plan_services(state, now)
            fail_exhausted_jobs(state, now)
            plan_copies(state, unplaced, now)
        self.wait_report.report(state, now)

    def sweep(self, now: float) -> None:
        """Do what depends on time alone, for all jobs and instances."""
        state = self.state
        state.open_due_occurrences(now)
        advance_waves(state, self.instance_list, now)
        size_pools(state, self.instance_list, now)
        evacuate_leaving_workers(state, now)
        check_evacuations(
            state, self.instance_list, self.evacuation_progress, now
        )
        refresh_list(state, self.instance_list, now)

    def poll_only(self, now: float) -> list[Action]:
        """Poll workers to renew their leases; start, stop and store nothing.

        Used while the owner may send no orders because its own lease is about
        to expire or has just expired, but may still be renewed. All other
        actions are kept for the next ``reconcile``.
        """
        state = self.state
        kept = state.actions
        state.actions = []
        poll_workers(state, now)
        polls: list[Action] = [
            a for a in state.actions if isinstance(a, SendPoll)
        ]
        state.actions = kept
        return polls


def create_engine(
    configuration: Configuration,
    now: float,
    wall_offset_s: float,
    timing: Timing | None = None,
) -> Engine:
    """Return an engine without jobs and workers, for a new owner.

    ``now`` is on the monotonic clock; ``wall_offset_s`` added to it gives
    the wall-clock time in seconds since 1970.
    """
    state = FleetState(
        configuration,
        now,
        timing or Timing(),
        wall_offset_s=wall_offset_s,
    )
    return Engine(state)
