"""The judge finds runs out of order, too many, and ends not noted."""

from standins.job_evidence import JobEvidence
from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence
from standins.job_soak_judge import judge
from tests.job_soak_world import BUDGET
from tests.job_soak_world import CANCEL_ACKS
from tests.job_soak_world import END_ACKS
from tests.job_soak_world import JudgeTestCase
from tests.job_soak_world import LONG
from tests.job_soak_world import ORDER
from tests.job_soak_world import STEP
from tests.job_soak_world import World

SECOND = StepEvidence(1, 1000, 1.0, after=(0,))


class OrderTest(JudgeTestCase):
    def test_step_before_the_end_of_the_one_before(self) -> None:
        world = World(STEP, SECOND)
        world.run('w1', 1.0, 2.0, acked_at=2.1)
        world.run('w2', 1.9, 3.0, acked_at=3.1, task='a.0.1.0')
        self.assert_broken(world, ORDER)

    def test_step_after_a_failed_run_of_the_one_before(self) -> None:
        world = World(STEP, SECOND)
        world.run('w1', 1.0, 2.0, 'failed', acked_at=2.1)
        world.run('w2', 2.5, 3.0, acked_at=3.1, task='a.0.1.0')
        self.assert_broken(world, ORDER)

    def test_step_after_the_end_of_the_one_before(self) -> None:
        world = World(STEP, SECOND)
        world.run('w1', 1.0, 2.0, acked_at=2.1)
        world.run('w2', 2.0, 3.0, acked_at=3.1, task='a.0.1.0')
        self.assert_broken(world)

    def test_too_many_runs(self) -> None:
        world = World()
        for number in range(4):
            at = 1.0 + number
            world.run(
                'w1', at, at + 0.5, 'failed', acked_at=at + 0.6, run=number
            )
        self.assert_broken(world, BUDGET)

    def test_run_after_ends_that_are_not_noted(self) -> None:
        world = World()
        for number in range(4):
            at = 1.0 + number
            acked_at = at + 0.6 if number else None
            world.run(
                'w1', at, at + 0.5, 'failed', acked_at=acked_at, run=number
            )
        self.assert_broken(world)

    def test_long_running_task_that_fails_often(self) -> None:
        world = World(LONG)
        for number in range(5):
            at = 1.0 + number
            world.run(
                'w1', at, at + 0.5, 'failed', acked_at=at + 0.6, run=number
            )
        self.assert_broken(world)


class AckTest(JudgeTestCase):
    def world(self, unnoted: int, noted: int, until: float) -> World:
        world = World(StepEvidence(unnoted + noted, 100, 1.0))
        for number in range(unnoted + noted):
            world.run(
                'w1',
                1.0,
                2.0,
                acked_at=2.1 if number >= unnoted else None,
                task=f'a.0.0.{number}',
            )
        world.run('w2', until, task='a.0.0.0', run=2)
        return world

    def test_ends_that_stay_unnoted(self) -> None:
        self.assert_broken(self.world(2, 7, 6.0), END_ACKS)

    def test_a_fifth_may_stay_unnoted(self) -> None:
        world = self.world(2, 8, 6.0)
        self.assert_broken(world)
        counts = judge(world.history())[END_ACKS].counts
        self.assertEqual(counts['end not acknowledged in time'], 2)

    def test_time_is_not_over(self) -> None:
        self.assert_broken(self.world(2, 0, 5.9))

    def test_time_without_calm(self) -> None:
        world = self.world(2, 0, 9.0)
        world.fault(5.9, 6.0)
        self.assert_broken(world)

    def test_end_of_a_life_that_ended(self) -> None:
        world = self.world(2, 0, 9.0)
        world.crash(5.9, 'w1')
        self.assert_broken(world)

    def cancelled(self, unanswered: int, answered: int) -> World:
        world = World(calm=True)
        world.jobs.clear()
        for number in range(unanswered + answered):
            id = f'b{number}'
            world.jobs.append(JobEvidence(id, 'tin', 'sales', (STEP,)))
            world.submit(1.0, job=id)
            world.cancel(2.0, job=id, outcome=Outcome.UNKNOWN, sent_at=1.9)
            at = 5.9 if number < unanswered else 5.8
            world.cancel(at, job=id)
        return world

    def test_cancels_without_an_answer(self) -> None:
        self.assert_broken(self.cancelled(3, 26), CANCEL_ACKS)

    def test_two_cancels_without_an_answer(self) -> None:
        self.assert_broken(self.cancelled(2, 0))

    def test_tenth_of_the_cancels_without_an_answer(self) -> None:
        self.assert_broken(self.cancelled(3, 27))
