"""What the owner remembers about the shares of workspaces, in memory only.

It is rebuilt from the runs at a takeover. Credits start at zero then.
"""

from dataclasses import dataclass
from dataclasses import field
from math import inf
from typing import Final

from primroseledge.ids import ServiceId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.resources import NO_RESOURCES
from primroseledge.jobs.resources import Resources

MAX_CREDIT_S: Final = 2.0
"""Most credit in s that a workspace gets while it uses less than its share.

One second is the work that its whole share does in that time.
"""

CREDIT_USE_S: Final = 1.0
"""Time in s within which a workspace may use up its credit.

Tasks take about as long; with more at once, a burst would outlast the credit.
"""

DEFAULT_WEIGHT: Final = 1.0
"""Weight of a workspace that is not configured any more."""


@dataclass(slots=True)
class ShareUsage:
    """The capacity that the runs of each workspace use.

    ``total`` counts all services, ``by_service`` each of them. A run counts
    for the service of its job's queue, or for None if that queue is not
    configured. Best-effort tasks count without their processors, which
    nobody else could use.
    """

    total: dict[WorkspaceId, Resources] = field(default_factory=dict)
    by_service: dict[tuple[ServiceId | None, WorkspaceId], Resources] = field(
        default_factory=dict
    )

    def add(
        self,
        service: ServiceId | None,
        workspace: WorkspaceId,
        resources: Resources,
    ) -> None:
        """Count a run that was planned or restored."""
        at = (service, workspace)
        self.total[workspace] = self.used(workspace).plus(resources)
        self.by_service[at] = self.used_at(service, workspace).plus(resources)

    def remove(
        self,
        service: ServiceId | None,
        workspace: WorkspaceId,
        resources: Resources,
    ) -> None:
        """Remove a run that can no longer be running."""
        total = self.used(workspace).minus(resources)
        here = self.used_at(service, workspace).minus(resources)
        self.total[workspace] = total
        self.by_service[service, workspace] = here
        if total == NO_RESOURCES:
            del self.total[workspace]
        if here == NO_RESOURCES:
            del self.by_service[service, workspace]

    def used(self, workspace: WorkspaceId) -> Resources:
        """Return what a workspace uses of all services."""
        return self.total.get(workspace, NO_RESOURCES)

    def used_at(
        self, service: ServiceId | None, workspace: WorkspaceId
    ) -> Resources:
        """Return what a workspace uses of one service."""
        return self.by_service.get((service, workspace), NO_RESOURCES)


class ShareWeights:
    """The weights of the workspaces in one version of the configuration.

    ``smallest`` is the smallest positive weight; it replaces all others that
    are not positive. ``are_equal`` means that shares don't matter.
    """

    def __init__(self, configuration: Configuration) -> None:
        weights = [w.weight for w in configuration.workspaces.values()]
        positive = [weight for weight in weights if 0 < weight < inf]
        self.configuration = configuration
        self.smallest = min(positive, default=DEFAULT_WEIGHT)
        self.are_equal = (
            len({self.effective(weight) for weight in weights}) < 2
        )

    def effective(self, weight: float) -> float:
        """Return a configured weight, or the smallest if it is unusable."""
        return weight if 0 < weight < inf else self.smallest

    def weight_of(self, workspace: WorkspaceId) -> float:
        """Return the weight of a workspace, which may be removed."""
        configured = self.configuration.workspaces.get(workspace)
        if configured is None:
            return DEFAULT_WEIGHT
        return self.effective(configured.weight)


@dataclass(frozen=True, slots=True)
class Credit:
    """What a workspace may use beyond its share, as it used less before.

    ``seconds`` is how long its whole share would take for it.
    """

    seconds: float
    updated_at: float


@dataclass(slots=True)
class ServiceShares:
    """The shares of workspaces at one service.

    ``level`` is the dominant share per weight up to which every workspace
    may use capacity; it is infinite while nothing is short. ``last_level`` is
    the last one that was not. ``credits`` are those of the workspaces that
    waited since ``begun_at``; the others had no use of the service.
    """

    begun_at: float
    level: float = inf
    last_level: float = inf
    credits: dict[WorkspaceId, Credit] = field(default_factory=dict)
    reported_at: float = -inf

    def update_level(self, level: float) -> None:
        """Record the level that a planning pass has found."""
        self.level = level
        if level < inf:
            self.last_level = level

    def update_credit(
        self, workspace: WorkspaceId, used: float, now: float
    ) -> None:
        """Add what a waiting workspace lacked of its share, or had beyond it.

        ``used`` is its present dominant share per weight, which is taken to
        be that since the last update.
        """
        credit = self.credits.get(workspace) or Credit(0.0, self.begun_at)
        elapsed_s = max(0.0, now - credit.updated_at)
        relative = used / self.last_level if self.last_level else 1.0
        seconds = credit.seconds + (1.0 - relative) * elapsed_s
        self.credits[workspace] = Credit(
            min(MAX_CREDIT_S, max(0.0, seconds)), now
        )

    def bound_of(self, workspace: WorkspaceId) -> float:
        """Return the share per weight up to which a workspace goes first."""
        credit = self.credits.get(workspace)
        if credit is None:
            return self.level
        return self.level * (1.0 + credit.seconds / CREDIT_USE_S)


@dataclass(slots=True)
class FairShares:
    """Usage and shares of all workspaces.

    ``total_capacity`` is that of all listed workers, as it was counted at
    ``counted_at``. ``weights`` belong to the configuration of the last pass.
    """

    usage: ShareUsage = field(default_factory=ShareUsage)
    services: dict[ServiceId, ServiceShares] = field(default_factory=dict)
    weights: ShareWeights | None = None
    total_capacity: Resources = NO_RESOURCES
    counted_at: float = -inf

    def weights_in(self, configuration: Configuration) -> ShareWeights:
        """Return the weights in a version of the configuration."""
        if (
            self.weights is None
            or self.weights.configuration is not configuration
        ):
            self.weights = ShareWeights(configuration)
        return self.weights
