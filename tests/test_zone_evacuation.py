"""Tests of what the owner does while a zone is evacuated.

They guard against starts in the zone, long-running tasks that are stopped
beyond their budgets, pools that count on the zone, and untrue reports.
"""

from dataclasses import replace
import unittest
from unittest import mock

from primroseledge.ids import ZoneId
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.pools import find_targets
from primroseledge.maintenance.wave import InstanceRow
from primroseledge.scheduling.actions import OrderResult
from primroseledge.workers.worker import StartObstacle
from primroseledge.workers.worker import WorkerEntry
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import STANDBY_SERVICE
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import make_row

NORTH, SOUTH = ZoneId('north'), ZoneId('south')
LOGGER = 'primroseledge'


def make_entry(number: int, zone: ZoneId) -> WorkerEntry:
    return replace(make_worker_entry(f'worker-{number}'), zone=zone)


NORTHERN, SOUTHERN = make_entry(1, NORTH), make_entry(2, SOUTH)
SPREAD_JOB = make_job('a', make_step(2, 16_000))
"""A job that fills one worker in each zone."""


def evacuate(bench: EngineBench, *zones: ZoneId) -> None:
    bench.engine.apply_evacuated_zones(frozenset(zones), bench.now)
    bench.reconcile()


class GangTest(unittest.TestCase):
    def stopped_members(self, budget: int) -> int:
        bench = EngineBench(NORTHERN, SOUTHERN)
        step = make_step(
            2,
            16_000,
            is_gang=True,
            is_long_running=True,
            max_unavailable=budget,
        )
        starts = bench.run_job(make_job('g', step))
        for start in starts:
            worker = start.target.worker
            bench.answer_poll(worker, (make_listed_run(start),))
        evacuate(bench, NORTH)
        bench.reconcile(0.02)
        return len(bench.pop_stops())

    def test_a_gang_moves_as_a_whole_or_not_at_all(self) -> None:
        """A member that is stopped alone would never start again."""
        self.assertEqual(2, self.stopped_members(budget=0))
        self.assertEqual(0, self.stopped_members(budget=1))
        self.assertEqual(2, self.stopped_members(budget=2))


class StartTest(unittest.TestCase):
    def test_nothing_starts_until_the_zone_is_returned(self) -> None:
        bench = EngineBench(NORTHERN, SOUTHERN)
        evacuate(bench, NORTH)
        worker = bench.engine.state.workers[NORTHERN.id]
        self.assertIs(
            StartObstacle.EVACUATED, worker.start_obstacle(bench.now)
        )
        bench.submit(SPREAD_JOB)
        bench.store_changes()
        (start,) = bench.pop_starts()
        self.assertEqual(SOUTHERN.id, start.target.worker)
        # Neither a new list nor a restart of the worker ends it.
        restarted = replace(NORTHERN, boot=7)
        bench.list_workers(restarted, SOUTHERN, make_entry(3, NORTH))
        for name in (NORTHERN.id, make_entry(3, NORTH).id):
            bench.answer_poll(name)
        bench.store_changes()
        self.assertEqual([], bench.pop_starts())
        evacuate(bench)
        bench.store_changes()
        self.assertEqual(1, len(bench.pop_starts()))

    def test_planned_starts_are_withdrawn(self) -> None:
        bench = EngineBench(NORTHERN, SOUTHERN)
        for number in range(30):
            bench.submit(make_job(f'job-{number}', make_step(1)))
        # One batch doesn't hold all, so some starts are in none yet.
        with mock.patch('primroseledge.owner.outbox.MAX_PACK_BYTES', 1_000):
            bench.reconcile(0.02)
        batch = bench.batch_in_flight
        assert batch is not None
        in_batch = [start.task for start in batch.starts]
        for tasks in (in_batch, bench.engine.state.planned_tasks):
            workers = {task.run.worker for task in tasks if task.run}
            self.assertIn(NORTHERN.id, workers)
        evacuate(bench, NORTH)
        bench.store_changes()
        targets = [start.target.worker for start in bench.pop_starts()]
        self.assertEqual([SOUTHERN.id] * 16, targets)
        self.assertFalse(bench.engine.state.workers[NORTHERN.id].tasks)

    def test_what_was_sent_before(self) -> None:
        """An unanswered start is stopped with its gang; short tasks end."""
        for is_gang in (False, True):
            bench = EngineBench(NORTHERN, SOUTHERN)
            step = make_step(2, 16_000, is_gang=is_gang)
            bench.submit(make_job('a', step))
            bench.store_changes()
            starts = bench.pop_starts()
            starts.sort(key=lambda start: start.target.worker)
            northern, southern = starts
            bench.answer_start(southern)
            evacuate(bench, NORTH)
            if is_gang:
                bench.answer_start(northern, OrderResult.UNANSWERED)
            else:
                bench.answer_start(northern)
                bench.answer_poll(NORTHERN.id, (make_listed_run(northern),))
            self.assertEqual([], bench.pop_starts())
            stopped = {stop.target.worker for stop in bench.pop_stops()}
            expected = {NORTHERN.id, SOUTHERN.id} if is_gang else set()
            self.assertEqual(expected, stopped)

    def test_long_running_tasks_move_within_their_budget(self) -> None:
        step = make_step(
            2, 7_000, is_long_running=True, max_unavailable=1, max_per_worker=2
        )
        bench = EngineBench(NORTHERN)
        starts = bench.run_job(make_job('s', step))
        bench.list_workers(NORTHERN, SOUTHERN)
        bench.answer_poll(SOUTHERN.id)
        runs = tuple(make_listed_run(start) for start in starts)
        bench.answer_poll(NORTHERN.id, runs)
        evacuate(bench, NORTH)
        bench.reconcile(0.02)
        (stop,) = bench.pop_stops()
        # The other one is stopped only when the first serves elsewhere.
        bench.answer_stop(stop)
        left = tuple(run for run in runs if run.task != stop.task)
        bench.reconcile(0.1)
        bench.answer_poll(NORTHERN.id, left)
        bench.store_changes()
        (moved,) = bench.pop_starts()
        self.assertEqual(SOUTHERN.id, moved.target.worker)
        self.assertEqual([], bench.pop_stops())
        bench.answer_start(moved)
        bench.answer_poll(SOUTHERN.id, (make_listed_run(moved),))
        bench.reconcile(0.02)
        self.assertEqual(
            [left[0].task], [stop.task for stop in bench.pop_stops()]
        )


