"""Jobs that stand still in a soak are told from those that have to wait."""

from standins.job_evidence import EvidenceKind
from standins.job_evidence import JobEvidence
from standins.job_evidence import StepEvidence
from tests.job_soak_world import CAUSES
from tests.job_soak_world import END_ACKS
from tests.job_soak_world import FULL
from tests.job_soak_world import JudgeTestCase
from tests.job_soak_world import STANDING
from tests.job_soak_world import STEP
from tests.job_soak_world import TASK
from tests.job_soak_world import World


class StandingTest(JudgeTestCase):
    def finish(self, world: World, at: float, worker: str = 'w1') -> None:
        world.run(worker, at, at + 1.0, acked_at=at + 1.1, run=9)
        world.ask(at + 1.2, 'completed')

    def test_job_with_nothing_running(self) -> None:
        world = World()
        world.submit(5.0)
        self.finish(world, 8.0)
        self.assert_broken(world, STANDING)
        self.assertIn(
            f'{TASK} of copper stood for 3.000 s, from 5.000 to 8.000',
            self.example(world, STANDING),
        )

    def test_job_that_starts_in_time(self) -> None:
        world = World()
        world.submit(5.0)
        self.finish(world, 7.9)
        self.assert_broken(world)

    def test_fault_just_before(self) -> None:
        world = World()
        world.submit(5.0)
        world.fault(0.0, 1.2, 'w2')
        self.finish(world, 8.0)
        self.assert_broken(world)

    def test_fault_long_before(self) -> None:
        world = World()
        world.submit(5.0)
        world.fault(0.0, 1.0, 'w2')
        self.finish(world, 8.0)
        self.assert_broken(world, STANDING)

    def test_fault_within(self) -> None:
        world = World()
        world.submit(5.0)
        world.fault(7.9, 8.1, 'w2')
        self.finish(world, 8.5)
        self.assert_broken(world)

    def test_after_a_run_that_ended_unnoted(self) -> None:
        world = World()
        world.submit(4.0)
        world.run('w1', 4.1, 5.0, 'stopped')
        self.finish(world, 8.2)
        self.assert_broken(world, STANDING, END_ACKS)
        self.assertIn('ended stopped at 5.000', self.example(world, STANDING))

    def test_room_for_one_only(self) -> None:
        world = World()
        world.jobs.append(
            JobEvidence('b', 'copper', 's', (StepEvidence(3, 1000, 9.0),))
        )
        world.submit(1.0, job='b')
        for number, worker in enumerate(('w1', 'w1', 'w2')):
            world.run(worker, 1.0, 20.0, task=f'b.0.0.{number}')
        world.submit(5.0)
        self.finish(world, 9.0, 'w2')
        self.assert_broken(world)

    def test_room_twice_over_in_a_pool_that_is_half_full(self) -> None:
        world = World()
        world.jobs.append(
            JobEvidence('b', 'copper', 's', (StepEvidence(2, 1000, 9.0),))
        )
        world.submit(1.0, job='b')
        for number, worker in enumerate(('w1', 'w1')):
            world.run(worker, 1.0, 20.0, task=f'b.0.0.{number}')
        world.submit(5.0)
        self.finish(world, 8.0, 'w2')
        self.assert_broken(world, FULL)

    def test_large_task_that_fits_on_one_worker_only(self) -> None:
        world = World(StepEvidence(1, 2000, 1.0))
        world.jobs.append(
            JobEvidence('b', 'copper', 's', (StepEvidence(1, 100, 9.0),))
        )
        world.submit(1.0, job='b')
        world.run('w1', 1.0, 20.0, task='b.0.0.0')
        world.submit(5.0)
        self.finish(world, 9.0, 'w2')
        self.assert_broken(world)

    def test_workers_that_are_not_ready(self) -> None:
        for kind in (EvidenceKind.DRAINING, EvidenceKind.PAUSED):
            world = World()
            world.line(0.1, 'w1', kind)
            world.line(0.1, 'w2', kind)
            world.submit(5.0)
            self.finish(world, 9.0)
            self.assert_broken(world)

    def test_worker_of_another_pool(self) -> None:
        world = World()
        world.jobs[0] = JobEvidence('a', 'tin', 'sales', (STEP,))
        world.submit(5.0)
        self.finish(world, 9.0)
        self.assert_broken(world)

    def test_label_that_one_worker_has(self) -> None:
        for cpu_millis, conditions in ((2000, ()), (1000, (STANDING,))):
            world = World(StepEvidence(1, cpu_millis, 1.0, label='fast'))
            world.boot(0.5, 'w3', labels=('fast',))
            world.submit(5.0)
            self.finish(world, 9.0, 'w3')
            self.assert_broken(world, *conditions)

    def test_gang_that_fits_once(self) -> None:
        world = World(StepEvidence(3, 1000, 1.0, is_gang=True))
        world.submit(5.0)
        self.finish(world, 9.0)
        self.assert_broken(world)

    def test_gang_that_fits_twice(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0, is_gang=True))
        world.submit(5.0)
        self.finish(world, 9.0)
        self.assert_broken(world, STANDING)

    def test_step_whose_turn_has_not_come(self) -> None:
        world = World(STEP, StepEvidence(1, 1000, 1.0, after=(0,)))
        world.submit(3.9)
        world.run('w1', 4.0, 7.0, acked_at=7.1)
        world.run('w1', 9.9, 10.0, acked_at=10.1, task='a.0.1.0')
        world.ask(10.2, 'completed')
        self.assert_broken(world)

    def test_step_whose_turn_has_come(self) -> None:
        world = World(STEP, StepEvidence(1, 1000, 1.0, after=(0,)))
        world.submit(3.9)
        world.run('w1', 4.0, 5.0, acked_at=5.1)
        world.run('w1', 8.1, 9.0, acked_at=9.1, task='a.0.1.0')
        world.ask(9.2, 'completed')
        self.assert_broken(world, STANDING)

    def test_job_whose_last_end_was_noted_before_its_worker_ended(
        self,
    ) -> None:
        for state, conditions in (('completed', ()), ('running', (STANDING,))):
            world = World()
            world.submit(3.9)
            world.run('w1', 4.0, 5.0)
            world.crash(5.1, 'w1')
            world.boot(5.1, 'w3')
            world.ask(9.0, state)
            world.cancel(9.1)
            self.assert_broken(world, *conditions)

    def test_job_that_has_failed_too_often(self) -> None:
        world = World()
        world.submit(4.0)
        world.run('w1', 4.1, 5.0, 'failed', acked_at=5.1)
        world.run('w1', 5.1, 6.0, 'failed', acked_at=6.1, run=2)
        world.run('w1', 6.1, 7.0, 'failed', acked_at=7.1, run=3)
        world.ask(20.0, 'failed')
        self.assert_broken(world)

    def test_job_that_has_failed_less_often(self) -> None:
        world = World()
        world.submit(4.0)
        world.run('w1', 4.1, 5.0, 'failed', acked_at=5.1)
        world.run('w1', 5.1, 6.0, 'failed', acked_at=6.1, run=2)
        world.ask(20.0, 'failed')
        self.assert_broken(world, STANDING, CAUSES)

    def test_cancelled_job(self) -> None:
        world = World()
        world.submit(5.0)
        world.cancel(7.9)
        world.ask(20.0, 'cancelled')
        self.assert_broken(world)

    def test_long_running_task_that_stays_away(self) -> None:
        world = World(StepEvidence(2, 1000, 0.0, is_long_running=True))
        world.submit(4.0)
        world.run('w1', 4.1, task='a.0.0.1')
        world.run('w2', 4.1, 5.0, 'failed', acked_at=5.1)
        world.run('w2', 14.0, run=2)
        world.ask(15.0, 'running')
        self.assert_broken(world, STANDING)

    def test_long_running_task_that_returns_in_time(self) -> None:
        world = World(StepEvidence(2, 1000, 0.0, is_long_running=True))
        world.submit(4.0)
        world.run('w1', 4.1, task='a.0.0.1')
        world.run('w2', 4.1, 5.0, 'failed', acked_at=5.1)
        world.run('w2', 13.9, run=2)
        world.ask(15.0, 'running')
        self.assert_broken(world)

    def test_example_tells_what_other_jobs_did(self) -> None:
        world = World()
        world.jobs.append(JobEvidence('b', 'copper', 's', (STEP,)))
        world.jobs.append(JobEvidence('c', 'copper', 's', (STEP,)))
        world.submit(5.0, job='b')
        world.run('w2', 5.5, 6.5, acked_at=6.6, task='b.0.0.0')
        world.ask(6.7, 'completed', job='b')
        world.submit(5.0, job='c')
        world.submit(5.0)
        self.finish(world, 9.0)
        example = self.example(world, STANDING)
        self.assertIn("1 starts of 1 other jobs {'b': 1}", example)
        self.assertIn('1 others stood', example)
