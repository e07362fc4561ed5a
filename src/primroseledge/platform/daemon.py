"""Process of an entry instance that runs on the users' platform.

Creates the node loop, its threads and HTTP servers, and shuts them down
on SIGTERM.
"""

from contextlib import ExitStack
from os import close
from os import eventfd
from queue import SimpleQueue
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

from primroseledge.clock import boot_time
from primroseledge.cluster.adaptive_timeout import AdaptiveTimeout
from primroseledge.cluster.call_thread import CallThread
from primroseledge.cluster.commands import InstanceReported
from primroseledge.cluster.fleet_node import FleetNode
from primroseledge.cluster.fleet_store import Item
from primroseledge.cluster.fleet_view import Decoders
from primroseledge.cluster.fleet_view import FleetView
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.node_loop import NodeLoop
from primroseledge.cluster.node_loop import SettingsChanged
from primroseledge.cluster.peer_transport import open_peer_transport
from primroseledge.cluster.store_lanes import StoreLanes
from primroseledge.cluster.store_thread import StoreThread
from primroseledge.cluster.watch_threads import LeaseThread
from primroseledge.cluster.watch_threads import WatchThread
from primroseledge.cluster.worker_links import WorkerLinks
from primroseledge.ids import EntryId
from primroseledge.ids import Epoch
from primroseledge.jobs.configuration import Configuration
from primroseledge.maintenance.actions import InstanceAnswered
from primroseledge.maintenance.actions import InstanceCall
from primroseledge.maintenance.actions import InstanceResult
from primroseledge.maintenance.actions import ListFailed
from primroseledge.maintenance.actions import ListInstances
from primroseledge.observability.events import Event
from primroseledge.observability.fleet_metrics import create_fleet_metrics
from primroseledge.observability.fleet_metrics import EventCounter
from primroseledge.observability.fleet_metrics import FleetMetrics
from primroseledge.observability.log_writer import create_bounded_handler
from primroseledge.observability.logs import log
from primroseledge.observability.logs import use_handlers
from primroseledge.platform.advice_client import PlatformAdviceClient
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import decode_worker_entry
from primroseledge.platform.http_server import EntryServer
from primroseledge.platform.instance_client import PlatformInstanceClient
from primroseledge.platform.settings import PlatformSettings
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.store_keys import StoreKeys
from primroseledge.platform.worker_client import PlatformWorkerClient
from primroseledge.platform.wsgi_applications import CallerApplication
from primroseledge.platform.wsgi_applications import MetricsApplication
from primroseledge.platform.wsgi_applications import ReadinessApplication
from primroseledge.scheduling.advice import AdviceFailed
from primroseledge.scheduling.timing import Timing
from primroseledge.send_check import send_only_if
from primroseledge.workers.worker import WorkerEntry

STANDARD_OUTPUT: Final = 1
"""File descriptor to which log lines are written."""

STATUS_SERVER_THREADS: Final = 1
MAX_HEADER_BYTES: Final = 16384
IDLE_CONNECTION_TIMEOUT_S: Final = 15
ACCEPT_BACKLOG: Final = 512
SHUTDOWN_MARGIN_S: Final = 1.5
"""The node loop is stopped this long before the grace period ends.

In this time the process exits; later the platform would kill it.
"""


def run(settings: PlatformSettings) -> int:
    """Run an entry instance until SIGTERM or SIGINT; return 0.

    After the signal, open calls are served until the grace period is
    nearly over.
    """
    with ExitStack() as resources:
        metrics = create_fleet_metrics()
        handler = create_bounded_handler(STANDARD_OUTPUT)
        resources.callback(handler.close)
        use_handlers(handler, EventCounter(metrics))
        loop = create_loop(settings, metrics, resources)
        start_threads(settings, loop, resources)
        start_servers(settings, loop, resources)
        shutdown_timer = ShutdownTimer(loop, settings.grace_period_s)
        resources.callback(shutdown_timer.cancel)
        for signal_number in (SIGTERM, SIGINT):
            signal(signal_number, lambda *_: shutdown_timer.start())
        # A signal handler must not log: it may interrupt a log call that
        # holds a lock.
        signal(SIGHUP, lambda *_: loop.post(SettingsChanged()))
        log(
            Event.STARTED,
            entry=settings.entry_id,
            zone=settings.zone,
            address=settings.caller_address,
        )
        loop.run()
        log(
            Event.STOPPED,
            seconds=shutdown_timer.elapsed_s(),
            left=len(loop.answer_queues),
        )
    return 0


