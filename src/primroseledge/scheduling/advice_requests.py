"""Choose the workers about which the advisory service is asked.

A request names only workers on which the rules of the step and the free
capacity would let a task start now. A ticket for any other worker would not
lead to a start: it would expire and be requested again, while the service is
never asked about the workers that matter.
"""

from collections.abc import Sequence
from typing import Final

from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.task import Task
from primroseledge.scheduling.advice import step_key
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.gang_placement import place_gang
from primroseledge.scheduling.gang_placement import spread_gang
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.placement import is_allowed
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.rack_spread import may_leave_rack
from primroseledge.scheduling.rack_spread import without_rack_rule
from primroseledge.workers.worker import Worker

MAX_WORKERS_PER_REQUEST: Final = 12
"""Largest number of workers that one request names."""

EXTRA_WORKERS_PER_REQUEST: Final = 2
"""Workers named in a request beyond those that are needed.

The service may disallow some of the workers; without extra ones the tasks
would need another request.
"""


def divide_by_tickets(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
    now: float,
) -> tuple[list[Worker], list[Worker]]:
    """Return the workers for which a step holds a ticket, and unasked ones.

    Tickets that expired don't count: their workers are to be asked about
    again. Workers that the service has disallowed are in neither list.
    """
    key = step_key(job.accepted.id, step)
    advice = state.advice
    ticketed = list[Worker]()
    unasked = list[Worker]()
    for worker in workers:
        if advice.ticket_for(key, worker, now) is not None:
            ticketed.append(worker)
        elif not advice.is_disallowed(key, worker):
            unasked.append(worker)
    return ticketed, unasked


def allowable_workers(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
) -> Sequence[Worker]:
    """Return the workers that the service has not disallowed for a step."""
    key = step_key(job.accepted.id, step)
    advice = state.advice
    if key not in advice.steps:
        return workers
    return [
        worker for worker in workers if not advice.is_disallowed(key, worker)
    ]


def step_pool(
    state: FleetState, job: Job, step: StepOccurrence
) -> Sequence[Worker]:
    """Return the workers of a job's service that may run a step at some time.

    Those that can't be given tasks now are among them, but not those that are
    to be emptied or that the advisory service has disallowed.
    """
    service = state.service_of(job)
    members = [
        worker
        for worker in state.workers.values()
        if worker.entry.service == service
        and worker.is_listed
        and not worker.is_zone_evacuated
    ]
    return allowable_workers(state, job, step, members)


def workers_for_tasks(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
    missing: Sequence[Task],
    now: float,
) -> list[Worker]:
    """Return the workers to ask about that could take one of some tasks.

    ``missing`` are the tasks that found no worker with a ticket, ``workers``
    those that may get new tasks. Workers on which all of the tasks failed come
    last. Of the others, those that were allowed before come first: they are
    certain, and a task starts there once the ticket is renewed.
    """
    advice = state.advice
    key = step_key(job.accepted.id, step)
    spec = step.spec
    placement = count_placement(step, state.workers)
    if spec.needs_single_rack and may_leave_rack(
        step, step_pool(state, job, step), placement, now
    ):
        spec = without_rack_rule(spec)

    def rank(worker: Worker) -> tuple[bool, bool, int]:
        have_failed = all(worker.id in task.failed_workers for task in missing)
        was_allowed = advice.was_allowed(key, worker)
        # A task starts again on a worker where it failed only under
        # conditions: the others without an answer are not to wait for it.
        is_later = was_allowed if have_failed else not was_allowed
        return (have_failed, is_later, -worker.free_capacity.cpu_millis)

    candidates = [
        worker
        for worker in workers
        if advice.is_unasked(key, worker, now)
        and worker.has_capacity_for(spec.counted_resources)
        and is_allowed(spec, worker, placement)
    ]
    named_count = len(missing) + EXTRA_WORKERS_PER_REQUEST
    return sorted(candidates, key=rank)[:named_count]


def workers_for_gang(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
    now: float,
) -> list[Worker]:
    """Return the workers to ask about that could take a gang together.

    There are none if the gang would find no room even if each worker were
    allowed that is not known not to be. Others of the same racks are extra.
    """
    advice = state.advice
    key = step_key(job.accepted.id, step)
    spec = step.spec
    possible = allowable_workers(state, job, step, workers)
    chosen = place_gang(spec, possible)
    if chosen is None and spec.needs_single_rack:
        pool = step_pool(state, job, step)
        chosen = spread_gang(step, possible, pool, now)
    if chosen is None:
        return []
    needed = {worker.id: worker for worker in chosen}
    racks = {worker.rack for worker in chosen}
    nowhere = StepPlacement()
    extra = [
        worker
        for worker in possible
        if worker.rack in racks
        and worker.id not in needed
        and worker.has_capacity_for(spec.counted_resources)
        and is_allowed(spec, worker, nowhere)
    ]
    named, others = (
        [worker for worker in group if advice.is_unasked(key, worker, now)]
        for group in (needed.values(), extra)
    )
    if named:
        named += others[:EXTRA_WORKERS_PER_REQUEST]
    return named


def request_advice(
    state: FleetState,
    job: Job,
    step: StepOccurrence,
    workers: Sequence[Worker],
    now: float,
) -> None:
    """Add a request about the first of some workers, if one may be sent."""
    key = step_key(job.accepted.id, step)
    if workers and state.advice.may_request(key, now):
        named = workers[:MAX_WORKERS_PER_REQUEST]
        state.actions.append(state.advice.begin_request(key, named))
