"""The judge of a soak of the job path finds what breaks a condition."""

from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec import json

from standins.job_evidence import EvidenceKind
from standins.job_evidence import JobEvidence
from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence
from standins.job_soak_history import read_history
from standins.job_soak_judge import judge
from tests.job_soak_world import ANSWERS
from tests.job_soak_world import CANCELS
from tests.job_soak_world import CAUSES
from tests.job_soak_world import COMPLETED
from tests.job_soak_world import END_ACKS
from tests.job_soak_world import ENDS
from tests.job_soak_world import FENCES
from tests.job_soak_world import JudgeTestCase
from tests.job_soak_world import LONG
from tests.job_soak_world import MISSING
from tests.job_soak_world import MIXED
from tests.job_soak_world import OVERLAPS
from tests.job_soak_world import REFUSED
from tests.job_soak_world import REPEATS
from tests.job_soak_world import SUBMITTED
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

    def test_long_running_job_that_runs(self) -> None:
        world = World(LONG, calm=False)
        world.submit(1.0)
        world.ask(9.0, 'running')
        world.cancel(9.5)
        world.ask(9.9, 'cancelled')
        self.assert_broken(world)


class OtherRulesTest(JudgeTestCase):
    def test_job_that_nobody_submitted(self) -> None:
        world = World()
        world.run('w1', 1.0, 2.0, task='b.0.0.0')
        self.assert_broken(world, SUBMITTED)

    def test_task_beyond_its_step(self) -> None:
        for task in ('a.0.0.1', 'a.0.1.0', 'a.1.0.0', 'a'):
            world = World()
            world.run('w1', 1.0, 2.0, task=task)
            self.assert_broken(world, SUBMITTED)

    def test_start_after_a_cancel(self) -> None:
        world = World()
        world.submit(1.0)
        world.cancel(2.0)
        world.run('w1', 5.1, 5.2)
        self.assert_broken(world, CANCELS)

    def test_start_just_after_a_cancel(self) -> None:
        world = World()
        world.submit(1.0)
        world.cancel(2.0)
        world.run('w1', 5.0, 5.2)
        self.assert_broken(world)

    def test_start_after_a_cancel_without_an_answer(self) -> None:
        world = World()
        world.submit(1.0)
        world.cancel(2.0, outcome=Outcome.UNKNOWN)
        world.run('w1', 5.1, 5.2)
        self.assert_broken(world)

    def test_start_after_a_cancel_beside_a_fault(self) -> None:
        world = World()
        world.submit(1.0)
        world.cancel(2.0)
        world.fault(4.0, 4.1, 'store')
        world.run('w1', 5.1, 5.2)
        self.assert_broken(world)
        self.assertEqual(judge(world.history())[CANCELS].excused, 1)

    def test_completed_with_a_task_missing(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0))
        world.submit(0.5)
        world.run('w1', 1.0, 2.0, acked_at=2.1)
        world.run('w2', 1.0, 2.6, acked_at=2.7, task='a.0.0.1')
        world.ask(2.5, 'completed')
        self.assert_broken(world, MIXED)

    def test_completed_just_after_the_last_end(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0))
        world.submit(0.5)
        world.run('w1', 1.0, 2.0, acked_at=2.1)
        world.run('w2', 1.0, 2.4, task='a.0.0.1')
        world.ask(2.5, 'completed')
        self.assert_broken(world)

    def test_completed_gang_with_one_end(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0, is_gang=True))
        world.submit(0.5)
        world.run('w1', 1.0, 2.0, acked_at=2.1)
        world.run('w2', 1.0, task='a.0.0.1')
        world.crash(2.0, 'w2')
        world.ask(2.5, 'completed')
        self.assert_broken(world)

    def test_refused_job_that_runs(self) -> None:
        world = World()
        world.submit(1.0, outcome=Outcome.REFUSED)
        world.run('w1', 2.0, 3.0)
        self.assert_broken(world, REFUSED)

    def test_job_refused_after_no_answer_that_runs(self) -> None:
        world = World()
        world.submit(1.0, outcome=Outcome.UNKNOWN)
        world.submit(1.5, outcome=Outcome.REFUSED)
        world.run('w1', 2.0, 3.0)
        self.assert_broken(world)

    def test_lower_epoch_after_a_higher_one(self) -> None:
        world = World(StepEvidence(2, 1000, 1.0))
        world.run('w1', 1.0, 2.0, epoch=2)
        world.run('w1', 1.5, 2.0, epoch=1, task='a.0.0.1')
        self.assert_broken(world, FENCES)

    def test_lower_epoch_in_another_life(self) -> None:
        world = World(StepEvidence(3, 1000, 1.0))
        world.run('w1', 1.0, 2.0, epoch=2)
        world.run('w2', 1.5, 2.0, epoch=1, task='a.0.0.1')
        world.boot(3.0, 'w1', 2)
        world.run('w1', 3.1, 4.0, epoch=1, task='a.0.0.2', boot=2)
        self.assert_broken(world)

    def test_call_without_an_answer(self) -> None:
        world = World(calm=False)
        world.faults.clear()
        world.ask(
            9.0,
            sent_at=5.0,
            deadline_at=8.0,
            outcome=Outcome.UNKNOWN,
            cause='no answer',
        )
        self.assert_broken(world, ANSWERS)
        counts = judge(world.history())[ANSWERS].counts
        self.assertEqual(counts, {'no answer': 1})

    def test_call_answered_just_in_time(self) -> None:
        world = World()
        world.ask(
            8.4,
            sent_at=5.0,
            deadline_at=8.0,
            outcome=Outcome.UNKNOWN,
            cause='504',
        )
        self.assert_broken(world)

    def test_call_at_an_entry_that_was_struck(self) -> None:
        world = World()
        world.fault(5.5, 6.5, 'entry-0')
        world.ask(9.0, sent_at=5.0, deadline_at=8.0, outcome=Outcome.UNKNOWN)
        self.assert_broken(world)
        self.assertEqual(judge(world.history())[ANSWERS].excused, 1)

    def test_evidence_from_files(self) -> None:
        world = World()
        world.submit(0.5)
        world.run('w1', 1.0, 2.0)
        world.run('w2', 1.5, 2.0, run=2)
        world.fault(9.0, 9.5)
        with TemporaryDirectory() as name:
            folder = Path(name)
            for prefix, lines in (
                ('workers-0', world.lines),
                ('calls', world.calls),
                ('jobs', world.jobs),
                ('faults', world.faults),
            ):
                path = folder / f'{prefix}.jsonl'
                path.write_bytes(b'\n'.join(map(json.encode, lines)))
            history = read_history(folder)
        self.assertEqual(judge(history)[OVERLAPS].broken, 1)
        self.assertEqual(len(history.faults), 1)
        self.assertEqual(history.jobs['a'].accepted_at, 0.5)
