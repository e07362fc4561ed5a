"""Loopback TCP proxies that impair connections while they are open.

One loop on one thread serves all proxies of a ``ProxyLoop``; each proxy
listens on a port and passes connections on to one target. Faults are set
from any thread and are in force when the method returns.
"""

from collections.abc import Callable
from collections.abc import Mapping
from contextlib import ExitStack
from heapq import heappop
from heapq import heappush
from itertools import count
from queue import Empty
from queue import SimpleQueue
from random import Random
from selectors import DefaultSelector
from selectors import EVENT_READ
from socket import create_server
from socket import socket
from socket import socketpair
from threading import Event
from threading import Thread
from time import monotonic
from typing import Final

from standins.proxy_link import Direction
from standins.proxy_link import Impairment
from standins.proxy_link import Link
from standins.proxy_link import READ_BYTES

LOOPBACK: Final = '127.0.0.1'
COMMAND_TIMEOUT_S: Final = 10.0
BACKLOG: Final = 128
BOTH: Final = tuple(Direction)


class FaultProxy:
    """Passes connections to a port of its own on to one target."""

    def __init__(self, loop: 'ProxyLoop', target_port: int, seed: int) -> None:
        self.loop = loop
        self.target = (LOOPBACK, target_port)
        self.random = Random(seed)
        self.impairments: Mapping[Direction, Impairment] = {
            way: Impairment() for way in Direction
        }
        self.links: set[Link] = set()
        self.listener: socket | None = None
        self.port = 0
        self.listen()

    @property
    def address(self) -> str:
        """Return the address for callers."""
        return f'{LOOPBACK}:{self.port}'

    def listen(self) -> None:
        """Take new connections, always on the same port."""
        if self.listener is None:
            self.listener = create_server(
                (LOOPBACK, self.port), backlog=BACKLOG
            )
            self.listener.setblocking(False)
            self.port = self.listener.getsockname()[1]
            self.loop.watch(self.listener, EVENT_READ, self)

    def stop_listening(self) -> None:
        """Close the port, so that new connections are refused."""
        if self.listener is not None:
            self.loop.watch(self.listener, 0, self)
            self.listener.close()
            self.listener = None

    def handle(self, end: socket, events: int) -> None:
        """Take one new connection."""
        try:
            caller, _ = end.accept()
        except OSError:
            return
        self.links.add(Link(self, caller))

    def watch(self, end: socket, events: int, handler: Link) -> None:
        """Change what an end is watched for; 0 for nothing."""
        self.loop.watch(end, events, handler)

    def wake_at(self, at: float, link: Link) -> None:
        """Wake a connection at a time, if that isn't now."""
        self.loop.wake_at(at, link)

    def forget(self, link: Link) -> None:
        """Note that a connection was closed."""
        self.links.discard(link)

    def draw_due(self, impairment: Impairment, now: float) -> float:
        """Return when bytes that were read now are to be sent."""
        if not impairment.delay_s and not impairment.jitter_s:
            return now
        jitter_s = self.random.uniform(0.0, impairment.jitter_s)
        return now + impairment.delay_s + jitter_s

    def delay(
        self, direction: Direction, delay_s: float, jitter_s: float = 0.0
    ) -> None:
        """Delay bytes by ``delay_s`` and up to ``jitter_s`` more."""

        def change() -> None:
            self.impairments[direction].delay_s = delay_s
            self.impairments[direction].jitter_s = jitter_s

        self.loop.run_there(change)

    def silence(self, *directions: Direction) -> None:
        """Hold bytes and closes back in these directions, or in both."""

        def change() -> None:
            for direction in directions or BOTH:
                self.impairments[direction].is_silent = True

        self.loop.run_there(change)

    def silence_open(self, *directions: Direction) -> None:
        """Do so for the connections that are open now, not for new ones."""

        def change() -> None:
            for link in self.links:
                for direction in directions or BOTH:
                    link.pipes[direction].is_silent = True

        self.loop.run_there(change)

    def reset(self) -> None:
        """Reset the connections that are open."""

        def change() -> None:
            for link in list(self.links):
                link.reset()

        self.loop.run_there(change)

    def refuse(self) -> None:
        """Refuse new connections; those that are open go on."""
        self.loop.run_there(self.stop_listening)

    def heal(self) -> None:
        """End all faults, and send on what was held back by silence."""

        def change() -> None:
            for impairment in self.impairments.values():
                impairment.delay_s = impairment.jitter_s = 0.0
                impairment.is_silent = False
            self.listen()
            for link in list(self.links):
                for pipe in link.pipes.values():
                    pipe.is_silent = False
                link.wake()

        self.loop.run_there(change)

    def close(self) -> None:
        """Reset all connections and close the port."""
        self.stop_listening()
        for link in list(self.links):
            link.reset()


