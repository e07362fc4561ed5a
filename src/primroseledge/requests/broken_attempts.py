"""Requests whose attempts were broken off by the upstreams that ran them.

A request may crash each upstream that it is sent to. Such an upstream breaks
its connection off, as does one that crashes for another reason, so several
upstreams must have done so before the request is given up.
"""

import collections
from dataclasses import dataclass
from dataclasses import field
from typing import Final

from primroseledge.ids import GrantId
from primroseledge.ids import RequestId

MAX_BROKEN_ATTEMPTS: Final = 3
"""Attempts of a request that were broken off, after which none follows."""

MAX_REQUESTS: Final = 5_000
"""Bounds the memory; the oldest request is forgotten first."""

MEMORY_S: Final = 600.0
"""Time in s after its last broken attempt at which one is forgotten.

An id may be used again later for the same request.
"""


@dataclass(slots=True)
class BrokenAttempts:
    """The broken attempts of the requests of a cell, by grant.

    An attempt may be reported more than once. ``last_at`` is when the newest
    one of a request was added, in s.
    """

    by_request: collections.OrderedDict[RequestId, set[GrantId]] = field(
        default_factory=collections.OrderedDict
    )
    last_at: dict[RequestId, float] = field(default_factory=dict)

    def add(self, request: RequestId, grant: GrantId, now: float) -> None:
        """Record an attempt that was broken off."""
        grants = self.by_request.setdefault(request, set())
        if grant not in grants:
            grants.add(grant)
            self.last_at[request] = now
            self.by_request.move_to_end(request)
        if len(self.by_request) > MAX_REQUESTS:
            self.forget(next(iter(self.by_request)))

    def forget(self, request: RequestId) -> None:
        """Forget a request, as an upstream has answered it."""
        self.by_request.pop(request, None)
        self.last_at.pop(request, None)

    def expire(self, now: float) -> None:
        """Forget the requests of which none was broken off lately."""
        while self.by_request:
            oldest = next(iter(self.by_request))
            if now < self.last_at[oldest] + MEMORY_S:
                return
            self.forget(oldest)

    def is_given_up(self, request: RequestId) -> bool:
        """Return whether a request is not to be tried any more."""
        grants = self.by_request.get(request, ())
        return len(grants) >= MAX_BROKEN_ATTEMPTS
