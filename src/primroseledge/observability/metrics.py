"""Counters, gauges and histograms of one entry instance."""

from collections.abc import Mapping
from enum import Enum
from typing import Final

from primroseledge.ids import PoolId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.observability.metrics_page import MetricsPage
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason

WAIT_BUCKETS_S: Final = (
    *(0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25),
    *(0.5, 1.0, 2.5, 5.0, 10.0, 30.0),
)
CALL_BUCKETS_S: Final = (0.001, 0.0025, 0.005, 0.01, 0.05, 0.25, 1.0, 5.0)
WAVE_BUCKETS_S: Final = (
    *(60.0, 300.0, 900.0, 3_600.0, 14_400.0, 43_200.0),
    *(86_400.0, 604_800.0, 2_419_200.0),
)


class Direction(Enum):
    """Which way bytes went between entry instances."""

    SENT = 'sent'
    RECEIVED = 'received'


class Metrics(MetricsPage):
    """Everything that one entry instance counts."""

    def __init__(self) -> None:
        super().__init__()
        self.requests = self.counter(
            'requests_total', 'Requests ended, by service and outcome.'
        )
        self.refusals = self.counter(
            'refusals_total', 'Requests refused, by reason.'
        )
        self.rejected = self.gauge(
            'inputs_rejected', 'Inputs refused unread, by cause.'
        )
        self.queue_wait = self.histogram(
            'queue_wait_seconds', 'Time in a queue.', WAIT_BUCKETS_S
        )
        self.store_calls = self.histogram(
            'store_call_seconds', 'Calls of the store.', CALL_BUCKETS_S
        )
        self.peer_bytes = self.counter(
            'peer_bytes_total', 'Bytes between entry instances.'
        )
        self.spans_dropped = self.gauge(
            'spans_dropped', 'Spans dropped since the start.'
        )
        self.open_calls = self.gauge('open_calls', 'Requests in hand.')
        self.revision = self.gauge('revision', 'Revision in force.')
        self.fresh = self.gauge('fresh', 'Whether the view is fresh.')
        self.buffer_cost = self.gauge(
            'buffer_instances', 'Idle spare instances, by pool.'
        )
        self.rollout = self.histogram(
            'rollout_seconds',
            'Time from start to end of a wave.',
            WAVE_BUCKETS_S,
        )
        self.moves = self.counter(
            'moves_total', 'Instances moved, by the pool that got them.'
        )
        self.share_distance = self.gauge(
            'share_distance',
            "How far a team's part of the slots is from its share, 0 to 1.",
        )

    def request_ended(self, service: ServiceId, outcome: Outcome) -> None:
        """Count a request that got its final answer."""
        with self.lock:
            self.requests.inc({'service': service, 'outcome': outcome.value})

    def request_refused(self, reason: Reason) -> None:
        """Count a refusal."""
        with self.lock:
            self.refusals.inc({'reason': reason.value})

    def input_rejected(self, totals: Mapping[str, int]) -> None:
        """Record how many inputs were refused unread, by cause."""
        with self.lock:
            for cause, total in list(totals.items()):
                self.rejected.set({'cause': cause}, total)

    def queue_left(self, service: ServiceId, wait_s: float) -> None:
        """Record how long a request was queued."""
        with self.lock:
            self.queue_wait.observe({'service': service}, wait_s)

    def store_called(
        self, operation: str, has_succeeded: bool, took_s: float
    ) -> None:
        """Record a call of the store; ``operation`` is read, write, ..."""
        result = 'ok' if has_succeeded else 'failed'
        labels = {'operation': operation, 'result': result}
        with self.lock:
            self.store_calls.observe(labels, took_s)

    def peer_transferred(self, direction: Direction, count: int) -> None:
        """Count bytes to or from other entry instances."""
        with self.lock:
            self.peer_bytes.add({'direction': direction.value}, count)

    def view_changed(
        self, revision: int, is_fresh: bool, open_calls: int
    ) -> None:
        """Record the state of the view, on each tick."""
        with self.lock:
            self.revision.set({}, revision)
            self.fresh.set({}, int(is_fresh))
            self.open_calls.set({}, open_calls)

    def spans_lost(self, total: int) -> None:
        """Record how many spans were dropped since the start."""
        with self.lock:
            self.spans_dropped.set({}, total)

    def buffer_held(self, pool: PoolId, instances: int) -> None:
        """Record how many instances of a pool are idle spares."""
        with self.lock:
            self.buffer_cost.set({'pool': pool}, instances)

    def wave_ended(self, pool: PoolId, took_s: float) -> None:
        """Record how long a wave of a pool took."""
        with self.lock:
            self.rollout.observe({'pool': pool}, took_s)

    def instance_moved(self, to_pool: PoolId) -> None:
        """Count a move of an instance."""
        with self.lock:
            self.moves.inc({'pool': to_pool})

    def shares_measured(self, distances: Mapping[TeamId, float]) -> None:
        """Record how far each team is from its share, 0 to 1."""
        with self.lock:
            for team, distance in distances.items():
                self.share_distance.set({'team': team}, distance)


def create_metrics() -> Metrics:
    """Return metrics with all counters at zero."""
    return Metrics()
