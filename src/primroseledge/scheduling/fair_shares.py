"""Order waiting steps by the shares of their workspaces.

Where a service has less capacity than its waiting steps need, a workspace
above its share goes behind those below theirs. Within both groups the order
of module ``start_priority`` holds, and long-running steps stay first. Nothing
changes while all weights are equal or nothing is short.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from math import inf
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.share_level import Claim
from primroseledge.scheduling.share_level import dominant_share
from primroseledge.scheduling.share_level import find_level
from primroseledge.scheduling.share_state import ServiceShares
from primroseledge.scheduling.start_priority import StartPriority
from primroseledge.workers.worker import Worker

Row = tuple[StartPriority, Job, StepOccurrence]

COUNT_INTERVAL_S: Final = 0.5
"""Time in s after which the capacity of all workers is counted again."""

REPORT_INTERVAL_S: Final = 1.0
MAX_REPORTED_WORKSPACES: Final = 8


def order_by_shares(
    rows: list[Row], state: FleetState, workers: Iterable[Worker], now: float
) -> Iterable[Row]:
    """Return the rows of one service in the order in which they start.

    ``rows`` are in the order of their start priorities, and ``workers`` are
    those on which the service's tasks may start. The result is to be iterated
    once: each row is taken from the usage at that time, which includes what
    was planned for the rows before it.
    """
    shares = state.fair_shares
    service = state.service_of(rows[0][1]) if rows else None
    if service is None:
        return rows
    if shares.weights_in(state.configuration).are_equal:
        shares.services.clear()
        return rows
    count_total_capacity(state, now)
    claims = find_claims(rows, state, service)
    level = find_level(
        list(claims.values()), available_to(claims, state, service, workers)
    )
    service_shares = shares.services.setdefault(
        service, ServiceShares(state.took_over_at)
    )
    service_shares.update_level(level)
    for workspace in claims:
        used = share_per_weight(state, workspace)
        service_shares.update_credit(workspace, used, now)
    if level == inf:
        return rows
    return iterate_by_shares(rows, state, service, now)


def iterate_by_shares(
    rows: Sequence[Row], state: FleetState, service: ServiceId, now: float
) -> Iterator[Row]:
    """Yield the rows of workspaces above their share after the others.

    A workspace may rise above its share by the starts that are planned for
    its earlier rows.
    """
    postponed = list[Row]()
    for row in rows:
        _, job, step = row
        if step.spec.is_long_running or not is_above_share(
            state, service, job.accepted.workspace
        ):
            yield row
        else:
            postponed.append(row)
    report_postponed(postponed, state, service, now)
    yield from postponed


def is_above_share(
    state: FleetState, service: ServiceId, workspace: WorkspaceId
) -> bool:
    """Return whether a workspace has its share of a service that is short.

    It is False for all workspaces while shares don't matter there.
    """
    service_shares = state.fair_shares.services.get(service)
    if service_shares is None or service_shares.level == inf:
        return False
    bound = service_shares.bound_of(workspace)
    return share_per_weight(state, workspace) >= bound


def share_per_weight(state: FleetState, workspace: WorkspaceId) -> float:
    """Return a workspace's dominant share of all services, by its weight."""
    shares = state.fair_shares
    weight = shares.weights_in(state.configuration).weight_of(workspace)
    used = shares.usage.used(workspace)
    return dominant_share(used, shares.total_capacity) / weight


def count_total_capacity(state: FleetState, now: float) -> None:
    """Count the capacity of all listed workers, if it was not just counted."""
    shares = state.fair_shares
    if now < shares.counted_at + COUNT_INTERVAL_S:
        return
    shares.counted_at = now
    shares.total_capacity = sum_of(
        worker.entry.capacity
        for worker in state.workers.values()
        if worker.is_listed
    )


def find_claims(
    rows: Iterable[Row], state: FleetState, service: ServiceId
) -> dict[WorkspaceId, Claim]:
    """Return what each workspace with waiting steps could use of a service."""
    claims = dict[WorkspaceId, Claim]()
    for workspace, waiting in count_waiting(rows).items():
        claims[workspace] = make_claim(state, service, workspace, waiting)
    return claims