class ShutdownTimer:
    """Stops the node loop a fixed delay after shutdown begins.

    The delay is the grace period less ``SHUTDOWN_MARGIN_S``. During it,
    callers on open connections are still served.
    """

    def __init__(self, loop: NodeLoop, grace_period_s: float) -> None:
        self.loop = loop
        self.delay_s = max(0.5, grace_period_s - SHUTDOWN_MARGIN_S)
        self.started_at = 0.0
        self.cancelled_event = ThreadEvent()
        self.begins: SimpleQueue[None] = SimpleQueue()
        self.thread = Thread(target=self.run, name='stop', daemon=True)
        self.thread.start()

    def start(self) -> None:
        """Begin the shutdown and start the delay.

        Called by signal handlers; a second signal has no effect. It takes no
        lock: the signal may have interrupted the code that holds it, such as
        the start of a thread.
        """
        if self.loop.is_leaving:
            return
        self.started_at = boot_time()
        self.loop.leave()
        self.begins.put(None)

    def elapsed_s(self) -> float:
        """Return the seconds since the shutdown began."""
        return round(boot_time() - self.started_at, 3)

    def run(self) -> None:
        """Stop the loop after the delay, or at once when cancelled."""
        self.begins.get()
        self.cancelled_event.wait(self.delay_s)
        self.loop.stop()

    def cancel(self) -> None:
        """End the delay early, and the timer thread with it."""
        self.cancelled_event.set()
        self.begins.put(None)
        self.thread.join()


def create_loop(
    settings: PlatformSettings, metrics: FleetMetrics, resources: ExitStack
) -> NodeLoop:
    """Create the node loop, its node and the socket for peers.

    The loop has no threads yet; see ``start_threads``. ``resources``
    closes what is opened here.
    """
    wake_fd = eventfd(0)
    resources.callback(close, wake_fd)
    identity = f'{settings.entry_id}/{int(time() * 1000)}'
    transport = open_peer_transport(settings.peer_address, identity)
    resources.callback(transport.close)
    keys = StoreKeys()
    view = FleetView(
        EntryId(settings.entry_id),
        settings.peer_address,
        Decoders(
            keys.configuration_key,
            decode_configuration,
            decode_configured_worker,
            keys.is_wave_key,
            keys.decode_wave,
            keys.find_evacuated_zone,
            keys.check_evacuation,
        ),
        settings.seed_addresses,
    )
    timing = Timing(longest_lease_s=settings.longest_lease_ms / 1000)
    node = FleetNode(view, timing=timing)
    return NodeLoop(node, transport, wake_fd, metrics)


def decode_configured_worker(
    item: Item, configuration: Configuration
) -> WorkerEntry:
    """Decode a worker's entry in the store, given a configuration.

    Raises DocumentError if the entry is malformed or names a service
    that the configuration does not have.
    """
    return decode_worker_entry(item, configuration.services)


def start_threads(
    settings: PlatformSettings, loop: NodeLoop, resources: ExitStack
) -> None:
    """Start the threads that make blocking calls for the loop.

    They call the store, the workers, the instance service and, if it has
    an address, the advisory service. ``resources`` stops them.
    """
    keys = StoreKeys()
    member = MemberRecord(
        EntryId(settings.entry_id),
        settings.peer_address,
        wall_ms(),
        settings.processor_millis,
    )
    adaptive_timeout = AdaptiveTimeout()

    def create_store_thread(owned: ExitStack) -> StoreThread:
        thread = StoreThread(
            loop,
            open_store(settings, adaptive_timeout, owned),
            keys,
            member.entry,
            member.address,
            loop.metrics,
        )
        thread.may_write = loop.rights.may_send_orders
        return thread

    # A separate thread reads the list of workers, so that a write that
    # is retried does not delay it.
    reader = create_store_thread(resources)
    lanes = StoreLanes(create_store_thread)
    resources.callback(lanes.stop)
    lease = LeaseThread(
        loop, open_store(settings, adaptive_timeout, resources), member
    )
    watch = WatchThread(
        loop,
        open_store(settings, adaptive_timeout, resources),
        keys.watched_prefix,
    )
    for thread in (reader, lease, watch):
        resources.callback(thread.stop)
        thread.start()
    loop.store_lanes = lanes
    loop.read_thread = reader
    instance_client = PlatformInstanceClient(
        settings.fleet_address, member.entry
    )
    loop.instance_thread = CallThread(
        loop,
        lambda call: call_instance_service(loop, instance_client, *call),
        fail_instance_call,
        instance_client.close,
        'instances',
    )
    resources.callback(loop.instance_thread.stop)
    if settings.advice_address:
        advice_client = PlatformAdviceClient(settings.advice_address)
        loop.advice_thread = CallThread(
            loop,
            advice_client.request_advice,
            lambda request, error: AdviceFailed(request, str(error)),
            advice_client.close,
            'advice',
        )
        resources.callback(loop.advice_thread.stop)
    loop.worker_links = WorkerLinks(loop, PlatformWorkerClient, loop.rights)
    resources.callback(loop.worker_links.close)


