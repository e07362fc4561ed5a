"""The metrics page shows what was recorded."""

from typing import Any
import unittest

from primroseledge.ids import PoolId
from primroseledge.ids import ServiceId
from primroseledge.ids import TeamId
from primroseledge.observability.metrics import create_metrics
from primroseledge.observability.metrics import Direction
from primroseledge.requests.outcomes import Outcome
from primroseledge.requests.outcomes import Reason

COPPER = ServiceId('copper')


class MetricsTest(unittest.TestCase):
    def test_page_shows_each_measure(self) -> None:
        metrics = create_metrics()
        metrics.request_ended(COPPER, Outcome.RAN)
        metrics.request_ended(COPPER, Outcome.RAN)
        metrics.request_refused(Reason.QUEUE_FULL)
        metrics.queue_left(COPPER, 0.02)
        metrics.store_called('read', True, 0.003)
        metrics.peer_transferred(Direction.SENT, 120)
        metrics.peer_transferred(Direction.SENT, 30)
        metrics.view_changed(7, True, 2)
        metrics.spans_lost(4)
        metrics.buffer_held(PoolId('spare'), 3)
        metrics.wave_ended(PoolId('copper'), 250.0)
        metrics.instance_moved(PoolId('copper'))
        metrics.shares_measured({TeamId('sales'): 0.25})
        page = metrics.page().decode()
        for line in (
            'requests_total{outcome="ran",service="copper"} 2',
            'refusals_total{reason="queue_full"} 1',
            'queue_wait_seconds_bucket{le="0.01",service="copper"} 0.0',
            'queue_wait_seconds_bucket{le="0.025",service="copper"} 1.0',
            'store_call_seconds_count{operation="read",result="ok"} 1.0',
            'peer_bytes_total{direction="sent"} 150',
            'revision 7',
            'fresh 1',
            'open_calls 2',
            'spans_dropped 4',
            'buffer_instances{pool="spare"} 3',
            'rollout_seconds_sum{pool="copper"} 250.0',
            'moves_total{pool="copper"} 1',
            'share_distance{team="sales"} 0.25',
        ):
            self.assertIn(f'primroseledge_{line}\n', page)

    def test_two_instances_in_one_process_do_not_share(self) -> None:
        first, second = create_metrics(), create_metrics()
        first.request_refused(Reason.DEADLINE)
        self.assertNotIn('deadline', second.page().decode())

    def test_threads_record_and_read_one_at_a_time(self) -> None:
        metrics = create_metrics()
        lock = CountingLock()
        metrics.lock = lock  # type: ignore[assignment]
        inside = list[bool]()
        watch(metrics.requests, 'inc', lock, inside)
        watch(metrics.registry, 'get_all', lock, inside)
        metrics.request_ended(COPPER, Outcome.RAN)
        metrics.page()
        self.assertEqual(inside, [True, True])


class CountingLock:
    """A lock that says whether it is held."""

    def __init__(self) -> None:
        self.is_held = False

    def __enter__(self) -> None:
        self.is_held = True

    def __exit__(self, *_: object) -> None:
        self.is_held = False


def watch(
    target: Any, name: str, lock: CountingLock, inside: list[bool]
) -> None:
    """Note on each call of a method whether the lock is held."""
    method = getattr(target, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        inside.append(lock.is_held)
        return method(*args, **kwargs)

    setattr(target, name, call)
