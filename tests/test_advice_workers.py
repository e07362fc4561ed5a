"""Tests of about which workers the advisory service is asked.

They guard against work that is never started again (LOST): tickets for workers
that can't take a task were counted as enough, so that the service was never
asked about those that could.
"""

from dataclasses import replace
import unittest

from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.scheduling.actions import EndKind
from primroseledge.scheduling.actions import SendStart
from primroseledge.scheduling.rack_spread import MAX_RACK_WAIT_S
from primroseledge.workers.worker import WorkerEntry
from tests.advice_bench import AdviceBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry

TICKET_LAPSE_S = 4.0
"""Time after which no ticket of the bench is valid any more."""


def make_entry(name: str, label: str = 'a') -> WorkerEntry:
    """Return the entry of a worker in the rack that its name ends with."""
    entry = make_worker_entry(name)
    return replace(entry, labels=(label, entry.labels[1]))


def make_lasting_step(**fields: object) -> StepSpec:
    return make_step(1, 2000, is_long_running=True, **fields)


class AdvisedProbeTest(unittest.TestCase):
    """Only workers in quarantine may take the work of an advised queue.

    Guards against work that waits for the end of a quarantine, of 12 s at
    most, as for the advisory service.
    """

    def start_quarantine(self, *others: WorkerEntry) -> AdviceBench:
        """Return a bench where a-0 is in quarantine from now on."""
        worker = make_entry('a-0')
        bench = AdviceBench(worker)
        starts = list[SendStart]()
        for name in 'ab':
            bench.submit(make_job(name, make_step(1)))
            bench.store_changes()
            bench.answer_all_advice('a-0')
            starts += bench.pop_starts()
            bench.answer_start(starts[-1])
        ends = tuple(
            make_run_end(start, EndKind.FAILED, number)
            for number, start in enumerate(starts, 1)
        )
        bench.answer_poll(worker.id, ends=ends)
        for start in starts:
            bench.cancel(bench.engine.state.jobs[start.task.job].accepted)
        bench.list_workers(worker, *others)
        for other in others:
            bench.answer_poll(other.id)
        bench.store_changes()
        bench.pop_starts()
        return bench

    def first_start(self, bench: AdviceBench, allowed: str) -> SendStart:
        """Submit a job, and return its first start within 1.5 s."""
        bench.submit(make_job('c', make_step(1)))
        for _ in range(15):
            bench.reconcile(0.08)
            bench.store_changes()
            bench.answer_all_advice(allowed)
            for start in bench.pop_starts():
                return start
        raise AssertionError('nothing has started')

    def test_the_only_worker_is_probed(self) -> None:
        bench = self.start_quarantine()
        self.assertEqual('a-0', self.first_start(bench, 'a-0').target.worker)

    def test_the_only_allowed_worker_is_probed(self) -> None:
        bench = self.start_quarantine(make_entry('b-0'), make_entry('b-1'))
        self.assertEqual('a-0', self.first_start(bench, 'a-0').target.worker)

    def test_no_worker_is_probed_while_another_is_asked_about(self) -> None:
        bench = self.start_quarantine(make_entry('b-0'))
        self.assertEqual('b-0', self.first_start(bench, 'b-0').target.worker)


