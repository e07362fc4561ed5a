"""Events of learned runtimes and of copies of tasks (742 to 747)."""

from primroseledge.observability.event_info import info

RUNTIME_LEARNED_INFO = info(
    742,
    'tasks {kind} of workspace {workspace} with {cpu} thousandths of a '
    'processor take {ratio} times their estimate, one in ten {high} times or '
    'more, by the last {runs} runs',
    'Enough runs ended, or their times have changed; later estimates of such '
    'tasks are corrected by this ratio.',
    'For a ratio far from 1, tell the workspace.',
)

COPY_PLANNED_INFO = info(
    743,
    'task {task} gets a copy as run {run} on {worker}: its run {other_run} on '
    '{other_worker} has run for {seconds} s, due after {due} s; copy {copies} '
    'of at most {limit}',
    'The step allows copies, the task takes longer than nine in ten of its '
    'kind, and no step waits for the capacity.',
    'Nothing. For many of one worker, see whether it is slow.',
)
COPY_WON_INFO = info(
    744,
    'copy of {task}, run {run} on {worker}, ended first as {how}; run '
    '{other_run} on {other_worker} is stopped',
    'The copy completes the task.',
    'Nothing. For many of one worker, see whether it is slow.',
)
COPY_LOST_INFO = info(
    745,
    'run {run} of {task} on {worker} ended first as {how}; its copy, run '
    '{other_run} on {other_worker}, is stopped',
    'The first run completes the task; the copy was not needed.',
    'Nothing.',
)
COPY_CONTINUES_INFO = info(
    746,
    'task {task} goes on with its copy, run {run} on {worker}',
    'The first run failed, was lost or was stopped; the lines before tell '
    'how it ended.',
    'Nothing.',
)
COPY_ENDED_INFO = info(
    747,
    'copy of {task}, run {run} on {worker}, ended as {how}; the task goes on '
    'with run {other_run} on {other_worker}',
    'The copy failed or was stopped; a failure counts as an attempt.',
    'Nothing.',
)
