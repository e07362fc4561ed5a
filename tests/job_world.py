"""Workers and jobs for tests, with an oracle on what really ran."""

from typing import Final

from msgspec import json

from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import TeamId
from primroseledge.ids import WriteId
from primroseledge.policy.job import Job
from primroseledge.policy.job import job_key
from primroseledge.policy.job import JOBS_PREFIX
from primroseledge.policy.job_admission import JobInput
from primroseledge.policy.job_controller import JobController
from primroseledge.storage.documents import Instance
from primroseledge.storage.documents import Team
from primroseledge.storage.records import Records
from primroseledge.storage.task_service import TaskState
from standins.platform import Machine
from standins.platform import PlatformCore
from standins.platform import Program
from tests.policy_fake import FakeStore

TEAMS: Final = {
    TeamId('big'): Team('big', share=3, limit=12),
    TeamId('small'): Team('small', share=1, limit=4),
}
REPLACE_S: Final = 25.0


class JobOracleError(AssertionError):
    """A job ran twice, or a team ran more than its limit."""


class JobWorld:
    """Two racks of workers under one job controller or more."""

    def __init__(self, workers: int = 4, memory_mb: int = 16_000) -> None:
        self.now = 0.0
        self.store = FakeStore()
        self.platform = PlatformCore(lag_s=2.0, boot_s=10.0)
        self.fleet = list[Instance]()
        self.writes = 0
        self.broken_at: dict[InstanceId, float] = {}
        self.draining: set[InstanceId] = set()
        self.teams = dict(TEAMS)
        self.outage_ends = self.platform_back = 0.0
        for number in range(workers):
            name = f'w{number}'
            self.fleet.append(
                Instance(
                    name,
                    'jobs',
                    'z',
                    f'r{number // 2}',
                    'h:1',
                    cores=8,
                    memory_mb=memory_mb,
                    accelerators=2,
                )
            )
            machine = Machine('old', memory_mb=float(memory_mb))
            self.platform.machines[InstanceId(name)] = machine

    def controller(self) -> JobController:
        def next_write_id() -> WriteId:
            self.writes += 1
            return WriteId(str(self.writes))

        return JobController(Records(self.store, next_write_id), self.platform)

    def submit(self, job: Job, program: Program | None = None) -> None:
        self.platform.programs[job.job_id] = program or Program(run_s=5.0)
        self.controller().submit(job)

    def advance(self, seconds: float) -> None:
        self.now += seconds
        self.platform.advance(self.now)
        if self.now >= self.outage_ends:
            self.store.is_down = False
        if self.now >= self.platform_back:
            self.platform.is_down = False
        for name, broken_at in list(self.broken_at.items()):
            if self.now - broken_at > REPLACE_S:
                del self.broken_at[name]
                self.platform.replace_machine(name, 5.0)

    def break_worker(self, number: int) -> None:
        name = InstanceId(f'w{number}')
        self.platform.break_machine(name)
        self.broken_at.setdefault(name, self.now)

    def given(self) -> JobInput:
        ready = [
            worker
            for worker in self.fleet
            if self.platform.machines[worker.instance_id].is_up
            and worker.instance_id not in self.draining
        ]
        return JobInput(self.teams, ready, self.fleet)

    def run(self, controller: JobController, seconds: int) -> None:
        for _ in range(seconds):
            self.advance(1.0)
            controller.step(self.now, self.given())
            self.check()

    def job(self, job_id: str) -> Job:
        record = self.store.records[job_key(JobId(job_id))]
        return json.decode(record.value or '', type=Job)

    def jobs(self) -> list[Job]:
        return [
            json.decode(record.value or '', type=Job)
            for key, record in self.store.records.items()
            if key.startswith(JOBS_PREFIX)
        ]

    def running_tasks(self) -> int:
        return sum(
            task.state is TaskState.RUNNING
            for task in self.platform.task_by_id.values()
        )

    def starts(self, job_id: str) -> list[str]:
        return [
            task_id
            for task_id, _ in self.platform.starts
            if task_id.startswith(f'{job_id}/')
        ]

    def check(self) -> None:
        """Check what runs now, and what ever ran at most once."""
        running = dict[str, set[str]]()
        teams = dict[str, int]()
        jobs = {job.id: job for job in self.jobs()}
        for task_id, task in self.platform.task_by_id.items():
            if task.state is not TaskState.RUNNING:
                continue
            job_id, attempt, _ = task_id.split('/')
            running.setdefault(job_id, set()).add(attempt)
            team = jobs[job_id].team
            teams[team] = teams.get(team, 0) + 1
        for job_id, attempts in running.items():
            if len(attempts) > 1:
                raise JobOracleError(f'{job_id} runs twice: {attempts}')
        for team, count in teams.items():
            if count > self.teams[TeamId(team)].limit:
                raise JobOracleError(f'{team} runs {count}')
        for job in jobs.values():
            attempts = {task.split('/')[1] for task in self.starts(job.id)}
            if not job.is_idempotent and len(attempts) > 1:
                raise JobOracleError(f'{job.id} ran again: {attempts}')
