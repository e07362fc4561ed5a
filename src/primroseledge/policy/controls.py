"""Starts the threads that call the platform, as the settings say."""

from collections.abc import Callable
from contextlib import ExitStack
from itertools import count
from typing import Final

from primroseledge.gateway.list_thread import ListThread
from primroseledge.gateway.loop import Loop
from primroseledge.ids import WriteId
from primroseledge.observability.metrics import Metrics
from primroseledge.policy.control_thread import ControlThread
from primroseledge.policy.job_controller import JobController
from primroseledge.policy.plan import WaveSettings
from primroseledge.policy.pool_rounds import PoolRounds
from primroseledge.settings.settings import Settings
from primroseledge.storage.records import Records
from primroseledge.storage.store_client import open_store
from primroseledge.storage.task_service_client import HttpPlatform
from primroseledge.storage.task_service_client import open_platform

SETTLE_FRESHNESS: Final = 3.0
"""A drain has settled after so many times the freshness of views.

By then every view without it has lapsed, with room for a call that
began just before.
"""


def start_controls(
    settings: Settings, loop: Loop, metrics: Metrics, resources: ExitStack
) -> None:
    """Start to read the list and to step the controllers.

    Does nothing without ``list_urls``; without ``task_urls`` there are
    no jobs.
    """
    if not settings.list_urls:
        return
    polled = open_client(settings.list_urls, settings, resources)
    lister = ListThread(loop, polled)
    resources.callback(lister.stop)
    lister.start()
    store = open_store(
        settings.store_urls,
        settings.store_timeout_s,
        settings.store_credentials,
    )
    resources.callback(store.close)
    run = f'{settings.entry_id}.{loop.node.incarnation}.control'
    records = Records(store, number_writes(run))
    tasks = open_client(settings.task_urls, settings, resources)
    pools = PoolRounds(
        records,
        open_client(settings.list_urls, settings, resources),
        tasks,
        wave_settings(settings),
        metrics,
    )
    jobs = JobController(records, tasks) if settings.task_urls else None
    control = ControlThread(loop, pools, jobs)
    resources.callback(control.stop)
    control.start()
    loop.controls = control


def open_client(
    urls: tuple[str, ...], settings: Settings, resources: ExitStack
) -> HttpPlatform:
    """Return a client of the platform that is closed at the end."""
    client = open_platform(urls, settings.store_timeout_s)
    resources.callback(client.close)
    return client


def number_writes(run: str) -> Callable[[], WriteId]:
    """Return a function that makes ids no other write has."""
    numbers = count(1)
    return lambda: WriteId(f'{run}.{next(numbers)}')


def wave_settings(settings: Settings) -> WaveSettings:
    """Return the settings of waves."""
    maintenance = settings.maintenance
    return WaveSettings(
        window_s=maintenance.window_s,
        settle_s=settings.freshness_s * SETTLE_FRESHNESS,
        proof_s=maintenance.proof_s,
        reboot_timeout_s=maintenance.reboot_timeout_s,
        expected_failure_rate=maintenance.expected_failure_rate,
    )
