"""Tests of the bound on a job's tasks.

Guards against a job that fills the owner's memory, or whose progress no value
of the store can hold: each next owner would fail by the same job.
"""

import unittest

from msgspec import msgpack

from primroseledge.errors import DocumentError
from primroseledge.ids import Boot
from primroseledge.ids import JobId
from primroseledge.ids import WorkerId
from primroseledge.jobs.progress import JobState
from primroseledge.jobs.progress import ProgressRecord
from primroseledge.jobs.progress import TaskRecord
from primroseledge.jobs.spec import find_spec_problem
from primroseledge.jobs.spec import JobSpec
from primroseledge.jobs.spec import MAX_TASKS_PER_JOB
from primroseledge.jobs.spec import StepSpec
from primroseledge.platform.decoding import decode_job

STORE_VALUE_BYTES = 1 << 20


class JobSizeTest(unittest.TestCase):
    def test_a_job_with_too_many_tasks_is_rejected(self) -> None:
        spec = JobSpec(
            payload='', steps=(StepSpec(count=MAX_TASKS_PER_JOB + 1),)
        )
        self.assertIn('tasks', find_spec_problem(spec))
        with self.assertRaises(DocumentError):
            decode_job(b'{"task_spec": "", "steps": [{"count": 9000000000}]}')

    def test_tasks_of_all_occurrences_count(self) -> None:
        steps = (StepSpec(count=MAX_TASKS_PER_JOB // 2),)
        twice = JobSpec(payload='', steps=steps, repetitions=2)
        thrice = JobSpec(payload='', steps=steps, repetitions=3)
        self.assertEqual('', find_spec_problem(twice))
        self.assertIn('tasks', find_spec_problem(thrice))

    def test_the_store_holds_the_progress_of_the_largest_job(self) -> None:
        tasks = tuple(
            TaskRecord(
                999,
                99,
                number,
                999,
                False,
                True,
                WorkerId('w' * 20),
                Boot(1 << 41),
                99,
                'c' * 16,
            )
            for number in range(MAX_TASKS_PER_JOB)
        )
        record = ProgressRecord(JobId('0' * 16), JobState.RUNNING, tasks)
        self.assertLess(len(msgpack.encode(record)), STORE_VALUE_BYTES)


if __name__ == '__main__':
    unittest.main()
