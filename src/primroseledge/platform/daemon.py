"""Run an entry instance on the platform until it gets SIGTERM."""

from contextlib import ExitStack
from os import close
from os import eventfd
from signal import SIGHUP
from signal import SIGINT
from signal import signal
from signal import SIGTERM
from socket import create_server
from threading import Event as ThreadEvent
from threading import Thread
from time import time
from typing import Any
from typing import Final

from cheroot.wsgi import Server

from primroseledge.clock import boot_time
from primroseledge.cluster.call_thread import CallThread
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_view import Decoders
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.node_loop import NodeLoop
from primroseledge.cluster.node_loop import SettingsSeen
from primroseledge.cluster.peer_transport import open_peer_transport
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.watch_threads import LeaseThread
from primroseledge.cluster.watch_threads import WatchThread
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.jobs.configuration import Configuration
from primroseledge.jobs.worker import WorkerEntry
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceCall
from primroseledge.maintenance.actions import InstanceReport
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import ListInstances
from primroseledge.observability.events import Event
from primroseledge.observability.fleetmetrics import create_fleet_metrics
from primroseledge.observability.fleetmetrics import EventCounter
from primroseledge.observability.fleetmetrics import FleetMetrics
from primroseledge.observability.logs import log
from primroseledge.observability.logs import use_handlers
from primroseledge.observability.logwriter import create_bounded_handler
from primroseledge.platform.advice_client import PlatformAdviceClient
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import decode_worker_entry
from primroseledge.platform.instance_client import PlatformInstanceClient
from primroseledge.platform.settings import PlatformSettings
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.worker_client import PlatformWorkerClient
from primroseledge.platform.wsgi_applications import CallerApplication
from primroseledge.platform.wsgi_applications import MetricsApplication
from primroseledge.platform.wsgi_applications import ReadinessApplication

STANDARD_OUTPUT: Final = 1
STATUS_SERVER_THREADS: Final = 1
MAX_HEADER_BYTES: Final = 16384
IDLE_CONNECTION_TIMEOUT_S: Final = 15
ACCEPT_BACKLOG: Final = 512
SHUTDOWN_MARGIN_S: Final = 1.5
"""The process ends this long before the platform would kill it."""


def run(settings: PlatformSettings) -> int:
    """Serve until stopped; return the exit code."""
    with ExitStack() as resources:
        metrics = create_fleet_metrics()
        handler = create_bounded_handler(STANDARD_OUTPUT)
        resources.callback(handler.close)
        use_handlers(handler, EventCounter(metrics))
        loop = create_loop(settings, metrics, resources)
        start_threads(settings, loop, resources)
        start_servers(settings, loop, resources)
        stopper = ShutdownTimer(loop, settings.grace_period_s)
        resources.callback(stopper.cancel)
        for number in (SIGTERM, SIGINT):
            signal(number, lambda *_: stopper.start())
        # A handler must not log: it may interrupt a log call's lock.
        signal(SIGHUP, lambda *_: loop.post(SettingsSeen()))
        log(
            Event.STARTED,
            entry=settings.entry_id,
            zone=settings.zone,
            address=settings.caller_address,
        )
        loop.run()
        log(
            Event.STOPPED,
            seconds=stopper.elapsed_s(),
            left=len(loop.answer_queues),
        )
    return 0


class ShutdownTimer:
    """Ends the loop some time after a stop was asked for.

    Until then callers on open connections are served.
    """

    def __init__(self, loop: NodeLoop, grace_period_s: float) -> None:
        self.loop = loop
        self.delay_s = max(0.5, grace_period_s - SHUTDOWN_MARGIN_S)
        self.started_at = 0.0
        self.cancelled_event = ThreadEvent()
        self.thread = Thread(target=self.run, name='stop', daemon=True)

    def start(self) -> None:
        """Begin the shutdown; a second signal changes nothing."""
        if self.loop.is_leaving:
            return
        self.started_at = boot_time()
        self.loop.leave()
        self.thread.start()

    def elapsed_s(self) -> float:
        """Return how long ago the stop was asked for, in seconds."""
        return round(boot_time() - self.started_at, 3)

    def run(self) -> None:
        """End the loop when the time is over."""
        self.cancelled_event.wait(self.delay_s)
        self.loop.stop()

    def cancel(self) -> None:
        """End the thread."""
        self.cancelled_event.set()


