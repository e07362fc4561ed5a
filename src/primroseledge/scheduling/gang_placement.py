"""Choose the workers on which the tasks of a gang start together.

A gang for a single rack starts in a rack that has room for all its tasks. If
no rack could ever hold it, or none has room for long beside idle workers, it
is spread over several (see ``rack_spread``).
"""

from collections.abc import Iterable
from collections.abc import Sequence

from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.placement import choose_worker
from primroseledge.scheduling.placement import could_take
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.rack_spread import has_waited_for_rack
from primroseledge.scheduling.rack_spread import is_pool_idle
from primroseledge.scheduling.rack_spread import without_rack_rule
from primroseledge.workers.worker import Worker


def place_gang(
    step: StepSpec, workers: Sequence[Worker]
) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None if one has none."""
    if not step.needs_single_rack:
        return place_together(step, workers)
    placements = [
        chosen
        for members in group_by_rack(workers)
        if (chosen := place_together(step, members)) is not None
    ]
    if not placements:
        return None
    return min(placements, key=lambda chosen: rank_racks(step, chosen))


def spread_gang(
    step: StepOccurrence,
    workers: Sequence[Worker],
    pool: Sequence[Worker],
    now: float,
) -> list[Worker] | None:
    """Return workers in several racks for a gang that found no room in one.

    ``pool`` are all workers of the service, also those that can't be given
    tasks now. None is returned if the gang is to wait for one of their racks,
    or if one of its tasks has no worker.
    """
    spec = step.spec
    if any(could_hold(spec, members) for members in group_by_rack(pool)):
        has_waited = has_waited_for_rack(step, now)
        if not has_waited or not is_pool_idle(pool):
            return None
    return place_together(without_rack_rule(spec), workers)


def group_by_rack(workers: Iterable[Worker]) -> list[list[Worker]]:
    """Return the workers of each rack."""
    by_rack = dict[str, list[Worker]]()
    for worker in workers:
        by_rack.setdefault(worker.rack, []).append(worker)
    return list(by_rack.values())


def rank_racks(step: StepSpec, chosen: list[Worker]) -> tuple[bool, int, str]:
    """Return the sort key of a gang's placement; the smallest is chosen.

    The rack of the step's data comes first, then fewer workers.
    """
    rack = chosen[0].rack
    is_outside_data_rack = bool(step.data_rack) and rack != step.data_rack
    return (is_outside_data_rack, len({w.id for w in chosen}), rack)


def place_together(
    step: StepSpec, workers: Sequence[Worker]
) -> list[Worker] | None:
    """Return a worker for each task of a gang, or None if one has none."""
    placement = StepPlacement()
    chosen = list[Worker]()
    for _ in range(step.count):
        worker = choose_worker(step, workers, placement)
        if worker is None:
            return None
        placement.add_task(worker, step)
        chosen.append(worker)
    return chosen


def could_hold(step: StepSpec, workers: list[Worker]) -> bool:
    """Return whether workers could take a gang without their batch tasks."""
    placement = StepPlacement()
    missing = step.count
    for worker in workers:
        while missing and could_take(step, worker, placement):
            placement.add_task(worker, step)
            missing -= 1
    return not missing
