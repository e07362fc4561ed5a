"""Events of the job path: jobs, runs, workers and instances (7xx)."""

from primroseledge.observability.event_info import info
from primroseledge.observability.event_info import warning

JOB_ACCEPTED_INFO = info(
    701,
    'job {job} of workspace {workspace} accepted for queue {queue}: '
    '{tasks} tasks, by configuration {revision}',
    'A job is being stored; its caller is answered when it is.',
    'Nothing.',
)

JOB_ENDED_INFO = info(
    702,
    'job {job} is {state} after {seconds} s',
    'A job has reached its final state.',
    'For a failed job, see the ends of its runs (704).',
)

RUN_ORDERED_INFO = info(
    703,
    'task {task} run {run} ordered on {worker} of boot {boot} '
    'with a lease until {deadline_ms}, {look_age} s after its last poll',
    'A stored start is being sent; the time is on the worker.',
    'Nothing.',
)

RUN_ENDED_INFO = info(
    704,
    'task {task} run {run} on {worker} ended: {how}',
    'A worker has listed the end of a run.',
    'For many failed runs on one worker, look at the worker.',
)

RUN_LOST_INFO = warning(
    705,
    'task {task} run {run} on {worker} of boot {boot} given up: {reason}; '
    '{phase}, sent {sends} times, last {sent_age} s, acknowledged '
    '{confirmed_age} s and listed {listed_age} s ago',
    'A run is over for certain and its end will not be listed.',
    'Look at the worker; the task starts again.',
)

JOB_REFUSED_INFO = info(
    706,
    'job {job} refused: {reason}',
    'A job was not accepted and never runs.',
    'Look at the store, or at the load of the service.',
)

WORKER_CHANGED_INFO = info(
    707,
    'worker {worker} of {service} at {address} is {state}, boot {boot}',
    'A worker came, changed its state, started again or left.',
    'Nothing.',
)

WORKER_SILENT_INFO = warning(
    708,
    'worker {worker} did not answer a poll: {result}',
    'No tasks are placed there until it answers.',
    'Look at the worker and the network.',
)

START_FAILED_INFO = warning(
    709,
    'task {task} run {run} not started on {worker}: {result}',
    'A start was refused or its answer is missing.',
    'For many on one worker, look at the worker.',
)

INSTANCE_CALLED_INFO = info(
    710,
    '{what} of instance {instance}: {result}',
    'The platform was told to move or to maintain an instance.',
    'Nothing.',
)

ADVICE_FAILED_INFO = warning(
    711,
    'no advice: {problem}',
    'The advisory service did not answer; the step waits.',
    'Look at the advisory service.',
)

RUN_STALLED_INFO = warning(
    712,
    'task {task} run {run} on {worker} makes no progress at {percent} %',
    'The task is stopped and starts on another worker.',
    'For many on one worker, look at the worker.',
)

CALL_UNSERVED_INFO = warning(
    713,
    '{kind} of {job} ends as {verdict} after {seconds} s: sent {sends} '
    'times, {declines} of them declined, owner of epoch {epoch}',
    'No owner answered in time; unknown means that it may have been done.',
    'Look for events 304 and 305 of that time, and for the store (202).',
)

JOB_STARTED_INFO = info(
    714,
    'job {job} begins after {seconds} s',
    'A worker has begun a task of the job, the first one.',
    'For a long wait, look at the size of the pool and its workers (707).',
)

CALL_REFUSED_INFO = info(
    715,
    '{method} {path} refused with {status}: {reason}',
    'A request was refused before any owner was asked; nothing ran.',
    'Look at the configuration in force (205), or at what was sent.',
)

WORKER_ANSWERS_INFO = info(
    716,
    'worker {worker} answers polls again after {failures} failures',
    'Tasks are placed there again.',
    'Nothing.',
)

PACE_SET_INFO = info(
    717,
    'task {task} on {worker} is throttled to {percent} %, since {strain} '
    'of the objective beside it is in use',
    'A best-effort task is slowed down beside one that serves, or freed.',
    'Nothing; see the service that shares the worker.',
)

STOP_ORDERED_INFO = info(
    718,
    'stop of task {task} run {run} ordered on {worker} of boot {boot}: '
    '{reason}',
    'A run is to end; its end is listed later.',
    'For a run that nobody expects there, see its start (703) and why it '
    'was given up (705).',
)

JOBS_WAIT_INFO = warning(
    719,
    '{jobs} jobs of service {service} have nothing running, {job} for '
    '{seconds} s; of {workers} workers may not start tasks: {obstacles}; '
    'most free capacity of one: {free_cpu} thousandths of a core; '
    'its workspace: {share}',
    'Steps wait though their turn has come.',
    'If workers are free, see what holds them: polls (708), lists (707), '
    'moves and maintenance (710); else look at the size of the pool, and at '
    'the shares of workspaces (727).',
)
