"""The spans of one request, in the order of its hops.

A server thread owns it, so that no span is begun or ended on the loop.
"""

from collections.abc import Callable

from primroseledge.ids import InstanceId
from primroseledge.ids import ServiceId
from primroseledge.observability.trace import Hop
from primroseledge.observability.trace import HopSpan
from primroseledge.observability.trace import Tracing

WallClock = Callable[[], float]


class RequestTrace:
    """Begins and ends each hop's span as the request goes on.

    ``clock`` gives wall-clock seconds.
    """

    def __init__(
        self,
        tracing: Tracing,
        traceparent: str,
        service: ServiceId,
        clock: WallClock,
    ) -> None:
        self.tracing = tracing
        self.clock = clock
        self.edge = tracing.begin(
            Hop.CALLER_EDGE, traceparent, service=service
        )
        self.hop: HopSpan | None = None
        self.hop_began_at = 0.0
        self.call: HopSpan | None = None

    def begin_ask(self) -> None:
        """Begin the hop to the owner and back, before each attempt."""
        self.end_ask()
        self.hop_began_at = self.clock()
        self.hop = self.tracing.begin(Hop.ENTRY_HOP, self.edge.traceparent)

    def end_ask(self, queued_s: float | None = None) -> None:
        """End the hop; ``queued_s`` is how long the owner queued it.

        The owner's clock is another one, so the wait is put in the
        middle of the hop.
        """
        if self.hop is None:
            return
        if queued_s is not None:
            now = self.clock()
            links_s = max(0.0, now - self.hop_began_at - queued_s)
            began_at = self.hop_began_at + links_s / 2
            self.tracing.begin(
                Hop.QUEUE_WAIT, self.hop.traceparent, at=began_at
            ).end(at=min(now, began_at + queued_s))
        self.hop.end()
        self.hop = None

    def begin_call(self, upstream: InstanceId) -> str:
        """Begin an attempt; return the ``traceparent`` to send with it.

        It is empty when there is none to pass on.
        """
        self.end_ask()
        self.call = self.tracing.begin(
            Hop.UPSTREAM_CALL, self.edge.traceparent, upstream=upstream
        )
        return self.call.traceparent

    def end_call(self, problem: str = '') -> None:
        """End an attempt; ``problem`` says how it failed."""
        if self.call is not None:
            self.call.end(problem)
            self.call = None

    def end(self, outcome: str, problem: str = '') -> None:
        """End the request; hops that are still open end with it."""
        self.end_ask()
        self.end_call()
        self.edge.set(outcome=outcome)
        self.edge.end(problem)
