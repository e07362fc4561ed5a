"""Changes to where instances stand: drain marks and moves.

Each is one compare-and-swap of the placement shard that the instance
stands in, so an instance is in one pool at every moment.
"""

from collections.abc import Callable
from collections.abc import Mapping

from msgspec.structs import replace

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.records import MISSING
from primroseledge.storage.records import Records


class PlacementBook:
    """Guarded changes of one pool's instances in their shards.

    ``check_plan`` raises ConflictError when the plan that a change
    rests on is no longer the recorded one. It is called after the
    shard was read and before it is swapped.
    """

    def __init__(
        self,
        pool: PoolId,
        records: Records,
        check_plan: Callable[[], None],
    ) -> None:
        self.pool = pool
        self.records = records
        self.check_plan = check_plan
        self.shards: Mapping[InstanceId, str] = {}

    def mark_draining(self, instance: InstanceId) -> Revision:
        """Let no new work start; return the mark's revision, or 0.

        0 says that the instance isn't this pool's any more.
        """
        return self._swap(instance, True, self.pool)

    def unmark(self, instance: InstanceId) -> Revision:
        """Let work start again."""
        return self._swap(instance, False, self.pool)

    def move(self, instance: InstanceId, pool: PoolId) -> Revision:
        """Put a drained instance into another pool, ready for work."""
        return self._swap(instance, False, pool)

    def _swap(
        self, instance: InstanceId, is_draining: bool, pool: PoolId
    ) -> Revision:
        """Swap one instance's entry.

        Writes even when nothing changes, so that the late write of an
        older holder, which read the shard before, fails.
        """
        if instance not in self.shards:
            return MISSING
        key = document_key('placement', self.shards[instance])
        shard = self.records.load(key, Placement(id=''))
        found: Instance | None = shard.value.instances.get(instance)
        if found is None or found.pool != self.pool:
            return MISSING
        self.check_plan()
        changed = replace(found, is_draining=is_draining, pool=pool)
        placed = shard.value.instances | {instance: changed}
        swapped = self.records.swap(
            key, replace(shard.value, instances=placed), shard.revision
        )
        return swapped.revision
