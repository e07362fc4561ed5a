"""Tests of an answer of the store that is held back past a takeover.

They guard against a job that runs again, or is reported as not run, though
the predecessor's batch was stored: its answer comes only after the takeover.
"""

from typing import Any
import unittest

from primroseledge.cluster.commands import AnswerCaller
from primroseledge.cluster.commands import BatchStored
from primroseledge.cluster.commands import ClaimWon
from primroseledge.cluster.commands import JobsRestored
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.commands import StoreBatch
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.messages import OwnerView
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.ids import Boot
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.owner.batch import Batch
from primroseledge.scheduling.actions import Action
from primroseledge.scheduling.actions import OrderEnded
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.actions import PollAnswered
from primroseledge.scheduling.actions import RunEnd
from primroseledge.scheduling.actions import SendPoll
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.actions import Verdict
from tests.engine_bench import make_job
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.test_fleet_node import CONFIGURATION
from tests.test_fleet_node import NodeBench

REQUEST = SubmitRequest(make_job('a', make_step(1)))
WORKER = WorkerId('worker-1')
SUCCESSOR = OwnerView(Epoch(2), EntryId('entry-2'), 'entry-2:7000')


class Owner(NodeBench):
    """A node that becomes the owner, and its one worker."""

    def __init__(self, epoch: int) -> None:
        super().__init__()
        self.epoch = Epoch(epoch)
        self.actions: list[Action] = []
        self.all_commands: list[Any] = []

    def reconcile(self, seconds: float = 0.0) -> list[Any]:
        self.now += seconds
        commands, actions = self.node.reconcile(self.now)
        self.commands = commands
        self.all_commands += commands
        self.actions += actions
        return commands

    def take_over(self, batch: Batch | None = None) -> None:
        """Become the owner, with the records of a batch in the store."""
        self.renew_lease()
        self.apply_keys(CONFIGURATION)
        view = OwnerView(self.epoch, self.node.entry, self.node.address)
        self.node.handle_claim_won(ClaimWon(view, Revision(30)), self.now)
        accepted = () if batch is None else tuple(batch.accepted)
        progress = () if batch is None else tuple(batch.progress)
        entry = Item('worker-1', b'good', Revision(9))
        self.node.handle_jobs_restored(
            JobsRestored(self.epoch, accepted, progress, (), (entry,)),
            self.now,
        )
        self.pass_time(0.1)
        self.answer_poll()

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.02)):
            self.renew_lease()
            self.reconcile(0.02)

    def answer_poll(self, *ends: RunEnd) -> None:
        assert self.node.engine is not None
        answer = PollAnswered(
            WORKER, Boot(1), int(self.now * 1000), (), ends, 0, self.now, 0.0
        )
        self.node.engine.handle_poll_answer(answer, self.now)

    def starts(self) -> list[SendStart]:
        return [a for a in self.actions if isinstance(a, SendStart)]

    def batch(self) -> StoreBatch:
        """Return the batch in flight."""
        batches = [c for c in self.all_commands if isinstance(c, StoreBatch)]
        return batches[-1]

    def store(self) -> None:
        batch = self.batch()
        stored = BatchStored(self.epoch, batch.batch.number, Revision(40))
        self.node.handle_batch_stored(stored, self.now)
        self.pass_time(0.04)


class HeldAnswerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.first, self.second = Owner(1), Owner(2)
        self.second.node.view.entry = SUCCESSOR.entry
        self.first.take_over()
        self.first.node.handle_call(
            1, REQUEST, self.first.now + 5.0, self.first.now
        )
        self.first.pass_time(0.1)

    def replace_owner(self) -> None:
        """Let the second take over; then the held answer arrives."""
        held = self.first.batch()
        self.second.take_over(held.batch)
        self.first.apply_owner(SUCCESSOR, 50)
        self.first.actions.clear()
        number = held.batch.number
        stored = BatchStored(Epoch(1), number, Revision(40))
        self.first.node.handle_batch_stored(stored, self.first.now)
        self.first.reconcile(0.02)

    def test_an_accepted_job_starts_once_and_its_caller_is_told_so(
        self,
    ) -> None:
        self.replace_owner()
        self.assertEqual([], self.first.actions)
        self.second.pass_time(8.0)
        self.second.answer_poll()
        self.second.pass_time(0.1)
        self.second.store()
        self.assertEqual(1, len(self.second.starts()))
        self.assertEqual(Verdict.DONE, self.resend().verdict)

    def resend(self) -> Any:
        """Pass the first instance's pending call on to the second."""
        [sent] = [
            c for c in self.first.all_commands if isinstance(c, SendToPeer)
        ]
        self.second.node.handle_message('e', sent.message, self.second.now)
        self.second.reconcile()
        [reply] = [
            c for c in self.second.all_commands if isinstance(c, ReplyToPeer)
        ]
        self.first.node.handle_message('', reply.message, self.first.now)
        self.first.reconcile()
        [told] = [
            c for c in self.first.all_commands if isinstance(c, AnswerCaller)
        ]
        return told.answer

    def test_a_task_that_has_ended_does_not_run_again(self) -> None:
        self.first.store()
        [start] = self.first.starts()
        answer = OrderEnded(
            start, OrderResult.DONE, 0, self.first.now, self.first.now
        )
        assert self.first.node.engine is not None
        self.first.node.engine.handle_order_ended(answer, self.first.now)
        self.first.answer_poll(make_run_end(start))
        self.first.pass_time(0.1)
        self.first.batch().batch.accepted.append(REQUEST.job)
        self.replace_owner()
        polls = [a for a in self.first.actions if isinstance(a, SendPoll)]
        self.assertEqual([], polls, 'its end is acknowledged')
        self.second.pass_time(8.0)
        self.assertEqual([], self.second.starts())
        assert self.second.node.engine is not None
        state = self.second.node.engine.find_state(REQUEST.job.id).state
        self.assertIs(JobState.COMPLETED, state)


if __name__ == '__main__':
    unittest.main()
