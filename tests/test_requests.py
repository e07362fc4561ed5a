"""Single decisions of the entry core and of the dispatcher."""

from unittest import TestCase

from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import GrantId
from primroseledge.ids import Incarnation
from primroseledge.ids import InstanceId
from primroseledge.ids import PoolId
from primroseledge.ids import RequestId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.requests.actions import Deliver
from primroseledge.requests.actions import RefuseCall
from primroseledge.requests.actions import SendToOwner
from primroseledge.requests.actions import StartAttempt
from primroseledge.requests.attempt_end import AttemptEnd
from primroseledge.requests.dispatcher import create_dispatcher
from primroseledge.requests.ejection import Ejection
from primroseledge.requests.entry import EntryCore
from primroseledge.requests.fair_queue import FairQueue
from primroseledge.requests.fair_queue import Waiting
from primroseledge.requests.messages import Ask
from primroseledge.requests.messages import Cancel
from primroseledge.requests.messages import Done
from primroseledge.requests.messages import DoneAck
from primroseledge.requests.messages import EndState
from primroseledge.requests.messages import Grant
from primroseledge.requests.messages import Report
from primroseledge.requests.open_call import Arrival
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason
from primroseledge.requests.outcomes import told_outcome
from primroseledge.requests.request_memory import RequestMemory
from primroseledge.requests.retry_budget import RetryBudget
from tests.requests_fleet import RequestsFleet
from tests.requests_records import CELL
from tests.requests_records import WALL_S

COPPER = PoolId('copper')


def arrival(handle: int, is_idempotent: bool = True) -> Arrival:
    return Arrival(
        handle,
        RequestId(f'r{handle}'),
        TeamId('dealers'),
        ServiceId('bulletin'),
        CellId('main'),
        is_idempotent,
        False,
        10.0,
    )


def grant_for(ask: Ask, number: int, epoch: int = 1) -> Grant:
    return Grant(
        ask.cell,
        Epoch(epoch),
        ask.ask_id,
        GrantId(f'main.{epoch}.{number}'),
        InstanceId('u0'),
        'u0',
        3.0,
        1.0,
    )


