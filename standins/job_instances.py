"""The service of instances as a process that can fail.

Usage: ``python -m standins.job_instances PATH``; the file at PATH has the
machines. It prints one JSON line with its port. Faults are set by
``POST /-/faults`` and hold until the next such call.
"""

from pathlib import Path
import sys
from threading import Lock
from threading import Timer
from time import sleep
from typing import Any
from typing import Final

from msgspec import convert
from msgspec import json
from msgspec import Struct

from primroseledge.http_client import HttpClient
from primroseledge.http_client import NoAnswerError
from primroseledge.http_client import NotSentError
from standins.call_server import Call
from standins.call_server import CallServer
from standins.call_server import DropCall
from standins.call_server import Reply
from standins.job_process import serve_until_signal

MOVE_S: Final = 1.5
MAINTENANCE_S: Final = 2.0
CONTROL_TIMEOUT_S: Final = 0.8
SILENCE_S: Final = 3.0
RETRY_S: Final = 0.3
MACHINES_PATH: Final = '/-/machines'


class Machine(Struct):
    """A machine, its pool, and the worker on it, if there is one."""

    machine: str
    pool: str
    rack: str
    cpu: int
    memory: int
    control_port: int
    id: str | None = None
    state: str = 'up'
    lives: int = 0
    waves: list[int] = []


class InstanceFaults(Struct, frozen=True):
    """What is wrong: answers are late, refused (503), or lost."""

    delay_s: float = 0.0
    is_down: bool = False
    loses_answers: bool = False


class JobInstances:
    """Lists machines, moves them between pools, and maintains them."""

    def __init__(self, machines: list[Machine], standby: str) -> None:
        self.machines = {machine.machine: machine for machine in machines}
        self.standby = standby
        self.faults = InstanceFaults()
        self.lock = Lock()
        self.controls = {
            machine.machine: HttpClient(f'127.0.0.1:{machine.control_port}')
            for machine in machines
        }

    def serve(self, call: Call) -> Reply:
        """Answer the operator at once, the owner as the faults let it."""
        if call.path == '/-/faults':
            self.faults = convert(call.fields, InstanceFaults)
            return 200, {}
        if call.path == '/-/worker':
            return self.rename(call.fields)
        faults = self.faults
        sleep(faults.delay_s)
        if faults.is_down:
            return 503, {}
        reply = self.answer(call)
        if faults.loses_answers and call.path != MACHINES_PATH:
            sleep(SILENCE_S)
            raise DropCall
        return reply

    def rename(self, fields: dict[str, Any]) -> Reply:
        """Note that a machine's worker has another id."""
        with self.lock:
            machine = self.machines[fields['machine']]
            machine.id = fields['id']
        return 200, {}

    def answer(self, call: Call) -> Reply:
        """Return the list, or begin an operation."""
        if call.path == MACHINES_PATH:
            rows = [self.row(machine) for machine in self.machines.values()]
            return 200, {'machines': rows, 'next_page_token': None}
        machine = self.machines.get(call.fields.get('machine', ''))
        if machine is None:
            return 400, {}
        with self.lock:
            if call.path == '/-/machine-move':
                return self.move(machine, call.fields['pool'])
            return self.maintain(machine, call.fields['wave'])

    def row(self, machine: Machine) -> dict[str, Any]:
        """Return a machine as the list shows it."""
        capacity = {
            'cpu': machine.cpu,
            'memory_request_mb': machine.memory,
            'gpu': 0,
        }
        return {
            'machine': machine.machine,
            'pool': machine.pool,
            'state': machine.state,
            'zone': 'north',
            'labels': ['a', machine.rack],
            'capacity': capacity,
            'id': machine.id,
        }

    def move(self, machine: Machine, pool: str) -> Reply:
        """Move a machine, unless it is there or on its way."""
        if machine.pool == pool:
            return 200, {}
        return self.begin(machine, 'moving', pool, MOVE_S)

    def maintain(self, machine: Machine, wave: int) -> Reply:
        """Maintain a machine, unless it was or is for that wave."""
        if wave in machine.waves:
            return 200, {}
        reply = self.begin(machine, 'upkeep', machine.pool, MAINTENANCE_S)
        if reply[0] == 200:
            machine.waves.append(wave)
        return reply

    def begin(
        self, machine: Machine, state: str, pool: str, seconds: float
    ) -> Reply:
        """End what runs on a machine, and let a worker join later."""
        if machine.state != 'up':
            return 409, {'reason': 'busy'}
        if machine.id and not self.tell(machine, {'end': state}):
            return 409, {'reason': 'busy'}
        machine.state, machine.pool, machine.id = state, pool, None
        Timer(seconds, self.end, (machine,)).start()
        return 200, {}

    def end(self, machine: Machine) -> None:
        """Let a new worker join, unless the machine is off now."""
        with self.lock:
            if machine.pool != self.standby:
                machine.lives += 1
                machine.id = f'w-{machine.machine}-{machine.lives}'
                change = {
                    'begin_after_s': 0.0,
                    'id': machine.id,
                    'pool': machine.pool,
                }
                if not self.tell(machine, change):
                    Timer(RETRY_S, self.end, (machine,)).start()
                    return
            machine.state = 'up'

    def tell(self, machine: Machine, change: dict[str, Any]) -> bool:
        """Change the life on a machine; tell whether it was told."""
        try:
            answer = self.controls[machine.machine].call(
                'POST', '/-/life', json.encode(change), CONTROL_TIMEOUT_S
            )
        except (NotSentError, NoAnswerError):
            return False
        return answer.status == 200


def main() -> int:
    """Serve until stopped."""
    body = Path(sys.argv[1]).read_bytes()
    instances = JobInstances(
        json.decode(body, type=list[Machine]), sys.argv[2]
    )
    server = CallServer(instances.serve)
    serve_until_signal(json.encode({'port': server.port}).decode())
    return 0


if __name__ == '__main__':
    sys.exit(main())
