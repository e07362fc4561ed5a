"""How many processors a service's jobs ask for, now and soon.

It answers demand that comes by turns, several times the mean for some
seconds and next to nothing in between: the rate at which work was handed
in lately tells what is going to run, and the work that waits for room
says how much more is needed to catch up.
"""

from dataclasses import dataclass
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.jobs.arrival_rate import Rate
from primroseledge.jobs.fleet_state import FleetState
from primroseledge.jobs.job import DEFAULT_ESTIMATE_MS
from primroseledge.jobs.spec import JobSpec

CATCH_UP_S: Final = 1.2
"""Work that waits is to be caught up with in this time."""

LOOKAHEAD_S: Final = 0.5
"""Jobs like those of the last second are expected for this long."""


@dataclass(slots=True)
class Demand:
    """Processors in use, and processor-seconds of work that waits."""

    used_cores: float = 0.0
    long_running_cores: float = 0.0
    waiting_work: float = 0.0

    def desired_cores(self, rate: Rate) -> float:
        """Return the processors asked for, with those of jobs to come.

        For long, no more can be at work than the rate of work keeps busy.
        """
        present = self.used_cores - self.long_running_cores
        present += self.waiting_work / CATCH_UP_S
        coming = min(
            present + rate.recent_initial_cores * LOOKAHEAD_S, rate.work
        )
        return self.long_running_cores + max(present, coming)


def work_of(spec: JobSpec) -> float:
    """Return a job's estimated work in processor-seconds."""
    return sum(
        step.count
        * step.counted_resources.cpu_millis
        * (step.estimate_ms or DEFAULT_ESTIMATE_MS)
        / 1_000_000
        for step in spec.steps
        if not step.is_long_running
    )


def initial_cores_of(spec: JobSpec) -> float:
    """Return the processors that a job's first steps take at once."""
    return sum(
        step.count * step.counted_resources.cpu_millis / 1000
        for step in spec.steps
        if not step.after and not step.is_long_running
    )


def measure_demand(state: FleetState) -> dict[ServiceId, Demand]:
    """Return what each service's jobs ask for now."""
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
            waiting = sum(1 for task in step.tasks if task.is_waiting)
            estimate_ms = step.spec.estimate_ms or DEFAULT_ESTIMATE_MS
            demand.waiting_work += (
                waiting
                * step.spec.counted_resources.cpu_millis
                * estimate_ms
                / 1e6
            )
    return demands
