"""Compare policies of the owner on the same loads of jobs; print JSON.

Run as ``python -m bench.jobs [--quick]``. Each load is played in virtual
time with each policy; see ``Outcome.figures`` for what is measured. A policy
replaces decisions of the product by simpler ones.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from contextlib import contextmanager
from contextlib import ExitStack
from json import dumps
import logging
from statistics import fmean
import sys
from typing import Final
from unittest import mock

from bench.job_fleet import JobFleet
from bench.job_load import crowded_shape
from bench.job_load import large_shape
from bench.job_load import LoadShape
from bench.job_load import slow_store_shape
from bench.job_load import small_shape
from bench.job_stragglers import straggler_shape
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.arrival_rate import Rate
from primroseledge.scheduling.demand import CATCH_UP_S
from primroseledge.scheduling.demand import Demand
from primroseledge.scheduling.fair_shares import Row
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.placement import Rank
from primroseledge.scheduling.placement import StepPlacement
from primroseledge.scheduling.planning import MIN_PLANNED_STARTS
from primroseledge.scheduling.start_priority import StartPriority
from primroseledge.workers.worker import Worker

SEEDS: Final = {
    'small': (1, 2, 3, 4),
    'crowded': (1, 2, 3),
    'stragglers': (1, 2, 3, 4),
    'large': (1,),
    'slow store': (1, 2),
}

Policy = Callable[[], Iterator[None]]
POLICIES: dict[str, Policy] = {}


def register_policy(name: str) -> Callable[[Policy], Policy]:
    """Register the decorated function as a policy to compare."""

    def register(policy: Policy) -> Policy:
        POLICIES[name] = policy
        return policy

    return register


@register_policy('product')
def product_policy() -> Iterator[None]:
    """Leave all decisions as they are."""
    yield


@register_policy('no reserve')
def no_reserve() -> Iterator[None]:
    """Let pools shrink to their least size between bursts."""
    with mock.patch(
        'primroseledge.maintenance.pool_reserve.RESERVE_SHARE', 0.0
    ):
        yield


@register_policy("callers' estimates")
def estimates_of_callers() -> Iterator[None]:
    """Correct no estimate by the runs that ended."""
    with mock.patch('primroseledge.scheduling.runtimes.MIN_RUNS', sys.maxsize):
        yield


@register_policy('no copies')
def no_copies() -> Iterator[None]:
    """Start no copies of tasks."""
    with mock.patch('primroseledge.owner.engine.plan_copies', autospec=True):
        yield


@register_policy('no forecast')
def no_forecast() -> Iterator[None]:
    """Size pools by what runs and waits now."""
    with mock.patch(
        'primroseledge.scheduling.demand.Demand.desired_cores',
        present_cores,
    ):
        yield


@register_policy('one batch at a time')
def one_batch_at_a_time() -> Iterator[None]:
    """Store each batch only once the one before it is stored."""
    with mock.patch('primroseledge.owner.outbox.LANE_COUNT', 1):
        yield


@register_policy('small batches, one at a time')
def small_batches() -> Iterator[None]:
    """Store some 30 records at a time, and plan 64 starts for each batch."""
    with ExitStack() as stack:
        stack.enter_context(contextmanager(one_batch_at_a_time)())
        stack.enter_context(
            mock.patch('primroseledge.owner.outbox.MAX_PACK_BYTES', 10_000)
        )
        stack.enter_context(
            mock.patch(
                'primroseledge.scheduling.planning.MAX_PLANNED_STARTS',
                MIN_PLANNED_STARTS,
            )
        )
        yield


@register_policy('fixed pools')
def fixed_pools() -> Iterator[None]:
    """Move no instance between pools."""
    with ExitStack() as stack:
        for name in ('grow', 'shrink'):
            target = f'primroseledge.maintenance.pools.{name}'
            stack.enter_context(mock.patch(target, autospec=True))
        yield


@register_policy('first come first served, first fit')
def first_come_first_served() -> Iterator[None]:
    """Start jobs in order of their acceptance on the first worker that fits.

    Pools keep no reserve, and weights have no effect.
    """
    with ExitStack() as stack:
        stack.enter_context(
            mock.patch(
                'primroseledge.scheduling.planning.start_priority_of',
                acceptance_order,
            )
        )
        stack.enter_context(
            mock.patch(
                'primroseledge.scheduling.placement.rank_batch', first_fit
            )
        )
        stack.enter_context(contextmanager(no_reserve)())
        stack.enter_context(contextmanager(no_shares)())
        yield


@register_policy('no shares')
def no_shares() -> Iterator[None]:
    """Let the weights of workspaces have no effect."""
    with mock.patch(
        'primroseledge.scheduling.planning.order_by_shares', start_order
    ):
        yield


def start_order(
    rows: list[Row], state: FleetState, workers: list[Worker], now: float
) -> list[Row]:
    """Return the rows in the order of their start priorities."""
    return rows


def present_cores(demand: Demand, _rate: Rate, _lookahead_s: float) -> float:
    """Return the processors that a service needs now."""
    batch_cores = demand.used_cores - demand.long_running_cores
    batch_cores += demand.waiting_core_s / CATCH_UP_S
    return demand.long_running_cores + batch_cores


def acceptance_order(
    job: Job,
    step: StepOccurrence,
    queue: Queue,
    wall_ms: int,
    estimates_ms: Sequence[int],
) -> StartPriority:
    """Return a priority that follows the order of acceptance."""
    accepted = job.accepted
    return StartPriority(
        not step.spec.is_long_running,
        False,
        0,
        accepted.accepted_ms,
        accepted.id,
        step.number,
    )


def first_fit(step: StepSpec, placement: StepPlacement) -> Rank:
    """Return a rank under which all workers are equal."""

    def rank(worker: Worker) -> tuple[float, ...]:
        return (0.0,)

    return rank


def measure(shape: LoadShape, policy: Policy) -> dict[str, float]:
    """Return the mean figures of a policy over the seeds of a load."""
    with contextmanager(policy)():
        outcomes = [JobFleet(shape, seed).play() for seed in SEEDS[shape.name]]
    figures = [outcome.figures() for outcome in outcomes]
    for row, outcome in zip(figures, outcomes, strict=True):
        row['neighbours_served'] = outcome.served_neighbours(shape.flood)
    return {
        name: round(fmean(row[name] for row in figures), 3)
        for name in figures[0]
    }


def main() -> None:
    """Print the figures of all loads and policies as JSON."""
    logging.disable(logging.CRITICAL)
    shapes = [small_shape(), crowded_shape(), straggler_shape()]
    if '--quick' not in sys.argv:
        shapes += [large_shape(), slow_store_shape()]
    result = {
        shape.name: {
            name: measure(shape, policy) for name, policy in POLICIES.items()
        }
        for shape in shapes
    }
    print(dumps(result, indent=1))


if __name__ == '__main__':
    main()
