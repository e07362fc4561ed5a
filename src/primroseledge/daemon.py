"""The entry daemon: one loop on one thread, and what serves it."""

from collections import deque
from contextlib import ExitStack
from itertools import count
from math import ceil
from os import close
from os import eventfd
from os import eventfd_read
from os import eventfd_write
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from threading import Thread
from time import monotonic
from time import sleep
from time import time
from typing import Final

from cherrypy.process.wspbus import Bus
from msgspec import json
from zmq import Poller
from zmq import POLLIN

from primroseledge.actions import Action
from primroseledge.actions import SendToEntry
from primroseledge.actions import SendToOwner
from primroseledge.carrier import Carrier
from primroseledge.configuration import snapshot_delta
from primroseledge.documents import CONFIG_PREFIX
from primroseledge.errors import StoreError
from primroseledge.events import Event
from primroseledge.httprequest import RequestLimits
from primroseledge.httpserver import adapt
from primroseledge.httpserver import Application
from primroseledge.httpserver import AttemptReport
from primroseledge.httpserver import create_server
from primroseledge.httpserver import PageBody
from primroseledge.httpserver import ServerCall
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import Revision
from primroseledge.logs import log
from primroseledge.membership import Timing
from primroseledge.messages import ConfigDelta
from primroseledge.node import create_node
from primroseledge.node import Node
from primroseledge.peerlink import open_link
from primroseledge.peerlink import PeerLink
from primroseledge.settings import Settings
from primroseledge.storeclient import HttpStore
from primroseledge.storeclient import open_store

TICK_S: Final = 0.05
WATCH_WAIT_S: Final = 0.5
STORE_RETRY_S: Final = 0.3
MAX_ANSWER_BYTES: Final = 16_000_000
SUSPECT_HEARTBEATS: Final = 4
DEAD_HEARTBEATS: Final = 8


class ConfigRead:
    """A read of the configuration that the store thread made."""

    __slots__ = ('delta', 'begun_at')

    def __init__(self, delta: ConfigDelta, begun_at: float) -> None:
        self.delta = delta
        self.begun_at = begun_at


Item = ServerCall | AttemptReport | ConfigRead


class Loop:
    """Holds the node and all state; runs on one thread."""

    def __init__(self, node: Node, link: PeerLink, wake_fd: int) -> None:
        self.node = node
        self.link = link
        self.wake_fd = wake_fd
        self.inbox: deque[Item] = deque()
        self.calls: dict[int, ServerCall] = {}
        self.handles = count(1)
        self.is_running = True
        self.stop_at: float | None = None
        self.status = b'{}'
        self.is_ready = False

    def next_handle(self) -> int:
        """Return a number for a new call; any thread may call it."""
        return next(self.handles)

    def post(self, item: Item) -> None:
        """Hand an item to the loop; any thread may call it."""
        self.inbox.append(item)
        eventfd_write(self.wake_fd, 1)

    def page(self, path: str) -> PageBody | None:
        """Return a page; any thread may call it."""
        if path == '/-/live':
            return '200 OK', 'text/plain', b'live\n'
        if path == '/-/ready':
            if self.is_ready:
                return '200 OK', 'text/plain', b'ready\n'
            return '503 Service Unavailable', 'text/plain', b'not ready\n'
        if path == '/-/status':
            return '200 OK', 'application/json', self.status
        return None

    def begin_stop(self, grace_s: float) -> None:
        """Begin a graceful shutdown."""
        self.node.is_leaving = True
        self.node.entry.is_stopping = True
        self.stop_at = monotonic() + grace_s
        eventfd_write(self.wake_fd, 1)

    def run(self) -> None:
        """Run until the shutdown is complete."""
        poller = Poller()
        poller.register(self.link.router, POLLIN)
        poller.register(self.wake_fd, POLLIN)
        next_tick = 0.0
        while self.is_running:
            wait_s = max(0.0, next_tick - monotonic())
            ready = dict(poller.poll(ceil(wait_s * 1000)))
            if self.wake_fd in ready:
                eventfd_read(self.wake_fd)
            self.take_messages()
            self.take_items()
            if monotonic() >= next_tick:
                self.tick()
                next_tick = monotonic() + TICK_S

    def take_messages(self) -> None:
        """Take what peers have sent."""
        for envelope in self.link.receive():
            self.perform(self.node.received(envelope, monotonic()))

    def take_items(self) -> None:
        """Take what other threads have posted."""
        while self.inbox:
            item = self.inbox.popleft()
            now = monotonic()
            if isinstance(item, ServerCall):
                self.calls[item.head.handle] = item
                self.perform(self.node.request(item.head, now))
            elif isinstance(item, AttemptReport):
                self.perform(
                    self.node.attempt_ended(item.handle, item.end, now)
                )
            else:
                self.perform(
                    self.node.config_read(item.delta, item.begun_at, now)
                )

    def tick(self) -> None:
        """Let the node do what the time asks for."""
        now = monotonic()
        self.perform(self.node.tick(now))
        self.is_ready = self.node.is_fresh(now) and not self.node.is_leaving
        self.status = json.encode(self.node.status(now))
        if self.stop_at is not None and (
            not self.node.entry.calls or now >= self.stop_at
        ):
            self.is_running = False

    def perform(self, actions: list[Action]) -> None:
        """Carry out the node's actions."""
        for action in actions:
            if isinstance(action, SendToEntry):
                self.link.send(
                    action.entry,
                    self.node.envelope(action.message),
                )
            elif not isinstance(action, SendToOwner):
                call = self.calls.get(action.handle)
                if call is None:
                    continue
                if action.is_last:
                    del self.calls[action.handle]
                call.commands.put(action)


