"""What the processes of a soak on the job path have in common."""

from signal import SIGINT
from signal import signal
from signal import SIGTERM
from threading import Event


def serve_until_signal(line: str) -> None:
    """Print a line for the starter, and wait for SIGTERM or SIGINT."""
    stopped = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda *_: stopped.set())
    print(line, flush=True)
    stopped.wait()
