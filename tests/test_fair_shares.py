"""Tests of fair shares: who starts first where capacity is short.

Guards against a workspace that floods a service and delays its neighbours'
jobs, and against a changed order where shares don't matter.
"""

from collections import defaultdict
from dataclasses import replace
import logging
from statistics import fmean
import unittest

from msgspec import structs

from bench.job_fleet import JobFleet
from bench.job_load import crowded_shape
from bench.job_load import LoadShape
from bench.job_load import small_shape
from bench.job_outcome import Outcome
from primroseledge.ids import JobId
from primroseledge.ids import QueueId
from primroseledge.ids import WorkspaceId
from primroseledge.jobs.configuration import Workspace
from primroseledge.jobs.resources import Resources
from primroseledge.jobs.spec import StepSpec
from primroseledge.observability.events import Event
from primroseledge.operators.workspace_shares import find_workspace_shares
from primroseledge.operators.workspace_shares import WorkspaceShare
from primroseledge.owner.engine import create_engine
from primroseledge.owner.recovery import restore_engine
from primroseledge.scheduling.fair_shares import is_above_share
from primroseledge.scheduling.fair_shares import order_by_shares
from primroseledge.scheduling.planning import waiting_steps
from primroseledge.scheduling.share_level import Claim
from primroseledge.scheduling.share_level import find_level
from primroseledge.scheduling.share_state import ServiceShares
from primroseledge.scheduling.share_state import ShareUsage
from tests.engine_bench import EngineBench
from tests.engine_bench import make_configuration
from tests.engine_bench import make_job
from tests.engine_bench import make_step
from tests.engine_bench import make_worker_entry
from tests.engine_bench import SERVICE

WORKER = make_worker_entry('worker-1')
SEEDS = (1, 2, 3)


class ShareBench(EngineBench):
    """An engine with one worker and workspaces of different weights."""

    def __init__(self, **weights: float) -> None:
        super().__init__(WORKER)
        self.set_weights(**weights)

    def set_weights(self, **weights: float) -> None:
        """Configure workspaces with these weights, and no others."""
        workspaces = {
            WorkspaceId(name): Workspace(
                WorkspaceId(name), frozenset({name}), weight
            )
            for name, weight in weights.items()
        }
        self.engine.apply_configuration(
            structs.replace(make_configuration(), workspaces=workspaces)
        )

    def send(self, workspace: str, name: str, *steps: StepSpec) -> None:
        """Submit a job on behalf of a workspace."""
        job = make_job(name, *(steps or (make_step(8),)))
        self.submit(structs.replace(job, workspace=WorkspaceId(workspace)))

    def start(self, workspace: str, name: str, count: int) -> None:
        """Submit a job, and have as many of its tasks planned as fit."""
        self.send(workspace, name, make_step(count))
        self.store_changes()

    def order(self) -> list[str]:
        """Return the jobs that wait, in the order in which they start."""
        state = self.engine.state
        rows = waiting_steps(state, SERVICE, self.now)
        workers = list(state.workers.values())
        ordered = order_by_shares(rows, state, workers, self.now)
        return [job.accepted.id for _, job, _ in ordered]

    def running(self, name: str) -> int:
        """Return how many tasks of a job have a run."""
        tasks = self.engine.state.jobs[JobId(name)].tasks()
        return sum(task.run is not None for task in tasks)


