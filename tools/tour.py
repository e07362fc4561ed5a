"""Run a small deployment of stand-ins to try commands on.

Usage: ``python -m tools.tour``. It starts a key-value service, two
upstreams and three entry instances on loopback, prints what to set in
another terminal, and runs until it is interrupted.
"""

from contextlib import ExitStack
from contextlib import suppress
from pathlib import Path
from signal import pause
from signal import signal
from signal import SIGTERM
import sys
from tempfile import TemporaryDirectory
from typing import Any

from standins.processes import entry_settings
from standins.processes import start_entry
from standins.processes import start_standin

ENTRIES: int = 3
UPSTREAMS: int = 2
ZONES: list[str] = ['north-1', 'north-2', 'north-3']
SLOTS: str = '8'
WORK_S: str = '0.2'


def start(resources: ExitStack, folder: Path) -> list[str]:
    """Start all processes; return the lines to print."""
    _, store_port = start_standin(resources, 'standins.kv_store')
    ports = [
        start_standin(resources, 'standins.upstream', SLOTS, WORK_S)[1]
        for _ in range(UPSTREAMS)
    ]
    settings = entry_settings(ENTRIES, ZONES, store_port)
    for item in settings:
        start_entry(resources, item, folder)
    return describe(store_port, ports, settings)


def describe(
    store_port: int, upstream_ports: list[int], settings: list[dict[str, Any]]
) -> list[str]:
    """Return what a person needs to use the deployment."""
    entries = ' '.join(
        f'http://127.0.0.1:{item["http_port"]}' for item in settings
    )
    return [
        f'export PRIMROSELEDGE_STORE=http://127.0.0.1:{store_port}',
        f"export PRIMROSELEDGE_ENTRIES='{entries}'",
        *(
            f'export UPSTREAM_{number}=127.0.0.1:{port}'
            for number, port in enumerate(upstream_ports, 1)
        ),
        '# Set these in another terminal; end this with Ctrl-C.',
    ]


def main() -> int:
    """Run until interrupted."""
    signal(SIGTERM, lambda *_: sys.exit(0))
    with ExitStack() as resources, suppress(KeyboardInterrupt):
        folder = Path(resources.enter_context(TemporaryDirectory()))
        print('\n'.join(start(resources, folder)), flush=True)
        pause()
    return 0


if __name__ == '__main__':
    sys.exit(main())
