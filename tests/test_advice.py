"""Tests of queues for which the advisory service chooses the workers.

They guard against starts without a valid ticket, which workers refuse, against
requests that the service has already answered, and against several requests at
a time, which overload it.
"""

import unittest

from msgspec import structs

from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.scheduling.actions import OrderResult
from primroseledge.scheduling.advice import AdviceFailed
from tests.advice_bench import AdviceBench
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import WORKSPACE

WORKERS = [make_worker_entry(f'worker-{number}') for number in range(3)]


class AdviceTest(unittest.TestCase):
    def test_starts_carry_the_ticket_of_an_allowed_worker(self) -> None:
        bench = AdviceBench(*WORKERS)
        bench.submit(make_job('a', make_step(2)))
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        [request] = bench.pop_advice_requests()
        bench.answer_advice(request, 'worker-1')
        starts = bench.pop_starts()
        self.assertEqual(2, len(starts))
        self.assertEqual(
            {('worker-1', 'ticket worker-1')},
            {(start.target.worker, start.ticket) for start in starts},
        )

    def test_no_request_for_a_step_at_the_limit_of_its_workspace(
        self,
    ) -> None:
        # Its tickets would expire and be requested again for ever, while
        # other steps wait for their turn.
        bench = AdviceBench(*WORKERS)
        configuration = bench.engine.state.configuration
        other = WorkspaceId('other')
        for workspace, cpu_millis in ((WORKSPACE, 2000), (other, 0)):
            configuration.workspaces[workspace] = Workspace(
                workspace, frozenset(), limit=Resources(cpu_millis, 0, 0)
            )
        bench.submit(make_job('a', make_step(1, 3000)))
        bench.submit(make_job('b', make_step(4, is_gang=True)))
        job = structs.replace(make_job('z', make_step(1)), workspace=other)
        bench.submit(job)
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        self.assertEqual(job.id, request.step.job)

    def test_one_request_is_in_flight_at_a_time(self) -> None:
        bench = AdviceBench(*WORKERS)
        bench.submit(make_job('a', make_step(1)))
        bench.submit(make_job('b', make_step(1)))
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        bench.answer_advice(request, 'worker-0')
        self.assertEqual(1, len(bench.pop_advice_requests()))

    def test_disallowed_workers_are_not_requested_again(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        bench.answer_advice(request)
        bench.reconcile(5.0)
        self.assertEqual([], bench.pop_advice_requests())

    def test_failed_request_is_retried_later(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        bench.engine.handle_advice_answer(
            AdviceFailed(request, 'busy'), bench.now
        )
        bench.reconcile(0.1)
        self.assertEqual([], bench.pop_advice_requests())
        bench.reconcile(0.6)
        self.assertEqual([request], bench.pop_advice_requests())

    def test_expired_ticket_is_requested_again(self) -> None:
        bench = AdviceBench(*WORKERS[:1])
        bench.submit(make_job('a', make_step(1)))
        bench.store_changes()
        [request] = bench.pop_advice_requests()
        bench.answer_advice(request, 'worker-0')
        [start] = bench.pop_starts()
        bench.now += 4.0
        bench.answer_start(start, OrderResult.NO_TICKET)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        self.assertEqual(1, len(bench.pop_advice_requests()))


if __name__ == '__main__':
    unittest.main()
