"""The judge of a soak of the job path finds what breaks a condition."""

from standins.job_evidence import EvidenceKind
from standins.job_evidence import JobEvidence
from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence
from standins.job_soak_judge import judge
from tests.job_soak_world import CAUSES
from tests.job_soak_world import COMPLETED
from tests.job_soak_world import END_ACKS
from tests.job_soak_world import ENDS
from tests.job_soak_world import JudgeTestCase
from tests.job_soak_world import LONG
from tests.job_soak_world import MISSING
from tests.job_soak_world import OVERLAPS
from tests.job_soak_world import REPEATS
from tests.job_soak_world import TASK
from tests.job_soak_world import World


class TwiceTest(JudgeTestCase):
    def test_good_run_breaks_nothing(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, acked_at=2.2)
        world.ask(2.3, 'completed')
        self.assert_broken(world)
        self.assertEqual(judge(world.history())[OVERLAPS].tested, 1)

    def test_two_runs_at_once(self) -> None:
        world = World()
        world.run('w1', 14.440, 15.587, 'stopped')
        world.run('w2', 15.011, 18.011, acked_at=18.1, run=2)
        world.line(15.448, 'w1', EvidenceKind.STOP_ORDERED, task=TASK, run=1)
        self.assert_broken(world, OVERLAPS)
        example = self.example(world, OVERLAPS)
        for text in (
            'run 1 on w1 boot 1 epoch 1, started 14.440 (+0.000), '
            'stop ordered 15.448 (+1.008), ended stopped 15.587 (+1.147), '
            'acknowledged never',
            'run 2 on w2 boot 1 epoch 1, started 15.011 (+0.571)',
        ):
            self.assertIn(text, example)

    def test_run_after_the_end_of_another(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0, 'stopped')
        world.run('w2', 2.0, 3.0, run=2)
        self.assert_broken(world)

    def test_run_after_the_crash_of_its_worker(self) -> None:
        world = World()
        world.run('w1', 1.0)
        world.crash(1.5, 'w1')
        world.run('w2', 1.6, 3.0, run=2)
        self.assert_broken(world)

    def test_run_beside_one_whose_worker_crashes_later(self) -> None:
        world = World()
        world.run('w1', 1.0)
        world.crash(1.7, 'w1')
        world.run('w2', 1.6, 3.0, run=2)
        self.assert_broken(world, OVERLAPS)

    def test_next_boot_ends_a_life_that_was_killed(self) -> None:
        world = World()
        world.run('w1', 1.0)
        world.boot(2.0, 'w1', 2)
        world.run('w1', 2.1, 3.0, run=2, boot=2)
        self.assert_broken(world)

    def test_run_of_the_next_boot_beside_one_elsewhere(self) -> None:
        world = World()
        world.boot(2.0, 'w1', 2)
        world.run('w1', 2.1, 3.0, run=1, boot=2)
        world.run('w2', 2.5, 3.0, run=2)
        self.assert_broken(world, OVERLAPS)

    def test_run_on_a_paused_worker_goes_on(self) -> None:
        world = World()
        world.run('w1', 1.0, 9.0, 'stopped')
        world.line(1.5, 'w1', EvidenceKind.PAUSED)
        world.line(8.0, 'w1', EvidenceKind.RESUMED)
        world.run('w2', 4.0, 5.0, run=2)
        self.assert_broken(world, OVERLAPS, END_ACKS)

    def test_run_whose_lease_expired_in_a_pause(self) -> None:
        world = World()
        world.line(1.5, 'w1', EvidenceKind.PAUSED)
        world.line(8.0, 'w1', EvidenceKind.RESUMED)
        world.run('w1', 1.0, 6.0, 'lapsed')
        world.run('w2', 6.2, 7.0, run=2)
        self.assert_broken(world)

    def test_run_after_an_end_that_is_noted_later(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0, acked_at=9.0)
        world.run('w2', 3.0, 4.0, 'stopped', run=2)
        self.assert_broken(world, REPEATS, END_ACKS)

    def test_run_after_an_end_that_is_never_noted(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0)
        world.run('w2', 3.0, 4.0, run=2)
        self.assert_broken(world)

    def test_run_after_an_end_before_the_lease_expired(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0, acked_at=9.0)
        world.run('w1', 1.5, 7.0, 'lapsed', task='a.0.0.1')
        world.jobs[0] = JobEvidence(
            'a', 'copper', 'sales', (StepEvidence(2, 1000, 1.0),)
        )
        world.run('w2', 8.0, 8.5, run=2)
        self.assert_broken(world, END_ACKS)

    def test_run_after_a_noted_failure(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0, 'failed', acked_at=2.1)
        world.run('w2', 3.0, 4.0, run=2)
        self.assert_broken(world)

    def test_run_after_its_job_was_shown_as_completed(self) -> None:
        world = World()
        world.submit(0.5)
        world.run('w1', 1.0, 2.0)
        world.ask(2.5, 'completed')
        world.run('w2', 3.6, 4.0, run=2)
        self.assert_broken(world, COMPLETED)

    def test_run_just_after_its_job_was_shown_as_completed(self) -> None:
        world = World()
        world.submit(0.5)
        world.run('w1', 1.0, 2.0)
        world.ask(2.5, 'completed')
        world.run('w2', 3.4, 4.0, run=2)
        self.assert_broken(world)