def count_waiting(rows: Iterable[Row]) -> dict[WorkspaceId, Resources]:
    """Return what the waiting tasks of each workspace need."""
    waiting = dict[WorkspaceId, Resources]()
    for _, job, step in rows:
        workspace = job.accepted.workspace
        count = sum(task.is_waiting for task in step.tasks)
        needed = step.spec.counted_resources.times(count)
        waiting[workspace] = waiting.get(workspace, NO_RESOURCES).plus(needed)
    return waiting


def make_claim(
    state: FleetState,
    service: ServiceId,
    workspace: WorkspaceId,
    waiting: Resources,
) -> Claim:
    """Return the claim of one workspace whose tasks need ``waiting`` more.

    What its limit keeps it from using is left to the others.
    """
    shares = state.fair_shares
    here = shares.usage.used_at(service, workspace)
    elsewhere = shares.usage.used(workspace).minus(here)
    allowed = allowed_part(state, workspace, waiting)
    wanted = here.plus(scale(waiting, allowed))
    total = shares.total_capacity
    weight = shares.weights_in(state.configuration).weight_of(workspace)
    return Claim(
        dominant_share(elsewhere, total) / weight,
        dominant_share(elsewhere.plus(wanted), total) / weight,
        wanted,
    )


def allowed_part(
    state: FleetState, workspace: WorkspaceId, added: Resources
) -> float:
    """Return the part of an amount that a workspace's limit allows, 0 to 1."""
    configured = state.configuration.workspaces.get(workspace)
    if configured is None:
        return 1.0
    limit = configured.limit
    used = state.workspace_usage(workspace)
    parts = [
        (limit_amount - used_amount) / added_amount
        for limit_amount, used_amount, added_amount in (
            (limit.cpu_millis, used.cpu_millis, added.cpu_millis),
            (limit.memory_mb, used.memory_mb, added.memory_mb),
            (limit.accelerators, used.accelerators, added.accelerators),
        )
        if limit_amount and added_amount
    ]
    return max(0.0, min([1.0, *parts]))


def available_to(
    claims: Iterable[WorkspaceId],
    state: FleetState,
    service: ServiceId,
    workers: Iterable[Worker],
) -> Resources:
    """Return what workspaces with claims could divide among them.

    It is the free capacity of the workers and what these workspaces use of
    the service.
    """
    free = [worker.free_capacity for worker in workers]
    usage = state.fair_shares.usage
    used = sum_of(usage.used_at(service, workspace) for workspace in claims)
    return Resources(
        sum(max(0, amount.cpu_millis) for amount in free),
        sum(max(0, amount.memory_mb) for amount in free),
        sum(max(0, amount.accelerators) for amount in free),
    ).plus(used)


def sum_of(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of amounts of resources."""
    cpu_millis = memory_mb = accelerators = 0
    for amount in amounts:
        cpu_millis += amount.cpu_millis
        memory_mb += amount.memory_mb
        accelerators += amount.accelerators
    return Resources(cpu_millis, memory_mb, accelerators)


def scale(amount: Resources, part: float) -> Resources:
    """Return a part of an amount, rounded down."""
    return Resources(
        int(amount.cpu_millis * part),
        int(amount.memory_mb * part),
        int(amount.accelerators * part),
    )


def report_postponed(
    postponed: Sequence[Row], state: FleetState, service: ServiceId, now: float
) -> None:
    """Log whose steps go behind others, once each ``REPORT_INTERVAL_S``."""
    shares = state.fair_shares.services[service]
    if not postponed or now < shares.reported_at + REPORT_INTERVAL_S:
        return
    shares.reported_at = now
    workspaces = sorted({job.accepted.workspace for _, job, _ in postponed})
    log(
        Event.SHARES_APPLIED,
        service=service,
        steps=len(postponed),
        workspaces=', '.join(workspaces[:MAX_REPORTED_WORKSPACES]),
        count=len(workspaces),
        level=round(shares.level, 4),
    )


def describe_share(
    state: FleetState, service: ServiceId, workspace: WorkspaceId
) -> str:
    """Return where a workspace stands at a service, for a log line."""
    shares = state.fair_shares.services.get(service)
    if shares is None or shares.level == inf:
        return 'shares do not matter'
    used = share_per_weight(state, workspace)
    bound = shares.bound_of(workspace)
    standing = 'above' if used >= bound else 'below'
    return f'{standing} its share ({used:.4f} of {bound:.4f} a weight)'
