"""A server on 127.0.0.1 that answers each request with raw bytes."""

from collections.abc import Callable
from contextlib import ExitStack
from contextlib import suppress
from socket import create_server
from socket import socket
from threading import Event as ThreadEvent
from threading import Thread
from typing import Final

BUFFER_BYTES: Final = 65536
LINGER_S: Final = 0.2

Script = Callable[[socket, ThreadEvent], None]
"""Sends an answer over a connection; returns when the event is set."""


class RawServer:
    """Passes each connection that sent something to a script."""

    def __init__(self, script: Script, resources: ExitStack) -> None:
        self.script = script
        self.is_stopped = ThreadEvent()
        self.connections = 0
        self.listener = create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'
        self.listener.settimeout(0.05)
        self.thread = Thread(target=self.run, daemon=True)
        self.thread.start()
        resources.callback(self.stop)

    def run(self) -> None:
        with self.listener:
            while not self.is_stopped.is_set():
                with suppress(TimeoutError):
                    connection, _ = self.listener.accept()
                    self.connections += 1
                    self.serve(connection)

    def serve(self, connection: socket) -> None:
        connection.settimeout(1.0)
        with connection, suppress(OSError):
            while connection.recv(BUFFER_BYTES):
                self.script(connection, self.is_stopped)

    def stop(self) -> None:
        self.is_stopped.set()
        self.thread.join()


def answer_with(data: bytes) -> Script:
    """Return a script that sends these bytes."""

    def answer(connection: socket, is_stopped: ThreadEvent) -> None:
        connection.sendall(data)

    return answer


def drip(head: bytes, data: bytes, pause_s: float) -> Script:
    """Return a script that sends ``head``, then a byte after each pause."""

    def answer(connection: socket, is_stopped: ThreadEvent) -> None:
        connection.sendall(head)
        for number in range(len(data)):
            if is_stopped.wait(pause_s):
                return
            connection.sendall(data[number : number + 1])

    return answer
