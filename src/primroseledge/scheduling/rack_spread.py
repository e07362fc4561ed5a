"""Decide when the tasks of a step that prefers a single rack are spread.

Work that runs on several racks takes longer, so a step waits for room in the
rack where it runs. It does not wait for a rack that can't take its tasks, nor
for long where other workers are idle: slow work is better than none.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import Final

from msgspec import structs

from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.workers.worker import Worker

MAX_RACK_WAIT_S: Final = 1.5
"""Time in s that a step waits for room in a rack beside idle workers.

By the platform's rules work may wait for 3 s beside idle workers.
"""

IDLE_POOL_SHARE: Final = 0.5
"""Share of a pool's capacity in use below which its workers count as idle."""


def without_rack_rule(step: StepSpec) -> StepSpec:
    """Return a step whose tasks may run on several racks."""
    return structs.replace(step, needs_single_rack=False)


def may_leave_rack(
    step: StepOccurrence,
    pool: Sequence[Worker],
    placement: StepPlacement,
    now: float,
) -> bool:
    """Return whether a task that found no room in its rack may leave it.

    ``pool`` are all workers of the service, also those that can't be given
    tasks now, ``placement`` counts the step's tasks. To be called each time
    that no room was found. Long-running tasks wait no longer in a busy pool.
    """
    spec = step.spec
    if not any(could_take(spec, worker, placement) for worker in pool):
        return True
    return has_waited_for_rack(step, now) and (
        spec.is_long_running or is_pool_idle(pool)
    )


def has_waited_for_rack(step: StepOccurrence, now: float) -> bool:
    """Return whether a step has found no room for ``MAX_RACK_WAIT_S``.

    The first call begins the wait.
    """
    if step.rack_wait_began_at is None:
        step.rack_wait_began_at = now
    return now >= step.rack_wait_began_at + MAX_RACK_WAIT_S


def is_pool_idle(pool: Iterable[Worker]) -> bool:
    """Return whether less than ``IDLE_POOL_SHARE`` of a pool is in use."""
    used = NO_RESOURCES
    capacity = NO_RESOURCES
    for worker in pool:
        used = used.plus(worker.occupied_capacity)
        capacity = capacity.plus(worker.entry.capacity)
    return is_below_share(used, capacity)


def is_below_share(used: Resources, capacity: Resources) -> bool:
    """Return whether processors and memory are used below the share."""
    return (
        used.cpu_millis < IDLE_POOL_SHARE * capacity.cpu_millis
        and used.memory_mb < IDLE_POOL_SHARE * capacity.memory_mb
    )