class ProxyLoop:
    """Serves proxies on a thread of its own until it is closed.

    Use it as a context manager; it closes all proxies at the end.
    """

    def __init__(self) -> None:
        self.resources = ExitStack()
        self.selector = self.resources.enter_context(DefaultSelector())
        self.wake_reader, self.wake_writer = socketpair()
        self.resources.enter_context(self.wake_reader)
        self.resources.enter_context(self.wake_writer)
        self.wake_reader.setblocking(False)
        self.selector.register(self.wake_reader, EVENT_READ, None)
        self.commands = SimpleQueue[Callable[[], None]]()
        self.timers: list[tuple[float, int, Link]] = []
        self.numbers = count()
        self.proxies = ExitStack()
        self.is_closing = False
        self.thread = Thread(target=self.run, daemon=True)
        self.thread.start()

    def __enter__(self) -> 'ProxyLoop':
        return self

    def __exit__(self, *error: object) -> None:
        self.close()

    def add_proxy(self, target_port: int, seed: int = 0) -> FaultProxy:
        """Return a new proxy for a port of 127.0.0.1."""
        added = list[FaultProxy]()

        def change() -> None:
            proxy = FaultProxy(self, target_port, seed)
            self.proxies.callback(proxy.close)
            added.append(proxy)

        self.run_there(change)
        return added[0]

    def run_there(self, command: Callable[[], None]) -> None:
        """Run a command on the loop's thread; wait until it is done.

        Raises what the command raises, or TimeoutError.
        """
        done = Event()
        errors = list[Exception]()

        def run() -> None:
            try:
                command()
            except Exception as error:
                errors.append(error)
            done.set()

        self.commands.put(run)
        self.wake_writer.send(b'.')
        if not done.wait(COMMAND_TIMEOUT_S):
            raise TimeoutError('the loop of the proxies does not answer')
        if errors:
            raise errors[0]

    def watch(
        self, end: socket, events: int, handler: Link | FaultProxy
    ) -> None:
        """Change what an end is watched for; 0 for nothing."""
        key = self.selector.get_map().get(end.fileno())
        if key is None:
            if events:
                self.selector.register(end, events, handler)
        elif not events:
            self.selector.unregister(end)
        elif key.events != events:
            self.selector.modify(end, events, handler)

    def wake_at(self, at: float, link: Link) -> None:
        """Wake a link at a time, if that isn't now."""
        if at > monotonic():
            heappush(self.timers, (at, next(self.numbers), link))

    def run(self) -> None:
        """Serve until closed."""
        while not self.is_closing:
            timeout_s = None
            if self.timers:
                timeout_s = max(0.0, self.timers[0][0] - monotonic())
            for key, events in self.selector.select(timeout_s):
                if key.data is None:
                    self.run_commands()
                else:
                    key.data.handle(key.fileobj, events)
            while self.timers and self.timers[0][0] <= monotonic():
                heappop(self.timers)[2].wake()

    def run_commands(self) -> None:
        """Run what other threads asked for."""
        try:
            self.wake_reader.recv(READ_BYTES)
            while True:
                self.commands.get_nowait()()
        except (BlockingIOError, Empty):
            return

    def close(self) -> None:
        """Close all proxies with their connections, and end the thread."""
        if self.is_closing:
            return

        def change() -> None:
            self.proxies.close()
            self.is_closing = True

        self.run_there(change)
        self.thread.join()
        self.resources.close()
