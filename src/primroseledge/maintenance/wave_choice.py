"""Choose the instances of a wave whose maintenance may start now."""

from typing import Final

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.maintenance.instance_list import InstanceList
from primroseledge.maintenance.wave import InstanceState
from primroseledge.scheduling.fleet_state import FleetState

MAX_UNAVAILABLE_SHARE: Final = 0.4
"""Share of a pool that may be drained or down at once; at least one instance.

It does not apply to the standby pool, nor to a wave that is short of time.
"""


def choose_instances(
    state: FleetState,
    instances: InstanceList,
    remaining: list[InstanceId],
    limit: int,
    is_urgent: bool,
) -> list[InstanceId]:
    """Return up to ``limit`` instances whose maintenance may start now.

    Those of evacuated zones come first, then those with the least load. An
    instance is left out while its pool has a backlog or too many instances
    that are drained or down. This does not apply to the standby pool, to
    evacuated zones, which serve nothing, nor if the wave is urgent.
    """
    backlog = services_with_backlog(state)
    chosen = list[InstanceId]()
    evacuated = {
        row.id
        for row in instances.rows.values()
        if row.zone in state.evacuated_zones
    }
    unavailable = count_unavailable(instances, evacuated)

    def rank(instance: InstanceId) -> tuple[bool, tuple[int, int]]:
        tasks = count_tasks_by_kind(state, instances, instance)
        return (instance not in evacuated, tasks)

    for instance in sorted(remaining, key=rank):
        row = instances.rows[instance]
        if (
            instance in instances.operations
            or row.state is not InstanceState.UP
        ):
            continue
        service = state.configuration.services.get(row.pool)
        is_standby = service is not None and service.is_standby
        size = sum(
            other.pool == row.pool and other.id not in evacuated
            for other in instances.rows.values()
        )
        max_unavailable = max(1, int(size * MAX_UNAVAILABLE_SHARE))
        is_blocked = (
            unavailable.get(row.pool, 0) >= max_unavailable
            or row.pool in backlog
        )
        is_in_use = not is_standby and instance not in evacuated
        if is_blocked and is_in_use and not is_urgent:
            continue
        if instance not in evacuated:
            unavailable[row.pool] = unavailable.get(row.pool, 0) + 1
        chosen.append(instance)
        if len(chosen) >= limit:
            break
    return chosen


def services_with_backlog(state: FleetState) -> set[ServiceId]:
    """Return the services with tasks that wait for free capacity."""
    services = set[ServiceId]()
    for job in state.active_jobs.values():
        service = state.service_of(job)
        if service is None or service in services:
            continue
        for step in job.ready_steps():
            if any(task.is_waiting for task in step.tasks):
                services.add(service)
                break
    return services


def count_unavailable(
    instances: InstanceList, evacuated: set[InstanceId]
) -> dict[ServiceId, int]:
    """Return how many instances of each pool have an operation in progress.

    The ``evacuated`` ones are left out: they are not in use anyway.
    """
    unavailable = dict[ServiceId, int]()
    for operation in instances.operations.values():
        row = instances.rows.get(operation.instance)
        if row is not None and row.id not in evacuated:
            unavailable[row.pool] = unavailable.get(row.pool, 0) + 1
    return unavailable


def count_tasks_by_kind(
    state: FleetState, instances: InstanceList, instance: InstanceId
) -> tuple[int, int]:
    """Return the numbers of long-running and of other tasks on an instance."""
    worker = instances.find_worker(state, instance)
    if worker is None:
        return (0, 0)
    tasks = worker.tasks.values()
    long_running = sum(1 for task in tasks if task.spec.is_long_running)
    return (long_running, len(tasks) - long_running)
