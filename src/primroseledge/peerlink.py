"""Messages between entry instances over pyzmq.

Each instance binds one ROUTER socket and connects one DEALER socket to
each peer. Messages go one way; an answer goes over the answerer's own
DEALER. A queue that is full drops new messages, which are counted.
"""

from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass

from zmq import Again
from zmq import Context
from zmq import DEALER
from zmq import DONTWAIT
from zmq import ROUTER
from zmq import Socket

from primroseledge.errors import MessageError
from primroseledge.ids import EntryId
from primroseledge.messages import decode
from primroseledge.messages import encode
from primroseledge.messages import Envelope
from primroseledge.messages import MAX_MESSAGE_BYTES

QUEUE_MESSAGES = 10_000


@dataclass(slots=True)
class LinkCounts:
    """What went over the links."""

    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    malformed: int = 0


class PeerLink:
    """The sockets between this entry instance and its peers."""

    def __init__(self, host: str, port: int) -> None:
        self.resources = ExitStack()
        self.context: Context[Socket[bytes]] = Context()
        self.resources.callback(self.context.destroy, linger=200)
        self.router = self.context.socket(ROUTER)
        self.router.maxmsgsize = MAX_MESSAGE_BYTES
        self.router.rcvhwm = QUEUE_MESSAGES
        self.router.bind(f'tcp://{host}:{port}')
        self.dealers: dict[EntryId, Socket[bytes]] = {}
        self.counts: dict[EntryId, LinkCounts] = {}
        self.strangers = LinkCounts()

    def connect(self, peer: EntryId, host: str, port: int) -> None:
        """Connect to a peer; a later call for the same peer replaces."""
        if peer in self.dealers:
            self.dealers[peer].close(linger=0)
        dealer = self.context.socket(DEALER)
        dealer.sndhwm = QUEUE_MESSAGES
        dealer.reconnect_ivl = 50
        dealer.reconnect_ivl_max = 500
        dealer.connect(f'tcp://{host}:{port}')
        self.dealers[peer] = dealer
        self.counts.setdefault(peer, LinkCounts())

    def send(self, peer: EntryId, envelope: Envelope) -> None:
        """Send a message; drop and count it when the queue is full."""
        dealer = self.dealers.get(peer)
        if dealer is None:
            return
        data = encode(envelope)
        counts = self.counts[peer]
        try:
            dealer.send(data, DONTWAIT)
        except Again:
            counts.dropped += 1
            return
        counts.sent_bytes += len(data)

    def receive(self, limit: int = 1000) -> Iterable[Envelope]:
        """Yield the messages that have arrived, at most ``limit``."""
        for _ in range(limit):
            try:
                frames = self.router.recv_multipart(DONTWAIT)
            except Again:
                return
            try:
                envelope = decode(frames[-1])
            except MessageError:
                self.strangers.malformed += 1
                continue
            counts = self.counts.get(envelope.sender, self.strangers)
            counts.received_bytes += len(frames[-1])
            yield envelope

    def total_bytes(self) -> tuple[int, int]:
        """Return the bytes sent and received over all links."""
        counts = [*self.counts.values(), self.strangers]
        return (
            sum(count.sent_bytes for count in counts),
            sum(count.received_bytes for count in counts),
        )

    def close(self) -> None:
        """Close all sockets."""
        self.resources.close()


def open_link(host: str, port: int) -> PeerLink:
    """Bind the socket on which peers reach this instance."""
    return PeerLink(host, port)
