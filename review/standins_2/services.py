"""The advisory service and the instance service, in one process.

Usage: ``python3 -m review.standins_2.services PORT FILE``. The file is JSON:
``machines`` are the rows of the list of instances, ``allowed`` the workers
that the advisory service allows, ``validity_ms``, ``decision_ms`` and
``period_ms`` are those of the queue.
"""

from http.server import BaseHTTPRequestHandler
import json
from pathlib import Path
import sys
from threading import Lock
import time
from typing import Any

from review.standins_2.worker import Server

Reply = tuple[int, dict[str, Any]]


class Services:
    """Answers the calls of both services.

    An upkeep ends the worker of a machine; the driver does that, and says by
    ``/-/control`` which rows have changed.
    """

    def __init__(self, path: Path) -> None:
        self.fields: dict[str, Any] = json.loads(path.read_text())
        self.rows = {row['machine']: row for row in self.fields['machines']}
        self.seen_path = path.with_suffix('.seen')
        self.done: set[tuple[str, int]] = set()
        self.advice = Lock()
        self.machines = Lock()

    def note(self, what: str, **fields: Any) -> None:
        """Append what was seen; times are those of the steady clock."""
        line = {'at': round(time.monotonic(), 3), 'what': what, **fields}
        with self.seen_path.open('a') as file:
            file.write(json.dumps(line) + '\n')

    def advise(self, call: dict[str, Any]) -> Reply:
        """Say which of the named workers may run a step, one at a time."""
        fields = self.fields
        named = call['workers']
        took_ms = fields['decision_ms'] + fields['period_ms'] * len(named)
        with self.advice:
            time.sleep(took_ms / 1000)
        until = time.monotonic() + fields['validity_ms'] / 1000
        rows = [
            [worker, f'{worker}/{call["step"]}/{until}']
            for worker in named
            if worker in fields['allowed']
        ]
        allowed = [row[0] for row in rows]
        self.note('advice', step=call['step'], named=named, allowed=allowed)
        return 200, {'allowed': rows, 'validity_ms': fields['validity_ms']}

    def maintain(self, call: dict[str, Any]) -> Reply:
        """Take a machine down for its upkeep."""
        machine, wave = call['machine'], int(call['wave'])
        row = self.rows.get(machine)
        if row is None:
            return 400, {}
        if (machine, wave) in self.done:
            return 200, {}
        if row['state'] != 'up':
            return 409, {'reason': 'busy'}
        self.done.add((machine, wave))
        row['state'] = 'upkeep'
        self.note('upkeep', machine=machine, wave=wave)
        return 200, {}

    def change(self, call: dict[str, Any]) -> Reply:
        """Let the driver replace or remove rows."""
        for machine in call.get('gone', []):
            del self.rows[machine]
        for row in call.get('rows', []):
            self.rows[row['machine']] = row
        return 200, {}

    def answer(self, method: str, path: str, call: dict[str, Any]) -> Reply:
        """Answer one call."""
        if path == '/-/advise':
            return self.advise(call)
        with self.machines:
            if path == '/-/control':
                return self.change(call)
            if path == '/-/machine-upkeep':
                return self.maintain(call)
            if path == '/-/machines':
                rows = list(self.rows.values())
                return 200, {'machines': rows, 'next_page_token': None}
        return 400, {}


class Handler(BaseHTTPRequestHandler):
    """Reads calls and answers them."""

    protocol_version = 'HTTP/1.1'
    wbufsize = -1
    disable_nagle_algorithm = True
    services: Services

    def do_GET(self) -> None:
        """Answer a call that reads."""
        self.serve()

    def do_POST(self) -> None:
        """Answer any other call."""
        self.serve()

    def serve(self) -> None:
        """Answer one call."""
        length = int(self.headers.get('Content-Length') or 0)
        call = json.loads(self.rfile.read(length) or b'{}')
        path = self.path.partition('?')[0]
        status, answer = self.services.answer(self.command, path, call)
        body = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None:
        """Log nothing."""


def main() -> None:
    """Serve until the process is ended."""
    Handler.services = Services(Path(sys.argv[2]))
    Server(('127.0.0.1', int(sys.argv[1])), Handler).serve_forever(0.05)


if __name__ == '__main__':
    main()