class ConfigWatcher:
    """Reads and watches the configuration on a thread of its own."""

    def __init__(self, loop: Loop, store: HttpStore) -> None:
        self.loop = loop
        self.store = store
        self.is_stopped = False
        self.failing_since: float | None = None
        self.thread = Thread(target=self.run, name='store-watch', daemon=True)

    def run(self) -> None:
        """Watch until stopped; read whole after a failure."""
        revision = Revision(-1)
        while not self.is_stopped:
            begun_at = monotonic()
            try:
                if revision < 0:
                    snapshot = self.store.read(CONFIG_PREFIX)
                    delta = snapshot_delta(snapshot)
                else:
                    snapshot = self.store.watch(
                        CONFIG_PREFIX, revision, WATCH_WAIT_S
                    )
                    delta = snapshot_delta(snapshot, revision)
            except StoreError as error:
                self.failed(begun_at, error)
                revision = Revision(-1)
                sleep(STORE_RETRY_S)
                continue
            self.succeeded(begun_at)
            revision = snapshot.revision
            self.loop.post(ConfigRead(delta, begun_at))

    def failed(self, begun_at: float, error: StoreError) -> None:
        """Log the first failure after a success."""
        if self.failing_since is None:
            self.failing_since = begun_at
            log(Event.STORE_UNAVAILABLE, problem=str(error))

    def succeeded(self, begun_at: float) -> None:
        """Log the first success after a failure."""
        if self.failing_since is not None:
            seconds = round(begun_at - self.failing_since, 1)
            log(Event.STORE_AVAILABLE, seconds=seconds)
            self.failing_since = None


def run(settings: Settings) -> int:
    """Run an entry instance until it is told to stop.

    Returns the process's exit code.
    """
    with ExitStack() as resources:
        wake_fd = eventfd(0)
        resources.callback(close, wake_fd)
        link = open_link(settings.peer_host, settings.peer_port)
        resources.callback(link.close)
        for peer in settings.peers:
            if peer.id != settings.entry_id:
                link.connect(EntryId(peer.id), peer.host, peer.port)
        loop = Loop(build_node(settings), link, wake_fd)
        store = open_store(
            settings.store_urls_with_credentials, settings.store_timeout_s
        )
        resources.callback(store.close)
        carrier = Carrier(settings.server_threads, MAX_ANSWER_BYTES)
        resources.callback(carrier.close)
        serve(settings, loop, carrier, resources)
        watcher = ConfigWatcher(loop, store)
        watcher.thread.start()
        for number in (SIGTERM, SIGINT):
            signal(
                number,
                lambda *_: loop.begin_stop(settings.graceful_timeout_s),
            )
        loop.run()
        watcher.is_stopped = True
    return 0


def serve(
    settings: Settings, loop: Loop, carrier: Carrier, resources: ExitStack
) -> None:
    """Start the HTTP server under a bus that the stack owns."""
    application = Application(
        loop,
        carrier,
        RequestLimits(
            settings.max_body_bytes,
            settings.request_timeout_s,
            settings.max_request_timeout_s,
        ),
    )
    server = create_server(
        settings.http_host,
        settings.http_port,
        settings.server_threads,
        settings.max_header_bytes,
        application,
    )
    bus = Bus()
    adapt(bus, server).subscribe()
    bus.start()
    resources.callback(bus.exit)
    log(
        Event.STARTED,
        entry=settings.entry_id,
        zone=settings.zone,
        address=f'{settings.http_host}:{settings.http_port}',
    )


def build_node(settings: Settings) -> Node:
    """Create the node that the settings describe."""
    return create_node(
        EntryId(settings.entry_id),
        Incarnation(int(time() * 1000)),
        settings.zone,
        [EntryId(peer.id) for peer in settings.peers],
        timing_of(settings),
        settings.freshness_s,
        settings.retry_budget,
        monotonic(),
    )


def timing_of(settings: Settings) -> Timing:
    """Return the intervals of membership for a heartbeat interval."""
    return Timing(
        heartbeat_s=settings.heartbeat_s,
        suspect_s=settings.heartbeat_s * SUSPECT_HEARTBEATS,
        dead_s=settings.heartbeat_s * DEAD_HEARTBEATS,
    )