def create_loop(
    settings: PlatformSettings, metrics: FleetMetrics, resources: ExitStack
) -> NodeLoop:
    """Create the loop with its node and its link to peers."""
    wake_fd = eventfd(0)
    resources.callback(close, wake_fd)
    identity = f'{settings.entry_id}/{int(time() * 1000)}'
    link = open_peer_transport(settings.peer_address, identity)
    resources.callback(link.close)
    names = StoreKeys()
    view = FleetView(
        EntryId(settings.entry_id),
        settings.peer_address,
        Decoders(
            names.configuration_key,
            decode_configuration,
            decode_configured_worker,
            names.is_wave_key,
            names.decode_wave,
        ),
        settings.seed_addresses,
    )
    node = FleetNode(view)
    return NodeLoop(node, link, wake_fd, metrics)


def decode_configured_worker(
    item: Item, configuration: Configuration
) -> WorkerEntry:
    """Decode a worker's entry; raises DocumentError."""
    return decode_worker_entry(item, configuration.services)


def start_threads(
    settings: PlatformSettings, loop: NodeLoop, resources: ExitStack
) -> None:
    """Start the threads that call the store and the workers."""
    names = StoreKeys()
    member = MemberRecord(
        EntryId(settings.entry_id),
        settings.peer_address,
        wall_ms(),
        settings.processor_millis,
    )
    # A write that is repeated must not hold up reading the list.
    store, reader = (
        StoreThread(
            loop,
            open_store(settings, resources),
            names,
            member.entry,
            member.address,
            loop.metrics,
        )
        for _ in range(2)
    )
    lease = LeaseThread(loop, open_store(settings, resources), member)
    watch = WatchThread(
        loop, open_store(settings, resources), names.watched_prefix
    )
    for thread in (store, reader, lease, watch):
        resources.callback(thread.stop)
        thread.start()
    loop.store_thread = store
    loop.read_thread = reader
    instances = PlatformInstanceClient(settings.fleet_address, member.entry)
    loop.instance_thread = CallThread(
        loop,
        lambda call: call_instance_service(loop, instances, *call),
        instances.close,
        'instances',
    )
    resources.callback(loop.instance_thread.stop)
    if settings.advice_address:
        advice = PlatformAdviceClient(settings.advice_address)
        loop.advice_thread = CallThread(
            loop, advice.request_advice, advice.close, 'advice'
        )
        resources.callback(loop.advice_thread.stop)
    loop.worker_links = WorkerLinks(
        loop, PlatformWorkerClient, loop.may_send_orders
    )
    resources.callback(loop.worker_links.close)


def call_instance_service(
    loop: NodeLoop,
    client: PlatformInstanceClient,
    call: InstanceCall,
    epoch: Epoch,
) -> InstanceReport:
    """Make a call, unless we are not the owner any more."""
    if isinstance(call, ListInstances) or loop.may_send_orders(epoch):
        return client.call(call, epoch)
    return InstanceAnswered(call, InstanceResult.REFUSED, boot_time())


def open_store(
    settings: PlatformSettings, resources: ExitStack
) -> PlatformStore:
    """Open a connection to the store."""
    store = PlatformStore(settings.store_address)
    resources.callback(store.close)
    return store


def start_servers(
    settings: PlatformSettings, loop: NodeLoop, resources: ExitStack
) -> None:
    """Start the HTTP servers for callers, readiness and metrics."""
    callers = CallerApplication(
        loop,
        lambda: loop.node.configuration,
        lambda: loop.is_leaving,
        wall_ms,
    )
    threads = settings.server_threads
    start_server(settings.caller_address, threads, callers, resources)
    ready = ReadinessApplication(lambda: loop.is_ready)
    start_server(
        settings.ready_address, STATUS_SERVER_THREADS, ready, resources
    )
    if not settings.metrics_address:
        return
    metrics = MetricsApplication(loop.metrics)
    try:
        # A server that cannot bind leaves its socket open.
        with create_server(split_address(settings.metrics_address)):
            pass
        start_server(
            settings.metrics_address, STATUS_SERVER_THREADS, metrics, resources
        )
    except OSError as error:
        # Callers are served all the same.
        log(
            Event.METRICS_NOT_SERVED,
            address=settings.metrics_address,
            problem=str(error),
        )


def start_server(
    address: str, threads: int, application: Any, resources: ExitStack
) -> None:
    """Start an HTTP server; raises OSError when its port is taken."""
    server = Server(
        split_address(address),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=ACCEPT_BACKLOG,
        timeout=IDLE_CONNECTION_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.max_request_header_size = MAX_HEADER_BYTES
    server.prepare()
    thread = Thread(target=server.serve, name='http', daemon=True)
    thread.start()
    resources.callback(server.stop)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def wall_ms() -> int:
    """Return the time of day in ms since 1970."""
    return int(time() * 1000)
