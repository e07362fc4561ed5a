"""Descriptions of the events of a process's own threads and output.

The catalogue of all events is ``events``, which names each of these.
"""

from typing import Final

from primroseledge.observability.event_info import error
from primroseledge.observability.event_info import EventInfo
from primroseledge.observability.event_info import warning

TRACE_DROPPED_INFO: Final[EventInfo] = warning(
    601,
    '{dropped} spans dropped',
    'Spans came faster than they could be exported.',
    'Lower `trace.sample` or look at the endpoint.',
)
LINES_DROPPED_INFO: Final[EventInfo] = warning(
    602,
    '{dropped} lines of event {number} dropped in {seconds} s',
    'Lines came faster than the budget allows or than they were read.',
    'Read the metrics for the counts; look for what repeats.',
)
CALL_FAILED_INFO: Final[EventInfo] = error(
    720,
    'a call of thread {thread} failed: {problem}',
    'There is a defect; the outcome of the call counts as unknown.',
    'Report the problem with the lines around it.',
)
SERVER_PROBLEM_INFO: Final[EventInfo] = warning(
    721,
    'an HTTP server of this instance reports: {problem}',
    'A caller may have got no answer, or an error that is not documented.',
    'For many resets, look at the balancer; report a defect with its lines.',
)