class EntryTest(TestCase):
    def setUp(self) -> None:
        self.core = EntryCore(
            EntryId('e0'), Incarnation(1), 'north-1', RetryBudget(0.1)
        )

    def ask(self, handle: int, is_idempotent: bool = True) -> Ask:
        (action,) = self.core.arrive(arrival(handle, is_idempotent), 1.0)
        assert isinstance(action, SendToOwner)
        assert isinstance(action.message, Ask)
        return action.message

    def lose(self, handle: int, is_idempotent: bool = True) -> list[object]:
        grant = grant_for(self.ask(handle, is_idempotent), handle)
        (start,) = self.core.granted(grant, 1.0)
        self.assertIsInstance(start, StartAttempt)
        return [*self.core.attempt_ended(handle, AttemptEnd.LOST, 1.1)]

    def test_retries_stay_within_a_tenth_of_the_requests(self) -> None:
        retried = sum(
            not any(isinstance(a, RefuseCall) for a in self.lose(handle))
            for handle in range(1, 101)
        )
        self.assertIn(retried, range(5, 11))

    def test_a_lost_attempt_is_not_repeated_unless_idempotent(self) -> None:
        self.core.budget.tokens = 5.0
        refusal = RefuseCall(1, Reason.ANSWER_LOST, 1.0, is_checked=True)
        self.assertIn(refusal, self.lose(1, is_idempotent=False))

    def test_a_copy_of_a_used_grant_is_not_given_back(self) -> None:
        grant = grant_for(self.ask(1, is_idempotent=False), 1)
        self.core.granted(grant, 1.0)
        self.core.attempt_ended(1, AttemptEnd.LOST, 1.1)
        self.core.acknowledged(DoneAck(grant.cell, (grant.grant_id,)))
        self.assertEqual(self.core.granted(grant, 1.2), [])

    def test_a_copy_for_an_earlier_run_is_ignored(self) -> None:
        grant = grant_for(self.ask(1), 1)
        later = EntryCore(
            EntryId('e0'), Incarnation(2), 'north-1', RetryBudget(0.1)
        )
        self.assertEqual(later.granted(grant, 1.0), [])

    def test_a_report_names_what_may_run_and_what_ran(self) -> None:
        self.lose(1)
        grant = grant_for(self.ask(2, is_idempotent=False), 2)
        self.core.granted(grant, 1.0)
        self.core.attempt_ended(2, AttemptEnd.ANSWERED, 1.1)
        ends = [item.end for item in self.core.carried(CELL, 2.0)]
        self.assertEqual(ends, [EndState.UNKNOWN, EndState.ENDED])

    def test_a_grant_is_not_used_late(self) -> None:
        (start,) = self.core.granted(grant_for(self.ask(1), 1), 2.4)
        assert isinstance(start, StartAttempt)
        self.assertEqual(start.start_by, 2.5)
        actions = self.core.granted(grant_for(self.ask(2), 2), 2.5)
        kinds = [type(action) for action in actions]
        self.assertEqual(kinds, [SendToOwner])

    def test_a_grant_of_an_earlier_epoch_is_given_back(self) -> None:
        grant = grant_for(self.ask(1), 1)
        self.core.owner_changed(grant.cell, 1.0, Epoch(2))
        (action,) = self.core.granted(grant, 1.0)
        assert isinstance(action, SendToOwner)
        done = Done(grant.cell, grant.grant_id, EndState.NOT_RUN)
        self.assertEqual(action.message, done)

    def test_a_refused_attempt_is_asked_again_without_budget(self) -> None:
        grant = grant_for(self.ask(1, is_idempotent=False), 1)
        self.core.granted(grant, 1.0)
        self.core.attempt_ended(1, AttemptEnd.REFUSED, 1.1)
        self.assertEqual(self.core.tick(1.12), [])
        (again,) = (
            action.message
            for action in self.core.tick(1.2)
            if isinstance(action, SendToOwner)
        )
        assert isinstance(again, Ask)
        self.assertEqual(again.not_run, grant.grant_id)

    def test_a_failing_answer_is_delivered(self) -> None:
        self.core.granted(grant_for(self.ask(1), 1), 1.0)
        actions = self.core.attempt_ended(1, AttemptEnd.FAILED, 1.1)
        self.assertIn(Deliver(1), actions)


class DispatcherTest(TestCase):
    def setUp(self) -> None:
        fleet = RequestsFleet(4, 1, 1)
        dispatcher = fleet.hosts[fleet.owner].dispatcher
        assert dispatcher is not None
        self.dispatcher = dispatcher
        self.now = dispatcher.now
        for entry in fleet.entries:
            dispatcher.heard(entry, 0.0, self.now)

    def ask(
        self,
        number: int,
        entry: str,
        is_urgent: bool = False,
        team: str = 'dealers',
        not_run: str = '',
    ) -> list[object]:
        ask = Ask(
            CELL,
            f'{entry}.{number}',
            RequestId(f'r{number}'),
            TeamId(team),
            ServiceId('bulletin'),
            False,
            is_urgent,
            5.0,
            not_run=GrantId(not_run),
        )
        actions = self.dispatcher.asked(EntryId(entry), ask, self.now)
        return [action.message for action in actions]

    def grant(self, number: int, entry: str) -> Grant:
        (message,) = self.ask(number, entry)
        assert isinstance(message, Grant)
        return message

    def done(self, grant: Grant, end: EndState) -> None:
        done = Done(CELL, grant.grant_id, end)
        self.dispatcher.done(EntryId('e0'), done, self.now)

    def test_an_unknown_end_stays_unknown(self) -> None:
        grant = self.grant(1, 'e0')
        self.done(grant, EndState.UNKNOWN)
        self.done(grant, EndState.NOT_RUN)
        self.assertIn(grant.grant_id, self.dispatcher.work.ledger.grants)
        (refusal,) = self.ask(1, 'e1')
        self.assertEqual(getattr(refusal, 'reason', None), Reason.MEMORY_LOST)

    def test_an_ask_that_overtakes_its_done_is_granted(self) -> None:
        first = self.grant(1, 'e0')
        (again,) = self.ask(1, 'e1', not_run=first.grant_id)
        self.assertIsInstance(again, Grant)
        self.done(first, EndState.NOT_RUN)
        self.assertEqual(len(self.dispatcher.work.ledger.grants), 1)

    def test_an_entry_instance_not_heard_gets_no_grant(self) -> None:
        self.now += 1.2
        self.assertEqual(self.ask(1, 'e1'), [])
        self.dispatcher.heard(EntryId('e1'), 1.0, self.now)
        (action,) = self.dispatcher.tick(self.now)
        self.assertIsInstance(action.message, Grant)

    def test_an_end_is_not_acknowledged_before_reports_count(self) -> None:
        taker = create_dispatcher(
            CELL, Epoch(2), self.dispatcher.configuration
        )
        done = Done(CELL, GrantId('main.1.1'), EndState.ENDED)
        self.assertEqual(taker.done(EntryId('e0'), done, 1.0), [])

    def test_a_cancelled_ask_is_not_granted(self) -> None:
        self.now += 1.2
        self.ask(1, 'e1')
        self.dispatcher.cancelled(Cancel(CELL, 'e1.1'), self.now)
        self.dispatcher.heard(EntryId('e1'), 1.0, self.now)
        self.assertEqual(self.dispatcher.tick(self.now), [])

    def test_an_ask_sent_again_gets_the_same_grant(self) -> None:
        self.assertEqual(self.grant(1, 'e0'), self.grant(1, 'e0'))


