"""The judge of a soak run finds what breaks a condition."""

from types import SimpleNamespace
from typing import Any
from unittest import TestCase

from standins.caller import Cut
from standins.caller import Sent
from standins.caller import Told
from standins.soak_events import Drain
from standins.soak_events import Record
from standins.soak_events import Stop
from standins.soak_events import Write
from standins.soak_judge import Evidence
from standins.soak_judge import judge
from standins.soak_load import Request
from standins.soak_load import Seen

ONCE = 'at-most-once execution of non-idempotent requests'
POOL = 'an instance belongs to exactly one pool'
KEYS = 'work only for the team of the key; withdrawn keys stop'
LIMITS = 'no team has more running than its limit'
ANSWERS = 'a whole answer to their own request'
REFUSALS = 'a refusal that says "not run" is true'
DRAINS = 'a leaving upstream gets no new work after a few seconds'
STOPS = 'every planned stop cuts no request'
FORCE = 'an accepted configuration is in force and never reverts'
SLOTS = 'no upstream runs more than its slots'


def sent(told: Told = Told.ANSWERED, **fields: Any) -> Sent:
    item = Sent('r', False, 'body', 100.0, told, sends=1, service='copper')
    for name, value in fields.items():
        setattr(item, name, value)
    return item


def run(**fields: Any) -> dict[str, Any]:
    return {
        'request_id': 'r',
        'team': 'yards',
        'began_at': 101.0,
        'ended_at': 102.0,
    } | fields


def evidence(
    item: Sent,
    runs: list[dict[str, Any]],
    upstream: str = 'copper-0',
    peak: int = 1,
    team: str = 'yards',
    key: str = 'key',
    record: Record | None = None,
    **load: Any,
) -> Evidence:
    fake: Any = SimpleNamespace(
        requests=[Request(item, team, key)],
        seen=load.get('seen', []),
        withdrawn=load.get('withdrawn', {}),
        began_at=0.0,
    )
    ledgers = {upstream: {'executions': runs, 'peak': peak}}
    return Evidence(fake, record or Record(), ledgers)


class SoakJudgeTest(TestCase):
    def broken(self, found: Evidence) -> set[str]:
        return {text for text, item in judge(found).items() if item.broken}

    def test_good_run_breaks_nothing(self) -> None:
        found = evidence(sent(), [run()])
        self.assertEqual(self.broken(found), set())
        self.assertEqual(judge(found)[ONCE].tested, 1)

    def test_untested_condition_is_not_counted(self) -> None:
        verdicts = judge(evidence(sent(), [run()]))
        self.assertEqual(verdicts['availability budgets hold'].tested, 0)

    def test_second_run(self) -> None:
        self.assertEqual(self.broken(evidence(sent(), [run(), run()])), {ONCE})

    def test_refused_request_that_ran(self) -> None:
        found = evidence(sent(Told.NOT_RUN), [run()])
        self.assertEqual(self.broken(found), {REFUSALS})

    def test_answer_without_a_run(self) -> None:
        self.assertEqual(self.broken(evidence(sent(), [])), {ANSWERS})

    def test_answer_of_another_request(self) -> None:
        found = evidence(sent(is_whole=False), [run()])
        self.assertEqual(self.broken(found), {ANSWERS})

    def test_request_without_an_end(self) -> None:
        found = evidence(sent(Told.NOTHING), [])
        self.assertEqual(self.broken(found), {ANSWERS})

    def test_run_for_another_team(self) -> None:
        found = evidence(sent(), [run(team='office')])
        self.assertEqual(self.broken(found), {KEYS})

    def test_withdrawn_key(self) -> None:
        found = evidence(sent(), [run()], withdrawn={'key': 90.0})
        self.assertEqual(self.broken(found), {KEYS})

    def test_key_withdrawn_a_moment_ago(self) -> None:
        found = evidence(sent(), [run()], withdrawn={'key': 99.0})
        self.assertEqual(self.broken(found), set())

    def test_forged_key(self) -> None:
        found = evidence(sent(), [run()], team='', key='forged.1')
        self.assertEqual(self.broken(found), {KEYS})

    def test_limit(self) -> None:
        runs = [run(request_id=str(number)) for number in range(13)]
        found = evidence(sent(), [run(ended_at=None), *runs])
        self.assertIn(LIMITS, self.broken(found))
        self.assertEqual(
            self.broken(evidence(sent(), [run(), *runs[:11]])), set()
        )

    def test_pool_of_another_service(self) -> None:
        found = evidence(sent(), [run()], upstream='brass-0')
        self.assertEqual(self.broken(found), {POOL})

    def test_slots(self) -> None:
        found = evidence(sent(), [run()], peak=3)
        self.assertEqual(self.broken(found), {SLOTS})

    def test_work_on_a_draining_upstream(self) -> None:
        record = Record(drains=[Drain('copper-0', 95.0, 110.0)])
        found = evidence(sent(), [run()], record=record)
        self.assertEqual(self.broken(found), {DRAINS})

    def test_cut_at_a_planned_stop(self) -> None:
        record = Record(stops=[Stop(80, 99.0, 103.0, 0)])
        item = sent(cuts=[Cut(80, 100.0, 102.0, 'ProtocolError')])
        found = evidence(item, [run()], record=record)
        self.assertEqual(self.broken(found), {STOPS})

    def test_stop_that_does_not_end(self) -> None:
        record = Record(stops=[Stop(80, 99.0, 103.0, None)])
        found = evidence(sent(), [run()], record=record)
        self.assertEqual(self.broken(found), {STOPS})

    def test_revision_that_falls(self) -> None:
        seen = [
            Seen(0, 10.0, 0.0, 5, True, False),
            Seen(0, 11.0, 0.0, 4, True, False),
        ]
        found = evidence(sent(), [run()], seen=seen)
        self.assertEqual(self.broken(found), {FORCE})

    def test_revision_that_stays_behind(self) -> None:
        record = Record(writes=[Write(6, 10.0)])
        seen = [Seen(0, 15.0, 0.0, 5, True, False)]
        found = evidence(sent(), [run()], record=record, seen=seen)
        self.assertEqual(self.broken(found), {FORCE})
