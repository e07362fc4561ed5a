"""Queues whose workers the advisory service chooses."""

import unittest

from primroseledge.ids import WorkerId
from primroseledge.jobs.actions import OrderResult
from primroseledge.jobs.advice import AdviceFailed
from primroseledge.jobs.advice import AdviceGiven
from primroseledge.jobs.advice import AskAdvice
from primroseledge.jobs.configuration import Advice
from primroseledge.jobs.configuration import Queue
from primroseledge.jobs.worker import WorkerEntry
from tests.enginebench import configuration
from tests.enginebench import COPPER
from tests.enginebench import EngineBench
from tests.enginebench import make_job
from tests.enginebench import QUEUE
from tests.enginebench import tasks
from tests.enginebench import worker_entry

WORKERS = [worker_entry(f'worker-{number}') for number in range(3)]


class AdviceBench(EngineBench):
    """An engine bench whose queue needs advice."""

    def __init__(self, *workers: WorkerEntry) -> None:
        super().__init__(*workers)
        advised = Queue(
            QUEUE,
            'host',
            '/sheets/',
            COPPER,
            max_attempts=2,
            advice=Advice(0.05, 0.01, 3.0),
        )
        config = configuration()
        config.queues[QUEUE] = advised
        self.engine.configure(config)

    def asks(self) -> list[AskAdvice]:
        found = self.take(AskAdvice, lambda _: True)
        return [a for a in found if isinstance(a, AskAdvice)]

    def advise(self, ask: AskAdvice, *allowed: str) -> None:
        tickets = {WorkerId(name): f'ticket {name}' for name in allowed}
        answer = AdviceGiven(ask, tickets, 3.0, self.now)
        self.engine.take_advice(answer, self.now)
        self.settle()
        self.store()


class AdviceTest(unittest.TestCase):
    def test_starts_carry_the_ticket_of_an_allowed_worker(self) -> None:
        bench = AdviceBench(*WORKERS)
        bench.submit(make_job('a', tasks(2)))
        bench.store()
        self.assertEqual([], bench.starts())
        [ask] = bench.asks()
        bench.advise(ask, 'worker-1')
        starts = bench.starts()
        self.assertEqual(2, len(starts))
        self.assertEqual(
            {('worker-1', 'ticket worker-1')},
            {(start.target.worker, start.ticket) for start in starts},
        )

    def test_one_call_is_under_way_at_a_time(self) -> None:
        bench = AdviceBench(*WORKERS)
        bench.submit(make_job('a', tasks(1)))
        bench.submit(make_job('b', tasks(1)))
        bench.store()
        [ask] = bench.asks()
        bench.advise(ask, 'worker-0')
        self.assertEqual(1, len(bench.asks()))

    def test_refused_workers_are_not_asked_about_again(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        [ask] = bench.asks()
        bench.advise(ask)
        bench.settle(5.0)
        self.assertEqual([], bench.asks())

    def test_a_failed_call_is_made_again_later(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        [ask] = bench.asks()
        bench.engine.take_advice(AdviceFailed(ask, 'busy'), bench.now)
        bench.settle(0.1)
        self.assertEqual([], bench.asks())
        bench.settle(0.6)
        self.assertEqual([ask], bench.asks())

    def test_an_expired_ticket_is_asked_for_anew(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', tasks(1)))
        bench.store()
        [ask] = bench.asks()
        bench.advise(ask, 'worker-0')
        [start] = bench.starts()
        bench.now += 4.0
        bench.answer_start(start, OrderResult.NO_TICKET)
        bench.store()
        self.assertEqual([], bench.starts())
        self.assertEqual(1, len(bench.asks()))


if __name__ == '__main__':
    unittest.main()
