"""Connections to other entry instances over pyzmq.

Each instance binds a ROUTER socket and opens a DEALER socket to the
peers that it asks; answers come back over the same connection. ZMTP
heartbeats find connections that went silent without a reset.
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
    """The sockets of one entry instance."""

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
        """Return a socket with heartbeats and bounds."""
        socket = self.context.socket(kind)
        socket.setsockopt(SocketOption.LINGER, 0)
        socket.setsockopt(SocketOption.SNDHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(SocketOption.RCVHWM, MAX_QUEUED_MESSAGES)
        socket.setsockopt(SocketOption.MAXMSGSIZE, MAX_MESSAGE_BYTES)
        return socket

    def send(self, address: str, message: Message) -> bool:
        """Send to a peer's address; tell whether it was queued."""
        dealer = self.dealers.get(address)
        if dealer is None:
            dealer = self.connect(address)
        try:
            dealer.send(encode(message), Flag.DONTWAIT)
        except Again:
            return False
        return True

    def connect(self, address: str) -> Socket[bytes]:
        """Open a connection to a peer."""
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
        """Close the connections to all other peers."""
        for address in set(self.dealers) - addresses:
            dealer = self.dealers.pop(address)
            self.poller.unregister(dealer)
            dealer.close(linger=0)

    def reply(self, identity: str, message: Message) -> None:
        """Send an answer back to the peer that asked, if it is there."""
        try:
            self.router.send_multipart(
                [identity.encode(), encode(message)], Flag.DONTWAIT
            )
        except (Again, ZMQError) as error:
            log(Event.MESSAGE_DROPPED, peer=identity, problem=str(error))

    def receive(self) -> Iterator[tuple[str, Message]]:
        """Yield sender and message of all that has arrived.

        The sender is empty for answers from peers that we asked.
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
    """Tell whether a message can be read."""
    return bool(int(socket.get(SocketOption.EVENTS)) & PollEvent.POLLIN)


def decode_or_log(data: bytes) -> Message | None:
    """Decode a message; a malformed one is logged."""
    try:
        return decode(data)
    except MessageError as error:
        log(Event.MESSAGE_REFUSED, peer='peer', problem=str(error))
        return None


def open_peer_transport(address: str, identity: str) -> PeerTransport:
    """Bind the socket on which peers reach this instance."""
    return PeerTransport(address, identity)