class UrgentTest(TestCase):
    def test_urgent_work_starts_while_long_work_fills_the_pool(self) -> None:
        fleet = RequestsFleet(4, 4, 1)
        dispatcher = fleet.hosts[fleet.owner].dispatcher
        assert dispatcher is not None
        slots = dispatcher.work.slots
        slots.refresh()
        pool = slots.pools[COPPER]
        taken = 0
        while slots.has_free(COPPER, is_urgent=False):
            instance = slots.choose(COPPER, 'north-1', ())
            assert instance is not None
            slots.take(instance.instance_id)
            taken += 1
        self.assertEqual(taken, pool.slots - 1)
        self.assertTrue(slots.has_free(COPPER, is_urgent=True))

    def test_urgent_work_of_a_team_goes_first(self) -> None:
        queue = FairQueue()
        for number in range(3):
            ask = Ask(
                CELL,
                str(number),
                RequestId(str(number)),
                TeamId('dealers'),
                ServiceId('bulletin'),
                True,
                number == 2,
                5.0,
            )
            queue.add(Waiting(EntryId('e0'), ask, 5.0))
        lanes = queue.services[ServiceId('bulletin')][TeamId('dealers')]
        head = lanes.head(lambda _: True, only_urgent=False)
        self.assertEqual(head and head.ask.ask_id, '2')


class EjectionTest(TestCase):
    def setUp(self) -> None:
        self.ejection = Ejection()

    def fail_on(self, upstream: str, number: int) -> float | None:
        return self.ejection.failed(
            COPPER, InstanceId(upstream), RequestId(f'r{number}'), 0.0
        )

    def test_an_upstream_that_fails_everything_is_ejected(self) -> None:
        results = []
        for number in range(20):
            for other in ('u1', 'u2', 'u3'):
                self.ejection.succeeded(COPPER, InstanceId(other))
            results.append(self.fail_on('u0', number))
        self.assertTrue(any(results))

    def test_a_pool_with_bad_requests_is_not(self) -> None:
        for number in range(1000):
            self.assertIsNone(self.fail_on(f'u{number % 4}', number))

    def test_one_bad_request_ejects_nothing(self) -> None:
        for _ in range(50):
            self.ejection.succeeded(COPPER, InstanceId('u1'))
            self.assertIsNone(self.fail_on('u0', 1))


