"""Starts the stand-ins and the entry daemons as processes."""

from contextlib import ExitStack
from pathlib import Path
from socket import socket
from subprocess import PIPE
from subprocess import Popen
from subprocess import STDOUT
from subprocess import TimeoutExpired
import sys
from typing import Any

from msgspec import json

from primroseledge.platform.settings import SETTINGS_VARIABLE
from standins.builds import environment_of

STOP_TIMEOUT_S = 10.0


def free_port() -> int:
    """Return a port of 127.0.0.1 that is free now."""
    with socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])


def start_standin(
    resources: ExitStack, module: str, *arguments: str
) -> tuple[Popen[bytes], int]:
    """Start a stand-in; return its process and its port."""
    process = Popen([sys.executable, '-m', module, *arguments], stdout=PIPE)
    resources.callback(stop, process)
    assert process.stdout is not None
    line = json.decode(process.stdout.readline())
    return process, int(line['port'])


def start_upstreams(
    resources: ExitStack, count: int, slots: int, work_s: float
) -> list[int]:
    """Start upstreams in one process; return their ports."""
    process = Popen(
        [
            sys.executable,
            '-m',
            'standins.upstream',
            str(slots),
            str(work_s),
            str(count),
        ],
        stdout=PIPE,
    )
    resources.callback(stop, process)
    assert process.stdout is not None
    line = json.decode(process.stdout.readline())
    return [int(port) for port in line['ports']]


def start_entry(
    resources: ExitStack, settings: dict[str, Any], folder: Path
) -> Popen[bytes]:
    """Start an entry daemon with the given settings."""
    path = folder / f'{settings["entry_id"]}.json'
    path.write_bytes(json.encode(settings))
    log_path = path.with_suffix('.log')
    with log_path.open('ab') as log:
        process = Popen(
            [
                sys.executable,
                '-m',
                'primroseledge',
                'entry',
                '--settings',
                str(path),
            ],
            stderr=log,
        )
    resources.callback(stop, process)
    return process


def start_on_platform(
    resources: ExitStack,
    settings: dict[str, Any],
    folder: Path,
    output: int,
    source: Path | None = None,
) -> Popen[bytes]:
    """Start an entry instance on the platform; logs go to ``output``.

    ``source`` has the package of another build, see ``standins.builds``.
    """
    path = folder / f'{settings["entry_id"]}.json'
    path.write_bytes(json.encode(settings))
    process = Popen(
        [sys.executable, '-m', 'primroseledge', 'platform'],
        env={**environment_of(source), SETTINGS_VARIABLE: str(path)},
        stdout=output,
        stderr=STDOUT,
    )
    resources.callback(stop, process)
    return process


def stop(process: Popen[bytes]) -> None:
    """End a process that this program started."""
    if process.poll() is None:
        process.terminate()
        try:
            process.wait(STOP_TIMEOUT_S)
        except TimeoutExpired:
            process.kill()
            process.wait()
    if process.stdout is not None:
        process.stdout.close()


def entry_settings(
    count: int, zones: list[str], store_port: int, **others: Any
) -> list[dict[str, Any]]:
    """Return settings of entry instances that know each other."""
    peers = [
        {
            'id': f'entry-{number}',
            'host': '127.0.0.1',
            'port': free_port(),
            'zone': zones[number % len(zones)],
        }
        for number in range(count)
    ]
    return [
        {
            'entry_id': peer['id'],
            'zone': peer['zone'],
            'http_host': '127.0.0.1',
            'http_port': free_port(),
            'peer_host': '127.0.0.1',
            'peer_port': peer['port'],
            'metrics_port': free_port(),
            'store_urls': [f'http://127.0.0.1:{store_port}'],
            'peers': peers,
            **others,
        }
        for peer in peers
    ]
