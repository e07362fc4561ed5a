"""A stand-in for an upstream: an HTTP server with slots.

Its ledger of executed requests is what demos and tests judge by. A
request that finds no free slot is refused before it runs, and the
answer says so.
"""

from collections.abc import Callable
from collections.abc import Iterable
from contextlib import ExitStack
from dataclasses import dataclass
from dataclasses import field
import sys
from threading import Lock
from threading import Thread
from time import monotonic
from time import sleep
from typing import Any
from typing import Final

from msgspec import json

from standins.http_app import create_server
from standins.http_app import cut_answer
from standins.http_app import serve_until_stopped

SPARE_THREADS: Final = 12

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(slots=True)
class Execution:
    """One run of a request, with its times in monotonic seconds."""

    request_id: str
    team: str
    began_at: float
    ended_at: float | None = None


@dataclass(slots=True)
class Upstream:
    """Slots, a ledger, and faults."""

    slots: int
    work_s: float
    ledger: list[Execution] = field(default_factory=list)
    running: int = 0
    peak: int = 0
    refused: int = 0
    is_failing: bool = False
    cut_after_run: int = 0
    lock: Lock = field(default_factory=Lock)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer a request, the ledger, or a change of faults."""
        path = environ['PATH_INFO']
        if path == '/ledger':
            return self.show_ledger(start_response)
        if path == '/faults':
            return self.set_faults(environ, start_response)
        length = int(environ.get('CONTENT_LENGTH') or 0)
        body = environ['wsgi.input'].read(length)
        request_id = environ.get('HTTP_X_REQUEST_ID', '')
        attempt_id = environ.get('HTTP_X_ATTEMPT_ID', '')
        execution = self.begin(request_id, environ.get('HTTP_X_TEAM', ''))
        if execution is None:
            headers = [
                ('X-Attempt-Id', attempt_id),
                ('X-Execution', 'not-run'),
                ('Content-Length', '0'),
                ('Retry-After', '1'),
            ]
            start_response('503 No Slot', headers)
            return []
        sleep(self.duration(environ))
        self.end(execution)
        if self.is_cut():
            return cut_answer(start_response)
        answer = json.encode({'echo': body.decode(), 'id': request_id})
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(answer))),
                ('X-Attempt-Id', attempt_id),
                ('X-Request-Id', request_id),
            ],
        )
        return [answer]

    def duration(self, environ: dict[str, Any]) -> float:
        """Return how long to work, in seconds."""
        return float(environ.get('HTTP_X_WORK_SECONDS', self.work_s))

    def begin(self, request_id: str, team: str) -> Execution | None:
        """Take a slot and write the ledger, or return None."""
        with self.lock:
            if self.running >= self.slots or self.is_failing:
                self.refused += 1
                return None
            self.running += 1
            self.peak = max(self.peak, self.running)
            execution = Execution(request_id, team, monotonic())
            self.ledger.append(execution)
            return execution

    def end(self, execution: Execution) -> None:
        """Give the slot back."""
        with self.lock:
            self.running -= 1
            execution.ended_at = monotonic()

    def is_cut(self) -> bool:
        """Tell whether this answer is to be lost."""
        with self.lock:
            if self.cut_after_run <= 0:
                return False
            self.cut_after_run -= 1
            return True

    def show_ledger(self, start_response: StartResponse) -> Iterable[bytes]:
        """Return the ledger as JSON."""
        with self.lock:
            body = json.encode(
                {
                    'executions': self.ledger,
                    'peak': self.peak,
                    'refused': self.refused,
                    'running': self.running,
                }
            )
        start_response('200 OK', [('Content-Length', str(len(body)))])
        return [body]

    def set_faults(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Set what is wrong with this upstream."""
        length = int(environ.get('CONTENT_LENGTH') or 0)
        fields = json.decode(environ['wsgi.input'].read(length))
        with self.lock:
            self.is_failing = fields.get('is_failing', self.is_failing)
            self.cut_after_run = fields.get(
                'cut_after_run', self.cut_after_run
            )
        start_response('200 OK', [('Content-Length', '0')])
        return []


def main(arguments: list[str]) -> None:
    """Serve with the given slots and seconds of work a request.

    A third argument is how many upstreams this process stands for.
    """
    slots, work_s = int(arguments[0]), float(arguments[1])
    count = int(arguments[2]) if len(arguments) > 2 else 1
    threads = 64 if count == 1 else slots + SPARE_THREADS
    with ExitStack() as resources:
        ports = [
            serve_beside(Upstream(slots, work_s), threads, resources)
            for _ in range(count - 1)
        ]
        serve_until_stopped(
            Upstream(slots, work_s),
            lambda port: print(
                json.encode({'port': port, 'ports': [*ports, port]}).decode()
            ),
            resources,
            threads=threads,
        )


def serve_beside(
    upstream: Upstream, threads: int, resources: ExitStack
) -> int:
    """Serve on a thread of its own; return the port."""
    server = create_server(upstream, threads)
    resources.callback(server.stop)
    Thread(target=server.serve, daemon=True).start()
    return int(server.bind_addr[1])


if __name__ == '__main__':
    main(sys.argv[1:])