class HandoverTest(TestCase):
    def test_a_handover_carries_grants_and_memory(self) -> None:
        fleet = RequestsFleet(4, 1, 1)
        host = fleet.hosts[fleet.owner]
        fleet.call(EntryId('e1'), 'r1', 0.0, 'dealers', False, 5.0)
        fleet.run(0.01)
        first = host.dispatcher
        assert first is not None
        handover = first.hand_over(first.now)
        assert handover is not None
        self.assertEqual([c.request_id for c in handover.granted], ['r1'])
        self.assertEqual([c.entry for c in handover.granted], ['e1'])
        first.work.memory.note(
            RequestId('r2'), Reason.ALREADY_RAN, 0.0, WALL_S
        )
        handover = first.hand_over(first.now)
        for epoch, reason in ((2, Reason.IN_PROGRESS), (3, None)):
            taker = create_dispatcher(CELL, Epoch(epoch), fleet.configuration)
            report = Report(CELL, Epoch(epoch), (), handover)
            reports = {fleet.owner: report}
            taker.begin(reports, (), 0.0, first.now, WALL_S)
            known = taker.work.memory.entries.get(RequestId('r1'))
            self.assertEqual(known and known.reason, reason)
            has_ended = RequestId('r2') in taker.work.memory.entries
            self.assertEqual(has_ended, epoch == 2)
            is_counted = len(taker.work.ledger.grants) == 1
            self.assertEqual(is_counted, epoch == 2)
            is_lost = taker.work.memory.untimed_lost_until > 0.0
            self.assertEqual(is_lost, epoch == 3)

    def test_an_epoch_that_never_began_hands_nothing_over(self) -> None:
        configuration = RequestsFleet(4, 1, 1).configuration
        dispatcher = create_dispatcher(CELL, Epoch(5), configuration)
        self.assertIsNone(dispatcher.hand_over(1.0))

    def test_a_handover_covers_what_was_too_old_for_its_sender(self) -> None:
        fleet = RequestsFleet(4, 1, 1)
        dispatcher = fleet.hosts[fleet.owner].dispatcher
        assert dispatcher is not None
        handover = dispatcher.hand_over(dispatcher.now)
        assert handover is not None
        wall = dispatcher.work.wall(dispatcher.now)
        self.assertGreaterEqual(handover.lost_before, wall - 60.0)


class OutcomeTest(TestCase):
    def test_not_run_is_said_of_a_chosen_id_only_when_checked(self) -> None:
        reason = Reason.NOT_FRESH
        told = told_outcome(reason, is_guarded=True, is_checked=False)
        self.assertIs(told, Outcome.UNKNOWN)
        told = told_outcome(reason, is_guarded=True, is_checked=True)
        self.assertIs(told, Outcome.NOT_RUN)
        told = told_outcome(reason, is_guarded=False, is_checked=False)
        self.assertIs(told, Outcome.NOT_RUN)


class RequestMemoryTest(TestCase):
    def test_an_id_that_nobody_can_repeat_needs_no_memory(self) -> None:
        memory = RequestMemory(60.0, 2.0)
        memory.lose(100.0)
        self.assertIsNone(memory.check(RequestId('~r'), 0.0, 100.0))
        reason = memory.check(RequestId('r'), 0.0, 100.0)
        self.assertEqual(reason, Reason.MEMORY_LOST)

    def test_a_full_memory_knows_its_gap(self) -> None:
        memory = RequestMemory(60.0, 2.0, max_entries=2)
        for number in range(3):
            memory.note(
                RequestId(f'r{number}'), Reason.ALREADY_RAN, 100.0, 100.0
            )
        reason = memory.check(RequestId('r0'), 100.0, 101.0)
        self.assertEqual(reason, Reason.MEMORY_LOST)

    def test_an_id_is_remembered_for_the_window(self) -> None:
        memory = RequestMemory(60.0, 2.0)
        memory.note(RequestId('r'), Reason.ALREADY_RAN, 0.0, 100.0)
        memory.expire(159.0)
        reason = memory.check(RequestId('r'), 0.0, 159.0)
        self.assertEqual(reason, Reason.ALREADY_RAN)

    def test_an_id_of_the_future_is_refused(self) -> None:
        memory = RequestMemory(60.0, 2.0)
        reason = memory.check(RequestId('r'), 103.0, 100.0)
        self.assertEqual(reason, Reason.ID_IN_FUTURE)
        self.assertIsNone(memory.check(RequestId('r'), 101.0, 100.0))
        reason = memory.check(RequestId('r'), 39.0, 100.0)
        self.assertEqual(reason, Reason.ID_TOO_OLD)
