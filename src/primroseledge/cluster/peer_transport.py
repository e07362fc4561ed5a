"""Connections to other entry instances over pyzmq.

Each instance binds a ROUTER socket and opens a DEALER socket to each peer
to which it sends requests; replies come back over the same connection. ZMTP
heartbeats detect connections that were dropped without a reset.
"""

from collections.abc import Iterator
from contextlib import ExitStack
from typing import Final

from zmq.constants import Flag
from zmq.constants import PollEvent
from zmq.constants import SocketOption
from zmq.constants import SocketType
from zmq.error import Again
from zmq.error import ZMQError
from zmq.sugar.context import Context
from zmq.sugar.poll import Poller
from zmq.sugar.socket import Socket

from primroseledge.cluster.messages import decode
from primroseledge.cluster.messages import encode
from primroseledge.cluster.messages import Message
from primroseledge.errors import MessageError
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

MAX_QUEUED_MESSAGES: Final = 2000
MAX_MESSAGE_BYTES: Final = 4 << 20
HEARTBEAT_INTERVAL_MS: Final = 500
HEARTBEAT_TIMEOUT_MS: Final = 1200
RECONNECT_INTERVAL_MS: Final = 50
MAX_RECONNECT_INTERVAL_MS: Final = 400
CONNECT_TIMEOUT_MS: Final = 800


class PeerTransport:
    """The sockets over which one entry instance talks to its peers."""

    def __init__(self, address: str, identity: str) -> None:
        self.identity = identity
        self.resources = ExitStack()
        self.context: Context[Socket[bytes]] = Context()
        self.resources.callback(self.context.destroy, linger=0)
        self.poller = Poller()
        self.router = self.open_socket(SocketType.ROUTER)
        self.router.setsockopt(SocketOption.ROUTER_HANDOVER, 1)
        self.router.bind(f'tcp://{address}')
        self.poller.register(self.router, PollEvent.POLLIN)
        self.dealers: dict[str, Socket[bytes]] = {}

    def open_socket(self, kind: SocketType) -> Socket[bytes]:
        """Return a new socket with limits on queues and message size."""
        socket = self.context.socket(kind)
        socket.setsockopt(SocketOption.LINGER, 0)
        socket.setsockopt(SocketOption.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(SocketOption.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(SocketOption.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        return socket

    def send(self, address: str, message: Message) -> bool:
        """Send to a peer's address; return whether the message was queued.

        A message is dropped if the queue to the peer is full.
        """
        dealer = self.dealers.get(address)
        if dealer is None:
            dealer = self.connect(address)
        try:
            dealer.send(encode(message), Flag.DONTWAIT)
        except Again:
            return False
        return True

    def connect(self, address: str) -> Socket[bytes]:
        """Open and return a connection to a peer, with heartbeats."""
        dealer = self.open_socket(SocketType.DEALER)
        dealer.setsockopt(SocketOption.IDENTITY, self.identity.encode())
        dealer.setsockopt(SocketOption.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        dealer.setsockopt(SocketOption.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        dealer.setsockopt(SocketOption.RECONNECT_IVL, RECONNECT_INTERVAL_MS)
        dealer.setsockopt(
            SocketOption.RECONNECT_IVL_MAX, MAX_RECONNECT_INTERVAL_MS
        )
        dealer.setsockopt(SocketOption.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        dealer.connect(f'tcp://{address}')
        self.dealers[address] = dealer
        self.poller.register(dealer, PollEvent.POLLIN)
        return dealer

    def close_all_except(self, addresses: set[str]) -> None:
        """Close the connections to all peers except these addresses."""
        for address in set(self.dealers) - addresses:
            dealer = self.dealers.pop(address)
            self.poller.unregister(dealer)
            dealer.close(linger=0)

    def reply(self, identity: str, message: Message) -> None:
        """Reply to the peer with this identity; log a dropped reply."""
        try:
            self.router.send_multipart(
                [identity.encode(), encode(message)], Flag.DONTWAIT
            )
        except (Again, ZMQError) as error:
            log(Event.MESSAGE_DROPPED, peer=identity, problem=str(error))

    def receive(self) -> Iterator[tuple[str, Message]]:
        """Yield each message that has arrived, with its sender's identity.

        The identity is empty for replies to this instance's own requests.
        Malformed messages are logged and skipped.
        """
        while has_message(self.router):
            frames = self.router.recv_multipart(Flag.DONTWAIT)
            message = decode_or_log(frames[-1])
            if message is not None:
                yield frames[0].decode(errors='replace'), message
        for dealer in list(self.dealers.values()):
            while has_message(dealer):
                message = decode_or_log(dealer.recv(Flag.DONTWAIT))
                if message is not None:
                    yield '', message

    def close(self) -> None:
        """Close all sockets."""
        self.resources.close()


def has_message(socket: Socket[bytes]) -> bool:
    """Return whether a message can be received without waiting."""
    return bool(int(socket.get(SocketOption.EVENTS)) & PollEvent.POLLIN)


def decode_or_log(data: bytes) -> Message | None:
    """Return a decoded message; log a malformed one and return None."""
    try:
        return decode(data)
    except MessageError as error:
        log(Event.MESSAGE_REFUSED, peer='peer', problem=str(error))
        return None


def open_peer_transport(address: str, identity: str) -> PeerTransport:
    """Return a transport bound to the address where peers connect."""
    return PeerTransport(address, identity)
