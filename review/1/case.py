"""A start reaches the next boot of a worker, which then is cut off."""

import asyncio

from standins.fleet import CannotRunError
from standins.fleet import create_config
from standins.fleet import Fleet
from standins.fleet import main
from standins.fleet import RACK_WORKERS
from standins.worker import Worker

SERVICE = 'scan-desk'
WORKERS = 8
JOB = '5c0e7a21d94b36f8'
WARM_UP = '0000000000000001'
TASKS = 12
DARK_S = 0.9
CUT_AFTER_S = 2.6
"""Time from the restart of the rack to the cut of one of its workers."""

CUT_S = 6.0
SPEC = {'ms': 30_000, 'cpu': 4000}
STEP = {
    'count': TASKS,
    'cpu': 4000,
    'memory_request_mb': 1024,
    'estimated_duration_ms': 30_000,
}


async def play(fleet: Fleet) -> str:
    """Crash a rack for a moment, then cut off one of its workers."""
    await fleet.start_platform()
    fleet.configure(create_config(SERVICE, max_attempts=2))
    await fleet.start_workers(SERVICE, ['a'] * WORKERS)
    fleet.start_entries()
    await fleet.wait_until_ready()
    await asyncio.sleep(10.0)
    warm_up = {'ms': 500, 'cpu': 4000}
    step = {**STEP, 'count': 2 * WORKERS, 'estimated_duration_ms': 500}
    if not await fleet.submit(WARM_UP, [step], warm_up):
        raise CannotRunError('the first job was not taken')
    await asyncio.sleep(2.0)
    rack = list(fleet.workers.values())[:RACK_WORKERS]
    if fleet.has_trouble:
        for worker in rack:
            worker.crash_dark()
    if not await fleet.submit(JOB, [STEP], SPEC):
        raise CannotRunError('the job was not taken')
    await asyncio.sleep(DARK_S)
    if fleet.has_trouble:
        for worker in rack:
            worker.begin_again()
    await asyncio.sleep(CUT_AFTER_S)
    if fleet.has_trouble:
        await cut_off_one(fleet, rack)
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.sleep(3.0)
    return judge(fleet)


async def cut_off_one(fleet: Fleet, rack: list[Worker]) -> None:
    """Cut off a worker of the rack that runs something, for a while."""
    busy = [worker for worker in rack if worker.runs]
    if not busy:
        raise CannotRunError('no start reached the next boot of a worker')
    worker = busy[0]
    fleet.record.note('cut-begins', worker=worker.id, runs=len(worker.runs))
    worker.server.cut()
    await asyncio.sleep(CUT_S)
    worker.server.heal()
    fleet.record.note('cut-ends', worker=worker.id, runs=len(worker.runs))


def judge(fleet: Fleet) -> str:
    """Return how TWICE was broken, or ''."""
    running: dict[str, dict[str, int]] = {}
    for _, what, fields in fleet.record.rows:
        if what not in ('run-starts', 'run-ends'):
            continue
        runs = running.setdefault(fields['task'], {})
        place = f'{fields["worker"]}, run {fields["run"]}'
        if what == 'run-ends':
            runs.pop(place, None)
            continue
        runs[place] = fields['run']
        if len(runs) > 1:
            return (
                f'TWICE: {fields["task"]} runs at the same time on '
                f'{" and ".join(runs)}'
            )
    return ''


if __name__ == '__main__':
    main(play, __file__)