class ShareOrderTest(unittest.TestCase):
    def test_a_workspace_above_its_share_goes_behind_the_others(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        bench.start('a', 'a1', 14)
        bench.send('a', 'a2')
        bench.send('b', 'b1')
        self.assertEqual(['b1', 'a2'], bench.order())

    def test_long_running_steps_stay_first(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        bench.start('a', 'a1', 14)
        bench.send('a', 'a2', make_step(8, is_long_running=True))
        bench.send('b', 'b1')
        self.assertEqual(['a2', 'b1'], bench.order())

    def test_a_start_within_the_pass_counts_at_once(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        # All steps of a would start if only the usage before the pass counted.
        counts = {'a1': 9, 'a2': 7, 'b1': 7, 'b2': 9}
        for name, count in counts.items():
            bench.send(name[0], name, make_step(count))
        bench.store_changes()
        running = [bench.running(name) for name in counts]
        self.assertEqual([9, 0, 7, 0], running)

    def test_a_changed_weight_takes_effect_in_the_next_pass(self) -> None:
        bench = ShareBench(a=1, b=1)
        bench.start('a', 'a1', 8)
        bench.start('b', 'b1', 8)
        bench.send('a', 'a2')
        bench.send('b', 'b2')
        self.assertEqual(['a2', 'b2'], bench.order())
        bench.set_weights(a=1, b=3)
        self.assertEqual(['b2', 'a2'], bench.order())

    def test_a_removed_workspace_is_served_with_weight_1(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        bench.start('a', 'a1', 14)
        bench.send('b', 'b1')
        bench.send('c', 'c1')
        bench.set_weights(a=1, c=3)
        self.assertEqual(['b1', 'c1'], bench.order())

    def test_an_unusable_weight_counts_as_the_smallest(self) -> None:
        for weight in (0.0, -2.0, float('nan')):
            bench = ShareBench(a=weight, b=0.5)
            bench.start('a', 'a0', 15)
            bench.send('a', 'a1')
            bench.send('b', 'b1')
            self.assertEqual(['a1', 'b1'], bench.order())

    def test_what_one_leaves_unused_goes_to_the_others(self) -> None:
        bench = ShareBench(a=1, b=3)
        bench.start('a', 'a1', 16)
        self.assertEqual(16, bench.running('a1'))

    def test_a_limit_leaves_the_rest_to_the_others(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        limited = Workspace(
            WorkspaceId('c'), frozenset({'c'}), 3, Resources(2_000, 0, 0)
        )
        configuration = bench.engine.state.configuration
        workspaces = configuration.workspaces | {limited.id: limited}
        bench.engine.apply_configuration(
            structs.replace(configuration, workspaces=workspaces)
        )
        bench.send('c', 'c1', make_step(16))
        bench.start('a', 'a1', 6)
        bench.send('a', 'a2', make_step(16))
        # Of 16 cores c can use 2, so a has not yet its share with 6.
        bench.order()
        above = is_above_share(bench.engine.state, SERVICE, WorkspaceId('a'))
        self.assertFalse(above)

    def test_the_log_names_the_workspaces_that_go_behind(self) -> None:
        bench = ShareBench(a=1, b=1, c=3)
        bench.start('a', 'a1', 14)
        with self.assertLogs('primroseledge') as logs:
            bench.send('a', 'a2')
            bench.send('b', 'b1')
            bench.store_changes()
            bench.reconcile(2.0)
            bench.reconcile(2.0)
        events = [getattr(record, 'event', 0) for record in logs.records]
        self.assertIn(Event.SHARES_APPLIED.value.number, events)
        waits = [m for m in logs.output if 'nothing running' in m]
        self.assertTrue(any('its share' in line for line in waits), waits)


class ShareStateTest(unittest.TestCase):
    def test_the_level_leaves_to_others_what_one_cannot_use(self) -> None:
        claims = [
            Claim(0.0, 0.1, Resources(1_000)),
            Claim(0.0, 0.8, Resources(8_000)),
            Claim(0.0, 0.6, Resources(6_000)),
        ]
        self.assertAlmostEqual(0.45, find_level(claims, Resources(10_000)))

    def test_use_of_other_services_counts(self) -> None:
        claims = [
            Claim(0.5, 1.0, Resources(5_000)),
            Claim(0.0, 0.8, Resources(8_000)),
        ]
        self.assertAlmostEqual(0.5, find_level(claims, Resources(5_000)))

    def test_idle_time_gives_credit_for_some_seconds_only(self) -> None:
        workspace = WorkspaceId('a')
        shares = ServiceShares(begun_at=0.0)
        shares.update_level(0.25)
        shares.update_credit(workspace, 0.0, 3_600.0)
        self.assertEqual(0.25 * 3, shares.bound_of(workspace))
        # A clock that goes back gives and takes nothing.
        shares.update_credit(workspace, 0.5, 3_000.0)
        self.assertEqual(0.25 * 3, shares.bound_of(workspace))
        shares.update_credit(workspace, 0.5, 3_002.0)
        self.assertEqual(0.25, shares.bound_of(workspace))


class RestoredShareTest(unittest.TestCase):
    def test_a_new_owner_counts_the_runs_that_it_restores(self) -> None:
        bench = ShareBench(a=1, b=3)
        bench.start('a', 'a1', 9)
        old = bench.engine.state
        job = old.jobs[JobId('a1')]
        engine = create_engine(old.configuration, bench.now, 0.0)
        restore_engine(
            engine,
            [job.accepted],
            [job.to_record()],
            [],
            bench.entries,
            bench.now,
        )
        restored = engine.state.fair_shares.usage
        self.assertEqual(old.fair_shares.usage, restored)

    def test_operators_see_weight_share_and_usage(self) -> None:
        bench = ShareBench(a=1, b=3)
        bench.start('a', 'a1', 8)
        state = bench.engine.state
        job = state.jobs[JobId('a1')]
        rows = find_workspace_shares(
            state.configuration,
            [job.accepted],
            [job.to_record()],
            WORKER.capacity,
        )
        self.assertEqual(
            [
                WorkspaceShare(WorkspaceId('a'), 1, 0.25, 0.5, 8),
                WorkspaceShare(WorkspaceId('b'), 3, 0.75, 0.0, 0),
            ],
            rows,
        )


def play(shape: LoadShape, seed: int) -> JobFleet:
    fleet = JobFleet(shape, seed)
    fleet.play()
    return fleet


class ShareLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_a_flood_of_one_workspace_spares_its_neighbours(self) -> None:
        shape = crowded_shape()
        kept = expected = 0
        flooded = [play(shape, seed).outcome for seed in SEEDS]
        for seed, outcome in zip(SEEDS, flooded, strict=True):
            calm = play(replace(shape, flood=None), seed).outcome
            served = calm.served() & calm.neighbours(shape.flood)
            expected += len(served)
            kept += len(served & outcome.served())
        self.assertGreaterEqual(kept / expected, 0.95)
        self.check_large_jobs(flooded)

    def check_large_jobs(self, outcomes: list[Outcome]) -> None:
        """Check that the large jobs of no queue starve (S5).

        The tenth of a queue is a few jobs of one load, so all are counted.
        """
        every = defaultdict[QueueId, list[bool]](list)
        largest = defaultdict[QueueId, list[bool]](list)
        larger = defaultdict[QueueId, list[bool]](list)
        for outcome in outcomes:
            for queue, served in outcome.served_by_size().items():
                tenth = len(served) // 10
                every[queue] += served
                largest[queue] += served[:tenth]
                larger[queue] += served[tenth : 3 * tenth]
        for queue, served in every.items():
            least = fmean(served) / 2
            self.assertGreaterEqual(fmean(largest[queue]), least, queue)
            self.assertGreaterEqual(fmean(larger[queue]), least, queue)

    def test_unequal_weights_change_nothing_without_shortage(self) -> None:
        shape = replace(small_shape(), length_s=8.0, workers=40)
        equal = play(shape, 1).outcome
        unequal = play(replace(shape, weights=(3.0,)), 1).outcome
        self.assertEqual(equal.job_ratios, unequal.job_ratios)
        self.assertEqual(equal.started_after, unequal.started_after)

    def test_the_counted_usage_is_that_of_the_runs(self) -> None:
        state = play(replace(crowded_shape(), length_s=6.0), 1).engine.state
        counted = state.fair_shares.usage
        state.recount_share_usage()
        self.assertEqual(state.fair_shares.usage, counted)
        self.assertNotEqual(ShareUsage(), counted)


if __name__ == '__main__':
    unittest.main()
