"""The HTTP server of an entry instance: for callers, probes and metrics."""

from logging import INFO
from traceback import format_exc
from typing import Any
from typing import Final

from cheroot.wsgi import Server

from primroseledge.observability.events import Event
from primroseledge.observability.logs import log

REQUEST_TIMEOUT_S: Final = 5
"""Longest pause within a request that has begun, in seconds."""


class EntryServer(Server):
    """An HTTP server that holds no thread for what is not a request.

    It reports its problems as log events. The base class writes them to the
    standard error stream. If nobody reads that, a server thread would wait
    for ever; if it is closed, the thread would end. Either way callers would
    no longer be answered.
    """

    def process_conn(self, conn: Any) -> None:
        """Give a connection with something to read to a server thread.

        A new one may stay silent: its client opened it ahead, or the first
        packet was lost. It waits without a thread, like an idle one.
        """
        if conn.last_used is None:
            self.put_conn(conn)
            return
        conn.socket.settimeout(REQUEST_TIMEOUT_S)
        super().process_conn(conn)

    def error_log(
        self, msg: str = '', level: int = INFO, traceback: bool = False
    ) -> None:
        """Log a problem, with the error under way if ``traceback`` is set."""
        problem = f'{msg}\n{format_exc()}' if traceback else msg
        log(Event.SERVER_PROBLEM, problem=problem)
