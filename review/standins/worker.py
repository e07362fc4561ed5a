"""A worker as the users' page *Running work items* describes it.

What a work item does is written in its job's ``task_spec``, a JSON object:
``ms`` is how long it works (none: until it is stopped), ``failing_runs`` how
many of its runs end as failed.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
from time import time
from typing import Any

from standins.http_link import Call
from standins.http_link import Reply
from standins.http_link import Server
from standins.platform_store import Platform

CHECK_IN_S = 1.5
STOP_S = 0.05
STARTUP_S = 0.3
MAX_ENDS = 500

Note = Callable[..., None]


@dataclass
class Room:
    """Amounts of processor, memory and accelerators."""

    cpu: int
    memory_request_mb: int
    gpu: int = 0


@dataclass
class RunningItem:
    """A run of a work item."""

    task: str
    run: int
    began_at: float
    ends_at: float | None
    how: str
    cpu: int

    def percent(self, now: float) -> int:
        """Return the progress in percent."""
        age_s = now - self.began_at
        if self.ends_at is None:
            return 100 if age_s > STARTUP_S else 0
        return min(99, int(100 * age_s / (self.ends_at - self.began_at)))


@dataclass(eq=False)
class Worker:
    """One worker, in one boot after another under the same id."""

    id: str
    service: str
    platform: Platform
    note: Note
    labels: list[str]
    zone: str = 'north-1'
    room: Room = field(default_factory=lambda: Room(8000, 32000))
    max_hold_ms: int = 6000
    is_up: bool = False
    is_unhealthy: bool = False
    boots: int = 0
    clock_ahead_ms: int = 0
    """How far the time of day of its machine is ahead of the true time."""

    def __post_init__(self) -> None:
        self.server = Server(self.serve)
        self.forget_all()

    def forget_all(self) -> None:
        """Set the state that a new boot begins with."""
        self.born = int(time() * 1000) + self.clock_ahead_ms
        self.booted_at = 0.0
        self.fence = 0
        self.deadline_ms = 0
        self.runs: dict[str, RunningItem] = {}
        self.over: dict[str, int] = {}
        self.ends: list[list[Any]] = []
        self.last_end = 0
        self.ended = asyncio.Event()

    # Its life

    async def begin(self) -> None:
        """Begin a boot at the same address."""
        self.forget_all()
        self.booted_at = self.now()
        self.boots += 1
        self.is_up = True
        await self.server.open()
        self.note(
            'worker-begins', worker=self.id, boot=self.boots, born=self.born
        )
        self.check_in()

    def crash(self) -> None:
        """End at once with all that runs."""
        self.note('worker-crashes', worker=self.id, runs=len(self.runs))
        self.is_up = False
        for item in list(self.runs.values()):
            self.note_end(item, 'crashed')
        self.runs.clear()
        self.server.close()
        self.ended.set()

    def crash_dark(self) -> None:
        """Crash, with an address that answers nothing from then on."""
        self.note('worker-crashes', worker=self.id, runs=len(self.runs))
        self.server.cut()
        self.is_up = False
        for item in list(self.runs.values()):
            self.note_end(item, 'crashed')
        self.runs.clear()
        self.ended.set()

    def begin_again(self) -> None:
        """Begin the next boot after a dark crash."""
        self.forget_all()
        self.booted_at = self.now()
        self.boots += 1
        self.is_up = True
        self.server.heal()
        self.note(
            'worker-begins', worker=self.id, boot=self.boots, born=self.born
        )
        self.check_in()

    def now(self) -> float:
        """Return the real steady time, in seconds."""
        return asyncio.get_running_loop().time()

    def clock_ms(self) -> int:
        """Return the worker's own steady time, which begins with a boot."""
        return int((self.now() - self.booted_at) * 1000)

    def check_in(self) -> None:
        """Write the entry, if the path to the store is there."""
        if not self.is_up or self.server.is_cut:
            return
        entry = {
            'service': self.service,
            'address': self.server.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_remaining_ms': 0,
            'sequence': 1,
            'capacity': vars(self.room),
            'labels': self.labels,
            'born': self.born,
        }
        self.platform.check_in(self.id, entry)

    async def live(self) -> None:
        """End runs and leases in time, and check in, for ever."""
        next_check_in = 0.0
        while True:
            await asyncio.sleep(0.01)
            now = self.now()
            if not self.is_up:
                continue
            self.advance()
            if now >= next_check_in:
                next_check_in = now + CHECK_IN_S
                self.check_in()

    def advance(self) -> None:
        """End what is over."""
        now = self.now()
        for item in list(self.runs.values()):
            if item.ends_at is not None and item.ends_at <= now:
                self.end(item, item.how)
        if self.runs and self.clock_ms() > self.deadline_ms:
            for item in list(self.runs.values()):
                self.end(item, 'lapsed')

    def end(self, item: RunningItem, how: str) -> None:
        """End a run and list it."""
        del self.runs[item.task]
        self.over[item.task] = max(self.over.get(item.task, 0), item.run)
        self.last_end += 1
        self.ends.append([self.last_end, item.task, item.run, how, ''])
        self.note_end(item, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def note_end(self, item: RunningItem, how: str) -> None:
        """Write down that a run is over."""
        self.note(
            'run-ends', worker=self.id, task=item.task, run=item.run, how=how
        )

    # Calls

    async def serve(self, call: Call) -> Reply:
        """Answer a call."""
        if call.headers.get('expected-instance', self.id) != self.id:
            return 421, self.body()
        self.advance()
        if call.path == '/-/run-start':
            return self.start(call.fields)
        fence = call.fields.get('fencing_token', 0)
        if fence < self.fence:
            return 409, self.body(reason='fence')
        self.fence = fence
        if call.path == '/-/run-stop':
            return self.stop(call.fields)
        if call.path == '/-/hold':
            return await self.hold(call.fields)
        if call.path == '/-/pace':
            return 200, self.body()
        return 400, self.body()

    def body(self, **others: Any) -> dict[str, Any]:
        """Return the fields that every response has, and others."""
        return {'clock_ms': self.clock_ms(), 'born': self.born, **others}

    def start(self, fields: dict[str, Any]) -> Reply:
        """Start a run, or say why not."""
        task, run = fields['task'], fields['run']
        fence = fields.get('fencing_token', 0)
        if self.is_unhealthy:
            self.note('start-refused', worker=self.id, task=task, run=run)
            return 503, self.body()
        if fence < self.fence:
            return 409, self.body(reason='fence')
        self.fence = fence
        known = self.runs.get(task)
        if known is not None and known.run == run:
            return 200, self.body()
        if fields['deadline_ms'] <= self.clock_ms():
            return 409, self.body(reason='late')
        if known is not None or run <= self.over.get(task, 0):
            self.extend(fields['deadline_ms'])
            return 409, self.body(reason='old')
        spec = json.loads(fields['task_spec'])
        cpu = spec.get('cpu', 1000)
        used = sum(item.cpu for item in self.runs.values())
        self.extend(fields['deadline_ms'])
        if used + cpu > self.room.cpu:
            return 409, self.body(reason='room')
        now = self.now()
        ms = spec.get('ms')
        how = 'failed' if run <= spec.get('failing_runs', 0) else 'done'
        ends_at = None if ms is None else now + ms / 1000
        self.runs[task] = RunningItem(task, run, now, ends_at, how, cpu)
        self.note('run-starts', worker=self.id, task=task, run=run)
        return 200, self.body()

    def extend(self, deadline_ms: int) -> None:
        """Lengthen the lease, up to the longest."""
        longest = self.clock_ms() + self.max_hold_ms
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    def stop(self, fields: dict[str, Any]) -> Reply:
        """Stop a run; one that is not there yet will be rejected."""
        task, run = fields['task'], fields['run']
        self.over[task] = max(self.over.get(task, 0), run)
        item = self.runs.get(task)
        if item is not None and item.run <= run:
            ends_at = self.now() + STOP_S
            if item.ends_at is None or item.ends_at > ends_at:
                item.ends_at, item.how = ends_at, 'stopped'
        return 200, self.body()

    async def hold(self, fields: dict[str, Any]) -> Reply:
        """Lengthen the lease, and return both lists after an end."""
        if 'deadline_ms' in fields:
            self.extend(fields['deadline_ms'])
        seen = fields.get('last_seen', 0)
        for number, task, run, how, _ in self.ends:
            if number <= seen:
                self.note(
                    'end-noted', worker=self.id, task=task, run=run, how=how
                )
        self.ends = [row for row in self.ends if row[0] > seen]
        born, wait_s = self.born, fields.get('wait_ms', 0) / 1000
        if wait_s and not self.ends:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
            except TimeoutError:
                pass
        if born != self.born:
            return 421, self.body()
        now = self.now()
        running = [
            [item.task, item.run, '', item.percent(now), 0]
            for item in self.runs.values()
        ]
        return 200, self.body(running=running, finished=self.ends[:MAX_ENDS])
