"""Timeout of calls to the store, by how long its answers usually take.

It answers the load on a store that carries writes out and loses their
answers. Waiting for such an answer delays all that depends on the write, so
the wait follows from the answers that did come, as the retransmission timeout
of TCP does (RFC 6298): smoothed time plus four times its variation, at least
twice the smoothed time, and longer after each call without an answer.
"""

from threading import Lock
from typing import Final

INITIAL_TIMEOUT_S: Final = 0.3
"""Timeout in s before the first answer is known."""

MIN_TIMEOUT_S: Final = 0.1
"""Least timeout in s.

Operating systems hand out limited processor time in slices of this length,
so a process may notice an answer that much later.
"""

MAX_TIMEOUT_S: Final = 1.0
"""Longest timeout in s.

A store that is slow answers in 0.3 s, a fast one in 4 ms.
"""

TIME_WEIGHT: Final = 1 / 8
VARIATION_WEIGHT: Final = 1 / 4
VARIATION_FACTOR: Final = 4
"""Constants of RFC 6298."""

BACKOFF_FACTOR: Final = 1.5
"""Growth of the timeout after each call without an answer.

It is less than TCP's, so that several tries fit into the life of a lease.
"""

MAX_BACKOFFS: Final = 10
"""Number of calls without an answer after which the timeout is longest."""

UPLOAD_BYTES_PER_S: Final = 500_000
"""Speed of the slowest link to the store; a body takes this much longer."""


class AdaptiveTimeout:
    """The timeout of an instance's calls to the store, in seconds.

    Several threads may use it. ``smoothed_s`` and ``variation_s`` are the
    smoothed time that answers take and its mean deviation; ``smoothed_s`` is
    None until the first answer. ``unanswered_count`` counts the calls without
    an answer since the last one that had one.
    """

    def __init__(self) -> None:
        self.lock = Lock()
        self.smoothed_s: float | None = None
        self.variation_s = 0.0
        self.unanswered_count = 0

    def record_answer(self, took_s: float) -> None:
        """Record a call that was answered after ``took_s`` seconds.

        An answer that took longer than the usual timeout shows that the store
        has become slow, and the estimate begins anew.
        """
        took_s = min(took_s, MAX_TIMEOUT_S)
        with self.lock:
            self.unanswered_count = 0
            smoothed_s = self.smoothed_s
            if smoothed_s is None or took_s > self.usual_timeout_s():
                self.smoothed_s = took_s
                self.variation_s = took_s / 2
                return
            difference_s = abs(smoothed_s - took_s)
            self.variation_s += VARIATION_WEIGHT * (
                difference_s - self.variation_s
            )
            self.smoothed_s = smoothed_s + TIME_WEIGHT * (took_s - smoothed_s)

    def record_unanswered(self) -> None:
        """Record a call that had no answer in time."""
        with self.lock:
            self.unanswered_count += 1

    def timeout_s(self, body_bytes: int = 0) -> float:
        """Return how long to wait for an answer, in seconds.

        ``body_bytes`` is the size of the call's body.
        """
        with self.lock:
            upload_s = body_bytes / UPLOAD_BYTES_PER_S
            backoffs = min(self.unanswered_count, MAX_BACKOFFS)
            timeout_s = self.usual_timeout_s() + upload_s
            return min(timeout_s * BACKOFF_FACTOR**backoffs, MAX_TIMEOUT_S)

    def usual_timeout_s(self) -> float:
        """Return the timeout of a small call after an answered one."""
        if self.smoothed_s is None:
            return INITIAL_TIMEOUT_S
        margin_s = max(self.smoothed_s, VARIATION_FACTOR * self.variation_s)
        return max(MIN_TIMEOUT_S, self.smoothed_s + margin_s)
