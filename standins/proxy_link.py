"""Connections through a proxy that impairs them."""

import collections
from collections.abc import Mapping
from contextlib import ExitStack
from enum import Enum
from selectors import EVENT_READ
from selectors import EVENT_WRITE
from socket import AF_INET
from socket import IPPROTO_TCP
from socket import SHUT_WR
from socket import SO_LINGER
from socket import SOCK_STREAM
from socket import socket
from socket import SOL_SOCKET
from socket import TCP_NODELAY
from struct import pack
from time import monotonic
from typing import Final
from typing import Protocol

READ_BYTES: Final = 65536
MAX_HELD_BYTES: Final = 1 << 20
"""Per direction of a connection; then its sender has to wait."""

RESET_ON_CLOSE: Final = pack('ii', 1, 0)


class Direction(Enum):
    """Which way bytes go."""

    TO_TARGET = 'to_target'
    TO_CALLER = 'to_caller'


class Impairment:
    """What is done to the bytes of one direction; times in seconds."""

    def __init__(self) -> None:
        self.delay_s = 0.0
        self.jitter_s = 0.0
        self.is_silent = False


class Pipe:
    """One direction of one connection: what was read and not yet sent.

    The end of the source is an empty chunk.
    """

    def __init__(
        self, source: socket, sink: socket, impairment: Impairment
    ) -> None:
        self.source = source
        self.sink = sink
        self.impairment = impairment
        self.chunks: collections.deque[tuple[float, bytes]] = (
            collections.deque()
        )
        self.held_bytes = 0
        self.is_silent = False
        self.is_at_end = False
        self.is_over = False
        self.is_blocked = False

    def add(self, data: bytes, due_at: float) -> None:
        """Keep what was read; it never overtakes what came before."""
        if self.chunks:
            due_at = max(due_at, self.chunks[-1][0])
        self.chunks.append((due_at, data))
        self.held_bytes += len(data)
        self.is_at_end = not data

    def is_due(self, now: float) -> bool:
        """Tell whether the first chunk may be sent."""
        if self.is_silent or self.impairment.is_silent:
            return False
        return bool(self.chunks) and self.chunks[0][0] <= now

    def send_due(self, now: float) -> None:
        """Send what is due, as far as the sink takes it.

        Raises OSError if the sink is gone.
        """
        self.is_blocked = False
        while self.is_due(now):
            due_at, data = self.chunks.popleft()
            if not data:
                self.is_over = True
                self.sink.shutdown(SHUT_WR)
                return
            try:
                sent = self.sink.send(data)
            except BlockingIOError:
                sent = 0
            self.held_bytes -= sent
            if sent < len(data):
                self.chunks.appendleft((due_at, data[sent:]))
                self.is_blocked = True
                return

    @property
    def wants_bytes(self) -> bool:
        """Tell whether more may be read."""
        return not self.is_at_end and self.held_bytes < MAX_HELD_BYTES


class LinkOwner(Protocol):
    """What a connection needs of its proxy."""

    target: tuple[str, int]
    impairments: Mapping[Direction, Impairment]

    def watch(self, end: socket, events: int, handler: 'Link') -> None:
        """Change what an end is watched for; 0 for nothing."""

    def wake_at(self, at: float, link: 'Link') -> None:
        """Wake a connection at a time, if that isn't now."""

    def draw_due(self, impairment: Impairment, now: float) -> float:
        """Return when bytes that were read now are to be sent."""

    def forget(self, link: 'Link') -> None:
        """Note that a connection was closed."""


class Link:
    """One connection of a caller, and the one to the target."""

    def __init__(self, proxy: LinkOwner, caller: socket) -> None:
        self.proxy = proxy
        self.resources = ExitStack()
        self.caller = self.resources.enter_context(caller)
        self.target = self.resources.enter_context(
            socket(AF_INET, SOCK_STREAM)
        )
        self.is_connected = False
        self.is_closed = False
        faults = proxy.impairments
        self.pipes = {
            Direction.TO_TARGET: Pipe(
                caller, self.target, faults[Direction.TO_TARGET]
            ),
            Direction.TO_CALLER: Pipe(
                self.target, caller, faults[Direction.TO_CALLER]
            ),
        }
        for end in (self.caller, self.target):
            end.setblocking(False)
            end.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.target.connect_ex(proxy.target)
        self.watch()

    def watch(self) -> None:
        """Tell the selector what this connection waits for."""
        there, back = self.pipes.values()
        self.proxy.watch(
            self.caller,
            EVENT_READ * there.wants_bytes | EVENT_WRITE * back.is_blocked,
            self,
        )
        is_waiting = there.is_blocked or not self.is_connected
        self.proxy.watch(
            self.target,
            EVENT_READ * (back.wants_bytes and self.is_connected)
            | EVENT_WRITE * is_waiting,
            self,
        )

    def handle(self, end: socket, events: int) -> None:
        """Read from an end that has bytes, and send what is due."""
        if self.is_closed:
            return
        try:
            if events & EVENT_WRITE and end is self.target:
                self.finish_connecting()
            if events & EVENT_READ:
                self.read(end)
            self.send_due(monotonic())
        except OSError:
            self.reset()

    def finish_connecting(self) -> None:
        """Note that the target took the connection; raises OSError."""
        if not self.is_connected:
            self.target.getpeername()
            self.is_connected = True

    def read(self, end: socket) -> None:
        """Read from one end; raises OSError if it was reset."""
        for pipe in self.pipes.values():
            if pipe.source is end and pipe.wants_bytes:
                data = end.recv(READ_BYTES)
                due_at = self.proxy.draw_due(pipe.impairment, monotonic())
                pipe.add(data, due_at)
                self.proxy.wake_at(due_at, self)

    def send_due(self, now: float) -> None:
        """Send what is due both ways; raises OSError if an end is gone."""
        for pipe in self.pipes.values():
            if self.is_connected:
                pipe.send_due(now)
        if all(pipe.is_over for pipe in self.pipes.values()):
            self.close()
        else:
            self.watch()

    def wake(self) -> None:
        """Send what has become due."""
        if self.is_closed:
            return
        try:
            self.send_due(monotonic())
        except OSError:
            self.reset()

    def reset(self) -> None:
        """Close both ends so that their peers see a reset."""
        for end in (self.caller, self.target):
            end.setsockopt(SOL_SOCKET, SO_LINGER, RESET_ON_CLOSE)
        self.close()

    def close(self) -> None:
        """Close both ends."""
        if self.is_closed:
            return
        self.is_closed = True
        self.proxy.watch(self.caller, 0, self)
        self.proxy.watch(self.target, 0, self)
        self.proxy.forget(self)
        self.resources.close()
