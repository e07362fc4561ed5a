"""The entry daemon: makes everything, runs the loop, closes everything."""

from contextlib import ExitStack
from os import close
from os import eventfd
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from time import time
from typing import Any
from typing import Final

from cherrypy.process.wspbus import Bus

from primroseledge.agreement.membership import Timing
from primroseledge.clock import boot_time
from primroseledge.gateway.carrier import Carrier
from primroseledge.gateway.http_server import adapt
from primroseledge.gateway.http_server import Application
from primroseledge.gateway.http_server import create_server
from primroseledge.gateway.loop import Loop
from primroseledge.gateway.node import create_node
from primroseledge.gateway.node import IdMemory
from primroseledge.gateway.node import Node
from primroseledge.gateway.pages import Pages
from primroseledge.gateway.peer_link import open_link
from primroseledge.gateway.store_threads import ConfigWatcher
from primroseledge.gateway.store_threads import RecordThread
from primroseledge.ids import EntryId
from primroseledge.ids import Incarnation
from primroseledge.ids import ZoneId
from primroseledge.observability.events import Event
from primroseledge.observability.logs import log
from primroseledge.observability.metrics import create_metrics
from primroseledge.observability.metrics import Metrics
from primroseledge.observability.trace import create_tracing
from primroseledge.policy.controls import start_controls
import primroseledge.requests.handlers  # noqa: F401  its handlers register
from primroseledge.requests.http_request import RequestLimits
from primroseledge.settings.settings import Settings
from primroseledge.storage.store_client import open_store

MAX_ANSWER_BYTES: Final = 16_000_000
PAGE_THREADS: Final = 2
EXIT_LOOP_FAILED: Final = 70
SUSPECT_HEARTBEATS: Final = 4
DEAD_HEARTBEATS: Final = 8


def run(settings: Settings) -> int:
    """Run an entry instance until it is told to stop.

    Returns the process's exit code.
    """
    with ExitStack() as resources:
        metrics = create_metrics()
        loop = create_loop(settings, metrics, resources)
        for number in (SIGTERM, SIGINT):
            signal(
                number,
                lambda *_: loop.request_stop(settings.graceful_timeout_s),
            )
        start_store_threads(settings, loop, metrics, resources)
        start_controls(settings, loop, metrics, resources)
        start_servers(settings, loop, metrics, resources)
        left = run_loop(loop)
        stopping_since = loop.stopping_since or boot_time()
    took_s = round(boot_time() - stopping_since, 1)
    log(Event.STOPPED, seconds=took_s, left=left)
    return 0 if loop.has_ended_well else EXIT_LOOP_FAILED


def run_loop(loop: Loop) -> int:
    """Run the loop to its end; return how many calls were left."""
    try:
        loop.run()
    except Exception as error:
        # Callers get a true answer even when the loop has a defect.
        log(Event.LOOP_FAILED, problem=f'{type(error).__name__}: {error}')
        loop.has_ended_well = False
    left = len(loop.calls)
    loop.abandon()
    return left


def create_loop(
    settings: Settings, metrics: Metrics, resources: ExitStack
) -> Loop:
    """Create the loop with its node and its links to peers."""
    wake_fd = eventfd(0)
    resources.callback(close, wake_fd)
    link = open_link(settings.peer_host, settings.peer_port, settings.curve)
    resources.callback(link.close)
    for peer in settings.peers:
        if peer.id != settings.entry_id:
            link.connect(EntryId(peer.id), peer.host, peer.port)
    return Loop(build_node(settings), link, wake_fd, metrics)


def start_store_threads(
    settings: Settings, loop: Loop, metrics: Metrics, resources: ExitStack
) -> None:
    """Start the threads that call the store."""
    store = open_store(
        settings.store_urls,
        settings.store_timeout_s,
        settings.store_credentials,
    )
    resources.callback(store.close)
    watcher = ConfigWatcher(loop, store, metrics)
    resources.callback(watcher.stop)
    watcher.start()
    records = RecordThread(loop, store, metrics)
    resources.callback(records.stop)
    records.start()
    loop.worker = records


def start_servers(
    settings: Settings, loop: Loop, metrics: Metrics, resources: ExitStack
) -> None:
    """Start the HTTP servers for callers and for pages."""
    carrier = Carrier(settings.server_threads, MAX_ANSWER_BYTES)
    resources.callback(carrier.close)
    pages = Pages(loop, metrics, settings.operator_keys)
    limits = RequestLimits(
        settings.max_body_bytes,
        settings.request_timeout_s,
        settings.max_request_timeout_s,
    )
    tracing = create_tracing(settings)
    resources.callback(tracing.close)
    application = Application(loop, carrier, limits, pages.find, tracing)
    servers: list[tuple[int, int, Any]] = [
        (settings.http_port, settings.server_threads, application),
        (settings.metrics_port, PAGE_THREADS, pages),
    ]
    for port, threads, served in servers:
        bus = Bus()
        server = create_server(
            settings.http_host,
            port,
            threads,
            settings.max_header_bytes,
            served,
        )
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
        ZoneId(settings.zone),
        {EntryId(peer.id): ZoneId(peer.zone) for peer in settings.peers},
        timing_of(settings),
        settings.freshness_s,
        settings.retry_budget,
        boot_time(),
        IdMemory(settings.id_window_s, settings.id_clock_skew_s),
    )


def timing_of(settings: Settings) -> Timing:
    """Return the intervals of membership for a heartbeat interval."""
    return Timing(
        heartbeat_s=settings.heartbeat_s,
        suspect_s=settings.heartbeat_s * SUSPECT_HEARTBEATS,
        dead_s=settings.heartbeat_s * DEAD_HEARTBEATS,
    )
