"""The platform's store as a process that can fail.

Usage: ``python -m standins.job_store CALLERS``. It prints one JSON line:
``port`` is for workers and the operator, ``ports`` has one port for each
caller. Faults strike calls on the callers' ports alone; they are set by
``POST /-/faults`` on the first port and hold until the next such call.
"""

from collections.abc import Callable
from functools import partial
import sys
from threading import Event
from threading import Timer
from time import sleep
from typing import Any
from typing import Final

from msgspec import convert
from msgspec import json
from msgspec import Struct

from primroseledge.clock import boot_time
from standins.call_server import Call
from standins.call_server import CallServer
from standins.call_server import DropCall
from standins.call_server import Reply
from standins.job_process import serve_until_signal
from standins.store_application import StoreApplication

SILENCE_S: Final = 5.0
"""In seconds; a call that gets no answer keeps its connection so long."""

ENTRY_TTL_S: Final = 4.5
"""In seconds; three intervals of a worker's heartbeat."""

WRITES: Final = ('/-/kv-txn', '/-/kv-lease', '/-/kv-keep')


class StoreFaults(Struct, frozen=True):
    """What is wrong with the store.

    ``down`` is how calls fail: ``refuse`` (503), ``reset`` or ``silent``.
    ``lose`` loses the answers of writes: ``done`` ones are carried out at
    once, ``late`` ones ``late_s`` after they arrived. Reads of
    ``refused_prefix`` are refused. ``callers`` are the numbers of those
    that are struck; without one, all are.
    """

    delay_s: float = 0.0
    down: str = ''
    lose: str = ''
    late_s: float = 1.5
    refused_prefix: str = ''
    callers: tuple[int, ...] = ()
    does_lapse: bool = False


class JobStore(StoreApplication):
    """The store, its faults, and the entries that workers keep there."""

    def __init__(self, clock: Callable[[], float] = boot_time) -> None:
        super().__init__(clock)
        self.faults = StoreFaults()
        self.mended = Event()
        self.entry_ends = dict[str, float]()
        self.entry_values = dict[str, dict[str, Any]]()

    def expire(self) -> None:
        """End leases, and entries of silent workers."""
        super().expire()
        now = self.clock()
        for key, ends_at in list(self.entry_ends.items()):
            if ends_at < now:
                self.forget(key)

    def forget(self, key: str) -> None:
        """Remove a worker's entry."""
        del self.entry_ends[key]
        del self.entry_values[key]
        self.storage.remove(key)

    def do_entry(self, fields: dict[str, Any], argument: str) -> Reply:
        """Take a heartbeat; its entry changes when more than that does."""
        key, value = fields['key'], fields['value']
        self.entry_ends[key] = self.clock() + ENTRY_TTL_S
        if self.entry_values.get(key) != value:
            self.entry_values[key] = value
            self.write(key, value)
        return 200, {}

    def do_write(self, fields: dict[str, Any], argument: str) -> Reply:
        """Write what the operator writes."""
        self.write(fields['key'], fields['value'])
        return 200, {'revision': self.storage.revision}

    def do_drop_history(self, fields: dict[str, Any], argument: str) -> Reply:
        """Forget all changes up to now."""
        self.drop_history()
        return 200, {}

    def do_faults(self, fields: dict[str, Any], argument: str) -> Reply:
        """Set what is wrong from now on."""
        faults = convert(fields, StoreFaults)
        is_down = bool(faults.down) and not faults.callers
        if is_down != self.storage.is_down:
            self.storage.set_down(is_down, faults.does_lapse)
        self.faults = faults
        self.mended.set()
        self.mended = Event()
        return 200, {}

    def serve_control(self, call: Call) -> Reply:
        """Answer workers and the operator."""
        return self.answer(call.path, call.fields)

    def serve_caller(self, number: int, call: Call) -> Reply:
        """Answer an entry instance, as far as the faults let it."""
        faults = self.faults
        if faults.callers and number not in faults.callers:
            return self.answer(call.path, call.fields)
        sleep(faults.delay_s)
        if faults.down:
            return self.fail(faults.down)
        if faults.refused_prefix and self.reads(call, faults.refused_prefix):
            return 503, {}
        if faults.lose and call.path.startswith(WRITES):
            return self.lose(faults, call)
        return self.answer(call.path, call.fields)

    def reads(self, call: Call, prefix: str) -> bool:
        """Tell whether a call reads what is under a prefix."""
        name = call.fields.get('prefix', call.fields.get('key', ''))
        return call.method == 'GET' and name.startswith(prefix)

    def fail(self, how: str) -> Reply:
        """Answer a call while the store is down."""
        if how == 'refuse':
            return 503, {}
        if how == 'silent':
            self.mended.wait(SILENCE_S)
        raise DropCall

    def lose(self, faults: StoreFaults, call: Call) -> Reply:
        """Carry a write out, now or later, without an answer."""
        if faults.lose == 'done':
            self.answer(call.path, call.fields)
        else:
            Timer(faults.late_s, self.answer, (call.path, call.fields)).start()
        self.mended.wait(SILENCE_S)
        raise DropCall


def main() -> int:
    """Serve until stopped."""
    store = JobStore()
    servers = [CallServer(store.serve_control)]
    for number in range(int(sys.argv[1])):
        servers.append(CallServer(partial(store.serve_caller, number)))
    ports = [server.port for server in servers]
    line = {'port': ports[0], 'ports': ports[1:]}
    serve_until_signal(json.encode(line).decode())
    return 0


if __name__ == '__main__':
    sys.exit(main())
