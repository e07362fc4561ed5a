"""Tests of refused submissions that were sent by several ways.

They guard against a job that runs after a caller was told that it does not:
an earlier submission of it, or a copy of the refused one, was on its way.
"""

import unittest

from msgspec import msgpack

from primroseledge.cluster.commands import AnswerCaller
from primroseledge.cluster.commands import ReplyToPeer
from primroseledge.cluster.commands import SendToPeer
from primroseledge.cluster.messages import CancelRequest
from primroseledge.cluster.messages import decode
from primroseledge.cluster.messages import encode
from primroseledge.cluster.messages import ForwardedReply
from primroseledge.cluster.messages import ForwardedRequest
from primroseledge.cluster.messages import SubmitRequest
from primroseledge.ids import EntryId
from primroseledge.owner.refused_calls import MAX_CALL_WAIT_S
from primroseledge.owner.store_health import MIN_OUTAGE_S
from primroseledge.scheduling.actions import Answer
from primroseledge.scheduling.actions import Verdict
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import QUEUE
from tests.test_fleet_node import NodeBench

REQUEST = SubmitRequest(make_job('a', make_step(1)))
WAIT_S = 5.0


class Peers:
    """An owner and two other instances; messages wait in ``links``."""

    def __init__(self) -> None:
        self.owner = NodeBench()
        self.owner.become_owner()
        self.peers = {'peer-1': NodeBench(), 'peer-2': NodeBench()}
        view = self.owner.node.ownership.owner
        assert view is not None
        for name, peer in self.peers.items():
            peer.node.view.entry = EntryId(name)
            peer.apply_owner(view)
        self.links: dict[str, list[ForwardedRequest]] = {
            name: [] for name in self.peers
        }
        self.answers: dict[int, Answer] = {}
        self.calls = 0

    def set_store_failing(self, is_failing: bool) -> None:
        now = self.owner.now
        view = self.owner.node.view
        view.store_unavailable_since = now - 2 * MIN_OUTAGE_S
        view.is_store_unavailable = is_failing

    def submit(self, name: str) -> int:
        """Submit the job at a peer; its message waits in the link."""
        peer = self.peers[name]
        self.calls += 1
        peer.node.handle_call(self.calls, REQUEST, peer.now + WAIT_S, peer.now)
        self.collect(name)
        return self.calls

    def collect(self, name: str) -> None:
        peer = self.peers[name]
        peer.reconcile()
        for command in peer.commands:
            if isinstance(command, SendToPeer):
                message = decode(encode(command.message))
                assert isinstance(message, ForwardedRequest)
                self.links[name].append(message)
            elif isinstance(command, AnswerCaller):
                self.answers[command.number] = command.answer

    def deliver(self, name: str) -> None:
        """Deliver what waits in a link, and the owner's replies."""
        while self.links[name]:
            self.pass_time(0.02)
            owner = self.owner
            for message in self.links[name]:
                owner.node.handle_message(name, message, owner.now)
            self.links[name].clear()
            owner.reconcile()
            for command in owner.commands_of(ReplyToPeer):
                self.reply(command.identity, command.message)
            self.collect(name)

    def reply(self, name: str, message: ForwardedReply) -> None:
        peer = self.peers[name]
        peer.node.handle_message('', message, peer.now)

    def pass_time(self, seconds: float) -> None:
        for bench in (self.owner, *self.peers.values()):
            bench.now += seconds
        self.owner.renew_lease()

    def is_job_known(self) -> bool:
        engine = self.owner.node.engine
        assert engine is not None
        return REQUEST.job.id in engine.state.jobs


class RefusedCallsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Peers()

    def refuse_at(self, name: str) -> None:
        self.fleet.set_store_failing(True)
        number = self.fleet.submit(name)
        self.fleet.deliver(name)
        self.fleet.set_store_failing(False)
        self.assertEqual(Verdict.REFUSED, self.fleet.answers[number].verdict)

    def test_an_earlier_submission_through_a_slow_link_is_refused(
        self,
    ) -> None:
        number = self.fleet.submit('peer-1')
        self.refuse_at('peer-2')
        self.fleet.deliver('peer-1')
        self.assertFalse(self.fleet.is_job_known())
        self.assertEqual(Verdict.REFUSED, self.fleet.answers[number].verdict)

    def test_a_copy_of_the_refused_call_is_refused(self) -> None:
        self.fleet.set_store_failing(True)
        self.fleet.submit('peer-1')
        copies = list(self.fleet.links['peer-1'])
        self.fleet.deliver('peer-1')
        self.fleet.set_store_failing(False)
        self.fleet.links['peer-1'] += copies
        self.fleet.deliver('peer-1')
        self.assertFalse(self.fleet.is_job_known())

    def test_a_new_attempt_of_the_caller_is_accepted(self) -> None:
        self.refuse_at('peer-1')
        self.fleet.submit('peer-1')
        self.fleet.deliver('peer-1')
        self.assertTrue(self.fleet.is_job_known())

    def test_nor_does_a_refused_cancel_keep_a_new_attempt_out(self) -> None:
        self.fleet.set_store_failing(True)
        peer = self.fleet.peers['peer-1']
        cancel = CancelRequest(QUEUE, REQUEST.job.id)
        peer.node.handle_call(98, cancel, peer.now + WAIT_S, peer.now)
        self.fleet.collect('peer-1')
        self.refuse_at('peer-1')
        self.fleet.submit('peer-1')
        self.fleet.deliver('peer-1')
        self.assertTrue(self.fleet.is_job_known())

    def test_a_cancel_that_is_not_stored_refuses_no_submission(self) -> None:
        """It may be dropped, and the job accepted after that."""
        bench = EngineBench(make_worker_entry('worker-1'))
        bench.cancel(REQUEST.job)
        bench.submit(REQUEST.job)
        bench.reconcile()
        self.assertEqual([], bench.pop_answers())
        bench.store_changes()
        verdicts = [reply.answer.verdict for reply in bench.pop_answers()]
        self.assertEqual([Verdict.NO_SUCH_JOB] * 2, verdicts)

    def test_a_second_attempt_through_an_idle_instance_is_accepted(
        self,
    ) -> None:
        self.refuse_at('peer-1')
        self.fleet.submit('peer-2')
        self.fleet.deliver('peer-2')
        self.assertFalse(self.fleet.is_job_known())
        self.fleet.submit('peer-2')
        self.fleet.deliver('peer-2')
        self.assertTrue(self.fleet.is_job_known())

    def test_a_caller_of_the_owner_itself_is_accepted_later(self) -> None:
        owner = self.fleet.owner
        self.refuse_at('peer-1')
        self.fleet.pass_time(0.02)
        owner.node.handle_call(99, REQUEST, owner.now + WAIT_S, owner.now)
        owner.reconcile()
        self.assertTrue(self.fleet.is_job_known())

    def test_a_refusal_after_the_deadline_is_not_told(self) -> None:
        number = self.fleet.submit('peer-1')
        peer = self.fleet.peers['peer-1']
        peer.now += WAIT_S
        self.fleet.reply(
            'peer-1', ForwardedReply(number, Answer(Verdict.REFUSED))
        )
        self.fleet.collect('peer-1')
        self.assertEqual(Verdict.UNKNOWN, self.fleet.answers[number].verdict)

    def test_an_instance_that_died_blocks_a_job_for_a_bounded_time(
        self,
    ) -> None:
        self.fleet.set_store_failing(True)
        self.fleet.submit('peer-1')
        self.fleet.owner.node.handle_message(
            'peer-1', self.fleet.links['peer-1'].pop(), self.fleet.owner.now
        )
        self.fleet.owner.reconcile()
        self.fleet.set_store_failing(False)
        self.fleet.pass_time(MAX_CALL_WAIT_S + 1.0)
        for _ in range(2):
            self.fleet.submit('peer-2')
            self.fleet.deliver('peer-2')
        self.assertTrue(self.fleet.is_job_known())

    def test_messages_of_the_previous_version_are_read(self) -> None:
        reply = msgpack.encode(['Told', 1, {'verdict': 'done'}])
        self.assertEqual(
            ForwardedReply(1, Answer(Verdict.DONE)), decode(reply)
        )
        request = ForwardedRequest(1, REQUEST)
        fields = msgpack.decode(encode(request))[:3]
        self.assertEqual(request, decode(msgpack.encode(fields)))