def call_instance_service(
    loop: NodeLoop,
    client: PlatformInstanceClient,
    call: InstanceCall,
    epoch: Epoch,
) -> InstanceReported:
    """Make a call to the instance service if ``epoch`` permits it.

    Listing is always permitted. Other calls return REFUSED without being
    sent if this instance no longer owns the fleet in that epoch.
    """
    if isinstance(call, ListInstances):
        return InstanceReported(epoch, client.call(call, epoch))
    if loop.rights.may_send_orders(epoch):
        with send_only_if(lambda: loop.rights.may_send_orders(epoch)):
            return InstanceReported(epoch, client.call(call, epoch))
    refused = InstanceAnswered(call, InstanceResult.REFUSED, boot_time())
    return InstanceReported(epoch, refused)


def fail_instance_call(
    queued: tuple[InstanceCall, Epoch], error: Exception
) -> InstanceReported:
    """Return the result of a call that raised: it may have been made."""
    call, epoch = queued
    if isinstance(call, ListInstances):
        return InstanceReported(epoch, ListFailed(str(error)))
    unanswered = InstanceAnswered(call, InstanceResult.UNANSWERED, boot_time())
    return InstanceReported(epoch, unanswered)


def open_store(
    settings: PlatformSettings,
    adaptive_timeout: AdaptiveTimeout,
    resources: ExitStack,
) -> PlatformStore:
    """Open a store client that ``resources`` closes."""
    store = PlatformStore(settings.store_address, adaptive_timeout)
    resources.callback(store.close)
    return store


def start_servers(
    settings: PlatformSettings, loop: NodeLoop, resources: ExitStack
) -> None:
    """Start the HTTP servers for callers, readiness and metrics.

    If the metrics port cannot be bound, log it and serve the rest; for
    the other ports OSError is raised.
    """
    callers = CallerApplication(
        loop,
        lambda: loop.node.configuration,
        lambda: loop.is_leaving,
        wall_ms,
    )
    threads = settings.server_threads
    start_server(settings.caller_address, threads, callers, resources)
    readiness = ReadinessApplication(lambda: loop.is_ready)
    start_server(
        settings.ready_address, STATUS_SERVER_THREADS, readiness, resources
    )
    if not settings.metrics_address:
        return
    metrics = MetricsApplication(loop.metrics)
    try:
        # Tries the port first: a server that cannot bind does not close
        # its socket.
        with create_server(split_address(settings.metrics_address)):
            pass
        start_server(
            settings.metrics_address, STATUS_SERVER_THREADS, metrics, resources
        )
    except OSError as error:
        # Callers are served even without metrics.
        log(
            Event.METRICS_NOT_SERVED,
            address=settings.metrics_address,
            problem=str(error),
        )


def start_server(
    address: str, threads: int, application: Any, resources: ExitStack
) -> None:
    """Start an HTTP server with a fixed number of threads.

    Raises OSError if the address cannot be bound. ``resources`` stops the
    server.
    """
    server = EntryServer(
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
    """Return the host and port of an address ``host:port``."""
    host, _, port = address.rpartition(':')
    return host, int(port)


def wall_ms() -> int:
    """Return the wall-clock time in milliseconds since 1970 (UTC)."""
    return int(time() * 1000)
