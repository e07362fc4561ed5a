"""A pool's world for tests, with an oracle that checks every change.

Dispatchers see the placement late, by at most ``FRESHNESS_S``; the
platform's list lags. The oracle knows the truth and raises OracleError
at the moment a rule is broken.
"""

from collections.abc import Callable
from typing import Final

from msgspec import json

from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.ids import WriteId
from primroseledge.policy.budget import claims_key
from primroseledge.policy.budget import Ledger
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import MoveRequest
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.pool_controller import PoolController
from primroseledge.storage.documents import Budget
from primroseledge.storage.documents import document_key
from primroseledge.storage.documents import encode_document
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Placement
from primroseledge.storage.documents import Service
from primroseledge.storage.records import Records
from primroseledge.storage.store import Snapshot
from primroseledge.storage.task_service import InstanceStatus
from primroseledge.storage.task_service import TaskState
from standins.platform import Machine
from standins.platform import PlatformCore
from tests.policy_fake import FakeStore

FRESHNESS_S: Final = 5.0
REPLACE_S: Final = 20.0
SETTINGS: Final = WaveSettings(
    window_s=10_000.0,
    settle_s=6.0,
    proof_s=4.0,
    reboot_timeout_s=60.0,
)
POOL: Final = PoolId('copper')
OTHER: Final = PoolId('spare')
SHARD: Final = 's0'
SERVICES: Final = (
    Service('copper', 'metals', 'copper', budget=Budget(2, 1, window_s=15.0)),
    Service('wire', 'metals', 'copper', budget=Budget(3, 2, window_s=15.0)),
)


class OracleError(AssertionError):
    """A rule that must always hold was broken."""


