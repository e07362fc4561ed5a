"""The catalogue of numbered log events.

``docs/EVENTS.md`` is generated from it. A number is never given to
another event later, so that operators may search for it.
"""

from enum import Enum
from enum import unique

from primroseledge.observability.copy_events import COPY_CONTINUES_INFO
from primroseledge.observability.copy_events import COPY_ENDED_INFO
from primroseledge.observability.copy_events import COPY_LOST_INFO
from primroseledge.observability.copy_events import COPY_PLANNED_INFO
from primroseledge.observability.copy_events import COPY_WON_INFO
from primroseledge.observability.copy_events import RUNTIME_LEARNED_INFO
from primroseledge.observability.crash_events import TASK_CLEARED_INFO
from primroseledge.observability.crash_events import TASK_GIVEN_UP_INFO
from primroseledge.observability.crash_events import TASK_ISOLATED_INFO
from primroseledge.observability.crash_events import TASK_SUSPECTED_INFO
from primroseledge.observability.crash_events import WORKER_ENDED_INFO
from primroseledge.observability.event_info import error
from primroseledge.observability.event_info import info
from primroseledge.observability.event_info import warning
from primroseledge.observability.job_events import ADVICE_FAILED_INFO
from primroseledge.observability.job_events import CALL_REFUSED_INFO
from primroseledge.observability.job_events import CALL_UNSERVED_INFO
from primroseledge.observability.job_events import INSTANCE_CALLED_INFO
from primroseledge.observability.job_events import JOB_ACCEPTED_INFO
from primroseledge.observability.job_events import JOB_ENDED_INFO
from primroseledge.observability.job_events import JOB_REFUSED_INFO
from primroseledge.observability.job_events import JOB_STARTED_INFO
from primroseledge.observability.job_events import JOBS_WAIT_INFO
from primroseledge.observability.job_events import PACE_SET_INFO
from primroseledge.observability.job_events import RUN_ENDED_INFO
from primroseledge.observability.job_events import RUN_LOST_INFO
from primroseledge.observability.job_events import RUN_ORDERED_INFO
from primroseledge.observability.job_events import RUN_STALLED_INFO
from primroseledge.observability.job_events import START_FAILED_INFO
from primroseledge.observability.job_events import STOP_ORDERED_INFO
from primroseledge.observability.job_events import WORKER_ANSWERS_INFO
from primroseledge.observability.job_events import WORKER_CHANGED_INFO
from primroseledge.observability.job_events import WORKER_SILENT_INFO
from primroseledge.observability.share_events import SHARES_APPLIED_INFO
from primroseledge.observability.thread_events import CALL_FAILED_INFO
from primroseledge.observability.thread_events import LINES_DROPPED_INFO
from primroseledge.observability.thread_events import SERVER_PROBLEM_INFO
from primroseledge.observability.thread_events import TRACE_DROPPED_INFO
from primroseledge.observability.zone_events import ALL_ZONES_EVACUATED_INFO
from primroseledge.observability.zone_events import ZONE_EMPTY_INFO
from primroseledge.observability.zone_events import ZONE_EVACUATED_INFO
from primroseledge.observability.zone_events import ZONE_RETURNED_INFO
from primroseledge.observability.zone_events import ZONE_UNKNOWN_INFO


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
    JOB_ACCEPTED = JOB_ACCEPTED_INFO
    JOB_ENDED = JOB_ENDED_INFO
    RUN_ORDERED = RUN_ORDERED_INFO
    RUN_ENDED = RUN_ENDED_INFO
    RUN_LOST = RUN_LOST_INFO
    JOB_REFUSED = JOB_REFUSED_INFO
    WORKER_CHANGED = WORKER_CHANGED_INFO
    WORKER_SILENT = WORKER_SILENT_INFO
    START_FAILED = START_FAILED_INFO
    INSTANCE_CALLED = INSTANCE_CALLED_INFO
    ADVICE_FAILED = ADVICE_FAILED_INFO
    RUN_STALLED = RUN_STALLED_INFO
    CALL_UNSERVED = CALL_UNSERVED_INFO
    JOB_STARTED = JOB_STARTED_INFO
    CALL_REFUSED = CALL_REFUSED_INFO
    WORKER_ANSWERS = WORKER_ANSWERS_INFO
    PACE_SET = PACE_SET_INFO
    STOP_ORDERED = STOP_ORDERED_INFO
    JOBS_WAIT = JOBS_WAIT_INFO
    CALL_FAILED = CALL_FAILED_INFO
    SERVER_PROBLEM = SERVER_PROBLEM_INFO
    ZONE_EVACUATED = ZONE_EVACUATED_INFO
    ZONE_RETURNED = ZONE_RETURNED_INFO
    ZONE_EMPTY = ZONE_EMPTY_INFO
    ALL_ZONES_EVACUATED = ALL_ZONES_EVACUATED_INFO
    ZONE_UNKNOWN = ZONE_UNKNOWN_INFO
    SHARES_APPLIED = SHARES_APPLIED_INFO
    RUNTIME_LEARNED = RUNTIME_LEARNED_INFO
    COPY_PLANNED = COPY_PLANNED_INFO
    COPY_WON = COPY_WON_INFO
    COPY_LOST = COPY_LOST_INFO
    COPY_CONTINUES = COPY_CONTINUES_INFO
    COPY_ENDED = COPY_ENDED_INFO
    WORKER_ENDED = WORKER_ENDED_INFO
    TASK_SUSPECTED = TASK_SUSPECTED_INFO
    TASK_ISOLATED = TASK_ISOLATED_INFO
    TASK_GIVEN_UP = TASK_GIVEN_UP_INFO
    TASK_CLEARED = TASK_CLEARED_INFO
