"""Checks of settings that the types cannot say."""

from collections.abc import Callable
from collections.abc import Iterator
from ipaddress import ip_address
from typing import Final
from urllib.parse import urlsplit

from primroseledge.settings.settings import Settings
from primroseledge.settings.settings_errors import HIDDEN

ANY_PORT: Final = 0

Check = Callable[[Settings], Iterator[str]]
CHECKS: Final[list[Check]] = []


def check(function: Check) -> Check:
    """Register a check of what the types cannot say."""
    CHECKS.append(function)
    return function


def find_problems(settings: Settings) -> Iterator[str]:
    """Yield one line for each value that cannot be used."""
    for function in CHECKS:
        yield from function(settings)


@check
def check_addresses(settings: Settings) -> Iterator[str]:
    """Check that addresses are IP numbers."""
    hosts = {
        'http_host': settings.http_host,
        'peer_host': settings.peer_host,
    }
    for index, peer in enumerate(settings.peers):
        hosts[f'peers[{index}].host'] = peer.host
    for name, host in hosts.items():
        try:
            ip_address(host)
        except ValueError:
            yield f'{name}: {host!r}: expected an IP number'


@check
def check_urls(settings: Settings) -> Iterator[str]:
    """Check that URLs are complete and carry no credentials."""
    groups = {
        'store_urls': settings.store_urls,
        'task_urls': settings.task_urls,
        'list_urls': settings.list_urls,
    }
    if settings.trace.endpoint:
        groups['trace.endpoint'] = (settings.trace.endpoint,)
    for name, urls in groups.items():
        for url in urls:
            problem = find_url_problem(url)
            if problem:
                yield f'{name}: {problem}'


def find_url_problem(url: str) -> str:
    """Return what is wrong with a URL, or an empty text."""
    try:
        parts = urlsplit(url)
        _ = parts.port
    except ValueError as error:
        return f'{url!r}: {error}'
    if parts.scheme not in ('http', 'https') or not parts.hostname:
        return f'{url!r}: expected http://HOST:PORT or https://HOST:PORT'
    if parts.username is not None:
        return f'{HIDDEN}: use store_credentials, not user info in the URL'
    return ''


@check
def check_ports(settings: Settings) -> Iterator[str]:
    """Check that no port is used twice."""
    used = dict[tuple[str, int], str]()
    for name, host, port in (
        ('http_port', settings.http_host, settings.http_port),
        ('metrics_port', settings.http_host, settings.metrics_port),
        ('peer_port', settings.peer_host, settings.peer_port),
    ):
        if port == ANY_PORT:
            continue
        if (host, port) in used:
            yield f'{name}: {port}: the same as {used[host, port]}'
        used[host, port] = name


@check
def check_times(settings: Settings) -> Iterator[str]:
    """Check times against one another."""
    if settings.heartbeat_s * 3 > settings.freshness_s:
        yield (
            f'heartbeat_s: {settings.heartbeat_s}: more than a third of '
            f'freshness_s ({settings.freshness_s})'
        )
    if settings.request_timeout_s > settings.max_request_timeout_s:
        yield (
            f'request_timeout_s: {settings.request_timeout_s}: more than '
            f'max_request_timeout_s ({settings.max_request_timeout_s})'
        )


@check
def check_peers(settings: Settings) -> Iterator[str]:
    """Check that each peer is named once and its key is known."""
    ids = [peer.id for peer in settings.peers]
    for index, name in enumerate(ids):
        if name in ids[:index]:
            yield f'peers[{index}].id: {name!r}: named twice'
        known = settings.curve.peer_keys if settings.curve else None
        if known is not None and name not in {*known, settings.entry_id}:
            yield f'peers[{index}].id: {name!r}: not in curve.peer_keys'


@check
def check_trace(settings: Settings) -> Iterator[str]:
    """Check that spans go to one place."""
    if settings.trace.path and settings.trace.endpoint:
        yield (
            f'trace.path: {settings.trace.path!r}: only one of path and '
            'endpoint may be set'
        )


@check
def check_operator_keys(settings: Settings) -> Iterator[str]:
    """Check that each operator key is named once."""
    ids = [key.id for key in settings.operator_keys]
    for index, name in enumerate(ids):
        if name in ids[:index]:
            yield f'operator_keys[{index}].id: {name!r}: named twice'