class InstanceTest(unittest.TestCase):
    def setUp(self) -> None:
        """List worker 0 in the north, the others in the south."""
        entries = [make_entry(n, SOUTH if n else NORTH) for n in range(6)]
        self.bench = MaintenanceBench(*entries)
        self.instances = self.bench.engine.instance_list
        for number, entry in enumerate(entries):
            self.add_row(make_row(number), entry.zone)
        self.job = make_job('a', make_step(8, 16_000))

    def add_row(self, row: InstanceRow, zone: ZoneId) -> None:
        self.bench.rows[row.id] = replace(row, zone=zone)

    def test_pools_grow_from_other_zones_only(self) -> None:
        bench = self.bench
        self.add_row(make_row(6, STANDBY_SERVICE), NORTH)
        bench.list_instances()
        state = bench.engine.state
        (before,) = find_targets(state, self.instances, bench.now)
        bench.submit(self.job)
        bench.reconcile(0.2)
        (move,) = bench.moves()
        evacuate(bench, NORTH)
        (after,) = find_targets(state, self.instances, bench.now)
        # Neither the worker in the north counts nor the move.
        self.assertEqual(before.size - 1, after.size)
        bench.answer(move, InstanceResult.UNANSWERED)
        self.add_row(make_row(7, STANDBY_SERVICE), SOUTH)
        bench.list_instances()
        bench.reconcile(1.0)
        self.assertEqual(['i-7'], [move.instance for move in bench.moves()])

    def test_maintenance_of_the_zone_comes_first(self) -> None:
        self.bench.list_instances()
        self.bench.disable_pool_sizing()
        # A backlog holds up the maintenance of instances in use.
        self.bench.submit(self.job)
        evacuate(self.bench, NORTH)
        self.bench.store_changes()
        self.bench.request_wave(2, 0, max_in_maintenance=2)
        (call,) = self.bench.maintenance_starts()
        self.assertEqual('i-0', call.instance)


class ProgressTest(unittest.TestCase):
    def test_begin_completion_and_warnings_are_logged_once_each(self) -> None:
        bench = EngineBench(NORTHERN, SOUTHERN)
        with self.assertLogs(LOGGER) as logs:
            evacuate(bench, NORTH, ZoneId('nowhere'))
            evacuate(bench, NORTH, SOUTH, ZoneId('nowhere'))
            for _ in range(30):
                bench.reconcile(0.3)
            evacuate(bench)
            evacuate(bench, NORTH, SOUTH)
            bench.reconcile(0.3)
        texts = '\n'.join(logs.output)
        for part, count in (
            ('zone north is evacuated', 2),
            ('zone south is evacuated', 2),
            ('nothing runs in the evacuated zone north', 2),
            ('all zones are evacuated: north, south', 2),
            ('nowhere is named by no worker', 1),
            ('zone north is used again', 1),
        ):
            self.assertEqual(count, texts.count(part), part)

    def test_no_zone_is_empty_while_a_run_is_of_unknown_zone(self) -> None:
        bench = EngineBench(NORTHERN, SOUTHERN)
        bench.run_job(make_job('a', make_step(1)))
        (worker,) = (w for w in bench.engine.state.workers.values() if w.tasks)
        worker.entry = replace(worker.entry, zone=ZoneId(''))
        worker.is_listed = False
        with self.assertLogs(LOGGER) as logs:
            evacuate(bench, NORTH)
            bench.reconcile(0.3)
        self.assertNotIn('nothing runs', '\n'.join(logs.output))


if __name__ == '__main__':
    unittest.main()
