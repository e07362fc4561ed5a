"""Keeps work from upstreams that are full or fail what they start."""

from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.agreement.configuration import Configuration
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.requests.ejection import Ejection
from primroseledge.requests.ejection import may_eject
from primroseledge.requests.grant_ledger import Running
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import EndState
from primroseledge.requests.slots import Slots

REFUSAL_PAUSE_S: Final = 0.1
MAX_REFUSAL_PAUSE_S: Final = 2.0
MAX_DOUBLINGS: Final = 10


@dataclass(slots=True)
class UpstreamHealth:
    """What the ends of attempts say of the upstreams of a cell."""

    configuration: Configuration
    slots: Slots
    ejection: Ejection = field(default_factory=Ejection)
    refusals: dict[InstanceId, int] = field(default_factory=dict)

    def judge(self, running: Running, done: Done, now: float) -> None:
        """Take the end of an attempt."""
        instance = self.configuration.instances.get(running.upstream)
        if instance is None:
            return
        pool = PoolId(instance.pool)
        if done.was_refused:
            self.pause(running.upstream, now)
        elif done.has_upstream_failed:
            self.note_failure(pool, running, now)
        elif done.end is EndState.ENDED:
            self.refusals.pop(running.upstream, None)
            self.ejection.succeeded(pool, running.upstream)

    def pause(self, upstream: InstanceId, now: float) -> None:
        """Let a full upstream be, longer each time that it refuses."""
        count = self.refusals.get(upstream, 0)
        self.refusals[upstream] = count + 1
        pause_s = REFUSAL_PAUSE_S * 2 ** min(count, MAX_DOUBLINGS)
        self.slots.block(upstream, now + min(pause_s, MAX_REFUSAL_PAUSE_S))

    def note_failure(self, pool: PoolId, running: Running, now: float) -> None:
        """Count a failure, and eject the upstream if it is an outlier."""
        upstream = running.upstream
        until = self.ejection.failed(pool, upstream, running.request_id, now)
        if until is not None and self.may_eject(pool):
            self.ejection.eject(upstream, until)
            self.slots.block(upstream, until)

    def may_eject(self, pool: PoolId) -> bool:
        """Tell whether one more upstream of a pool may be ejected."""
        instances = self.configuration.instances
        ejected = sum(
            1
            for upstream in self.ejection.ejected
            if upstream in instances and instances[upstream].pool == pool
        )
        self.slots.refresh()
        return may_eject(ejected, self.slots.pools[pool].size)

    def tick(self, now: float) -> None:
        """Let upstreams have work again whose time is over."""
        self.slots.tick(now)
        self.ejection.tick(now)
