"""The judge of a soak of the job path knows the other rules too."""

from pathlib import Path
from tempfile import TemporaryDirectory

from msgspec import json

from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence
from standins.job_soak_history import read_history
from standins.job_soak_judge import judge
from tests.job_soak_world import ANSWERS
from tests.job_soak_world import CANCELS
from tests.job_soak_world import FENCES
from tests.job_soak_world import JudgeTestCase
from tests.job_soak_world import MIXED
from tests.job_soak_world import OVERLAPS
from tests.job_soak_world import REFUSED
from tests.job_soak_world import SUBMITTED
from tests.job_soak_world import World


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
