"""Messages between entry instances over pyzmq.

Each instance binds one ROUTER socket and connects one DEALER socket to
each peer. Messages go one way; an answer goes over the answerer's own
DEALER. A queue that is full drops new messages, which are counted.
With CURVE keys, links are encrypted, only known keys are let in, and a
message counts only when its sender is the holder of the link's key.
"""

from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from typing import Final

from zmq.auth.thread import ThreadAuthenticator
from zmq.constants import Flag
from zmq.constants import PollEvent
from zmq.constants import SocketOption
from zmq.constants import SocketType
from zmq.error import Again
from zmq.sugar.context import Context
from zmq.sugar.frame import Frame
from zmq.sugar.socket import Socket

from primroseledge.errors import MessageError
from primroseledge.ids import EntryId
from primroseledge.requests.messages import decode
from primroseledge.requests.messages import encode
from primroseledge.requests.messages import Envelope
from primroseledge.requests.messages import MAX_MESSAGE_BYTES
from primroseledge.settings.settings import Curve

QUEUE_MESSAGES: Final = 10_000
LINGER_MS: Final = 200


@dataclass(slots=True)
class LinkCounts:
    """What went over the links."""

    sent_bytes: int = 0
    received_bytes: int = 0
    dropped: int = 0
    malformed: int = 0


class PeerLink:
    """The sockets between this entry instance and its peers."""

    def __init__(self, host: str, port: int, curve: Curve | None) -> None:
        self.curve = curve
        self.resources = ExitStack()
        self.context: Context[Socket[bytes]] = Context()
        self.resources.callback(self.context.destroy, linger=LINGER_MS)
        if curve is not None:
            self.start_authenticator(curve)
        self.router = self.context.socket(SocketType.ROUTER)
        self.secure(self.router, is_server=True)
        self.router.maxmsgsize = MAX_MESSAGE_BYTES
        self.router.rcvhwm = QUEUE_MESSAGES
        self.router.bind(f'tcp://{host}:{port}')
        self.dealers: dict[EntryId, Socket[bytes]] = {}
        self.counts: dict[EntryId, LinkCounts] = {}
        self.strangers = LinkCounts()

    def start_authenticator(self, curve: Curve) -> None:
        """Let in only peers whose public key is in the settings."""
        authenticator = ThreadAuthenticator(self.context)
        authenticator.start()
        self.resources.callback(authenticator.stop)
        known = frozenset(key.encode() for key in curve.peer_keys.values())
        authenticator.configure_curve_callback(
            credentials_provider=KnownKeys(known)
        )

    def secure(self, socket: Socket[bytes], is_server: bool) -> None:
        """Give a socket our key pair, if links are to be encrypted."""
        if self.curve is None:
            return
        socket.curve_publickey = self.curve.public_key.encode()
        socket.curve_secretkey = self.curve.secret_key.encode()
        socket.curve_server = is_server

    def connect(self, peer: EntryId, host: str, port: int) -> None:
        """Connect to a peer; a later call for the same peer replaces."""
        if peer in self.dealers:
            self.dealers[peer].close(linger=0)
        dealer = self.context.socket(SocketType.DEALER)
        self.secure(dealer, is_server=False)
        if self.curve is not None:
            key = self.curve.peer_keys.get(peer, '')
            dealer.curve_serverkey = key.encode()
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
            dealer.send(data, Flag.DONTWAIT)
        except Again:
            counts.dropped += 1
            return
        counts.sent_bytes += len(data)

    def receive(self, limit: int = 1000) -> Iterable[Envelope]:
        """Yield the messages that have arrived, at most ``limit``."""
        for _ in range(limit):
            events = self.router.get(SocketOption.EVENTS)
            if not int(events) & PollEvent.POLLIN:
                return
            frames = self.router.recv_multipart(Flag.DONTWAIT, copy=False)
            envelope = self.check(frames[-1])
            if envelope is not None:
                yield envelope

    def check(self, frame: Frame) -> Envelope | None:
        """Decode a frame; count and drop what is malformed or forged."""
        data = frame.bytes
        try:
            envelope = decode(data)
        except MessageError:
            self.strangers.malformed += 1
            return None
        counts = self.counts.get(envelope.sender)
        if counts is None or not self.is_from(envelope.sender, frame):
            self.strangers.dropped += 1
            return None
        counts.received_bytes += len(data)
        return envelope

    def is_from(self, sender: EntryId, frame: Frame) -> bool:
        """Tell whether the frame came over the sender's own link."""
        if self.curve is None:
            return True
        return bool(frame.get('User-Id') == self.curve.peer_keys.get(sender))

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


@dataclass(frozen=True, slots=True)
class KnownKeys:
    """Tells the authenticator which public keys to let in."""

    keys: frozenset[bytes]

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a key, in Z85, is a peer's."""
        return key in self.keys


def open_link(host: str, port: int, curve: Curve | None = None) -> PeerLink:
    """Bind the socket on which peers reach this instance."""
    return PeerLink(host, port, curve)
