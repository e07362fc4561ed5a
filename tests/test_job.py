import unittest

from msgspec.structs import replace

from primroseledge.chart import load_chart
from primroseledge.errors import OperatorError
from primroseledge.ids import InstanceId
from primroseledge.ids import JobId
from primroseledge.ids import TeamId
from primroseledge.operators.explain import Explanation
from primroseledge.operators.explain import Rule
from primroseledge.policy.job import Evidence
from primroseledge.policy.job import Job
from primroseledge.policy.job import JobState
from primroseledge.policy.job import quarantine_bound
from primroseledge.policy.job_admission import admit
from primroseledge.policy.job_admission import Situation
from primroseledge.policy.job_controller import MAX_CANCELS_PER_STEP
from primroseledge.policy.placing import Estimator
from primroseledge.policy.placing import place
from primroseledge.policy.placing import Relief
from primroseledge.policy.placing import relieve
from primroseledge.policy.placing import TaskUse
from primroseledge.policy.placing import Worker
from primroseledge.storage.documents import Team
from primroseledge.storage.task_service import PlatformUnavailableError
from primroseledge.storage.task_service import TaskSpec
from standins.platform import Program
from tests.job_world import JobWorld
from tests.job_world import TEAMS

URGENT_START_S = 4.6


class JobTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = JobWorld()
        self.controller = self.world.controller()

    def run_for(self, seconds: int) -> None:
        self.world.run(self.controller, seconds)

    def state(self, job_id: str) -> JobState:
        return self.world.job(job_id).state

    def test_job_runs_to_its_result(self) -> None:
        self.world.submit(Job('a', 'big'))
        self.run_for(12)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))
        self.assertEqual('ok', self.world.job('a').result)

    def test_same_submission_twice_is_one_job(self) -> None:
        self.world.submit(Job('a', 'big'))
        self.run_for(12)
        self.world.submit(Job('a', 'big'))
        self.run_for(12)
        self.assertEqual(1, len(self.world.starts('a')))

    def test_lost_answer_is_read_back(self) -> None:
        self.world.submit(Job('a', 'big', is_idempotent=False))
        self.world.platform.answers_to_lose = 1
        self.run_for(12)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))
        self.assertEqual(1, len(self.world.starts('a')))

    def test_attempt_given_up_before_it_started_never_starts(self) -> None:
        self.world.submit(Job('a', 'big', is_idempotent=False))
        platform = self.world.platform
        submit = platform.submit
        late = list[TaskSpec]()

        def fail(spec: TaskSpec) -> None:
            late.append(spec)
            raise PlatformUnavailableError('not reached')

        platform.submit = fail  # type: ignore[method-assign]
        self.run_for(2)
        platform.submit = submit  # type: ignore[method-assign]
        self.world.draining = {late[0].worker}
        self.run_for(4)
        submit(late[0])
        self.run_for(20)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))
        self.assertEqual(['a/2/0'], self.world.starts('a'))

    def test_lost_worker_idempotent_runs_again(self) -> None:
        self.world.submit(Job('a', 'big'), Program(run_s=20.0))
        self.run_for(6)
        worker = int(self.world.job('a').workers[0][1:])
        self.world.break_worker(worker)
        self.run_for(60)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))

    def test_lost_worker_non_idempotent_is_unknown(self) -> None:
        self.world.submit(
            Job('a', 'big', is_idempotent=False), Program(run_s=20.0)
        )
        self.run_for(6)
        self.world.break_worker(int(self.world.job('a').workers[0][1:]))
        self.run_for(20)
        self.assertIs(JobState.UNKNOWN, self.state('a'))
        self.assertEqual(1, len(self.world.starts('a')))

    def test_checkpoint_is_gone_on_from(self) -> None:
        self.world.submit(Job('a', 'big'), Program(run_s=20.0))
        self.run_for(12)
        task_id = self.world.job('a').task_ids[0]
        self.world.platform.checkpoint(task_id)
        self.world.platform.stop(task_id)
        self.run_for(16)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))

    def test_too_large_job_is_impossible_with_the_reason(self) -> None:
        self.world.submit(Job('a', 'big', cores=64.0))
        self.run_for(2)
        self.assertIs(JobState.IMPOSSIBLE, self.state('a'))
        self.assertIn('job_too_large', self.world.job('a').reason)

    def test_gang_larger_than_any_rack_is_impossible(self) -> None:
        self.world.submit(Job('a', 'big', accelerators=1, members=5))
        self.run_for(2)
        self.assertIs(JobState.IMPOSSIBLE, self.state('a'))

    def test_gang_stands_in_one_rack(self) -> None:
        self.world.submit(Job('b', 'small', accelerators=1))
        self.world.submit(Job('a', 'big', accelerators=1, members=4))
        self.run_for(4)
        racks = {int(w[1:]) // 2 for w in self.world.job('a').workers}
        self.assertEqual(1, len(racks))

    def test_job_that_fails_everywhere_is_said_impossible(self) -> None:
        self.world.submit(Job('a', 'big'), Program(is_failing=True))
        for number in range(6):
            self.world.submit(Job(f'good{number}', 'big'))
        self.run_for(60)
        self.assertIs(JobState.IMPOSSIBLE, self.state('a'))
        self.assertIn('fails_everywhere', self.world.job('a').reason)
        self.assertLessEqual(len(self.world.starts('a')), 4)
        self.assertEqual(set(), self.controller.report.suspects)

    def test_worker_that_fails_all_is_quarantined_not_its_jobs(self) -> None:
        machine = self.world.platform.machines[InstanceId('w0')]
        machine.is_failing_tasks = True
        for number in range(12):
            self.world.submit(Job(f'j{number}', 'big'))
        self.run_for(60)
        states = {job.state for job in self.world.jobs()}
        self.assertEqual({JobState.SUCCEEDED}, states)
        self.assertEqual({InstanceId('w0')}, self.controller.report.suspects)

    def test_team_limit_holds(self) -> None:
        for number in range(10):
            self.world.submit(Job(f'j{number}', 'small'), Program(run_s=15.0))
        self.run_for(5)
        rules = {held.rule for held in self.controller.report.held}
        self.assertIn(Rule.JOB_TEAM_LIMIT, rules)
        self.run_for(90)
        states = {job.state for job in self.world.jobs()}
        self.assertEqual({JobState.SUCCEEDED}, states)

    def test_cancel_waiting_running_and_ended(self) -> None:
        self.world.submit(Job('a', 'big'), Program(run_s=50.0))
        self.run_for(4)
        self.controller.cancel(JobId('a'))
        self.run_for(6)
        self.assertIs(JobState.CANCELLED, self.state('a'))
        with self.assertRaisesRegex(OperatorError, 'when cancelled'):
            self.controller.cancel(JobId('a'))

    def test_urgent_job_starts_in_time_on_a_full_fleet(self) -> None:
        for number in range(4):
            job = Job(f'j{number}', 'big', cores=7.0, accelerators=2)
            self.world.submit(job, Program(run_s=500.0))
        self.run_for(6)
        at = self.world.now
        self.world.submit(
            Job('u', 'small', cores=2.0, accelerators=1, is_urgent=True)
        )
        while not self.world.starts('u'):
            self.run_for(1)
            self.assertLessEqual(self.world.now - at, URGENT_START_S)

    def test_cancellations_are_bounded_in_each_step(self) -> None:
        self.world.fleet = [
            replace(worker, cores=64, memory_mb=640_000)
            for worker in self.world.fleet
        ]
        self.world.teams = {
            TeamId('big'): Team('big', share=1, limit=100),
        }
        for number in range(60):
            self.world.submit(Job(f'j{number}', 'big'), Program(run_s=500.0))
        self.run_for(4)
        for job in self.world.jobs():
            self.controller.cancel(job.job_id)
        running = self.world.running_tasks()
        self.assertGreater(running, 2 * MAX_CANCELS_PER_STEP)
        self.run_for(1)
        stopped = running - self.world.running_tasks()
        self.assertEqual(MAX_CANCELS_PER_STEP, stopped)

    def test_wave_of_cancellations_does_not_starve_others(self) -> None:
        for number in range(200):
            self.world.submit(Job(f'j{number:03}', 'big'))
        self.run_for(2)
        for job in self.world.jobs():
            if job.state not in (JobState.SUCCEEDED,):
                self.controller.cancel(job.job_id)
        at = self.world.now
        self.world.submit(Job('other', 'small', is_urgent=True))
        while not self.world.starts('other'):
            self.run_for(1)
            self.assertLessEqual(self.world.now - at, URGENT_START_S)

    def test_jobs_that_outgrow_a_worker_do_not_lose_it(self) -> None:
        for number in range(3):
            job = Job(f'j{number}', 'big', memory_mb=1000.0)
            self.world.submit(job, Program(60.0, 1.0, 9000.0))
        self.run_for(240)
        states = {job.state for job in self.world.jobs()}
        self.assertEqual({JobState.SUCCEEDED}, states)
        self.assertEqual(0, sum(job.losses for job in self.world.jobs()))
        self.assertLessEqual(max(j.attempt for j in self.world.jobs()), 4)

    def test_store_outage_keeps_running_tasks_alive(self) -> None:
        self.world.submit(Job('a', 'big'), Program(run_s=60.0))
        self.run_for(4)
        self.world.outage_ends = self.world.now + 50.0
        self.world.store.is_down = True
        self.run_for(70)
        self.assertIs(JobState.SUCCEEDED, self.state('a'))
        self.assertEqual(1, len(self.world.starts('a')))


class AdmissionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = JobWorld()

    def test_urgent_job_goes_first(self) -> None:
        jobs = [Job('a', 'big'), Job('z', 'big', is_urgent=True)]
        situation = Situation(
            0.0, jobs, self.world.given(), Estimator(), {}, set(), {}
        )
        starts = [job.id for job in admit(situation).starts]
        self.assertEqual(['z', 'a'], starts)

    def test_team_furthest_below_its_share_goes_first(self) -> None:
        jobs = [Job(f'{team}{n}', team) for team in TEAMS for n in range(4)]
        situation = Situation(
            0.0, jobs, self.world.given(), Estimator(), {}, set(), {}
        )
        starts = [job.team for job in admit(situation).starts[:4]]
        self.assertEqual(3, starts.count('big'))

    def test_gang_is_not_spread_over_racks(self) -> None:
        workers = [Worker(worker) for worker in self.world.fleet]
        workers[1].accelerators = workers[3].accelerators = 2
        gang = Job('g', 'big', accelerators=2, members=2)
        refusal = place(gang, workers, 100.0, set())
        assert isinstance(refusal, Explanation)
        self.assertIs(Rule.JOB_NO_RACK, refusal.rule)
        self.assertEqual([0, 2, 0, 2], [w.accelerators for w in workers])


class EvidenceTest(unittest.TestCase):
    def test_bad_worker_is_told_from_bad_job(self) -> None:
        evidence = Evidence()
        for number in range(4):
            evidence.add_failure(JobId(f'j{number}'), InstanceId('bad'))
        for number in range(3):
            evidence.add_failure(JobId('x'), InstanceId(f'w{number}'))
        self.assertEqual({'x'}, evidence.bad_jobs())
        self.assertEqual({'bad'}, evidence.suspects(10))

    def test_bad_job_does_not_speak_against_a_worker(self) -> None:
        evidence = Evidence()
        for number in range(3):
            evidence.add_failure(JobId('x'), InstanceId(f'w{number}'))
        for name in ('x', 'y', 'z'):
            evidence.add_failure(JobId(name), InstanceId('mixed'))
        self.assertEqual(set(), evidence.suspects(10))

    def test_quarantine_is_bounded(self) -> None:
        evidence = Evidence()
        for worker in range(8):
            for number in range(3):
                name = InstanceId(f'w{worker}')
                evidence.add_failure(JobId(f'j{worker}{number}'), name)
        self.assertEqual(2, quarantine_bound(10))
        self.assertEqual(2, len(evidence.suspects(10)))

    def test_same_pair_counts_once(self) -> None:
        evidence = Evidence()
        for _ in range(9):
            evidence.add_failure(JobId('j'), InstanceId('w'))
        self.assertEqual(set(), evidence.suspects(10))
        self.assertEqual(set(), evidence.bad_jobs())

    def test_chart_names_the_states_of_the_code(self) -> None:
        self.assertEqual(
            {state.value for state in JobState},
            {state.name for state in load_chart('job').file.states},
        )


class EstimateTest(unittest.TestCase):
    def test_estimate_follows_what_the_kind_uses(self) -> None:
        estimator = Estimator()
        job = Job('a', 'big', kind='k', memory_mb=1000.0)
        before = estimator.memory_mb(job)
        for _ in range(30):
            estimator.learn(job, 3000.0)
        after = estimator.memory_mb(job)
        self.assertGreater(before, 1000.0)
        self.assertGreater(after, 3000.0)
        self.assertLess(after, 4500.0)

    def test_relief_throttles_then_moves(self) -> None:
        worker = JobWorld(1).fleet[0]

        def reliefs(memory_mb: float) -> dict[str, Relief]:
            small = TaskUse('s', 1000.0, 0.0, 2.0, False, True)
            use = TaskUse('t', memory_mb - 1000.0, 100.0, 2.0, False, True)
            return dict(relieve(worker, [use, small], 5.0))

        self.assertEqual({}, reliefs(10_000.0))
        self.assertEqual({'t': Relief.THROTTLE}, reliefs(13_300.0))
        self.assertEqual({'t': Relief.MOVE}, reliefs(15_000.0))

    def test_task_alone_on_its_worker_is_not_moved(self) -> None:
        worker = JobWorld(1).fleet[0]
        use = TaskUse('t', 15_500.0, 100.0, 2.0, False, True)
        self.assertEqual(
            {'t': Relief.THROTTLE}, dict(relieve(worker, [use], 5.0))
        )


if __name__ == '__main__':
    unittest.main()
