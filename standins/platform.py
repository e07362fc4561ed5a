"""A small stand-in for the platform: instances and tasks.

A plain core in virtual time: ``advance`` is given the time, and the
calls of the protocols act at that time. Faults are fields that a test
sets. Nothing here opens a socket; ``platform_server`` does.
"""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.storage.task_service import InstanceStatus
from primroseledge.storage.task_service import Life
from primroseledge.storage.task_service import PlatformOutcomeUnknownError
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskSpec
from primroseledge.storage.task_service import TaskState
from primroseledge.storage.task_service import TaskStatus


@dataclass(slots=True)
class Program:
    """What a job really does, whatever was declared.

    ``memory_mb`` is reached evenly over the first half of ``run_s``.
    """

    run_s: float = 30.0
    cores: float = 1.0
    memory_mb: float = 500.0
    is_failing: bool = False


@dataclass(slots=True)
class Machine:
    """An instance as it really is."""

    image: str
    memory_mb: float = 64_000.0
    boot: int = 1
    booted_at: float = 0.0
    back_at: float | None = None
    is_broken: bool = False
    is_failing_tasks: bool = False
    life: Life = Life.LIVE

    @property
    def is_up(self) -> bool:
        """Tell whether it serves."""
        return self.back_at is None and not self.is_broken


@dataclass(slots=True)
class Task:
    """A task as it really is; ``progress_s`` is work done."""

    spec: TaskSpec
    state: TaskState
    lease_until: float
    progress_s: float = 0.0
    saved_s: float = 0.0
    speed: float = 1.0
    throttled_mb: float | None = None
    has_started: bool = True


