"""What the loop knows of the platform and of the controllers' work.

The loop alone changes it. The values in it are replaced whole, never
changed, so other threads may be handed them.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.operators.explain import Explanation
from primroseledge.policy.job import Job
from primroseledge.policy.job_controller import JobReport
from primroseledge.policy.plan import StepReport
from primroseledge.storage.task_service import InstanceStatus
from primroseledge.storage.task_service import Life


@dataclass(frozen=True, slots=True)
class Listing:
    """The platform's list, as read by a call that began at a time."""

    statuses: Mapping[InstanceId, InstanceStatus] = field(default_factory=dict)
    began_at: float = float('-inf')

    def age_s(self, now: float) -> float:
        """Return for how long the list has been known."""
        return now - self.began_at

    def leaving(self) -> frozenset[InstanceId]:
        """Return the instances that leave or fail their health check."""
        return frozenset(
            name
            for name, status in self.statuses.items()
            if status.life is Life.LEAVING or not status.is_healthy
        )


@dataclass(frozen=True, slots=True)
class ControlNews:
    """What one round of the controllers found."""

    pools: Mapping[PoolId, StepReport] = field(default_factory=dict)
    jobs: JobReport = field(default_factory=JobReport)
    known_jobs: Mapping[str, Job] = field(default_factory=dict)

    def held(self) -> Iterable[Explanation]:
        """Yield every reason for which something waits."""
        for report in self.pools.values():
            yield from report.held
        yield from self.jobs.held


@dataclass(slots=True)
class PolicyState:
    """The newest list and round; ``is_stepping`` while one is under way."""

    listing: Listing = field(default_factory=Listing)
    leaving: frozenset[InstanceId] = frozenset()
    news: ControlNews = field(default_factory=ControlNews)
    is_stepping: bool = False
    step_due: float = 0.0
