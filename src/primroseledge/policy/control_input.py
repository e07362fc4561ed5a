"""What the controllers are given, from what the loop knew at a moment.

The loop takes a ``ControlRequest``, which costs it a few shallow
copies; the controllers' thread works out the rest.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import CellId
from primroseledge.ids import Epoch
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import TeamId
from primroseledge.policy.job_admission import JobInput
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.policy_state import Listing
from primroseledge.requests.dispatcher import Dispatcher
from primroseledge.storage.documents import DEFAULT_CELL
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Pool
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.task_service import InstanceStatus

TasksByWorker = Mapping[InstanceId, tuple[str, ...]]
Epochs = tuple[tuple[CellId, Epoch], ...]


@dataclass(frozen=True, slots=True)
class CellWork:
    """What a dispatcher counts as running, by upstream.

    It is not complete while entry instances that did not report to a
    new owner may carry more.
    """

    epoch: Epoch
    running: Mapping[InstanceId, int]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class ControlRequest:
    """What the loop knew at ``now``; ``cells`` are those owned here."""

    now: float
    revision: Revision
    instances: Mapping[InstanceId, Instance]
    placements: tuple[Placement, ...]
    services: tuple[Service, ...]
    pools: tuple[Pool, ...]
    teams: Mapping[TeamId, Team]
    listing: Listing
    cells: Mapping[CellId, CellWork]
    home: CellId
    by_pool: dict[PoolId, list[Instance]] = field(default_factory=dict)

    def group(self) -> None:
        """Sort the instances by pool; done once, off the loop."""
        for instance in self.instances.values():
            pool = self.by_pool.setdefault(PoolId(instance.pool), [])
            pool.append(instance)

    def services_of(self, pool: PoolId) -> tuple[Service, ...]:
        """Return the services that a pool serves."""
        return tuple(item for item in self.services if item.pool == pool)

    def epochs_of(self, pool: PoolId) -> Epochs | None:
        """Return the epochs on which a pool's right rests.

        None unless all cells of its services are owned here, since
        only their dispatchers know what runs.
        """
        named = {CellId(item.cell) for item in self.services_of(pool)}
        cells = sorted(named or {self.home})
        if any(cell not in self.cells for cell in cells):
            return None
        return tuple((cell, self.cells[cell].epoch) for cell in cells)


def take_request(
    configuration: Configuration,
    listing: Listing,
    dispatchers: Mapping[CellId, Dispatcher],
    now: float,
) -> ControlRequest:
    """Return a snapshot for the controllers; the loop calls it."""
    documents = configuration.documents
    named = {CellId(s.cell) for s in configuration.services.values()}
    return ControlRequest(
        now=now,
        revision=configuration.revision,
        instances=configuration.instances,
        placements=tuple(
            document
            for _, document in sorted(documents.items())
            if isinstance(document, Placement)
        ),
        services=tuple(configuration.services.values()),
        pools=tuple(configuration.pools.values()),
        teams=dict(configuration.teams),
        listing=listing,
        cells={
            cell: CellWork(
                dispatcher.epoch,
                dict(dispatcher.work.slots.used),
                now >= dispatcher.work.limits.hidden_until,
            )
            for cell, dispatcher in dispatchers.items()
        },
        home=min(named, default=DEFAULT_CELL),
    )


def pool_input(
    request: ControlRequest, pool: PoolId, tasks: TasksByWorker | None
) -> PoolInput:
    """Return a pool's input; without ``tasks`` any may be running."""
    return PoolInput(
        request.services_of(pool),
        {
            instance.instance_id: view_of(request, instance, tasks)
            for instance in request.by_pool.get(pool, ())
        },
        shards_of(request, pool),
    )


def view_of(
    request: ControlRequest, instance: Instance, tasks: TasksByWorker | None
) -> InstanceView:
    """Return what is known of an instance.

    One that isn't in the platform's list counts as down. What can't be
    counted counts as one more running.
    """
    name = instance.instance_id
    works = request.cells.values()
    uncounted = sum(not work.is_complete for work in works) + (tasks is None)
    running = sum(work.running.get(name, 0) for work in works) + uncounted
    status = request.listing.statuses.get(name)
    age_s = request.listing.age_s(request.now)
    return InstanceView(
        instance=instance,
        boot_id=status.boot_id if status else '',
        boot_age_s=status.boot_age_s + age_s if status else 0.0,
        is_up=status is not None and status.is_healthy,
        image=status.image if status else '',
        running=running,
        revision=request.revision,
        tasks=(tasks or {}).get(name, ()),
    )


def shards_of(request: ControlRequest, pool: PoolId) -> dict[InstanceId, str]:
    """Return the shard of each instance of a pool; the first counts."""
    shards: dict[InstanceId, str] = {}
    for instance in request.by_pool.get(pool, ()):
        name = instance.instance_id
        for placement in request.placements:
            if name in placement.instances:
                shards[name] = placement.id
                break
    return shards


def has_down(request: ControlRequest, pool: PoolId) -> bool:
    """Tell whether an instance of a pool is down."""
    statuses = request.listing.statuses
    return any(
        not is_up(statuses.get(instance.instance_id))
        for instance in request.by_pool.get(pool, ())
    )


def count_idle(request: ControlRequest, pool: PoolId) -> int:
    """Return how many instances of a pool are ready and run nothing."""
    works = request.cells.values()
    leaving = request.listing.leaving()
    return sum(
        instance.instance_id in request.listing.statuses
        and instance.instance_id not in leaving
        and not instance.is_draining
        and not any(work.running.get(instance.instance_id) for work in works)
        for instance in request.by_pool.get(pool, ())
    )


def job_input(request: ControlRequest) -> JobInput:
    """Return the input of the jobs: instances with cores are workers."""
    fleet = [item for item in request.instances.values() if item.cores > 0]
    leaving = request.listing.leaving()
    ready = [
        worker
        for worker in fleet
        if worker.instance_id in request.listing.statuses
        and worker.instance_id not in leaving
        and not worker.is_draining
    ]
    return JobInput(request.teams, ready, fleet)


def is_up(status: InstanceStatus | None) -> bool:
    """Tell whether an instance is in the list and healthy."""
    return status is not None and status.is_healthy