class LostTest(JudgeTestCase):
    def test_missing_job(self) -> None:
        world = World(calm=False)
        world.faults.clear()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, acked_at=2.2)
        world.ask(4.2, outcome=Outcome.MISSING)
        world.ask(4.3, 'completed')
        self.assert_broken(world, MISSING)

    def test_missing_job_that_was_just_accepted(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, acked_at=2.2)
        world.ask(4.0, outcome=Outcome.MISSING)
        world.ask(4.3, 'completed')
        self.assert_broken(world)

    def test_missing_job_at_an_entry_out_of_touch(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, acked_at=2.2)
        world.fault(3.0, 3.5, 'entry-0')
        world.ask(5.0, outcome=Outcome.MISSING)
        world.ask(5.3, 'completed')
        self.assert_broken(world)
        self.assertEqual(judge(world.history())[MISSING].excused, 1)

    def test_missing_job_that_was_cancelled(self) -> None:
        world = World()
        world.submit(1.0)
        world.cancel(2.0)
        world.ask(9.0, outcome=Outcome.MISSING)
        self.assert_broken(world)

    def test_failed_without_a_failed_run(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, 'stopped', acked_at=2.2)
        world.ask(2.5, 'failed')
        self.assert_broken(world, CAUSES)

    def test_failed_with_failed_runs(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, 'failed', acked_at=2.2)
        world.run('w1', 2.2, 2.3, 'failed', acked_at=2.4, run=2)
        world.run('w1', 2.3, 2.4, 'failed', run=3)
        world.ask(2.5, 'failed')
        self.assert_broken(world)

    def test_failed_with_too_few_failed_runs(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, 'failed', acked_at=2.2)
        world.run('w1', 2.2, 2.3, 'failed', acked_at=2.4, run=2)
        world.run('w1', 2.3, 2.6, 'failed', run=3)
        world.ask(2.5, 'failed')
        self.assert_broken(world, CAUSES)

    def test_failed_gang(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0, is_gang=True))
        world.submit(1.0)
        for number in (1, 2, 3):
            at = 1.0 + number / 10
            failing, other = ('a.0.0.0', 'a.0.0.1')[:: (-1) ** number]
            world.run('w1', at, at + 0.05, 'failed', task=failing, run=number)
            world.run('w2', at, at + 0.05, 'broken', task=other, run=number)
        world.ask(2.5, 'failed')
        self.assert_broken(world)

    def test_cancelled_by_nobody(self) -> None:
        world = World()
        world.submit(1.0)
        world.ask(2.5, 'cancelled')
        self.assert_broken(world, CAUSES)

    def test_job_that_never_ends(self) -> None:
        world = World(calm=False)
        world.submit(1.0)
        world.ask(9.0, 'queued')
        self.assert_broken(world, ENDS)

    def test_job_that_never_ends_for_want_of_room(self) -> None:
        world = World(StepEvidence(1, 4000, 1.0), calm=False)
        world.submit(1.0)
        world.ask(9.0, 'queued')
        self.assert_broken(world)
        verdict = judge(world.history())[ENDS]
        self.assertEqual(verdict.excused, 1)
        self.assertIn('excused: a of copper is queued', verdict.examples[0])

    def test_job_that_is_at_work_to_the_end(self) -> None:
        for ended_at, conditions in ((6.0, ()), (5.8, (ENDS,))):
            world = World(calm=False)
            world.submit(1.0)
            world.run('w1', 2.0, ended_at, 'failed')
            world.ask(9.0, 'running')
            self.assert_broken(world, *conditions)

    def test_job_without_room_that_is_not_known(self) -> None:
        world = World(StepEvidence(1, 4000, 1.0), calm=False)
        world.submit(1.0)
        world.ask(9.0, outcome=Outcome.UNKNOWN)
        self.assert_broken(world, ENDS)

    def test_job_that_nobody_asked_for(self) -> None:
        world = World(calm=False)
        world.submit(1.0)
        self.assert_broken(world)

    def test_job_without_an_answer(self) -> None:
        world = World(calm=False)
        world.submit(1.0)
        world.ask(9.0, outcome=Outcome.UNKNOWN)
        self.assert_broken(world, ENDS)

    def test_job_whose_last_answer_but_one_is_final(self) -> None:
        world = World()
        world.submit(1.0)
        world.run('w1', 1.1, 2.1, acked_at=2.2)
        world.ask(3.0, 'completed')
        world.ask(9.0, outcome=Outcome.UNKNOWN)
        self.assert_broken(world)

    def test_long_running_job_that_waits(self) -> None:
        world = World(LONG, calm=False)
        world.submit(1.0)
        world.ask(9.0, 'queued')
        world.cancel(9.5)
        self.assert_broken(world, ENDS)

    def test_job_cancelled_just_after_the_last_submission(self) -> None:
        world = World(calm=False)
        world.submit(1.0)
        world.ask(8.5, 'queued')
        world.cancel(9.0)
        self.assert_broken(world)

    def test_long_running_job_that_runs(self) -> None:
        world = World(LONG, calm=False)
        world.submit(1.0)
        world.ask(9.0, 'running')
        world.cancel(9.5)
        world.ask(9.9, 'cancelled')
        self.assert_broken(world)
