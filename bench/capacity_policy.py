"""Probes of pool, wave and job controllers on in-memory stand-ins."""

from dataclasses import dataclass
from dataclasses import field
from time import monotonic
from typing import Final

from bench.capacity import allocated_bytes
from bench.capacity import Probe
from bench.capacity import probe
from bench.capacity import PROBES
from bench.capacity import time_us
from bench.capacity_fleet import instance
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import Revision
from primroseledge.ids import TeamId
from primroseledge.ids import WriteId
from primroseledge.policy.job import Job
from primroseledge.policy.job_admission import JobInput
from primroseledge.policy.job_controller import JobController
from primroseledge.policy.plan import InstanceView
from primroseledge.policy.plan import Plan
from primroseledge.policy.plan import plan_key
from primroseledge.policy.plan import PoolInput
from primroseledge.policy.plan import Step
from primroseledge.policy.plan import StepState
from primroseledge.policy.plan import Wave
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.plan import WaveState
from primroseledge.policy.pool_controller import PoolController
from primroseledge.storage.documents import Budget
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Service
from primroseledge.storage.documents import Team
from primroseledge.storage.records import Records
from primroseledge.storage.store import Record
from primroseledge.storage.store import Snapshot
from standins.kv_store import KeyValueCore
from standins.kv_store import Stored
from standins.platform import Machine
from standins.platform import PlatformCore
from standins.platform import Program

POOL: Final = PoolId('pool-0')
SIZES: Final = (66, 132, 264)
JOB_SIZES: Final = (40, 80, 160)
WORKERS: Final = 40
SETTLING_STEPS: Final = 12


@dataclass(slots=True)
class CoreStore:
    """The stand-in's core as a store, with a count of its calls."""

    core: KeyValueCore = field(default_factory=KeyValueCore)
    calls: int = 0

    def read(self, prefix: str) -> Snapshot:
        self.calls += 1
        return snapshot(self.core, self.core.read(prefix, monotonic()))

    def write(
        self,
        key: str,
        value: str | None,
        expected: Revision | None,
        write_id: WriteId,
        lease: str | None = None,
    ) -> Revision:
        self.calls += 1
        revision = self.core.write(
            key, value, expected, write_id, lease, monotonic()
        )
        return Revision(revision)

    def watch(self, prefix: str, after: Revision, wait_s: float) -> Snapshot:
        return self.read(prefix)

    def grant_lease(self, ttl_s: float) -> str:
        return self.core.grant_lease(ttl_s, monotonic())

    def keep_alive(self, lease: str) -> None:
        self.core.keep_alive(lease, monotonic())


def snapshot(core: KeyValueCore, found: list[Stored]) -> Snapshot:
    """Return records of the stand-in as a snapshot."""
    return Snapshot(
        Revision(core.revision),
        tuple(
            Record(
                item.key,
                item.value,
                Revision(item.revision),
                WriteId(item.write_id),
            )
            for item in found
        ),
    )


@dataclass(slots=True)
class PoolWorld:
    """One pool under its controller."""

    controller: PoolController
    given: PoolInput
    store: CoreStore

    def step(self) -> None:
        """Let the controller make one step at a fixed time."""
        self.controller.step(1_000_000.0, self.given)


def pool_world(size: int, wave: Wave | None = None) -> PoolWorld:
    """Return a pool whose instances all serve, none of them due."""
    instances = [instance(number, pools=1) for number in range(size)]
    platform = PlatformCore(now=1_000_000.0)
    for item in instances:
        platform.machines[item.instance_id] = Machine('old')
    store = CoreStore()
    records = Records(store, lambda: WriteId('bench'))
    steps = {
        item.id: Step(
            StepState.RETURNED,
            'boot-1',
            1000,
            'wave-1',
            zone=item.zone,
        )
        for item in instances
    }
    records.swap(plan_key(POOL), Plan(wave, steps), Revision(0))
    view = {item.instance_id: seen(item) for item in instances}
    shards = {InstanceId(item.id): 's0' for item in instances}
    service = Service('service-0', 'team-0', POOL, budget=Budget(2, 1))
    controller = PoolController(
        POOL, records, platform, platform, WaveSettings()
    )
    return PoolWorld(controller, PoolInput((service,), view, shards), store)


