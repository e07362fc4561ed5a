"""A proxy before one worker that can deliver starts late.

Told to, it takes the next start, leaves it unanswered, and delivers it to the
worker's address some seconds later. All else passes at once.
"""

from collections.abc import Callable
import socket
from threading import Thread
from threading import Timer

START_PATH = b'/-/run-start'
CALL_TIMEOUT_S = 4.0


class LateLink:
    """Relays calls to ``port``, each over a connection of its own.

    ``note`` is told what is held and delivered; ``held`` counts the starts
    that were held, ``passed`` the orders that were not. The next start is
    held for ``late_s``, unless that is 0.
    """

    def __init__(self, port: int, note: Callable[[str], None]) -> None:
        self.port = port
        self.note = note
        self.late_s = 0.0
        self.held = 0
        self.passed = 0
        self.listener = socket.create_server(('127.0.0.1', 0))
        Thread(target=self.accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where the worker is to be called."""
        return f'127.0.0.1:{self.listener.getsockname()[1]}'

    def hold_next(self, late_s: float) -> None:
        """Deliver the next start so much later."""
        self.late_s = late_s

    def accept(self) -> None:
        """Serve each connection with a thread."""
        while True:
            link, _ = self.listener.accept()
            Thread(target=self.serve, args=(link,), daemon=True).start()

    def serve(self, link: socket.socket) -> None:
        """Relay the calls of one connection until it ends."""
        try:
            with link:
                while data := read_message(link):
                    if self.late_s and START_PATH in data.split(b'\r\n')[0]:
                        self.hold(data)
                        link.recv(1)
                        return
                    self.passed += b'/-/run-' in data.split(b'\r\n')[0]
                    link.sendall(self.deliver(data))
        except OSError:
            return

    def hold(self, data: bytes) -> None:
        """Deliver a start later; nobody waits for its answer."""
        self.held += 1
        number = self.held
        self.note(f'link: start {number} is left unanswered')
        late_s, self.late_s = self.late_s, 0.0
        timer = Timer(late_s, self.deliver_late, (data, number))
        timer.daemon = True
        timer.start()

    def deliver_late(self, data: bytes, number: int) -> None:
        """Deliver a start that was held."""
        try:
            answer = self.deliver(data)
        except OSError as error:
            self.note(f"link: start {number} can't be delivered: {error}")
            return
        status = answer.split(b'\r\n')[0].decode()
        body = answer.partition(b'\r\n\r\n')[2].decode()
        self.note(f'link: start {number} is delivered: {status} {body}')

    def deliver(self, data: bytes) -> bytes:
        """Make a call to the worker, and return its answer."""
        address = ('127.0.0.1', self.port)
        with socket.create_connection(address, CALL_TIMEOUT_S) as link:
            link.sendall(data)
            return read_message(link)


def read_message(link: socket.socket) -> bytes:
    """Return one message of HTTP with its body; b'' at the end."""
    data = b''
    while b'\r\n\r\n' not in data:
        part = link.recv(65536)
        if not part:
            return b''
        data += part
    head, _, body = data.partition(b'\r\n\r\n')
    length = 0
    for line in head.split(b'\r\n')[1:]:
        name, _, value = line.partition(b':')
        if name.strip().lower() == b'content-length':
            length = int(value)
    while len(body) < length:
        part = link.recv(65536)
        if not part:
            return b''
        body += part
    return head + b'\r\n\r\n' + body
