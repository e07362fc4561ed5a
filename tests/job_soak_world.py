"""Evidence of a small soak of the job path, made by hand."""

from typing import Any
from unittest import TestCase

from standins.job_evidence import CallEvidence
from standins.job_evidence import CallKind
from standins.job_evidence import EvidenceKind
from standins.job_evidence import FaultEvidence
from standins.job_evidence import JobEvidence
from standins.job_evidence import Outcome
from standins.job_evidence import StepEvidence
from standins.job_evidence import WorkerEvidence
from standins.job_soak_history import History
from standins.job_soak_judge import judge
from standins.job_soak_verdicts import render

OVERLAPS = 'TWICE: no two runs of a task at the same time'
REPEATS = 'TWICE: no run after an acknowledged end as done'
COMPLETED = 'TWICE: no run of a job that was shown as completed'
MISSING = 'LOST: an accepted job is not missing'
CAUSES = 'LOST: no job ends as failed or cancelled without cause'
ENDS = 'LOST: each job has ended when the soak ends'
STANDING = 'LOST: no job stands still with room for it twice over'
FULL = 'LOST: nor in a pool that is half full or more'
SUBMITTED = 'UNASKED: only what was submitted starts'
CANCELS = 'UNASKED: nothing starts after an acknowledged cancel'
MIXED = 'MIXED: a completed job has all its tasks done'
REFUSED = 'REFUSED: a refused job does not run'
FENCES = 'FENCE: no start under a lower epoch after a higher one'
ORDER = 'ORDER: a step begins when the steps before it are done'
BUDGET = 'BUDGET: no run after as many failed ones as are allowed'
END_ACKS = 'ACKS: at most a fifth of the ends stay unacknowledged'
CANCEL_ACKS = 'ACKS: at most a tenth of the cancels stay unanswered'
ANSWERS = 'ANSWERED: each call is answered in time or broken off'

TASK = 'a.0.0.0'
STEP = StepEvidence(1, 1000, 1.0)
LONG = StepEvidence(1, 1000, 0.0, is_long_running=True)


class World:
    """Evidence of two workers with two cores each, and of one job."""

    def __init__(self, *steps: StepEvidence, calm: bool = True) -> None:
        self.lines: list[WorkerEvidence] = []
        self.calls: list[CallEvidence] = []
        self.jobs = [JobEvidence('a', 'copper', 'sales', steps or (STEP,))]
        self.faults: list[FaultEvidence] = []
        self.boot(0.0, 'w1')
        self.boot(0.0, 'w2')
        if not calm:
            self.fault(0.0, 1000.0)

    def line(
        self, at: float, worker: str, kind: EvidenceKind, **fields: Any
    ) -> None:
        fields = {'boot': 1} | fields
        self.lines.append(WorkerEvidence(at, worker, kind=kind, **fields))

    def boot(
        self,
        at: float,
        worker: str,
        boot: int = 1,
        labels: tuple[str, ...] = (),
    ) -> None:
        self.line(
            at,
            worker,
            EvidenceKind.LIFE_BEGAN,
            boot=boot,
            pool='copper',
            cpu_millis=2000,
            labels=labels,
        )

    def crash(self, at: float, worker: str) -> None:
        self.line(at, worker, EvidenceKind.LIFE_ENDED, how='killed')

    def run(
        self,
        worker: str,
        began_at: float,
        ended_at: float | None = None,
        how: str = 'done',
        acked_at: float | None = None,
        task: str = TASK,
        **fields: Any,
    ) -> None:
        fields = {'run': 1, 'epoch': 1, 'boot': 1} | fields
        epoch = fields.pop('epoch')
        self.line(
            began_at,
            worker,
            EvidenceKind.STARTED,
            task=task,
            epoch=epoch,
            **fields,
        )
        if ended_at is not None:
            self.line(
                ended_at,
                worker,
                EvidenceKind.ENDED,
                task=task,
                how=how,
                **fields,
            )
        if acked_at is not None:
            self.line(
                acked_at, worker, EvidenceKind.ACKED, task=task, **fields
            )

    def call(
        self,
        kind: CallKind,
        ended_at: float,
        outcome: Outcome = Outcome.DONE,
        state: str = '',
        **fields: Any,
    ) -> None:
        fields = {'entry': 'entry-0', 'job': 'a'} | fields
        self.calls.append(
            CallEvidence(
                fields.pop('sent_at', ended_at - 0.1),
                ended_at,
                kind=kind,
                outcome=outcome,
                state=state,
                **fields,
            )
        )

    def submit(self, at: float, **fields: Any) -> None:
        self.call(CallKind.SUBMIT, at, **fields)

    def ask(self, at: float, state: str = '', **fields: Any) -> None:
        self.call(CallKind.STATE, at, state=state, **fields)

    def cancel(self, at: float, **fields: Any) -> None:
        self.call(CallKind.CANCEL, at, **fields)

    def fault(
        self, began_at: float, ended_at: float, subject: str = ''
    ) -> None:
        self.faults.append(FaultEvidence(began_at, ended_at, 'x', subject))

    def history(self) -> History:
        return History(self.lines, self.calls, self.jobs, self.faults)


class JudgeTestCase(TestCase):
    def assert_broken(self, world: World, *conditions: str) -> None:
        verdicts = judge(world.history())
        broken = {text for text, item in verdicts.items() if item.broken}
        self.assertEqual(broken, set(conditions), render(verdicts))

    def example(self, world: World, condition: str) -> str:
        return judge(world.history())[condition].examples[0]