class AdviceWorkersTest(unittest.TestCase):
    def start_bench(self, *entries: WorkerEntry) -> None:
        self.bench = AdviceBench(*entries)

    def submit(self, name: str, step: StepSpec) -> None:
        self.bench.submit(make_job(name, step))
        self.bench.store_changes()

    def started_on(self) -> set[str]:
        """Return the workers of the new starts, which are acknowledged."""
        starts = self.bench.pop_starts()
        for start in starts:
            self.bench.answer_start(start)
            self.bench.answer_poll(
                start.target.worker, running=(make_listed_run(start),)
            )
        return {start.target.worker for start in starts}

    def lose(self, name: str) -> None:
        """Let a worker leave for good, and its lease expire."""
        bench = self.bench
        bench.entries = [e for e in bench.entries if e.id != name]
        for _ in range(30):
            bench.list_workers(*bench.entries)
            for worker in list(bench.engine.state.workers.values()):
                if worker.id == name:
                    bench.fail_poll(worker.id)
                elif not worker.tasks:
                    bench.answer_poll(worker.id)
            bench.reconcile(0.2)
            bench.store_changes()
            bench.answer_all_advice(*(e.id for e in bench.entries))

    # review/9: the only worker with the label is lost, a new one joins last.
    def test_lasting_work_starts_on_the_new_worker_with_its_label(
        self,
    ) -> None:
        others = [make_entry(f'a-{number}') for number in range(7)]
        self.start_bench(make_entry('b-0', 'b'), *others)
        self.submit('lasting', make_lasting_step(required_label='b'))
        self.bench.answer_all_advice('b-0', *(e.id for e in others))
        self.assertEqual({'b-0'}, self.started_on())
        self.bench.entries.append(make_entry('b-1', 'b'))
        self.lose('b-0')
        self.assertEqual({'b-1'}, self.started_on())

    def test_no_worker_without_the_label_is_asked_about(self) -> None:
        self.start_bench(make_entry('a-0'), make_entry('b-1', 'b'))
        self.submit('labelled', make_step(1, required_label='b'))
        self.assertEqual({'b-1'}, self.bench.answer_all_advice('b-1'))
        self.assertEqual({'b-1'}, self.started_on())

    def test_no_request_is_sent_if_no_worker_has_the_label(self) -> None:
        self.start_bench(make_entry('a-0'), make_entry('a-1'))
        self.submit('labelled', make_step(1, required_label='b'))
        self.assertEqual([], self.bench.pop_advice_requests())

    def test_workers_that_the_limit_per_worker_excludes_are_not_enough(
        self,
    ) -> None:
        # The ticket for the first worker is valid for as long as the step
        # waits, but the worker may take one task alone.
        self.start_bench(make_entry('a-0'))
        self.submit('apart', make_step(2, max_per_worker=1))
        self.bench.answer_all_advice('a-0')
        self.assertEqual({'a-0'}, self.started_on())
        self.bench.entries.append(make_entry('a-1'))
        self.bench.list_workers(*self.bench.entries)
        self.bench.answer_poll(self.bench.entries[1].id)
        self.bench.reconcile(0.2)
        self.bench.store_changes()
        self.bench.answer_all_advice('a-0', 'a-1')
        self.assertEqual({'a-1'}, self.started_on())

    def test_a_gang_asks_about_the_rack_that_can_hold_it(self) -> None:
        # Two racks have a ticket each, which is as many as the gang needs.
        self.start_bench(
            make_entry('a-1'), make_entry('b-2'), make_entry('c-2')
        )
        gang = make_step(2, 9000, is_gang=True, needs_single_rack=True)
        self.submit('gang', gang)
        named = self.bench.answer_all_advice('a-1', 'b-2', 'c-2')
        self.assertEqual({'b-2', 'c-2'}, named)
        self.assertEqual({'b-2', 'c-2'}, self.started_on())

    def test_a_gang_without_room_asks_for_nothing(self) -> None:
        # Its requests would follow each other, and hold up those of others.
        self.start_bench(make_entry('a-1'), make_entry('b-1'))
        self.submit('gang', make_step(3, 9000, is_gang=True))
        self.submit('other', make_step(1))
        [request] = self.bench.pop_advice_requests()
        self.assertEqual('other', request.step.job)

    def test_a_task_asks_about_its_rack_first_and_then_about_others(
        self,
    ) -> None:
        self.start_bench(
            make_entry('a-1'), make_entry('b-2'), make_entry('c-1')
        )
        step = make_step(2, 9000, needs_single_rack=True)
        self.submit('racked', step)
        [request] = self.bench.pop_advice_requests()
        self.bench.answer_advice(request, 'a-1')
        # The others that the request named are not allowed.
        self.assertEqual({'a-1'}, self.started_on())
        self.bench.entries += [make_entry('d-2'), make_entry('e-1')]
        self.bench.list_workers(*self.bench.entries)
        for entry in self.bench.entries[3:]:
            self.bench.answer_poll(entry.id)
        self.bench.reconcile(0.2)
        self.bench.store_changes()
        self.assertEqual({'e-1'}, self.bench.answer_all_advice())
        self.bench.reconcile(MAX_RACK_WAIT_S + 0.1)
        self.bench.store_changes()
        self.assertEqual({'d-2'}, self.bench.answer_all_advice('d-2'))
        self.assertEqual({'d-2'}, self.started_on())

    def test_a_failed_task_asks_about_others_before_it_runs_there_again(
        self,
    ) -> None:
        # Its attempts would be used up on one worker that fails all tasks.
        self.start_bench(make_entry('a-0'))
        self.submit('once', make_step(1))
        self.bench.answer_all_advice('a-0')
        [start] = self.bench.pop_starts()
        self.bench.answer_start(start)
        self.bench.entries.append(make_entry('a-1'))
        self.bench.list_workers(*self.bench.entries)
        self.bench.answer_poll(self.bench.entries[1].id)
        end = make_run_end(start, EndKind.FAILED)
        self.bench.answer_poll(start.target.worker, ends=(end,))
        self.bench.store_changes()
        self.bench.answer_all_advice('a-0', 'a-1')
        self.assertEqual({'a-1'}, self.started_on())

    def test_a_failed_task_runs_there_again_if_no_other_is_allowed(
        self,
    ) -> None:
        self.start_bench(make_entry('a-0'), make_entry('a-1'))
        self.submit('lasting', make_lasting_step())
        self.bench.answer_all_advice('a-0')
        [start] = self.bench.pop_starts()
        self.bench.answer_start(start)
        end = make_run_end(start, EndKind.FAILED)
        self.bench.answer_poll(start.target.worker, ends=(end,))
        self.bench.store_changes()
        self.bench.answer_all_advice('a-0')
        self.assertEqual({'a-0'}, self.started_on())

    def test_a_worker_whose_ticket_expired_is_asked_about_first(self) -> None:
        # It is certain to be allowed; larger ones that joined are not.
        small = make_entry('a-0')
        small = replace(small, capacity=Resources(4000, 64_000, 0))
        self.start_bench(small)
        self.submit('lasting', make_lasting_step())
        self.bench.answer_all_advice('a-0')
        [start] = self.bench.pop_starts()
        self.bench.answer_start(start)
        self.bench.entries += [make_entry(f'b-{n}') for n in range(5)]
        self.bench.list_workers(*self.bench.entries)
        for entry in self.bench.entries[1:]:
            self.bench.answer_poll(entry.id)
        self.bench.now += TICKET_LAPSE_S
        end = make_run_end(start, EndKind.STOPPED)
        self.bench.answer_poll(small.id, ends=(end,))
        self.bench.store_changes()
        [request] = self.bench.pop_advice_requests()
        self.assertEqual('a-0', request.workers[0])
        self.assertEqual(3, len(request.workers))


if __name__ == '__main__':
    unittest.main()
