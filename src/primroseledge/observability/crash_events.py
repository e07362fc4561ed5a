"""Events of workers that end with runs on them, and what follows (750 on)."""

from primroseledge.observability.event_info import info
from primroseledge.observability.event_info import warning

WORKER_ENDED_INFO = warning(
    750,
    'worker {worker} of boot {boot} ended with {runs} runs on it: {cause}; '
    'silent for {silent_age} s, connections closed: {closed}; {state} by a '
    'list that is {list_age} s old',
    'The runs of a worker are over, and their ends will not be listed.',
    'For a crash, look at the worker, and for tasks that were on several '
    'crashed workers.',
)

TASK_SUSPECTED_INFO = warning(
    751,
    'task {task} run {run} had been on {worker} for {ran_ms} ms at most when '
    'that crashed, beside {others} of other jobs; crash {crashes} under it',
    'The task may be the cause. From the second crash on it runs alone.',
    'Nothing at first. See event 753 for tasks that were the cause.',
)
TASK_ISOLATED_INFO = info(
    752,
    'task {task} run {run} is to run alone on {worker}, as {crashes} workers '
    'crashed under it',
    'No other task starts on the worker meanwhile, so the next crash shows '
    'whether the task is the cause.',
    'Nothing.',
)
TASK_GIVEN_UP_INFO = warning(
    753,
    'task {task} given up, as it crashed its workers: {workers}',
    'The task, or another of its job, crashed the workers that started it; '
    'its job fails.',
    'Tell the workspace. The story of the task has all its runs.',
)
TASK_CLEARED_INFO = info(
    754,
    'task {task} run {run} did not crash {worker}: {crashes} crashes are no '
    'longer held against it',
    'The worker outlasted the start of the task, or listed its end.',
    'Nothing.',
)