def seen(item: Instance) -> InstanceView:
    """Return what is known of an instance that has just been rebooted."""
    return InstanceView(item, 'boot-1', 100.0, True, 'new', 0, Revision(2000))


def open_wave() -> Wave:
    """Return a wave that goes on."""
    return Wave('wave-1', 'new', 'old', state=WaveState.WIDENING, width=2)


@probe('µs', 'instance of the pool', SIZES)
def pool_step_us(size: int) -> float:
    """One step of a pool's controller without a wave."""
    return time_us(pool_world(size).step, 20)


@probe('µs', 'instance of the pool', SIZES)
def wave_step_us(size: int) -> float:
    """One step of a pool's controller with an open wave."""
    return time_us(pool_world(size, open_wave()).step, 20)


@probe('calls', 'instance of the pool', SIZES)
def pool_step_calls(size: int) -> float:
    """Store calls of one step of a pool's controller with a wave."""
    world = pool_world(size, open_wave())
    world.step()
    before = world.store.calls
    world.step()
    return float(world.store.calls - before)


@probe('bytes', 'instance of the pool', SIZES)
def plan_bytes(size: int) -> float:
    """Length of a pool's plan in the store."""
    world = pool_world(size, open_wave())
    value = world.store.read(plan_key(POOL)).records[0].value
    return float(len(value or ''))


@probe('bytes', 'instance of the pool', SIZES)
def pool_bytes(size: int) -> float:
    """Memory of a pool's controller with its input and plan."""

    def build() -> PoolWorld:
        world = pool_world(size, open_wave())
        world.step()
        return world

    return allocated_bytes(build)


@dataclass(slots=True)
class JobWorld:
    """Jobs that run on a group's workers under one controller."""

    controller: JobController
    given: JobInput
    store: CoreStore

    def step(self) -> None:
        """Let the controller make one step at a fixed time."""
        self.controller.step(10.0, self.given)


def job_world(size: int) -> JobWorld:
    """Return a world with so many jobs that wait or run."""
    fleet = [instance(number, pools=1) for number in range(WORKERS)]
    platform = PlatformCore(now=10.0)
    for item in fleet:
        platform.machines[item.instance_id] = Machine(
            'old', memory_mb=float(item.memory_mb)
        )
    store = CoreStore()
    controller = JobController(
        Records(store, lambda: WriteId('bench')), platform
    )
    for number in range(size):
        job = Job(f'job-{number}', 'team-0', memory_mb=500.0)
        platform.programs[job.job_id] = Program(run_s=1e6)
        controller.submit(job)
    teams = {TeamId('team-0'): Team('team-0', share=1, limit=1_000_000)}
    world = JobWorld(controller, JobInput(teams, fleet, fleet), store)
    for _ in range(SETTLING_STEPS):
        world.step()
    return world


@probe('µs', 'running job', JOB_SIZES)
def job_step_us(size: int) -> float:
    """One step of a job controller with jobs on 40 workers."""
    return time_us(job_world(size).step, 10)


@probe('calls', 'running job', JOB_SIZES)
def job_step_calls(size: int) -> float:
    """Store calls of one step of a job controller."""
    world = job_world(size)
    before = world.store.calls
    world.step()
    return float(world.store.calls - before)


@probe('bytes', 'running job', JOB_SIZES)
def job_bytes(size: int) -> float:
    """Memory of a job controller with its jobs in the stand-ins."""
    return allocated_bytes(lambda: job_world(size))


@probe('bytes', 'running job', JOB_SIZES)
def job_record_bytes(size: int) -> float:
    """Length of the jobs' records, as each step reads them."""
    records = job_world(size).store.read('job').records
    return float(sum(len(record.value or '') for record in records))


def policy_probes() -> dict[str, Probe]:
    """Return the probes of this module and of those loaded before."""
    return PROBES
