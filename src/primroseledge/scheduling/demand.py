"""Estimate how many processors a service's jobs need now and soon.

Demand comes in bursts: several times the mean for some seconds, and almost
nothing in between. The rate at which work was submitted recently predicts
what is going to run, and the work that waits for free capacity shows how many
more processors are needed to catch up.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.job import DEFAULT_ESTIMATE_MS
from primroseledge.jobs.job import Job
from primroseledge.jobs.spec import JobSpec
from primroseledge.scheduling.arrival_rate import Arrival
from primroseledge.scheduling.arrival_rate import ArrivalRate
from primroseledge.scheduling.arrival_rate import Rate
from primroseledge.scheduling.fleet_state import FleetState

CATCH_UP_S: Final = 1.2
"""Time in s within which the work that waits now is to be completed."""


@dataclass(slots=True)
class Demand:
    """The processors that one service's jobs use, and their waiting work.

    ``used_cores`` is the number of processors in use, ``long_running_cores``
    the part of them that long-running tasks use. ``waiting_core_s`` is the
    estimated work of the waiting tasks in processor-seconds.
    """

    used_cores: float = 0.0
    long_running_cores: float = 0.0
    waiting_core_s: float = 0.0

    def desired_cores(self, rate: Rate, lookahead_s: float) -> float:
        """Return how many processors the service needs now and soon.

        ``rate`` is the rate at which work arrives at it. The jobs expected
        within ``lookahead_s`` are included, as an instance that is moved now
        helps only after that time; they are expected at the rate of the last
        second. They are included up to ``rate.cores``, as
        work that arrives at this rate cannot keep more processors busy for
        long.
        """
        current_cores = self.used_cores - self.long_running_cores
        current_cores += self.waiting_core_s / CATCH_UP_S
        forecast_cores = min(
            current_cores + rate.recent_initial_cores * lookahead_s, rate.cores
        )
        return self.long_running_cores + max(current_cores, forecast_cores)


def estimated_core_s(spec: JobSpec, estimates_ms: Sequence[int]) -> float:
    """Return a job's estimated work in processor-seconds.

    ``estimates_ms`` are the expected runtimes of the tasks of each step.
    Long-running steps are left out, as they have no end to estimate.
    """
    return sum(
        step.count
        * step.counted_resources.cpu_millis
        * (estimate_ms or DEFAULT_ESTIMATE_MS)
        / 1_000_000
        for step, estimate_ms in zip(spec.steps, estimates_ms, strict=True)
        if not step.is_long_running
    )


def initial_cores_of(spec: JobSpec) -> float:
    """Return how many processors a job's first steps use together.

    First steps are those that come after no other; long-running ones are
    left out.
    """
    return sum(
        step.count * step.counted_resources.cpu_millis / 1000
        for step in spec.steps
        if not step.after and not step.is_long_running
    )


def record_arrival(state: FleetState, job: Job, now: float) -> None:
    """Add a new job's estimated work to its service's arrival rate.

    Pools are sized by this rate and by the work that waits.
    """
    service = state.service_of(job)
    estimates_ms = state.runtimes.estimates_ms(job.accepted, now)
    core_s = estimated_core_s(job.accepted.spec, estimates_ms)
    if service is not None and core_s:
        rate = state.arrival_rates.setdefault(service, ArrivalRate())
        rate.add(Arrival(now, core_s, initial_cores_of(job.accepted.spec)))


def measure_demand(state: FleetState, now: float) -> dict[ServiceId, Demand]:
    """Return the present demand of each configured service.

    A task with a run counts for the service of its worker, a waiting task
    for the service of its job's queue.
    """
    demands = {service: Demand() for service in state.configuration.services}
    for worker in state.workers.values():
        demand = demands.get(worker.entry.service)
        if demand is None:
            continue
        demand.used_cores += worker.used_capacity.cpu_millis / 1000
        demand.long_running_cores += sum(
            task.spec.counted_resources.cpu_millis / 1000
            for task in worker.tasks.values()
            if task.spec.is_long_running
        )
    for job in state.active_jobs.values():
        service = state.service_of(job)
        demand = demands.get(service) if service is not None else None
        if demand is None:
            continue
        for step in job.ready_steps():
            waiting_count = sum(1 for task in step.tasks if task.is_waiting)
            if not waiting_count:
                continue
            estimate_ms = state.runtimes.estimate_ms(
                step.spec, job.accepted, now
            )
            demand.waiting_core_s += (
                waiting_count
                * step.spec.counted_resources.cpu_millis
                * (estimate_ms or DEFAULT_ESTIMATE_MS)
                / 1e6
            )
    return demands
