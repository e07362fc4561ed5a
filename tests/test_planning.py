"""Tests of the planning of starts, and of what keeps it cheap.

Planning follows what changed: jobs with waiting tasks are kept in an index,
and workers are ranked once for all tasks of a step. Guards against a job
that never starts because the index lacks it, and against choices that differ
from those of a comparison of all workers for each task.
"""

from random import Random
import unittest

from msgspec import structs

from bench.job_fleet import JobFleet
from bench.job_load import small_shape
from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.ids import WorkspaceId
from primroseledge.ids import ZoneId
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.configuration import Service
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.job import Job
from primroseledge.jobs.job import StepOccurrence
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.jobs.task import Run
from primroseledge.jobs.task import Task
from primroseledge.jobs.task import TaskKey
from primroseledge.scheduling.capacity_shortage import MAX_UNPLACED_STEPS
from primroseledge.scheduling.fleet_state import FleetState
from primroseledge.scheduling.placement import choose_worker
from primroseledge.scheduling.placement import count_placement
from primroseledge.scheduling.planning import MIN_PLANNED_STARTS
from primroseledge.scheduling.worker_choice import WorkerChooser
from primroseledge.workers.worker import Worker
from primroseledge.workers.worker import WorkerEntry
from primroseledge.workers.worker import WorkerState
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE


def make_random_worker(random: Random, number: int) -> Worker:
    """Return a worker of random size and rack with some tasks on it."""
    capacity = Resources(random.choice((8_000, 16_000)), 32_000, 0)
    worker = Worker(
        WorkerEntry(
            WorkerId(f'w{number}'),
            Boot(1),
            SERVICE,
            'address',
            ZoneId('north'),
            WorkerState.READY,
            capacity,
            ('a', f'rack-{random.randrange(4)}'),
        )
    )
    for index in range(random.randrange(5)):
        spec = StepSpec(
            count=1,
            resources=Resources(random.choice((500, 2_000)), 100, 0),
            is_long_running=random.random() < 0.3,
        )
        key = TaskKey(JobId(f'other-{number}'), 0, 0, index)
        worker.add_task(Task(key, spec))
    return worker


def make_random_step(random: Random) -> StepOccurrence:
    """Return a step with random rules, some of whose tasks have failed."""
    spec = StepSpec(
        count=random.randrange(1, 20),
        resources=Resources(random.choice((500, 1_500, 3_000)), 100, 0),
        data_rack=random.choice(('', 'rack-1')),
        max_per_worker=random.choice((0, 0, 2)),
        needs_single_rack=random.random() < 0.2,
        is_long_running=random.random() < 0.2,
    )
    tasks = [
        Task(TaskKey(JobId('a'), 0, 0, number), spec)
        for number in range(spec.count)
    ]
    for task in tasks:
        if random.random() < 0.1:
            task.failed_workers.add(WorkerId(f'w{random.randrange(8)}'))
    return StepOccurrence(0, 0, spec, tasks)


def place_all(
    step: StepOccurrence, workers: list[Worker], is_ranked_once: bool
) -> list[WorkerId | None]:
    """Place the tasks of a step, and return the worker of each."""
    chosen = list[WorkerId | None]()
    placement = count_placement(step, {w.id: w for w in workers})
    chooser = WorkerChooser(step.spec, workers, placement)
    for task in step.tasks:
        if is_ranked_once:
            worker = chooser.choose(task)
        else:
            others = [w for w in workers if w.id not in task.failed_workers]
            worker = choose_worker(
                step.spec, others, placement
            ) or choose_worker(step.spec, workers, placement)
        chosen.append(worker.id if worker else None)
        if worker is None:
            break
        worker.add_task(task)
        task.run = Run(1, worker.id, worker.entry.boot)
        placement.per_worker[worker.id] += 1
        placement.per_rack[worker.rack] += 1
        chooser.record_placement(worker)
    return chosen


class ChoiceTest(unittest.TestCase):
    def test_workers_ranked_once_are_chosen_as_by_full_comparison(
        self,
    ) -> None:
        for seed in range(300):
            random = Random(seed)
            count = random.randrange(1, 12)
            chosen = [
                place_all(
                    make_random_step(Random(seed)),
                    [
                        make_random_worker(Random(f'{seed} {number}'), number)
                        for number in range(count)
                    ],
                    is_ranked_once,
                )
                for is_ranked_once in (True, False)
            ]
            with self.subTest(seed=seed):
                self.assertEqual(chosen[1], chosen[0])

    def test_counts_of_kinds_follow_the_tasks(self) -> None:
        worker = make_random_worker(Random(3), 1)
        spec = StepSpec(
            count=1, is_long_running=True, is_best_effort=True, target_ms=5
        )
        task = Task(TaskKey(JobId('a'), 0, 0, 0), spec)
        before = worker.long_running_count
        worker.add_task(task)
        self.assertEqual(before + 1, worker.long_running_count)
        self.assertEqual(1, worker.best_effort_count)
        self.assertEqual(1, worker.objective_count)
        worker.remove_task(task)
        self.assertEqual(before, worker.long_running_count)
        self.assertEqual(0, worker.best_effort_count)


