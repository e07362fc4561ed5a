"""Measure what planning a start costs, by fleet size and by waiting tasks.

Run as ``python -m bench.planning_cost``; it prints JSON. One pool of workers,
a tenth of whose cores is free, plans the starts of jobs of eight tasks.
"""

from json import dumps
import logging
from time import perf_counter
from typing import Final

from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.job import Job
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import AcceptedJob
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.planning import plan_service
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState

WORKER_COUNTS: Final = (30, 100, 300, 1_000)
WAITING_COUNTS: Final = (100, 1_000, 10_000)
TASKS_PER_JOB: Final = 8
CORES_PER_WORKER: Final = 16
PASSES: Final = 5
NOW: Final = 100.0

SERVICE: Final = ServiceId('copper')
QUEUE: Final = QueueId('sheets')


def make_state(worker_count: int, waiting_count: int) -> FleetState:
    """Return a fleet with waiting tasks and few free cores on each worker."""
    queue = Queue(QUEUE, 'host', '/sheets/', SERVICE, chain_factor=1.6)
    configuration = Configuration(
        1, {QUEUE: queue}, {SERVICE: Service(SERVICE)}, {}
    )
    state = FleetState(configuration, NOW)
    for number in range(worker_count):
        worker = make_worker(number)
        state.workers[worker.id] = worker
    for number in range(waiting_count // TASKS_PER_JOB):
        job = make_job(number)
        state.jobs[job.accepted.id] = job
        state.active_jobs[job.accepted.id] = job
        state.request_planning(job)
    return state


def make_worker(number: int) -> Worker:
    """Return a worker that answers polls, with a tenth of its cores free."""
    entry = WorkerEntry(
        WorkerId(f'worker-{number}'),
        Boot(1),
        SERVICE,
        'host:1',
        ZoneId('north'),
        WorkerState.READY,
        Resources(CORES_PER_WORKER * 1_000, CORES_PER_WORKER * 4_096, 0),
        ('a', f'rack-{number // 8}'),
    )
    worker = Worker(entry)
    worker.has_answered_poll = True
    worker.lease_clock.record_clock(1, NOW)
    worker.used_capacity = Resources(CORES_PER_WORKER * 900, 0, 0)
    return worker


def make_job(number: int) -> Job:
    """Return a job whose tasks all wait."""
    step = StepSpec(
        count=TASKS_PER_JOB,
        resources=Resources(500, 100, 0),
        estimate_ms=1_000,
    )
    accepted = AcceptedJob(
        id=JobId(f'{number:016x}'),
        queue=QUEUE,
        workspace=WorkspaceId('sales'),
        accepted_ms=int(NOW * 1_000) + number,
        spec=JobSpec(payload='', steps=(step,)),
    )
    job = Job(accepted)
    job.open_due_steps(0)
    return job


def measure(worker_count: int, waiting_count: int) -> dict[str, float]:
    """Return the least time of a pass, and per planned start, in us."""
    passes = list[tuple[float, int]]()
    for _ in range(PASSES):
        state = make_state(worker_count, waiting_count)
        began = perf_counter()
        plan_service(state, SERVICE, NOW)
        took_s = perf_counter() - began
        passes.append((took_s, len(state.planned_tasks)))
    took_s, starts = min(passes)
    return {
        'starts': starts,
        'pass_us': round(took_s * 1e6),
        'start_us': round(took_s * 1e6 / max(1, starts), 1),
    }


def main() -> None:
    """Print the figures for all sizes as JSON."""
    logging.disable(logging.CRITICAL)
    result = {
        f'{workers} workers, {waiting} waiting': measure(workers, waiting)
        for workers in WORKER_COUNTS
        for waiting in WAITING_COUNTS
    }
    print(dumps(result, indent=1))


if __name__ == '__main__':
    main()
