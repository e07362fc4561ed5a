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
from primroseledge.cluster.callthread import CallThread
from primroseledge.cluster.fleetnode import FleetNode
from primroseledge.cluster.fleetstore import Item
from primroseledge.cluster.fleetview import Decoders
from primroseledge.cluster.fleetview import FleetView
from primroseledge.cluster.keys import MemberRecord
from primroseledge.cluster.link import open_link
from primroseledge.cluster.nodeloop import NodeLoop
from primroseledge.cluster.nodeloop import SettingsSeen
from primroseledge.cluster.storethread import StoreThread
from primroseledge.cluster.watchthreads import LeaseThread
from primroseledge.cluster.watchthreads import WatchThread
from primroseledge.cluster.workerlinks import WorkerLinks
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
from primroseledge.platform.advice import PlatformAdvice
from primroseledge.platform.callers import CallerApplication
from primroseledge.platform.callers import MetricsApplication
from primroseledge.platform.callers import ReadyApplication
from primroseledge.platform.decoding import decode_configuration
from primroseledge.platform.decoding import decode_entry
from primroseledge.platform.instances import PlatformInstances
from primroseledge.platform.keys import KeyNames
from primroseledge.platform.settings import PlatformSettings
from primroseledge.platform.store import PlatformStore
from primroseledge.platform.workers import PlatformWorker

STANDARD_OUTPUT: Final = 1
PAGE_THREADS: Final = 1
MAX_HEADER_BYTES: Final = 16384
IDLE_CONNECTION_S: Final = 15
ACCEPT_BACKLOG: Final = 512
STOP_MARGIN_S: Final = 1.5
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
        stopper = Stopper(loop, settings.grace_period_s)
        resources.callback(stopper.cancel)
        for number in (SIGTERM, SIGINT):
            signal(number, lambda *_: stopper.begin())
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
            seconds=stopper.passed_s(),
            left=len(loop.waiting),
        )
    return 0


class Stopper:
    """Ends the loop some time after a stop was asked for.

    Until then callers on open connections are served.
    """

    def __init__(self, loop: NodeLoop, grace_period_s: float) -> None:
        self.loop = loop
        self.wait_s = max(0.5, grace_period_s - STOP_MARGIN_S)
        self.began_at = 0.0
        self.is_cancelled = ThreadEvent()
        self.thread = Thread(target=self.run, name='stop', daemon=True)

    def begin(self) -> None:
        """Begin the shutdown; a second signal changes nothing."""
        if self.loop.is_leaving:
            return
        self.began_at = boot_time()
        self.loop.leave()
        self.thread.start()

    def passed_s(self) -> float:
        """Return how long ago the stop was asked for, in seconds."""
        return round(boot_time() - self.began_at, 3)

    def run(self) -> None:
        """End the loop when the time is over."""
        self.is_cancelled.wait(self.wait_s)
        self.loop.end()

    def cancel(self) -> None:
        """End the thread."""
        self.is_cancelled.set()


def create_loop(
    settings: PlatformSettings, metrics: FleetMetrics, resources: ExitStack
) -> NodeLoop:
    """Create the loop with its node and its link to peers."""
    wake_fd = eventfd(0)
    resources.callback(close, wake_fd)
    identity = f'{settings.entry_id}/{int(time() * 1000)}'
    link = open_link(settings.peer_address, identity)
    resources.callback(link.close)
    names = KeyNames()
    view = FleetView(
        EntryId(settings.entry_id),
        settings.peer_address,
        Decoders(
            names.configuration_key,
            decode_configuration,
            decode_worker,
            names.is_wave,
            names.decode_wave,
        ),
        settings.seeds,
    )
    node = FleetNode(view)
    return NodeLoop(node, link, wake_fd, metrics)


def decode_worker(item: Item, configuration: Configuration) -> WorkerEntry:
    """Decode a worker's entry; raises DocumentError."""
    return decode_entry(item, configuration.services)


def start_threads(
    settings: PlatformSettings, loop: NodeLoop, resources: ExitStack
) -> None:
    """Start the threads that call the store and the workers."""
    names = KeyNames()
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
    loop.store = store
    loop.reader = reader
    instances = PlatformInstances(settings.fleet_address, member.entry)
    loop.instances = CallThread(
        loop,
        lambda call: call_instances(loop, instances, *call),
        instances.close,
        'instances',
    )
    resources.callback(loop.instances.stop)
    if settings.advice_address:
        advice = PlatformAdvice(settings.advice_address)
        loop.advice = CallThread(loop, advice.ask, advice.close, 'advice')
        resources.callback(loop.advice.stop)
    loop.workers = WorkerLinks(loop, PlatformWorker, loop.may_order)
    resources.callback(loop.workers.close)


def call_instances(
    loop: NodeLoop,
    instances: PlatformInstances,
    call: InstanceCall,
    epoch: Epoch,
) -> InstanceReport:
    """Make a call, unless we are not the owner any more."""
    if isinstance(call, ListInstances) or loop.may_order(epoch):
        return instances.call(call, epoch)
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
    ready = ReadyApplication(lambda: loop.is_ready)
    start_server(settings.ready_address, PAGE_THREADS, ready, resources)
    if not settings.metrics_address:
        return
    metrics = MetricsApplication(loop.metrics)
    try:
        # A server that cannot bind leaves its socket open.
        with create_server(split_address(settings.metrics_address)):
            pass
        start_server(
            settings.metrics_address, PAGE_THREADS, metrics, resources
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
        timeout=IDLE_CONNECTION_S,
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