class ShortageTest(unittest.TestCase):
    """Steps that can't start must not keep others from starting."""

    def submit_limited(self, bench: EngineBench, count: int) -> None:
        """Submit jobs that wait for the limit of their workspace."""
        for number in range(count):
            bench.submit(make_job(f'limited-{number}', make_step(1, 3000)))

    def test_steps_at_their_limit_let_other_workspaces_start(self) -> None:
        bench = EngineBench(
            make_worker_entry('worker-1'), limit=Resources(2000, 0, 0)
        )
        other = WorkspaceId('other')
        configuration = bench.engine.state.configuration
        configuration.workspaces[other] = Workspace(other, frozenset())
        self.submit_limited(bench, MAX_UNPLACED_STEPS + 3)
        job = structs.replace(
            make_job('z', make_step(1)), workspace=other, accepted_ms=200_000
        )
        bench.submit(job)
        bench.store_changes()
        self.assertEqual(
            [job.id], [start.task.job for start in bench.pop_starts()]
        )

    def test_unplaced_long_running_steps_let_batch_steps_start(self) -> None:
        bench = EngineBench(
            *(make_worker_entry(f'worker-{number}') for number in range(8))
        )
        for number in range(MAX_UNPLACED_STEPS + 3):
            step = make_step(1, 17_000, is_long_running=True, max_per_worker=1)
            bench.submit(make_job(f'long-{number}', step))
        bench.submit(make_job('z', make_step(1)))
        bench.store_changes()
        self.assertEqual(
            ['z'], [start.task.job for start in bench.pop_starts()]
        )

    def test_smaller_steps_start_when_larger_ones_do_not_fit(self) -> None:
        bench = EngineBench(make_worker_entry('worker-1'))
        for number in range(MAX_UNPLACED_STEPS + 3):
            bench.submit(make_job(f'large-{number}', make_step(1, 17_000)))
        bench.submit(make_job('z', make_step(1)))
        bench.store_changes()
        self.assertEqual(
            ['z'], [start.task.job for start in bench.pop_starts()]
        )


class ServiceOrderTest(unittest.TestCase):
    """A service with many tasks to start must not hold up another."""

    def count_batches_before_other(
        self, busy: ServiceId, other: ServiceId
    ) -> int:
        """Return how many batches have starts of a busy service only."""
        bench = EngineBench()
        config = bench.engine.state.configuration
        for service in (busy, other):
            config.services[service] = Service(service)
            queue = QueueId(f'queue of {service}')
            config.queues[queue] = Queue(queue, 'host', '/', service)
        jobs = [
            (f'{number:03}', busy) for number in range(10 * MIN_PLANNED_STARTS)
        ]
        for name, service in [*jobs, ('other', other)]:
            job = make_job(name, make_step(1, 10))
            queue = QueueId(f'queue of {service}')
            bench.submit(structs.replace(job, queue=queue))
        bench.store_changes()
        bench.list_workers(
            make_worker_entry('worker-1', busy),
            make_worker_entry('worker-2', other),
        )
        bench.answer_poll(WorkerId('worker-1'))
        bench.answer_poll(WorkerId('worker-2'))
        bench.store_changes()
        jobs_of_batches = [
            {start.task.key.job for start in batch.starts}
            for batch in bench.batches
            if batch.starts
        ]
        return next(
            number
            for number, started in enumerate(jobs_of_batches)
            if 'other' in started
        )

    def test_services_take_turns_when_many_starts_are_planned(self) -> None:
        first, second = ServiceId('first'), ServiceId('second')
        self.assertLess(self.count_batches_before_other(first, second), 5)
        self.assertLess(self.count_batches_before_other(second, first), 5)


class IndexTest(unittest.TestCase):
    def check_index(self, state: FleetState) -> None:
        """Check that the index has each job with tasks to start."""
        for job in state.active_jobs.values():
            service = state.service_of(job)
            if service is not None and list(job.waiting_steps()):
                self.assertIn(job.accepted.id, state.waiting_jobs[service])

    def test_index_has_all_waiting_jobs_throughout_a_load(self) -> None:
        fleet = JobFleet(small_shape(), seed=5)
        reconcile = fleet.reconcile

        def reconcile_and_check() -> None:
            reconcile()
            self.check_index(fleet.engine.state)

        fleet.reconcile = reconcile_and_check  # type: ignore[method-assign]
        outcome = fleet.play()
        self.assertEqual(0.0, outcome.failed_share())

    def test_ended_jobs_leave_the_index(self) -> None:
        bench = EngineBench(make_worker_entry('worker-1'))
        job = make_job('a', make_step(40, 16_000))
        bench.run_job(job)
        state = bench.engine.state
        self.assertIn(job.id, state.waiting_jobs[SERVICE])
        bench.cancel(job)
        bench.store_changes()
        bench.reconcile(1.0)
        self.assertEqual({}, state.waiting_jobs[SERVICE])

    def test_a_final_job_has_no_waiting_steps(self) -> None:
        job = Job(make_job('a', make_step(2)))
        job.open_due_steps(0)
        self.assertEqual(1, len(list(job.waiting_steps())))
        job.state = JobState.CANCELLED
        self.assertEqual([], list(job.waiting_steps()))


if __name__ == '__main__':
    unittest.main()
