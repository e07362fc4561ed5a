"""The catalogue of numbered log events.

``docs/EVENTS.md`` is generated from it. A number is never given to
another event later, so that operators may search for it.
"""

from enum import Enum
from enum import unique

from primroseledge.observability.event_info import error
from primroseledge.observability.event_info import info
from primroseledge.observability.event_info import warning
from primroseledge.observability.thread_events import CALL_FAILED_INFO
from primroseledge.observability.thread_events import LINES_DROPPED_INFO
from primroseledge.observability.thread_events import SERVER_PROBLEM_INFO
from primroseledge.observability.thread_events import TRACE_DROPPED_INFO


@unique
class Event(Enum):
    """All events; 1xx process, 2xx store, 3xx peers, 4xx requests."""

    STARTED = info(
        101,
        'entry instance {entry} of zone {zone} serves on {address}',
        'The process has its sockets and begins to listen.',
        'Nothing.',
    )
    READY = info(
        102,
        'ready at revision {revision}',
        'The view is fresh; the balancer may send requests.',
        'Nothing.',
    )
    NOT_READY = warning(
        103,
        'not ready: {reason}',
        'The balancer is told to send requests elsewhere.',
        'Look for the events before it that give the cause.',
    )
    STOPPING = info(
        104,
        'stopping with {running} running and {queued} queued',
        'A graceful shutdown began.',
        'Nothing; wait for event 105.',
    )
    STOPPED = info(
        105,
        'stopped after {seconds} s with {left} left',
        'The shutdown ended; `left` requests were still running.',
        'When `left` is not 0, raise the grace period.',
    )
    SETTINGS_REFUSED = error(
        106,
        'settings refused: {problem}',
        'The process ends with code 2 before it opens a socket.',
        'Mend the named field; try `primroseledge config check`.',
    )
    LOOP_FAILED = error(
        107,
        'the loop failed: {problem}',
        'An unexpected error; on the platform only its ownership ends.',
        'Keep the log and report it; a process that ended is started again.',
    )
    SETTINGS_SEEN = info(
        108,
        'the settings file has changed',
        'The platform has written the settings anew.',
        'Nothing; a changed address is used after a restart.',
    )
    METRICS_NOT_SERVED = warning(
        109,
        'no metrics on {address}: {problem}',
        'The port is taken; everything else goes on.',
        'Choose another `metrics_address`.',
    )
    STORE_READ = info(
        201,
        'configuration read at revision {revision}: {documents} documents',
        'A full copy of the configuration was read.',
        'Nothing.',
    )
    STORE_UNAVAILABLE = warning(
        202,
        'store unavailable: {problem}',
        'A call of the store failed; work goes on while views are fresh.',
        'Look at the platform; change no documents until event 203.',
    )
    STORE_AVAILABLE = info(
        203,
        'store available again after {seconds} s',
        'A call of the store succeeded after failures.',
        'Nothing.',
    )
    DOCUMENT_REFUSED = error(
        204,
        'document {key} refused: {problem}',
        'A document in the store is invalid; the last good one stands.',
        'Apply a right one with `primroseledge service apply`.',
    )
    CONFIG_IN_FORCE = info(
        205,
        'revision {revision} in force, of {bytes} bytes',
        'This entry instance acts on a newer configuration.',
        'Nothing.',
    )
    STALE = warning(
        206,
        'view not fresh for {seconds} s; requests are refused as not run',
        'There is neither a recent read nor a majority of peers.',
        'Check the store, then the network between entry instances.',
    )
    FRESH = info(
        207,
        'view fresh again at revision {revision}',
        'Requests are accepted again.',
        'Nothing.',
    )
    LEASE_LOST = warning(
        208,
        'membership lease lost: {problem}',
        'The lease of this entry instance expired; it registers anew.',
        'Look for pauses of the process or an outage of the store.',
    )
    STORE_RETRIED = warning(
        209,
        'call of the store for {step} failed and is repeated: {problem}',
        'The store refused, or its answer was lost.',
        'Look at the platform if it goes on.',
    )
    INPUT_SKIPPED = warning(
        210,
        '{subject} skipped: {problem}',
        'Something that another program wrote cannot be read.',
        'Look at its writer; everything else is used.',
    )
    JOBS_RESTORED = info(
        211,
        'epoch {epoch} decides about {jobs} jobs, {active} of them active, '
        'after {seconds} s',
        'A new owner has read the jobs that its predecessor stored.',
        'Nothing.',
    )
    LIST_FAILED = warning(
        212,
        'list of instances not read: {problem}',
        'The platform did not answer; maintenance and moves wait.',
        'Look at the platform if it goes on.',
    )
    STORE_SLOW = warning(
        213,
        'the store took {seconds} s for a batch; {changed} more jobs wait',
        'Starts and final states wait for the store.',
        'Look at the platform; jobs may complete late until event 214.',
    )
    STORE_FAST_AGAIN = info(
        214,
        'the store took {seconds} s for a batch',
        'The store is as fast as usual again.',
        'Nothing.',
    )
    PEER_UP = info(
        301,
        'peer {peer} is alive',
        'Heartbeats of a peer arrive.',
        'Nothing.',
    )
    PEER_DOWN = warning(
        302,
        'peer {peer} silent for {seconds} s',
        'Heartbeats of a peer have stopped.',
        'Nothing if it was stopped; else look at its log.',
    )
    MESSAGE_REFUSED = warning(
        303,
        'message from {peer} refused: {problem}',
        'A message was malformed, too long or of another version.',
        'Check that all entry instances run versions that fit.',
    )
    OWNER_TAKEN = info(
        304,
        'owner of cell {cell} at epoch {epoch}',
        "This entry instance now dispatches the cell's requests.",
        'Nothing.',
    )
    OWNER_LOST = warning(
        305,
        'no longer owner of cell {cell}: {reason}',
        'Another owner takes over, or its lease or evidence expired.',
        'Nothing if it was stopped; else look for events 202 and 206.',
    )
    REPORTS_MISSING = warning(
        306,
        'cell {cell} epoch {epoch}: reports of {missing} missing',
        'A new owner waits for a majority of reports.',
        'Start the missing entry instances.',
    )
    MESSAGE_DROPPED = warning(
        307,
        'answer to {peer} dropped: {problem}',
        'The peer is gone or does not read; it will ask again.',
        'Nothing if the peer was stopped.',
    )
    PEER_LEFT = info(
        308,
        'peer {peer} is no longer listed',
        'The lease of a peer has ended, or it has left.',
        'Nothing if it was stopped; else look at its log.',
    )
    REQUEST_REFUSED = info(
        401,
        'request {request} refused: {reason}',
        'A caller was told that the request did not run or is unknown.',
        'Run `primroseledge explain REQUEST` for the reason.',
    )
    ATTEMPT_UNKNOWN = warning(
        402,
        'request {request} on {upstream}: outcome unknown: {problem}',
        'The connection broke after the request was sent.',
        'Look at the upstream when it happens often.',
    )
    ANSWER_DISCARDED = warning(
        403,
        'answer for request {request} from {upstream} discarded: {problem}',
        'An answer was cut short or belongs to another attempt.',
        'Look at the upstream.',
    )
    UPSTREAM_FAILING = warning(
        404,
        'upstream {upstream} gets no requests for {seconds} s',
        'It failed many attempts in a row.',
        'Drain it: `primroseledge pool drain INSTANCE`.',
    )
    UPSTREAM_BACK = info(
        405,
        'upstream {upstream} gets requests again',
        'A trial request succeeded.',
        'Nothing.',
    )
    KEY_REFUSED = warning(
        406,
        'key id {key_id} refused for service {service}',
        'A key is unknown, withdrawn, wrong or of another team.',
        'Check with `primroseledge key list TEAM`.',
    )
    OPERATOR_REFUSED = warning(
        407,
        'operator request for {path} refused',
        'An operator key was missing or wrong.',
        'Check `operator_keys` in the settings.',
    )
    INSTANCE_DRAINING = info(
        501,
        'instance {instance} is draining',
        'It gets no new requests; running ones finish.',
        'Nothing.',
    )
    INSTANCE_RETURNED = info(
        502,
        'instance {instance} takes requests',
        'It is back in its pool.',
        'Nothing.',
    )
    WAVE_CHANGED = info(
        503,
        'wave {wave} is {state}: {reason}',
        'A maintenance wave started, halted, resumed or ended.',
        'See `primroseledge wave status`.',
    )
    WAVE_HELD = warning(
        504,
        'wave {wave} waits: {reason}',
        'An availability budget leaves nothing to take away now.',
        'Wait, or mend the instances that failed.',
    )
    CONTROL_FAILED = error(
        505,
        'a step for {subject} failed: {problem}',
        'A plan or job record cannot be read, or there is a defect.',
        'Look at the record; report the problem if it is right.',
    )
    TRACE_DROPPED = TRACE_DROPPED_INFO
    LINES_DROPPED = LINES_DROPPED_INFO
    JOB_ACCEPTED = info(
        701,
        'job {job} of workspace {workspace} accepted for queue {queue}: '
        '{tasks} tasks, by configuration {revision}',
        'A job is being stored; its caller is answered when it is.',
        'Nothing.',
    )
    JOB_ENDED = info(
        702,
        'job {job} is {state} after {seconds} s',
        'A job has reached its final state.',
        'For a failed job, see the ends of its runs (704).',
    )
    RUN_ORDERED = info(
        703,
        'task {task} run {run} ordered on {worker} of boot {boot} '
        'with a lease until {deadline_ms}, {look_age} s after its last poll',
        'A stored start is being sent; the time is on the worker.',
        'Nothing.',
    )
    RUN_ENDED = info(
        704,
        'task {task} run {run} on {worker} ended: {how}',
        'A worker has listed the end of a run.',
        'For many failed runs on one worker, look at the worker.',
    )
    RUN_LOST = warning(
        705,
        'task {task} run {run} on {worker} of boot {boot} given up: {reason}; '
        '{phase}, sent {sends} times, last {sent_age} s, acknowledged '
        '{confirmed_age} s and listed {listed_age} s ago',
        'A run is over for certain and its end will not be listed.',
        'Look at the worker; the task starts again.',
    )
    JOB_REFUSED = info(
        706,
        'job {job} refused: {reason}',
        'A job was not accepted and never runs.',
        'Look at the store, or at the load of the service.',
    )
    WORKER_CHANGED = info(
        707,
        'worker {worker} of {service} at {address} is {state}, boot {boot}',
        'A worker came, changed its state, started again or left.',
        'Nothing.',
    )
    WORKER_SILENT = warning(
        708,
        'worker {worker} did not answer a poll: {result}',
        'No tasks are placed there until it answers.',
        'Look at the worker and the network.',
    )
    START_FAILED = warning(
        709,
        'task {task} run {run} not started on {worker}: {result}',
        'A start was refused or its answer is missing.',
        'For many on one worker, look at the worker.',
    )
    INSTANCE_CALLED = info(
        710,
        '{what} of instance {instance}: {result}',
        'The platform was told to move or to maintain an instance.',
        'Nothing.',
    )
    ADVICE_FAILED = warning(
        711,
        'no advice: {problem}',
        'The advisory service did not answer; the step waits.',
        'Look at the advisory service.',
    )
    RUN_STALLED = warning(
        712,
        'task {task} run {run} on {worker} makes no progress at {percent} %',
        'The task is stopped and starts on another worker.',
        'For many on one worker, look at the worker.',
    )
    CALL_UNSERVED = warning(
        713,
        '{kind} of {job} ends as {verdict} after {seconds} s: sent {sends} '
        'times, {declines} of them declined, owner of epoch {epoch}',
        'No owner answered in time; unknown means that it may have been done.',
        'Look for events 304 and 305 of that time, and for the store (202).',
    )
    JOB_STARTED = info(
        714,
        'job {job} begins after {seconds} s',
        'The first start of a job is being sent.',
        'For a long wait, look at the size of the pool and its workers (707).',
    )
    CALL_REFUSED = info(
        715,
        '{method} {path} refused with {status}: {reason}',
        'A request was refused before any owner was asked; nothing ran.',
        'Look at the configuration in force (205), or at what was sent.',
    )
    WORKER_ANSWERS = info(
        716,
        'worker {worker} answers polls again after {failures} failures',
        'Tasks are placed there again.',
        'Nothing.',
    )
    PACE_SET = info(
        717,
        'task {task} on {worker} is throttled to {percent} %, since {strain} '
        'of the objective beside it is in use',
        'A best-effort task is slowed down beside one that serves, or freed.',
        'Nothing; see the service that shares the worker.',
    )
    STOP_ORDERED = info(
        718,
        'stop of task {task} run {run} ordered on {worker} of boot {boot}: '
        '{reason}',
        'A run is to end; its end is listed later.',
        'For a run that nobody expects there, see its start (703) and why it '
        'was given up (705).',
    )
    JOBS_WAIT = warning(
        719,
        '{jobs} jobs of service {service} have nothing running, {job} for '
        '{seconds} s; of {workers} workers may not start tasks: {obstacles}; '
        'most free capacity of one: {free_cpu} thousandths of a core',
        'Steps wait though their turn has come.',
        'If workers are free, see what holds them: polls (708), lists (707), '
        'moves and maintenance (710); else look at the size of the pool.',
    )
    CALL_FAILED = CALL_FAILED_INFO
    SERVER_PROBLEM = SERVER_PROBLEM_INFO
