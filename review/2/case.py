"""A worker is lost for good under work items that last and share a rack."""

import asyncio
from typing import Any

from standins.fleet import CannotRunError
from standins.fleet import create_config
from standins.fleet import Fleet
from standins.fleet import main

SERVICE = 'scan-desk'
WORKERS = 8
JOB = '5c0e7a21d94b36f8'
ITEMS = 4
STEP = {
    'count': ITEMS,
    'cpu': 6000,
    'memory_request_mb': 1024,
    'long_running': True,
    'same_rack': True,
}
SPEC = {'cpu': 6000}
WATCHED_S = 30.0
AFTER_LAST_RUN_S = 6.0
IDLE_S = 3.0


async def play(fleet: Fleet) -> str:
    """Lose a worker that runs one of the work items, then wait."""
    record = fleet.record
    await fleet.start_platform()
    fleet.configure(create_config(SERVICE, max_attempts=4))
    await fleet.start_workers(SERVICE, ['a'] * WORKERS)
    fleet.start_entries()
    await fleet.wait_until_ready()
    await asyncio.sleep(1.0)
    if not await fleet.submit(JOB, [STEP], SPEC):
        raise CannotRunError('the job was not taken')
    await asyncio.sleep(4.0)
    busy = [w for w in fleet.workers.values() if w.runs]
    record.note('before', busy=[f'{w.id} {w.labels}' for w in busy])
    if sum(len(worker.runs) for worker in busy) != ITEMS:
        raise CannotRunError('the work items do not all run')
    if fleet.has_trouble:
        busy[0].crash()
        del fleet.platform.machines[f'machine-{busy[0].id}']
    await asyncio.sleep(WATCHED_S)
    await fleet.ask('GET', JOB)
    return judge(fleet)


def judge(fleet: Fleet) -> str:
    """Return how LOST was broken, or ''.

    A work item that lasts has to run again before 3 s are over that begin 6 s
    after its last run, where there is capacity for it twice over and under
    half of the service's capacity is in use. The tenant has no upper bound.
    """
    up = [worker for worker in fleet.workers.values() if worker.is_up]
    used = sum(item.cpu for worker in up for item in worker.runs.values())
    room = sum(worker.room.cpu for worker in up)
    with_room = [w for w in up if used_cpu(w) + STEP['cpu'] <= w.room.cpu]
    idle = idle_items(fleet)
    if not idle or 2 * used >= room or len(with_room) < 2 * len(idle):
        return ''
    return (
        f'LOST: nothing of {idle} has run for over '
        f'{AFTER_LAST_RUN_S + IDLE_S:.0f} s; {used} of {room} thousandths of '
        f'cores are in use, and {[w.id for w in with_room]} have room'
    )


def used_cpu(worker: Any) -> int:
    """Return what runs on a worker, in thousandths of cores."""
    return sum(item.cpu for item in worker.runs.values())


def idle_items(fleet: Fleet) -> list[str]:
    """Return the work items that have not run for too long."""
    over: dict[str, float] = {}
    for at, what, fields in fleet.record.rows:
        if what == 'run-starts':
            over.pop(fields['task'], None)
        elif what == 'run-ends':
            over[fields['task']] = at
    limit_s = AFTER_LAST_RUN_S + IDLE_S
    return [task for task, at in over.items() if fleet.now - at > limit_s]


if __name__ == '__main__':
    main(play, __file__)
