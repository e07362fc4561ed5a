"""Tests of maintenance waves, moves between pools and availability budgets.

Guards against too many instances or tasks being down at once, waves that do
not complete, and instances that move needlessly. Each test passes events,
times and lists of instances to an engine and checks the calls to the platform
that come out.
"""

from dataclasses import replace
import unittest

from primroseledge.cluster.node_loop import OWNER_TICK_S
from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.ids import WorkerId
from primroseledge.jobs.configuration import Service
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import ListInstances
from primroseledge.maintenance.evacuation import may_be_unavailable
from primroseledge.maintenance.instance_list import Operation
from primroseledge.maintenance.instance_list import OperationState
from primroseledge.maintenance.pools import BELOW_RESERVE_WAIT_S
from primroseledge.maintenance.wave import InstanceState
from primroseledge.maintenance.wave import Wave
from primroseledge.maintenance.wave import WaveNumber
from primroseledge.maintenance.wave import WaveState
from primroseledge.owner.outbox import MAX_WAVES_PER_BATCH
from primroseledge.scheduling.actions import SendStart
from primroseledge.workers.worker import WorkerState
from tests.engine_bench import EngineBench
from tests.engine_bench import make_job
from tests.engine_bench import make_listed_run
from tests.engine_bench import make_run_end
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE
from tests.engine_bench import STANDBY_SERVICE
from tests.maintenance_bench import MaintenanceBench
from tests.maintenance_bench import make_row
from tests.maintenance_bench import WAVE
from tests.maintenance_bench import WORKERS

OTHER_SERVICE = ServiceId('iron')