class PolicyWorld:
    """Two pools of instances over three zones, store and platform."""

    def __init__(self, zones: int = 3, each: int = 3) -> None:
        self.now = 100_000.0
        self.store = FakeStore()
        self.platform = PlatformCore(now=self.now, boot_s=15.0)
        self.running: dict[InstanceId, int] = {}
        self.broken_at: dict[InstanceId, float] = {}
        self.store_back_at = self.platform_back_at = self.now
        self.writes = 0
        self.interruption: tuple[int, Callable[[], None]] | None = None
        self.was_interrupted = False
        self.seen = Placement(SHARD)
        self.seen_revision = Revision(0)
        self.seen_at = self.now
        self._instances: dict[str, Instance] = {}
        for zone in range(zones):
            for number in range(each):
                self._add(f'i{zone}{number}', zone, number)
        self.store.write(
            document_key('placement', SHARD),
            encode_document(Placement(SHARD, self._instances)),
            Revision(0),
            WriteId('setup'),
        )
        self._guard_store()
        self._guard_platform()
        self.advance(0.0)
        self.sync()

    def _add(self, name: str, zone: int, number: int) -> None:
        self._instances[name] = Instance(
            name, POOL, f'z{zone}', f'r{zone}{number % 2}', '127.0.0.1:1'
        )
        instance = InstanceId(name)
        self.platform.machines[instance] = Machine('old')
        self.running[instance] = 0

    def next_write_id(self) -> WriteId:
        self.writes += 1
        return WriteId(f'w{self.writes}')

    def records(self) -> Records:
        return Records(self.store, self.next_write_id)

    def controller(self, pool: PoolId = POOL) -> PoolController:
        return PoolController(
            pool, self.records(), self.platform, self.platform, SETTINGS
        )

    # Time and what is seen of the truth.

    def advance(self, elapsed_s: float) -> None:
        self.now += elapsed_s
        self.platform.advance(self.now)
        self._heal()
        if self.now - self.seen_at > FRESHNESS_S:
            self.sync()

    def _heal(self) -> None:
        """End outages, and replace what broke, after a while."""
        if self.now >= self.store_back_at:
            self.store.is_down = False
        if self.now >= self.platform_back_at:
            self.platform.is_down = False
        for name, broken_at in list(self.broken_at.items()):
            if self.now - broken_at >= REPLACE_S:
                del self.broken_at[name]
                self.replace(name)

    def take_store_down(self, seconds: float) -> None:
        self.store.is_down = True
        self.store_back_at = self.now + seconds

    def take_platform_down(self, seconds: float) -> None:
        self.platform.is_down = True
        self.platform_back_at = self.now + seconds

    def sync(self) -> None:
        """Let dispatchers see the placement as it is now."""
        if self.store.is_down:
            return
        record = self.store.records[document_key('placement', SHARD)]
        self.seen = json.decode(record.value or '', type=Placement)
        self.seen_revision = Revision(self.store.revision)
        self.seen_at = self.now

    def truth(self) -> dict[str, Instance]:
        record = self.store.records[document_key('placement', SHARD)]
        return json.decode(record.value or '', type=Placement).instances

    def plan(self, pool: PoolId = POOL) -> Plan:
        record = self.store.records.get(plan_key(pool))
        if record is None:
            return Plan()
        return json.decode(record.value or '', type=Plan)

    def wave(self) -> Wave:
        wave = self.plan().wave
        assert wave is not None
        return wave

    def state(self, instance: str) -> StepState:
        step = self.plan().steps.get(instance)
        return step.state if step else StepState.WAITING

    def ledger(self, service: str) -> Ledger:
        record = self.store.records.get(claims_key(ServiceId(service)))
        if record is None:
            return Ledger()
        return json.decode(record.value or '', type=Ledger)

    def given(
        self, moves: tuple[MoveRequest, ...] = (), pool: PoolId = POOL
    ) -> PoolInput:
        """Return the input of one step; the platform's list is late.

        The placement is newer than the one that dispatchers see.
        """
        view = dict[InstanceId, InstanceView]()
        placements = self.truth()
        for status in self._statuses():
            placed = placements.get(status.instance)
            if placed is None or placed.pool != pool:
                continue
            view[status.instance] = InstanceView(
                placed,
                status.boot_id,
                status.boot_age_s,
                status.is_healthy,
                status.image,
                self.running[status.instance],
                self.seen_revision,
                self._tasks_on(status.instance),
            )
        shards = {InstanceId(name): SHARD for name in placements}
        services = SERVICES if pool == POOL else ()
        return PoolInput(services, view, shards, moves)

    def _statuses(self) -> list[InstanceStatus]:
        is_down, self.platform.is_down = self.platform.is_down, False
        statuses = self.platform.instances()
        self.platform.is_down = is_down
        return statuses

    def _tasks_on(self, instance: InstanceId) -> tuple[str, ...]:
        return tuple(
            task_id
            for task_id, task in self.platform.task_by_id.items()
            if task.spec.worker == instance and task.state is TaskState.RUNNING
        )

    # Requests.

    def start_request(self, instance: InstanceId) -> bool:
        """Start one, as a dispatcher does with the view that it has."""
        placed = self.seen.instances[instance]
        is_up = self.platform.machines[instance].is_up
        if placed.is_draining or placed.pool != POOL or not is_up:
            return False
        self.running[instance] += 1
        return True

    def end_requests(self) -> None:
        self.running = dict.fromkeys(self.running, 0)

    def fail(self, instance: InstanceId) -> None:
        self.running[instance] = 0
        self.platform.break_machine(instance)
        self.broken_at.setdefault(instance, self.now)

    def replace(self, instance: InstanceId) -> None:
        self.running[instance] = 0
        self.platform.replace_machine(instance, 10.0)

    def new_wave(self, image: str = 'new') -> Wave:
        return Wave('w1', image, 'old')

    # The oracle.

    def interrupt(self, after: int, callback: Callable[[], None]) -> None:
        """Run something just before a later call."""
        self.interruption = (after, callback)

    def _maybe_interrupt(self) -> None:
        if self.interruption is None:
            return
        after, callback = self.interruption
        if after > 0:
            self.interruption = (after - 1, callback)
            return
        self.interruption = None
        self.was_interrupted = True
        callback()

    def _guard_store(self) -> None:
        write: Callable[..., Revision] = self.store.write
        read = self.store.read

        def interrupted(prefix: str) -> Snapshot:
            self._maybe_interrupt()
            return read(prefix)

        def checked(
            key: str,
            value: str | None,
            expected: Revision | None,
            write_id: WriteId,
            lease: str | None = None,
        ) -> Revision:
            self._maybe_interrupt()
            before = self.truth()
            ledgers = [self.ledger(service.id) for service in SERVICES]
            try:
                return write(key, value, expected, write_id, lease)
            finally:
                if key == document_key('placement', SHARD):
                    self._check_placement(before, self.truth())
                for service, ledger in zip(SERVICES, ledgers, strict=True):
                    self._check_ledger(service, ledger)

        self.store.read = interrupted  # type: ignore[method-assign]
        self.store.write = checked  # type: ignore[method-assign]

    def _check_ledger(self, service: Service, before: Ledger) -> None:
        after = self.ledger(service.id)
        zones = {name: claim.zone for name, claim in after.claims.items()}
        spent = after.failures | zones
        if not self.was_interrupted:
            spent |= self._listed_failures()
        for name in after.claims.keys() - before.claims.keys():
            if name not in spent.keys() - zones.keys():
                self._check_spent(service, spent, zones[name])

        truth = self.truth()
        for name in before.claims.keys() - after.claims.keys():
            if truth[name].is_draining and truth[name].pool == POOL:
                raise OracleError(f'{name} is stopped without a claim')

    def _check_spent(
        self, service: Service, spent: dict[str, str], zone: str
    ) -> None:
        budget = service.budget
        in_zone = [name for name, at in spent.items() if at == zone]
        if len(spent) > budget.unavailable:
            raise OracleError(f'{service.id}: {spent} is too many')
        if len(in_zone) > budget.unavailable_per_zone:
            raise OracleError(f'{service.id}: {in_zone} is too many')

    def _listed_failures(self) -> dict[str, str]:
        return {
            status.instance: self.seen.instances[status.instance].zone
            for status in self._statuses()
            if not status.is_healthy
            and self.seen.instances[status.instance].pool == POOL
        }

    def _check_placement(
        self, before: dict[str, Instance], after: dict[str, Instance]
    ) -> None:
        if before.keys() != after.keys():
            raise OracleError('an instance came or went')
        for name, now in after.items():
            if now.pool != before[name].pool:
                if self.running[InstanceId(name)]:
                    raise OracleError(f'{name} moved with requests running')
                if not self.seen.instances[name].is_draining:
                    raise OracleError(f'{name} moved before all saw it')
            if now.is_draining and not before[name].is_draining:
                self._check_marked(name)

    def _check_marked(self, name: str) -> None:
        for service in SERVICES:
            if name not in self.ledger(service.id).claims:
                raise OracleError(f'{name} drained without a claim')

    def _guard_platform(self) -> None:
        reboot = self.platform.reboot

        def checked(instance: InstanceId, boot_id: str, image: str) -> None:
            self._maybe_interrupt()
            count = len(self.platform.reboots)
            age_s = self._boot_age_s(instance)
            is_up = self.platform.machines[instance].is_up
            try:
                reboot(instance, boot_id, image)
            finally:
                if len(self.platform.reboots) > count:
                    self._check_reboot(instance, age_s, is_up, image)

        self.platform.reboot = checked  # type: ignore[method-assign]

    def _boot_age_s(self, instance: InstanceId) -> float:
        machine = self.platform.machines[instance]
        return self.now - machine.booted_at

    def _check_reboot(
        self, instance: InstanceId, age_s: float, is_up: bool, image: str
    ) -> None:
        if self.running[instance]:
            raise OracleError(f'{instance} cut {self.running[instance]}')
        if not self.truth()[instance].is_draining:
            raise OracleError(f'{instance} rebooted without a drain')
        if not self.seen.instances[instance].is_draining:
            raise OracleError(f'{instance} rebooted before all saw it')
        if image == 'new' and age_s < SETTINGS.window_s:
            raise OracleError(f'{instance} rebooted after {age_s} s')
