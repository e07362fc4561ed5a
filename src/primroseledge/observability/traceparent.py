"""Read the ``traceparent`` header of the W3C."""

from typing import Final

from opentelemetry.context import Context
from opentelemetry.trace.propagation import tracecontext

TRACEPARENT: Final = 'traceparent'
PROPAGATOR: Final = tracecontext.TraceContextTextMapPropagator()


def read_traceparent(header: str) -> Context:
    """Return the parent that a header names; empty if it is malformed."""
    return PROPAGATOR.extract({TRACEPARENT: header}, Context())