class WaveTest(unittest.TestCase):
    def test_no_more_are_in_maintenance_than_allowed(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0, 1, 2)
        [first] = bench.maintenance_starts()
        bench.answer(first)
        bench.reconcile(1.0)
        bench.list_instances()
        self.assertEqual([], bench.maintenance_starts())
        number = int(first.instance.removeprefix('i-'))
        bench.rows[first.instance] = make_row(number, worker='worker-new')
        bench.reconcile(1.0)
        bench.list_instances()
        self.assertEqual(1, len(bench.maintenance_starts()))

    def test_an_instance_is_drained_first(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        [start] = bench.run_job(make_job('a', make_step(1)))
        bench.list_instances()
        bench.request_wave(0)
        self.assertEqual([], bench.maintenance_starts())
        self.assertTrue(
            bench.engine.state.workers[WORKERS[0].id].is_drained_by_owner
        )
        bench.answer_poll(WORKERS[0].id, ends=(make_run_end(start),))
        bench.store_changes()
        self.assertEqual(1, len(bench.maintenance_starts()))

    def test_it_is_completed_only_when_all_have_started(self) -> None:
        bench = MaintenanceBench(*WORKERS[:2])
        bench.list_instances()
        bench.request_wave(0, 1, max_in_maintenance=2)
        calls = bench.maintenance_starts()
        bench.answer(calls[0])
        bench.store_changes()
        self.assertIs(WaveState.RUNNING, bench.wave_state)
        for call in calls[1:] or bench.maintenance_starts():
            bench.answer(call)
        while bench.wave_state is WaveState.RUNNING and bench.now < 140:
            for number in range(2):
                bench.rows[f'i-{number}'] = make_row(
                    number, worker=f'new-{number}'
                )
            bench.reconcile(0.5)
            bench.list_instances()
            for call in bench.maintenance_starts():
                bench.answer(call)
        self.assertIs(WaveState.COMPLETED, bench.wave_state)
        record = bench.engine.instance_list.wave_records[WAVE]
        self.assertEqual(2, len(record.started_instances))

    def test_an_unanswered_call_is_retried(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        bench.answer(call, InstanceResult.UNANSWERED)
        self.assertEqual(
            (), bench.engine.instance_list.wave_records[WAVE].started_instances
        )
        bench.reconcile(0.8)
        self.assertEqual([call], bench.maintenance_starts())

    def test_a_late_answer_does_not_concern_a_later_move(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        instances = bench.engine.instance_list
        move = Operation(
            call.instance,
            WORKERS[0].id,
            None,
            target_pool=STANDBY_SERVICE,
            started_at=bench.now,
        )
        instances.operations[call.instance] = move
        bench.answer(call)
        self.assertIsNot(OperationState.AWAITING_RETURN, move.state)
        self.assertEqual(
            (call.instance,), instances.wave_records[WAVE].started_instances
        )

    def test_a_start_after_its_maintenance_was_cancelled_is_recorded(
        self,
    ) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.disable_pool_sizing()
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        instances = bench.engine.instance_list
        instances.operations.clear()
        bench.answer(call)
        self.assertEqual(
            (call.instance,), instances.wave_records[WAVE].started_instances
        )

    def test_a_batch_holds_few_of_many_changed_waves(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        for number in range(1, 17):
            wave = Wave(WaveNumber(number), (), 20.0, 1)
            bench.engine.instance_list.waves[wave.number] = wave
        bench.reconcile(OWNER_TICK_S)
        stored = set[WaveNumber]()
        for _ in range(10):
            bench.store_changes()
        for batch in bench.batches:
            self.assertLessEqual(len(batch.waves), MAX_WAVES_PER_BATCH)
            stored.update(record.number for record in batch.waves)
        self.assertEqual(16, len(stored))

    def test_a_restarted_worker_is_drained_again(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.list_instances()
        bench.request_wave(0)
        [call] = bench.maintenance_starts()
        bench.answer(call, InstanceResult.UNANSWERED)
        bench.list_workers(make_worker_entry('worker-9'))
        bench.answer_poll(WorkerId('worker-9'))
        bench.run_job(make_job('a', make_step(1)))
        bench.rows['i-0'] = make_row(0, worker='worker-9')
        bench.reconcile(0.3)
        bench.list_instances()
        bench.reconcile(1.0)
        self.assertEqual([], bench.maintenance_starts())

    def test_a_new_owner_waits_before_its_first_call(self) -> None:
        bench = MaintenanceBench(WORKERS[0])
        bench.engine.instance_list.may_change_instances_from = bench.now + 3.5
        bench.list_instances()
        bench.request_wave(0)
        bench.reconcile(3.0)
        self.assertEqual([], bench.maintenance_starts())
        bench.reconcile(0.6)
        # The list may not show the effect of the predecessor's last calls.
        self.assertEqual([], bench.maintenance_starts())
        bench.list_instances()
        self.assertEqual(1, len(bench.maintenance_starts()))

    def test_maintenance_started_by_a_predecessor_counts(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        bench.disable_pool_sizing()
        bench.engine.instance_list.may_change_instances_from = bench.now + 1.0
        for number in (0, 1):
            bench.rows[f'i-{number}'] = make_row(
                number, state=InstanceState.IN_MAINTENANCE
            )
        bench.reconcile(1.1)
        bench.list_instances()
        bench.request_wave(0, 1, 2, 3, max_in_maintenance=2)
        self.assertEqual([], bench.maintenance_starts())
        bench.rows['i-0'] = make_row(0, worker='worker-new')
        bench.reconcile(0.3)
        bench.list_instances()
        self.assertEqual(1, len(bench.maintenance_starts()))

    def test_a_new_owner_reads_the_list_before_it_acts(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        bench.engine.instance_list.may_change_instances_from = bench.now + 1.0
        bench.request_wave(0)
        bench.list_instances()
        bench.reconcile(0.9)
        self.assertEqual([], bench.pop_actions(ListInstances, lambda _: True))
        bench.reconcile(0.2)
        self.assertEqual([], bench.maintenance_starts())
        self.assertEqual(
            1, len(bench.pop_actions(ListInstances, lambda _: True))
        )


class BudgetTest(unittest.TestCase):
    def start_long_running_tasks(self, bench: EngineBench) -> list[SendStart]:
        job = make_job(
            'a',
            make_step(
                3, is_long_running=True, max_unavailable=1, max_per_worker=1
            ),
        )
        starts = bench.run_job(job)
        for start in starts:
            bench.answer_poll(
                start.target.worker, running=(make_listed_run(start),)
            )
        return starts

    def may_stop(self, bench: EngineBench, start: SendStart) -> bool:
        worker = bench.engine.state.workers[start.target.worker]
        task = worker.tasks[start.task]
        return may_be_unavailable(bench.engine.state, task, bench.now)

    def test_one_may_be_unavailable_if_all_others_are_available(self) -> None:
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        self.assertTrue(self.may_stop(bench, starts[0]))

    def test_none_may_be_stopped_while_another_starts_up(self) -> None:
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        other = starts[1]
        bench.answer_poll(
            other.target.worker, running=(make_listed_run(other, percent=40),)
        )
        self.assertFalse(self.may_stop(bench, starts[0]))

    def test_no_task_may_be_stopped_while_two_start_up(self) -> None:
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        for start in starts[:2]:
            run = make_listed_run(start, percent=40)
            bench.answer_poll(start.target.worker, running=(run,))
        self.assertFalse(self.may_stop(bench, starts[0]))
        self.assertFalse(self.may_stop(bench, starts[1]))

    def test_tasks_are_evacuated_from_a_draining_worker(self) -> None:
        bench = EngineBench(*WORKERS[:4])
        starts = self.start_long_running_tasks(bench)
        leaving = starts[0].target.worker
        entries = [
            replace(entry, state=WorkerState.DRAINING)
            if entry.id == leaving
            else entry
            for entry in WORKERS[:4]
        ]
        bench.list_workers(*entries)
        self.assertEqual(
            [starts[0].task], [stop.task for stop in bench.pop_stops()]
        )

    def test_a_task_on_an_unresponsive_worker_counts_as_unavailable(
        self,
    ) -> None:
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        bench.fail_poll(starts[1].target.worker)
        self.assertFalse(self.may_stop(bench, starts[0]))

    def test_a_task_not_listed_recently_counts_as_unavailable(self) -> None:
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        bench.reconcile(4.0)
        bench.answer_poll(
            starts[0].target.worker, running=(make_listed_run(starts[0]),)
        )
        self.assertFalse(self.may_stop(bench, starts[0]))

    def test_a_poll_answer_counts_from_its_receipt(self) -> None:
        # A busy owner handles an answer seconds after it arrived, when the
        # tasks that it lists may be gone.
        bench = EngineBench(*WORKERS[:3])
        starts = self.start_long_running_tasks(bench)
        received_at = bench.now
        bench.reconcile(4.0)
        for start in starts:
            bench.answer_poll(
                start.target.worker,
                running=(make_listed_run(start),),
                sent_at=received_at,
                received_at=received_at,
            )
        self.assertFalse(self.may_stop(bench, starts[0]))

    def test_a_stall_is_measured_between_receipts(self) -> None:
        bench = EngineBench(WORKERS[0])
        [start] = bench.run_job(make_job('a', make_step(1)))
        run = make_listed_run(start, percent=10)
        bench.answer_poll(WORKERS[0].id, running=(run,))
        received_at = bench.now + 0.5
        bench.reconcile(3.0)
        bench.answer_poll(
            WORKERS[0].id, running=(run,), received_at=received_at
        )
        self.assertEqual([], bench.pop_stops())


class PoolTest(unittest.TestCase):
    def test_an_idle_pool_returns_instances_to_standby(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        for _ in range(30):
            bench.list_instances()
            bench.reconcile(0.1)
        moves = bench.moves()
        self.assertEqual({STANDBY_SERVICE}, {move.pool for move in moves})
        self.assertEqual(3, len({move.instance for move in moves}))

    def test_instances_with_long_running_tasks_stay(self) -> None:
        bench = MaintenanceBench(*WORKERS)
        long_running_step = make_step(
            5, is_long_running=True, max_unavailable=1, max_per_worker=1
        )
        starts = bench.run_job(make_job('a', long_running_step))
        for start in starts:
            bench.answer_poll(
                start.target.worker, running=(make_listed_run(start),)
            )
        for _ in range(30):
            bench.list_instances()
            bench.reconcile(0.1)
        self.assertEqual(1, len({move.instance for move in bench.moves()}))
        self.assertEqual([], bench.pop_stops())

    def submit_burst(self, bench: MaintenanceBench) -> None:
        for number in range(8):
            bench.submit(make_job(f'job-{number}', make_step(8, 2000)))
        bench.reconcile(0.2)

    def test_a_burst_takes_instances_from_the_standby_pool(self) -> None:
        bench = MaintenanceBench(*WORKERS[:3])
        for number in range(10, 14):
            bench.rows[f'i-{number}'] = make_row(number, STANDBY_SERVICE)
        bench.observe_pools()
        self.submit_burst(bench)
        moves = bench.moves()
        self.assertEqual({SERVICE}, {move.pool for move in moves})
        self.assertEqual(4, len(moves))

    def test_a_pool_that_has_enough_waits_for_its_own_workers(self) -> None:
        bench = MaintenanceBench(*WORKERS[:2])
        bench.rows['i-10'] = make_row(10, STANDBY_SERVICE)
        bench.observe_pools()
        self.assertEqual([], bench.moves())
        bench.reconcile(BELOW_RESERVE_WAIT_S)
        self.assertEqual(
            [InstanceId('i-10')], [m.instance for m in bench.moves()]
        )

    def test_a_growing_pool_first_keeps_its_draining_workers(self) -> None:
        bench = MaintenanceBench(*WORKERS[:4])
        bench.run_job(make_job('old', make_step(4, max_per_worker=1)))
        bench.engine.state.arrival_rates.clear()
        for _ in range(30):
            bench.list_instances()
            bench.reconcile(0.1)
        drained = [
            w
            for w in bench.engine.state.workers.values()
            if w.is_drained_by_owner
        ]
        self.assertEqual(1, len(drained))
        self.assertEqual([], bench.moves())
        bench.rows['i-10'] = make_row(10, STANDBY_SERVICE)
        bench.list_instances()
        self.submit_burst(bench)
        self.assertFalse(drained[0].is_drained_by_owner)

    def create_two_pools(self) -> MaintenanceBench:
        """Return a bench with an idle pool and one that will need more."""
        idle = [
            make_worker_entry(f'idle-{number}', OTHER_SERVICE)
            for number in range(5)
        ]
        bench = MaintenanceBench(*WORKERS[:3], *idle)
        config = bench.engine.state.configuration
        config.services[OTHER_SERVICE] = Service(OTHER_SERVICE)
        for number, entry in enumerate(idle, 3):
            bench.rows[f'i-{number}'] = make_row(
                number, OTHER_SERVICE, worker=entry.id
            )
        return bench

    def test_an_idle_pool_gives_instances_to_a_pool_with_a_shortfall(
        self,
    ) -> None:
        bench = self.create_two_pools()
        bench.list_instances()
        bench.reconcile(0.2)
        self.submit_burst(bench)
        for _ in range(14):
            bench.list_instances()
            bench.reconcile(0.1)
        moves = bench.moves()
        self.assertEqual({SERVICE}, {move.pool for move in moves})
        self.assertEqual(2, len({move.instance for move in moves}))

    def test_a_refused_move_is_not_retried(self) -> None:
        bench = MaintenanceBench(*WORKERS[:3])
        bench.rows['i-10'] = make_row(10, STANDBY_SERVICE)
        bench.observe_pools()
        self.submit_burst(bench)
        [move] = bench.moves()
        bench.answer(move, InstanceResult.NO_SUCH_INSTANCE)
        bench.reconcile(1.0)
        self.assertEqual([], bench.moves())


if __name__ == '__main__':
    unittest.main()
