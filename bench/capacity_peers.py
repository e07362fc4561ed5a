"""Probes of membership, freshness and metrics, on the real cores."""

from typing import Final

from bench.capacity import allocated_bytes
from bench.capacity import Probe
from bench.capacity import probe
from bench.capacity import PROBES
from bench.capacity import time_us
from bench.capacity_fleet import ME
from bench.capacity_fleet import RUN
from bench.capacity_fleet import wire_bytes
from primroseledge.agreement.freshness import create_freshness
from primroseledge.agreement.freshness import Freshness
from primroseledge.agreement.membership import create_membership
from primroseledge.agreement.membership import Membership
from primroseledge.ids import CellId
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.ids import Revision
from primroseledge.ids import ServiceId
from primroseledge.observability.metrics import Metrics
from primroseledge.requests.messages import decode
from primroseledge.requests.messages import Echo
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import Heartbeat
from primroseledge.requests.messages import PROTOCOL_VERSION
from primroseledge.requests.outcomes import Outcome

CELL: Final = CellId('main')


@probe('bytes', 'peer', (6, 26, 188))
def heartbeat_bytes(size: int) -> float:
    """Length of one heartbeat."""
    return float(wire_bytes(heartbeat(size)))


def heartbeat(peers: int) -> Heartbeat:
    """Return a heartbeat that echoes so many peers."""
    echoes = {
        EntryId(f'entry-{number}'): Echo(RUN, 1000.0 + number)
        for number in range(peers + 1)
    }
    epochs = {CELL: Epoch(RUN)}
    return Heartbeat(Revision(1), 0.1, False, epochs, 1000.0, echoes, True)


def peers_of(size: int) -> tuple[Membership, Freshness]:
    """Return membership and freshness that know so many peers."""
    names = [EntryId(f'entry-{number}') for number in range(size + 1)]
    return (
        create_membership(ME, RUN, names, 0.0),
        create_freshness(ME, 0.0, 2.0),
    )


@probe('µs', 'peer', (6, 26, 188))
def heartbeat_us(size: int) -> float:
    """Hear one heartbeat and send one, in a round over all peers."""
    membership, freshness = peers_of(size)
    message = heartbeat(size)
    data = encode(Envelope(PROTOCOL_VERSION, ME, RUN, message))

    def round_trip() -> None:
        for peer in membership.peers:
            decode(data)
            membership.hear(peer, RUN, message, 1000.5)
            freshness.note_heartbeat(peer, RUN, message, 1000.0)
        membership.tick(1000.5)
        own = membership.heartbeat(1000.5, Revision(1), 0.1, {}, True)
        for _ in membership.peers:
            wire_bytes(own)

    return time_us(round_trip, 10) / size


@probe('µs', 'peer', (6, 26, 188))
def freshness_check_us(size: int) -> float:
    """Decide whether the view may be acted on, as each request does."""
    membership, freshness = peers_of(size)
    message = heartbeat(size)
    for peer in membership.peers:
        freshness.note_heartbeat(peer, RUN, message, 1000.0)
    members = (ME, *membership.peers)
    return time_us(lambda: freshness.is_fresh(members, 1000.5), 200)


@probe('µs', 'service', (5, 30, 118))
def metrics_page_us(size: int) -> float:
    """Render the page of metrics, each service with one request."""
    metrics = Metrics()
    for number in range(size):
        name = ServiceId(f'service-{number}')
        metrics.request_ended(name, Outcome.RAN)
        metrics.queue_left(name, 0.1)
    return time_us(metrics.page, 10)


@probe('bytes', 'service', (5, 30, 118))
def metrics_bytes(size: int) -> float:
    """Memory of the metrics, each service with one request."""

    def build() -> Metrics:
        metrics = Metrics()
        for number in range(size):
            name = ServiceId(f'service-{number}')
            metrics.request_ended(name, Outcome.RAN)
            metrics.queue_left(name, 0.1)
        return metrics

    return allocated_bytes(build)


@probe('bytes', 'service', (5, 30, 118))
def metrics_page_bytes(size: int) -> float:
    """Length of the page of metrics."""
    metrics = Metrics()
    for number in range(size):
        name = ServiceId(f'service-{number}')
        metrics.request_ended(name, Outcome.RAN)
        metrics.queue_left(name, 0.1)
    return float(len(metrics.page()))


@probe('bytes', 'peer', (6, 26, 188))
def peer_bytes(size: int) -> float:
    """Memory of what is known of peers."""

    def build() -> tuple[Membership, Freshness]:
        membership, freshness = peers_of(size)
        message = heartbeat(1)
        for peer in membership.peers:
            membership.hear(peer, RUN, message, 1000.5)
            freshness.note_heartbeat(peer, RUN, message, 1000.0)
        return membership, freshness

    return allocated_bytes(build)


def peer_probes() -> dict[str, Probe]:
    """Return the probes of this module and of those loaded before."""
    return PROBES