@dataclass
class PlatformCore:
    """Instances that drain and reboot, and tasks under leases."""

    lag_s: float = 2.0
    boot_s: float = 30.0
    now: float = 0.0
    machines: dict[InstanceId, Machine] = field(default_factory=dict)
    programs: dict[JobId, Program] = field(default_factory=dict)
    task_by_id: dict[str, Task] = field(default_factory=dict)
    is_down: bool = False
    answers_to_lose: int = 0
    bad_images: set[str] = field(default_factory=set)
    reboots: list[tuple[InstanceId, str]] = field(default_factory=list)
    starts: list[tuple[str, InstanceId]] = field(default_factory=list)
    _listed: list[InstanceStatus] = field(default_factory=list)
    _listed_at: float = -1e9
    _usage: dict[str, tuple[float, float, float]] = field(default_factory=dict)

    def advance(self, now: float) -> None:
        """Let time pass up to ``now``."""
        elapsed, self.now = now - self.now, now
        for machine in self.machines.values():
            if machine.back_at is not None and now >= machine.back_at:
                machine.back_at = None
                machine.booted_at = now
                if machine.image in self.bad_images:
                    machine.is_broken = True
        for task in self.task_by_id.values():
            if task.state is TaskState.RUNNING:
                self._run(task, elapsed)
        if now - self._listed_at >= self.lag_s:
            self._listed_at = now
            self._listed = [self._status(name) for name in self.machines]
            self._usage = {
                task_id: (now, *self._used(task))
                for task_id, task in self.task_by_id.items()
            }

    def break_machine(self, instance: InstanceId) -> None:
        """Let an instance fail; its tasks are lost."""
        self.machines[instance].is_broken = True
        self._lose_tasks(instance)

    def replace_machine(self, instance: InstanceId, boot_s: float) -> None:
        """Restart an instance, as the platform does by itself."""
        machine = self.machines[instance]
        machine.boot += 1
        machine.is_broken = False
        machine.back_at = self.now + boot_s
        self._lose_tasks(instance)

    # The instance service.

    def instances(self) -> list[InstanceStatus]:
        """Return the list, as old as the lag."""
        self._check()
        age_s = self.now - self._listed_at
        return [
            replace(line, boot_age_s=line.boot_age_s + age_s)
            for line in self._listed
            if line.instance in self.machines
        ]

    def drain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance is leaving."""
        self._check()
        self.machines[instance].life = Life.LEAVING
        self._answer()

    def undrain(self, instance: InstanceId, operation: str) -> None:
        """Announce that an instance stays."""
        self._check()
        if instance in self.machines:
            self.machines[instance].life = Life.LIVE
        self._answer()

    def reboot(self, instance: InstanceId, boot_id: str, image: str) -> None:
        """Reboot an instance if it still has this boot."""
        self._check()
        machine = self.machines.get(instance)
        if machine is not None and boot_id == f'{instance}-{machine.boot}':
            machine.image = image
            self.reboots.append((instance, boot_id))
            self.replace_machine(instance, self.boot_s)
        self._answer()

    # The task service.

    def submit(self, spec: TaskSpec) -> None:
        """Start a task, at most once for a task id."""
        self._check()
        if spec.task_id not in self.task_by_id:
            machine = self.machines.get(spec.worker)
            is_ready = machine is not None and machine.is_up
            state = TaskState.RUNNING if is_ready else TaskState.LOST
            task = Task(spec, state, self.now + spec.lease_s)
            task.has_started = is_ready
            if spec.checkpoint:
                task.progress_s = float(spec.checkpoint)
                task.saved_s = task.progress_s
            self.task_by_id[spec.task_id] = task
            if is_ready:
                self.starts.append((spec.task_id, spec.worker))
        self._answer()

    def tasks(self) -> list[TaskStatus]:
        """Return all tasks; usage is as old as the lag."""
        self._check()
        return [self._task_status(task) for task in self.task_by_id.values()]

    def keep_alive(self, task_ids: list[str]) -> None:
        """Renew the leases of tasks."""
        self._check()
        for task_id in task_ids:
            task = self.task_by_id.get(task_id)
            if task is not None:
                task.lease_until = self.now + task.spec.lease_s
        self._answer()

    def checkpoint(self, task_id: str) -> str:
        """Save the progress of a running task."""
        self._check()
        task = self.task_by_id[task_id]
        if task.state is TaskState.RUNNING:
            task.saved_s = task.progress_s
        self._answer()
        return str(task.saved_s)

    def throttle(self, task_id: str, fraction: float) -> None:
        """Slow a task down; it keeps the memory that it has."""
        self._check()
        task = self.task_by_id[task_id]
        task.throttled_mb = self._used(task)[1] if fraction < 1 else None
        task.speed = fraction
        self._answer()

    def stop(self, task_id: str) -> None:
        """Stop a task, or refuse it for good when it isn't known."""
        self._check()
        task = self.task_by_id.get(task_id)
        if task is None:
            spec = TaskSpec(
                task_id, JobId(''), InstanceId(''), 0.0, 0.0, 0, 0.0
            )
            self.task_by_id[task_id] = Task(spec, TaskState.STOPPED, 0.0)
            self.task_by_id[task_id].has_started = False
        elif task.state is TaskState.RUNNING:
            task.state = TaskState.STOPPED
        self._answer()

    # Helpers.

    def _check(self) -> None:
        if self.is_down:
            raise PlatformUnavailableError('the platform is down')

    def _answer(self) -> None:
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise PlatformOutcomeUnknownError('the answer was lost')

    def _status(self, name: InstanceId) -> InstanceStatus:
        machine = self.machines[name]
        return InstanceStatus(
            name,
            machine.life,
            f'{name}-{machine.boot}',
            self.now - machine.booted_at if machine.back_at is None else 0.0,
            machine.is_up,
            machine.image,
        )

    def _used(self, task: Task) -> tuple[float, float]:
        program = self.programs.get(task.spec.job, Program())
        part = min(task.progress_s / max(program.run_s / 2, 0.001), 1.0)
        memory_mb = program.memory_mb * part
        if task.throttled_mb is not None:
            memory_mb = min(memory_mb, task.throttled_mb)
        return program.cores * task.speed, memory_mb

    def _task_status(self, task: Task) -> TaskStatus:
        task_id = task.spec.task_id
        at, cores, memory_mb = self._usage.get(task_id, (self.now, 0.0, 0.0))
        return TaskStatus(
            task_id,
            task.spec.job,
            task.spec.worker,
            task.state,
            cores,
            memory_mb,
            self.now - at,
            str(task.saved_s) if task.saved_s else '',
            'ok' if task.state is TaskState.SUCCEEDED else '',
            task.has_started,
        )

    def _run(self, task: Task, elapsed: float) -> None:
        if self.now > task.lease_until:
            task.state = TaskState.STOPPED
            return
        program = self.programs.get(task.spec.job, Program())
        task.progress_s += elapsed * task.speed
        machine = self.machines.get(task.spec.worker)
        if machine is None or not machine.is_up:
            task.state = TaskState.LOST
        elif machine.is_failing_tasks or program.is_failing:
            task.state = TaskState.FAILED
        elif self._total_mb(task.spec.worker) > machine.memory_mb:
            self._lose_tasks(task.spec.worker)
        elif task.progress_s >= program.run_s:
            task.state = TaskState.SUCCEEDED

    def _total_mb(self, worker: InstanceId) -> float:
        return sum(
            self._used(task)[1]
            for task in self.task_by_id.values()
            if task.spec.worker == worker and task.state is TaskState.RUNNING
        )

    def _lose_tasks(self, instance: InstanceId) -> None:
        for task in self.task_by_id.values():
            is_here = task.spec.worker == instance
            if is_here and task.state is TaskState.RUNNING:
                task.state = TaskState.LOST
